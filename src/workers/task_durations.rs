//! Task durations, as observed in their workers' messages, for the fairness round. Pure.

use super::worker_state::WorkerState;
use crate::jobs::model::JobId;
use crate::store::cluster_state::{ClusterState, Job};
use crate::time::Micros;
use crate::wire::user::JobKind;
use crate::wire::worker::TaskStatus;
use foldhash::{HashMap, HashMapExt};

/// Durations of the two phases of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TaskDurations {
    /// Duration of the image fetch.
    pub fetch: Micros,
    /// Duration of the run.
    pub run: Micros,
}

impl From<TaskDurations> for [Micros; 2] {
    /// Returns the durations in the order of the phases, as in the fairness counts.
    fn from(durations: TaskDurations) -> [Micros; 2] {
        [durations.fetch, durations.run]
    }
}

/// A task that completed and had been seen running before.
pub struct FinishedTask {
    /// Job of the task.
    pub job: JobId,
    /// Durations of the task's phases.
    pub durations: TaskDurations,
}

/// Returns the durations so far (image fetch, run) of the longest active task of each job that is not a
/// service.
pub fn longest_active_tasks<'a>(
    machines: impl Iterator<Item = &'a WorkerState>,
    view: &ClusterState,
    now: Micros,
) -> HashMap<JobId, [Micros; 2]> {
    let mut longest: HashMap<JobId, [Micros; 2]> = HashMap::new();
    for worker in machines {
        for ((job, _), observed) in &worker.tasks {
            let is_service = |job: &Job| job.spec.kind == JobKind::Service;
            if view.jobs.get(job).is_none_or(is_service) {
                continue;
            }
            let phases = match observed.status {
                TaskStatus::Fetching => [now - observed.since, 0],
                TaskStatus::Running => [observed.fetch_time, now - observed.since],
                _ => continue,
            };
            let entry = longest.entry(job.clone()).or_default();
            if phases[0] + phases[1] > entry[0] + entry[1] {
                *entry = phases;
            }
        }
    }
    longest
}
