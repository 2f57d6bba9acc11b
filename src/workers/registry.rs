//! Registry of the workers in the shards that this controller owns, in memory only.
//!
//! [`WorkerRegistry`] owns every [`WorkerState`] and the state shared between them. Only the submodules
//! of `workers` change it; the reconciler and the fairness round read it. The entry of a machine exists
//! only while this controller owns the machine's shard, under the same term as the shard.

use super::backoff::BackoffState;
use super::command_log::CommandCounters;
use super::fencing_token::TokenFormat;
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

/// Time after the last message for which a machine without a record or tasks is kept, because a machine
/// that the cloud has just started sends heartbeats before its record is written.
const UNLISTED_MACHINE_RETENTION: Micros = 60 * SECOND;
/// Time after the last failed call at which the term is raised to make a blocking unacknowledged direct
/// start impossible. Most starts are acknowledged by then.
const RAISE_TERM_DELAY: Micros = 3 * SECOND;
/// Shortest time between two raises of a term because of attempts that cannot be forgotten. Each raise makes every
/// machine of the shard confirm a new token.
const MIN_TERM_DURATION: Micros = 10 * SECOND;
/// Time for which redirects are kept.
const REDIRECT_RETENTION: Micros = 15 * SECOND;
/// Maximum age of the last of several redirects at which a worker counts as having come back.
const RETURNED_REDIRECT_WINDOW: Micros = 3 * SECOND;
/// Maximum number of redirected workers in one message to a peer.
const MAX_RETURNED_REDIRECTS: usize = 50;

/// Redirects of a worker to another controller.
pub(super) struct Redirects {
    /// Name of the other controller.
    target: String,
    /// Time of the last redirect.
    last_at: Micros,
    /// Number of consecutive redirects to the same controller.
    count: u32,
}

/// Workers of the machines in the shards that this controller owns.
#[derive(Default)]
pub struct WorkerRegistry {
    pub(super) machines: RefCell<BTreeMap<MachineId, WorkerState>>,
    /// Machines to check in the next pass of the reconciler.
    pub(super) changed: RefCell<HashSet<MachineId>>,
    /// Machines whose record is being written.
    pub(super) machines_being_written: RefCell<HashSet<MachineId>>,
    /// Backoff of jobs whose tasks fail.
    pub(super) job_backoffs: RefCell<HashMap<JobId, BackoffState>>,
    /// Durations of finished tasks, by job: image fetch and run.
    pub(super) task_durations: RefCell<HashMap<JobId, Vec<[Micros; 2]>>>,
    /// Redirects of workers, by machine.
    redirected: RefCell<HashMap<String, Redirects>>,
    /// Regular time without contact after which machines with service replicas are probed.
    pub(super) probe_interval: Cell<Micros>,
    /// Time at which fast probing last started.
    pub(super) last_probe_failure: Cell<Micros>,
    /// Machines that need commands, which are checked every second until they need none.
    pub(super) machines_to_check: RefCell<HashSet<MachineId>>,
    /// Numbers of commands and of events of workers.
    pub(super) counters: CommandCounters,
    /// Number of writes that declared machines dead, from which the unique name of each such write is
    /// formed.
    pub(super) dead_declaration_count: Cell<u64>,
}

impl WorkerRegistry {
    /// Returns the workers by machine. The borrow must not be held across an await.
    pub fn machines(&self) -> Ref<'_, BTreeMap<MachineId, WorkerState>> {
        self.machines.borrow()
    }

    /// Returns the numbers of commands and of events of workers since the process started.
    pub fn counters(&self) -> &CommandCounters {
        &self.counters
    }

    /// Returns the durations of finished tasks, by job: image fetch and run.
    pub fn task_durations(&self) -> Ref<'_, HashMap<JobId, Vec<[Micros; 2]>>> {
        self.task_durations.borrow()
    }

    /// Returns the machines that changed since the last call, and clears the set.
    pub fn take_changed_workers(&self) -> HashSet<MachineId> {
        self.changed.take()
    }

    /// Returns the machines that need commands, are not fenced, or have had no contact for longer than
    /// `timeout`. All others were checked when their last message, or the last change of their record or
    /// tasks, arrived.
    pub fn machines_to_check(&self, timeout: Micros, now: Micros) -> HashSet<MachineId> {
        let mut out = self.machines_to_check.borrow().clone();
        let machines = self.machines.borrow();
        let needs_check = machines
            .iter()
            .filter(|(_, worker)| !worker.fenced() || worker.time_since_contact(now) > timeout);
        out.extend(needs_check.map(|(id, _)| id.clone()));
        out
    }

    /// Returns whether a job must not be started now because of its backoff.
    pub fn in_backoff(&self, job: &str, now: Micros) -> bool {
        let job_backoffs = self.job_backoffs.borrow();
        job_backoffs
            .get(job)
            .is_some_and(|state| state.is_active(now))
    }

    /// Returns the machines whose workers returned to this controller after redirects to the controller
    /// `from`.
    pub fn returned_redirects(&self, from: &str, now: Micros) -> Vec<String> {
        let redirected = self.redirected.borrow();
        let came_back = |redirects: &Redirects| {
            redirects.target == from
                && redirects.count >= 2
                && now.saturating_sub(redirects.last_at) < RETURNED_REDIRECT_WINDOW
        };
        redirected
            .iter()
            .filter(|(_, redirects)| came_back(redirects))
            .map(|(machine, _)| machine.clone())
            .take(MAX_RETURNED_REDIRECTS)
            .collect()
    }

    /// Records that a worker was redirected to another controller.
    pub(super) fn record_redirect(&self, machine: &str, target: &str, now: Micros) {
        let mut redirected = self.redirected.borrow_mut();
        redirected
            .retain(|_, redirects| now.saturating_sub(redirects.last_at) < REDIRECT_RETENTION);
        let entry = redirected.entry(machine.to_string()).or_insert(Redirects {
            target: target.to_string(),
            last_at: now,
            count: 0,
        });
        if entry.target != target {
            entry.target = target.to_string();
            entry.count = 0;
        }
        entry.last_at = now;
        entry.count += 1;
    }
}

impl Controller {
    /// Updates the registry so that it has an entry for every machine of the owned shards under the
    /// current term (`terms`, by shard), and no others.
    pub fn sync_machines(&self, view: &ClusterState, terms: &[Option<u64>], now: Micros) {
        let mut machines = self.workers.machines.borrow_mut();
        self.remove_unowned_machines(&mut machines, view, terms, now);
        self.add_missing_machines(&mut machines, view, terms, now);
        self.update_probe_interval(&machines, view);
        self.raise_terms_of_blocked_machines(&machines, view, now);
        let mut job_backoffs = self.workers.job_backoffs.borrow_mut();
        job_backoffs.retain(|job, _| view.jobs.contains_key(job));
        let mut durations = self.workers.task_durations.borrow_mut();
        durations.retain(|job, _| view.jobs.contains_key(job));
    }

    /// Removes machines of shards that this controller no longer owns under the same term, and machines
    /// that no longer exist.
    fn remove_unowned_machines(
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
                    || worker.time_since_contact(now) < UNLISTED_MACHINE_RETENTION);
            if let Some(address) = worker.identity.address.filter(|_| !keep) {
                self.http.close_idle_connections(address);
            }
            keep
        });
    }

    /// Adds the machines of the owned shards that have a record or tasks.
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

    /// Requests a higher term for the shards of machines that are in contact while a direct start that may
    /// still be executed blocks an attempt, and only a higher term makes the start impossible.
    fn raise_terms_of_blocked_machines(
        &self,
        machines: &BTreeMap<MachineId, WorkerState>,
        view: &ClusterState,
        now: Micros,
    ) {
        let blocked = machines.iter().filter(|(id, worker)| {
            worker.time_since_contact(now) < self.settings.heartbeat_interval * 2
                && (self.needs_term_for_direct_start(worker, view, now)
                    || needs_term_for_retained_attempts(view, id, worker, now))
        });
        self.membership
            .set_pending_term_increments(blocked.map(|(id, _)| shard_of(id)));
    }

    /// Returns whether a direct start blocks an attempt, and no answer to a heartbeat raises the token
    /// of the machine.
    fn needs_term_for_direct_start(
        &self,
        worker: &WorkerState,
        view: &ClusterState,
        now: Micros,
    ) -> bool {
        let token_is_raised = TokenFormat::in_use(view) == TokenFormat::TermAndIncrements
            && now.saturating_sub(worker.heartbeat.last_heartbeat_at)
                < self.settings.heartbeat_interval * 2;
        !token_is_raised
            && now.saturating_sub(worker.probes.last_failed_at) > RAISE_TERM_DELAY
            && worker.blocked_by_direct_start()
    }
}

/// Returns whether exited attempts that cannot be forgotten block a machine, and answers to heartbeats cannot raise
/// its token because controllers of earlier versions may run.
fn needs_term_for_retained_attempts(
    view: &ClusterState,
    machine: &MachineId,
    worker: &WorkerState,
    now: Micros,
) -> bool {
    let fenced_at = worker.heartbeat.fenced_at.unwrap_or(now);
    let no_tasks = BTreeMap::new();
    let placed = view.tasks_on(machine).unwrap_or(&no_tasks);
    TokenFormat::in_use(view) == TokenFormat::Term
        && now.saturating_sub(fenced_at) > MIN_TERM_DURATION
        && worker.blocked_by_retained_attempts(placed)
}
