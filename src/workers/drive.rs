//! Driving workers: reports in, orders out, and what is wanted of machines.

use super::{
    HeartbeatOutcome, InboundPartition, WorkerState, commands, inbound_partition, isolated,
    many_inbound_partitions, newest_heartbeat, quarantined, reported_state, sent_to,
};
use crate::autoscaler::model::{MachineRecord, MachineState};
use crate::autoscaler::{
    MAX_READY_WRITE_DELAY, MAX_READY_WRITE_DELAY_PEERS_AWARE, declare_dead, put_machine,
};
use crate::controller::{Controller, StartupMilestone};
use crate::ids::MachineId;
use crate::jobs::model::JobId;
use crate::membership::{READY_MOST, shard_of};
use crate::store::client::TransactionOutcome;
use crate::store::cluster_state::ClusterState;
use crate::store::keys;
use crate::time::{Micros, SECOND, to_secs, wall};
use crate::wire::server::Response;
use crate::wire::state::Transaction;
use crate::wire::worker::{Command, CommandBatch, Heartbeat, LeaderRedirect, ORDERS, TaskStatus};
use crate::wire::{WireError, decode, encode};
use foldhash::{HashMap, HashSet};
use http_types::Method;
use std::cell::{Cell, Ref, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Orders in one answer: it may hold 64 KiB.
const PER_ANSWER: usize = 400;
/// Direct orders that nobody answered in this time count as unanswered.
const DIRECT: Micros = SECOND;
/// So long after direct orders failed, starts go only into the answers to reports; and an
/// unanswered one that stands in the way is made impossible by a higher term.
const UNSURE: Micros = 10 * SECOND;
const STUCK: Micros = 3 * SECOND;
/// Machines with replicas are called when nothing was heard of them for so long, with little time
/// to answer: a hung one is found in half the time that reports would take.
const CALL: Micros = 4 * SECOND / 5;
/// Calls a second that a whole core may spend on this: a thirteenth of it, at 0.3 ms each.
const CALLS: f64 = 250.0;
/// Machines fail in numbers as often as alone: after the first call without an answer all are called as
/// soon as can be, for so long, and not again before this.
const ALARM: Micros = 3 * SECOND;
const ALARM_AGAIN: Micros = 10 * SECOND;
/// Calls to machines that go on at a time take at most this part of the sockets.
const CALLS_OF_SOCKETS: usize = 10;
const CALL_LIMIT: Micros = 2 * SECOND / 5;

/// What is left of `cancel` when the last task that we kept alive must have ended by its lease: for clocks
/// that drift apart and timers that fire late.
const MARGIN: Micros = 2 * SECOND;
/// The same direct order is not repeated sooner.
const REPEAT: Micros = SECOND;
/// A task that has run for so long shows that its job can run.
const RUNS: Micros = 5 * SECOND;
/// A job whose tasks fail is tried again after this, doubled with each failure.
const BACK_OFF: Micros = SECOND / 2;
const BACK_OFF_MAX: Micros = 20 * SECOND;

/// Failures of a job's tasks, to back off.
#[derive(Clone, Debug, Default)]
struct Failing {
    /// How many.
    count: u32,
    /// Not before.
    until: Micros,
    /// On which machines.
    machines: HashSet<MachineId>,
}

/// A machine that was sent to another controller.
struct Redirected {
    to: String,
    at: Micros,
    times: u32,
}

/// The machines of our parts, as their reports show them.
#[derive(Default)]
pub struct WorkerRegistry {
    machines: RefCell<BTreeMap<MachineId, WorkerState>>,
    /// Machines to look at in the next pass.
    changed: RefCell<HashSet<MachineId>>,
    /// Machines with a write of their key under way.
    machines_being_written: RefCell<HashSet<MachineId>>,
    /// Jobs whose tasks fail.
    failing: RefCell<HashMap<JobId, Failing>>,
    /// Durations of finished tasks, by job: image fetch and run.
    durations: RefCell<HashMap<JobId, Vec<[Micros; 2]>>>,
    redirected: RefCell<HashMap<String, Redirected>>,
    /// After which silence machines with replicas are called.
    call_every: Cell<Micros>,
    /// When a machine that had answered before went without an answer.
    last_probe_failure: Cell<Micros>,
    /// Machines that are not as they should be: looked at each second until they are.
    unsettled: RefCell<HashSet<MachineId>>,
    /// Writes that gave machines up: each has a name of its own.
    marks: Cell<u64>,
}

impl WorkerRegistry {
    /// The machines. Not to be held over an await.
    pub fn machines(&self) -> Ref<'_, BTreeMap<MachineId, WorkerState>> {
        self.machines.borrow()
    }
    /// Durations of finished tasks, by job.
    pub fn durations(&self) -> Ref<'_, HashMap<JobId, Vec<[Micros; 2]>>> {
        self.durations.borrow()
    }
    /// Machines of which something was heard since this was asked last.
    pub fn take_changed(&self) -> HashSet<MachineId> {
        self.changed.take()
    }
    /// Machines that are not as they should be, or of which nothing was heard for a while: what follows
    /// from the others was seen when something was heard of them, or written about them.
    pub fn unsettled(&self, quiet: Micros, now: Micros) -> HashSet<MachineId> {
        let mut out = self.unsettled.borrow().clone();
        let machines = self.machines.borrow();
        let silent = |m: &WorkerState| now.saturating_sub(m.heard) > quiet;
        let list = machines.iter().filter(|(_, m)| !m.fenced() || silent(m));
        out.extend(list.map(|(id, _)| id.clone()));
        out
    }
    /// After which silence machines with replicas are called.
    fn call_every(&self, now: Micros) -> Micros {
        let usual = self.call_every.get();
        if now.saturating_sub(self.last_probe_failure.get()) < ALARM {
            return usual.min(CALL);
        }
        usual
    }
    /// Whether a job's tasks failed so lately that it is not tried now.
    pub fn backs_off(&self, job: &str, now: Micros) -> bool {
        let failing = self.failing.borrow();
        failing.get(job).is_some_and(|f| f.until > now)
    }
    /// Machines that come back to us although we sent them to this controller.
    pub fn bounced(&self, from: &str, now: Micros) -> Vec<String> {
        let red = self.redirected.borrow();
        red.iter()
            .filter(|(_, r)| r.to == from && r.times >= 2 && now.saturating_sub(r.at) < 3 * SECOND)
            .map(|(m, _)| m.clone())
            .take(50)
            .collect()
    }
    /// Notes that a machine was sent to another controller.
    fn redirect(&self, machine: &str, to: &str, now: Micros) {
        let mut red = self.redirected.borrow_mut();
        red.retain(|_, r| now.saturating_sub(r.at) < 15 * SECOND);
        let r = red.entry(machine.to_string()).or_insert(Redirected {
            to: to.to_string(),
            at: now,
            times: 0,
        });
        if r.to != to {
            r.to = to.to_string();
            r.times = 0;
        }
        r.at = now;
        r.times += 1;
    }
}

impl Controller {
    /// Answers a report.
    pub fn on_heartbeat(self: &Controller, body: &[u8]) -> Response {
        let r: Heartbeat = match decode(body) {
            Ok(r) => r,
            Err(e) => {
                tracing::debug!("report: {e}");
                return Response::status(400);
            }
        };
        if !self.watch_cache.loaded() {
            return Response::status(503);
        }
        let now = self.clock.now();
        let machine: MachineId = r.machine.as_str().into();
        let shard = shard_of(&machine);
        let view = self.watch_cache.view();
        let Some(term) = self.term(&view, shard) else {
            return self.redirect(&view, shard, &r, now);
        };
        let (lease, cancel) = (self.settings.worker_lease, self.settings.cancel_within);
        if !may_answer(lease, cancel, self.cancellation_watermark(), now) {
            return Response::status(503);
        }
        if r.fencing_token > term {
            // Someone newer drives this machine; our view is behind.
            return Response::status(503);
        }
        let mut machines = self.workers.machines.borrow_mut();
        let m = machines
            .entry(machine.clone())
            .or_insert_with(|| WorkerState::new(term, now));
        if m.term != term {
            *m = WorkerState::new(term, now);
        }
        let newer = (r.session, r.sequence) > (m.session, m.tick);
        let news = m.take(&r, false, now);
        m.answered = Some(now);
        // Most reports say what the one before said, and nothing was written about the machine since.
        let list = if newer && (!m.rests || view.changed_machines.contains(&machine)) {
            let mut l = commands(&view, &machine, m, true);
            m.rests = l.is_empty();
            l.truncate(PER_ANSWER);
            l
        } else {
            Vec::new()
        };
        drop(machines);
        let changed = news.changed;
        self.learn(&machine, news, now);
        self.first(StartupMilestone::Heartbeat);
        self.first_start(&list);
        if changed || !view.machines.contains_key(&machine) {
            self.workers.changed.borrow_mut().insert(machine);
            self.watch_cache.notifier().notify();
        }
        Response::with(
            200,
            &CommandBatch {
                fencing_token: term,
                session: None,
                commands: list,
            },
        )
    }

    fn redirect(&self, view: &ClusterState, shard: u32, r: &Heartbeat, now: Micros) -> Response {
        let Some(to) = sent_to(view, self.me(), shard, r.fencing_token) else {
            return Response::status(503);
        };
        self.workers.redirect(&r.machine, to, now);
        Response::with(
            421,
            &LeaderRedirect {
                report_to: Some(to.to_string()),
            },
        )
    }

    /// What a report brought, for fairness and for backing off.
    fn learn(&self, machine: &MachineId, news: HeartbeatOutcome, now: Micros) {
        if !news.finished.is_empty() {
            let mut d = self.workers.durations.borrow_mut();
            let mut failing = self.workers.failing.borrow_mut();
            for f in news.finished {
                failing.remove(&f.job);
                let list = d.entry(f.job).or_default();
                if list.len() < 200 {
                    list.push(f.phases);
                }
            }
        }
        for job in news.failed {
            // With dozens of faulty machines every job fails on several of them. A job whose tasks
            // complete, or run on, elsewhere is not at fault: it is not held back, and its failures
            // speak against the machine.
            if self.sound(&job, machine, now) {
                self.workers.failing.borrow_mut().remove(&job);
                continue;
            }
            let mut failing = self.workers.failing.borrow_mut();
            let f = failing.entry(job).or_default();
            f.machines.insert(machine.clone());
            // One bad machine says little about the job: back off once it fails on others too.
            if f.machines.len() > 1 {
                f.count += 1;
                let wait = (BACK_OFF << f.count.min(10)).min(BACK_OFF_MAX);
                f.until = now + wait;
            }
        }
    }

    /// Whether a job's tasks are known to work on some machine other than this one.
    fn sound(&self, job: &JobId, machine: &MachineId, now: Micros) -> bool {
        self.workers.durations.borrow().contains_key(job)
            || self
                .watch_cache
                .view()
                .jobs
                .get(job)
                .is_some_and(|j| j.done > 0)
            || self.workers.machines.borrow().iter().any(|(id, m)| {
                id != machine
                    && m.tasks.iter().any(|((j, _), s)| {
                        j == job
                            && s.status == TaskStatus::Running
                            && now.saturating_sub(s.since) > RUNS
                    })
            })
    }

    /// Keeps an entry for every machine of our parts, under the current term.
    pub fn adopt_machines(&self, view: &ClusterState, terms: &[Option<u64>], now: Micros) {
        let mut machines = self.workers.machines.borrow_mut();
        let term = |id: &str| terms[shard_of(id) as usize];
        machines.retain(|id, m| {
            let keep = term(id) == Some(m.term)
                && (view.machines.contains_key(id)
                    || view.tasks_on(id).is_some()
                    || now.saturating_sub(m.heard) < 60 * SECOND);
            if let Some(a) = m.addr.filter(|_| !keep) {
                self.http.forget(a);
            }
            keep
        });
        for id in view.machines.keys().chain(view.tasks_by_machine.keys()) {
            if machines.contains_key(id) {
                continue;
            }
            if let Some(term) = term(id) {
                let mut m = WorkerState::new(term, now);
                if let Some(h) = view.machines.get(id) {
                    m.addr = h.address.as_ref().and_then(|a| a.parse().ok());
                }
                machines.insert(id.clone(), m);
                self.workers.changed.borrow_mut().insert(id.clone());
            }
        }
        let n = machines.keys().filter(|id| replicas(view, id)).count();
        let every = call_every(
            n,
            self.settings.core_share,
            self.settings.heartbeat_interval,
        );
        self.workers.call_every.set(every);
        let blocked_by_unacknowledged_start = machines.iter().filter(|(_, m)| {
            m.blocked_by_unacknowledged_start()
                && now.saturating_sub(m.heard) < self.settings.heartbeat_interval * 2
                && now.saturating_sub(m.probe_failed) > STUCK
        });
        self.membership
            .raise_terms(blocked_by_unacknowledged_start.map(|(id, _)| shard_of(id)));
        let mut failing = self.workers.failing.borrow_mut();
        failing.retain(|j, _| view.jobs.contains_key(j));
        let mut d = self.workers.durations.borrow_mut();
        d.retain(|j, _| view.jobs.contains_key(j));
    }

    /// What the owner of a machine wants its key to say.
    fn desired_record(
        &self,
        id: &MachineId,
        m: &WorkerState,
        have: Option<&MachineRecord>,
        now: Micros,
        (alone, many_inbound_partitions): (bool, bool),
    ) -> Option<MachineRecord> {
        let Some(h) = have else {
            // Unexpected machines are used: they are paid for. The leader finds them in the cloud's
            // list, many with one write; this is for those that the list does not show.
            let (kind, zone, spot, addr) = m.about.clone()?;
            // A key that was deleted belonged to a machine that was returned and is gone, however
            // lately it was heard: written again, it would get tasks that never start.
            let returned = self.watch_cache.view().deleted(&keys::machine(id));
            let known = m
                .fenced
                .is_some_and(|f| now.saturating_sub(f) > MAX_READY_WRITE_DELAY);
            if returned
                || !m.fenced()
                || !known
                || now.saturating_sub(m.heard) > self.settings.heartbeat_interval
            {
                return None;
            }
            return Some(MachineRecord {
                machine_type: kind,
                zone,
                spot,
                address: Some(addr),
                session: m.session,
                state: MachineState::Up,
                rented_at: wall(),
            });
        };
        let mut w = h.clone();
        if matches!(h.state, MachineState::Lost | MachineState::Returning) {
            return None;
        }
        if m.fenced() {
            w.session = w.session.max(m.session);
            if let Some((_, _, _, addr)) = &m.about {
                w.address = Some(addr.clone());
            }
            let inbound_partition =
                inbound_partition(m, many_inbound_partitions, self.settings.worker_lease, now);
            if inbound_partition == InboundPartition::Replace {
                let silent = now.saturating_sub(m.reported);
                tracing::info!(machine = %id, silent, "reports to nobody: given up");
            }
            w.state = reported_state(m, w.state, inbound_partition);
            let failing = self.workers.failing.borrow();
            let elsewhere = |j: &str| {
                failing
                    .get(j)
                    .is_some_and(|f| f.machines.iter().any(|x| x != id))
            };
            if matches!(w.state, MachineState::Up) && quarantined(m, &elsewhere) {
                tracing::info!(machine = %id, "fails its tasks");
                w.state = MachineState::Quarantined;
            }
        }
        let has_tasks = self.watch_cache.view().tasks_on(id).is_some();
        if m.lost(w.state, has_tasks, (self.policy.lost_after, now, alone)) {
            let silent = now.saturating_sub(m.heard);
            tracing::info!(machine = %id, silent, "silent: given up");
            w.state = MachineState::Lost;
        }
        (w != *h).then_some(w)
    }

    /// Whether it is us whom the machines cannot reach, rather than single machines that died.
    pub fn alone(&self, view: &ClusterState, now: Micros) -> bool {
        let up = |id: &MachineId| {
            view.machines.get(id).is_some_and(|h| {
                !matches!(
                    h.state,
                    MachineState::Booting | MachineState::Lost | MachineState::Returning
                )
            })
        };
        isolated(
            &self.workers.machines(),
            &up,
            self.settings.heartbeat_interval,
            now,
        )
    }

    /// Writes the difference between wanted and known machines.
    pub fn write_machine_records(self: &Rc<Controller>, now: Micros) {
        if !self.watch_cache.current() {
            return;
        }
        let mut t = Transaction::default();
        let mut ids = Vec::new();
        let mut lost = Vec::new();
        {
            let view = self.watch_cache.view();
            // So many are given up with one write, once every controller reads it.
            let most = self
                .limits()
                .newer_layout
                .then(|| self.machines_per_request());
            let alone = self.alone(&view, now);
            let machines = self.workers.machines.borrow();
            let many_inbound_partitions = many_inbound_partitions(&machines);
            let (level, burst) = self.watch_cache.client().write_level();
            let spare = level > burst / 2.0;
            let debt = level <= 0.0;
            let ops = self.state_limits().max_mutations;
            let mut ups = 0;
            // An older controller, and one who hears only of some, would take them for late.
            let boots = |id: &MachineId| {
                let h = view.machines.get(id);
                h.is_some_and(|h| h.state == MachineState::Booting)
            };
            let untold = machines.keys().filter(|id| boots(id)).count();
            let wait = match view.layout.is_some() && untold <= READY_MOST {
                true => MAX_READY_WRITE_DELAY_PEERS_AWARE,
                false => MAX_READY_WRITE_DELAY,
            };
            let busy = self.workers.machines_being_written.borrow();
            for (id, m) in machines.iter() {
                if busy.contains(id)
                    || t.mutations.len() >= ops
                    || most.is_some_and(|n| lost.len() >= n)
                {
                    continue;
                }
                let have = view.machines.get(id);
                if let Some(w) =
                    self.desired_record(id, m, have, now, (alone, many_inbound_partitions))
                {
                    if w.state == MachineState::Lost && have.is_some() && most.is_some() {
                        lost.push(id.clone());
                        continue;
                    }
                    // That a machine is up its owner knows without a write, and tells the peers; it
                    // can wait until writes are to spare.
                    let fresh = m.fenced.is_some_and(|f| now.saturating_sub(f) < wait);
                    if have.is_some() && w.state == MachineState::Up {
                        // Never put off for good: what is written as booting is not counted on, and
                        // is taken for one that does not come up.
                        let due = if debt {
                            !fresh && ups == 0
                        } else {
                            !fresh || spare
                        };
                        if !due {
                            continue;
                        }
                        ups += 1;
                    }
                    let shard = keys::shard(shard_of(id));
                    put_machine(&mut t, &view, id, &w);
                    if !t.preconditions.iter().any(|g| g.key == shard) {
                        t.preconditions.push(view.precondition(shard));
                    }
                    ids.push(id.clone());
                }
            }
        }
        if !lost.is_empty() {
            let n = self.workers.marks.get() + 1;
            self.workers.marks.set(n);
            let lease = self.membership.lease().unwrap_or(0);
            let name = format!("{}-{lease}-lost-{n}", self.me());
            let t = declare_dead(&self.watch_cache.view(), &name, lost.clone());
            self.write_marks(t, lost);
        }
        if !ids.is_empty() {
            self.write_marks(t, ids);
        }
    }

    /// Carries out a write about machines that nothing else is written about meanwhile.
    fn write_marks(self: &Rc<Controller>, t: Transaction, ids: Vec<MachineId>) {
        self.workers
            .machines_being_written
            .borrow_mut()
            .extend(ids.iter().cloned());
        let n = self.clone();
        self.executor
            .spawn(async move {
                match n.watch_cache.transaction(&t).await {
                    TransactionOutcome::Done(_) => {}
                    TransactionOutcome::Refused(_) => n.sleep(SECOND / 4).await,
                    _ => {
                        n.watch_cache.linearizable_read().await;
                    }
                }
                let mut busy = n.workers.machines_being_written.borrow_mut();
                for id in &ids {
                    busy.remove(id);
                }
                drop(busy);
                n.watch_cache.notifier().notify();
            })
            .detach();
    }

    /// Machines to which nothing happened and that are to be called all the same: silent for too
    /// long, not fenced yet, or put off after a call that failed.
    pub fn overdue(&self, now: Micros, changed: &mut HashSet<MachineId>) {
        let view = self.watch_cache.view();
        let mut machines = self.workers.machines.borrow_mut();
        let call_every = self.workers.call_every(now);
        for (id, m) in machines.iter_mut() {
            if m.busy || now < m.not_before {
                continue;
            }
            let silent = now.saturating_sub(m.heard);
            if std::mem::take(&mut m.not_before) > 0
                || !m.fenced()
                || self.quiet(silent)
                || (silent > call_every && replicas(&view, id))
            {
                changed.insert(id.clone());
            }
        }
    }

    fn first_start(&self, list: &[Command]) {
        if list.iter().any(|o| matches!(o, Command::Start { .. })) {
            self.first(StartupMilestone::Start);
        }
    }

    /// Whether a machine has been silent for longer than between two reports.
    fn quiet(&self, silent: Micros) -> bool {
        silent > self.settings.heartbeat_interval * 5 / 4 + SECOND / 4
    }

    /// Sends direct orders where something is to do, and the bare token where it is not known yet.
    /// `only`: these machines; all of them otherwise.
    pub fn drive(self: &Rc<Controller>, now: Micros, only: Option<&HashSet<MachineId>>) {
        let view = self.watch_cache.view();
        let mut machines = self.workers.machines.borrow_mut();
        let heard = newest_heartbeat(&machines);
        let calls = self.workers.call_every(now);
        let mut unsettled = self.workers.unsettled.borrow_mut();
        if only.is_none() {
            unsettled.clear();
        }
        let all: Vec<MachineId> = match only {
            Some(d) => d.iter().cloned().collect(),
            None => machines.keys().cloned().collect(),
        };
        // A controller that takes the whole fleet over has every machine to call, and a connection from
        // each besides.
        let most = self.settings.max_connections / CALLS_OF_SOCKETS;
        let mut calls_left = most.saturating_sub(self.http.used());
        for id in &all {
            let Some(m) = machines.get_mut(id) else {
                continue;
            };
            m.rests = false;
            m.passed_over = m.busy;
            let Some(h) = view.machines.get(id) else {
                continue;
            };
            let Some(addr) = m.addr.filter(|_| !m.busy && now >= m.not_before) else {
                continue;
            };
            if matches!(h.state, MachineState::Booting) {
                continue;
            }
            let session = if m.session > 0 { m.session } else { h.session };
            let list = if m.fenced() {
                let silent = now.saturating_sub(m.heard);
                let quiet = self.quiet(silent);
                let call = quiet || (silent > calls && replicas(&view, id));
                let mut l = commands(&view, id, m, false);
                if l.is_empty() {
                    unsettled.remove(id);
                } else {
                    unsettled.insert(id.clone());
                }
                if quiet || (m.probe_failed > 0 && now.saturating_sub(m.probe_failed) < UNSURE) {
                    // It may be gone. A start would only become one more that may run late; a
                    // stop may end a cancelled task there, and the answer tells that it lives.
                    l.retain(|o| !matches!(o, Command::Start { .. }));
                }
                l.retain(|o| !m.recent(o, now, REPEAT));
                l.truncate(PER_ANSWER);
                if l.is_empty() && !call {
                    continue;
                }
                l
            } else {
                Vec::new()
            };
            if calls_left == 0 {
                // The next pass goes on with it.
                self.workers.changed.borrow_mut().insert(id.clone());
                continue;
            }
            calls_left -= 1;
            m.note(&list, now);
            m.sent(&list);
            self.first_start(&list);
            m.busy = true;
            let n = self.clone();
            let id = id.clone();
            let term = m.term;
            self.executor
                .spawn(async move {
                    n.direct(id, addr, (term, session), heard, list).await;
                })
                .detach();
        }
    }

    async fn direct(
        self: Rc<Controller>,
        id: MachineId,
        addr: std::net::SocketAddr,
        (term, session): (u64, u64),
        heard: Micros,
        list: Vec<Command>,
    ) {
        let body = encode(&CommandBatch {
            fencing_token: term,
            session: Some(session),
            commands: list.clone(),
        });
        let res = self
            .http
            .call(
                addr,
                Method::Post,
                ORDERS,
                Some(body),
                if list.is_empty() { CALL_LIMIT } else { DIRECT },
            )
            .await;
        let now = self.clock.now();
        let mut machines = self.workers.machines.borrow_mut();
        let Some(m) = machines.get_mut(&id).filter(|m| m.term == term) else {
            return;
        };
        m.busy = false;
        // The answer to a call that gave no orders and found nothing new leaves everything as it was.
        let mut look = true;
        match res {
            Ok(a) if a.status == 200 || a.status == 409 => {
                if a.status == 409 {
                    m.not_before = now + SECOND / 2;
                }
                match decode::<Heartbeat>(&a.body) {
                    Ok(r) if *r.machine == *id => {
                        m.answered_direct(&list);
                        let news = m.take(&r, true, now);
                        m.answered_call(self.settings.heartbeat_interval, now);
                        look = news.changed || !list.is_empty() || !m.fenced() || m.passed_over;
                        drop(machines);
                        self.learn(&id, news, now);
                    }
                    _ => {
                        m.not_before = now + SECOND;
                    }
                }
            }
            Err(WireError::Sockets) => {
                // Nothing was sent, and it says nothing of the machine.
                m.answered_direct(&list);
                m.forget(&list);
                m.not_before = now + SECOND / 4;
            }
            other => {
                if let Err(e) = &other {
                    tracing::debug!(machine = %id, "orders: {e}");
                }
                m.not_before = now + SECOND / 4;
                let last_probe_failure = &self.workers.last_probe_failure;
                if m.missed == 0 && now.saturating_sub(last_probe_failure.get()) > ALARM_AGAIN {
                    last_probe_failure.set(now);
                }
                m.miss(heard, now);
                drop(machines);
                self.http.forget(addr);
            }
        }
        if look {
            self.workers.changed.borrow_mut().insert(id);
            self.watch_cache.notifier().notify();
        }
    }
}

/// Whether workers may still be kept alive by us, who know of every cancellation up to `cancellation_watermark`. The
/// tasks of any later one must be gone `cancel` after it was told, and live for `lease` after our last
/// answer. There is no exception: that the state service is away for all now does not mean that it was
/// when somebody last confirmed a cancellation.
pub fn may_answer(
    lease: Micros,
    cancel: Micros,
    cancellation_watermark: Micros,
    now: Micros,
) -> bool {
    now.saturating_sub(cancellation_watermark) + lease + lease / 1000 + MARGIN < cancel
}

/// Whether replicas run on a machine.
fn replicas(view: &ClusterState, id: &MachineId) -> bool {
    view.usage(id).services > 0
}

/// After which silence machines with replicas are called: so that the calls divide the time between two
/// reports evenly, with as many of them as take no more than a part of our processor time.
fn call_every(machines: usize, core_share: f64, report: Micros) -> Micros {
    let share = if core_share > 0.0 { core_share } else { 1.0 };
    let calls = share * CALLS * to_secs(report) / machines.max(1) as f64;
    (report / (calls as u64 + 1)).max(CALL)
}

#[cfg(test)]
mod tests;
