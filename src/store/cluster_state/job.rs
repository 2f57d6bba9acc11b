//! [`Job`]: an unfinished job with its task blocks and the properties derived from its pipeline.

use crate::jobs::model::{
    JobId, JobSpec, Placement, TASKS_PER_BLOCK, TaskBlock, TaskState, block_count, unplaced_block,
};
use crate::time::Micros;
use crate::wire::user::Priority;
use std::ops::Range;
use std::rc::Rc;

/// An unfinished job. Modified only by `ClusterState`, which keeps the counters and indexes consistent.
pub struct Job {
    /// Specification.
    pub spec: Rc<JobSpec>,
    /// Task blocks. Blocks that were never written are in the initial state: every task waits and has no
    /// attempt.
    pub blocks: Vec<TaskBlock>,
    /// Number of waiting tasks.
    pub waiting: u32,
    /// Number of tasks placed on machines.
    pub placed: u32,
    /// Number of tasks done.
    pub done: u32,
    /// For each block: number of tasks in each of the part keys that it is split into, or 0 if it is in one
    /// key.
    pub tasks_per_part: Vec<u32>,
    /// Jobs that it depends on, without those that were already done when it was submitted.
    pub dependencies: Vec<JobId>,
    /// Whether every job that it depends on is durably recorded as `done`. All code that starts, provisions
    /// for or counts tasks relies on this flag: an unknown dependency is not proven to be done.
    pub ready: bool,
    /// Whether a direct or indirect dependency is cancelled, which cancels this job as well. This job never
    /// started, because that dependency was never done.
    pub dependency_cancelled: bool,
    /// Whether a peer reported its cancellation before the updated record was read. In the state service the
    /// job is cancelled.
    pub cancelled_by_digest: bool,
    /// Start of its waiting time, as wall-clock time: its submission or the end of its last dependency.
    pub waiting_since: Micros,
    /// Highest priority among its own and those of its dependents.
    pub priority: Priority,
    /// Latest end, as wall-clock time, with which its pipeline still meets its deadline.
    pub deadline_at: Option<Micros>,
    /// Deadline, relative to its submission, of the job from which `deadline_at` is derived.
    pub deadline_after_submission: Micros,
    /// Whether it has dependencies or dependents.
    pub in_pipeline: bool,
    /// Memory that the blocks have allocated, in bytes.
    pub(super) task_state_bytes: usize,
    /// Memory with which this job is included in [`Indexes::job_bytes`](super::Indexes), in bytes.
    pub(super) indexed_bytes: usize,
}

/// Returns the deadline in a job's own specification, as wall-clock time.
pub(super) fn own_deadline(spec: &JobSpec) -> Option<Micros> {
    spec.deadline.map(|deadline| spec.submitted_at + deadline)
}

impl Job {
    /// Creates a job of which no block was read yet.
    pub(super) fn new(spec: Rc<JobSpec>, has_dependents: bool) -> Job {
        let tasks = spec.task_count;
        let block_count = block_count(tasks);
        let blocks: Vec<TaskBlock> = (0..block_count)
            .map(|block| unplaced_block(tasks, block))
            .collect();
        Job {
            task_state_bytes: blocks.iter().map(TaskBlock::allocated_bytes).sum(),
            indexed_bytes: 0,
            blocks,
            waiting: tasks,
            placed: 0,
            done: 0,
            tasks_per_part: vec![0; block_count as usize],
            dependencies: Vec::new(),
            ready: spec.dependencies.is_empty(),
            dependency_cancelled: false,
            cancelled_by_digest: false,
            waiting_since: spec.submitted_at,
            priority: spec.priority,
            deadline_at: own_deadline(&spec),
            deadline_after_submission: spec.deadline.unwrap_or(0),
            in_pipeline: has_dependents,
            spec,
        }
    }

    /// Returns whether the job is cancelled, by its user or with a dependency.
    pub fn cancelled(&self) -> bool {
        self.spec.cancelled || self.dependency_cancelled || self.cancelled_by_digest
    }

    /// Returns whether only the final state remains to be written: all tasks are done, or the job is
    /// cancelled and has no task on a machine.
    pub fn is_finished(&self) -> bool {
        (self.cancelled() && self.placed == 0) || self.done == self.spec.task_count
    }

    /// Returns whether any of its blocks is split into several keys.
    pub fn has_split_blocks(&self) -> bool {
        self.tasks_per_part
            .iter()
            .any(|tasks_per_part| *tasks_per_part > 0)
    }

    /// Returns whether the job is a step of a pipeline with a deadline.
    pub fn is_deadline_step(&self) -> bool {
        self.in_pipeline && self.deadline_at.is_some()
    }

    /// Returns the number of tasks that may start now.
    pub fn queued(&self) -> u32 {
        if self.ready && !self.cancelled() {
            self.waiting
        } else {
            0
        }
    }

    /// Returns the state of the task with this index.
    pub fn task_state(&self, index: u32) -> Option<&TaskState> {
        self.blocks
            .get((index / TASKS_PER_BLOCK) as usize)?
            .get(index % TASKS_PER_BLOCK)
    }

    /// Returns the states of all tasks with their indexes.
    pub fn task_states(&self) -> impl Iterator<Item = (u32, &TaskState)> {
        self.task_runs()
            .flat_map(|(indexes, state)| indexes.map(move |index| (index, state)))
    }

    /// Returns the states of the tasks with the indexes of the consecutive tasks in each of them. Far fewer
    /// than the tasks of a large array.
    pub fn task_runs(&self) -> impl Iterator<Item = (Range<u32>, &TaskState)> {
        let first_indexes = (0u32..).step_by(TASKS_PER_BLOCK as usize);
        first_indexes.zip(&self.blocks).flat_map(|(first, block)| {
            block.runs().map(move |(positions, state)| {
                let indexes = first + positions.start..first + positions.end;
                (indexes, state)
            })
        })
    }

    /// Returns the indexes of the waiting tasks.
    pub fn waiting_indexes(&self) -> impl Iterator<Item = u32> {
        self.task_runs()
            .filter(|(_, state)| matches!(state, TaskState::Waiting(_)))
            .flat_map(|(indexes, _)| indexes)
    }

    /// Returns the largest number of attempts of a task so far; 0 if no task was started.
    pub fn last_attempt(&self) -> u32 {
        let attempts = self.task_runs().map(|(_, state)| state.last_attempt());
        attempts.max().unwrap_or(0)
    }

    /// Returns the placements of all tasks on machines with their indexes.
    pub fn placements(&self) -> impl Iterator<Item = (u32, &Placement)> {
        self.task_runs()
            .filter_map(|(indexes, state)| match state {
                TaskState::Placed(placement) => Some((indexes, placement)),
                _ => None,
            })
            .flat_map(|(indexes, placement)| indexes.map(move |index| (index, placement)))
    }
}
