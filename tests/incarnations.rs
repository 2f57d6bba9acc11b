//! Incarnations of one controller that follow each other within a fraction of a second. Requests of an earlier
//! incarnation arrive late, twice, or not at all, while its lease has not expired.

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

const NODE_NAMES: [&str; 3] = ["a", "b", "c"];
/// Maximum number of mutations in a transaction.
const MAX_MUTATIONS: usize = 16;

/// A running process.
struct Process {
    lease: Option<u64>,
    /// Member record that the process writes under its member key.
    desired_member: Option<Member>,
    view: ClusterState,
    /// Number of entries of the change log that are in the view.
    log_position: usize,
}

struct World {
    now: u64,
    store: Store,
    /// Leases that have not expired, and the keys that are bound to them.
    leases: BTreeMap<u64, HashSet<String>>,
    /// Id of the lease that was granted last.
    last_lease_id: u64,
    processes: [Option<Process>; 3],
    /// Requests without an answer; each may arrive at any time, and more than once.
    delayed: Vec<Transaction>,
    /// Owner of each shard in each term: name and lease by shard and term.
    owners_by_term: BTreeMap<(u32, u64), (String, u64)>,
    /// Number of times that a shard was claimed.
    takeovers: u32,
}

impl World {
    fn new() -> World {
        World {
            now: 1000 * SECOND,
            store: Store::default(),
            leases: BTreeMap::new(),
            last_lease_id: 0,
            processes: [None, None, None],
            delayed: Vec::new(),
            owners_by_term: BTreeMap::new(),
            takeovers: 0,
        }
    }

    /// Starts or restarts a process, which keeps only its name.
    fn start(&mut self, node: usize) {
        self.processes[node] = Some(Process {
            lease: None,
            desired_member: None,
            view: ClusterState::default(),
            log_position: 0,
        });
    }

    /// Returns a process that was started.
    fn process(&self, node: usize) -> &Process {
        self.processes[node].as_ref().expect("started")
    }

    /// Applies a transaction in the state service. Returns whether its preconditions held, or `None` if one of its leases
    /// has expired.
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

    /// Records the owner of a shard in a new term, which must be higher than all earlier ones.
    fn record_term(&mut self, number: u32, shard: Shard) {
        let highest = self
            .owners_by_term
            .keys()
            .filter(|key| key.0 == number)
            .map(|key| key.1)
            .max();
        assert!(
            highest.is_none_or(|highest| highest < shard.term),
            "terms of a shard should increase"
        );
        self.owners_by_term
            .insert((number, shard.term), (shard.owner, shard.lease));
        self.takeovers += 1;
    }

    /// Expires a lease and deletes the keys that are bound to it.
    fn expire_lease(&mut self, lease: u64) {
        for key in self.leases.remove(&lease).unwrap_or_default() {
            self.store.apply(&Transaction {
                preconditions: Vec::new(),
                mutations: vec![Mutation::Delete { key }],
            });
        }
    }

    /// Applies all changes in the state service to the view of a process.
    fn sync(&mut self, node: usize) {
        let Some(process) = &mut self.processes[node] else {
            return;
        };
        self.store
            .update_view(&mut process.view, &mut process.log_position);
    }

    /// Sends a transaction. The generated `outcome` selects one of: applied and answered, applied without an answer and
    /// delivered again later, delayed.
    fn send(&mut self, node: usize, transaction: Transaction, outcome: u8) {
        match outcome % 4 {
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

    /// Runs one round of the loops of a process: lease, member key, shards, leadership.
    fn round(&mut self, node: usize, outcomes: u8) {
        let Some(process) = &mut self.processes[node] else {
            return;
        };
        if process
            .lease
            .is_none_or(|lease| !self.leases.contains_key(&lease))
        {
            self.last_lease_id += 1;
            self.leases.insert(self.last_lease_id, HashSet::default());
            process.lease = Some(self.last_lease_id);
            let previous = process.view.members.get(NODE_NAMES[node]);
            process.desired_member = Some(Member::new_incarnation(
                previous,
                self.last_lease_id,
                LAYOUT_VERSION,
                self.now,
            ));
        }
        for step in 0..3 {
            let Some(process) = &self.processes[node] else {
                return;
            };
            let (Some(lease), Some(desired_member)) = (process.lease, &process.desired_member)
            else {
                return;
            };
            let incarnation = Incarnation {
                node: NODE_NAMES[node],
                lease,
            };
            let view = &process.view;
            let transaction = match step {
                0 => claim_member_key(view, incarnation, desired_member),
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
                    LeaderStatus::NoLeader(claim) => Some(claim),
                    LeaderStatus::Leading | LeaderStatus::Following => None,
                },
            };
            if let Some(transaction) = transaction {
                self.send(node, transaction, outcomes >> (2 * step));
            }
            self.sync(node);
        }
    }

    /// Executes one generated step: an operation, the process that it affects, and an argument.
    fn step(&mut self, operation: u8, selector: u8, argument: u8) {
        let node = selector as usize % NODE_NAMES.len();
        match operation % 12 {
            0 => self.start(node),
            1 | 2 => self.sync(node),
            3..=6 => self.round(node, argument),
            7 => {
                // Leases of ended or isolated processes expire as time passes.
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
                    let transaction = self.delayed[argument as usize % self.delayed.len()].clone();
                    self.apply(&transaction);
                }
            }
            _ => self.now += u64::from(argument) * SECOND / 50,
        }
        self.check_terms();
    }

    /// Checks that no two incarnations own a shard under the same term according to their views.
    fn check_terms(&self) {
        for number in 0..SHARD_COUNT {
            let mut owners: Vec<(u64, u64)> = Vec::new();
            for (node, process) in self.processes.iter().enumerate() {
                let Some(process) = process else { continue };
                let Some(shard) = process.view.shards.get(&number) else {
                    continue;
                };
                if shard.owner == NODE_NAMES[node] && Some(shard.lease) == process.lease {
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

    /// Delivers all delayed requests, expires old leases, and runs without further failures.
    fn settle(&mut self) {
        for transaction in self.delayed.clone() {
            self.apply(&transaction);
        }
        for node in 0..NODE_NAMES.len() {
            if self.processes[node].is_none() {
                self.start(node);
            }
        }
        for round in 0..40 {
            for node in 0..NODE_NAMES.len() {
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

    /// Expires the leases that no process holds.
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

    /// Checks that each process has its member key and a third of the shards, and that one of them is the leader.
    fn check_settled(&self) {
        let view = &self.process(0).view;
        for (node, name) in NODE_NAMES.iter().enumerate() {
            let desired_member = self.process(node).desired_member.as_ref();
            assert_eq!(view.members.get(*name), desired_member, "{name}");
        }
        let is_live = |node: &str, lease| {
            view.members
                .get(node)
                .is_some_and(|member| member.lease == lease)
        };
        let mut shard_counts: BTreeMap<&str, u32> = BTreeMap::new();
        for number in 0..SHARD_COUNT {
            let shard = view.shards.get(&number).expect("taken");
            assert!(
                is_live(&shard.owner, shard.lease),
                "the owner of a shard should be a live incarnation"
            );
            *shard_counts.entry(&shard.owner).or_default() += 1;
        }
        assert!(
            shard_counts.values().all(|count| *count == SHARD_COUNT / 3),
            "{shard_counts:?}"
        );
        let leader = view.leader.as_ref().expect("leader");
        assert!(
            is_live(&leader.node, leader.lease),
            "the leader should be a live incarnation"
        );
    }

    /// Returns the name of the leader in the view of a process.
    fn leader(&self, node: usize) -> String {
        let leader = self.process(node).view.leader.clone();
        leader.expect("leader").node
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(27),
        ..ProptestConfig::default()
    })]
    /// For any order of delivery no term is granted twice, and once the failures end each controller has its member key
    /// and a third of the shards, and one of them is the leader.
    #[test]
    fn new_incarnations_recover_membership_and_shards(
        steps in proptest::collection::vec(any::<(u8, u8, u8)>(), 20..300),
    ) {
        let mut world = World::new();
        for (operation, selector, argument) in steps {
            world.step(operation, selector, argument);
        }
        world.settle();
    }
}

/// A write of the member key by an earlier incarnation, delivered before the expiry of its lease, would bind the key to
/// that lease: the key would be deleted with the lease, and the new incarnation would not be a member.
#[test]
fn delayed_member_key_of_earlier_incarnation_is_rejected() {
    let mut world = World::new();
    world.start(0);
    world.sync(0);
    world.round(0, 0b11);
    let delayed_write = world.delayed[0].clone();
    world.start(0);
    world.round(0, 0);
    assert_eq!(world.apply(&delayed_write), Some(false));
    // Without the precondition the write is applied; the new incarnation then writes its key again.
    let unconditional = Transaction {
        preconditions: Vec::new(),
        ..delayed_write
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

/// The leader key of an ended incarnation remains until its lease expires, while the next incarnation with the same name
/// is alive. If the key named only the node, there would be no leader until then, and none ever if the next incarnation
/// ended as well.
#[test]
fn leadership_belongs_to_an_incarnation() {
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

/// A controller that restarts each second claims its shards once or twice. Then the stable controllers own them until
/// it has been stable, too.
#[test]
fn flapping_controller_gets_no_shards() {
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
    let takeovers_before = world.takeovers;
    for _ in 0..60 {
        world.start(2);
        for node in [2, 0, 1] {
            world.sync(node);
            world.round(node, 0);
        }
        world.now += SECOND;
    }
    let (moved_shards, shards_per_controller) =
        (world.takeovers - takeovers_before, SHARD_COUNT / 3);
    assert!(
        moved_shards <= 2 * shards_per_controller,
        "{moved_shards} takeovers of {shards_per_controller} shards"
    );
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
        shards_per_controller as usize,
        "a stable controller should get its share of the shards"
    );
}

/// If all controllers flap, there is no stable one to prefer, and each incarnation claims the shards it can.
#[test]
fn flapping_controllers_still_own_all_shards() {
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
