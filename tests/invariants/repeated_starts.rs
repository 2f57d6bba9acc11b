//! A direct start that was executed and answered reaches its machine once more, at any later time.
//!
//! Each scenario delivers the copy again after every step. `World::start` fails if the copy starts an attempt for the
//! second time, or while the task is on another machine.

use crate::place_service;
use crate::workers::ANSWERED_AND_REPEATED;
use crate::world::{
    CANCEL_TIMEOUT, CONTROLLER_COUNT, DelayedMessage, SimulatedController, World, machine_record,
};
use coppergw::autoscaler::model::MachineState;
use coppergw::membership::{LAYOUT_VERSION, LayoutVersion, shard_of};
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::time::SECOND;
use coppergw::wire::worker::{ExitReason, TaskStatus};
use std::collections::BTreeMap;

/// Name of the task of the service.
const TASK: &str = "req-1/0";
/// Rounds after which a task that can move has moved, and every command has arrived.
const ROUNDS: usize = 12;

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
}

/// Outcome of a direct call that is executed and answered, and never repeated, modulo 4.
const ANSWERED: u8 = 2;

impl Scenario {
    fn new(layout: LayoutInForce) -> Scenario {
        let mut world = World::new();
        if layout == LayoutInForce::Before {
            put_layout(&mut world);
        }
        let (owner, machine) = place_service(&mut world);
        world.send_direct_call(owner, machine, ANSWERED_AND_REPEATED);
        assert_eq!(world.workers[machine].tasks[TASK].attempt, 1);
        assert_eq!(world.delayed.len(), 1, "the copy should be on its way");
        if layout == LayoutInForce::After {
            put_layout(&mut world);
        }
        Scenario {
            world,
            owner,
            machine,
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

    /// Replaces a controller by a new process of the same name.
    fn restart_controller(&mut self, controller_index: usize) {
        let controller = &mut self.world.controllers[controller_index];
        *controller = SimulatedController {
            name: controller.name.clone(),
            lease: 0,
            view: ClusterState::default(),
            log_position: 0,
            synced_at: 0,
            state_service_refuses: false,
            machines: BTreeMap::new(),
        };
    }

    /// Runs rounds of all controllers and workers; the copies arrive after each step.
    fn run(&mut self, rounds: usize) {
        for _ in 0..rounds {
            for controller_index in 0..CONTROLLER_COUNT {
                self.world.sync(controller_index);
                self.world.claim_shards(controller_index);
                self.world.sync(controller_index);
                self.deliver_copies();
                self.world.reconcile_pass(controller_index, 1);
                self.world.sync(controller_index);
                self.deliver_copies();
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
        let shard = shard_of(&self.world.workers[worker_index].name);
        let owner = (0..CONTROLLER_COUNT).find(|index| self.world.term(*index, shard).is_some());
        let Some(owner) = owner else {
            return;
        };
        self.world.send_direct_call(owner, worker_index, ANSWERED);
        self.deliver_copies();
        self.world.exchange_heartbeat(worker_index, owner, 2);
        self.deliver_copies();
    }

    /// Delivers each copy once more. It remains on its way.
    fn deliver_copies(&mut self) {
        for message in self.world.delayed.clone() {
            let DelayedMessage::CommandBatch(worker_index, token, session, batch) = message else {
                continue;
            };
            if !self.world.workers[worker_index].hung {
                self.world
                    .deliver_commands(worker_index, token, session, &batch);
            }
        }
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

fn put_layout(world: &mut World) {
    let layout = LayoutVersion {
        layout_version: LAYOUT_VERSION,
    };
    world.store.put(keys::LAYOUT.into(), &layout);
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
fn copy_of_an_answered_start_does_not_run_a_task_twice_when_its_controller_is_back_at_once() {
    for layout in LAYOUTS {
        for rounds_before_restart in 0..4 {
            let mut scenario = Scenario::new(layout);
            scenario.fail_task();
            scenario.run(rounds_before_restart);
            scenario.restart_controller(scenario.owner);
            scenario.deliver_copies();
            scenario.run(ROUNDS);
            scenario.assert_moved();
            scenario.assert_forgotten(layout);
        }
    }
}
