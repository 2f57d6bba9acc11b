//! Writes task blocks in their stored form, and splits blocks that are too large for one value.
//!
//! A block has up to [`TASKS_PER_BLOCK`] slots, each with the state of one task, independent of the present
//! limit for the size of a value. In the packed form, equal slots share an entry. A block that is still
//! too large is split into parts, which are keys with fewer slots each; later writes change only the parts
//! that differ. The marker of a split block and the last of its parts are written in one transaction, so
//! that readers never see the marker without all parts.

use super::draft::{ESTIMATED_RECORD_BYTES, TransactionDraft, put};
use super::limits::TransactionLimits;
use super::plain_sizes::is_unplaced;
use crate::jobs::model::{JobId, JobSpec, StoredBlock, TASKS_PER_BLOCK, TaskBlock, TaskState};
use crate::store::cluster_state::{ClusterState, Job};
use crate::store::keys;
use crate::wire::json_size;
use crate::wire::state::Mutation;
use foldhash::HashSet;

/// Largest size of a new part, in percent of the largest value. Alternating placements and completions
/// increase its size later, and a part that is full from the start would have to be split again at once.
const NEW_PART_FILL_PERCENT: usize = 75;

/// Estimated size of a plain block without its slots, in bytes.
const PLAIN_BLOCK_OVERHEAD_BYTES: usize = 128;
/// Estimated size of a placed slot in a plain block, without its machine's name, in bytes.
const PLAIN_PLACED_SLOT_BYTES: usize = 32;
/// Estimated size of any other slot in a plain block, in bytes.
const PLAIN_SLOT_BYTES: usize = 14;

/// Effect of a write on the layout of its block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BlockLayout {
    /// The block is stored under the same keys as before.
    Kept,
    /// This write splits the block, or splits it into smaller parts than before.
    NewlySplit,
}

/// Error for a value that is larger than the state service accepts.
struct ValueTooLarge;

/// The parts of a block that is being split.
struct NewParts {
    /// Number of slots in each part.
    tasks_per_part: u32,
    /// Writes of the parts that the state service does not store yet.
    puts: Vec<Mutation>,
}

/// Writes blocks of one job.
#[derive(Clone, Copy)]
pub(super) struct BlockWriter<'a> {
    /// The cluster state that the writes are based on, and whose key versions are their preconditions.
    pub(super) view: &'a ClusterState,
    /// Id of the job.
    pub(super) id: &'a JobId,
    /// The job as it is in `view`.
    pub(super) job: &'a Job,
    /// The specification, which is stored in the same value as the first block.
    pub(super) spec: &'a JobSpec,
    /// Limits of the transaction.
    pub(super) limits: TransactionLimits,
}

impl BlockWriter<'_> {
    /// Adds the writes that replace the content of block `index` by `block`.
    pub(super) fn write(
        &self,
        draft: &mut TransactionDraft,
        index: u32,
        block: &TaskBlock,
    ) -> BlockLayout {
        let key = self.key(index);
        draft.add_precondition(self.view, key.clone());
        if !self.limits.write_packed_blocks {
            self.write_plain(draft, key, index, block);
            return BlockLayout::Kept;
        }
        let written = match self.tasks_per_part(index) {
            0 => self.write_packed(draft, &key, index, block),
            tasks_per_part => self.write_changed_parts(draft, index, block, tasks_per_part),
        };
        if written.is_ok() {
            return BlockLayout::Kept;
        }
        let new_parts = self.split(draft, index, block);
        draft.mutations.extend(new_parts.puts);
        draft.bytes += ESTIMATED_RECORD_BYTES;
        let marker = StoredBlock::Split(new_parts.tasks_per_part);
        draft.mutations.push(self.put_block(key, index, &marker));
        BlockLayout::NewlySplit
    }

    /// Splits a block without changing its tasks; the change follows once the block is stored in parts.
    /// If the parts do not fit into one transaction, some are written first. Readers ignore parts until
    /// the block's marker refers to them, and the transaction that writes the marker is conditional on
    /// the block and on every part.
    pub(super) fn split_unchanged(&self, index: u32) -> Option<TransactionDraft> {
        // The specification stays unchanged, too.
        let writer = BlockWriter {
            spec: &self.job.spec,
            ..*self
        };
        let block = self.job.blocks.get(index as usize)?;
        let max_mutations = self.limits.max_mutations;
        let mut draft = TransactionDraft::default();
        draft.add_precondition(self.view, keys::job(self.id));
        let key = self.key(index);
        let new_parts = writer.split(&mut draft, index, block);
        if new_parts.puts.len() < max_mutations {
            draft.mutations = new_parts.puts;
            let marker = StoredBlock::Split(new_parts.tasks_per_part);
            draft
                .mutations
                .push(writer.put_block(key.clone(), index, &marker));
        } else {
            draft.mutations = new_parts.puts;
            draft.mutations.truncate(max_mutations);
            let written: HashSet<&str> = draft.mutations.iter().map(Mutation::key).collect();
            draft
                .preconditions
                .retain(|key, _| written.contains(key.as_str()));
        }
        draft.add_precondition(self.view, key);
        (draft.preconditions.len() <= self.limits.max_preconditions()).then_some(draft)
    }

    /// Returns the key of a block: the first block is stored in the job's record.
    fn key(&self, index: u32) -> String {
        match index {
            0 => keys::job(self.id),
            _ => keys::block(self.id, index),
        }
    }

    /// Returns the write of a block's key. The value of the first block begins with the job's
    /// specification.
    fn put_block<T: serde::Serialize>(&self, key: String, index: u32, block: &T) -> Mutation {
        match index {
            0 => put(key, &(self.spec, block)),
            _ => put(key, block),
        }
    }

    /// Returns the number of slots in each part of a block as it is stored now; 0 if it is not split.
    fn tasks_per_part(&self, index: u32) -> u32 {
        self.job
            .tasks_per_part
            .get(index as usize)
            .copied()
            .unwrap_or(0)
    }

    /// Writes a block with one entry for each slot, the only form that older versions read. A block without a
    /// placement that does not fit into a value is left unwritten, which they read as well.
    fn write_plain(
        &self,
        draft: &mut TransactionDraft,
        key: String,
        index: u32,
        block: &TaskBlock,
    ) {
        draft.bytes +=
            PLAIN_BLOCK_OVERHEAD_BYTES + block.iter().map(plain_slot_bytes).sum::<usize>();
        if index == 0 {
            draft.bytes += ESTIMATED_RECORD_BYTES;
        }
        let unwritten_block = TaskBlock::default();
        let is_too_large = || self.plain_bytes(index) > self.limits.max_value_bytes;
        let block = match is_unplaced(block) && is_too_large() {
            true => &unwritten_block,
            false => block,
        };
        draft.mutations.push(self.put_block(key, index, block));
    }

    /// Returns the largest size of a block's value in plain form as it is in `view`, in bytes.
    pub(super) fn plain_bytes(&self, index: u32) -> usize {
        let block = self.job.blocks.get(index as usize);
        let block_bytes = block.map_or(0, TaskBlock::plain_bytes);
        match index {
            0 => json_size(&(self.spec, [0; 0])) + block_bytes,
            _ => block_bytes,
        }
    }

    /// Writes a block in packed form under a single key.
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

    /// Writes those parts of a split block that differ from the ones in `view`.
    fn write_changed_parts(
        &self,
        draft: &mut TransactionDraft,
        index: u32,
        block: &TaskBlock,
        tasks_per_part: u32,
    ) -> Result<(), ValueTooLarge> {
        let before = self.job.blocks.get(index as usize);
        let part_before = |part: u32| {
            before.map(|block| block.slice(part.saturating_mul(tasks_per_part), tasks_per_part))
        };
        let changed: Vec<(u32, StoredBlock)> = parts_of_block(block, tasks_per_part)
            .filter(|(part, content)| part_before(*part).as_ref() != Some(content))
            .map(|(part, content)| (part, StoredBlock::Packed(content)))
            .collect();
        let max_bytes = self.limits.max_value_bytes;
        if changed
            .iter()
            .any(|(_, content)| json_size(content) > max_bytes)
        {
            return Err(ValueTooLarge);
        }
        for (part, content) in changed {
            let key = keys::block_part(self.id, index, tasks_per_part, part);
            draft.add_precondition(self.view, key.clone());
            draft.bytes += json_size(&content);
            draft.mutations.push(put(key, &content));
        }
        Ok(())
    }

    /// Splits a block into parts with at most half the previous number of slots. Adds a precondition for
    /// every part; parts that the state service already stores are not written again.
    fn split(&self, draft: &mut TransactionDraft, index: u32, block: &TaskBlock) -> NewParts {
        let tasks_per_part = self.new_tasks_per_part(index, block);
        let mut puts = Vec::new();
        for (part, content) in parts_of_block(block, tasks_per_part) {
            let key = keys::block_part(self.id, index, tasks_per_part, part);
            let version = self.view.version(&key);
            let never_placed = content.all(|state| *state == TaskState::Waiting(0));
            draft.preconditions.insert(key.clone(), version);
            // A missing part is read as one whose tasks were never placed.
            let implied = version == 0 && never_placed;
            if !implied
                && self.view.block_part(self.id, index, tasks_per_part, part) != Some(&content)
            {
                let content = StoredBlock::Packed(content);
                draft.bytes += json_size(&content);
                puts.push(put(key, &content));
            }
        }
        NewParts {
            tasks_per_part,
            puts,
        }
    }

    /// Returns the largest number of slots, found by halving, with which every part of a block has room to
    /// grow.
    fn new_tasks_per_part(&self, index: u32, block: &TaskBlock) -> u32 {
        let before = match self.tasks_per_part(index) {
            0 => TASKS_PER_BLOCK,
            tasks_per_part => tasks_per_part,
        };
        let max_part_bytes = self.limits.max_value_bytes * NEW_PART_FILL_PERCENT / 100;
        let too_large =
            |content: TaskBlock| json_size(&StoredBlock::Packed(content)) > max_part_bytes;
        let mut tasks_per_part = before.div_ceil(2);
        while tasks_per_part > 1
            && parts_of_block(block, tasks_per_part).any(|(_, content)| too_large(content))
        {
            tasks_per_part = tasks_per_part.div_ceil(2);
        }
        tasks_per_part
    }
}

/// Returns the estimated size of a slot in a plain block, in bytes.
fn plain_slot_bytes(state: &TaskState) -> usize {
    match state {
        TaskState::Placed(placement) => PLAIN_PLACED_SLOT_BYTES + placement.machine.len(),
        _ => PLAIN_SLOT_BYTES,
    }
}

/// Returns the parts of a block with their numbers.
fn parts_of_block(
    block: &TaskBlock,
    tasks_per_part: u32,
) -> impl Iterator<Item = (u32, TaskBlock)> + '_ {
    let tasks_per_part = tasks_per_part.max(1);
    let starts = (0..block.len()).step_by(tasks_per_part as usize);
    (0u32..)
        .zip(starts)
        .map(move |(part, start)| (part, block.slice(start, tasks_per_part)))
}
