//! Why a job is pending. Pure, from the cluster state and a schedule over all machines.

use super::Schedule;
use crate::jobs::model::JobId;
use crate::store::cluster_state::{ClusterState, Job};
use crate::wire::user::JobKind;
use serde::Serialize;
use std::collections::BTreeMap;

/// Why tasks of a job are pending; of several reasons the first that has to be resolved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PendingReason {
    /// Jobs that it depends on are not done.
    #[serde(rename = "needs")]
    Dependency,
    /// Tasks of its last attempt are still on their machines: a gang starts as a whole.
    LastAttempt,
    /// Its tasks failed recently and are in back-off.
    #[serde(rename = "failed")]
    Backoff,
    /// Its team's quota.
    #[serde(rename = "limit")]
    TeamLimit,
    /// No machine that it may use has enough free resources.
    #[serde(rename = "room")]
    NoCapacity,
    /// They are about to be placed, in the order of the queue.
    #[serde(rename = "turn")]
    QueueOrder,
    /// None waits for a machine: they fetch their image, or run.
    #[serde(rename = "image")]
    ImageFetch,
}

/// Why a job waits, with how many tasks; `None` if none of its tasks does. `fetching` tasks are on
/// machines that fetch the image.
pub fn pending_reason(
    schedule: &Schedule,
    id: &JobId,
    job: &Job,
    in_backoff: bool,
    fetching: u32,
) -> Reason {
    if job.cancelled() || job.waiting + fetching == 0 {
        return None;
    }
    let limited = schedule.limited(id);
    let unplaced = schedule
        .unplaced
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

/// Why a job waits, and with how many tasks.
pub type Reason = Option<(PendingReason, u32)>;

/// By team and reason: how many jobs and tasks wait, and how long the oldest has, in seconds.
pub type PendingCounts<'a> = BTreeMap<&'a str, BTreeMap<PendingReason, (u32, u64, f64)>>;

/// Counts pending jobs and tasks by team and reason.
pub fn count<'a>(
    view: &'a ClusterState,
    wall_clock: u64,
    reason_of: &dyn Fn(&JobId, &Job) -> Reason,
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
