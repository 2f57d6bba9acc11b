//! Fairness among jobs and classes. The paper's control loop (equations in `equations`, algorithms in
//! `boosting`) raises the priority of waiting tasks of jobs with a large pending fraction; `minimum_share`
//! raises waiting tasks of starved classes of lower priority; `service_levels` counts accepted, started and
//! completed jobs for each class and team.
//!
//! Each controller writes the task counts of its machines (`task_counts`); the leader writes the boosts and
//! the service levels once per round (`rounds`). Every controller uses them for scheduling.

pub mod boosting;
pub mod equations;
pub mod minimum_share;
pub mod rounds;
pub mod service_levels;
pub mod task_counts;
mod value_limit;

pub use boosting::update_boosts;
pub use equations::{JobActivity, merge_counts, pending_fractions, performance, unfairness_degree};

use crate::time::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Task counts and durations of one job, from the heartbeats of one controller's machines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobTaskCounts {
    /// Number of finished tasks with measured durations.
    #[serde(rename = "n")]
    pub finished: u32,
    /// Median durations of the phases of finished tasks: image fetch and run.
    #[serde(rename = "m")]
    pub median_durations: [Micros; 2],
    /// Elapsed durations of the phases of the longest active task.
    #[serde(rename = "u")]
    pub longest_durations: [Micros; 2],
}

/// Task counts of one controller. Stored as one value.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskCounts {
    /// Counts by job.
    #[serde(rename = "j")]
    pub jobs: BTreeMap<String, JobTaskCounts>,
}

/// Priority boost of one job. Stored as a pair of numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct PriorityBoost {
    /// Number of waiting tasks that are boosted: Δ of equation 6, limited to the tasks that still wait.
    pub tasks: u32,
    /// Boost level; 0 means no boost. Boosts of later rounds have higher levels, but the scheduling queue
    /// treats all levels above 0 alike.
    pub level: u32,
}

impl From<(u32, u32)> for PriorityBoost {
    fn from((tasks, level): (u32, u32)) -> PriorityBoost {
        PriorityBoost { tasks, level }
    }
}

impl From<PriorityBoost> for (u32, u32) {
    fn from(boost: PriorityBoost) -> (u32, u32) {
        (boost.tasks, boost.level)
    }
}

/// Priority boosts of all jobs after one round. Stored as one value.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PriorityBoosts {
    /// Boosts by job.
    #[serde(rename = "j", default)]
    pub jobs: BTreeMap<String, PriorityBoost>,
}

#[cfg(test)]
mod tests;
