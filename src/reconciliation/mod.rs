//! The control loop: what follows from the view and the reports, pass by pass.

pub mod decide;

use crate::autoscaler::model::{Host, HostState};
use crate::controller::Node;
use crate::ids::HostId;
use crate::jobs::commit::{Intent, Staged, sweep};
use crate::jobs::model::JobId;
use crate::membership::{PARTS, part_of};
use crate::scheduling::{self, Open, Scene, Writes};
use crate::store::client::Outcome;
use crate::store::cluster_state::{Job, View};
use crate::time::{MILLI, Micros, SECOND, wall};
use crate::wire::user::Shape;
use crate::workers::{self, Machine};
use decide::{KEEP_BOOKS, Pass, Rounds, Wish};
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
const GANGS: u32 = 0;
/// The state service's limits are shared evenly by the controllers that are alive; a little stays
/// for requests that are not counted here (leases) and for clocks that differ.
pub const REQUEST_SHARE: f64 = 0.94;
/// The same for changes.
pub const WRITE_SHARE: f64 = 0.97;

/// What the control loop remembers.
#[derive(Default)]
pub struct Control {
    rounds: RefCell<Rounds>,
    /// Jobs with a transaction under way.
    busy: RefCell<HashSet<JobId>>,
    /// What machines' reports prove about attempts, and the blocks do not say yet.
    lefts: RefCell<BTreeMap<HostId, Vec<Intent>>>,
    checked: Cell<Micros>,
    swept: Cell<Micros>,
    sweep_every: Cell<Micros>,
    hosts_at: Cell<Micros>,
    adopted: RefCell<Adopted>,
}

/// The machines' epoch and our terms when machines were adopted last, and when that was.
#[derive(Default)]
struct Adopted {
    epoch: u64,
    terms: Vec<Option<u64>>,
    at: Micros,
}

impl Node {
    /// Runs passes, one when something changed and one a while after the last.
    pub async fn control_loop(self: Rc<Node>) {
        loop {
            if !self.feed.bell().rang() {
                let l = self.feed.bell().listen();
                if !self.feed.bell().rang() {
                    l.or(self.sleep(IDLE_PASS)).await;
                    self.feed.bell().rang();
                }
            }
            let begun = self.clock.now();
            if self.feed.loaded() {
                self.pass();
            }
            let took = self.clock.now().saturating_sub(begun);
            self.sleep(PASS.max(took * PASS_REST)).await;
        }
    }

    /// Terms under which we drive each part.
    pub fn terms(&self, view: &View) -> Vec<Option<u64>> {
        (0..PARTS).map(|p| self.term(view, p)).collect()
    }

    /// One pass: everything that follows from the view and the reports as they are now. Between two
    /// sweeps only machines are looked at that were heard, or whose tasks changed.
    fn pass(self: &Rc<Node>) {
        let now = self.clock.now();
        let terms = self.terms(&self.feed.view());
        let full = now.saturating_sub(self.control.swept.get()) >= self.control.sweep_every.get();
        let mut dirty = self.fleet.take_dirty();
        dirty.extend(self.feed.take_touched());
        let check = now.saturating_sub(self.control.checked.get()) >= CHECK;
        if check {
            self.control.checked.set(now);
            dirty.extend(self.fleet.restless(self.settings.report * 5 / 4, now));
            dirty.extend(self.control.lefts.borrow().keys().cloned());
        }
        let mut staged: Vec<Staged> = Vec::new();
        {
            let view = self.feed.view();
            self.share(&view);
            // Machines come and go all the time on a large fleet.
            let came = {
                let adopted = self.control.adopted.borrow();
                let due = now.saturating_sub(adopted.at) >= SILENT;
                adopted.terms != terms || (due && adopted.epoch != view.hosts_epoch)
            };
            if check || came {
                self.adopt_machines(&view, &terms, now);
                *self.control.adopted.borrow_mut() = Adopted {
                    epoch: view.hosts_epoch,
                    terms: terms.clone(),
                    at: now,
                };
            }
            if self.feed.current() {
                self.look(&view, full, &dirty, now);
                let capped = |t: &str| self.settings.team(t).is_some_and(|t| t.capped());
                let plan = |wish: &Wish<'_>| self.plan(&view, &terms, wish, now);
                staged = self.control.rounds.borrow_mut().decide(&Pass {
                    view: &view,
                    lefts: &self.control.lefts.borrow(),
                    busy: &self.control.busy.borrow(),
                    budget: self.feed.client().write_level(),
                    limits: self.limits(),
                    capped: &capped,
                    plan: &plan,
                    now,
                });
            }
        }
        if full || now.saturating_sub(self.control.hosts_at.get()) >= SILENT {
            self.control.hosts_at.set(now);
            self.write_hosts(now);
            self.overdue(now, &mut dirty);
        }
        for s in staged {
            self.control
                .busy
                .borrow_mut()
                .extend(s.jobs.iter().cloned());
            let n = self.clone();
            self.ex
                .spawn(async move {
                    n.commit(&s).await;
                    let mut busy = n.control.busy.borrow_mut();
                    for j in &s.jobs {
                        busy.remove(j);
                    }
                    drop(busy);
                    n.feed.bell().ring();
                })
                .detach();
        }
        self.drive(now, (!full).then_some(&dirty));
        if full {
            let took = self.clock.now().saturating_sub(now);
            self.control.swept.set(now);
            self.control.sweep_every.set(SWEEP.max(took * SWEEP_REST));
        }
    }

    /// Keeps our share of the state service's limits: those who are alive share them.
    fn share(&self, view: &View) {
        let n = view
            .members
            .len()
            .clamp(1, self.settings.siblings.len() + 1) as f64;
        let l = self.state_limits();
        self.feed
            .client()
            .share(l.rps * REQUEST_SHARE / n, l.write_rps * WRITE_SHARE / n);
    }

    /// What the machines' reports prove.
    fn look(&self, view: &View, full: bool, dirty: &HashSet<HostId>, now: Micros) {
        let machines = self.fleet.machines();
        let mut lefts = self.control.lefts.borrow_mut();
        let mut one = |id: &HostId, m: &Machine| {
            let mut out = Vec::new();
            workers::reconcile(view, id, m, self.settings.lease, now, &mut out);
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
            for id in dirty {
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
        view: &View,
        terms: &[Option<u64>],
        wish: &Wish<'_>,
        now: Micros,
    ) -> Vec<Intent> {
        if terms.iter().all(Option::is_none) {
            return Vec::new();
        }
        let machines = self.fleet.machines();
        // Jobs belong to parts as machines do.
        let mine = |name: &str| terms[part_of(name) as usize].is_some();
        let gangs = wish.steps && terms[GANGS as usize].is_some();
        let gang = |j: &Job| j.spec.kind == Shape::Gang && j.queued() > 0;
        let waits = gangs && view.waiting().any(|(_, j)| gang(j));
        // Seldom asked for: without mute machines no plan looks at all of them.
        let many_mute = OnceCell::new();
        let many =
            |m: &Machine| m.mute() && *many_mute.get_or_init(|| workers::many_mute(&machines));
        let mut services = view.waiting_services().filter(|(_, j)| j.queued() > 0);
        let serves = services.any(|(id, _)| mine(id));
        let open = |id: &HostId, h: &Host| {
            if !matches!(h.state, HostState::Up | HostState::Booting) {
                return None;
            }
            match machines.get(id) {
                Some(m) => {
                    let session =
                        workers::opens(m, h.session, many(m), (self.settings.report, now));
                    session.map(|session| Open {
                        session,
                        mine: true,
                    })
                }
                None if !(waits || serves) || mine(id) => None,
                None => {
                    let session = match h.state {
                        HostState::Up => Some(h.session),
                        _ => self.members.up_at_peer(id, now),
                    };
                    session.map(|session| Open {
                        session,
                        mine: false,
                    })
                }
            }
        };
        let held_back = |j: &str| {
            if self.fleet.backs_off(j, now) {
                return true;
            }
            let Some(job) = view.jobs.get(j) else {
                return true;
            };
            if mine(j) || job.spec.kind == Shape::Gang {
                return false;
            }
            let alive = view.parts.get(&part_of(j)).is_some_and(|p| {
                view.members
                    .get(&p.owner)
                    .is_some_and(|m| m.lease == p.lease)
            });
            let wait = match (alive, job.spec.kind) {
                (false, _) => TAKE_ORPHAN,
                _ if job.step() => TAKE_PIPED,
                (true, Shape::Service) => TAKE_SERVICE,
                _ => TAKE_ARRAY,
            };
            wall().saturating_sub(job.since) < wait
        };
        let under_way = self.control.busy.borrow();
        let busy = |id: &JobId| under_way.contains(id);
        scheduling::plan(&Scene {
            view,
            wall: wall(),
            teams: &self.settings.teams,
            objectives: &self.settings.objectives,
            open: &open,
            freed: wish.freed,
            held_back: &held_back,
            home: &mine,
            mine: &mine,
            gangs,
            arrays: wish.arrays,
            steps: wish.steps,
            forecast: false,
            writes: wish.writes.map(|jobs| Writes { jobs, busy: &busy }),
        })
        .intents
    }

    async fn commit(&self, s: &Staged) {
        match self.feed.txn(&s.txn).await {
            Outcome::Done(_) => {}
            Outcome::Conflict(keys) => {
                tracing::debug!(?keys, "conflict");
                self.feed.barrier().await;
            }
            Outcome::Refused(code) => {
                tracing::debug!(code, "refused");
                self.sleep(SECOND / 8).await;
            }
            Outcome::Unknown => {
                // It may have been carried out, or may yet be: its guards keep that harmless.
                self.feed.barrier().await;
            }
        }
    }

    /// Deletes what jobs that are over left behind.
    pub async fn clean(&self) {
        loop {
            let t = sweep(&self.feed.view(), self.limits());
            let Some(t) = t else { return };
            match self.feed.txn(&t).await {
                Outcome::Done(_) => {}
                _ => return,
            }
            // More of it only with writes that nobody else needs.
            let (level, burst) = self.feed.client().write_level();
            if level < burst * KEEP_BOOKS {
                return;
            }
        }
    }
}
