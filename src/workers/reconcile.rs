//! Comparison of a machine's newest message with the task blocks, to find attempts that have ended.
//! Pure.
//!
//! An attempt has ended only in these cases: its exit was reported; a newer message under the current
//! fencing token does not contain it and no start of it can still arrive; the worker has a later
//! session; the machine's record was deleted; or the worker's lease must have expired. Missing contact
//! alone is no proof.

use super::commands::desired_stop;
use super::worker_state::WorkerState;
use crate::ids::MachineId;
use crate::jobs::commit::JobChange;
use crate::jobs::model::{JobId, Placement};
use crate::store::cluster_state::ClusterState;
use crate::time::Micros;
use crate::wire::worker::{ExitReason, TaskStatus};

/// Appends to `out` the attempts on a machine that are proven to have ended.
pub fn reconcile(
    view: &ClusterState,
    machine: &MachineId,
    worker: &WorkerState,
    lease: Micros,
    now: Micros,
    out: &mut Vec<JobChange>,
) {
    let Some(placed) = view.tasks_on(machine) else {
        return;
    };
    // The record of a machine is deleted only after the machine was terminated with all its tasks.
    let terminated = !view.machines.contains_key(machine);
    let lease_expired = worker.lease_expired(lease, now);
    for (key, placement) in placed {
        let same_session = worker.session == placement.session;
        let end = if terminated
            || worker.session > placement.session
            || (lease_expired && same_session)
        {
            Some(AttemptEnd::NotDone)
        } else if same_session {
            end_in_session(view, worker, key, placement)
        } else {
            None
        };
        if let Some(end) = end {
            out.push(JobChange::AttemptEnded {
                job: key.0.clone(),
                index: key.1,
                attempt: placement.attempt,
                done: end == AttemptEnd::Done,
            });
        }
    }
}

/// Result of an attempt that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptEnd {
    /// The task completed.
    Done,
    /// The task did not complete, and has to run again unless its job has ended.
    NotDone,
}

/// Returns the end of an attempt that was placed in the worker's current session, or `None` if it is
/// not proven to have ended.
fn end_in_session(
    view: &ClusterState,
    worker: &WorkerState,
    key: &(JobId, u32),
    placement: &Placement,
) -> Option<AttemptEnd> {
    match worker.tasks.get(key) {
        Some(observed)
            if observed.attempt == placement.attempt && observed.status == TaskStatus::Exited =>
        {
            Some(match observed.reason {
                Some(ExitReason::Done) => AttemptEnd::Done,
                _ => AttemptEnd::NotDone,
            })
        }
        _ => {
            let to_stop = desired_stop(view, &key.0, placement).is_some();
            (to_stop && worker.is_absent(key, placement.attempt)).then_some(AttemptEnd::NotDone)
        }
    }
}

impl WorkerState {
    /// Returns whether an attempt is proven to be absent from the machine and can no longer start
    /// there.
    fn is_absent(&self, key: &(JobId, u32), attempt: u32) -> bool {
        let start = (key.0.clone(), key.1, attempt);
        let outstanding = &self.outstanding;
        self.fenced()
            && self.tasks.get(key).is_none_or(|o| o.attempt != attempt)
            && !outstanding.direct_starts.contains(&start)
            // A start in the answer to a heartbeat is executed before the next heartbeat or never.
            && outstanding
                .starts_in_response
                .get(&start)
                .is_none_or(|answered| self.heartbeat.heartbeat_sequence > *answered)
    }
}
