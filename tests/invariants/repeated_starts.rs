//! A direct start that was executed and answered reaches its machine once more, at any later time.
//!
//! Each scenario delivers the copy again after every step. `World::start` fails if the copy starts an attempt for the
//! second time, or while the task is on another machine.

use crate::place_service;
use crate::workers::ANSWERED_AND_REPEATED;
use crate::world::{CANCEL_TIMEOUT, CONTROLLER_COUNT, LEASE_DURATION, World, machine_record};
use coppergw::autoscaler::model::MachineState;
use coppergw::store::keys;
use coppergw::time::SECOND;
use coppergw::wire::worker::{ExitReason, TaskStatus};
use proptest::prelude::*;

/// Name of the task of the service.
const TASK: &str = "req-1/0";
/// Rounds after which a task that can move has moved, and every command has arrived.
const ROUNDS: usize = 12;
/// Average number of generated steps after which all copies arrive.
const STEPS_PER_REDELIVERY: u8 = 4;

/// Time at which the layout of this version comes into force, relative to the direct start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LayoutInForce {
    Before,
    After,
    Never,
}

const LAYOUTS: [LayoutInForce; 3] = [
    LayoutInForce::Before,
    LayoutInForce::After,
    LayoutInForce::Never,
];

/// A service task that was started by a direct call; the copy of the call is still on its way.
struct Scenario {
    world: World,
    owner: usize,
    machine: usize,
    /// Outcome of each further direct call.
    direct_call_outcome: u8,
}

/// Outcome of a direct call that is executed and answered, and never repeated, modulo 4.
const ANSWERED: u8 = 2;

impl Scenario {
    fn new(layout: LayoutInForce) -> Scenario {
        let mut world = World::new();
        if layout == LayoutInForce::Before {
            world.put_layout();
        }
        let (owner, machine) = place_service(&mut world);
        world.send_direct_call(owner, machine, ANSWERED_AND_REPEATED);
        assert_eq!(world.workers[machine].tasks[TASK].attempt, 1);
        assert_eq!(world.delayed.len(), 1, "the copy should be on its way");
        if layout == LayoutInForce::After {
            world.put_layout();
        }
        Scenario {
            world,
            owner,
            machine,
            direct_call_outcome: ANSWERED,
        }
    }

    /// Lets the task fail, and quarantines its machine so that the task moves.
    fn fail_task(&mut self) {
        let worker = &mut self.world.workers[self.machine];
        let task = worker.tasks.get_mut(TASK).expect("the task was started");
        task.exit(ExitReason::Error);
        let key = keys::machine(&worker.name);
        let record = machine_record(MachineState::Quarantined);
        self.world.store.put(key, &record);
    }

    /// Runs rounds of all controllers and workers; the copies arrive after each step.
    fn run(&mut self, rounds: usize) {
        for _ in 0..rounds {
            for controller_index in 0..CONTROLLER_COUNT {
                self.world.sync(controller_index);
                self.world.claim_shards(controller_index);
                self.world.sync(controller_index);
                self.world.deliver_copies();
                self.world.reconcile_pass(controller_index, 1);
                self.world.sync(controller_index);
                self.world.deliver_copies();
            }
            for worker_index in 0..self.world.workers.len() {
                self.exchange_messages(worker_index);
            }
            self.world.check_records();
            self.world.advance_time(SECOND);
        }
    }

    /// Exchanges a direct call and a heartbeat between a worker and the owner of its shard.
    fn exchange_messages(&mut self, worker_index: usize) {
        let Some(owner) = self.world.owner_of(worker_index) else {
            return;
        };
        self.world
            .send_direct_call(owner, worker_index, self.direct_call_outcome);
        self.world.deliver_copies();
        self.world.exchange_heartbeat(worker_index, owner, 2);
        self.world.deliver_copies();
    }

    /// Returns the number of machines on which the task has not exited.
    fn running_count(&self) -> usize {
        let tasks = self
            .world
            .workers
            .iter()
            .filter_map(|worker| worker.tasks.get(TASK));
        tasks
            .filter(|task| task.status != TaskStatus::Exited)
            .count()
    }

    fn assert_moved(&self) {
        let first = self.world.workers[self.machine].tasks.get(TASK);
        assert!(first.is_none_or(|task| task.status == TaskStatus::Exited));
        assert_eq!(self.running_count(), 1, "the task should have moved");
    }

    /// Asserts that the machine has forgotten the task, unless older versions may run beside this one.
    fn assert_forgotten(&self, layout: LayoutInForce) {
        let is_forgotten = !self.world.workers[self.machine].tasks.contains_key(TASK);
        assert!(is_forgotten || layout == LayoutInForce::Never);
    }
}

#[test]
fn copy_of_an_answered_start_does_not_run_a_moved_task_twice() {
    for layout in LAYOUTS {
        let mut scenario = Scenario::new(layout);
        scenario.fail_task();
        scenario.run(ROUNDS);
        scenario.assert_moved();
        scenario.assert_forgotten(layout);
    }
}

#[test]
fn copy_of_an_answered_start_does_not_run_a_cancelled_task() {
    for layout in LAYOUTS {
        let mut scenario = Scenario::new(layout);
        scenario.world.cancel("req-1");
        scenario.run(ROUNDS + (CANCEL_TIMEOUT / SECOND) as usize);
        assert_eq!(scenario.running_count(), 0);
        scenario.assert_forgotten(layout);
        assert!(scenario.world.finished_jobs.contains_key("req-1"));
    }
}

#[test]
fn copy_of_an_answered_start_does_not_run_a_done_task() {
    for layout in LAYOUTS {
        let mut scenario = Scenario::new(layout);
        scenario.world.complete(TASK, 1);
        scenario.run(ROUNDS);
        assert_eq!(scenario.running_count(), 0);
        scenario.assert_forgotten(layout);
        assert_eq!(scenario.world.finished_jobs.get("req-1"), Some(&true));
    }
}

#[test]
fn copy_of_an_answered_start_does_not_run_a_task_twice_when_its_controller_is_back_at_once() {
    for layout in LAYOUTS {
        for rounds_before_restart in 0..4 {
            let mut scenario = Scenario::new(layout);
            scenario.fail_task();
            scenario.run(rounds_before_restart);
            scenario.world.restart_controller(scenario.owner);
            scenario.world.deliver_copies();
            scenario.run(ROUNDS);
            scenario.assert_moved();
            scenario.assert_forgotten(layout);
        }
    }
}

#[test]
fn copy_of_an_answered_start_does_not_run_a_task_twice_under_a_new_owner() {
    for layout in LAYOUTS {
        for rounds_before_takeover in 0..4 {
            let mut scenario = Scenario::new(layout);
            scenario.fail_task();
            scenario.run(rounds_before_takeover);
            scenario.world.expire_member_lease(scenario.owner);
            scenario.run(ROUNDS);
            scenario.assert_moved();
            scenario.assert_forgotten(layout);
        }
    }
}

#[test]
fn copy_of_an_answered_start_does_not_run_a_task_twice_after_a_hang_or_a_new_session() {
    let lease_s = LEASE_DURATION / SECOND;
    for layout in LAYOUTS {
        for hang_s in [1, lease_s / 2, lease_s + 2] {
            let mut scenario = Scenario::new(layout);
            scenario.fail_task();
            scenario.run(1);
            scenario.world.workers[scenario.machine].hung = true;
            scenario.run(hang_s as usize);
            scenario.world.workers[scenario.machine].hung = false;
            scenario.world.deliver_copies();
            scenario.run(ROUNDS);
            scenario.assert_moved();
            scenario.assert_forgotten(layout);
        }
    }
}

#[test]
fn copies_of_answered_starts_do_not_run_tasks_twice_when_several_machines_fail_them() {
    for layout in LAYOUTS {
        let mut scenario = Scenario::new(layout);
        scenario.direct_call_outcome = ANSWERED_AND_REPEATED;
        for _ in 0..4 {
            for worker in &mut scenario.world.workers {
                let tasks = worker.tasks.values_mut();
                tasks
                    .filter(|task| task.status == TaskStatus::Running)
                    .for_each(|task| task.exit(ExitReason::Error));
            }
            scenario.run(3);
        }
        scenario.run(ROUNDS);
        assert_eq!(scenario.running_count(), 1);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(60),
        max_shrink_iters: 60,
        ..ProptestConfig::default()
    })]

    #[test]
    fn safety_rules_hold_when_copies_of_all_answered_calls_arrive(
        steps in proptest::collection::vec(any::<(u8, u8, u8)>(), 100..900),
        layout_step in 0_usize..900,
    ) {
        let mut world = World::new();
        world.repeats_answered_calls = true;
        for (number, (operation, selector, argument)) in steps.into_iter().enumerate() {
            if number == layout_step {
                world.put_layout();
            }
            world.step(operation, selector, argument);
            if argument.is_multiple_of(STEPS_PER_REDELIVERY) {
                world.deliver_copies();
            }
        }
        world.settle();
        let unfinished = world.store.keys.keys().find(|key| key.starts_with("c/job/"));
        prop_assert!(unfinished.is_none(), "{unfinished:?} is unfinished");
    }
}
