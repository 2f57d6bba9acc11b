//! The safety rules under generated failures, with a virtual clock and a simulated state service, cloud and
//! workers. The controllers' own state machines run as they are.
//!
//! Messages get lost, or arrive late, also once more after they arrived: transactions, heartbeats and direct
//! calls. Machines get into an outbound partition (their heartbeats arrive, answers and commands to them are
//! lost) or an inbound one (heartbeats reach nobody, direct calls arrive). They hang, and go on within their
//! lease with the commands held meanwhile. Every cancellation is confirmed at once; what a cancelled job left
//! must be gone in time.
//!
//! `world` is the simulated world; `controllers`, `workers` and `events` are what happens in it, `checks` what
//! must hold after each event.

mod checks;
#[path = "../common/mod.rs"]
mod common;
mod controllers;
mod events;
mod workers;
mod world;

use common::LIMITS;
use coppergw::jobs::commit::{JobChange, stage};
use coppergw::jobs::model::{JobRecord, TaskBlock, TaskState};
use coppergw::membership::shard_of;
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::time::SECOND;
use coppergw::wire::state::{Mutation, Transaction};
use coppergw::wire::user::JobKind;
use coppergw::wire::worker::TaskStatus;
use foldhash::{HashSet, HashSetExt};
use proptest::prelude::*;
use std::collections::BTreeMap;
use world::{CONTROLLERS, GANG_TASKS, LEASE, SimulatedController, World, spec};

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
        let mut world = World::new();
        for (op, first, second) in ops {
            world.step(op, first, second);
        }
        world.settle();
        // No accepted job is lost: every one is over by now.
        for key in world.store.keys.keys() {
            if key.starts_with("c/job/") {
                let block = key.replace("/job/", "/block/") + "/0";
                let slots: Option<TaskBlock> = world
                    .store
                    .keys
                    .get(&block)
                    .map(|x| x.0.deserialized().expect("block"));
                let on: Vec<_> = world
                    .workers
                    .iter()
                    .map(|worker| (&worker.name, worker.alive, worker.session, worker.token, worker.tasks.len()))
                    .collect();
                prop_assert!(false, "{key} never ended: {slots:?} {on:?}");
            }
        }
    }
}

/// It happened in a simulated run: an isolated controller concluded from the silence of a worker that its
/// lease had expired; the transaction arrived when a newer owner had kept that lease alive.
#[expect(clippy::too_many_lines, reason = "one recorded history, step by step")]
#[test]
fn a_late_conclusion_of_a_deposed_owner_changes_nothing() {
    let mut world = World::new();
    for controller_index in 0..CONTROLLERS {
        world.sync(controller_index);
    }
    world.store.put(
        keys::job("req-1"),
        &JobRecord(spec(JobKind::Service, 1, world.now), TaskBlock::default()),
    );
    world.jobs = 2;
    let run = |world: &mut World| {
        for controller_index in 0..CONTROLLERS {
            world.sync(controller_index);
            world.reconcile_pass(controller_index, 1);
            world.sync(controller_index);
        }
        for worker_index in 0..world.workers.len() {
            let shard = shard_of(&world.workers[worker_index].name);
            for controller_index in 0..CONTROLLERS {
                if world.term(controller_index, shard).is_some() {
                    world.exchange_heartbeat(worker_index, controller_index, 2);
                }
            }
        }
    };
    for _ in 0..4 {
        run(&mut world);
        world.pass_time(SECOND);
    }
    let machine = (0..world.workers.len())
        .find(|worker_index| !world.workers[*worker_index].tasks.is_empty())
        .expect("the replica runs");
    let shard = shard_of(&world.workers[machine].name);
    let old = (0..CONTROLLERS)
        .find(|controller_index| world.term(*controller_index, shard).is_some())
        .expect("owner");
    // The old owner is cut off: its lease ends, others claim its shards and keep the workers alive.
    let key = keys::member(&world.controllers[old].name);
    world.store.apply(&Transaction {
        preconditions: vec![],
        mutations: vec![Mutation::Delete { key }],
    });
    for _ in 0..30 {
        for controller_index in (0..CONTROLLERS).filter(|controller_index| *controller_index != old)
        {
            world.sync(controller_index);
            world.claim_shards(controller_index);
            world.sync(controller_index);
        }
        for worker_index in 0..world.workers.len() {
            let shard = shard_of(&world.workers[worker_index].name);
            if let Some(controller_index) = (0..CONTROLLERS).find(|controller_index| {
                *controller_index != old && world.term(*controller_index, shard).is_some()
            }) {
                world.exchange_heartbeat(worker_index, controller_index, 2);
            }
        }
        world.pass_time(SECOND);
    }
    world.reconcile_pass(old, 0);
    assert!(!world.delayed.is_empty(), "it does conclude");
    while !world.delayed.is_empty() {
        world.deliver_delayed(0);
    }
    let (value, _) = world.store.keys.get("c/job/req-1").expect("job");
    let JobRecord(_, block): JobRecord = value.deserialized().expect("job");
    assert!(
        matches!(block.0[0], TaskState::Placed(_)),
        "still placed: {block:?}"
    );
}

/// A service of one task that its owner has placed but not started yet, on a machine that holds the owner's
/// token: the owner and the machine.
fn place_service(world: &mut World) -> (usize, usize) {
    let owner = |world: &World, worker_index: usize| {
        let shard = shard_of(&world.workers[worker_index].name);
        let owner = (0..CONTROLLERS)
            .find(|controller_index| world.term(*controller_index, shard).is_some());
        owner.expect("each shard has an owner")
    };
    (0..CONTROLLERS).for_each(|controller_index| world.sync(controller_index));
    for _ in 0..2 {
        for worker_index in 0..world.workers.len() {
            world.exchange_heartbeat(worker_index, owner(world, worker_index), 2);
        }
    }
    let job = JobRecord(spec(JobKind::Service, 1, world.now), TaskBlock::default());
    world.store.put(keys::job("req-1"), &job);
    world.jobs = 2;
    for controller_index in 0..CONTROLLERS {
        world.sync(controller_index);
        world.reconcile_pass(controller_index, 1);
    }
    (0..CONTROLLERS).for_each(|controller_index| world.sync(controller_index));
    let TaskState::Placed(placement) = task_state(world) else {
        panic!("it is placed");
    };
    let worker_index = world
        .workers
        .iter()
        .position(|x| x.name == placement.machine);
    let worker_index = worker_index.expect("on a machine");
    (owner(world, worker_index), worker_index)
}

fn task_state(world: &World) -> TaskState {
    let (value, _) = world.store.keys.get("c/job/req-1").expect("job");
    let JobRecord(_, block): JobRecord = value.deserialized().expect("job");
    block.0[0].clone()
}

/// The owner writes that the task has to stop.
fn request_stop(world: &mut World, controller_index: usize) {
    world.sync(controller_index);
    let stop = [JobChange::Stop {
        job: "req-1".into(),
        index: 0,
        attempt: 1,
        grace: 0,
    }];
    let view = &world.controllers[controller_index].view;
    for staged in stage(view, &stop, &HashSet::new(), &|_| false, LIMITS) {
        assert!(world.store.apply(&staged.transaction));
    }
    world.sync(controller_index);
}

/// Whether the task is still placed in its first attempt after a pass of the owner's reconciler.
fn still_placed(world: &mut World, controller_index: usize) -> bool {
    world.reconcile_pass(controller_index, 1);
    world.sync(controller_index);
    matches!(task_state(world), TaskState::Placed(placement) if placement.attempt == 1)
}

/// A heartbeat from before the task started arrives after newer ones, while the machine is in an outbound
/// partition and does not hear that the task has to stop.
#[test]
fn an_old_report_after_newer_ones_proves_nothing() {
    let mut world = World::new();
    let (controller_index, worker_index) = place_service(&mut world);
    let old = world.heartbeat(worker_index);
    world.call_directly(controller_index, worker_index, 2);
    assert_eq!(world.workers[worker_index].tasks.len(), 1);
    world.workers[worker_index].outbound_partition = true;
    request_stop(&mut world, controller_index);
    world.answer_heartbeat(controller_index, &old);
    assert!(still_placed(&mut world, controller_index));
    world.workers[worker_index].outbound_partition = false;
    world.exchange_heartbeat(worker_index, controller_index, 2);
    world.exchange_heartbeat(worker_index, controller_index, 2);
    assert!(
        !still_placed(&mut world, controller_index),
        "now it has stopped"
    );
}

/// A direct start is delayed, and the machine reports meanwhile that it has no such task: it may arrive yet.
#[test]
fn a_start_that_is_held_may_come_yet() {
    let mut world = World::new();
    let (controller_index, worker_index) = place_service(&mut world);
    world.call_directly(controller_index, worker_index, 0);
    assert_eq!(world.delayed.len(), 1, "it is under way");
    request_stop(&mut world, controller_index);
    for _ in 0..2 {
        let heartbeat = world.heartbeat(worker_index);
        world.answer_heartbeat(controller_index, &heartbeat);
        assert!(still_placed(&mut world, controller_index));
    }
    world.deliver_delayed(0);
    assert_eq!(world.workers[worker_index].tasks.len(), 1, "here it is");
    assert!(still_placed(&mut world, controller_index));
}

/// The same, and its owner has ended: the next one gets heartbeats of the machine, which is in an outbound
/// partition and has not seen the new token, so the start of the owner before may arrive yet.
#[test]
fn what_shows_an_older_token_proves_nothing_to_a_new_owner() {
    let mut world = World::new();
    let (controller_index, worker_index) = place_service(&mut world);
    world.call_directly(controller_index, worker_index, 0);
    let key = keys::member(&world.controllers[controller_index].name);
    let then = vec![Mutation::Delete { key }];
    world.store.apply(&Transaction {
        preconditions: vec![],
        mutations: then,
    });
    let others: Vec<usize> = (0..CONTROLLERS)
        .filter(|x| *x != controller_index)
        .collect();
    for other in &others {
        world.sync(*other);
        world.claim_shards(*other);
    }
    others.iter().for_each(|x| world.sync(*x));
    let shard = shard_of(&world.workers[worker_index].name);
    let new = others.into_iter().find(|x| world.term(*x, shard).is_some());
    let new = new.expect("another took it");
    request_stop(&mut world, new);
    for _ in 0..2 {
        let heartbeat = world.heartbeat(worker_index);
        world.answer_heartbeat(new, &heartbeat);
        assert!(still_placed(&mut world, new));
    }
    world.deliver_delayed(0);
    assert_eq!(
        world.workers[worker_index].tasks.len(),
        1,
        "the old owner's start"
    );
    for _ in 0..3 {
        world.exchange_heartbeat(worker_index, new, 2);
    }
    assert!(
        !still_placed(&mut world, new),
        "the new token was seen, and the stop"
    );
}

/// All controllers are away for longer than the workers' leases, with gangs, arrays and services on their machines and
/// a job cancelled just before: each task is gone by its lease, sessions are new, and nothing is concluded from the
/// old attempts but by these; then everything that can end does.
#[expect(clippy::too_many_lines, reason = "one history, step by step")]
#[test]
fn all_controllers_are_away_for_longer_than_a_lease() {
    for away in [10, 20, 60, 300] {
        let mut world = World::new();
        let kinds = [
            (JobKind::Gang, GANG_TASKS),
            (JobKind::Array, 3),
            (JobKind::Service, 2),
        ];
        for (number, (kind, tasks)) in kinds.into_iter().enumerate() {
            let job = JobRecord(spec(kind, tasks, world.now), TaskBlock::default());
            world.store.put(keys::job(&format!("req-{number}")), &job);
        }
        world.jobs = 3;
        let round = |world: &mut World| {
            for controller_index in 0..CONTROLLERS {
                world.step(2, controller_index as u8, 0);
                world.reconcile_pass(controller_index, 1);
                world.sync(controller_index);
            }
            for worker_index in 0..world.workers.len() {
                let shard = shard_of(&world.workers[worker_index].name);
                if let Some(controller_index) = (0..CONTROLLERS)
                    .find(|controller_index| world.term(*controller_index, shard).is_some())
                {
                    world.exchange_heartbeat(worker_index, controller_index, 2);
                }
            }
            world.advance_gangs();
            world.check_records();
            world.pass_time(SECOND);
        };
        (0..8).for_each(|_| round(&mut world));
        let runs = |world: &World| -> usize {
            let all = world.workers.iter().flat_map(|x| x.tasks.values());
            all.filter(|task| task.status == TaskStatus::Running)
                .count()
        };
        assert_eq!(
            (runs(&world), world.gangs_started),
            (8, GANG_TASKS),
            "all of it runs"
        );
        // The service is cancelled, its user told, and nobody has acted on it.
        world.cancel("req-2");
        for controller_index in 0..CONTROLLERS {
            world.step(13, controller_index as u8, 0);
            let name = world.controllers[controller_index].name.clone();
            world.controllers[controller_index] = SimulatedController {
                name,
                lease: 0,
                view: ClusterState::default(),
                seen: 0,
                synced_at: 0,
                state_service_refuses: false,
                machines: BTreeMap::new(),
            };
        }
        (0..away).for_each(|_| world.pass_time(SECOND));
        let lasting = away * SECOND < LEASE;
        assert_eq!(runs(&world) > 0, lasting, "away for {away} s");
        (0..8).for_each(|_| round(&mut world));
        assert_eq!(runs(&world), 6, "what goes on runs again, the rest is gone");
        world.settle();
        let left: Vec<&String> = world
            .store
            .keys
            .keys()
            .filter(|key| key.starts_with("c/job/"))
            .collect();
        assert!(left.is_empty(), "{left:?}");
    }
}

/// A controller is isolated with the workers of its zone for longer than their lease, and a job of theirs is cancelled
/// through another, just after or long after. It goes on answering them, but not for longer than the job may be there.
#[test]
fn a_controller_cut_off_with_its_workers_answers_no_longer_than_it_may() {
    for after in [0, 5, 20, 40] {
        let mut world = World::new();
        let (controller_index, worker_index) = place_service(&mut world);
        world.exchange_heartbeat(worker_index, controller_index, 2);
        world.exchange_heartbeat(worker_index, controller_index, 2);
        assert_eq!(world.workers[worker_index].tasks.len(), 1, "it runs");
        world.controllers[controller_index].state_service_refuses = true;
        for second in 0..after + 70 {
            if second == after {
                world.cancel("req-1");
            }
            world.sync(controller_index);
            world.exchange_heartbeat(worker_index, controller_index, 2);
            world.reconcile_pass(controller_index, 1);
            world.pass_time(SECOND);
            let lives = !world.workers[worker_index].tasks.is_empty();
            assert!(
                lives || second >= 28,
                "it is kept alive for as long as may be: {second} s"
            );
        }
        assert!(world.workers[worker_index].tasks.is_empty());
        assert!(
            matches!(task_state(&world), TaskState::Placed(_)),
            "and concludes nothing"
        );
    }
}
