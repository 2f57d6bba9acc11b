//! Pipelines, versions side by side and limits that fall, under generated orders of submissions,
//! cancellations, restarts and late transactions. The store checks every write against its limits; the
//! version in production is met through the types that it reads and writes with.

mod common;

use coppergw::autoscaler::model::{MachineRecord, MachineState, ScaleOutRequest};
use coppergw::autoscaler::reconciler::shrink_scale_out_request;
use coppergw::fairness::rounds::fitting;
use coppergw::ids::MachineId;
use coppergw::jobs::commit::{
    JobChange, TransactionLimits, accept_submission, cancel, collect_garbage, stage,
};
use coppergw::jobs::model::{
    FinishedJob, JobId, JobIdList, JobRecord, JobSpec, Placement, Resources, StoredBlock,
    TaskBlock, TaskState,
};
use coppergw::jobs::pipelines::{DependencyCheck, answer, check_dependencies};
use coppergw::membership::{LAYOUT_VERSION, Member, Version, all_support_layout};
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::wire::state::{Mutation, Transaction};
use coppergw::wire::user::{JobKind, Priority, Status};
use coppergw::wire::{from_value, json_size, to_value};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const NODES: usize = 3;
const WIDE: (usize, usize) = (32 * 1024, 16);
const NARROW: (usize, usize) = (2 * 1024, 5);

/// The record as the version in production has it: what it cannot read it drops, and with it the job.
#[derive(serde::Deserialize)]
#[allow(dead_code)]
struct OldSpec {
    cl: String,
    t: String,
    k: JobKind,
    r: Priority,
    n: u32,
    q: Resources,
    i: String,
    ig: i64,
    ty: Option<Vec<String>>,
    z: Option<String>,
    oz: bool,
    sp: bool,
    s: bool,
    e: u64,
    cp: u64,
    sv: u64,
    d: Option<u64>,
    at: u64,
    #[serde(default)]
    x: bool,
}
type OldSlot = (u8, u32, String, u64, u64);
type OldRecord = (OldSpec, Vec<OldSlot>);

fn spec(kind: JobKind, tasks: u32) -> JobSpec {
    JobSpec {
        class: "claim-score".into(),
        team: "fleet-desk".into(),
        priority: Priority::Low,
        image: "image-of-some-length-07".into(),
        image_size: 900,
        machine_types: Some(vec!["umurenge-16".into(), "imbaraga-24".into()]),
        estimated_run_time: 25_000_000,
        checkpoint_interval: 15_000_000,
        checkpoint_save_time: 6_000_000,
        deadline: Some(150_000_000),
        submitted_at: 1_700_000_000_000_000,
        ..common::spec(kind, tasks)
    }
}

#[derive(Default)]
struct Store {
    inner: common::Store,
    limits: (usize, usize),
}

impl std::ops::Deref for Store {
    type Target = common::Store;
    fn deref(&self) -> &common::Store {
        &self.inner
    }
}

impl std::ops::DerefMut for Store {
    fn deref_mut(&mut self) -> &mut common::Store {
        &mut self.inner
    }
}

impl Store {
    /// What the state service answers with 400: always a fault of ours.
    fn check(&self, t: &Transaction) {
        let (value, ops) = self.limits;
        assert!(t.mutations.len() <= ops, "{} changes", t.mutations.len());
        assert!(
            t.preconditions.len() <= ops * 4,
            "{} guards",
            t.preconditions.len()
        );
        assert!(t.largest() <= value, "a value of {} bytes", t.largest());
        assert!(json_size(t) <= 64 * 1024);
    }

    fn job(&self, id: &str) -> Option<JobSpec> {
        let (v, _) = self.keys.get(&keys::job(id))?;
        Some(from_value::<coppergw::jobs::model::StoredJobRecord>(v)?.0)
    }
    fn finished_job(&self, id: &str) -> Option<FinishedJob> {
        from_value(&self.keys.get(&keys::finished_job(id))?.0)
    }
    /// Whether the job or one before it is cancelled, from what is stored alone.
    fn cancelled(&self, needs: &HashMap<String, Vec<String>>, id: &str) -> bool {
        match self.finished_job(id) {
            Some(f) => f.cancelled,
            None => {
                self.job(id).is_some_and(|s| s.cancelled)
                    || needs
                        .get(id)
                        .into_iter()
                        .flatten()
                        .any(|n| self.cancelled(needs, n))
            }
        }
    }
}

struct Controller {
    view: ClusterState,
    seen: usize,
    new: bool,
}

struct World {
    store: Store,
    nodes: Vec<Controller>,
    /// As submitted: what each job waits for.
    needs: HashMap<String, Vec<String>>,
    order: Vec<String>,
    told: HashMap<String, Status>,
    late: Vec<Transaction>,
    on: BTreeSet<(String, u32)>,
    wall: u64,
}

fn name(n: usize) -> String {
    format!("deckhand-{n}")
}

impl World {
    fn new() -> World {
        let mut w = World {
            store: Store {
                limits: WIDE,
                ..Store::default()
            },
            nodes: Vec::new(),
            needs: HashMap::new(),
            order: Vec::new(),
            told: HashMap::new(),
            late: Vec::new(),
            on: BTreeSet::new(),
            wall: 1_700_000_000_000_000,
        };
        for _ in 0..NODES {
            w.nodes.push(Controller {
                view: ClusterState::default(),
                seen: 0,
                new: false,
            });
        }
        w
    }

    fn layout(&self) -> bool {
        self.store.keys.contains_key(keys::LAYOUT)
    }

    fn limits(&self, n: usize) -> TransactionLimits {
        let layout = self.nodes[n].new && self.nodes[n].view.layout.is_some();
        let (value, ops) = if layout { NARROW } else { WIDE };
        TransactionLimits {
            max_mutations: ops,
            max_merged_mutations: 8,
            max_bytes: 48 * 1024,
            max_value_bytes: value - 48,
            newer_layout: layout,
            packed: layout,
            wall_clock: self.wall,
        }
    }

    fn sync(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        for (rev, key, v) in &self.store.log[node.seen..] {
            match v {
                Some(v) => node.view.put(key, v, *rev),
                None => node.view.delete(key, *rev),
            }
        }
        node.seen = self.store.log.len();
        node.view.revision = self.store.rev;
        common::indexed(&node.view);
    }

    /// A process that comes back reads everything but the final states.
    fn restart(&mut self, n: usize, new: bool) {
        let mut view = ClusterState::default();
        for (k, (v, stamp)) in &self.store.keys {
            if keys::LOADED.iter().any(|p| k.starts_with(p)) {
                view.put(k, v, *stamp);
            }
        }
        view.revision = self.store.rev;
        self.nodes[n] = Controller {
            view,
            seen: self.store.log.len(),
            new,
        };
        if new {
            self.put(
                keys::version(&name(n)),
                &Version {
                    version: LAYOUT_VERSION,
                },
            );
        }
        let members = (0..NODES).map(|n| {
            let version = if self.nodes[n].new { LAYOUT_VERSION } else { 0 };
            let m = Member {
                lease: 1,
                since: 0,
                unreachable_by_workers: false,
                version,
                restart_count: 0,
            };
            (name(n), m)
        });
        let members: BTreeMap<String, Member> = members.collect();
        self.sync(n);
        let names: Vec<String> = (0..NODES).map(name).collect();
        let view = &self.nodes[n].view;
        if new && all_support_layout(names.iter().map(String::as_str), &view.versions, &members) {
            self.put(
                keys::LAYOUT.into(),
                &Version {
                    version: LAYOUT_VERSION,
                },
            );
        }
    }

    fn put<T: serde::Serialize>(&mut self, key: String, v: &T) {
        self.store.apply(&Transaction {
            preconditions: vec![],
            mutations: vec![Mutation::Put {
                key,
                value: to_value(v),
                lease: None,
            }],
        });
    }

    /// Carries a transaction out, or holds it back to be applied late, with or without an answer.
    fn commit(&mut self, n: usize, t: Transaction, fate: u8) -> bool {
        self.store.check(&t);
        if fate.is_multiple_of(7) {
            self.late.push(t);
            return false;
        }
        let ok = self.run(&t);
        if ok && !fate.is_multiple_of(5) {
            // Applied ahead of the watch.
            let rev = self.store.rev;
            for c in &t.mutations {
                match c {
                    Mutation::Put {
                        key: put, value: v, ..
                    } => self.nodes[n].view.put(put, v, rev),
                    Mutation::Delete { key: remove } => self.nodes[n].view.delete(remove, rev),
                }
            }
        }
        if !ok {
            self.sync(n);
        }
        ok
    }

    fn run(&mut self, t: &Transaction) -> bool {
        if !self.store.apply(t) {
            return false;
        }
        let old = !self.layout();
        for c in &t.mutations {
            let Mutation::Put {
                key: put, value: v, ..
            } = c
            else {
                continue;
            };
            if old {
                // The version in production must be able to read it.
                if put.starts_with("c/job/") {
                    assert!(from_value::<OldRecord>(v).is_some(), "{put} is unreadable");
                } else if put.starts_with("c/block/") {
                    assert!(
                        from_value::<Vec<OldSlot>>(v).is_some(),
                        "{put} is unreadable"
                    );
                }
                assert!(!put.starts_with("c/slots/") && !put.starts_with("c/needs/"));
            }
        }
        // Whatever is placed now, by whichever view: everything before it must be done.
        let mut fresh = ClusterState::default();
        for (k, (v, stamp)) in &self.store.keys {
            fresh.put(k, v, *stamp);
        }
        let mut on = BTreeSet::new();
        for (id, j) in &fresh.jobs {
            on.extend(j.placements().map(|(i, _)| (id.to_string(), i)));
        }
        for (id, i) in on.difference(&self.on) {
            for n in self.needs.get(id).into_iter().flatten() {
                let f = self.store.finished_job(n);
                assert!(
                    f.is_some_and(|f| !f.cancelled),
                    "too_early: {id}/{i} before {n}"
                );
            }
            assert_ne!(self.told.get(id), Some(&Status::Cancelled), "ran_cancelled");
        }
        self.on = on;
        true
    }

    fn read_final(&mut self, n: usize, id: &str) -> bool {
        let f = self.store.finished_job(id);
        if let Some(f) = f {
            self.nodes[n].view.remember_finished_job(&id.into(), f);
        }
        f.is_some()
    }

    fn submit(&mut self, n: usize, mut s: JobSpec, picks: &[u8]) {
        let id = format!("req-{:06}", self.order.len());
        let names: Vec<String> = picks
            .iter()
            .filter(|_| !self.order.is_empty())
            .map(|p| self.order[usize::from(*p) % self.order.len()].clone())
            .collect();
        if !names.is_empty() {
            if self.nodes[n].view.layout.is_none() || !self.nodes[n].new {
                return; // 503
            }
            let mut list = check_dependencies(&self.nodes[n].view, &id, &names);
            if let DependencyCheck::Unknown(u) = list {
                for x in &u {
                    self.read_final(n, x);
                }
                self.sync(n);
                list = check_dependencies(&self.nodes[n].view, &id, &names);
            }
            let DependencyCheck::Accepted(list) = list else {
                panic!("422 for accepted jobs: {list:?}");
            };
            s.dependencies.jobs = JobIdList(list);
        }
        s.submitted_at = self.wall;
        let limits = self.limits(n);
        self.needs.insert(id.clone(), names);
        self.order.push(id.clone());
        for _ in 0..9 {
            let steps = accept_submission(&self.nodes[n].view, &id, s.clone(), limits);
            for t in steps.expect("fits into values") {
                self.store.check(&t);
                assert!(self.run(&t));
                if t.mutations.iter().any(|c| c.key() == keys::job(&id)) {
                    return;
                }
            }
            self.sync(n);
        }
        panic!("never accepted");
    }

    /// The state as a user is told it.
    fn poll(&mut self, n: usize, id: &str) -> Option<Status> {
        let last = |s: Status| matches!(s, Status::Done | Status::Cancelled);
        let mut a = answer(&self.nodes[n].view, id).map(|a| a.status);
        if !a.is_some_and(last) {
            if a.is_none() {
                self.read_final(n, id);
            }
            self.sync(n);
            for x in self.nodes[n].view.unknown_ancestors(id) {
                assert!(self.read_final(n, &x), "neither unfinished nor over: {x}");
            }
            a = answer(&self.nodes[n].view, id).map(|a| a.status);
        }
        let a = a.expect("forgotten");
        let cancelled = self.store.cancelled(&self.needs, id);
        assert_eq!(
            a == Status::Cancelled,
            cancelled,
            "orphaned, or cancelled by nobody: {id}"
        );
        if let Some(before) = self.told.get(id)
            && last(*before)
        {
            assert_eq!(a, *before, "went_back");
        }
        self.told.insert(id.into(), a);
        Some(a)
    }

    fn cancel(&mut self, n: usize, id: &str, fate: u8) {
        if !self.nodes[n].new && self.layout() {
            return;
        }
        for _ in 0..12 {
            if matches!(self.poll(n, id), Some(Status::Done | Status::Cancelled)) {
                return;
            }
            let job: JobId = id.into();
            let Some(t) = cancel(&self.nodes[n].view, &job, self.limits(n)) else {
                return;
            };
            if !self.commit(n, t, fate) && fate.is_multiple_of(7) {
                return;
            }
        }
        panic!("a cancellation that never comes through");
    }

    fn intents(&self, n: usize, pick: u8) -> Vec<JobChange> {
        let view = &self.nodes[n].view;
        let mut out = Vec::new();
        for (k, (id, j)) in view.jobs.iter().enumerate() {
            // Placement is tried for every job: what may not start must be kept back by the guard.
            let waiting: Vec<u32> = j
                .slots()
                .filter(|(_, s)| matches!(s, TaskState::Waiting(_)))
                .map(|(i, _)| i)
                .collect();
            let machine =
                |i: u32| -> MachineId { format!("m-{:06}", (i * 7 + k as u32) % 400).into() };
            if !waiting.is_empty() {
                out.push(JobChange::Place {
                    job: id.clone(),
                    tasks: waiting.iter().map(|i| (*i, machine(*i), 1)).collect(),
                });
            }
            for (i, p) in j.placements() {
                if (i + u32::from(pick)).is_multiple_of(3) || j.cancelled() {
                    out.push(JobChange::AttemptEnded {
                        job: id.clone(),
                        index: i,
                        attempt: p.attempt,
                        done: !i.wrapping_add(p.attempt).is_multiple_of(4),
                    });
                } else if (i + u32::from(pick)).is_multiple_of(11) {
                    out.push(JobChange::Stop {
                        job: id.clone(),
                        index: i,
                        attempt: p.attempt,
                        grace: 4_000_000 + u64::from(i) * 1000,
                    });
                }
            }
            out.push(JobChange::Finalize { job: id.clone() });
        }
        out
    }

    fn pass(&mut self, n: usize, pick: u8, fate: u8) {
        // An old process must not be asked to write once the newer layout is in force: there is none.
        assert!(self.nodes[n].new || !self.layout());
        let intents = self.intents(n, pick);
        let l = self.limits(n);
        for s in stage(
            &self.nodes[n].view,
            &intents,
            &HashSet::new(),
            &|_| false,
            l,
        ) {
            self.commit(n, s.transaction, fate);
        }
        if fate.is_multiple_of(3)
            && let Some(t) = collect_garbage(&self.nodes[n].view, l)
        {
            self.commit(n, t, fate);
        }
    }

    fn step(&mut self, op: u8, a: u8, b: u8) {
        self.wall += 100_000;
        let n = usize::from(a) % NODES;
        match op % 12 {
            0 | 1 => {
                let tasks = [1, 3, 40, 130, 300][usize::from(b) % 5];
                self.submit(n, spec(JobKind::Array, tasks), &[]);
            }
            2 => self.submit(n, spec(JobKind::Gang, [2, 32, 64][usize::from(b) % 3]), &[]),
            3 => self.submit(n, spec(JobKind::Array, 2), &[a, b]),
            4 => self.submit(n, spec(JobKind::Gang, 3), &[b, b.wrapping_add(a), b / 2]),
            5 if !self.order.is_empty() => {
                let id = self.order[usize::from(b) % self.order.len()].clone();
                self.cancel(n, &id, a);
            }
            6 | 7 => self.pass(n, b, a),
            8 => self.sync(n),
            9 => {
                // Every process dies sooner or later; from its turn on it comes back new.
                let new = self.nodes[n].new || b.is_multiple_of(3);
                self.restart(n, new);
            }
            10 if !self.late.is_empty() => {
                let t = self.late.swap_remove(usize::from(b) % self.late.len());
                if self.store.limits == WIDE {
                    self.run(&t);
                } else if t.largest() <= NARROW.0 && t.mutations.len() <= NARROW.1 {
                    // A larger one is refused once the limits fell.
                    self.run(&t);
                }
            }
            11 if self.layout() && self.nodes.iter().all(|n| n.view.layout.is_some()) => {
                self.store.limits = NARROW;
            }
            _ => {
                if let Some(id) = self.order.get(usize::from(b)) {
                    let id = id.clone();
                    self.poll(n, &id);
                }
            }
        }
    }

    /// Without further failures everything ends, and nothing is left behind.
    fn settle(&mut self) {
        for n in 0..NODES {
            self.restart(n, true);
        }
        for n in 0..NODES {
            self.sync(n);
        }
        self.store.limits = NARROW;
        for round in 0..400u32 {
            let n = round as usize % NODES;
            self.sync(n);
            for x in self.nodes[n].view.unknown_dependencies() {
                self.read_final(n, &x);
            }
            self.pass(n, (round / 3) as u8, 3);
            if !self.store.keys.keys().any(|k| k.starts_with("c/job/")) {
                break;
            }
        }
        for _ in 0..200 {
            self.sync(0);
            if let Some(t) = collect_garbage(&self.nodes[0].view, self.limits(0)) {
                self.commit(0, t, 1);
            }
        }
        let left: Vec<&String> = self
            .store
            .keys
            .keys()
            .filter(|k| {
                ["c/job/", "c/block/", "c/slots/", "c/needs/"]
                    .iter()
                    .any(|p| k.starts_with(p))
            })
            .collect();
        assert!(left.is_empty(), "never ended: {left:?}");
        for id in self.order.clone() {
            self.poll(0, &id);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, max_shrink_iters: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// too_early, orphaned, went_back, forgotten and every limit, whatever comes in which order:
    /// versions side by side, restarts, late and unanswered transactions, limits that fall.
    #[test]
    fn pipelines_and_versions_keep_the_rules(ops in proptest::collection::vec(any::<(u8, u8, u8)>(), 40..160)) {
        let mut w = World::new();
        for (op, a, b) in ops {
            w.step(op, a, b);
        }
        w.settle();
    }

    /// Whatever a block holds is read again as it was, in every form.
    #[test]
    fn packed_blocks_are_read_as_they_were(slots in proptest::collection::vec((0u8..4, 0u32..3, 0u8..5, 1u64..3), 0..256)) {
        let b = TaskBlock(slots.iter().map(|(k, a, h, s)| match k {
            0 => TaskState::Waiting(*a),
            1 => TaskState::Done,
            k => TaskState::Placed(Placement {
                attempt: *a,
                machine: format!("m-{h}").into(),
                session: *s,
                stop: (*k == 3).then_some(6_000_000),
            }),
        }).collect());
        for form in [StoredBlock::Plain(b.clone()), StoredBlock::Packed(b.clone()), StoredBlock::Split(64)] {
            prop_assert_eq!(from_value::<StoredBlock>(&to_value(&form)), Some(form));
        }
    }
}

fn placed_apart(tasks: u32) -> TaskBlock {
    let place = |i: u32| {
        TaskState::Placed(Placement {
            attempt: 1 + i % 3,
            machine: format!("m-{i:06}").into(),
            session: 1,
            stop: None,
        })
    };
    TaskBlock((0..tasks).map(place).collect())
}

/// A record in the old layout, its 256 tasks on as many machines, is too large to be written again
/// after the fall. It still gets its cancellation, with one write, and its end.
#[test]
fn an_old_record_is_cancelled_and_ends_under_lower_limits() {
    let mut w = World::new();
    w.put(
        keys::job("req-000000"),
        &JobRecord(spec(JobKind::Array, 256), placed_apart(256)),
    );
    w.order.push("req-000000".into());
    for n in 0..NODES {
        w.restart(n, true);
    }
    w.restart(0, true);
    w.store.limits = NARROW;
    let before = w.store.rev;
    w.cancel(0, "req-000000", 1);
    assert_eq!(w.store.rev - before, 1, "more than one write for an answer");
    w.on = (0..256).map(|i| ("req-000000".to_string(), i)).collect();
    w.settle();
    assert_eq!(w.told["req-000000"], Status::Cancelled);
}

/// A gang of 32 on 32 machines of all parts fits into one transaction of 5 changes and 20 conditions.
#[test]
fn a_gang_on_many_machines_is_one_transaction_under_lower_limits() {
    let mut w = World::new();
    for n in 0..NODES {
        w.restart(n, true);
    }
    w.restart(0, true);
    w.store.limits = NARROW;
    w.submit(0, spec(JobKind::Gang, 32), &[]);
    w.sync(0);
    let tasks = (0..32)
        .map(|i| (i, format!("m-{i:06}").into(), 1))
        .collect();
    let job: JobId = "req-000000".into();
    let list = stage(
        &w.nodes[0].view,
        &[JobChange::Place { job, tasks }],
        &HashSet::new(),
        &|_| false,
        w.limits(0),
    );
    assert_eq!(list.len(), 1);
    let shards = list[0]
        .transaction
        .preconditions
        .iter()
        .filter(|g| g.key.starts_with("c/part/"));
    assert!(
        shards.count() > 8,
        "the terms of all parts stand for the machines"
    );
    assert!(w.commit(0, list[0].transaction.clone(), 1));
    w.sync(0);
    assert_eq!(w.nodes[0].view.jobs["req-000000"].placed, 32);
}

/// A list of needed jobs that fits into no value is split, written before the record, and read again;
/// the job waits for every one of them.
#[test]
fn long_lists_of_needed_jobs_are_split() {
    let mut w = World::new();
    for n in [0, 1, 2, 0] {
        w.restart(n, true);
    }
    w.store.limits = NARROW;
    for _ in 0..700 {
        w.submit(0, spec(JobKind::Array, 1), &[]);
        w.sync(0);
    }
    // An earlier try was cut off after its first key, with other jobs in it.
    w.put(
        keys::dependency_list("req-000700", 0),
        &JobIdList(vec!["req-000003".into()]),
    );
    w.sync(0);
    let mut s = spec(JobKind::Array, 1);
    s.dependencies.jobs = JobIdList(w.order.iter().map(|id| id.as_str().into()).collect());
    w.submit(0, s, &[]);
    w.restart(1, true);
    let view = &w.nodes[1].view;
    let last = &view.jobs["req-000700"];
    assert!(last.spec.dependencies.keys > 1 && last.dependencies.len() == 700 && !last.ready);
    let before: Vec<String> = w.order[..700].to_vec();
    for id in &before {
        assert!(!w.nodes[1].view.jobs["req-000700"].ready);
        let t = Transaction {
            preconditions: vec![],
            mutations: vec![
                Mutation::Put {
                    key: keys::finished_job(id),
                    value: to_value(&FinishedJob {
                        cancelled: false,
                        done: 1,
                        finished_at: 7,
                    }),
                    lease: None,
                },
                Mutation::Delete { key: keys::job(id) },
            ],
        };
        assert!(w.store.apply(&t));
        w.sync(1);
    }
    assert!(w.nodes[1].view.jobs["req-000700"].ready);
}

/// A charter of 50 machines is closed under 20 conditions a transaction, and every machine has a key
/// of its own at the moment when the charter stops naming it.
#[test]
fn a_charter_shrinks_in_steps() {
    let limits = coppergw::settings::StateLimits {
        rps: 1.0,
        write_rps: 1.0,
        max_value_bytes: 2048,
        max_mutations: 5,
    };
    let mut v = ClusterState::default();
    let names: Vec<String> = (0..50).map(|i| format!("m-{i:06}")).collect();
    let scale_out_request = ScaleOutRequest {
        machine_type: "t".into(),
        zone: "z".into(),
        spot: false,
        count: 50,
        requested_at: 0,
        machines: names.clone(),
    };
    v.put(
        &keys::scale_out_request("a"),
        &to_value(&scale_out_request),
        1,
    );
    assert!(
        shrink_scale_out_request(&v, limits).is_none(),
        "no machine has a key yet"
    );
    for (i, n) in names.iter().enumerate() {
        let h = MachineRecord {
            state: MachineState::Up,
            ..scale_out_request.machine()
        };
        v.put(&keys::machine(n), &to_value(&h), 2 + i as u64);
    }
    for rev in 100.. {
        let Some(t) = shrink_scale_out_request(&v, limits) else {
            break;
        };
        assert!(t.preconditions.len() <= limits.preconditions());
        match &t.mutations[0] {
            Mutation::Put {
                key: put,
                value: val,
                ..
            } => v.put(put, val, rev),
            Mutation::Delete { key: remove } => v.delete(remove, rev),
        }
        assert_eq!(v.machines.len(), 50);
    }
    assert!(v.scale_out_requests.is_empty());
}

/// Counts and raises that outgrow one value keep those that matter most.
#[test]
fn what_matters_most_fits() {
    let all: BTreeMap<String, (u32, u32)> =
        (0..500).map(|i| (format!("req-{i:06}"), (i, 2))).collect();
    let kept = fitting(all.clone(), 2000, &|_, (n, _)| *n);
    assert!(json_size(&kept) <= 2000 && kept.len() > 60);
    assert!(kept.values().all(|(n, _)| *n >= 500 - kept.len() as u32));
    assert_eq!(fitting(all.clone(), 32_000, &|_, (n, _)| *n), all);
}

/// Until every controller has said durably that it knows the newer layout, none uses it: a process
/// that died before its turn comes back old, whoever is alive just now.
#[test]
fn the_layout_changes_only_once_all_controllers_know_it() {
    let v = |n: u32| Version { version: n };
    let m = |version| Member {
        lease: 1,
        since: 0,
        unreachable_by_workers: false,
        version,
        restart_count: 0,
    };
    let names = ["a", "b", "c"];
    let two = BTreeMap::from([("a".into(), v(2)), ("b".into(), v(2))]);
    let all = BTreeMap::from([("a".into(), v(2)), ("b".into(), v(2)), ("c".into(), v(2))]);
    let alive = BTreeMap::from([("a".to_string(), m(2)), ("b".to_string(), m(2))]);
    let back = BTreeMap::from([("a".to_string(), m(2)), ("c".to_string(), m(0))]);
    assert!(!all_support_layout(names.into_iter(), &two, &alive));
    assert!(all_support_layout(names.into_iter(), &all, &alive));
    assert!(
        !all_support_layout(names.into_iter(), &all, &back),
        "one was rolled back"
    );
}

/// 422 for what was never accepted, for itself and for a service; what is done or given twice counts
/// for nothing; of a cancelled one only that counts.
#[test]
fn named_jobs_are_told_apart() {
    let mut v = ClusterState::default();
    let record = |s: JobSpec| to_value(&JobRecord(s, TaskBlock::default()));
    v.put(&keys::job("req-1"), &record(spec(JobKind::Array, 1)), 1);
    v.put(&keys::job("req-2"), &record(spec(JobKind::Service, 1)), 2);
    let finished_job = |cancelled| FinishedJob {
        cancelled,
        done: 1,
        finished_at: 5,
    };
    v.remember_finished_job(&"req-3".into(), finished_job(false));
    v.remember_finished_job(&"req-4".into(), finished_job(true));
    let ask = |l: &[&str]| {
        let l: Vec<String> = l.iter().map(|s| s.to_string()).collect();
        check_dependencies(&v, "req-9", &l)
    };
    assert_eq!(
        ask(&["req-1", "req-3", "req-1"]),
        DependencyCheck::Accepted(vec!["req-1".into()])
    );
    assert_eq!(
        ask(&["req-1", "req-4"]),
        DependencyCheck::Accepted(vec!["req-4".into()])
    );
    assert_eq!(
        ask(&["req-5", "req-1"]),
        DependencyCheck::Unknown(vec!["req-5".into()])
    );
    assert!(matches!(ask(&["req-9"]), DependencyCheck::Impossible(_)));
    assert!(matches!(ask(&["req-2"]), DependencyCheck::Impossible(_)));
}

/// Rank and deadline of a last job reach those before it; their waits count from the last `done`.
#[test]
fn a_pipeline_has_the_rank_and_time_of_its_last_job() {
    let mut v = ClusterState::default();
    let put = |v: &mut ClusterState, id: &str, rev, s: JobSpec| {
        v.put(
            &keys::job(id),
            &to_value(&JobRecord(s, TaskBlock::default())),
            rev,
        );
    };
    let step = |needs: &[&str]| {
        let mut s = spec(JobKind::Array, 2);
        s.deadline = None;
        s.dependencies.jobs = JobIdList(needs.iter().map(|n| (*n).into()).collect());
        s
    };
    // As a restart reads them: the last one comes first.
    let mut last = step(&["req-3"]);
    last.priority = Priority::High;
    last.deadline = Some(200_000_000);
    put(&mut v, "req-1", 9, last.clone());
    put(&mut v, "req-3", 8, step(&["req-4"]));
    put(&mut v, "req-4", 7, step(&[]));
    assert_eq!(v.jobs["req-4"].priority, Priority::High);
    let due = last.submitted_at + 200_000_000;
    assert!(
        v.jobs["req-4"]
            .deadline_at
            .is_some_and(|d| d < due - 2 * last.estimated_run_time)
    );
    assert!(v.jobs["req-4"].ready && !v.jobs["req-3"].ready);
    v.remember_finished_job(
        &"req-4".into(),
        FinishedJob {
            cancelled: false,
            done: 2,
            finished_at: last.submitted_at + 77,
        },
    );
    v.delete(&keys::job("req-4"), 10);
    assert!(v.jobs["req-3"].ready && !v.jobs["req-1"].ready);
    assert_eq!(v.jobs["req-3"].waiting_since, last.submitted_at + 77);
}
