//! Reasons for pending jobs. Pure functions of the cluster state and of a schedule over all machines.

use super::Schedule;
use crate::jobs::model::JobId;
use crate::store::cluster_state::{ClusterState, Job};
use crate::wire::user::JobKind;
use serde::Serialize;
use std::collections::BTreeMap;

/// Reason why tasks of a job are pending. If several apply, the one that must be resolved first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PendingReason {
    /// A job that it depends on is not done.
    #[serde(rename = "needs")]
    Dependency,
    /// Tasks of the gang's last attempt are still on their machines: all its tasks start together.
    LastAttempt,
    /// Its tasks failed recently and the job is in backoff.
    #[serde(rename = "failed")]
    Backoff,
    /// Its team's quota holds back some of its tasks.
    #[serde(rename = "limit")]
    TeamLimit,
    /// No machine that it may use has enough free resources.
    #[serde(rename = "room")]
    NoCapacity,
    /// Its tasks are about to be placed, in queue order.
    #[serde(rename = "turn")]
    QueueOrder,
    /// No task waits for a machine: the tasks are fetching their image or running.
    #[serde(rename = "image")]
    ImageFetch,
}

/// Returns the reason for which a job is pending, and the number of tasks that it applies to; `None` if no
/// task is pending. `fetching` is the number of tasks on machines that are fetching the image.
pub fn pending_reason(
    schedule: &Schedule,
    id: &JobId,
    job: &Job,
    in_backoff: bool,
    fetching: u32,
) -> PendingStatus {
    if job.cancelled() || job.waiting + fetching == 0 {
        return None;
    }
    let limited = schedule.quota_limited_count(id);
    let unplaced = schedule
        .unplaced_tasks
        .iter()
        .filter(|(unplaced_id, _)| unplaced_id == id);
    let unplaced: u32 = unplaced.map(|(_, tasks)| tasks).sum();
    Some(if !job.ready {
        (PendingReason::Dependency, job.waiting)
    } else if job.waiting == 0 {
        (PendingReason::ImageFetch, fetching)
    } else if job.spec.kind == JobKind::Gang && job.waiting < job.spec.task_count {
        (PendingReason::LastAttempt, job.waiting)
    } else if in_backoff {
        (PendingReason::Backoff, job.waiting)
    } else if limited > 0 {
        (PendingReason::TeamLimit, limited)
    } else if unplaced > 0 {
        (PendingReason::NoCapacity, unplaced)
    } else {
        (PendingReason::QueueOrder, job.waiting)
    })
}

/// Reason for which a job is pending and the number of tasks that it applies to; `None` if no task is
/// pending.
pub type PendingStatus = Option<(PendingReason, u32)>;

/// Number of pending jobs and tasks and age in seconds of the oldest job, by team and reason.
pub type PendingCounts<'a> = BTreeMap<&'a str, BTreeMap<PendingReason, (u32, u64, f64)>>;

/// Counts pending jobs and tasks by team and reason.
pub fn count_pending<'a>(
    view: &'a ClusterState,
    wall_clock: u64,
    reason_of: &dyn Fn(&JobId, &Job) -> PendingStatus,
) -> PendingCounts<'a> {
    let mut counts = PendingCounts::new();
    for (id, job) in &view.jobs {
        let Some((reason, tasks)) = reason_of(id, job) else {
            continue;
        };
        let age_s = wall_clock.saturating_sub(job.waiting_since) as f64 / 1e6;
        let team = counts.entry(&*job.spec.team).or_default();
        let (jobs, all_tasks, oldest_s) = team.entry(reason).or_default();
        *jobs += 1;
        *all_tasks += u64::from(tasks);
        *oldest_s = oldest_s.max(age_s);
    }
    counts
}
