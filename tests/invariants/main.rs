//! Safety rules under generated failures, with a virtual clock and a simulated state service, cloud and workers.
//! The state machines of the controllers are those of the production code.
//!
//! Transactions, heartbeats and direct calls are lost, delayed or delivered twice, also after they were answered.
//! Machines get into an outbound partition (their heartbeats arrive, answers and commands to them are lost) or an
//! inbound partition (their heartbeats reach no controller, direct calls arrive). They hang, and resume within their
//! lease with the commands queued during the hang. Every cancellation is confirmed at once, and the tasks of a
//! cancelled job must end in time.
//!
//! `world` holds the simulated state, `controllers`, `workers` and `events` change it, and `checks` holds the
//! invariants that are checked after each event.

mod checks;
#[path = "../common/mod.rs"]
mod common;
mod controllers;
mod events;
mod heartbeat_limit;
mod repeated_starts;
mod workers;
mod world;

use common::LIMITS;
use coppergw::jobs::commit::{JobChange, stage};
use coppergw::jobs::model::{JobRecord, TaskBlock, TaskState};
use coppergw::membership::shard_of;
use coppergw::store::keys;
use coppergw::time::SECOND;
use coppergw::wire::user::JobKind;
use coppergw::wire::worker::TaskStatus;
use foldhash::{HashSet, HashSetExt};
use proptest::prelude::*;
use world::{CONTROLLER_COUNT, LEASE_DURATION, TASKS_PER_GANG, World, spec};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20),
        max_shrink_iters: 60,
        ..ProptestConfig::default()
    })]

    #[test]
    fn safety_rules_hold_under_generated_failures(steps in proptest::collection::vec(any::<(u8, u8, u8)>(), 100..900)) {
        let mut world = World::new();
        for (operation, selector, argument) in steps {
            world.step(operation, selector, argument);
        }
        world.settle();
        assert_all_jobs_finished(&world);
    }
}

/// Checks that no accepted job is lost: each one has finished by now.
fn assert_all_jobs_finished(world: &World) {
    for key in world.store.keys.keys() {
        if key.starts_with("c/job/") {
            let block_key = key.replace("/job/", "/block/") + "/0";
            let block: Option<TaskBlock> = world
                .store
                .keys
                .get(&block_key)
                .map(|entry| entry.0.deserialized().expect("block"));
            let workers: Vec<_> = world
                .workers
                .iter()
                .map(|worker| {
                    let tasks = worker.tasks.len();
                    (
                        &worker.name,
                        worker.alive,
                        worker.session,
                        worker.token,
                        tasks,
                    )
                })
                .collect();
            panic!("{key} is unfinished: {block:?} {workers:?}");
        }
    }
}

/// Guards against a failure seen in a simulated run: an isolated controller took missing heartbeats of a worker
/// for an expired lease, and its transaction arrived after a newer owner had kept that lease alive.
#[expect(clippy::too_many_lines, reason = "the steps of one recorded failure")]
#[test]
fn stale_attempt_end_of_former_owner_is_rejected() {
    let mut world = World::new();
    for controller_index in 0..CONTROLLER_COUNT {
        world.sync(controller_index);
    }
    world.store.put(
        keys::job("req-1"),
        &JobRecord(spec(JobKind::Service, 1, world.now), TaskBlock::default()),
    );
    world.job_count = 2;
    let run_round = |world: &mut World| {
        for controller_index in 0..CONTROLLER_COUNT {
            world.sync(controller_index);
            world.reconcile_pass(controller_index, 1);
            world.sync(controller_index);
        }
        for worker_index in 0..world.workers.len() {
            let shard = shard_of(&world.workers[worker_index].name);
            for controller_index in 0..CONTROLLER_COUNT {
                if world.term(controller_index, shard).is_some() {
                    world.exchange_heartbeat(worker_index, controller_index, 2);
                }
            }
        }
    };
    for _ in 0..4 {
        run_round(&mut world);
        world.advance_time(SECOND);
    }
    let machine = (0..world.workers.len())
        .find(|worker_index| !world.workers[*worker_index].tasks.is_empty())
        .expect("the replica is running");
    let old_owner = world.owner_of(machine).expect("owner");
    // The old owner is isolated: its lease expires, others claim its shards and renew the leases of the workers.
    world.expire_member_lease(old_owner);
    for _ in 0..30 {
        for controller_index in
            (0..CONTROLLER_COUNT).filter(|controller_index| *controller_index != old_owner)
        {
            world.sync(controller_index);
            world.claim_shards(controller_index);
            world.sync(controller_index);
        }
        for worker_index in 0..world.workers.len() {
            let shard = shard_of(&world.workers[worker_index].name);
            if let Some(controller_index) = (0..CONTROLLER_COUNT).find(|controller_index| {
                *controller_index != old_owner && world.term(*controller_index, shard).is_some()
            }) {
                world.exchange_heartbeat(worker_index, controller_index, 2);
            }
        }
        world.advance_time(SECOND);
    }
    world.reconcile_pass(old_owner, 0);
    assert!(
        !world.delayed.is_empty(),
        "the former owner should record the end of the attempt"
    );
    while !world.delayed.is_empty() {
        world.deliver_delayed(0);
    }
    let (value, _) = world.store.keys.get("c/job/req-1").expect("job");
    let JobRecord(_, block): JobRecord = value.deserialized().expect("job");
    assert!(
        matches!(block.get(0), Some(TaskState::Placed(_))),
        "the task should still be placed: {block:?}"
    );
}

/// Submits a service of one task that its owner has placed but not started yet, on a machine that holds the fencing
/// token of the owner. Returns the indexes of the owner and the machine.
fn place_service(world: &mut World) -> (usize, usize) {
    let owner = |world: &World, worker_index: usize| {
        let owner = world.owner_of(worker_index);
        owner.expect("each shard has an owner")
    };
    (0..CONTROLLER_COUNT).for_each(|controller_index| world.sync(controller_index));
    for _ in 0..2 {
        for worker_index in 0..world.workers.len() {
            world.exchange_heartbeat(worker_index, owner(world, worker_index), 2);
        }
    }
    let job = JobRecord(spec(JobKind::Service, 1, world.now), TaskBlock::default());
    world.store.put(keys::job("req-1"), &job);
    world.job_count = 2;
    for controller_index in 0..CONTROLLER_COUNT {
        world.sync(controller_index);
        world.reconcile_pass(controller_index, 1);
    }
    (0..CONTROLLER_COUNT).for_each(|controller_index| world.sync(controller_index));
    let TaskState::Placed(placement) = task_state(world) else {
        panic!("the task is not placed");
    };
    let worker_index = world
        .workers
        .iter()
        .position(|worker| worker.name == placement.machine);
    let worker_index = worker_index.expect("the machine has a worker");
    (owner(world, worker_index), worker_index)
}

fn task_state(world: &World) -> TaskState {
    let (value, _) = world.store.keys.get("c/job/req-1").expect("job");
    let JobRecord(_, block): JobRecord = value.deserialized().expect("job");
    block.get(0).expect("a task").clone()
}

/// Records a stop request of the owner for the task.
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

/// Runs a reconciler pass of the owner and returns whether the task is still placed in its first attempt.
fn still_placed(world: &mut World, controller_index: usize) -> bool {
    world.reconcile_pass(controller_index, 1);
    world.sync(controller_index);
    matches!(task_state(world), TaskState::Placed(placement) if placement.attempt == 1)
}

/// A heartbeat from before the task started arrives after newer ones, while the machine is in an outbound
/// partition and does not receive the stop command.
#[test]
fn reordered_heartbeat_ends_no_attempt() {
    let mut world = World::new();
    let (controller_index, worker_index) = place_service(&mut world);
    let old_heartbeat = world.heartbeat(worker_index);
    world.send_direct_call(controller_index, worker_index, 2);
    assert_eq!(world.workers[worker_index].tasks.len(), 1);
    world.workers[worker_index].outbound_partition = true;
    request_stop(&mut world, controller_index);
    world.answer_heartbeat(controller_index, &old_heartbeat);
    assert!(still_placed(&mut world, controller_index));
    world.workers[worker_index].outbound_partition = false;
    world.exchange_heartbeat(worker_index, controller_index, 2);
    world.exchange_heartbeat(worker_index, controller_index, 2);
    assert!(
        !still_placed(&mut world, controller_index),
        "the task should have stopped"
    );
}

/// A direct start command is delayed while the machine reports that it has no such task. The command may still
/// arrive, so the report does not end the attempt.
#[test]
fn unacknowledged_start_blocks_attempt_end() {
    let mut world = World::new();
    let (controller_index, worker_index) = place_service(&mut world);
    world.send_direct_call(controller_index, worker_index, 0);
    assert_eq!(
        world.delayed.len(),
        1,
        "the start command should be in flight"
    );
    request_stop(&mut world, controller_index);
    for _ in 0..2 {
        let heartbeat = world.heartbeat(worker_index);
        world.answer_heartbeat(controller_index, &heartbeat);
        assert!(still_placed(&mut world, controller_index));
    }
    world.deliver_delayed(0);
    assert_eq!(
        world.workers[worker_index].tasks.len(),
        1,
        "the delayed start should have arrived"
    );
    assert!(still_placed(&mut world, controller_index));
}

/// A direct start command is delayed and its owner loses its lease. The new owner receives heartbeats of the
/// machine, which is in an outbound partition and has not received the new fencing token, so the start command of
/// the old owner may still arrive.
#[test]
fn heartbeat_with_older_token_ends_no_attempt() {
    let mut world = World::new();
    let (controller_index, worker_index) = place_service(&mut world);
    world.send_direct_call(controller_index, worker_index, 0);
    world.expire_member_lease(controller_index);
    let others: Vec<usize> = (0..CONTROLLER_COUNT)
        .filter(|other| *other != controller_index)
        .collect();
    for other in &others {
        world.sync(*other);
        world.claim_shards(*other);
    }
    others.iter().for_each(|other| world.sync(*other));
    let shard = shard_of(&world.workers[worker_index].name);
    let new_owner = others
        .into_iter()
        .find(|other| world.term(*other, shard).is_some());
    let new_owner = new_owner.expect("another controller owns the shard");
    request_stop(&mut world, new_owner);
    for _ in 0..2 {
        let heartbeat = world.heartbeat(worker_index);
        world.answer_heartbeat(new_owner, &heartbeat);
        assert!(still_placed(&mut world, new_owner));
    }
    world.deliver_delayed(0);
    assert_eq!(
        world.workers[worker_index].tasks.len(),
        1,
        "the start of the old owner should have arrived"
    );
    for _ in 0..3 {
        world.exchange_heartbeat(worker_index, new_owner, 2);
    }
    assert!(
        !still_placed(&mut world, new_owner),
        "the worker should have received the new token and the stop command"
    );
}

/// All controllers are down for longer than the leases of the workers, with gangs, arrays and services running and a
/// job cancelled just before. Each task ends with its lease, and only the new sessions show that the old attempts have
/// ended. Afterwards each job that can finish does.
#[expect(clippy::too_many_lines, reason = "the steps of one scenario")]
#[test]
fn tasks_recover_after_outage_of_all_controllers() {
    for outage_s in [10, 20, 60, 300] {
        let mut world = World::new();
        let kinds = [
            (JobKind::Gang, TASKS_PER_GANG),
            (JobKind::Array, 3),
            (JobKind::Service, 2),
        ];
        for (number, (kind, tasks)) in kinds.into_iter().enumerate() {
            let job = JobRecord(spec(kind, tasks, world.now), TaskBlock::default());
            world.store.put(keys::job(&format!("req-{number}")), &job);
        }
        world.job_count = 3;
        let round = |world: &mut World| {
            for controller_index in 0..CONTROLLER_COUNT {
                world.step(2, controller_index as u8, 0);
                world.reconcile_pass(controller_index, 1);
                world.sync(controller_index);
            }
            for worker_index in 0..world.workers.len() {
                if let Some(controller_index) = world.owner_of(worker_index) {
                    world.exchange_heartbeat(worker_index, controller_index, 2);
                }
            }
            world.advance_gangs();
            world.check_records();
            world.advance_time(SECOND);
        };
        (0..8).for_each(|_| round(&mut world));
        let running_tasks = |world: &World| -> usize {
            let tasks = world
                .workers
                .iter()
                .flat_map(|worker| worker.tasks.values());
            tasks
                .filter(|task| task.status == TaskStatus::Running)
                .count()
        };
        assert_eq!(
            (running_tasks(&world), world.started_gang_tasks),
            (8, TASKS_PER_GANG),
            "all tasks should be running"
        );
        // The cancellation of the service is confirmed to its user, and no controller has acted on it yet.
        world.cancel("req-2");
        for controller_index in 0..CONTROLLER_COUNT {
            world.step(13, controller_index as u8, 0);
            world.restart_controller(controller_index);
        }
        (0..outage_s).for_each(|_| world.advance_time(SECOND));
        let within_lease = outage_s * SECOND < LEASE_DURATION;
        assert_eq!(
            running_tasks(&world) > 0,
            within_lease,
            "controllers down for {outage_s} s"
        );
        (0..8).for_each(|_| round(&mut world));
        assert_eq!(
            running_tasks(&world),
            6,
            "only tasks of the gang and the array should be running"
        );
        world.settle();
        let unfinished: Vec<&String> = world
            .store
            .keys
            .keys()
            .filter(|key| key.starts_with("c/job/"))
            .collect();
        assert!(unfinished.is_empty(), "{unfinished:?}");
    }
}

/// A controller is isolated together with the workers of its zone for longer than their lease, and one of their jobs is
/// cancelled through another controller, soon or long after the isolation began. The isolated controller keeps renewing
/// leases, but only for as long as tasks of a cancelled job may still run.
#[test]
fn isolated_controller_stops_renewing_leases_in_time() {
    for cancelled_after_s in [0, 5, 20, 40] {
        let mut world = World::new();
        let (controller_index, worker_index) = place_service(&mut world);
        world.exchange_heartbeat(worker_index, controller_index, 2);
        world.exchange_heartbeat(worker_index, controller_index, 2);
        assert_eq!(
            world.workers[worker_index].tasks.len(),
            1,
            "the task should be running"
        );
        world.controllers[controller_index].state_service_refuses = true;
        for second in 0..cancelled_after_s + 70 {
            if second == cancelled_after_s {
                world.cancel("req-1");
            }
            world.sync(controller_index);
            world.exchange_heartbeat(worker_index, controller_index, 2);
            world.reconcile_pass(controller_index, 1);
            world.advance_time(SECOND);
            let is_running = !world.workers[worker_index].tasks.is_empty();
            assert!(
                is_running || second >= 28,
                "the lease should be renewed for as long as allowed, but the task ended at {second} s"
            );
        }
        assert!(world.workers[worker_index].tasks.is_empty());
        assert!(
            matches!(task_state(&world), TaskState::Placed(_)),
            "the isolated controller should not record the end of the attempt"
        );
    }
}
