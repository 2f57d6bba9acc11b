//! Writes task blocks in their stored form, and splits those that outgrow one value.
//!
//! A block holds up to [`BLOCK`] slots, whatever fits into a value at present. Written packed, equal
//! slots share an entry. What still does not fit is split into keys of fewer slots ("leaves"), of which
//! later writes only touch those that change. A block's marker and its leaves are written in one
//! transaction, so there is no moment in between.

use super::draft::{RECORD_BYTES, TransactionDraft, put};
use super::limits::TransactionLimits;
use crate::jobs::model::{BLOCK, JobId, JobSpec, StoredBlock, TaskBlock, TaskState};
use crate::store::cluster_state::{ClusterState, Job};
use crate::store::keys;
use crate::wire::json_size;
use crate::wire::state::Mutation;
use foldhash::HashSet;

/// Part of a value, in percent, that a leaf may fill when it is created: placements and completions
/// that alternate take more room later, and a leaf that is full would have to be split again at once.
const NEW_LEAF_FILL_PERCENT: usize = 75;

/// Estimated bytes around the slots of a plain block.
const PLAIN_BLOCK_BYTES: usize = 128;
/// Estimated bytes of a placed slot in a plain block, without its machine's name.
const PLAIN_PLACED_SLOT_BYTES: usize = 32;
/// Estimated bytes of any other slot in a plain block.
const PLAIN_SLOT_BYTES: usize = 14;

/// What a write did to the layout of its block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BlockLayout {
    /// The block is stored in the keys that it had.
    Kept,
    /// The block is split, or split into smaller leaves, by this write.
    NewlySplit,
}

/// The value is larger than the state service takes.
struct ValueTooLarge;

/// The leaves that a block is split into.
struct NewLeaves {
    /// Slots in each leaf.
    slots_per_leaf: u32,
    /// Writes of the leaves that the state service does not hold already.
    puts: Vec<Mutation>,
}

/// Writes blocks of one job.
#[derive(Clone, Copy)]
pub(super) struct BlockWriter<'a> {
    /// The state that the writes are based and conditional on.
    pub(super) view: &'a ClusterState,
    /// The job.
    pub(super) id: &'a JobId,
    /// The job as `view` has it.
    pub(super) job: &'a Job,
    /// The specification that is written along with the first block.
    pub(super) spec: &'a JobSpec,
    /// Limits of the transaction.
    pub(super) limits: TransactionLimits,
}

impl BlockWriter<'_> {
    /// Adds the writes that give block `index` the content of `block`.
    pub(super) fn write(
        &self,
        draft: &mut TransactionDraft,
        index: u32,
        block: &TaskBlock,
    ) -> BlockLayout {
        let key = self.key(index);
        draft.guard(self.view, key.clone());
        if !self.limits.packed {
            self.write_plain(draft, key, index, block);
            return BlockLayout::Kept;
        }
        let written = match self.slots_per_leaf(index) {
            0 => self.write_packed(draft, &key, index, block),
            slots_per_leaf => self.write_changed_leaves(draft, index, block, slots_per_leaf),
        };
        if written.is_ok() {
            return BlockLayout::Kept;
        }
        let leaves = self.split(draft, index, block);
        draft.mutations.extend(leaves.puts);
        draft.bytes += RECORD_BYTES;
        let marker = StoredBlock::Split(leaves.slots_per_leaf);
        draft.mutations.push(self.put_block(key, index, &marker));
        BlockLayout::NewlySplit
    }

    /// Splits a block without any change of its tasks; the change follows once the block consists of
    /// small keys. Where one transaction cannot hold all leaves, some are written first: they mean
    /// nothing until the block names them, and the transaction that makes it do so is conditional on
    /// the block and on every leaf.
    pub(super) fn split_unchanged(&self, index: u32) -> Option<TransactionDraft> {
        // The specification is not changed either.
        let writer = BlockWriter {
            spec: &self.job.spec,
            ..*self
        };
        let block = self.job.blocks.get(index as usize)?;
        let max_mutations = self.limits.max_mutations;
        let mut draft = TransactionDraft::default();
        draft.guard(self.view, keys::job(self.id));
        let key = self.key(index);
        let leaves = writer.split(&mut draft, index, block);
        if leaves.puts.len() < max_mutations {
            draft.mutations = leaves.puts;
            let marker = StoredBlock::Split(leaves.slots_per_leaf);
            draft
                .mutations
                .push(writer.put_block(key.clone(), index, &marker));
        } else {
            draft.mutations = leaves.puts;
            draft.mutations.truncate(max_mutations);
            let written: HashSet<&str> = draft.mutations.iter().map(Mutation::key).collect();
            draft
                .preconditions
                .retain(|guarded, _| written.contains(guarded.as_str()));
        }
        draft.guard(self.view, key);
        (draft.preconditions.len() <= self.limits.max_preconditions()).then_some(draft)
    }

    /// The key of a block: the first one is part of the job's record.
    fn key(&self, index: u32) -> String {
        match index {
            0 => keys::job(self.id),
            _ => keys::block(self.id, index),
        }
    }

    /// The write of a block's own key: the first block stands behind the job's specification.
    fn put_block<T: serde::Serialize>(&self, key: String, index: u32, block: &T) -> Mutation {
        match index {
            0 => put(key, &(self.spec, block)),
            _ => put(key, block),
        }
    }

    /// Slots in each leaf of a block as it is stored now; 0 if it is not split.
    fn slots_per_leaf(&self, index: u32) -> u32 {
        self.job
            .tasks_per_part
            .get(index as usize)
            .copied()
            .unwrap_or(0)
    }

    /// Writes a block slot by slot, the only form that older versions read.
    fn write_plain(
        &self,
        draft: &mut TransactionDraft,
        key: String,
        index: u32,
        block: &TaskBlock,
    ) {
        draft.bytes += PLAIN_BLOCK_BYTES + block.0.iter().map(plain_slot_bytes).sum::<usize>();
        if index == 0 {
            draft.bytes += RECORD_BYTES;
        }
        draft.mutations.push(self.put_block(key, index, block));
    }

    /// Writes a block packed into its own key.
    fn write_packed(
        &self,
        draft: &mut TransactionDraft,
        key: &str,
        index: u32,
        block: &TaskBlock,
    ) -> Result<(), ValueTooLarge> {
        let stored = StoredBlock::Packed(block.clone());
        let size = match index {
            0 => json_size(&(self.spec, &stored)),
            _ => json_size(&stored),
        };
        if size > self.limits.max_value_bytes {
            return Err(ValueTooLarge);
        }
        draft.bytes += size;
        draft
            .mutations
            .push(self.put_block(key.to_string(), index, &stored));
        Ok(())
    }

    /// Writes those leaves of a split block that differ from what `view` has.
    fn write_changed_leaves(
        &self,
        draft: &mut TransactionDraft,
        index: u32,
        block: &TaskBlock,
        slots_per_leaf: u32,
    ) -> Result<(), ValueTooLarge> {
        let before = self.job.blocks.get(index as usize);
        let slots_before =
            |leaf: u32| before.and_then(|block| slots_of_leaf(block, slots_per_leaf, leaf));
        let changed: Vec<(u32, StoredBlock)> = leaves(block, slots_per_leaf)
            .filter(|(leaf, content)| slots_before(*leaf) != Some(content.0.as_slice()))
            .map(|(leaf, content)| (leaf, StoredBlock::Packed(content)))
            .collect();
        let max_bytes = self.limits.max_value_bytes;
        if changed
            .iter()
            .any(|(_, content)| json_size(content) > max_bytes)
        {
            return Err(ValueTooLarge);
        }
        for (leaf, content) in changed {
            let key = keys::block_part(self.id, index, slots_per_leaf, leaf);
            draft.guard(self.view, key.clone());
            draft.bytes += json_size(&content);
            draft.mutations.push(put(key, &content));
        }
        Ok(())
    }

    /// Splits a block into leaves of at most half as many slots as before. The draft is made
    /// conditional on every leaf; those that the state service holds already are not written again.
    fn split(&self, draft: &mut TransactionDraft, index: u32, block: &TaskBlock) -> NewLeaves {
        let slots_per_leaf = self.new_slots_per_leaf(index, block);
        let mut puts = Vec::new();
        for (leaf, content) in leaves(block, slots_per_leaf) {
            let key = keys::block_part(self.id, index, slots_per_leaf, leaf);
            let version = self.view.version(&key);
            let never_placed = content
                .0
                .iter()
                .all(|state| *state == TaskState::Waiting(0));
            draft.preconditions.insert(key.clone(), version);
            // A missing leaf is read as one of which no task was ever placed.
            let implied = version == 0 && never_placed;
            if !implied
                && self.view.block_part(self.id, index, slots_per_leaf, leaf) != Some(&content)
            {
                let content = StoredBlock::Packed(content);
                draft.bytes += json_size(&content);
                puts.push(put(key, &content));
            }
        }
        NewLeaves {
            slots_per_leaf,
            puts,
        }
    }

    /// The largest number of slots for which every leaf of a block has room to grow, found by halving.
    fn new_slots_per_leaf(&self, index: u32, block: &TaskBlock) -> u32 {
        let before = match self.slots_per_leaf(index) {
            0 => BLOCK,
            slots_per_leaf => slots_per_leaf,
        };
        let max_leaf_bytes = self.limits.max_value_bytes * NEW_LEAF_FILL_PERCENT / 100;
        let too_large =
            |content: TaskBlock| json_size(&StoredBlock::Packed(content)) > max_leaf_bytes;
        let mut slots_per_leaf = before.div_ceil(2);
        while slots_per_leaf > 1
            && leaves(block, slots_per_leaf).any(|(_, content)| too_large(content))
        {
            slots_per_leaf = slots_per_leaf.div_ceil(2);
        }
        slots_per_leaf
    }
}

/// Estimated bytes of a slot in a plain block.
fn plain_slot_bytes(state: &TaskState) -> usize {
    match state {
        TaskState::Placed(placement) => PLAIN_PLACED_SLOT_BYTES + placement.machine.len(),
        _ => PLAIN_SLOT_BYTES,
    }
}

/// The slots of one leaf of a block.
fn slots_of_leaf(block: &TaskBlock, slots_per_leaf: u32, leaf: u32) -> Option<&[TaskState]> {
    block
        .0
        .chunks(slots_per_leaf.max(1) as usize)
        .nth(leaf as usize)
}

/// The leaves of a block with their numbers.
fn leaves(block: &TaskBlock, slots_per_leaf: u32) -> impl Iterator<Item = (u32, TaskBlock)> + '_ {
    block
        .0
        .chunks(slots_per_leaf.max(1) as usize)
        .enumerate()
        .map(|(leaf, slots)| (leaf as u32, TaskBlock(slots.to_vec())))
}
