//! Fairness among jobs and classes. The paper's control loop (its equations in `equations`, its algorithms
//! in `boosting`) raises the priority of waiting tasks of jobs that fall behind; `minimum_share` does the
//! like for classes of lower priority; `service_levels` counts what each class and team is given.
//!
//! Each controller writes the counts of its own machines (`task_counts`), the leader writes the boosts and
//! the service levels once a round (`rounds`). Every controller reads them in its scheduling.

pub mod boosting;
pub mod equations;
pub mod minimum_share;
pub mod rounds;
pub mod service_levels;
pub mod task_counts;
mod value_limit;

pub use boosting::round;
pub use equations::{JobActivity, merge, pending, performance, unfairness};

use crate::time::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What one controller knows about one job from its machines' heartbeats.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobCount {
    /// Finished tasks that were measured.
    #[serde(rename = "n")]
    pub finished: u32,
    /// Median durations of the phases of finished tasks: image fetch, run.
    #[serde(rename = "m")]
    pub medians: [Micros; 2],
    /// Durations so far of the phases of the active task that has taken longest.
    #[serde(rename = "u")]
    pub longest: [Micros; 2],
}

/// Counts of one controller: one stored value.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// By job.
    #[serde(rename = "j")]
    pub jobs: BTreeMap<String, JobCount>,
}

/// The boost of one job. Stored as a pair of numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct PriorityBoost {
    /// How many of its waiting tasks are boosted: Δ of equation 6, less those that started since.
    pub tasks: u32,
    /// To which level: higher ones go first; 0 is no boost.
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

/// The boosts of all jobs after one round: one stored value.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PriorityBoosts {
    /// By job.
    #[serde(rename = "j", default)]
    pub jobs: BTreeMap<String, PriorityBoost>,
}

#[cfg(test)]
mod tests;
