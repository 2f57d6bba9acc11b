//! The workers of the shards that this controller owns, in memory only.
//!
//! [`WorkerRegistry`] owns every [`WorkerState`] and what belongs to them. It is changed by the
//! submodules of `workers` alone; the reconciler and the fairness round read it. Entries follow the
//! shards: one exists under exactly the term of its machine's shard.

use super::backoff::BackoffState;
use super::worker_state::WorkerState;
use crate::controller::Controller;
use crate::ids::MachineId;
use crate::jobs::model::JobId;
use crate::membership::shard_of;
use crate::store::cluster_state::ClusterState;
use crate::time::{Micros, SECOND};
use foldhash::{HashMap, HashSet};
use std::cell::{Cell, Ref, RefCell};
use std::collections::BTreeMap;

/// A machine without record and tasks is kept for this long after its last message: one that the
/// cloud has just started reports before its record is written.
const UNLISTED_MACHINE_MEMORY: Micros = 60 * SECOND;
/// An unacknowledged direct start that stands in the way is made impossible by a higher term this long
/// after the last call failed: most are acknowledged by then.
const RAISE_TERM_AFTER: Micros = 3 * SECOND;
/// Redirects are remembered for this long.
const REDIRECT_MEMORY: Micros = 15 * SECOND;
/// A worker that was redirected this recently, and more than once, came back in between.
const REDIRECTED_BACK_WITHIN: Micros = 3 * SECOND;
/// Redirected workers that one message to a peer names at most.
const MAX_REDIRECTED_BACK: usize = 50;

/// A worker that was redirected to another controller.
pub(super) struct Redirected {
    /// Name of that controller.
    to: String,
    /// When last.
    at: Micros,
    /// How often in a row to the same controller.
    times: u32,
}

/// The workers of the machines in our shards.
#[derive(Default)]
pub struct WorkerRegistry {
    pub(super) machines: RefCell<BTreeMap<MachineId, WorkerState>>,
    /// Machines to look at in the next pass of the reconciler.
    pub(super) changed: RefCell<HashSet<MachineId>>,
    /// Machines whose record is being written.
    pub(super) machines_being_written: RefCell<HashSet<MachineId>>,
    /// Jobs whose tasks fail.
    pub(super) job_backoffs: RefCell<HashMap<JobId, BackoffState>>,
    /// Durations of finished tasks, by job: image fetch and run.
    pub(super) durations: RefCell<HashMap<JobId, Vec<[Micros; 2]>>>,
    /// Redirected workers, by machine.
    redirected: RefCell<HashMap<String, Redirected>>,
    /// Usual silence after which machines with service replicas are probed.
    pub(super) probe_interval: Cell<Micros>,
    /// When a call to a machine went unanswered that had answered before.
    pub(super) last_probe_failure: Cell<Micros>,
    /// Machines that need commands: looked at each second until they do not.
    pub(super) unsettled: RefCell<HashSet<MachineId>>,
    /// Number of writes that declared machines dead: each has a name of its own.
    pub(super) dead_declaration_count: Cell<u64>,
}

impl WorkerRegistry {
    /// The machines. Not to be held over an await.
    pub fn machines(&self) -> Ref<'_, BTreeMap<MachineId, WorkerState>> {
        self.machines.borrow()
    }

    /// Durations of finished tasks, by job: image fetch and run.
    pub fn durations(&self) -> Ref<'_, HashMap<JobId, Vec<[Micros; 2]>>> {
        self.durations.borrow()
    }

    /// Machines that changed since this was asked last.
    pub fn take_changed(&self) -> HashSet<MachineId> {
        self.changed.take()
    }

    /// Machines that need commands, are not fenced, or have been silent for longer than `quiet`. What
    /// follows from the others was seen when a message of them, or a write about them, arrived.
    pub fn unsettled(&self, quiet: Micros, now: Micros) -> HashSet<MachineId> {
        let mut out = self.unsettled.borrow().clone();
        let machines = self.machines.borrow();
        let list = machines
            .iter()
            .filter(|(_, worker)| !worker.fenced() || worker.time_since_contact(now) > quiet);
        out.extend(list.map(|(id, _)| id.clone()));
        out
    }

    /// Whether a job's tasks failed so recently that it is not started now.
    pub fn in_backoff(&self, job: &str, now: Micros) -> bool {
        let job_backoffs = self.job_backoffs.borrow();
        job_backoffs
            .get(job)
            .is_some_and(|state| state.is_active(now))
    }

    /// Machines whose workers come back to us although we redirected them to this controller.
    pub fn redirected_back(&self, from: &str, now: Micros) -> Vec<String> {
        let redirected = self.redirected.borrow();
        let came_back = |r: &Redirected| {
            r.to == from && r.times >= 2 && now.saturating_sub(r.at) < REDIRECTED_BACK_WITHIN
        };
        redirected
            .iter()
            .filter(|(_, r)| came_back(r))
            .map(|(machine, _)| machine.clone())
            .take(MAX_REDIRECTED_BACK)
            .collect()
    }

    /// Records that a worker was redirected to another controller.
    pub(super) fn record_redirect(&self, machine: &str, to: &str, now: Micros) {
        let mut redirected = self.redirected.borrow_mut();
        redirected.retain(|_, r| now.saturating_sub(r.at) < REDIRECT_MEMORY);
        let entry = redirected.entry(machine.to_string()).or_insert(Redirected {
            to: to.to_string(),
            at: now,
            times: 0,
        });
        if entry.to != to {
            entry.to = to.to_string();
            entry.times = 0;
        }
        entry.at = now;
        entry.times += 1;
    }
}

impl Controller {
    /// Keeps an entry for every machine of our shards, under the current term (`terms`, by shard).
    pub fn adopt_machines(&self, view: &ClusterState, terms: &[Option<u64>], now: Micros) {
        let mut machines = self.workers.machines.borrow_mut();
        self.drop_foreign_machines(&mut machines, view, terms, now);
        self.add_missing_machines(&mut machines, view, terms, now);
        self.update_probe_interval(&machines, view);
        self.raise_terms_of_blocked_machines(&machines, now);
        let mut job_backoffs = self.workers.job_backoffs.borrow_mut();
        job_backoffs.retain(|job, _| view.jobs.contains_key(job));
        let mut durations = self.workers.durations.borrow_mut();
        durations.retain(|job, _| view.jobs.contains_key(job));
    }

    /// Drops machines of shards that we do not own under the same term any more, and those that are gone.
    fn drop_foreign_machines(
        &self,
        machines: &mut BTreeMap<MachineId, WorkerState>,
        view: &ClusterState,
        terms: &[Option<u64>],
        now: Micros,
    ) {
        machines.retain(|id, worker| {
            let keep = terms[shard_of(id) as usize] == Some(worker.term)
                && (view.machines.contains_key(id)
                    || view.tasks_on(id).is_some()
                    || worker.time_since_contact(now) < UNLISTED_MACHINE_MEMORY);
            if let Some(address) = worker.identity.address.filter(|_| !keep) {
                self.http.forget(address);
            }
            keep
        });
    }

    /// Adds the machines of our shards that have a record or tasks.
    fn add_missing_machines(
        &self,
        machines: &mut BTreeMap<MachineId, WorkerState>,
        view: &ClusterState,
        terms: &[Option<u64>],
        now: Micros,
    ) {
        for id in view.machines.keys().chain(view.tasks_by_machine.keys()) {
            if machines.contains_key(id) {
                continue;
            }
            let Some(term) = terms[shard_of(id) as usize] else {
                continue;
            };
            let mut worker = WorkerState::new(term, now);
            if let Some(record) = view.machines.get(id) {
                let address = record.address.as_ref();
                worker.identity.address = address.and_then(|a| a.parse().ok());
            }
            machines.insert(id.clone(), worker);
            self.workers.changed.borrow_mut().insert(id.clone());
        }
    }

    /// Asks for a higher term of the shards of machines that are in contact while an unacknowledged
    /// start blocks an attempt: only a higher term makes such a start impossible.
    fn raise_terms_of_blocked_machines(
        &self,
        machines: &BTreeMap<MachineId, WorkerState>,
        now: Micros,
    ) {
        let blocked = machines.iter().filter(|(_, worker)| {
            worker.blocked_by_unacknowledged_start()
                && worker.time_since_contact(now) < self.settings.heartbeat_interval * 2
                && now.saturating_sub(worker.probes.last_failed_at) > RAISE_TERM_AFTER
        });
        self.membership
            .raise_terms(blocked.map(|(id, _)| shard_of(id)));
    }
}
