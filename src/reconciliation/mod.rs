//! The control loop: what follows from the view and the reports, pass by pass.

pub mod decide;

use crate::autoscaler::model::{MachineRecord, MachineState};
use crate::controller::Controller;
use crate::ids::MachineId;
use crate::jobs::commit::{JobChange, StagedTransaction, collect_garbage};
use crate::jobs::model::JobId;
use crate::membership::{SHARD_COUNT, shard_of};
use crate::scheduling::{self, SchedulableMachine, SchedulingInput, Writes};
use crate::store::client::TransactionOutcome;
use crate::store::cluster_state::{ClusterState, Job};
use crate::time::{MILLI, Micros, SECOND, wall};
use crate::wire::user::JobKind;
use crate::workers::{self, WorkerState};
use decide::{BOOKKEEPING_RESERVE, PlanRequest, ReconcileInput, WriteSchedule};
use foldhash::HashSet;
use futures_lite::FutureExt;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Pause between two control passes: at least this, and this many times what the pass took, so that
/// reports and users are answered while there is much to decide.
const PASS: Micros = 40 * MILLI;
const PASS_REST: u64 = 4;
/// A control pass at least this often.
const IDLE_PASS: Micros = SECOND / 5;
/// Machines that are not as they should be, or silent, are compared with their blocks this often.
const CHECK: Micros = SECOND;
/// Every machine is, and at most this part of the time goes into it. What changes meanwhile is seen when
/// it does.
const SWEEP: Micros = 5 * SECOND;
/// Silent machines are looked for, and machines' keys written, this often.
const SILENT: Micros = SECOND / 5;
const SWEEP_REST: u64 = 12;
/// Others' waiting tasks are taken only after this: their owner comes first.
const TAKE_SERVICE: Micros = 6 * SECOND / 5;
const TAKE_ARRAY: Micros = 3 * SECOND;
/// A step of a pipeline has little time to lose.
const TAKE_PIPED: Micros = 4 * SECOND / 5;
/// The same if their owner is not there.
const TAKE_ORPHAN: Micros = 3 * SECOND / 10;
/// The owner of this part places gangs.
const GANG_SHARD: u32 = 0;
/// The state service's limits are shared evenly by the controllers that are alive; a little stays
/// for requests that are not counted here (leases) and for clocks that differ.
pub const REQUEST_SHARE: f64 = 0.94;
/// The same for changes.
pub const WRITE_SHARE: f64 = 0.97;

/// What the control loop remembers.
#[derive(Default)]
pub struct Reconciler {
    rounds: RefCell<WriteSchedule>,
    /// Jobs with a transaction under way.
    busy: RefCell<HashSet<JobId>>,
    /// What machines' reports prove about attempts, and the blocks do not say yet.
    lefts: RefCell<BTreeMap<MachineId, Vec<JobChange>>>,
    checked: Cell<Micros>,
    swept: Cell<Micros>,
    sweep_every: Cell<Micros>,
    machines_checked_at: Cell<Micros>,
    adopted: RefCell<Adopted>,
}

/// The machines' epoch and our terms when machines were adopted last, and when that was.
#[derive(Default)]
struct Adopted {
    epoch: u64,
    terms: Vec<Option<u64>>,
    at: Micros,
}

impl Controller {
    /// Runs passes, one when something changed and one a while after the last.
    pub async fn reconcile_loop(self: Rc<Controller>) {
        loop {
            if !self.watch_cache.notifier().take_notified() {
                let l = self.watch_cache.notifier().listen();
                if !self.watch_cache.notifier().take_notified() {
                    l.or(self.sleep(IDLE_PASS)).await;
                    self.watch_cache.notifier().take_notified();
                }
            }
            let begun = self.clock.now();
            if self.watch_cache.loaded() {
                self.pass();
            }
            let took = self.clock.now().saturating_sub(begun);
            self.sleep(PASS.max(took * PASS_REST)).await;
        }
    }

    /// Terms under which we drive each part.
    pub fn terms(&self, view: &ClusterState) -> Vec<Option<u64>> {
        (0..SHARD_COUNT).map(|p| self.term(view, p)).collect()
    }

    /// One pass: everything that follows from the view and the reports as they are now. Between two
    /// sweeps only machines are looked at that were heard, or whose tasks changed.
    fn pass(self: &Rc<Controller>) {
        let now = self.clock.now();
        let terms = self.terms(&self.watch_cache.view());
        let full =
            now.saturating_sub(self.reconciler.swept.get()) >= self.reconciler.sweep_every.get();
        let mut changed = self.workers.take_changed();
        changed.extend(self.watch_cache.take_changed_machines());
        let check = now.saturating_sub(self.reconciler.checked.get()) >= CHECK;
        if check {
            self.reconciler.checked.set(now);
            changed.extend(
                self.workers
                    .unsettled(self.settings.heartbeat_interval * 5 / 4, now),
            );
            changed.extend(self.reconciler.lefts.borrow().keys().cloned());
        }
        let mut staged: Vec<StagedTransaction> = Vec::new();
        {
            let view = self.watch_cache.view();
            self.share(&view);
            // Machines come and go all the time on a large fleet.
            let came = {
                let adopted = self.reconciler.adopted.borrow();
                let due = now.saturating_sub(adopted.at) >= SILENT;
                adopted.terms != terms || (due && adopted.epoch != view.machines_epoch)
            };
            if check || came {
                self.adopt_machines(&view, &terms, now);
                *self.reconciler.adopted.borrow_mut() = Adopted {
                    epoch: view.machines_epoch,
                    terms: terms.clone(),
                    at: now,
                };
            }
            if self.watch_cache.current() {
                self.look(&view, full, &changed, now);
                let capped = |t: &str| self.settings.team(t).is_some_and(|t| t.has_limit());
                let plan = |wish: &PlanRequest<'_>| self.plan(&view, &terms, wish, now);
                staged = self.reconciler.rounds.borrow_mut().decide(&ReconcileInput {
                    view: &view,
                    ended_attempts: &self.reconciler.lefts.borrow(),
                    jobs_in_flight: &self.reconciler.busy.borrow(),
                    write_budget: self.watch_cache.client().write_level(),
                    limits: self.limits(),
                    has_team_limit: &capped,
                    plan: &plan,
                    now,
                });
            }
        }
        if full || now.saturating_sub(self.reconciler.machines_checked_at.get()) >= SILENT {
            self.reconciler.machines_checked_at.set(now);
            self.write_machine_records(now);
            self.add_overdue_machines(now, &mut changed);
        }
        for s in staged {
            self.reconciler
                .busy
                .borrow_mut()
                .extend(s.jobs.iter().cloned());
            let n = self.clone();
            self.executor
                .spawn(async move {
                    n.commit(&s).await;
                    let mut busy = n.reconciler.busy.borrow_mut();
                    for j in &s.jobs {
                        busy.remove(j);
                    }
                    drop(busy);
                    n.watch_cache.notifier().notify();
                })
                .detach();
        }
        self.dispatch_commands(now, (!full).then_some(&changed));
        if full {
            let took = self.clock.now().saturating_sub(now);
            self.reconciler.swept.set(now);
            self.reconciler
                .sweep_every
                .set(SWEEP.max(took * SWEEP_REST));
        }
    }

    /// Keeps our share of the state service's limits: those who are alive share them.
    fn share(&self, view: &ClusterState) {
        let n = view.members.len().clamp(1, self.settings.peers.len() + 1) as f64;
        let l = self.state_limits();
        self.watch_cache
            .client()
            .set_rates(l.rps * REQUEST_SHARE / n, l.write_rps * WRITE_SHARE / n);
    }

    /// What the machines' reports prove.
    fn look(&self, view: &ClusterState, full: bool, changed: &HashSet<MachineId>, now: Micros) {
        let machines = self.workers.machines();
        let mut lefts = self.reconciler.lefts.borrow_mut();
        let mut one = |id: &MachineId, m: &WorkerState| {
            let mut out = Vec::new();
            workers::reconcile(view, id, m, self.settings.worker_lease, now, &mut out);
            if out.is_empty() {
                lefts.remove(id);
            } else {
                lefts.insert(id.clone(), out);
            }
        };
        if full {
            for (id, m) in machines.iter() {
                one(id, m);
            }
        } else {
            for id in changed {
                if let Some(m) = machines.get(id) {
                    one(id, m);
                }
            }
        }
        lefts.retain(|id, _| machines.contains_key(id));
    }

    /// The plan for our machines, and of gangs if these fall to us.
    fn plan(
        &self,
        view: &ClusterState,
        terms: &[Option<u64>],
        wish: &PlanRequest<'_>,
        now: Micros,
    ) -> Vec<JobChange> {
        if terms.iter().all(Option::is_none) {
            return Vec::new();
        }
        let machines = self.workers.machines();
        // Jobs belong to parts as machines do.
        let mine = |name: &str| terms[shard_of(name) as usize].is_some();
        let gangs = wish.deadline_steps && terms[GANG_SHARD as usize].is_some();
        let gang = |j: &Job| j.spec.kind == JobKind::Gang && j.queued() > 0;
        let waits = gangs && view.waiting().any(|(_, j)| gang(j));
        // Seldom asked for: without mute machines no plan looks at all of them.
        let many_inbound_partitions = OnceCell::new();
        let many = |m: &WorkerState| {
            m.inbound_partition()
                && *many_inbound_partitions
                    .get_or_init(|| workers::many_inbound_partitions(&machines))
        };
        let mut services = view.waiting_services().filter(|(_, j)| j.queued() > 0);
        let serves = services.any(|(id, _)| mine(id));
        let open = |id: &MachineId, h: &MachineRecord| {
            if !matches!(h.state, MachineState::Up | MachineState::Booting) {
                return None;
            }
            match machines.get(id) {
                Some(m) => {
                    let session = workers::schedulable_session(
                        m,
                        h.session,
                        many(m),
                        (self.settings.heartbeat_interval, now),
                    );
                    session.map(|session| SchedulableMachine {
                        session,
                        owned: true,
                    })
                }
                None if !(waits || serves) || mine(id) => None,
                None => {
                    let session = match h.state {
                        MachineState::Up => Some(h.session),
                        _ => self.membership.ready_at_peer(id, now),
                    };
                    session.map(|session| SchedulableMachine {
                        session,
                        owned: false,
                    })
                }
            }
        };
        let in_backoff = |j: &str| {
            if self.workers.in_backoff(j, now) {
                return true;
            }
            let Some(job) = view.jobs.get(j) else {
                return true;
            };
            if mine(j) || job.spec.kind == JobKind::Gang {
                return false;
            }
            let alive = view.shards.get(&shard_of(j)).is_some_and(|p| {
                view.members
                    .get(&p.owner)
                    .is_some_and(|m| m.lease == p.lease)
            });
            let wait = match (alive, job.spec.kind) {
                (false, _) => TAKE_ORPHAN,
                _ if job.is_deadline_step() => TAKE_PIPED,
                (true, JobKind::Service) => TAKE_SERVICE,
                _ => TAKE_ARRAY,
            };
            wall().saturating_sub(job.waiting_since) < wait
        };
        let under_way = self.reconciler.busy.borrow();
        let busy = |id: &JobId| under_way.contains(id);
        scheduling::schedule(&SchedulingInput {
            view,
            wall_clock: wall(),
            teams: &self.settings.teams,
            objectives: &self.settings.objectives,
            schedulable: &open,
            freed: wish.freed,
            in_backoff: &in_backoff,
            owns_job: &mine,
            owns_machine: &mine,
            place_gangs: gangs,
            place_arrays: wish.arrays,
            place_deadline_steps: wish.deadline_steps,
            forecast: false,
            write_limit: wish.max_jobs.map(|jobs| Writes { jobs, busy: &busy }),
        })
        .changes
    }

    async fn commit(&self, s: &StagedTransaction) {
        match self.watch_cache.transaction(&s.transaction).await {
            TransactionOutcome::Done(_) => {}
            TransactionOutcome::Conflict(keys) => {
                tracing::debug!(?keys, "conflict");
                self.watch_cache.linearizable_read().await;
            }
            TransactionOutcome::Refused(code) => {
                tracing::debug!(code, "refused");
                self.sleep(SECOND / 8).await;
            }
            TransactionOutcome::Unknown => {
                // It may have been carried out, or may yet be: its guards keep that harmless.
                self.watch_cache.linearizable_read().await;
            }
        }
    }

    /// Deletes what jobs that are over left behind.
    pub async fn clean(&self) {
        loop {
            let t = collect_garbage(&self.watch_cache.view(), self.limits());
            let Some(t) = t else { return };
            match self.watch_cache.transaction(&t).await {
                TransactionOutcome::Done(_) => {}
                _ => return,
            }
            // More of it only with writes that nobody else needs.
            let (level, burst) = self.watch_cache.client().write_level();
            if level < burst * BOOKKEEPING_RESERVE {
                return;
            }
        }
    }
}
