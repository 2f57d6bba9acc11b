//! Incarnations of one controller that follow each other within a fraction of a second: requests of an earlier one
//! arrive late, twice, or not at all, while its lease still runs.

mod common;

use common::Store;
use coppergw::membership::{
    Incarnation, LAYOUT_VERSION, LeaderStatus, Member, SHARD_COUNT, Shard, ShardClaim,
    claim_member_key, claim_shards, leader_status,
};
use coppergw::store::cluster_state::ClusterState;
use coppergw::time::SECOND;
use coppergw::wire::state::{Mutation, Transaction};
use foldhash::HashSet;
use proptest::prelude::*;
use std::collections::BTreeMap;

const NAMES: [&str; 3] = ["a", "b", "c"];
/// Mutations that a transaction may have.
const MAX_MUTATIONS: usize = 16;

/// A running process.
struct Process {
    lease: Option<u64>,
    desired: Option<Member>,
    view: ClusterState,
    /// How much of the store's log is in the view.
    log_position: usize,
}

struct World {
    now: u64,
    store: Store,
    /// Leases that run, and the keys that are bound to them.
    leases: BTreeMap<u64, HashSet<String>>,
    /// The lease that was granted last.
    last_lease: u64,
    processes: [Option<Process>; 3],
    /// Requests that nobody answered; each may arrive at any time, and more than once.
    delayed: Vec<Transaction>,
    /// Who got which term of which shard: name and lease by shard and term.
    owners_by_term: BTreeMap<(u32, u64), (String, u64)>,
    /// How often a shard was taken.
    takeovers: u32,
}

impl World {
    fn new() -> World {
        World {
            now: 1000 * SECOND,
            store: Store::default(),
            leases: BTreeMap::new(),
            last_lease: 0,
            processes: [None, None, None],
            delayed: Vec::new(),
            owners_by_term: BTreeMap::new(),
            takeovers: 0,
        }
    }

    /// A process starts, or ends and is back at once: nothing but its name is left of it.
    fn start(&mut self, node: usize) {
        self.processes[node] = Some(Process {
            lease: None,
            desired: None,
            view: ClusterState::default(),
            log_position: 0,
        });
    }

    /// A process that was started.
    fn process(&self, node: usize) -> &Process {
        self.processes[node].as_ref().expect("started")
    }

    /// The service carries a transaction out: whether it did, or `None` if a lease has expired.
    fn apply(&mut self, transaction: &Transaction) -> Option<bool> {
        let leases = transaction
            .mutations
            .iter()
            .filter_map(|mutation| match mutation {
                Mutation::Put { lease, .. } => *lease,
                Mutation::Delete { .. } => None,
            });
        if leases
            .into_iter()
            .any(|lease| !self.leases.contains_key(&lease))
        {
            return None;
        }
        if !self.store.apply(transaction) {
            return Some(false);
        }
        for mutation in &transaction.mutations {
            for keys in self.leases.values_mut() {
                keys.remove(mutation.key());
            }
            if let Mutation::Put { key, value, lease } = mutation {
                if let Some(lease) = lease {
                    self.leases.entry(*lease).or_default().insert(key.clone());
                }
                if let Some(number) = key.strip_prefix("c/part/") {
                    let shard: Shard = value.deserialized().expect("shard");
                    self.record_term(number.parse().expect("number"), shard);
                }
            }
        }
        Some(true)
    }

    fn record_term(&mut self, number: u32, shard: Shard) {
        let highest = self
            .owners_by_term
            .keys()
            .filter(|key| key.0 == number)
            .map(|key| key.1)
            .max();
        assert!(
            highest.is_none_or(|highest| highest < shard.term),
            "a term was given twice"
        );
        self.owners_by_term
            .insert((number, shard.term), (shard.owner, shard.lease));
        self.takeovers += 1;
    }

    fn expire_lease(&mut self, lease: u64) {
        for key in self.leases.remove(&lease).unwrap_or_default() {
            self.store.apply(&Transaction {
                preconditions: Vec::new(),
                mutations: vec![Mutation::Delete { key }],
            });
        }
    }

    /// A process reads everything.
    fn sync(&mut self, node: usize) {
        let Some(process) = &mut self.processes[node] else {
            return;
        };
        for (revision, key, value) in &self.store.log[process.log_position..] {
            match value {
                Some(value) => process.view.put(key, value, *revision),
                None => process.view.delete(key, *revision),
            }
        }
        process.log_position = self.store.log.len();
        process.view.revision = self.store.rev;
    }

    /// Sends a transaction. `fate`: carried out and answered, carried out without an answer, on its way.
    fn send(&mut self, node: usize, transaction: Transaction, fate: u8) {
        match fate % 4 {
            0 | 1 => {
                if self.apply(&transaction).is_none()
                    && let Some(process) = &mut self.processes[node]
                {
                    process.lease = None;
                }
            }
            2 => {
                self.apply(&transaction);
                self.delayed.push(transaction);
            }
            _ => self.delayed.push(transaction),
        }
    }

    /// One round of a process's loops: lease, member key, shards, leadership.
    fn round(&mut self, node: usize, fates: u8) {
        let Some(process) = &mut self.processes[node] else {
            return;
        };
        if process
            .lease
            .is_none_or(|lease| !self.leases.contains_key(&lease))
        {
            self.last_lease += 1;
            self.leases.insert(self.last_lease, HashSet::default());
            process.lease = Some(self.last_lease);
            let previous = process.view.members.get(NAMES[node]);
            process.desired = Some(Member::new_incarnation(
                previous,
                self.last_lease,
                LAYOUT_VERSION,
                self.now,
            ));
        }
        for step in 0..3 {
            let Some(process) = &self.processes[node] else {
                return;
            };
            let (Some(lease), Some(desired)) = (process.lease, &process.desired) else {
                return;
            };
            let incarnation = Incarnation {
                node: NAMES[node],
                lease,
            };
            let view = &process.view;
            let transaction = match step {
                0 => claim_member_key(view, incarnation, desired),
                1 => {
                    let claim = ShardClaim {
                        view,
                        live_members: &view.members,
                        incarnation,
                        now: self.now,
                        max_mutations: MAX_MUTATIONS,
                    };
                    claim_shards(&claim, &mut HashSet::default())
                }
                _ => match leader_status(view, &view.members, incarnation, self.now) {
                    LeaderStatus::Vacant(claim) => Some(claim),
                    LeaderStatus::Leading | LeaderStatus::Following => None,
                },
            };
            if let Some(transaction) = transaction {
                self.send(node, transaction, fates >> (2 * step));
            }
            self.sync(node);
        }
    }

    /// One generated step: what happens, to which process, and how.
    fn step(&mut self, operation: u8, selector: u8, argument: u8) {
        let node = selector as usize % NAMES.len();
        match operation % 12 {
            0 => self.start(node),
            1 | 2 => self.sync(node),
            3..=6 => self.round(node, argument),
            7 => {
                // Leases expire because time passes: of processes that are gone, or are cut off.
                let lease = self
                    .leases
                    .keys()
                    .nth(argument as usize % self.leases.len().max(1));
                if let Some(lease) = lease.copied() {
                    self.expire_lease(lease);
                }
            }
            8 | 9 => {
                if !self.delayed.is_empty() {
                    let late = self.delayed[argument as usize % self.delayed.len()].clone();
                    self.apply(&late);
                }
            }
            _ => self.now += u64::from(argument) * SECOND / 50,
        }
        self.check_terms();
    }

    /// No two incarnations drive a shard under one term, whatever they believe of themselves.
    fn check_terms(&self) {
        for number in 0..SHARD_COUNT {
            let mut owners: Vec<(u64, u64)> = Vec::new();
            for (node, process) in self.processes.iter().enumerate() {
                let Some(process) = process else { continue };
                let Some(shard) = process.view.shards.get(&number) else {
                    continue;
                };
                if shard.owner == NAMES[node] && Some(shard.lease) == process.lease {
                    owners.push((shard.term, shard.lease));
                }
            }
            owners.sort_unstable();
            assert!(
                owners.windows(2).all(|pair| pair[0].0 < pair[1].0),
                "{owners:?}"
            );
        }
    }

    /// Everything that was on its way arrives, old leases expire, and from then on nothing fails.
    fn settle(&mut self) {
        for late in self.delayed.clone() {
            self.apply(&late);
        }
        for node in 0..NAMES.len() {
            if self.processes[node].is_none() {
                self.start(node);
            }
        }
        for round in 0..40 {
            for node in 0..NAMES.len() {
                self.sync(node);
                self.round(node, 0);
            }
            if round == 3 {
                self.expire_unused_leases();
            }
            self.now += 2 * SECOND;
        }
        self.check_settled();
    }

    fn expire_unused_leases(&mut self) {
        let used: HashSet<u64> = self
            .processes
            .iter()
            .flatten()
            .filter_map(|process| process.lease)
            .collect();
        let granted: Vec<u64> = self.leases.keys().copied().collect();
        for lease in granted.into_iter().filter(|lease| !used.contains(lease)) {
            self.expire_lease(lease);
        }
    }

    /// Each process has its member key and a third of the shards, and one of them leads.
    fn check_settled(&self) {
        let view = &self.process(0).view;
        for (node, name) in NAMES.iter().enumerate() {
            let desired = self.process(node).desired.as_ref();
            assert_eq!(view.members.get(*name), desired, "{name}");
        }
        let is_live = |node: &str, lease| {
            view.members
                .get(node)
                .is_some_and(|member| member.lease == lease)
        };
        let mut load: BTreeMap<&str, u32> = BTreeMap::new();
        for number in 0..SHARD_COUNT {
            let shard = view.shards.get(&number).expect("taken");
            assert!(
                is_live(&shard.owner, shard.lease),
                "a shard of an ended incarnation"
            );
            *load.entry(&shard.owner).or_default() += 1;
        }
        assert!(
            load.values().all(|load| *load == SHARD_COUNT / 3),
            "{load:?}"
        );
        let leader = view.leader.as_ref().expect("a leader");
        assert!(
            is_live(&leader.node, leader.lease),
            "an ended incarnation leads"
        );
    }

    /// Name of the leader as a process sees it.
    fn leader(&self, node: usize) -> String {
        let leader = self.process(node).view.leader.clone();
        leader.expect("a leader").node
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
    /// its member key, a third of the shards, and one of them leads.
    #[test]
    fn a_new_incarnation_gets_its_place_whatever_the_old_one_left(
        steps in proptest::collection::vec(any::<(u8, u8, u8)>(), 20..300),
    ) {
        let mut world = World::new();
        for (operation, selector, argument) in steps {
            world.step(operation, selector, argument);
        }
        world.settle();
    }
}

/// A write of its member key by an earlier incarnation, delivered while its lease still runs, would bind the key to
/// that lease: the key disappears with it, and the new incarnation is no member.
#[test]
fn a_late_member_key_of_an_earlier_incarnation_changes_nothing() {
    let mut world = World::new();
    world.start(0);
    world.sync(0);
    world.round(0, 0b11);
    let late = world.delayed[0].clone();
    world.start(0);
    world.round(0, 0);
    assert_eq!(world.apply(&late), Some(false));
    // Without the precondition it would be carried out; the new incarnation then writes its key again.
    let unconditional = Transaction {
        preconditions: Vec::new(),
        ..late
    };
    assert_eq!(world.apply(&unconditional), Some(true));
    world.expire_lease(1);
    world.sync(0);
    world.round(0, 0);
    let process = world.process(0);
    assert_eq!(
        process.view.members.get("a").map(|member| member.lease),
        process.lease
    );
}

/// The key of an ended leader stands until its lease expires, while the next incarnation of the same name is alive.
/// Were the leader a name, nobody would lead until then, and for ever if that incarnation ended as well.
#[test]
fn the_leader_is_an_incarnation_and_not_a_name() {
    let mut world = World::new();
    for node in 0..3 {
        world.start(node);
        world.sync(node);
        world.round(node, 0);
    }
    world.sync(1);
    assert_eq!(world.leader(1), "a");
    world.start(0);
    world.sync(0);
    world.round(0, 0b11_0000);
    world.sync(1);
    world.round(1, 0);
    assert_eq!(world.leader(1), "b");
}

/// One that ends each second, and is back at once, takes its shards once or twice; then those that stay drive them
/// until it has stayed as well.
#[test]
fn a_flapping_controller_is_given_no_shards() {
    let mut world = World::new();
    for node in 0..3 {
        world.start(node);
    }
    for _ in 0..20 {
        for node in 0..3 {
            world.sync(node);
            world.round(node, 0);
        }
        world.now += SECOND;
    }
    let before = world.takeovers;
    for _ in 0..60 {
        world.start(2);
        for node in [2, 0, 1] {
            world.sync(node);
            world.round(node, 0);
        }
        world.now += SECOND;
    }
    let (moved, share) = (world.takeovers - before, SHARD_COUNT / 3);
    assert!(moved <= 2 * share, "{moved} takeovers of {share} shards");
    let owned = |world: &World| {
        let shards = world.process(0).view.shards.values();
        shards.filter(|shard| shard.owner == "c").count()
    };
    assert_eq!(owned(&world), 0);
    assert_ne!(world.leader(0), "c");
    for _ in 0..45 {
        for node in 0..3 {
            world.sync(node);
            world.round(node, 0);
        }
        world.now += SECOND;
    }
    assert_eq!(
        owned(&world),
        share as usize,
        "it stayed, and has its share"
    );
}

/// If all of them flap there is nobody better: each incarnation takes what it can.
#[test]
fn controllers_that_all_flap_still_drive_all_machines() {
    let mut world = World::new();
    for _ in 0..20 {
        for node in 0..3 {
            world.start(node);
            world.sync(node);
        }
        for _ in 0..2 {
            for node in 0..3 {
                world.sync(node);
                world.round(node, 0);
            }
        }
        world.sync(0);
        let view = &world.process(0).view;
        for number in 0..SHARD_COUNT {
            let shard = view.shards.get(&number).expect("taken");
            let owner = view.members.get(&shard.owner);
            assert!(owner.is_some_and(|member| member.lease == shard.lease));
        }
        assert!(view.leader.is_some());
        world.now += SECOND;
    }
}
