//! Lives of one controller that follow each other within a fraction of a second: what an earlier one
//! asked for arrives late, twice, or not at all, while its lease still runs.

mod common;

use common::Store;
use coppergw::membership::claim::{self, Incarnation, LeaderStatus};
use coppergw::membership::{Member, SHARD_COUNT, VERSION};
use coppergw::store::cluster_state::ClusterState;
use coppergw::time::SECOND;
use coppergw::wire::state::{Mutation, Transaction};
use foldhash::HashSet;
use proptest::prelude::*;
use std::collections::BTreeMap;

const NAMES: [&str; 3] = ["a", "b", "c"];
const OPS: usize = 16;

/// A running process.
struct Process {
    lease: Option<u64>,
    wanted: Option<Member>,
    view: ClusterState,
    seen: usize,
}

struct World {
    now: u64,
    store: Store,
    /// Leases that run, and the keys that hang on them.
    leases: BTreeMap<u64, HashSet<String>>,
    given: u64,
    processes: [Option<Process>; 3],
    /// Requests that nobody answered; each may arrive at any time, and more than once.
    late: Vec<Transaction>,
    /// Who got which term of which part.
    terms: BTreeMap<(u32, u64), (String, u64)>,
    takes: u32,
}

impl World {
    fn new() -> World {
        World {
            now: 1000 * SECOND,
            store: Store::default(),
            leases: BTreeMap::new(),
            given: 0,
            processes: [None, None, None],
            late: Vec::new(),
            terms: BTreeMap::new(),
            takes: 0,
        }
    }

    /// A process starts, or ends and is back at once: nothing but its name is left of it.
    fn start(&mut self, n: usize) {
        self.processes[n] = Some(Process {
            lease: None,
            wanted: None,
            view: ClusterState::default(),
            seen: 0,
        });
    }

    /// The service carries a transaction out: whether it did, or `None` if a lease has ended.
    fn apply(&mut self, t: &Transaction) -> Option<bool> {
        let permits = t.mutations.iter().filter_map(|c| match c {
            Mutation::Put { lease: permit, .. } => *permit,
            Mutation::Delete { .. } => None,
        });
        if permits.into_iter().any(|p| !self.leases.contains_key(&p)) {
            return None;
        }
        if !self.store.apply(t) {
            return Some(false);
        }
        for c in &t.mutations {
            for keys in self.leases.values_mut() {
                keys.remove(c.key());
            }
            if let Mutation::Put {
                key: put,
                value: v,
                lease: permit,
            } = c
            {
                if let Some(p) = permit {
                    self.leases.entry(*p).or_default().insert(put.clone());
                }
                if let Some(shard) = put.strip_prefix("c/part/") {
                    let p: coppergw::membership::Shard = v.deserialized().expect("part");
                    let shard: u32 = shard.parse().expect("number");
                    let highest = self
                        .terms
                        .keys()
                        .filter(|k| k.0 == shard)
                        .map(|k| k.1)
                        .max();
                    assert!(highest.is_none_or(|h| h < p.term), "a term was given twice");
                    self.terms.insert((shard, p.term), (p.owner, p.lease));
                    self.takes += 1;
                }
            }
        }
        Some(true)
    }

    fn end_lease(&mut self, lease: u64) {
        for key in self.leases.remove(&lease).unwrap_or_default() {
            self.store.apply(&Transaction {
                preconditions: Vec::new(),
                mutations: vec![Mutation::Delete { key }],
            });
        }
    }

    fn sync(&mut self, n: usize) {
        let Some(p) = &mut self.processes[n] else {
            return;
        };
        for (rev, k, v) in &self.store.log[p.seen..] {
            match v {
                Some(v) => p.view.put(k, v, *rev),
                None => p.view.delete(k, *rev),
            }
        }
        p.seen = self.store.log.len();
        p.view.revision = self.store.rev;
    }

    /// Sends a transaction. `fate`: carried out and answered, carried out without an answer, on its way.
    fn send(&mut self, n: usize, t: Transaction, fate: u8) {
        match fate % 4 {
            0 | 1 => {
                if self.apply(&t).is_none()
                    && let Some(p) = &mut self.processes[n]
                {
                    p.lease = None;
                }
            }
            2 => {
                self.apply(&t);
                self.late.push(t);
            }
            _ => self.late.push(t),
        }
    }

    /// One round of a process's loops: lease, name, parts, lead.
    fn round(&mut self, n: usize, fates: u8) {
        let Some(p) = &mut self.processes[n] else {
            return;
        };
        if p.lease.is_none_or(|l| !self.leases.contains_key(&l)) {
            self.given += 1;
            self.leases.insert(self.given, HashSet::default());
            p.lease = Some(self.given);
            let before = p.view.members.get(NAMES[n]);
            p.wanted = Some(Member::begin(before, self.given, VERSION, self.now));
        }
        for step in 0..3 {
            let Some(p) = &self.processes[n] else { return };
            let (Some(lease), Some(wanted)) = (p.lease, &p.wanted) else {
                return;
            };
            let incarnation = Incarnation {
                node: NAMES[n],
                lease,
            };
            let t = match step {
                0 => claim::name(&p.view, incarnation, wanted),
                1 => claim::shards(
                    &p.view,
                    &p.view.members,
                    incarnation,
                    &mut HashSet::default(),
                    self.now,
                    OPS,
                ),
                _ => match claim::lead(&p.view, &p.view.members, incarnation, self.now) {
                    LeaderStatus::Vacant(t) => Some(t),
                    LeaderStatus::This | LeaderStatus::Other => None,
                },
            };
            if let Some(t) = t {
                self.send(n, t, fates >> (2 * step));
            }
            self.sync(n);
        }
    }

    fn step(&mut self, op: u8, a: u8, b: u8) {
        let n = a as usize % NAMES.len();
        match op % 12 {
            0 => self.start(n),
            1 | 2 => self.sync(n),
            3..=6 => self.round(n, b),
            7 => {
                // Leases end because time passes: of processes that are gone, or are cut off.
                let nth = self
                    .leases
                    .keys()
                    .nth(b as usize % self.leases.len().max(1));
                if let Some(l) = nth.copied() {
                    self.end_lease(l);
                }
            }
            8 | 9 => {
                if !self.late.is_empty() {
                    let t = self.late[b as usize % self.late.len()].clone();
                    self.apply(&t);
                }
            }
            _ => self.now += u64::from(b) * SECOND / 50,
        }
        // No two lives drive a part under one term, whatever they believe of themselves.
        for shard in 0..SHARD_COUNT {
            let mut owners: Vec<(u64, u64)> = Vec::new();
            for (k, p) in self.processes.iter().enumerate() {
                let Some(p) = p else { continue };
                let Some(x) = p.view.shards.get(&shard) else {
                    continue;
                };
                if x.owner == NAMES[k] && Some(x.lease) == p.lease {
                    owners.push((x.term, x.lease));
                }
            }
            owners.sort_unstable();
            assert!(owners.windows(2).all(|w| w[0].0 < w[1].0), "{owners:?}");
        }
    }

    /// Everything that was on its way arrives, old leases end, and from then on nothing fails.
    fn settle(&mut self) {
        for t in self.late.clone() {
            self.apply(&t);
        }
        for n in 0..NAMES.len() {
            if self.processes[n].is_none() {
                self.start(n);
            }
        }
        for round in 0..40 {
            for n in 0..NAMES.len() {
                self.sync(n);
                self.round(n, 0);
            }
            if round == 3 {
                let held: HashSet<u64> = self
                    .processes
                    .iter()
                    .flatten()
                    .filter_map(|p| p.lease)
                    .collect();
                let old: Vec<u64> = self.leases.keys().copied().collect();
                for l in old.into_iter().filter(|l| !held.contains(l)) {
                    self.end_lease(l);
                }
            }
            self.now += 2 * SECOND;
        }
        let v = &self.processes[0].as_ref().expect("started").view;
        for (k, p) in self.processes.iter().enumerate() {
            let p = p.as_ref().expect("started");
            assert_eq!(v.members.get(NAMES[k]), p.wanted.as_ref(), "{}", NAMES[k]);
        }
        let alive = |node: &str, lease| v.members.get(node).is_some_and(|m| m.lease == lease);
        let mut load: BTreeMap<&str, u32> = BTreeMap::new();
        for n in 0..SHARD_COUNT {
            let p = v.shards.get(&n).expect("taken");
            assert!(alive(&p.owner, p.lease), "a part of an ended life");
            *load.entry(&p.owner).or_default() += 1;
        }
        assert!(load.values().all(|l| *l == SHARD_COUNT / 3), "{load:?}");
        let l = v.leader.as_ref().expect("a leader");
        assert!(alive(&l.node, l.lease), "an ended life leads");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(27),
        ..ProptestConfig::default()
    })]
    /// Whatever arrives when, no term is given twice, and once nothing fails any more each controller has
    /// its name, a third of the parts, and one of them leads.
    #[test]
    fn a_new_life_gets_its_place_whatever_the_old_one_left(
        ops in proptest::collection::vec(any::<(u8, u8, u8)>(), 20..300),
    ) {
        let mut w = World::new();
        for (op, a, b) in ops {
            w.step(op, a, b);
        }
        w.settle();
    }
}

/// A write by which an earlier life named itself, delivered while its lease still runs, would put the
/// key on that lease: the key goes with it, and the new life is no member.
#[test]
fn a_late_name_of_an_earlier_life_changes_nothing() {
    let mut w = World::new();
    w.start(0);
    w.sync(0);
    w.round(0, 0b11);
    let late = w.late[0].clone();
    w.start(0);
    w.round(0, 0);
    assert_eq!(w.apply(&late), Some(false));
    // Without the condition it would be carried out; the new life then says so again.
    let bare = Transaction {
        preconditions: Vec::new(),
        ..late
    };
    assert_eq!(w.apply(&bare), Some(true));
    w.end_lease(1);
    w.sync(0);
    w.round(0, 0);
    let p = w.processes[0].as_ref().expect("started");
    assert_eq!(p.view.members.get("a").map(|m| m.lease), p.lease);
}

/// The key of an ended leader stands until its lease ends, while the next life of the same name is
/// alive. Nobody led for these three seconds, and for ever if that life ended as well.
#[test]
fn the_leader_is_a_life_and_not_a_name() {
    let mut w = World::new();
    for n in 0..3 {
        w.start(n);
        w.sync(n);
        w.round(n, 0);
    }
    w.sync(1);
    let leader = |w: &World, n: usize| {
        let p = w.processes[n].as_ref().expect("started");
        p.view.leader.clone().expect("a leader")
    };
    assert_eq!(leader(&w, 1).node, "a");
    w.start(0);
    w.sync(0);
    w.round(0, 0b11_0000);
    w.sync(1);
    w.round(1, 0);
    assert_eq!(leader(&w, 1).node, "b");
}

/// One that ends each second, and is back at once, takes its parts once or twice; then those who stay
/// drive them until it has stayed as well.
#[test]
fn one_that_ends_again_and_again_is_given_nothing() {
    let mut w = World::new();
    for n in 0..3 {
        w.start(n);
    }
    for _ in 0..20 {
        for n in 0..3 {
            w.sync(n);
            w.round(n, 0);
        }
        w.now += SECOND;
    }
    let before = w.takes;
    for _ in 0..60 {
        w.start(2);
        for n in [2, 0, 1] {
            w.sync(n);
            w.round(n, 0);
        }
        w.now += SECOND;
    }
    let (moved, shards) = (w.takes - before, SHARD_COUNT / 3);
    assert!(moved <= 2 * shards, "{moved} takes of {shards} parts");
    let owns = |w: &World| {
        let p = w.processes[0].as_ref().expect("started");
        p.view.shards.values().filter(|x| x.owner == "c").count()
    };
    assert_eq!(owns(&w), 0);
    let leader = |w: &World| {
        let p = w.processes[0].as_ref().expect("started");
        p.view.leader.clone().expect("a leader").node
    };
    assert_ne!(leader(&w), "c");
    for _ in 0..45 {
        for n in 0..3 {
            w.sync(n);
            w.round(n, 0);
        }
        w.now += SECOND;
    }
    assert_eq!(owns(&w), shards as usize, "it stayed, and has its share");
}

/// If all of them end again and again there is nobody better: each life takes what it can.
#[test]
fn all_that_end_again_and_again_still_drive_the_fleet() {
    let mut w = World::new();
    for _ in 0..20 {
        for n in 0..3 {
            w.start(n);
            w.sync(n);
        }
        for _ in 0..2 {
            for n in 0..3 {
                w.sync(n);
                w.round(n, 0);
            }
        }
        w.sync(0);
        let v = &w.processes[0].as_ref().expect("started").view;
        for shard in 0..SHARD_COUNT {
            let p = v.shards.get(&shard).expect("taken");
            assert!(v.members.get(&p.owner).is_some_and(|m| m.lease == p.lease));
        }
        assert!(v.leader.is_some());
        w.now += SECOND;
    }
}
