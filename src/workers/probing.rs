//! When machines are called although no command is due: to find dead ones sooner than their late
//! heartbeats would show.
//!
//! Machines with service replicas are probed between two heartbeats, as often as the processor time set
//! aside for it allows; all others once a heartbeat is late.

use super::registry::WorkerRegistry;
use super::worker_state::WorkerState;
use crate::controller::Controller;
use crate::ids::MachineId;
use crate::store::cluster_state::ClusterState;
use crate::time::{Micros, SECOND, to_secs};
use foldhash::HashSet;
use std::collections::BTreeMap;

/// Shortest silence after which machines with replicas are probed: little more than a call may take.
const MIN_PROBE_INTERVAL: Micros = 4 * SECOND / 5;
/// Calls a second that a whole core may spend on probes: a thirteenth of it, at 0.3 ms each.
const PROBES_PER_CORE_SECOND: f64 = 250.0;
/// Machines fail in numbers as often as alone: after the first unanswered call all with replicas are
/// probed at the shortest interval for this long ...
const FAST_PROBING_DURATION: Micros = 3 * SECOND;
/// ... and not again for this long after the alarm began.
const FAST_PROBING_COOLDOWN: Micros = 10 * SECOND;

impl WorkerRegistry {
    /// Silence after which machines with replicas are probed now.
    pub(super) fn probe_interval(&self, now: Micros) -> Micros {
        let usual = self.probe_interval.get();
        if now.saturating_sub(self.last_probe_failure.get()) < FAST_PROBING_DURATION {
            return usual.min(MIN_PROBE_INTERVAL);
        }
        usual
    }

    /// Raises the alarm when a call to a machine goes unanswered that had answered before.
    pub(super) fn record_probe_failure(&self, worker: &WorkerState, now: Micros) {
        let last = self.last_probe_failure.get();
        if worker.probes.missed_probes == 0 && now.saturating_sub(last) > FAST_PROBING_COOLDOWN {
            self.last_probe_failure.set(now);
        }
    }
}

impl Controller {
    /// Adds machines to `changed` to which nothing happened and that are to be called all the same:
    /// silent for too long, not fenced yet, or deferred after a call that failed.
    pub fn add_overdue_machines(&self, now: Micros, changed: &mut HashSet<MachineId>) {
        let view = self.watch_cache.view();
        let mut machines = self.workers.machines.borrow_mut();
        let probe_interval = self.workers.probe_interval(now);
        for (id, worker) in machines.iter_mut() {
            let outstanding = &mut worker.outstanding;
            if outstanding.in_flight || now < outstanding.not_before {
                continue;
            }
            let was_deferred = std::mem::take(&mut outstanding.not_before) > 0;
            let time_since_contact = worker.time_since_contact(now);
            if was_deferred
                || !worker.fenced()
                || self.heartbeat_overdue(time_since_contact)
                || (time_since_contact > probe_interval && runs_replicas(&view, id))
            {
                changed.insert(id.clone());
            }
        }
    }

    /// Whether a machine has been silent for longer than between two heartbeats.
    pub(super) fn heartbeat_overdue(&self, time_since_contact: Micros) -> bool {
        time_since_contact > self.settings.heartbeat_interval * 5 / 4 + SECOND / 4
    }

    /// Sets the probe interval by the number of machines with replicas.
    pub(super) fn update_probe_interval(
        &self,
        machines: &BTreeMap<MachineId, WorkerState>,
        view: &ClusterState,
    ) {
        let count = machines.keys().filter(|id| runs_replicas(view, id)).count();
        let settings = &self.settings;
        let interval = probe_interval_for(count, settings.core_share, settings.heartbeat_interval);
        self.workers.probe_interval.set(interval);
    }
}

/// Whether service replicas run on a machine.
pub(super) fn runs_replicas(view: &ClusterState, id: &MachineId) -> bool {
    view.usage(id).services > 0
}

/// Silence after which this many machines with replicas are probed: the probes divide the time between
/// two heartbeats evenly, as many of them as fit into their part of our processor time. `core_share`:
/// share of a core that this controller has; 0 if not known, taken for a whole one.
fn probe_interval_for(machines: usize, core_share: f64, heartbeat_interval: Micros) -> Micros {
    let share = if core_share > 0.0 { core_share } else { 1.0 };
    let probes_per_interval =
        share * PROBES_PER_CORE_SECOND * to_secs(heartbeat_interval) / machines.max(1) as f64;
    (heartbeat_interval / (probes_per_interval as u64 + 1)).max(MIN_PROBE_INTERVAL)
}

#[cfg(test)]
mod tests;
