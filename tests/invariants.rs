//! The Rules under generated failures, with a virtual clock and stand-ins written here: a state
//! service, a cloud that takes machines back, and workers. The controllers' own state machines run
//! as they are. Messages get lost, or arrive late, also once more after they arrived: transactions, direct
//! orders and reports. Machines go deaf: their reports arrive, answers and orders to them are lost. They go mute:
//! reports reach nobody, direct orders do. They hang, and go on within their lease with the orders held meanwhile.
//! Every cancellation is told at once; what a cancelled job left must be gone in time.

mod common;

use common::{LIMITS, Store};
use coppergw::autoscaler::model::{MachineRecord, MachineState};
use coppergw::ids::MachineId;
use coppergw::jobs::commit::{JobChange, stage};
use coppergw::jobs::model::{
    JobId, JobRecord, JobSpec, Placement, Resources, TaskBlock, TaskState,
};
use coppergw::membership::{Member, SHARD_COUNT, Shard, assign_shards, shard_of};
use coppergw::scheduling::{SchedulableMachine, SchedulingInput, schedule};
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::time::{Micros, SECOND};
use coppergw::wire::cloud::MachineType;
use coppergw::wire::state::{Mutation, Precondition, Transaction};
use coppergw::wire::to_value;
use coppergw::wire::user::{JobKind, Priority};
use coppergw::wire::worker::{Command, ExitReason, Heartbeat, ReportedTask, TaskStatus};
use coppergw::workers::{WorkerState, commands, may_answer, reconcile};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use proptest::prelude::*;
use std::collections::BTreeMap;

const LEASE: Micros = 18 * SECOND;
const CANCEL: Micros = 48 * SECOND;
/// A gang of which not all came exits after this.
const GANG_WAIT: Micros = 40 * SECOND;
const NODES: usize = 3;
/// One job in so many is a gang, of so many tasks.
const GANG_SHARD: u32 = 5;
const GANG_TASKS: u32 = 3;

#[derive(Clone)]
struct Task {
    attempt: u64,
    status: TaskStatus,
    cause: Option<ExitReason>,
    since: Micros,
}

impl Task {
    fn exit(&mut self, cause: ExitReason) {
        self.status = TaskStatus::Exited;
        self.cause = Some(cause);
    }
}

struct Worker {
    name: MachineId,
    alive: bool,
    session: u64,
    tick: u64,
    token: u64,
    renewed: Micros,
    outbound_partition: bool,
    inbound_partition: bool,
    hung: bool,
    tasks: BTreeMap<String, Task>,
}

struct Controller {
    name: String,
    lease: u64,
    view: ClusterState,
    seen: usize,
    /// When it heard everything last: up to then it knows of every cancellation.
    synced: Micros,
    /// The state service refuses it.
    cut: bool,
    machines: BTreeMap<MachineId, WorkerState>,
}

#[derive(Clone)]
enum Late {
    Transaction(Transaction),
    CommandBatch(usize, u64, u64, Vec<Command>),
    Heartbeat(usize, Heartbeat),
}

struct World {
    now: Micros,
    store: Store,
    workers: Vec<Worker>,
    nodes: Vec<Controller>,
    late: Vec<Late>,
    leases: u64,
    jobs: u32,
    completed: HashSet<String>,
    ended: HashMap<String, bool>,
    /// Jobs whose users were told that they are cancelled, and when.
    told: HashMap<String, Micros>,
    /// Whether each gang was seen to run as a whole.
    whole: u32,
}

fn machine_type() -> MachineType {
    common::machine_type("t", 4.0, 0.0)
}

fn spec(kind: JobKind, tasks: u32, at: Micros) -> JobSpec {
    JobSpec {
        priority: if kind == JobKind::Service {
            Priority::Production
        } else {
            Priority::Normal
        },
        allow_spot: false,
        submitted_at: at,
        ..common::spec(kind, tasks)
    }
}

impl World {
    fn new() -> World {
        let mut w = World {
            now: 1000 * SECOND,
            store: Store::default(),
            workers: Vec::new(),
            nodes: Vec::new(),
            late: Vec::new(),
            leases: 0,
            jobs: 0,
            completed: HashSet::new(),
            ended: HashMap::new(),
            told: HashMap::new(),
            whole: 0,
        };
        w.store.put(keys::TYPES.into(), &vec![machine_type()]);
        for _ in 0..4 {
            w.rent();
        }
        for n in 0..NODES {
            w.nodes.push(Controller {
                name: format!("n{n}"),
                lease: 0,
                view: ClusterState::default(),
                seen: 0,
                synced: 0,
                cut: false,
                machines: BTreeMap::new(),
            });
            w.sync(n);
            w.shards(n);
        }
        w
    }

    fn rent(&mut self) {
        let name: MachineId = format!("m-{:06}", self.workers.len()).into();
        self.store.put(
            keys::machine(&name),
            &MachineRecord {
                machine_type: "t".into(),
                zone: "z".into(),
                spot: false,
                address: None,
                session: 1,
                state: MachineState::Up,
                rented_at: 0,
            },
        );
        self.workers.push(Worker {
            name,
            alive: true,
            session: 1,
            tick: 0,
            token: 0,
            renewed: self.now,
            outbound_partition: false,
            inbound_partition: false,
            hung: false,
            tasks: BTreeMap::new(),
        });
    }

    /// A node hears everything, and has a lease again if it lost it.
    fn sync(&mut self, n: usize) {
        if self.nodes[n].cut {
            return;
        }
        let key = keys::member(&self.nodes[n].name);
        let have = self.store.keys.contains_key(&key) && self.nodes[n].lease > 0;
        if !have {
            self.leases += 1;
            self.nodes[n].lease = self.leases;
            let m = Member {
                lease: self.leases,
                since: 0,
                unreachable_by_workers: false,
                version: 0,
                restart_count: 0,
            };
            self.store.put(key, &m);
        }
        let node = &mut self.nodes[n];
        for (rev, k, v) in &self.store.log[node.seen..] {
            match v {
                Some(v) => node.view.put(k, v, *rev),
                None => node.view.delete(k, *rev),
            }
        }
        node.seen = self.store.log.len();
        node.synced = self.now;
        node.view.revision = self.store.rev;
    }

    fn term(&self, n: usize, shard: u32) -> Option<u64> {
        let node = &self.nodes[n];
        let p = node.view.shards.get(&shard)?;
        (p.owner == node.name
            && p.lease == node.lease
            && node.view.revision >= node.view.version(&keys::shard(shard)))
        .then_some(p.term)
    }

    fn shards(&mut self, n: usize) {
        if self.nodes[n].cut {
            return;
        }
        let node = &self.nodes[n];
        let want = assign_shards(&node.view.shards, &node.view.members, self.now);
        let mut t = Transaction::default();
        for p in 0..SHARD_COUNT {
            let have = node.view.shards.get(&p);
            let ours = have.is_some_and(|x| x.owner == node.name && x.lease == node.lease);
            let blocked_by_unacknowledged_start = node
                .machines
                .iter()
                .any(|(id, m)| shard_of(id) == p && m.blocked_by_unacknowledged_start());
            if want.get(&p) == Some(&node.name) && (!ours || blocked_by_unacknowledged_start) {
                let key = keys::shard(p);
                t.preconditions.push(Precondition {
                    key: key.clone(),
                    version: node.view.version(&key),
                });
                t.mutations.push(Mutation::Put {
                    key,
                    value: to_value(&Shard {
                        owner: node.name.clone(),
                        lease: node.lease,
                        term: have.map_or(0, |x| x.term) + 1,
                    }),
                    lease: None,
                });
            }
        }
        if !t.mutations.is_empty() {
            self.store.apply(&t);
        }
    }

    fn adopt(&mut self, n: usize) {
        let ids: Vec<MachineId> = self.nodes[n].view.machines.keys().cloned().collect();
        let terms: Vec<Option<u64>> = (0..SHARD_COUNT).map(|p| self.term(n, p)).collect();
        let now = self.now;
        let node = &mut self.nodes[n];
        node.machines
            .retain(|id, m| terms[shard_of(id) as usize] == Some(m.term));
        let gone: Vec<MachineId> = node.view.tasks_by_machine.keys().cloned().collect();
        for id in ids.into_iter().chain(gone) {
            if let Some(t) = terms[shard_of(&id) as usize] {
                node.machines
                    .entry(id)
                    .or_insert_with(|| WorkerState::new(t, now));
            }
        }
    }

    /// One control pass. `fate`: carried out, carried out without an answer, or late.
    fn pass(&mut self, n: usize, fate: u8) {
        self.adopt(n);
        let terms: Vec<Option<u64>> = (0..SHARD_COUNT).map(|p| self.term(n, p)).collect();
        let node = &self.nodes[n];
        let mut intents = Vec::new();
        let mut freed: HashMap<MachineId, Resources> = HashMap::new();
        for (id, m) in &node.machines {
            let mut lefts = Vec::new();
            reconcile(&node.view, id, m, LEASE, self.now, &mut lefts);
            for i in &lefts {
                let room = node.view.jobs[i.job()].spec.resources;
                freed.entry(id.clone()).or_default().add(&room);
            }
            // Bookkeeping may wait: the room is used again before the exit is written.
            if fate < 128 {
                intents.extend(lefts);
            }
        }
        for (id, j) in &node.view.jobs {
            if (j.spec.cancelled && j.placed == 0) || j.done == j.spec.task_count {
                intents.push(JobChange::Finalize { job: id.clone() });
            }
        }
        let open = |id: &MachineId, h: &MachineRecord| {
            if h.state != MachineState::Up {
                return None;
            }
            match node.machines.get(id) {
                Some(m) => {
                    (m.fenced() && self.now - m.heard < 6 * SECOND).then_some(SchedulableMachine {
                        session: m.session,
                        owned: true,
                    })
                }
                None => Some(SchedulableMachine {
                    session: h.session,
                    owned: false,
                }),
            }
        };
        let mine = |h: &str| terms[shard_of(h) as usize].is_some();
        let p = schedule(&SchedulingInput {
            view: &node.view,
            wall_clock: self.now,
            teams: &[],
            objectives: &[],
            schedulable: &open,
            freed: &freed,
            in_backoff: &|_| false,
            owns_job: &mine,
            owns_machine: &mine,
            place_gangs: terms[0].is_some(),
            place_arrays: true,
            place_deadline_steps: true,
            forecast: false,
            write_limit: None,
        });
        intents.extend(p.changes);
        if fate % 32 >= 24 {
            // Somebody makes room, or drains: a task that has to go and starts again elsewhere. What is wrongly
            // believed to have left shows only here.
            let own = |p: &&(u32, &Placement)| p.1.stop.is_none() && mine(&p.1.machine);
            let jobs = node.view.jobs.iter().skip(fate as usize / 32);
            let hit = jobs
                .flat_map(|(id, j)| j.placements().map(move |p| (id, p)))
                .find(|(_, p)| own(&p));
            if let Some((id, (index, p))) = hit {
                intents.push(JobChange::Stop {
                    job: id.clone(),
                    index,
                    attempt: p.attempt,
                    grace: 0,
                });
            }
        }
        let mut sessions = Vec::new();
        for (id, m) in &node.machines {
            if let Some(h) = node.view.machines.get(id)
                && m.fenced()
                && m.session > h.session
            {
                let key = keys::machine(id);
                let preconditions = [key.clone(), keys::shard(shard_of(id))]
                    .map(|path| Precondition {
                        version: node.view.version(&path),
                        key: path,
                    })
                    .to_vec();
                let session = m.session;
                sessions.push(Transaction {
                    preconditions,
                    mutations: vec![Mutation::Put {
                        key,
                        value: to_value(&MachineRecord {
                            session,
                            ..h.clone()
                        }),
                        lease: None,
                    }],
                });
            }
        }
        let staged = stage(&node.view, &intents, &HashSet::new(), &|_| false, LIMITS);
        let cut = node.cut;
        for t in sessions.into_iter().filter(|_| !cut) {
            self.store.apply(&t);
        }
        for s in staged {
            match fate % 4 {
                // What is sent to a service that refuses may have been on its way before.
                1.. if cut => {}
                0 => self.late.push(Late::Transaction(s.transaction)),
                _ => {
                    self.store.apply(&s.transaction);
                }
            }
        }
    }

    fn report(&mut self, w: usize) -> Heartbeat {
        let x = &mut self.workers[w];
        x.tick += 1;
        Heartbeat {
            machine: x.name.to_string(),
            address: String::new(),
            machine_type: "t".into(),
            zone: "z".into(),
            spot: false,
            session: x.session,
            sequence: x.tick,
            fencing_token: x.token,
            preemption_notice_s: None,
            tasks: x
                .tasks
                .iter()
                .map(|(k, t)| ReportedTask {
                    task: k.clone(),
                    attempt: t.attempt,
                    status: t.status,
                    reason: t.cause,
                    saved: None,
                })
                .collect(),
        }
    }

    /// A controller gets a report and gives orders with its token, if the machine is its own.
    fn answer(&mut self, n: usize, r: &Heartbeat) -> Option<(u64, Vec<Command>)> {
        let id: MachineId = r.machine.as_str().into();
        let term = self.term(n, shard_of(&id))?;
        if r.fencing_token > term || !may_answer(LEASE, CANCEL, self.nodes[n].synced, self.now) {
            return None;
        }
        let now = self.now;
        let node = &mut self.nodes[n];
        let m = node
            .machines
            .entry(id.clone())
            .or_insert_with(|| WorkerState::new(term, now));
        if m.term != term {
            *m = WorkerState::new(term, now);
        }
        let newer = (r.session, r.sequence) > (m.session, m.tick);
        m.take(r, false, now);
        m.answered = Some(now);
        let list = if newer {
            commands(&node.view, &id, m, true)
        } else {
            Vec::new()
        };
        none_cancelled(&self.nodes[n].view, &list);
        Some((term, list))
    }

    fn execute(&mut self, w: usize, list: &[Command]) {
        for o in list {
            match o {
                Command::Start {
                    task: shard,
                    attempt,
                } => self.start(w, shard, *attempt),
                Command::Stop {
                    task: shard,
                    attempt,
                    ..
                } => {
                    if let Some(t) = self.workers[w].tasks.get_mut(shard)
                        && t.attempt == *attempt
                        && t.status != TaskStatus::Exited
                    {
                        t.exit(ExitReason::Stopped);
                    }
                }
                Command::Forget {
                    task: shard,
                    attempt,
                } => {
                    let x = &mut self.workers[w].tasks;
                    if x.get(shard)
                        .is_some_and(|t| t.attempt == *attempt && t.status == TaskStatus::Exited)
                    {
                        x.remove(shard);
                    }
                }
            }
        }
    }

    fn start(&mut self, w: usize, task: &str, attempt: u64) {
        if self.workers[w].tasks.contains_key(task) {
            return;
        }
        for (i, x) in self.workers.iter().enumerate() {
            let there = x.alive
                && x.tasks
                    .get(task)
                    .is_some_and(|t| t.status != TaskStatus::Exited);
            assert!(
                !there,
                "ran_twice: {task} runs on {i} and is started on {w}"
            );
        }
        let (job, _) = task.split_once('/').expect("task name");
        assert!(
            !self.ended.get(job).is_some_and(|done| *done),
            "{task} starts although its job is done"
        );
        let told = self.told.get(job).copied().unwrap_or(self.now);
        assert!(
            self.now <= told + CANCEL,
            "{task} starts although cancelled"
        );
        let done = self.completed.contains(task);
        let gang = is_gang(job);
        self.workers[w].tasks.insert(
            task.into(),
            Task {
                attempt,
                status: match (done, gang) {
                    (true, _) => TaskStatus::Exited,
                    (false, true) => TaskStatus::Waiting,
                    (false, false) => TaskStatus::Running,
                },
                cause: done.then_some(ExitReason::Done),
                since: self.now,
            },
        );
    }

    /// Tasks of gangs find one another by their attempt: they begin when all are there, wait no longer than they
    /// may, and exit when one of them is gone.
    fn gangs(&mut self) {
        let now = self.now;
        let mut there: HashMap<(String, u64), u32> = HashMap::new();
        let mine = |k: &str| {
            k.split_once('/')
                .map(|x| x.0.to_string())
                .expect("task name")
        };
        for x in self.workers.iter().filter(|x| x.alive) {
            for (k, t) in x
                .tasks
                .iter()
                .filter(|(_, t)| t.status != TaskStatus::Exited)
            {
                *there.entry((mine(k), t.attempt)).or_default() += 1;
            }
        }
        for w in 0..self.workers.len() {
            let keys: Vec<String> = self.workers[w].tasks.keys().cloned().collect();
            for k in keys {
                let job = mine(&k);
                let hung = self.workers[w].hung;
                let Some(t) = self.workers[w].tasks.get_mut(&k) else {
                    continue;
                };
                let all = there.get(&(job.clone(), t.attempt)).copied() == Some(GANG_TASKS);
                if !is_gang(&job) || hung {
                    continue;
                }
                match t.status {
                    TaskStatus::Waiting if all => {
                        t.status = TaskStatus::Running;
                        self.whole += 1;
                    }
                    TaskStatus::Waiting if now - t.since > GANG_WAIT => {
                        t.exit(ExitReason::Incomplete)
                    }
                    TaskStatus::Running if !all => t.exit(ExitReason::Peers),
                    _ => {}
                }
            }
        }
    }

    /// What a cancelled job left is gone in time. A lease that has run out ended its tasks when it did.
    fn gone_in_time(&self) {
        for x in self.workers.iter().filter(|x| x.alive) {
            for (k, t) in &x.tasks {
                let told = k.split_once('/').and_then(|(job, _)| self.told.get(job));
                if let (Some(told), true) = (told, t.status != TaskStatus::Exited) {
                    let until = self.now.min(x.renewed + LEASE);
                    assert!(until <= told + CANCEL, "ran_cancelled: {k} on {}", x.name);
                }
            }
        }
    }

    /// A worker reports to a node; the answer comes back or is lost.
    fn exchange(&mut self, w: usize, n: usize, fate: u8) {
        if !self.workers[w].alive || self.workers[w].inbound_partition || self.workers[w].hung {
            return;
        }
        let sent = self.now;
        let r = self.report(w);
        if fate.is_multiple_of(8) {
            self.late.push(Late::Heartbeat(n, r));
            return;
        }
        if fate >= 24 {
            // A copy of it arrives again later.
            self.late.push(Late::Heartbeat(n, r.clone()));
        }
        let Some((token, list)) = self.answer(n, &r) else {
            return;
        };
        let x = &mut self.workers[w];
        if fate % 8 == 1 || x.outbound_partition || token < x.token || r.session != x.session {
            return;
        }
        x.token = token;
        x.renewed = sent;
        self.execute(w, &list);
    }

    /// Direct orders of a node to all of its machines.
    fn direct(&mut self, n: usize, w: usize, fate: u8) {
        self.adopt(n);
        let id = self.workers[w].name.clone();
        let node = &mut self.nodes[n];
        let Some(m) = node.machines.get_mut(&id) else {
            return;
        };
        let session = if m.session > 0 { m.session } else { 1 };
        let list = if m.fenced() {
            commands(&node.view, &id, m, false)
        } else {
            Vec::new()
        };
        m.sent(&list);
        let term = m.term;
        none_cancelled(&self.nodes[n].view, &list);
        if self.workers[w].outbound_partition {
            return;
        }
        if fate.is_multiple_of(4) || !self.workers[w].alive || self.workers[w].hung {
            self.late.push(Late::CommandBatch(w, term, session, list));
            return;
        }
        self.deliver(w, term, session, &list);
        if fate % 4 == 1 {
            return; // carried out, but the answer is lost
        }
        let r = self.report(w);
        let now = self.now;
        if let Some(m) = self.nodes[n].machines.get_mut(&id) {
            m.answered_direct(&list);
            m.take(&r, true, now);
        }
    }

    fn deliver(&mut self, w: usize, term: u64, session: u64, list: &[Command]) {
        let x = &mut self.workers[w];
        if !x.alive || term < x.token || session != x.session {
            return;
        }
        x.token = term;
        self.execute(w, list);
    }

    fn arrive(&mut self, k: usize) {
        if self.late.is_empty() {
            return;
        }
        // Some arrive once more.
        let again = k >= 192 && self.late.len() < 50;
        let k = k % self.late.len();
        let late = match again {
            true => self.late[k].clone(),
            false => self.late.remove(k),
        };
        match late {
            Late::Transaction(t) => {
                self.store.apply(&t);
            }
            Late::CommandBatch(w, term, session, list) => match self.workers[w].hung {
                true => self.late.push(Late::CommandBatch(w, term, session, list)),
                false => self.deliver(w, term, session, &list),
            },
            Late::Heartbeat(n, r) => {
                self.answer(n, &r);
            }
        }
    }

    fn pass_time(&mut self, t: Micros) {
        self.now += t;
        self.gone_in_time();
        for x in &mut self.workers {
            if x.alive && self.now - x.renewed > LEASE {
                x.session += 1;
                x.renewed = self.now;
                x.tasks.clear();
            }
        }
    }

    fn step(&mut self, op: u8, a: u8, b: u8) {
        let n = a as usize % NODES;
        let w = b as usize % self.workers.len();
        let job: JobId = format!("req-{}", u32::from(b) % self.jobs.max(1))
            .as_str()
            .into();
        match op % 16 {
            0 | 1 => self.sync(n),
            2 => {
                self.sync(n);
                self.shards(n);
                self.sync(n);
            }
            3..=5 => self.pass(n, b),
            6..=8 => {
                // Mostly to the owner.
                let shard = shard_of(&self.workers[w].name);
                let owner = (0..NODES).find(|n| self.term(*n, shard).is_some());
                self.exchange(
                    w,
                    owner.filter(|_| !a.is_multiple_of(8)).unwrap_or(n),
                    a / 8,
                );
            }
            9 | 10 => self.direct(n, w, a / 3),
            11 => self.arrive(b as usize),
            12 => self.pass_time(u64::from(a % 64) * SECOND / 8),
            13 => match a % 8 {
                // A lease ends, its node knowing or not; a node starts anew; a machine is returned; it goes deaf,
                // or mute, or hangs, or is well again; the state service refuses a node, or no more; a task fails.
                0 => {
                    let key = keys::member(&self.nodes[n].name);
                    self.store.apply(&Transaction {
                        preconditions: vec![],
                        mutations: vec![Mutation::Delete { key }],
                    });
                }
                1 => {
                    let name = self.nodes[n].name.clone();
                    self.nodes[n] = Controller {
                        name,
                        lease: 0,
                        view: ClusterState::default(),
                        seen: 0,
                        synced: 0,
                        cut: self.nodes[n].cut,
                        machines: BTreeMap::new(),
                    };
                }
                2 => {
                    let key = keys::machine(&self.workers[w].name);
                    self.workers[w].alive = false;
                    self.workers[w].tasks.clear();
                    self.store.apply(&Transaction {
                        preconditions: vec![],
                        mutations: vec![Mutation::Delete { key }],
                    });
                    self.rent();
                }
                3 => self.workers[w].outbound_partition ^= true,
                4 => self.workers[w].inbound_partition ^= true,
                5 => self.workers[w].hung ^= true,
                6 => self.nodes[n].cut ^= true,
                _ => {
                    let mut hit = None;
                    for (k, t) in &mut self.workers[w].tasks {
                        if t.status == TaskStatus::Running {
                            t.status = TaskStatus::Exited;
                            t.cause = Some(ExitReason::Error);
                            hit = Some(k.clone());
                            break;
                        }
                    }
                    drop(hit);
                }
            },
            14 => {
                let runs = |x: &Worker| {
                    let mut list = x
                        .tasks
                        .iter()
                        .filter(|(_, t)| t.status == TaskStatus::Running);
                    list.next().map(|(k, t)| (k.clone(), t.attempt))
                };
                let x = &self.workers[w];
                if let (Some((k, attempt)), false) = (runs(x), x.hung || !x.alive) {
                    self.complete(&k, attempt);
                }
            }
            _ => {
                let key = keys::job(&job);
                if !b.is_multiple_of(4) || self.jobs == 0 {
                    let kind = [JobKind::Array, JobKind::Service, JobKind::Array][a as usize % 3];
                    let s = match self.jobs % GANG_SHARD {
                        0 => spec(JobKind::Gang, GANG_TASKS, self.now),
                        _ => spec(kind, 1 + u32::from(a % 3), self.now),
                    };
                    self.store.put(
                        keys::job(&format!("req-{}", self.jobs)),
                        &JobRecord(s, TaskBlock::default()),
                    );
                    self.jobs += 1;
                } else if self.store.keys.contains_key(&key) {
                    self.cancel(&job);
                }
            }
        }
        self.gangs();
        self.check();
    }

    /// A job is cancelled, and its user is told at that moment.
    fn cancel(&mut self, job: &str) {
        let (v, _) = &self.store.keys[&keys::job(job)];
        let JobRecord(mut s, first): JobRecord = v.deserialized().expect("job");
        s.cancelled = true;
        self.store.put(keys::job(job), &JobRecord(s, first));
        self.told.entry(job.to_string()).or_insert(self.now);
    }

    /// A task completes; a gang does as a whole.
    fn complete(&mut self, task: &str, attempt: u64) {
        let (job, _) = task.split_once('/').expect("task name");
        let gang = is_gang(job);
        let of_it = |k: &str, t: &Task| {
            k.split_once('/').is_some_and(|(j, _)| j == job)
                && t.attempt == attempt
                && t.status == TaskStatus::Running
        };
        let able = self.workers.iter().filter(|x| x.alive && !x.hung);
        let there: usize = able
            .map(|x| x.tasks.iter().filter(|(k, t)| of_it(k, t)).count())
            .sum();
        if gang && there < GANG_TASKS as usize {
            // The others will notice.
            return;
        }
        for x in self.workers.iter_mut().filter(|x| x.alive) {
            for (k, t) in &mut x.tasks {
                let peer = gang && k.split_once('/').is_some_and(|(j, _)| j == job);
                let hit = t.status == TaskStatus::Running && t.attempt == attempt;
                if (k == task || peer) && hit {
                    t.exit(ExitReason::Done);
                    self.completed.insert(k.clone());
                }
            }
        }
    }

    /// What is written as done was done; what ended stays ended.
    fn check(&mut self) {
        for n in &self.nodes {
            common::indexed(&n.view);
        }
        for (k, (v, _)) in &self.store.keys {
            if let Some(job) = k.strip_prefix("c/job/") {
                let JobRecord(_, b): JobRecord = v.deserialized().expect("job");
                for (i, s) in b.0.iter().enumerate() {
                    if *s == TaskState::Done {
                        assert!(self.completed.contains(&format!("{job}/{i}")), "not_done");
                    }
                }
            }
            if let Some(job) = k.strip_prefix("c/final/") {
                let f: coppergw::jobs::model::FinishedJob = v.deserialized().expect("final");
                let before = self.ended.insert(job.to_string(), !f.cancelled);
                assert!(before.is_none_or(|b| b != f.cancelled), "went_back");
                assert!(
                    !self.store.keys.contains_key(&keys::job(job)),
                    "a job is over and goes on"
                );
            }
        }
    }

    /// Without further failures everything that can end does.
    fn settle(&mut self) {
        self.late.clear();
        self.nodes.iter_mut().for_each(|n| n.cut = false);
        for w in &mut self.workers {
            (w.outbound_partition, w.inbound_partition, w.hung) = (false, false, false);
        }
        // Services would keep their room for ever.
        let service = |v: &ciborium::Value| {
            let JobRecord(s, _) = v.deserialized().expect("job");
            s.kind == JobKind::Service
        };
        let jobs = self.store.keys.iter().filter_map(|(k, (v, _))| {
            let id = k.strip_prefix("c/job/").filter(|_| service(v))?;
            Some(id.to_string())
        });
        for id in jobs.collect::<Vec<String>>() {
            self.cancel(&id);
        }
        for _ in 0..80 {
            for n in 0..NODES {
                self.sync(n);
                self.shards(n);
                self.sync(n);
                self.pass(n, 1);
                self.sync(n);
            }
            for w in 0..self.workers.len() {
                let shard = shard_of(&self.workers[w].name);
                if let Some(n) = (0..NODES).find(|n| self.term(*n, shard).is_some()) {
                    self.exchange(w, n, 2);
                }
            }
            for w in 0..self.workers.len() * 4 {
                self.step(14, 0, (w % self.workers.len()) as u8);
            }
            self.pass_time(SECOND);
        }
    }
}

/// That a job is a gang is in its number, so that it is known when its record is gone.
fn is_gang(job: &str) -> bool {
    let number = job.strip_prefix("req-").and_then(|n| n.parse().ok());
    number.is_some_and(|n: u32| n.is_multiple_of(GANG_SHARD))
}

/// Nobody who knows that a job is cancelled has a task of it start.
fn none_cancelled(view: &ClusterState, list: &[Command]) {
    for o in list {
        if let Command::Start { task: shard, .. } = o {
            let job = shard.split_once('/').and_then(|(j, _)| view.jobs.get(j));
            assert!(
                job.is_some_and(|j| !j.cancelled()),
                "{shard} is told to start"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20),
        max_shrink_iters: 60,
        ..ProptestConfig::default()
    })]

    #[test]
    fn rules_hold_whatever_fails(ops in proptest::collection::vec(any::<(u8, u8, u8)>(), 100..900)) {
        let mut w = World::new();
        for (op, a, b) in ops {
            w.step(op, a, b);
        }
        w.settle();
        // Nothing accepted is forgotten: every job is over by now.
        for k in w.store.keys.keys() {
            if k.starts_with("c/job/") {
                let b = k.replace("/job/", "/block/") + "/0";
                let slots: Option<TaskBlock> = w
                    .store
                    .keys
                    .get(&b)
                    .map(|x| x.0.deserialized().expect("block"));
                let on: Vec<_> = w
                    .workers
                    .iter()
                    .map(|x| (&x.name, x.alive, x.session, x.token, x.tasks.len()))
                    .collect();
                prop_assert!(false, "{k} never ended: {slots:?} {on:?}");
            }
        }
    }
}

/// A day on which it happened: a controller that was cut off concluded from its silence that a
/// lease had ended; the transaction arrived when a newer owner had kept that lease alive.
#[test]
fn a_late_conclusion_of_a_deposed_owner_changes_nothing() {
    let mut w = World::new();
    for n in 0..NODES {
        w.sync(n);
    }
    w.store.put(
        keys::job("req-1"),
        &JobRecord(spec(JobKind::Service, 1, w.now), TaskBlock::default()),
    );
    w.jobs = 2;
    let run = |w: &mut World| {
        for n in 0..NODES {
            w.sync(n);
            w.pass(n, 1);
            w.sync(n);
        }
        for i in 0..w.workers.len() {
            let shard = shard_of(&w.workers[i].name);
            for n in 0..NODES {
                if w.term(n, shard).is_some() {
                    w.exchange(i, n, 2);
                }
            }
        }
    };
    for _ in 0..4 {
        run(&mut w);
        w.pass_time(SECOND);
    }
    let machine = (0..w.workers.len())
        .find(|i| !w.workers[*i].tasks.is_empty())
        .expect("the replica runs");
    let shard = shard_of(&w.workers[machine].name);
    let old = (0..NODES)
        .find(|n| w.term(*n, shard).is_some())
        .expect("owner");
    // The old owner is cut off: its lease ends, others take its parts and keep the workers alive.
    let key = keys::member(&w.nodes[old].name);
    w.store.apply(&Transaction {
        preconditions: vec![],
        mutations: vec![Mutation::Delete { key }],
    });
    for _ in 0..30 {
        for n in (0..NODES).filter(|n| *n != old) {
            w.sync(n);
            w.shards(n);
            w.sync(n);
        }
        for i in 0..w.workers.len() {
            let shard = shard_of(&w.workers[i].name);
            if let Some(n) = (0..NODES).find(|n| *n != old && w.term(*n, shard).is_some()) {
                w.exchange(i, n, 2);
            }
        }
        w.pass_time(SECOND);
    }
    w.pass(old, 0);
    assert!(!w.late.is_empty(), "it does conclude");
    while !w.late.is_empty() {
        w.arrive(0);
    }
    let (v, _) = w.store.keys.get("c/job/req-1").expect("job");
    let JobRecord(_, b): JobRecord = v.deserialized().expect("job");
    assert!(
        matches!(b.0[0], TaskState::Placed(_)),
        "still placed: {b:?}"
    );
}

/// A service of one task that its owner has placed but not started yet, on a machine that holds the owner's
/// token: the owner and the machine.
fn placed(w: &mut World) -> (usize, usize) {
    let owner = |w: &World, i: usize| {
        let shard = shard_of(&w.workers[i].name);
        let owner = (0..NODES).find(|n| w.term(*n, shard).is_some());
        owner.expect("each part has an owner")
    };
    (0..NODES).for_each(|n| w.sync(n));
    for _ in 0..2 {
        for i in 0..w.workers.len() {
            w.exchange(i, owner(w, i), 2);
        }
    }
    let job = JobRecord(spec(JobKind::Service, 1, w.now), TaskBlock::default());
    w.store.put(keys::job("req-1"), &job);
    w.jobs = 2;
    for n in 0..NODES {
        w.sync(n);
        w.pass(n, 1);
    }
    (0..NODES).for_each(|n| w.sync(n));
    let TaskState::Placed(p) = slot(w) else {
        panic!("it is placed");
    };
    let i = w.workers.iter().position(|x| x.name == p.machine);
    let i = i.expect("on a machine");
    (owner(w, i), i)
}

fn slot(w: &World) -> TaskState {
    let (v, _) = w.store.keys.get("c/job/req-1").expect("job");
    let JobRecord(_, b): JobRecord = v.deserialized().expect("job");
    b.0[0].clone()
}

/// It is to go: the owner writes that.
fn stop(w: &mut World, n: usize) {
    w.sync(n);
    let stop = [JobChange::Stop {
        job: "req-1".into(),
        index: 0,
        attempt: 1,
        grace: 0,
    }];
    let view = &w.nodes[n].view;
    for s in stage(view, &stop, &HashSet::new(), &|_| false, LIMITS) {
        assert!(w.store.apply(&s.transaction));
    }
    w.sync(n);
}

/// Whether the owner, after it looked at what the reports prove, still has it where it was.
fn stays(w: &mut World, n: usize) -> bool {
    w.pass(n, 1);
    w.sync(n);
    matches!(slot(w), TaskState::Placed(p) if p.attempt == 1)
}

/// A report from before the task started arrives after newer ones, while the machine does not hear that the
/// task has to stop.
#[test]
fn an_old_report_after_newer_ones_proves_nothing() {
    let mut w = World::new();
    let (n, m) = placed(&mut w);
    let old = w.report(m);
    w.direct(n, m, 2);
    assert_eq!(w.workers[m].tasks.len(), 1);
    w.workers[m].outbound_partition = true;
    stop(&mut w, n);
    w.answer(n, &old);
    assert!(stays(&mut w, n));
    w.workers[m].outbound_partition = false;
    w.exchange(m, n, 2);
    w.exchange(m, n, 2);
    assert!(!stays(&mut w, n), "now it has stopped");
}

/// A direct start that is held, and the machine reports meanwhile that it has no such task: it may come yet.
#[test]
fn a_start_that_is_held_may_come_yet() {
    let mut w = World::new();
    let (n, m) = placed(&mut w);
    w.direct(n, m, 0);
    assert_eq!(w.late.len(), 1, "it is under way");
    stop(&mut w, n);
    for _ in 0..2 {
        let r = w.report(m);
        w.answer(n, &r);
        assert!(stays(&mut w, n));
    }
    w.arrive(0);
    assert_eq!(w.workers[m].tasks.len(), 1, "here it is");
    assert!(stays(&mut w, n));
}

/// The same, and its owner has ended: the next one hears from the machine, which is deaf to it and has not seen
/// the new token, so the start of the one before may come yet.
#[test]
fn what_shows_an_older_token_proves_nothing_to_a_new_owner() {
    let mut w = World::new();
    let (n, m) = placed(&mut w);
    w.direct(n, m, 0);
    let key = keys::member(&w.nodes[n].name);
    let then = vec![Mutation::Delete { key }];
    w.store.apply(&Transaction {
        preconditions: vec![],
        mutations: then,
    });
    let others: Vec<usize> = (0..NODES).filter(|x| *x != n).collect();
    for x in &others {
        w.sync(*x);
        w.shards(*x);
    }
    others.iter().for_each(|x| w.sync(*x));
    let shard = shard_of(&w.workers[m].name);
    let new = others.into_iter().find(|x| w.term(*x, shard).is_some());
    let new = new.expect("another took it");
    stop(&mut w, new);
    for _ in 0..2 {
        let r = w.report(m);
        w.answer(new, &r);
        assert!(stays(&mut w, new));
    }
    w.arrive(0);
    assert_eq!(w.workers[m].tasks.len(), 1, "the old owner's start");
    for _ in 0..3 {
        w.exchange(m, new, 2);
    }
    assert!(!stays(&mut w, new), "the new token was seen, and the stop");
}

/// All controllers are away for longer than the workers' leases, with gangs, arrays and services on their machines and
/// a job cancelled just before: each task is gone by its lease, sessions are new, and nothing is concluded from the
/// old attempts but by these; then everything that can end does.
#[test]
fn all_controllers_are_away_for_longer_than_a_lease() {
    for away in [10, 20, 60, 300] {
        let mut w = World::new();
        let kinds = [
            (JobKind::Gang, GANG_TASKS),
            (JobKind::Array, 3),
            (JobKind::Service, 2),
        ];
        for (k, (kind, tasks)) in kinds.into_iter().enumerate() {
            let job = JobRecord(spec(kind, tasks, w.now), TaskBlock::default());
            w.store.put(keys::job(&format!("req-{k}")), &job);
        }
        w.jobs = 3;
        let round = |w: &mut World| {
            for n in 0..NODES {
                w.step(2, n as u8, 0);
                w.pass(n, 1);
                w.sync(n);
            }
            for i in 0..w.workers.len() {
                let shard = shard_of(&w.workers[i].name);
                if let Some(n) = (0..NODES).find(|n| w.term(*n, shard).is_some()) {
                    w.exchange(i, n, 2);
                }
            }
            w.gangs();
            w.check();
            w.pass_time(SECOND);
        };
        (0..8).for_each(|_| round(&mut w));
        let runs = |w: &World| -> usize {
            let all = w.workers.iter().flat_map(|x| x.tasks.values());
            all.filter(|t| t.status == TaskStatus::Running).count()
        };
        assert_eq!((runs(&w), w.whole), (8, GANG_TASKS), "all of it runs");
        // The service is cancelled, its user told, and nobody has acted on it.
        w.cancel("req-2");
        for n in 0..NODES {
            w.step(13, n as u8, 0);
            let name = w.nodes[n].name.clone();
            w.nodes[n] = Controller {
                name,
                lease: 0,
                view: ClusterState::default(),
                seen: 0,
                synced: 0,
                cut: false,
                machines: BTreeMap::new(),
            };
        }
        (0..away).for_each(|_| w.pass_time(SECOND));
        let lasting = away * SECOND < LEASE;
        assert_eq!(runs(&w) > 0, lasting, "away for {away} s");
        (0..8).for_each(|_| round(&mut w));
        assert_eq!(runs(&w), 6, "what goes on runs again, the rest is gone");
        w.settle();
        let left: Vec<&String> = w
            .store
            .keys
            .keys()
            .filter(|k| k.starts_with("c/job/"))
            .collect();
        assert!(left.is_empty(), "{left:?}");
    }
}

/// A controller is cut off with the workers of its zone for longer than their lease, and a job of theirs is cancelled
/// through another, just after or long after. It goes on answering them, but not for longer than the job may be there.
#[test]
fn a_controller_cut_off_with_its_workers_answers_no_longer_than_it_may() {
    for after in [0, 5, 20, 40] {
        let mut w = World::new();
        let (n, m) = placed(&mut w);
        w.exchange(m, n, 2);
        w.exchange(m, n, 2);
        assert_eq!(w.workers[m].tasks.len(), 1, "it runs");
        w.nodes[n].cut = true;
        for t in 0..after + 70 {
            if t == after {
                w.cancel("req-1");
            }
            w.sync(n);
            w.exchange(m, n, 2);
            w.pass(n, 1);
            w.pass_time(SECOND);
            let lives = !w.workers[m].tasks.is_empty();
            assert!(
                lives || t >= 28,
                "it is kept alive for as long as may be: {t} s"
            );
        }
        assert!(w.workers[m].tasks.is_empty());
        assert!(
            matches!(slot(&w), TaskState::Placed(_)),
            "and concludes nothing"
        );
    }
}
