//! The reconciliation loop: compares the cluster state with the machines' heartbeats, pass by pass, and
//! writes and commands what follows.
//!
//! Owns [`Reconciler`]: when which step ran last, the jobs with a transaction in flight, and what
//! heartbeats prove about attempts before it is written. Only this loop changes it.

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
use crate::time::{MILLI, Micros, SECOND};
use crate::workers::{self, WorkerState};
use decide::{BOOKKEEPING_RESERVE, PlanRequest, ReconcileInput, WriteBudget, WriteSchedule};
use foldhash::HashSet;
use futures_lite::FutureExt;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Shortest pause between two passes.
const MIN_PAUSE: Micros = 40 * MILLI;
/// The pause is at least this many times what the pass took, so that heartbeats and users are answered
/// while there is much to decide.
const PAUSE_PER_PASS_TIME: u64 = 4;
/// Longest wait for a change before a pass runs without one.
const IDLE_PASS_INTERVAL: Micros = SECOND / 5;
/// Machines that are unsettled or silent are compared with their task blocks this often.
const UNSETTLED_CHECK_INTERVAL: Micros = SECOND;
/// Every machine is compared with its task blocks this often. What changes meanwhile is seen when it
/// changes.
const FULL_SWEEP_INTERVAL: Micros = 5 * SECOND;
/// The time between two full sweeps is at least this many times what the last one took, so that a
/// large cluster does not spend all its processor time on them.
const SWEEP_INTERVAL_PER_SWEEP_TIME: u64 = 12;
/// Silent machines are looked for, and machines' keys written, this often.
const SILENCE_CHECK_INTERVAL: Micros = SECOND / 5;
/// Time that the jobs of a refused transaction stay in flight, so that it is not tried again at once.
const REFUSED_PAUSE: Micros = SECOND / 8;
/// Share of the state service's request limit that the controllers that are alive divide evenly. The
/// rest is for requests that are not counted here (lease renewals) and for clocks that differ.
pub const REQUEST_SHARE: f64 = 0.94;
/// The same for the limit of mutations.
pub const WRITE_SHARE: f64 = 0.97;

/// What the reconciliation loop remembers.
#[derive(Default)]
pub struct Reconciler {
    write_schedule: RefCell<WriteSchedule>,
    /// Jobs with a transaction in flight.
    jobs_in_flight: RefCell<HashSet<JobId>>,
    /// What heartbeats prove about attempts and the blocks do not say yet, by machine.
    ended_attempts: RefCell<BTreeMap<MachineId, Vec<JobChange>>>,
    last_unsettled_check: Cell<Micros>,
    last_full_sweep: Cell<Micros>,
    full_sweep_interval: Cell<Micros>,
    last_silence_check: Cell<Micros>,
    adoption: RefCell<Adoption>,
}

/// What machines were last adopted on, and when.
#[derive(Default)]
struct Adoption {
    machines_epoch: u64,
    /// Our term of each shard that we owned.
    terms: Vec<Option<u64>>,
    at: Micros,
}

/// What a pass looks at.
struct PassScope {
    now: Micros,
    /// Our term of each shard that we own.
    terms: Vec<Option<u64>>,
    /// Whether every machine is looked at.
    full_sweep: bool,
    /// Whether unsettled machines are.
    unsettled_check: bool,
    /// Machines whose heartbeat or tasks changed, and those that are unsettled if it is time.
    changed: HashSet<MachineId>,
}

impl Controller {
    /// Runs passes: one when something changed, and one a while after the last.
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
                self.pass();
            }
            let took = self.clock.now().saturating_sub(started);
            self.sleep(MIN_PAUSE.max(took * PAUSE_PER_PASS_TIME)).await;
        }
    }

    /// Our term of each shard; `None` for shards that we do not own.
    pub fn terms(&self, view: &ClusterState) -> Vec<Option<u64>> {
        (0..SHARD_COUNT)
            .map(|shard| self.term(view, shard))
            .collect()
    }

    /// One pass: everything that follows from the cluster state and the heartbeats as they are now.
    fn pass(self: &Rc<Controller>) {
        let mut scope = self.pass_scope();
        let staged = {
            let view = self.watch_cache.view();
            self.update_budget_share(&view);
            self.adopt_machines_if_due(&view, &scope);
            if self.watch_cache.current() {
                self.collect_ended_attempts(&view, &scope);
                self.decide(&view, &scope)
            } else {
                Vec::new()
            }
        };
        self.check_silence_if_due(&mut scope);
        for transaction in staged {
            self.spawn_commit(transaction);
        }
        let only = (!scope.full_sweep).then_some(&scope.changed);
        self.dispatch_commands(scope.now, only);
        if scope.full_sweep {
            let took = self.clock.now().saturating_sub(scope.now);
            let interval = FULL_SWEEP_INTERVAL.max(took * SWEEP_INTERVAL_PER_SWEEP_TIME);
            self.reconciler.last_full_sweep.set(scope.now);
            self.reconciler.full_sweep_interval.set(interval);
        }
    }

    /// Decides what a pass looks at. Between two full sweeps that is only machines that sent a
    /// heartbeat or whose tasks changed, and now and then the unsettled ones.
    fn pass_scope(&self) -> PassScope {
        let now = self.clock.now();
        let reconciler = &self.reconciler;
        let terms = self.terms(&self.watch_cache.view());
        let full_sweep = now.saturating_sub(reconciler.last_full_sweep.get())
            >= reconciler.full_sweep_interval.get();
        let mut changed = self.workers.take_changed();
        changed.extend(self.watch_cache.take_changed_machines());
        let unsettled_check =
            now.saturating_sub(reconciler.last_unsettled_check.get()) >= UNSETTLED_CHECK_INTERVAL;
        if unsettled_check {
            reconciler.last_unsettled_check.set(now);
            // Silent: the next heartbeat is overdue by a quarter of the interval.
            let silent_after = self.settings.heartbeat_interval * 5 / 4;
            changed.extend(self.workers.unsettled(silent_after, now));
            changed.extend(reconciler.ended_attempts.borrow().keys().cloned());
        }
        PassScope {
            now,
            terms,
            full_sweep,
            unsettled_check,
            changed,
        }
    }

    /// Keeps our share of the state service's limits: controllers that are alive divide them evenly.
    fn update_budget_share(&self, view: &ClusterState) {
        let alive = view.members.len().clamp(1, self.settings.peers.len() + 1) as f64;
        let limits = self.state_limits();
        self.watch_cache.client().set_rates(
            limits.rps * REQUEST_SHARE / alive,
            limits.write_rps * WRITE_SHARE / alive,
        );
    }

    /// Adopts machines of our shards: at every check, at once when our terms change, and soon after
    /// machines come or go, which on a large cluster they do all the time.
    fn adopt_machines_if_due(&self, view: &ClusterState, scope: &PassScope) {
        let changed = {
            let last = self.reconciler.adoption.borrow();
            let due = scope.now.saturating_sub(last.at) >= SILENCE_CHECK_INTERVAL;
            last.terms != scope.terms || (due && last.machines_epoch != view.machines_epoch)
        };
        if !scope.unsettled_check && !changed {
            return;
        }
        self.adopt_machines(view, &scope.terms, scope.now);
        *self.reconciler.adoption.borrow_mut() = Adoption {
            machines_epoch: view.machines_epoch,
            terms: scope.terms.clone(),
            at: scope.now,
        };
    }

    /// Collects what the machines' heartbeats prove about attempts.
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
            for id in &scope.changed {
                if let Some(worker) = machines.get(id) {
                    collect(id, worker);
                }
            }
        }
        ended.retain(|id, _| machines.contains_key(id));
    }

    /// The transactions of this pass.
    fn decide(&self, view: &ClusterState, scope: &PassScope) -> Vec<StagedTransaction> {
        let has_team_limit = |team: &str| {
            self.settings
                .team(team)
                .is_some_and(|team| team.has_limit())
        };
        let plan = |request: &PlanRequest<'_>| self.plan(view, &scope.terms, request, scope.now);
        let reconciler = &self.reconciler;
        let mut schedule = reconciler.write_schedule.borrow_mut();
        schedule.decide(&ReconcileInput {
            view,
            ended_attempts: &reconciler.ended_attempts.borrow(),
            jobs_in_flight: &reconciler.jobs_in_flight.borrow(),
            write_budget: self.write_budget(),
            limits: self.limits(),
            has_team_limit: &has_team_limit,
            plan: &plan,
            now: scope.now,
        })
    }

    fn write_budget(&self) -> WriteBudget {
        let (available, burst) = self.watch_cache.client().write_level();
        WriteBudget { available, burst }
    }

    /// Writes the machines' keys and looks for silent machines, which are added to the scope.
    fn check_silence_if_due(self: &Rc<Controller>, scope: &mut PassScope) {
        let now = scope.now;
        let last = &self.reconciler.last_silence_check;
        if scope.full_sweep || now.saturating_sub(last.get()) >= SILENCE_CHECK_INTERVAL {
            last.set(now);
            self.write_machine_records(now);
            self.add_overdue_machines(now, &mut scope.changed);
        }
    }

    /// Commits a transaction beside the loop. Its jobs count as in flight until the outcome is known.
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

    /// Commits a transaction. Whatever the outcome, the next passes decide anew on what is then in the
    /// cluster state; after a conflict or no answer that must be read again first.
    async fn commit(&self, staged: &StagedTransaction) {
        match self.watch_cache.transaction(&staged.transaction).await {
            TransactionOutcome::Done(_) => {}
            TransactionOutcome::Conflict(keys) => {
                tracing::debug!(?keys, "transaction conflicts with a newer version");
                self.watch_cache.linearizable_read().await;
            }
            TransactionOutcome::Refused(code) => {
                tracing::debug!(code, "transaction refused by the state service");
                self.sleep(REFUSED_PAUSE).await;
            }
            TransactionOutcome::Unknown => {
                // It may have been carried out, or may yet be: its preconditions keep that harmless.
                self.watch_cache.linearizable_read().await;
            }
        }
    }

    /// Deletes keys that ended jobs left behind.
    pub async fn clean(&self) {
        loop {
            let transaction = collect_garbage(&self.watch_cache.view(), self.limits());
            let Some(transaction) = transaction else {
                return;
            };
            match self.watch_cache.transaction(&transaction).await {
                TransactionOutcome::Done(_) => {}
                _ => return,
            }
            // More of it only with writes that nobody else needs.
            let WriteBudget { available, burst } = self.write_budget();
            if available < burst * BOOKKEEPING_RESERVE {
                return;
            }
        }
    }
}
