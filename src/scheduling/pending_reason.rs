//! Why a job waits. Pure, from the view and a plan over all machines.

use super::Schedule;
use crate::jobs::model::JobId;
use crate::store::cluster_state::{ClusterState, Job};
use crate::wire::user::JobKind;
use serde::Serialize;
use std::collections::BTreeMap;

/// Why tasks of a job wait; of several reasons the first that has to go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PendingReason {
    /// Jobs that it needs are not done.
    #[serde(rename = "needs")]
    Dependency,
    /// Tasks of its last attempt are still on their machines: a gang starts as a whole.
    LastAttempt,
    /// Its tasks failed lately; they are tried again in a moment.
    #[serde(rename = "failed")]
    Backoff,
    /// Its team's limit.
    #[serde(rename = "limit")]
    TeamLimit,
    /// No machine that it may use has room for them.
    #[serde(rename = "room")]
    NoCapacity,
    /// They are about to be placed.
    #[serde(rename = "turn")]
    QueueOrder,
    /// None waits for a place: they fetch their image, or run.
    #[serde(rename = "image")]
    ImageFetch,
}

/// Why a job waits, with how many tasks; `None` if none of its tasks does. `fetching` tasks are on
/// machines that fetch the image.
pub fn pending_reason(
    schedule: &Schedule,
    id: &JobId,
    j: &Job,
    failed: bool,
    fetching: u32,
) -> Reason {
    if j.cancelled() || j.waiting + fetching == 0 {
        return None;
    }
    let limited = schedule.limited(id);
    let missing = schedule.unplaced.iter().filter(|(x, _)| x == id);
    let missing: u32 = missing.map(|(_, n)| n).sum();
    Some(if !j.ready {
        (PendingReason::Dependency, j.waiting)
    } else if j.waiting == 0 {
        (PendingReason::ImageFetch, fetching)
    } else if j.spec.kind == JobKind::Gang && j.waiting < j.spec.task_count {
        (PendingReason::LastAttempt, j.waiting)
    } else if failed {
        (PendingReason::Backoff, j.waiting)
    } else if limited > 0 {
        (PendingReason::TeamLimit, limited)
    } else if missing > 0 {
        (PendingReason::NoCapacity, missing)
    } else {
        (PendingReason::QueueOrder, j.waiting)
    })
}

/// Why a job waits, and with how many tasks.
pub type Reason = Option<(PendingReason, u32)>;

/// By team and reason: how many jobs and tasks wait, and how long the oldest has, in seconds.
pub type Counts<'a> = BTreeMap<&'a str, BTreeMap<PendingReason, (u32, u64, f64)>>;

/// Counts what waits.
pub fn count<'a>(
    v: &'a ClusterState,
    wall: u64,
    of: &dyn Fn(&JobId, &Job) -> Reason,
) -> Counts<'a> {
    let mut out = Counts::new();
    for (id, j) in &v.jobs {
        let Some((why, tasks)) = of(id, j) else {
            continue;
        };
        let team = out.entry(&*j.spec.team).or_default();
        let c = team.entry(why).or_default();
        c.0 += 1;
        c.1 += u64::from(tasks);
        c.2 = c.2.max(wall.saturating_sub(j.waiting_since) as f64 / 1e6);
    }
    out
}
