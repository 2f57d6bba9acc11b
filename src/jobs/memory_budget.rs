//! Memory budget of unfinished jobs. A controller holds every unfinished job in memory and loads all of them at its
//! next start, so jobs for which there is no memory must not be accepted: a controller that is over its memory
//! is ended by the platform, at each start again, and an accepted job must never be forgotten.
//!
//! Every controller holds the same jobs, so all of them decide alike. Pure functions over the cluster state.

use super::model::JobSpec;
use crate::store::cluster_state::{ClusterState, estimated_bytes_of_unplaced_job};
use crate::wire::user::Priority;

/// Number of bytes in a megabyte of the settings.
const BYTES_PER_MEGABYTE: f64 = 1e6;
/// Share of a controller's memory for unfinished jobs. The rest is for the program, its connections and caches, messages
/// and passes in progress.
const JOB_MEMORY_SHARE: f64 = 0.5;
/// Share for jobs up to normal priority. What remains of `JOB_MEMORY_SHARE` is for those of higher priority, which a
/// burst of other jobs must not keep out.
const NORMAL_PRIORITY_MEMORY_SHARE: f64 = 0.4;

/// Error for a job that has to wait until others end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "unfinished jobs use {used_bytes} of {max_bytes} bytes reserved for them, and the job needs {needed_bytes}"
)]
pub struct MemoryExhausted {
    /// Memory of all unfinished jobs, in bytes.
    pub used_bytes: usize,
    /// Memory that they and the job may use, in bytes.
    pub max_bytes: usize,
    /// Memory of the job, in bytes.
    pub needed_bytes: usize,
}

/// Memory that unfinished jobs may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobMemoryBudget {
    memory_bytes: f64,
}

impl JobMemoryBudget {
    /// Returns the budget of a controller with this memory in megabytes; `None` if its memory is not limited.
    pub fn new(memory_mb: f64) -> Option<JobMemoryBudget> {
        (memory_mb > 0.0).then_some(JobMemoryBudget {
            memory_bytes: memory_mb * BYTES_PER_MEGABYTE,
        })
    }

    /// Returns the memory up to which jobs of a priority are accepted, in bytes.
    pub fn max_bytes(&self, priority: Priority) -> usize {
        let share = match priority {
            Priority::Production | Priority::High => JOB_MEMORY_SHARE,
            Priority::Normal | Priority::Low => NORMAL_PRIORITY_MEMORY_SHARE,
        };
        (self.memory_bytes * share) as usize
    }

    /// Checks that a new job fits into the budget with all unfinished jobs.
    pub fn check(&self, view: &ClusterState, spec: &JobSpec) -> Result<(), MemoryExhausted> {
        let shortage = MemoryExhausted {
            used_bytes: view.indexes().job_bytes,
            max_bytes: self.max_bytes(spec.priority),
            needed_bytes: estimated_bytes_of_unplaced_job(spec),
        };
        match shortage.used_bytes + shortage.needed_bytes <= shortage.max_bytes {
            true => Ok(()),
            false => Err(shortage),
        }
    }
}
