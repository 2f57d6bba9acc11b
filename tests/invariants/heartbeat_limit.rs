//! Machines with room for more small tasks than their worker can report in one message. A worker that cannot send its
//! heartbeat loses its lease, and with it every task on the machine.

use crate::world::{JOBS_PER_GANG, TASKS_PER_GANG, World, machine_type, spec};
use crate::{assert_all_jobs_finished, common};
use coppergw::jobs::model::{JobRecord, JobSpec, Resources, TASKS_PER_BLOCK, TaskBlock};
use coppergw::jobs::model::{Placement, TaskState};
use coppergw::store::keys;
use coppergw::time::{Micros, SECOND};
use coppergw::wire::cloud::MachineType;
use coppergw::wire::message_sizes::heartbeat_capacity;
use coppergw::wire::user::{JobKind, Priority};
use coppergw::wire::worker::{ExitReason, TaskStatus};
use proptest::prelude::*;

/// Run time of a task of an array or gang: longer than a lease.
const RUN_TIME: Micros = 25 * SECOND;

fn large_machine() -> MachineType {
    common::machine_type("t", 16.0, 0.0)
}

/// Returns a job of small tasks: 3,200 of them fit the CPUs of a machine.
fn small_tasks(kind: JobKind, tasks: u32, at: Micros) -> JobSpec {
    JobSpec {
        resources: Resources {
            cpus: 5,
            gpus: 0,
            memory: 10,
            ..Resources::default()
        },
        ..spec(kind, tasks, at)
    }
}

/// What to do with tasks that run.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Runs {
    /// Arrays and gangs complete after this time.
    For(Micros),
    /// Every task fails as soon as it runs.
    Fail,
}

impl World {
    fn submit(&mut self, number: u32, spec: &JobSpec) {
        let record = JobRecord(spec.clone(), TaskBlock::default());
        self.store.put(keys::job(&format!("req-{number}")), &record);
        self.job_count = self.job_count.max(number + 1);
    }

    /// Runs all controllers and workers for some seconds; each worker sends a heartbeat every second.
    fn run_for(&mut self, seconds: u32, runs: Runs) {
        for _ in 0..seconds {
            self.reconcile_all();
            for worker_index in 0..self.workers.len() {
                let owner = self.owner_of(worker_index).expect("owner");
                self.exchange_heartbeat(worker_index, owner, 2);
                self.send_direct_call(owner, worker_index, 2);
            }
            self.advance_gangs();
            self.end_tasks(runs);
            self.advance_time(SECOND);
        }
    }

    fn end_tasks(&mut self, runs: Runs) {
        let now = self.now;
        let view = &self.controllers[0].view;
        let is_service = |name: &str| {
            let job = name.split_once('/').and_then(|(job, _)| view.jobs.get(job));
            job.is_none_or(|job| job.spec.kind == JobKind::Service)
        };
        for worker in &mut self.workers {
            for (name, task) in &mut worker.tasks {
                if task.status != TaskStatus::Running || is_service(name) {
                    continue;
                }
                match runs {
                    Runs::For(time) if now >= task.started_at + time => {
                        task.exit(ExitReason::Done);
                        self.completed.insert(name.clone());
                    }
                    Runs::Fail => task.exit(ExitReason::Error),
                    Runs::For(_) => {}
                }
            }
        }
    }

    fn count_running(&self) -> usize {
        let tasks = self.workers.iter().flat_map(|worker| worker.tasks.values());
        tasks
            .filter(|task| task.status == TaskStatus::Running)
            .count()
    }

    fn assert_no_lease_lost(&self) {
        assert_eq!(self.oversized_heartbeats, 0, "heartbeats were too large");
        for worker in &self.workers {
            assert_eq!(worker.session, 1, "{} lost its lease", worker.name);
        }
    }
}

/// Small tasks come four times as often. All 2,400 fit the CPUs of the only machine; its worker cannot report them.
#[test]
fn arrays_larger_than_a_heartbeat_complete_without_a_lost_lease() {
    let mut world = World::with_machines(&large_machine(), 1);
    world.put_layout();
    for number in 1..=4 {
        let job = small_tasks(JobKind::Array, 600, world.now);
        world.submit(number, &job);
    }
    world.run_for(95, Runs::For(RUN_TIME));
    world.assert_no_lease_lost();
    assert_eq!(world.completed.len(), 2_400);
}

/// The same while the layout of this version is not in force: tokens are raised with the term of the shard only, so
/// exited attempts stay in heartbeats for longer.
#[test]
fn arrays_larger_than_a_heartbeat_complete_beside_earlier_versions() {
    let mut world = World::with_machines(&large_machine(), 1);
    for number in 1..=4 {
        let job = small_tasks(JobKind::Array, 600, world.now);
        world.submit(number, &job);
    }
    world.run_for(140, Runs::For(RUN_TIME));
    world.assert_no_lease_lost();
    assert_eq!(world.completed.len(), 2_400);
}

/// Replicas of a service, which never end, fill the heartbeat of one machine and continue on the next.
#[test]
fn replicas_larger_than_a_heartbeat_run_on_several_machines() {
    let mut world = World::with_machines(&large_machine(), 2);
    world.put_layout();
    let service = small_tasks(JobKind::Service, 1_500, world.now);
    world.submit(1, &service);
    world.run_for(60, Runs::For(RUN_TIME));
    world.assert_no_lease_lost();
    assert_eq!(world.count_running(), 1_500);
}

/// Gangs, whose tasks wait on the machine for the others of their gang.
#[test]
fn gangs_larger_than_a_heartbeat_complete_without_a_lost_lease() {
    let mut world = World::with_machines(&large_machine(), 1);
    world.put_layout();
    for number in 1..=350 {
        let gang = small_tasks(JobKind::Gang, TASKS_PER_GANG, world.now);
        world.submit(number * JOBS_PER_GANG, &gang);
    }
    world.run_for(90, Runs::For(RUN_TIME));
    world.assert_no_lease_lost();
    assert_eq!(world.completed.len(), 350 * TASKS_PER_GANG as usize);
}

/// Tasks that end at once leave many exited attempts, which stay in the heartbeats until the worker forgets them.
#[test]
fn exited_attempts_count_until_the_worker_forgets_them() {
    for runs in [Runs::For(0), Runs::Fail] {
        let mut world = World::with_machines(&large_machine(), 1);
        world.put_layout();
        for number in 1..=4 {
            let job = small_tasks(JobKind::Array, 600, world.now);
            world.submit(number, &job);
        }
        world.run_for(30, runs);
        world.assert_no_lease_lost();
        if runs != Runs::Fail {
            assert_eq!(world.completed.len(), 2_400);
        }
    }
}

/// A service takes the place of tasks of an array on a machine whose heartbeat is full: the stopped attempts are still
/// in the heartbeats when the replicas are placed.
#[test]
fn preempted_attempts_and_their_successors_fit_into_a_heartbeat() {
    let mut world = World::with_machines(&large_machine(), 1);
    world.put_layout();
    let array = small_tasks(JobKind::Array, 1_000, world.now);
    world.submit(1, &array);
    world.run_for(6, Runs::For(100 * SECOND));
    let service = small_tasks(JobKind::Service, 400, world.now);
    world.submit(2, &service);
    world.run_for(15, Runs::For(100 * SECOND));
    world.assert_no_lease_lost();
    let replicas = |world: &World| {
        let names = world.workers[0].tasks.iter();
        names
            .filter(|(name, task)| name.starts_with("req-2/") && task.status == TaskStatus::Running)
            .count()
    };
    assert_eq!(replicas(&world), 400);
}

/// Places and starts tasks on the first machine as a controller of an earlier version does, whatever its heartbeat
/// takes.
fn place_as_an_earlier_version(world: &mut World, number: u32, spec: &JobSpec) {
    let id = format!("req-{number}");
    let machine = world.workers[0].name.clone();
    let blocks = spec.task_count.div_ceil(TASKS_PER_BLOCK);
    let block = |block: u32| {
        let tasks = (spec.task_count - block * TASKS_PER_BLOCK).min(TASKS_PER_BLOCK);
        let placed = TaskState::Placed(Placement {
            attempt: 1,
            machine: machine.clone(),
            session: 1,
            stop_grace_period: None,
        });
        TaskBlock::from(vec![placed; tasks as usize])
    };
    let record = JobRecord(spec.clone(), block(0));
    world.store.put(keys::job(&id), &record);
    for index in 1..blocks {
        world.store.put(keys::block(&id, index), &block(index));
    }
    for index in 0..spec.task_count {
        world.start(0, &format!("{id}/{index}"), 1);
    }
    world.job_count = world.job_count.max(number + 1);
}

/// A controller of an earlier version has started more tasks on a machine than its worker can report. The new owner
/// stops the excess before the lease ends, and the others run on.
#[test]
fn machine_over_its_heartbeat_keeps_its_lease() {
    for kind in [JobKind::Array, JobKind::Service] {
        let mut world = World::with_machines(&large_machine(), 3);
        world.put_layout();
        world.run_for(3, Runs::For(RUN_TIME));
        let job = JobSpec {
            priority: Priority::Normal,
            ..small_tasks(kind, 1_600, world.now)
        };
        place_as_an_earlier_version(&mut world, 1, &job);
        world.run_for(20, Runs::For(100 * SECOND));
        assert!(world.oversized_heartbeats > 0, "{kind:?}");
        for worker in &world.workers {
            assert_eq!(
                worker.session, 1,
                "{kind:?}: {} lost its lease",
                worker.name
            );
        }
        assert_eq!(world.count_running(), 1_600, "{kind:?}");
        let first_attempts = world.workers[0].tasks.values();
        let unharmed = first_attempts
            .filter(|task| task.attempt == 1 && task.status == TaskStatus::Running)
            .count();
        assert!(unharmed > 600, "{kind:?}: only {unharmed} ran on");
    }
}

/// Number of attempts for which the heartbeats of the generated scenarios have room.
const ATTEMPTS_PER_HEARTBEAT: usize = 3;
/// Bytes that so many attempts take at most, and not one more.
const BYTES_OF_ATTEMPTS: i64 = 250;

/// Returns the machine type of the simulated world, with a zone whose name leaves room for three attempts in a
/// heartbeat. Its CPUs are enough for four tasks.
fn machine_with_short_heartbeats() -> MachineType {
    let with_zone = |bytes: usize| MachineType {
        zones: vec!["z".repeat(bytes)],
        ..machine_type()
    };
    let spare_bytes = heartbeat_capacity(&with_zone(0)) - BYTES_OF_ATTEMPTS;
    with_zone(spare_bytes as usize)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(66),
        max_shrink_iters: 60,
        ..ProptestConfig::default()
    })]

    /// The heartbeats of all machines are nearly full all the time, so starts wait for room and direct calls forget
    /// attempts, under the failures of the other scenarios.
    #[test]
    fn safety_rules_hold_while_heartbeats_are_full(
        (layout_in_force, repeats_answered_calls) in any::<(bool, bool)>(),
        steps in proptest::collection::vec(any::<(u8, u8, u8)>(), 100..900),
    ) {
        let mut world = World::with_machines(&machine_with_short_heartbeats(), 4);
        if layout_in_force {
            world.put_layout();
        }
        world.repeats_answered_calls = repeats_answered_calls;
        for (operation, selector, argument) in steps {
            world.step(operation, selector, argument);
            let most_attempts = world.workers.iter().map(|worker| worker.tasks.len()).max();
            prop_assert!(most_attempts <= Some(ATTEMPTS_PER_HEARTBEAT), "{most_attempts:?} attempts on a machine");
        }
        world.settle();
        assert_all_jobs_finished(&world);
        prop_assert_eq!(world.oversized_heartbeats, 0);
    }
}
