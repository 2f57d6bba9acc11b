//! Turns all changes of one job into one transaction.
//!
//! The steps: apply each change that still holds to copies of the job's task blocks, then either write
//! the job's end or the changed blocks, then add what the placements are conditional on.

use super::block_writer::{BlockLayout, BlockWriter};
use super::change::JobChange;
use super::draft::{RECORD_BYTES, TransactionDraft, put};
use super::limits::TransactionLimits;
use super::staging::HasTeamLimit;
use crate::ids::MachineId;
use crate::jobs::model::{
    BLOCK, FinishedJob, JobId, Placement, StoredBlock, TaskBlock, TaskState, blocks,
};
use crate::membership::shard_of;
use crate::store::cluster_state::{ClusterState, Job};
use crate::store::keys;
use crate::time::Micros;
use crate::wire::state::Mutation;
use crate::wire::user::JobKind;
use std::collections::{BTreeMap, BTreeSet};

/// Mutations kept free for what is written along with the tasks' keys: the job's record, its end, the
/// team's key, the marker of a block that is split.
const RESERVED_MUTATIONS_PACKED: usize = 3;
/// The same where blocks are written plain.
const RESERVED_MUTATIONS_PLAIN: usize = 4;
/// Mutations that a gang needs beyond one for each of its blocks, where these are written plain.
const GANG_RESERVED_MUTATIONS: usize = 3;
/// Preconditions kept free while tasks are placed in plain blocks, for what is added at the end: the
/// job's record, its changed blocks, the team's key.
const RESERVED_PRECONDITIONS: usize = 4;
/// Preconditions of one placement: the machine's shard and the machine.
const PRECONDITIONS_PER_PLACEMENT: usize = 2;

/// The transaction that carries out the changes of one job, as far as they still hold; what does not
/// fit is left for the next one. `None` if there is nothing to write.
pub(super) fn draft(
    view: &ClusterState,
    id: &JobId,
    changes: &[&JobChange],
    has_team_limit: HasTeamLimit<'_>,
    limits: TransactionLimits,
) -> Option<TransactionDraft> {
    let mut builder = JobTransaction {
        view,
        id,
        job: view.jobs.get(id)?,
        limits,
        draft: TransactionDraft::default(),
        changed_blocks: BTreeMap::new(),
        changed_keys: BTreeSet::new(),
        machine_preconditions: BTreeMap::new(),
        places_tasks: false,
    };
    for change in changes {
        builder.apply(change);
    }
    builder.finish(has_team_limit)
}

/// A key that holds task states: a block's own, or a leaf of a split one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TaskKey {
    block: u32,
    leaf: u32,
}

/// How a job ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum JobEnd {
    /// All tasks are done.
    Completed,
    /// It is cancelled, and none of its tasks is on a machine.
    Cancelled,
}

/// A job's transaction while its changes are applied.
struct JobTransaction<'a> {
    view: &'a ClusterState,
    id: &'a JobId,
    job: &'a Job,
    limits: TransactionLimits,
    draft: TransactionDraft,
    /// Copies of the blocks that change.
    changed_blocks: BTreeMap<u32, TaskBlock>,
    /// Keys that will be written for the changed tasks.
    changed_keys: BTreeSet<TaskKey>,
    /// The keys of the machines that get tasks, and their versions.
    machine_preconditions: BTreeMap<String, u64>,
    places_tasks: bool,
}

impl JobTransaction<'_> {
    /// Applies a change, if the job's tasks are still as the change takes them to be.
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
        self.guard_shard_of(&placement.machine);
        if done && self.job.spec.kind == JobKind::Gang {
            // A gang completes together: if one task is done, every one is.
            for task in 0..self.job.spec.task_count {
                self.set_task(task, TaskState::Done);
            }
        } else if done {
            self.set_task(index, TaskState::Done);
        } else {
            self.set_task(index, TaskState::Waiting(attempt));
        }
    }

    /// Asks a running attempt to stop. A later request counts only if it leaves less grace.
    fn stop_attempt(&mut self, index: u32, attempt: u32, grace: Micros) {
        let Some(placement) = self.placement(index, attempt) else {
            return;
        };
        if placement.stop.is_some_and(|known| known <= grace) {
            return;
        }
        self.guard_shard_of(&placement.machine);
        let stopped = Placement {
            stop: Some(grace),
            ..placement
        };
        self.set_task(index, TaskState::Placed(stopped));
    }

    fn place(&mut self, tasks: &[(u32, MachineId, u64)]) {
        if self.job.cancelled() || !self.job.ready {
            return;
        }
        let all_wait = tasks
            .iter()
            .all(|(index, _, _)| matches!(self.task(*index), Some(TaskState::Waiting(_))));
        if !all_wait || !self.may_place_together(tasks.len()) {
            return;
        }
        let is_gang = self.job.spec.kind == JobKind::Gang;
        // Tasks of a gang find one another by their attempt: one number for all of them.
        let last_gang_attempt = match is_gang {
            true => self.job.slots().map(|(_, state)| state.attempt()).max(),
            false => None,
        };
        for (index, machine, session) in tasks {
            if !is_gang && !self.has_room_for_placement() {
                break;
            }
            let last_attempt = match is_gang {
                true => last_gang_attempt.unwrap_or(0),
                false => self.task(*index).map_or(0, |state| state.attempt()),
            };
            let placement = Placement {
                attempt: last_attempt + 1,
                machine: machine.clone(),
                session: *session,
                stop: None,
            };
            self.set_task(*index, TaskState::Placed(placement));
            self.guard_shard_of(machine);
            let machine_key = keys::machine(machine);
            let version = self.view.version(&machine_key);
            self.machine_preconditions.insert(machine_key, version);
        }
        self.places_tasks = true;
    }

    /// Whether so many tasks may be placed by one transaction: any number, but a gang only whole.
    fn may_place_together(&self, task_count: usize) -> bool {
        let spec = &self.job.spec;
        if spec.kind != JobKind::Gang {
            return true;
        }
        let block_count = blocks(spec.task_count) as usize;
        task_count == spec.task_count as usize
            && (self.limits.packed
                || block_count + GANG_RESERVED_MUTATIONS <= self.limits.max_mutations)
    }

    /// Whether the preconditions of one more placement fit; the rest of a large array follows in the
    /// next transaction. Written packed, a transaction that outgrows its limits is dealt with at the
    /// end.
    fn has_room_for_placement(&self) -> bool {
        let preconditions = self.draft.preconditions.len() + self.machine_preconditions.len();
        self.limits.packed
            || preconditions + RESERVED_PRECONDITIONS + PRECONDITIONS_PER_PLACEMENT
                <= self.limits.max_preconditions_with_reserve()
    }

    /// A task's state with the changes applied so far.
    fn task(&self, index: u32) -> Option<&TaskState> {
        match self.changed_blocks.get(&(index / BLOCK)) {
            Some(block) => block.0.get((index % BLOCK) as usize),
            None => self.job.slot(index),
        }
    }

    /// Where an attempt is placed, if it is the task's present one.
    fn placement(&self, index: u32, attempt: u32) -> Option<Placement> {
        match self.task(index) {
            Some(TaskState::Placed(placement)) if placement.attempt == attempt => {
                Some(placement.clone())
            }
            _ => None,
        }
    }

    /// Changes a task's state, as long as its key still fits into the transaction; what does not fit
    /// follows in the next one. A gang is never divided.
    fn set_task(&mut self, index: u32, state: TaskState) {
        let reserved = match self.limits.packed {
            true => RESERVED_MUTATIONS_PACKED,
            false => RESERVED_MUTATIONS_PLAIN,
        };
        let key = self.key_of_task(index);
        if !self.changed_keys.contains(&key)
            && self.changed_keys.len() + reserved > self.limits.max_mutations
            && self.job.spec.kind != JobKind::Gang
        {
            return;
        }
        self.changed_keys.insert(key);
        if let Some(block) = self.job.blocks.get(key.block as usize) {
            let block = self
                .changed_blocks
                .entry(key.block)
                .or_insert_with(|| block.clone());
            if let Some(slot) = block.0.get_mut((index % BLOCK) as usize) {
                *slot = state;
            }
        }
    }

    fn key_of_task(&self, index: u32) -> TaskKey {
        let block = index / BLOCK;
        let leaf = match self.job.tasks_per_part.get(block as usize) {
            Some(slots_per_leaf) if *slots_per_leaf > 0 => index % BLOCK / slots_per_leaf,
            _ => 0,
        };
        TaskKey { block, leaf }
    }

    /// Makes the transaction conditional on the machine's shard having the same owner and term. What
    /// is claimed of an attempt holds only that long: a controller that was cut off may send "its lease
    /// has expired" and have it delivered a minute later, when a newer owner has renewed that lease
    /// ever since.
    fn guard_shard_of(&mut self, machine: &str) {
        self.draft.guard(self.view, keys::shard(shard_of(machine)));
    }

    /// Writes the job's end or its changed blocks.
    fn finish(mut self, has_team_limit: HasTeamLimit<'_>) -> Option<TransactionDraft> {
        self.draft.guard(self.view, keys::job(self.id));
        if let Some(end) = self.end() {
            return self.finalize(end);
        }
        if self.changed_blocks.is_empty() {
            return None;
        }
        let newly_split = self.write_blocks();
        if self.places_tasks && has_team_limit(&self.job.spec.team) {
            self.write_team_key();
        }
        self.guard_machines();
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
        if !fits && self.limits.packed {
            tracing::debug!(
                job = %self.id,
                mutations = mutations.len(),
                preconditions = preconditions.len(),
                "changes of a job exceed the limits of a transaction"
            );
        }
        fits.then_some(self.draft)
    }

    /// The blocks with the changes applied.
    fn blocks(&self) -> impl Iterator<Item = &TaskBlock> {
        (0u32..)
            .zip(&self.job.blocks)
            .map(|(index, block)| self.changed_blocks.get(&index).unwrap_or(block))
    }

    /// Whether the job has ended, and how.
    fn end(&self) -> Option<JobEnd> {
        let every_task =
            |test: fn(&TaskState) -> bool| self.blocks().all(|block| block.0.iter().all(test));
        if every_task(|state| *state == TaskState::Done) {
            return Some(JobEnd::Completed);
        }
        let cancelled =
            self.job.cancelled() && every_task(|state| !matches!(state, TaskState::Placed(_)));
        cancelled.then_some(JobEnd::Cancelled)
    }

    /// Replaces the job's record by how it ended, and deletes as many of its other keys as fit; the
    /// rest is garbage collected later.
    fn finalize(mut self, end: JobEnd) -> Option<TransactionDraft> {
        let job_key = keys::job(self.id);
        let job_version = self.view.version(&job_key);
        let done = |block: &TaskBlock| {
            let done = block.0.iter().filter(|state| **state == TaskState::Done);
            done.count() as u32
        };
        let finished_job = FinishedJob {
            // A cancelled job stays cancelled, even when its tasks all completed meanwhile.
            cancelled: self.job.cancelled(),
            done: self.blocks().map(done).sum(),
            finished_at: match self.limits.newer_layout {
                true => self.limits.wall_clock,
                false => 0,
            },
        };
        self.draft
            .mutations
            .push(put(keys::finished_job(self.id), &finished_job));
        self.draft.mutations.push(Mutation::Delete { key: job_key });
        self.draft.bytes = RECORD_BYTES;
        if !self.limits.packed {
            self.delete_guarded_blocks();
            return Some(self.draft);
        }
        // Neither condition can cease to hold, so that no block needs a guard: what is done stays done,
        // and a cancelled job gets no placement that was not written before its cancellation. What was
        // written before that must be in the view, though.
        if end == JobEnd::Cancelled && self.job.spec.cancelled && self.view.revision < job_version {
            return None;
        }
        for key in self.view.secondary_keys(self.id) {
            if self.draft.mutations.len() < self.limits.max_mutations {
                self.draft.mutations.push(Mutation::Delete { key });
            }
        }
        Some(self.draft)
    }

    /// Deletes the blocks behind the first one, as far as they were written. The job's end is decided
    /// on the blocks as they are in the view, so that each is guarded.
    fn delete_guarded_blocks(&mut self) {
        let max_preconditions = self.limits.max_preconditions_with_reserve();
        for index in 1..self.job.blocks.len() as u32 {
            let key = keys::block(self.id, index);
            let version = self.view.version(&key);
            if self.draft.preconditions.len() + 1 < max_preconditions {
                self.draft.preconditions.insert(key.clone(), version);
            }
            if version > 0 && self.draft.mutations.len() < self.limits.max_mutations {
                self.draft.mutations.push(Mutation::Delete { key });
            }
        }
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

    /// Writes the changed blocks, and gives one that had to be split for that.
    fn write_blocks(&mut self) -> Option<u32> {
        // Taken out, as the writer borrows the rest.
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

    /// Whether the placements depend on those of the job's other tasks, as its zones matter. Writing
    /// the job's record every time lets only one such transaction succeed at a time.
    fn must_serialize_placements(&self) -> bool {
        let spec = &self.job.spec;
        self.places_tasks && (spec.single_zone || spec.zone_spread)
    }

    /// Writes the job's record, although its first block does not change. Gives the block's number if
    /// it had to be split for that.
    fn write_record(&self, draft: &mut TransactionDraft) -> Option<u32> {
        if let (true, Some(slots_per_leaf)) = (self.limits.packed, self.job.tasks_per_part.first())
            && *slots_per_leaf > 0
        {
            let record = (self.job.spec.as_ref(), StoredBlock::Split(*slots_per_leaf));
            draft.mutations.push(put(keys::job(self.id), &record));
            draft.bytes += RECORD_BYTES;
            return None;
        }
        let first = self.changed_blocks.get(&0).unwrap_or(&self.job.blocks[0]);
        let layout = self.block_writer().write(draft, 0, first);
        (layout == BlockLayout::NewlySplit).then_some(0)
    }

    /// Lets only one placement for a team with a limit succeed at a time.
    fn write_team_key(&mut self) {
        let key = keys::team(&self.job.spec.team);
        self.draft.guard(self.view, key.clone());
        self.draft.mutations.push(put(key, &self.id.to_string()));
    }

    /// Makes the transaction conditional on the keys of the machines that get tasks, so that none of
    /// them is being returned. That spares a start that is bound to fail and is no safety rule: a
    /// machine whose key is gone runs nothing. Where they are too many for a transaction, the terms of
    /// their shards stand for them.
    fn guard_machines(&mut self) {
        let preconditions = &mut self.draft.preconditions;
        let count = preconditions.len() + self.machine_preconditions.len();
        if !self.limits.packed || count <= self.limits.max_preconditions() {
            preconditions.append(&mut self.machine_preconditions);
        }
    }
}

/// Whether a transaction changes a key.
fn writes(draft: &TransactionDraft, key: &str) -> bool {
    draft.mutations.iter().any(|mutation| mutation.key() == key)
}
