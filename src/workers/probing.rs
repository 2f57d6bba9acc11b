//! Probes: calls to machines without due commands, which detect dead machines earlier than overdue
//! heartbeats do.
//!
//! Machines with service replicas are probed between two heartbeats, as often as the processor time
//! reserved for probes allows. All other machines are probed once a heartbeat is overdue.

use super::registry::WorkerRegistry;
use super::worker_state::WorkerState;
use crate::controller::Controller;
use crate::ids::MachineId;
use crate::store::cluster_state::ClusterState;
use crate::time::{Micros, SECOND, to_secs};
use foldhash::HashSet;
use std::collections::BTreeMap;

/// Shortest time without contact after which machines with replicas are probed. It is longer than the
/// timeout of a probe.
const MIN_PROBE_INTERVAL: Micros = 4 * SECOND / 5;
/// Number of probes per second for a whole core. At 0.3 ms each they take a thirteenth of the core.
const PROBES_PER_CORE_SECOND: f64 = 250.0;
/// Time after the first unanswered call during which all machines with replicas are probed at the
/// shortest interval, because several machines fail together as often as one fails alone.
const FAST_PROBING_DURATION: Micros = 3 * SECOND;
/// Time after the start of fast probing during which it does not start again.
const FAST_PROBING_COOLDOWN: Micros = 10 * SECOND;

impl WorkerRegistry {
    /// Returns the time without contact after which machines with replicas are probed at present.
    pub(super) fn probe_interval(&self, now: Micros) -> Micros {
        let regular_interval = self.probe_interval.get();
        if now.saturating_sub(self.last_probe_failure.get()) < FAST_PROBING_DURATION {
            return regular_interval.min(MIN_PROBE_INTERVAL);
        }
        regular_interval
    }

    /// Starts fast probing if the unanswered call is the worker's first since its last message, unless
    /// the cooldown is still running.
    pub(super) fn record_probe_failure(&self, worker: &WorkerState, now: Micros) {
        let last = self.last_probe_failure.get();
        if worker.probes.missed_probes == 0 && now.saturating_sub(last) > FAST_PROBING_COOLDOWN {
            self.last_probe_failure.set(now);
        }
    }
}

impl Controller {
    /// Adds to `changed` the machines that have to be called although nothing changed: those without
    /// contact for too long, those not fenced yet, and those whose retry delay after a call has passed.
    pub fn add_machines_due_for_call(&self, now: Micros, changed: &mut HashSet<MachineId>) {
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

    /// Returns whether the time since the last contact exceeds a heartbeat interval plus a tolerance.
    pub(super) fn heartbeat_overdue(&self, time_since_contact: Micros) -> bool {
        time_since_contact > self.settings.heartbeat_interval * 5 / 4 + SECOND / 4
    }

    /// Sets the probe interval from the number of machines with replicas.
    pub(super) fn update_probe_interval(
        &self,
        machines: &BTreeMap<MachineId, WorkerState>,
        view: &ClusterState,
    ) {
        let machine_count = machines.keys().filter(|id| runs_replicas(view, id)).count();
        let settings = &self.settings;
        let interval = probe_interval_for(
            machine_count,
            settings.cpu_share,
            settings.heartbeat_interval,
        );
        self.workers.probe_interval.set(interval);
    }
}

/// Returns whether service replicas run on a machine.
pub(super) fn runs_replicas(view: &ClusterState, id: &MachineId) -> bool {
    view.usage(id).service_tasks > 0
}

/// Returns the time without contact after which machines with replicas are probed, for this number of
/// such machines. The probes divide the time between two heartbeats evenly; their number is limited by
/// the processor time reserved for probes. `cpu_share` is the share of a CPU core that this controller
/// has; 0 means unknown and is treated as a whole core.
fn probe_interval_for(machine_count: usize, cpu_share: f64, heartbeat_interval: Micros) -> Micros {
    let share = if cpu_share > 0.0 { cpu_share } else { 1.0 };
    let probes_per_interval =
        share * PROBES_PER_CORE_SECOND * to_secs(heartbeat_interval) / machine_count.max(1) as f64;
    (heartbeat_interval / (probes_per_interval as u64 + 1)).max(MIN_PROBE_INTERVAL)
}

#[cfg(test)]
mod tests;
