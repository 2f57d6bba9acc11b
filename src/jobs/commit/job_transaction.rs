//! Combines all changes of one job into one transaction.
//!
//! The steps: apply each change that is still valid to copies of the job's task blocks, then write
//! either the job's final state (`finalization`) or the changed blocks, then add the preconditions of the placements.

mod finalization;
mod placements;

use super::block_writer::{BlockLayout, BlockWriter};
use super::change::JobChange;
use super::draft::{ESTIMATED_RECORD_BYTES, TransactionDraft, put};
use super::limits::TransactionLimits;
use super::plain_sizes::{PlainSizes, StateChange};
use super::staging::TeamLimitCheck;
use crate::jobs::model::{JobId, Placement, StoredBlock, TASKS_PER_BLOCK, TaskBlock, TaskState};
use crate::membership::shard_of;
use crate::store::cluster_state::{ClusterState, Job};
use crate::store::keys;
use crate::time::Micros;
use crate::wire::user::JobKind;
use std::collections::{BTreeMap, BTreeSet};

/// Number of mutations reserved for the keys that are written in addition to those of the tasks: the
/// job's record, its final state, the team's key, the marker of a split block.
const RESERVED_MUTATIONS_PACKED: usize = 3;
/// The same if blocks are written in plain form.
const RESERVED_MUTATIONS_PLAIN: usize = 4;

/// Returns the transaction that applies those changes of one job that are still valid. Changes that do
/// not fit are left for the next transaction. `None` if there is nothing to write.
pub(super) fn draft(
    view: &ClusterState,
    id: &JobId,
    changes: &[&JobChange],
    has_team_limit: TeamLimitCheck<'_>,
    limits: TransactionLimits,
) -> Option<TransactionDraft> {
    let job = view.jobs.get(id)?;
    let mut builder = JobTransactionBuilder {
        view,
        id,
        job,
        limits: limits.for_job(job),
        draft: TransactionDraft::default(),
        changed_blocks: BTreeMap::new(),
        changed_keys: BTreeSet::new(),
        machine_preconditions: BTreeMap::new(),
        places_tasks: false,
        plain_sizes: PlainSizes::default(),
        gang_too_large: false,
    };
    for change in changes {
        builder.apply(change);
    }
    builder.finish(has_team_limit)
}

/// Key with task states: that of a block, or that of a part of a split block.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TaskKey {
    block: u32,
    part: u32,
}

/// Builds a job's transaction from its changes.
struct JobTransactionBuilder<'a> {
    view: &'a ClusterState,
    id: &'a JobId,
    job: &'a Job,
    limits: TransactionLimits,
    draft: TransactionDraft,
    /// Copies of the blocks that change.
    changed_blocks: BTreeMap<u32, TaskBlock>,
    /// Keys that have to be written for the changed tasks.
    changed_keys: BTreeSet<TaskKey>,
    /// Keys of the machines that tasks are placed on, and their versions.
    machine_preconditions: BTreeMap<String, u64>,
    places_tasks: bool,
    /// Sizes of the changed blocks, if blocks are written in plain form.
    plain_sizes: PlainSizes,
    /// Whether a change of a gang does not fit into a plain block. All its changes wait then, because they
    /// are never divided.
    gang_too_large: bool,
}

impl JobTransactionBuilder<'_> {
    /// Applies a change, if the job's tasks are still in the state that the change assumes.
    fn apply(&mut self, change: &JobChange) {
        match change {
            JobChange::AttemptEnded {
                index,
                attempt,
                done,
                ..
            } => self.end_attempt(*index, *attempt, *done),
            JobChange::Stop {
                index,
                attempt,
                grace,
                ..
            } => self.stop_attempt(*index, *attempt, *grace),
            JobChange::Place { tasks, .. } => self.place(tasks),
            JobChange::Finalize { .. } => {}
        }
    }

    fn end_attempt(&mut self, index: u32, attempt: u32, done: bool) {
        let Some(placement) = self.placement(index, attempt) else {
            return;
        };
        self.add_shard_precondition(&placement.machine);
        if done && self.job.spec.kind == JobKind::Gang {
            // The tasks of a gang complete together: if one is done, all are.
            for task in 0..self.job.spec.task_count {
                self.set_task(task, TaskState::Done);
            }
        } else if done {
            self.set_task(index, TaskState::Done);
        } else {
            self.set_task(index, TaskState::Waiting(attempt));
        }
    }

    /// Requests that a running attempt stops. A later request has an effect only if its grace period is
    /// shorter.
    fn stop_attempt(&mut self, index: u32, attempt: u32, grace: Micros) {
        let Some(placement) = self.placement(index, attempt) else {
            return;
        };
        if placement
            .stop_grace_period
            .is_some_and(|earlier| earlier <= grace)
        {
            return;
        }
        self.add_shard_precondition(&placement.machine);
        let stopped = Placement {
            stop_grace_period: Some(grace),
            ..placement
        };
        self.set_task(index, TaskState::Placed(stopped));
    }

    /// Returns a task's state with the changes applied so far.
    fn task(&self, index: u32) -> Option<&TaskState> {
        match self.changed_blocks.get(&(index / TASKS_PER_BLOCK)) {
            Some(block) => block.get(index % TASKS_PER_BLOCK),
            None => self.job.task_state(index),
        }
    }

    /// Returns the placement of an attempt, if it is the task's current one.
    fn placement(&self, index: u32, attempt: u32) -> Option<Placement> {
        match self.task(index) {
            Some(TaskState::Placed(placement)) if placement.attempt == attempt => {
                Some(placement.clone())
            }
            _ => None,
        }
    }

    /// Changes a task's state if its key still fits into the transaction, and its block into a value; otherwise
    /// the change follows in a later one. The changes of a gang are never divided between transactions. Returns
    /// whether the state was changed.
    fn set_task(&mut self, index: u32, state: TaskState) -> bool {
        let reserved = match self.limits.write_packed_blocks {
            true => RESERVED_MUTATIONS_PACKED,
            false => RESERVED_MUTATIONS_PLAIN,
        };
        let key = self.key_of_task(index);
        if !self.changed_keys.contains(&key)
            && self.changed_keys.len() + reserved > self.limits.max_mutations
            && self.job.spec.kind != JobKind::Gang
        {
            return false;
        }
        if !self.fits_into_value(index, &state) {
            if self.job.spec.kind == JobKind::Gang {
                self.gang_too_large = true;
            }
            return false;
        }
        self.changed_keys.insert(key);
        if let Some(block) = self.job.blocks.get(key.block as usize) {
            let block = self
                .changed_blocks
                .entry(key.block)
                .or_insert_with(|| block.clone());
            block.set(index % TASKS_PER_BLOCK, state);
        }
        true
    }

    /// Returns whether a task's block fits into a value with a new state of the task. Packed blocks are split
    /// if they do not.
    fn fits_into_value(&mut self, index: u32, after: &TaskState) -> bool {
        if self.limits.write_packed_blocks {
            return true;
        }
        let mut sizes = std::mem::take(&mut self.plain_sizes);
        let block = index / TASKS_PER_BLOCK;
        let change = self.task(index).map(|before| StateChange {
            block,
            before,
            after,
        });
        let fits = change.is_none_or(|change| {
            let initial_bytes = || self.block_writer().plain_bytes(block);
            sizes.apply(&change, initial_bytes, self.limits.max_value_bytes)
        });
        self.plain_sizes = sizes;
        fits
    }

    fn key_of_task(&self, index: u32) -> TaskKey {
        let block = index / TASKS_PER_BLOCK;
        let part = match self.job.tasks_per_part.get(block as usize) {
            Some(tasks_per_part) if *tasks_per_part > 0 => index % TASKS_PER_BLOCK / tasks_per_part,
            _ => 0,
        };
        TaskKey { block, part }
    }

    /// Makes the transaction conditional on the machine's shard still having the same owner and term. A
    /// statement about an attempt is valid only for that long: the message of a partitioned controller
    /// that the attempt's lease has expired may be delivered a minute later, although a newer owner has
    /// been renewing that lease in the meantime.
    fn add_shard_precondition(&mut self, machine: &str) {
        self.draft
            .add_precondition(self.view, keys::shard(shard_of(machine)));
    }

    /// Writes the job's final state or its changed blocks, and checks the limits of the transaction.
    fn finish(mut self, has_team_limit: TeamLimitCheck<'_>) -> Option<TransactionDraft> {
        self.draft.add_precondition(self.view, keys::job(self.id));
        if let Some(end) = self.job_end() {
            return self.finalize(end);
        }
        if self.changed_blocks.is_empty() || self.gang_too_large {
            return None;
        }
        let newly_split = self.write_blocks();
        if self.places_tasks && has_team_limit(&self.job.spec.team) {
            self.write_team_key();
        }
        self.add_machine_preconditions();
        let TransactionDraft {
            preconditions,
            mutations,
            ..
        } = &self.draft;
        if let Some(block) = newly_split
            && mutations.len() > self.limits.max_mutations
        {
            return self.block_writer().split_unchanged(block);
        }
        let fits = mutations.len() <= self.limits.max_mutations
            && preconditions.len() <= self.limits.max_preconditions();
        if !fits && self.limits.write_packed_blocks {
            tracing::debug!(
                job = %self.id,
                mutations = mutations.len(),
                preconditions = preconditions.len(),
                "changes of a job exceed the limits of a transaction"
            );
        }
        fits.then_some(self.draft)
    }

    fn block_writer(&self) -> BlockWriter<'_> {
        BlockWriter {
            view: self.view,
            id: self.id,
            job: self.job,
            spec: &self.job.spec,
            limits: self.limits,
        }
    }

    /// Writes the changed blocks, and returns one that had to be split for that.
    fn write_blocks(&mut self) -> Option<u32> {
        // Moved out of `self`, because the writer borrows the other fields.
        let mut draft = std::mem::take(&mut self.draft);
        let mut newly_split = None;
        for (index, block) in &self.changed_blocks {
            if self.block_writer().write(&mut draft, *index, block) == BlockLayout::NewlySplit {
                newly_split = Some(*index);
            }
        }
        if self.must_serialize_placements() && !writes(&draft, &keys::job(self.id)) {
            newly_split = self.write_record(&mut draft).or(newly_split);
        }
        self.draft = draft;
        newly_split
    }

    /// Returns whether the placements depend on those of the job's other tasks, because the job restricts
    /// its zones. The job's record is then written by each such transaction, so that concurrent ones
    /// conflict.
    fn must_serialize_placements(&self) -> bool {
        let spec = &self.job.spec;
        self.places_tasks && (spec.single_zone || spec.zone_spread)
    }

    /// Writes the job's record, although its first block does not change. Returns the block's index if it
    /// had to be split for that.
    fn write_record(&self, draft: &mut TransactionDraft) -> Option<u32> {
        if let (true, Some(tasks_per_part)) = (
            self.limits.write_packed_blocks,
            self.job.tasks_per_part.first(),
        ) && *tasks_per_part > 0
        {
            let record = (self.job.spec.as_ref(), StoredBlock::Split(*tasks_per_part));
            draft.mutations.push(put(keys::job(self.id), &record));
            draft.bytes += ESTIMATED_RECORD_BYTES;
            return None;
        }
        let first = self.changed_blocks.get(&0).unwrap_or(&self.job.blocks[0]);
        let layout = self.block_writer().write(draft, 0, first);
        (layout == BlockLayout::NewlySplit).then_some(0)
    }

    /// Writes the key of a team with a limit, so that concurrent placements for the team conflict.
    fn write_team_key(&mut self) {
        let key = keys::team(&self.job.spec.team);
        self.draft.add_precondition(self.view, key.clone());
        self.draft.mutations.push(put(key, &self.id.to_string()));
    }
}

/// Returns whether a transaction writes a key.
fn writes(draft: &TransactionDraft, key: &str) -> bool {
    draft.mutations.iter().any(|mutation| mutation.key() == key)
}
