//! The reconciliation loop: each pass compares the cluster state with the machines' heartbeats, writes the
//! resulting changes and sends commands to the workers.
//!
//! Owns [`Reconciler`]: the time at which each step last ran, the jobs with a transaction in flight, and
//! the ended attempts that heartbeats prove before they are written. Only this loop changes it.

pub mod decide;
mod planning;
mod write_delay;

use crate::controller::Controller;
use crate::ids::MachineId;
use crate::jobs::commit::{JobChange, StagedTransaction, collect_garbage};
use crate::jobs::model::JobId;
use crate::membership::SHARD_COUNT;
use crate::store::client::TransactionOutcome;
use crate::store::cluster_state::ClusterState;
use crate::time::{MILLISECOND, Micros, SECOND};
use crate::workers::{self, WorkerState};
use decide::{BOOKKEEPING_RESERVE_SHARE, PlanRequest, ReconcileInput, WriteBudget, WriteSchedule};
use foldhash::HashSet;
use futures_lite::FutureExt;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Minimum pause between two passes.
const MIN_PASS_PAUSE: Micros = 40 * MILLISECOND;
/// Minimum ratio of the pause to the duration of the pass before it, so that heartbeats and user requests
/// are answered while passes are long.
const MIN_PAUSE_TO_PASS_RATIO: u64 = 4;
/// Maximum wait for a change before a pass runs without one.
const IDLE_PASS_INTERVAL: Micros = SECOND / 5;
/// Interval at which machines that need commands, are not fenced or have an overdue heartbeat (machines to
/// check) are compared with their task blocks.
const MACHINE_CHECK_INTERVAL: Micros = SECOND;
/// Minimum interval at which every machine is compared with its task blocks. Between two full sweeps
/// only machines that changed or are to be checked are compared.
const MIN_FULL_SWEEP_INTERVAL: Micros = 5 * SECOND;
/// Minimum ratio of the full sweep interval to the duration of the last full sweep, so that sweeps of a
/// large cluster do not use all processor time.
const MIN_INTERVAL_TO_SWEEP_RATIO: u64 = 12;
/// Interval at which machine records are written and machines that are due for a call are determined, for
/// example those with an overdue heartbeat.
const HEARTBEAT_CHECK_INTERVAL: Micros = SECOND / 5;
/// Time for which the jobs of a rejected transaction stay in flight, so that it is not retried at once.
const REFUSAL_RETRY_DELAY: Micros = SECOND / 8;
/// Share of the state service's request limit that the live controllers divide evenly. The rest covers
/// requests that this budget does not count (lease renewals) and clock skew.
pub const REQUEST_SHARE: f64 = 0.94;
/// Share of the state service's mutation limit that the live controllers divide evenly.
pub const WRITE_SHARE: f64 = 0.97;

/// State of the reconciliation loop.
#[derive(Default)]
pub struct Reconciler {
    write_schedule: RefCell<WriteSchedule>,
    /// Jobs with a transaction in flight.
    jobs_in_flight: RefCell<HashSet<JobId>>,
    /// Ended attempts, by machine, that heartbeats prove and the stored task blocks do not record yet.
    ended_attempts: RefCell<BTreeMap<MachineId, Vec<JobChange>>>,
    last_machine_check: Cell<Micros>,
    last_full_sweep: Cell<Micros>,
    full_sweep_interval: Cell<Micros>,
    last_heartbeat_check: Cell<Micros>,
    machine_sync: RefCell<MachineSync>,
}

/// Inputs and time of the last update of the registry of workers.
#[derive(Default)]
struct MachineSync {
    machines_change_count: u64,
    /// This controller's term of each shard, by shard; `None` for shards that it did not own.
    terms: Vec<Option<u64>>,
    synced_at: Micros,
}

/// Machines that a pass examines, and the time and terms of the pass.
struct PassScope {
    now: Micros,
    /// This controller's term of each shard, by shard; `None` for shards that it does not own.
    terms: Vec<Option<u64>>,
    /// Whether every machine is examined.
    full_sweep: bool,
    /// Whether the machines to check are examined.
    machine_check_due: bool,
    /// Machines whose heartbeat or tasks changed and, if a check is due, the machines to check.
    changed_machines: HashSet<MachineId>,
}

impl Controller {
    /// Runs a pass after each change, and after `IDLE_PASS_INTERVAL` without a change.
    pub async fn reconcile_loop(self: Rc<Controller>) {
        loop {
            if !self.watch_cache.notifier().take_notified() {
                let listener = self.watch_cache.notifier().listen();
                if !self.watch_cache.notifier().take_notified() {
                    listener.or(self.sleep(IDLE_PASS_INTERVAL)).await;
                    self.watch_cache.notifier().take_notified();
                }
            }
            let started = self.clock.now();
            if self.watch_cache.loaded() {
                self.run_pass();
            }
            let elapsed = self.clock.now().saturating_sub(started);
            self.sleep(MIN_PASS_PAUSE.max(elapsed * MIN_PAUSE_TO_PASS_RATIO))
                .await;
        }
    }

    /// Returns this controller's term of each shard, by shard; `None` for shards that it does not own.
    pub fn terms(&self, view: &ClusterState) -> Vec<Option<u64>> {
        (0..SHARD_COUNT)
            .map(|shard| self.term(view, shard))
            .collect()
    }

    /// Runs one pass over the current cluster state and heartbeats: writes changes and sends commands.
    fn run_pass(self: &Rc<Controller>) {
        let mut scope = self.pass_scope();
        let staged = {
            let view = self.watch_cache.view();
            self.update_budget_share(&view);
            self.sync_machines_if_due(&view, &scope);
            if self.watch_cache.is_current() {
                self.collect_ended_attempts(&view, &scope);
                self.stage_transactions(&view, &scope)
            } else {
                Vec::new()
            }
        };
        self.check_heartbeats_if_due(&mut scope);
        for transaction in staged {
            self.spawn_commit(transaction);
        }
        let dispatch_to = (!scope.full_sweep).then_some(&scope.changed_machines);
        self.dispatch_commands(scope.now, dispatch_to);
        if scope.full_sweep {
            let elapsed = self.clock.now().saturating_sub(scope.now);
            let interval = MIN_FULL_SWEEP_INTERVAL.max(elapsed * MIN_INTERVAL_TO_SWEEP_RATIO);
            self.reconciler.last_full_sweep.set(scope.now);
            self.reconciler.full_sweep_interval.set(interval);
        }
    }

    /// Selects the machines that a pass examines. Between two full sweeps these are only machines that
    /// sent a heartbeat or whose tasks changed and, every `MACHINE_CHECK_INTERVAL`, the machines to check.
    fn pass_scope(&self) -> PassScope {
        let now = self.clock.now();
        let reconciler = &self.reconciler;
        let terms = self.terms(&self.watch_cache.view());
        let full_sweep = now.saturating_sub(reconciler.last_full_sweep.get())
            >= reconciler.full_sweep_interval.get();
        let mut changed_machines = self.workers.take_changed_workers();
        changed_machines.extend(self.watch_cache.take_changed_machines());
        let machine_check_due =
            now.saturating_sub(reconciler.last_machine_check.get()) >= MACHINE_CHECK_INTERVAL;
        if machine_check_due {
            reconciler.last_machine_check.set(now);
            // A heartbeat is overdue a quarter of its interval after it was expected.
            let overdue_after = self.settings.heartbeat_interval * 5 / 4;
            changed_machines.extend(self.workers.machines_to_check(overdue_after, now));
            changed_machines.extend(reconciler.ended_attempts.borrow().keys().cloned());
        }
        PassScope {
            now,
            terms,
            full_sweep,
            machine_check_due,
            changed_machines,
        }
    }

    /// Updates this controller's share of the state service's limits: the live controllers divide them
    /// evenly.
    fn update_budget_share(&self, view: &ClusterState) {
        let alive = view.members.len().clamp(1, self.settings.peers.len() + 1) as f64;
        let limits = self.state_limits();
        self.watch_cache.client().set_rate_limits(
            limits.requests_per_s * REQUEST_SHARE / alive,
            limits.writes_per_s * WRITE_SHARE / alive,
        );
    }

    /// Updates the registry of the machines in this controller's shards: at every machine check, immediately
    /// after a term changes, and after machines are added or removed. On a large cluster the last happens
    /// all the time, so it causes at most one update every `HEARTBEAT_CHECK_INTERVAL`.
    fn sync_machines_if_due(&self, view: &ClusterState, scope: &PassScope) {
        let changed = {
            let last = self.reconciler.machine_sync.borrow();
            let due = scope.now.saturating_sub(last.synced_at) >= HEARTBEAT_CHECK_INTERVAL;
            last.terms != scope.terms
                || (due && last.machines_change_count != view.machines_change_count)
        };
        if !scope.machine_check_due && !changed {
            return;
        }
        self.sync_machines(view, &scope.terms, scope.now);
        *self.reconciler.machine_sync.borrow_mut() = MachineSync {
            machines_change_count: view.machines_change_count,
            terms: scope.terms.clone(),
            synced_at: scope.now,
        };
    }

    /// Collects the ended attempts that the machines' heartbeats prove.
    fn collect_ended_attempts(&self, view: &ClusterState, scope: &PassScope) {
        let machines = self.workers.machines();
        let mut ended = self.reconciler.ended_attempts.borrow_mut();
        let mut collect = |id: &MachineId, worker: &WorkerState| {
            let mut changes = Vec::new();
            let lease = self.settings.worker_lease;
            workers::reconcile(view, id, worker, lease, scope.now, &mut changes);
            if changes.is_empty() {
                ended.remove(id);
            } else {
                ended.insert(id.clone(), changes);
            }
        };
        if scope.full_sweep {
            for (id, worker) in machines.iter() {
                collect(id, worker);
            }
        } else {
            for id in &scope.changed_machines {
                if let Some(worker) = machines.get(id) {
                    collect(id, worker);
                }
            }
        }
        ended.retain(|id, _| machines.contains_key(id));
    }

    /// Returns the transactions of this pass.
    fn stage_transactions(&self, view: &ClusterState, scope: &PassScope) -> Vec<StagedTransaction> {
        let has_team_limit = |team: &str| {
            self.settings
                .team(team)
                .is_some_and(|team| team.has_limit())
        };
        let plan = |request: &PlanRequest<'_>| self.plan(view, &scope.terms, request, scope.now);
        let reconciler = &self.reconciler;
        let mut schedule = reconciler.write_schedule.borrow_mut();
        schedule.stage_due_writes(&ReconcileInput {
            view,
            ended_attempts: &reconciler.ended_attempts.borrow(),
            jobs_in_flight: &reconciler.jobs_in_flight.borrow(),
            write_budget: self.write_budget(),
            limits: self.transaction_limits(),
            has_team_limit: &has_team_limit,
            plan: &plan,
            now: scope.now,
        })
    }

    fn write_budget(&self) -> WriteBudget {
        let (available, burst) = self.watch_cache.client().write_budget();
        WriteBudget { available, burst }
    }

    /// Writes the machine records and adds the machines that are due for a call to the scope, if a check is
    /// due.
    fn check_heartbeats_if_due(self: &Rc<Controller>, scope: &mut PassScope) {
        let now = scope.now;
        let last = &self.reconciler.last_heartbeat_check;
        if scope.full_sweep || now.saturating_sub(last.get()) >= HEARTBEAT_CHECK_INTERVAL {
            last.set(now);
            self.write_machine_records(now);
            self.add_machines_due_for_call(now, &mut scope.changed_machines);
        }
    }

    /// Commits a transaction in a separate task. Its jobs are in flight until the outcome is known.
    fn spawn_commit(self: &Rc<Controller>, staged: StagedTransaction) {
        self.reconciler
            .jobs_in_flight
            .borrow_mut()
            .extend(staged.jobs.iter().cloned());
        let controller = self.clone();
        self.executor
            .spawn(async move {
                controller.commit(&staged).await;
                {
                    let mut in_flight = controller.reconciler.jobs_in_flight.borrow_mut();
                    for job in &staged.jobs {
                        in_flight.remove(job);
                    }
                }
                controller.watch_cache.notifier().notify();
            })
            .detach();
    }

    /// Commits a transaction. For every outcome, the next passes decide from the cluster state of that
    /// time. After a conflict or without a response, the state is read again first.
    async fn commit(&self, staged: &StagedTransaction) {
        match self.watch_cache.transaction(&staged.transaction).await {
            TransactionOutcome::Committed(_) => {}
            TransactionOutcome::Conflict(keys) => {
                tracing::debug!(?keys, "transaction conflicts with a newer version");
                self.watch_cache.linearizable_read().await;
            }
            TransactionOutcome::Rejected(code) => {
                tracing::debug!(code, "transaction refused by the state service");
                self.sleep(REFUSAL_RETRY_DELAY).await;
            }
            TransactionOutcome::Unknown => {
                // The transaction may have been applied or may be applied later. Its preconditions make
                // either case harmless.
                self.watch_cache.linearizable_read().await;
            }
        }
    }

    /// Deletes remaining keys of ended jobs.
    pub async fn delete_keys_of_ended_jobs(&self) {
        loop {
            let transaction = collect_garbage(&self.watch_cache.view(), self.transaction_limits());
            let Some(transaction) = transaction else {
                return;
            };
            match self.watch_cache.transaction(&transaction).await {
                TransactionOutcome::Committed(_) => {}
                _ => return,
            }
            // Continues only with the part of the write budget that no other write needs.
            let WriteBudget { available, burst } = self.write_budget();
            if available < burst * BOOKKEEPING_RESERVE_SHARE {
                return;
            }
        }
    }
}
