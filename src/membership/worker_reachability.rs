//! Detection that workers cannot reach this controller. If they cannot although it is otherwise connected,
//! the controller releases its shards: its member record states that it is unreachable, and other
//! controllers claim the shards (`shard_assignment`). Owns [`WorkerReachability`], which the shard loop and
//! the handler of peer heartbeats modify.

use crate::controller::Controller;
use crate::time::{Micros, SECOND};
use std::cell::Cell;

/// Time without a heartbeat from any machine after which workers are considered unable to reach this
/// controller. Also the time for which a returned redirect is evidence of that.
const HEARTBEAT_LOSS_TIMEOUT: Micros = 6 * SECOND;
/// Interval between checks; each check iterates over all machines.
const CHECK_INTERVAL: Micros = SECOND / 4;
/// Time for which a controller that workers could not reach takes no shards. It cannot detect when they
/// reach it again, as they report to other controllers in the meantime, and therefore retries after this
/// time.
const UNREACHABLE_BACKOFF_TIME: Micros = 30 * SECOND;

/// Whether workers reach this controller, and the evidence for it. Times are those of the monotonic clock.
#[derive(Default)]
pub(super) struct WorkerReachability {
    /// Time since which workers are considered unable to reach this controller, if they are.
    unreachable_since: Cell<Option<Micros>>,
    /// Time of the latest report by a peer that machines that it redirected to this controller came back to
    /// it.
    last_returned_redirect_at: Cell<Micros>,
    /// Time of the latest check.
    last_check_at: Cell<Micros>,
}

/// Evidence that workers cannot reach a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UnreachableEvidence {
    /// A peer redirected machines to the controller, and they came back to the peer.
    RedirectedBack,
    /// No heartbeat of any machine has arrived within `HEARTBEAT_LOSS_TIMEOUT`.
    Silence,
}

/// Returns the evidence that workers cannot reach this controller, if there is any. `last_heartbeat` is the
/// time of the latest heartbeat of any machine; without machines, missing heartbeats are no evidence.
fn unreachable_evidence(
    last_returned_redirect_at: Micros,
    last_heartbeat: Option<Micros>,
    now: Micros,
) -> Option<UnreachableEvidence> {
    if now.saturating_sub(last_returned_redirect_at) < HEARTBEAT_LOSS_TIMEOUT {
        return Some(UnreachableEvidence::RedirectedBack);
    }
    last_heartbeat
        .is_some_and(|received_at| now.saturating_sub(received_at) > HEARTBEAT_LOSS_TIMEOUT)
        .then_some(UnreachableEvidence::Silence)
}

impl WorkerReachability {
    pub(super) fn is_unreachable(&self) -> bool {
        self.unreachable_since.get().is_some()
    }

    pub(super) fn record_returned_redirect(&self, now: Micros) {
        self.last_returned_redirect_at.set(now);
    }

    /// Returns whether the check should run now. Ends the backoff of a controller that released its shards
    /// once its time is over.
    fn check_due(&self, now: Micros) -> bool {
        if now.saturating_sub(self.last_check_at.get()) < CHECK_INTERVAL {
            return false;
        }
        self.last_check_at.set(now);
        let Some(since) = self.unreachable_since.get() else {
            return true;
        };
        if now.saturating_sub(since) > UNREACHABLE_BACKOFF_TIME {
            self.unreachable_since.set(None);
        }
        false
    }
}

impl Controller {
    /// Releases this controller's shards if workers cannot reach it, as opposed to single failed machines,
    /// and there are other members that could claim them.
    pub(super) fn check_worker_reachability(&self) {
        let now = self.clock.now();
        let reachability = &self.membership.worker_reachability;
        if !reachability.check_due(now) {
            return;
        }
        let view = self.watch_cache.view();
        if !self.is_isolated(&view, now) || view.members.len() < 2 {
            return;
        }
        let machines = self.workers.machines();
        let last_heartbeat = machines
            .values()
            .map(|machine| machine.heartbeat.last_contact_at)
            .max();
        let last_returned_redirect_at = reachability.last_returned_redirect_at.get();
        if let Some(evidence) = unreachable_evidence(last_returned_redirect_at, last_heartbeat, now)
        {
            tracing::warn!(
                ?evidence,
                "workers cannot reach this controller; releasing its shards"
            );
            reachability.unreachable_since.set(Some(now));
        }
    }

    /// Returns whether heartbeats are missing from any machine that a peer redirected to this controller
    /// and that came back to the peer.
    pub(super) fn misses_heartbeats_of_any(
        &self,
        returned_redirects: &[String],
        now: Micros,
    ) -> bool {
        let machines = self.workers.machines();
        returned_redirects.iter().any(|id| {
            machines.get(id.as_str()).is_some_and(|machine| {
                now.saturating_sub(machine.heartbeat.last_contact_at)
                    > self.settings.heartbeat_interval * 3 / 2
            })
        })
    }
}

#[cfg(test)]
mod tests;
