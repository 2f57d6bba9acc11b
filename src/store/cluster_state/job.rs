//! [`Job`]: an unfinished job with its task blocks and what its pipeline makes of it.

use crate::jobs::model::{BLOCK, JobId, JobSpec, Placement, TaskBlock, TaskState, blocks, fresh};
use crate::time::Micros;
use crate::wire::user::Priority;
use std::rc::Rc;

/// An unfinished job. Changed by `ClusterState` only, which keeps the counters and indexes in step.
pub struct Job {
    /// Specification.
    pub spec: Rc<JobSpec>,
    /// Task blocks; those never written are fresh: every task waits and has no attempt.
    pub blocks: Vec<TaskBlock>,
    /// Tasks that wait.
    pub waiting: u32,
    /// Tasks on machines.
    pub placed: u32,
    /// Tasks done.
    pub done: u32,
    /// For each block: tasks in each of the part keys that it is split into; 0 if it is in one key.
    pub tasks_per_part: Vec<u32>,
    /// Jobs that it depends on, as far as they were not done when it was submitted.
    pub dependencies: Vec<JobId>,
    /// Every job that it depends on has its durable `done`. Everything that starts, provisions for or counts
    /// tasks goes by this: a dependency of which nothing is known is not proved to be done.
    pub ready: bool,
    /// A job that it depends on, directly or through others, is cancelled: then so is this one. It never
    /// started, since that one was never done.
    pub dependency_cancelled: bool,
    /// A peer reported its cancellation ahead of its record: in the state service it is cancelled.
    pub cancelled_by_digest: bool,
    /// From when its waiting time counts, time of day: its submission, or the end of its last dependency.
    pub waiting_since: Micros,
    /// The highest priority among its own and those of its dependents.
    pub priority: Priority,
    /// When it must end for its pipeline to meet its deadline: time of day.
    pub deadline_at: Option<Micros>,
    /// How long after its submission the job whose deadline that is has to be done.
    pub deadline_after_submission: Micros,
    /// Whether it has dependencies or dependents.
    pub in_pipeline: bool,
}

/// When a job must be done by its own specification: time of day.
pub(super) fn own_deadline(spec: &JobSpec) -> Option<Micros> {
    spec.deadline.map(|deadline| spec.submitted_at + deadline)
}

impl Job {
    /// A job of which no block was read yet.
    pub(super) fn new(spec: Rc<JobSpec>, has_dependents: bool) -> Job {
        let tasks = spec.task_count;
        let block_count = blocks(tasks);
        Job {
            blocks: (0..block_count).map(|block| fresh(tasks, block)).collect(),
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

    /// Whether it is cancelled, by its own user or with a job that it depends on.
    pub fn cancelled(&self) -> bool {
        self.spec.cancelled || self.dependency_cancelled || self.cancelled_by_digest
    }

    /// Whether only its end is left to write: all tasks done, or cancelled with none on a machine.
    pub fn is_finished(&self) -> bool {
        (self.cancelled() && self.placed == 0) || self.done == self.spec.task_count
    }

    /// Whether it is a step of a pipeline with a deadline.
    pub fn is_deadline_step(&self) -> bool {
        self.in_pipeline && self.deadline_at.is_some()
    }

    /// Number of tasks that may start now.
    pub fn queued(&self) -> u32 {
        if self.ready && !self.cancelled() {
            self.waiting
        } else {
            0
        }
    }

    /// State of the task with an index.
    pub fn slot(&self, index: u32) -> Option<&TaskState> {
        self.blocks
            .get((index / BLOCK) as usize)?
            .0
            .get((index % BLOCK) as usize)
    }

    /// States of all tasks with their indexes.
    pub fn slots(&self) -> impl Iterator<Item = (u32, &TaskState)> {
        self.blocks
            .iter()
            .flat_map(|block| block.0.iter())
            .enumerate()
            .map(|(index, state)| (index as u32, state))
    }

    /// Placements of all tasks on machines with their indexes.
    pub fn placements(&self) -> impl Iterator<Item = (u32, &Placement)> {
        self.slots().filter_map(|(index, state)| match state {
            TaskState::Placed(placement) => Some((index, placement)),
            _ => None,
        })
    }
}
