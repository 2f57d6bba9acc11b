//! Whether workers can reach this controller. If only they cannot, it gives its shards up: its member record says
//! so, and others take them (`shard_assignment`). Owns [`WorkerReachability`]; the shard loop and the handler of
//! peer heartbeats change it.

use crate::controller::Controller;
use crate::time::{Micros, SECOND};
use std::cell::Cell;

/// Silence of our machines, or time since a redirect came back, within which we look whether it is us.
const NO_HEARTBEATS: Micros = 6 * SECOND;
/// How often the check runs; it looks at every machine.
const CHECK_INTERVAL: Micros = SECOND / 4;
/// How long a controller that workers could not reach takes no shards: it cannot tell when they reach it again,
/// as they report to others meanwhile, and tries anew after this.
const UNREACHABLE_PAUSE: Micros = 30 * SECOND;

/// Whether workers reach this controller, and what shows it. Times are those of the steady clock.
#[derive(Default)]
pub(super) struct WorkerReachability {
    /// Since when workers are taken not to reach us, if so.
    unreachable_since: Cell<Option<Micros>>,
    /// When a peer told us last that machines which it sent to us came back to it.
    last_redirect_back: Cell<Micros>,
    /// When the check ran last.
    last_check: Cell<Micros>,
}

/// What shows that workers cannot reach a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UnreachableEvidence {
    /// A peer sent machines here, and they came back to it.
    RedirectedBack,
    /// No machine has been heard for `NO_HEARTBEATS`.
    Silence,
}

/// Whether something shows that workers cannot reach this controller, and what. `last_heartbeat` is the latest of
/// any machine; without machines silence shows nothing.
fn unreachable_evidence(
    last_redirect_back: Micros,
    last_heartbeat: Option<Micros>,
    now: Micros,
) -> Option<UnreachableEvidence> {
    if now.saturating_sub(last_redirect_back) < NO_HEARTBEATS {
        return Some(UnreachableEvidence::RedirectedBack);
    }
    last_heartbeat
        .is_some_and(|heard| now.saturating_sub(heard) > NO_HEARTBEATS)
        .then_some(UnreachableEvidence::Silence)
}

impl WorkerReachability {
    pub(super) fn is_unreachable(&self) -> bool {
        self.unreachable_since.get().is_some()
    }

    pub(super) fn note_redirect_back(&self, now: Micros) {
        self.last_redirect_back.set(now);
    }

    /// Whether the check should run now. Ends the pause of a controller that gave its shards up when it is over.
    fn check_due(&self, now: Micros) -> bool {
        if now.saturating_sub(self.last_check.get()) < CHECK_INTERVAL {
            return false;
        }
        self.last_check.set(now);
        let Some(since) = self.unreachable_since.get() else {
            return true;
        };
        if now.saturating_sub(since) > UNREACHABLE_PAUSE {
            self.unreachable_since.set(None);
        }
        false
    }
}

impl Controller {
    /// Gives our shards up when it is us whom the workers cannot reach, and others could take them.
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
        let last_redirect_back = reachability.last_redirect_back.get();
        if let Some(evidence) = unreachable_evidence(last_redirect_back, last_heartbeat, now) {
            tracing::warn!(
                ?evidence,
                "workers cannot reach this controller, shards given up"
            );
            reachability.unreachable_since.set(Some(now));
        }
    }

    /// Whether we miss heartbeats of a machine that a peer sent here and that came back to it.
    pub(super) fn misses_heartbeats_of_any(&self, redirected_back: &[String], now: Micros) -> bool {
        let machines = self.workers.machines();
        redirected_back.iter().any(|id| {
            machines.get(id.as_str()).is_some_and(|machine| {
                now.saturating_sub(machine.heartbeat.last_contact_at)
                    > self.settings.heartbeat_interval * 3 / 2
            })
        })
    }
}

#[cfg(test)]
mod tests;
