//! Placement and scale-out with tasks so small that the size of a machine's heartbeat limits their number.

mod common;

use common::{Store, machine_type, spec, up};
use coppergw::autoscaler::model::{MachineRecord, MachineState};
use coppergw::autoscaler::{CapacityForecast, ScalingDecision, decide};
use coppergw::ids::MachineId;
use coppergw::jobs::commit::JobChange;
use coppergw::jobs::model::{
    JobRecord, JobSpec, MachineUsage, Placement, Resources, TaskBlock, TaskState,
};
use coppergw::policy::Policy;
use coppergw::scheduling::{
    SchedulableMachine, Schedule, SchedulingInput, count_fitting_without_backfill, schedule,
};
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::time::{Micros, SECOND};
use coppergw::wire::cloud::MachineType;
use coppergw::wire::message_sizes::{heartbeat_capacity, max_attempt_bytes};
use coppergw::wire::user::JobKind;
use foldhash::{HashMap, HashMapExt};
use std::collections::BTreeMap;

const NOW: Micros = 500 * SECOND;
/// Longest id of a job.
const JOB: &str = "req-12345678901234567890";
/// Number of tasks of a job without checkpoints for which a heartbeat has room.
const TASKS_PER_MACHINE: u32 = 10;

/// Returns a machine type whose longest zone name leaves room for exactly `TASKS_PER_MACHINE` array tasks.
fn small_heartbeat_type() -> MachineType {
    let with_zone = |bytes: usize| MachineType {
        zones: vec!["a".into(), "z".repeat(bytes)],
        ..machine_type("cpu", 16.0, 0.0)
    };
    let room = i64::from(TASKS_PER_MACHINE) * max_attempt_bytes(JOB.len(), false, false);
    let spare_bytes = heartbeat_capacity(&with_zone(1)) + 1 - room;
    with_zone(spare_bytes as usize)
}

fn small_tasks(kind: JobKind, tasks: u32) -> JobSpec {
    JobSpec {
        resources: Resources {
            cpus: 5,
            memory: 10,
            ..Resources::default()
        },
        estimated_run_time: 60 * SECOND,
        submitted_at: NOW - 5 * SECOND,
        ..spec(kind, tasks)
    }
}

/// Returns a cluster of machines in the given states, with one waiting job.
fn cluster(machines: &[MachineState], job: &JobSpec) -> ClusterState {
    let mut store = Store::default();
    store.put(keys::MACHINE_TYPES.into(), &vec![small_heartbeat_type()]);
    for (index, state) in machines.iter().enumerate() {
        let record = MachineRecord {
            state: *state,
            ..up("cpu")
        };
        store.put(keys::machine(&format!("m-{index}")), &record);
    }
    store.put(
        keys::job(JOB),
        &JobRecord(job.clone(), TaskBlock::default()),
    );
    let mut view = ClusterState::default();
    store.update_view(&mut view, &mut 0);
    view
}

fn run(view: &ClusterState, forecast: bool) -> Schedule {
    let schedulable = |_: &MachineId, record: &MachineRecord| {
        let usable = record.state == MachineState::Up || forecast;
        usable.then_some(SchedulableMachine {
            session: record.session,
            owned: true,
        })
    };
    let released = HashMap::new();
    schedule(&SchedulingInput {
        forecast,
        ..SchedulingInput::of_whole_cluster(view, NOW, &schedulable, &released)
    })
}

/// Returns the number of tasks that a schedule places on each machine.
fn tasks_by_machine(schedule: &Schedule) -> BTreeMap<MachineId, u32> {
    let mut counts = BTreeMap::new();
    for change in &schedule.changes {
        let JobChange::Place { tasks, .. } = change else {
            panic!("{change:?}");
        };
        for (_, machine, _) in tasks {
            *counts.entry(machine.clone()).or_default() += 1;
        }
    }
    counts
}

fn scale_out(view: &ClusterState) -> ScalingDecision {
    decide(&CapacityForecast {
        view,
        schedule: &run(view, true),
        policy: &Policy::default(),
        objectives: &[],
        teams: &[],
        wall_clock: NOW,
        recently_refused: &|_, _, _| false,
        idle_since: &HashMap::new(),
        max_machines_per_request: 50,
        is_known_ready: &|_| false,
    })
}

/// Guards against a machine that gets one task more than its worker can report, and against room that stays unused.
#[test]
fn placement_fills_a_heartbeat_and_not_more() {
    for kind in [JobKind::Array, JobKind::Service] {
        for tasks in [
            TASKS_PER_MACHINE - 1,
            TASKS_PER_MACHINE,
            TASKS_PER_MACHINE + 1,
        ] {
            let view = cluster(&[MachineState::Up], &small_tasks(kind, tasks));
            let schedule = run(&view, false);
            let placed = tasks.min(TASKS_PER_MACHINE);
            let expected = BTreeMap::from([(MachineId::from("m-0"), placed)]);
            assert_eq!(
                tasks_by_machine(&schedule),
                expected,
                "{kind:?}, {tasks} tasks"
            );
            let unplaced: u32 = schedule.unplaced_tasks.iter().map(|(_, count)| count).sum();
            assert_eq!(unplaced, tasks - placed, "{kind:?}, {tasks} tasks");
        }
    }
}

/// Guards against sizes that leave out what only some jobs report: gangs exit for more reasons, and an attempt that
/// saves checkpoints says whether it did.
#[test]
fn larger_reports_leave_room_for_fewer_tasks() {
    let array = small_tasks(JobKind::Array, TASKS_PER_MACHINE);
    let saving = JobSpec {
        checkpoint_interval: SECOND,
        ..array.clone()
    };
    let view = cluster(&[MachineState::Up], &saving);
    let placed: u32 = tasks_by_machine(&run(&view, false)).values().sum();
    assert!(placed < TASKS_PER_MACHINE);
    let gang = small_tasks(JobKind::Gang, TASKS_PER_MACHINE);
    let view = cluster(&[MachineState::Up], &gang);
    assert!(run(&view, false).changes.is_empty());
    let view = cluster(&[MachineState::Up; 2], &gang);
    let placed: u32 = tasks_by_machine(&run(&view, false)).values().sum();
    assert_eq!(placed, TASKS_PER_MACHINE);
}

/// Guards against an autoscaler that counts by CPUs what fits on a machine: it would see room for all tasks on the
/// machine that is up, or on one that boots, and provision none.
#[test]
fn scale_out_counts_the_tasks_that_fit_into_heartbeats() {
    let job = small_tasks(JobKind::Array, 10 * TASKS_PER_MACHINE);
    let few = scale_out(&cluster(&[MachineState::Up, MachineState::Booting], &job));
    let requested: u32 = few.scale_out.iter().map(|request| request.count).sum();
    assert!(requested > 0, "{few:?}");
    let mut machines = vec![MachineState::Up];
    machines.extend([MachineState::Booting; 9]);
    let enough = scale_out(&cluster(&machines, &job));
    assert!(enough.scale_out.is_empty(), "{enough:?}");
}

/// Guards against gangs of tasks with small shares of a GPU, for which the GPUs of a machine seem to be enough. Backfill
/// tasks leave before such a gang, and their room with them.
#[test]
fn tasks_with_gpus_are_counted_by_heartbeat_as_well() {
    let need = Resources {
        cpus: 100,
        gpus: 1,
        memory: 100,
        heartbeat_bytes: 80,
    };
    let free = Resources {
        cpus: 0,
        gpus: 2_000,
        memory: 0,
        heartbeat_bytes: 800,
    };
    let mut usage = MachineUsage::default();
    assert_eq!(count_fitting_without_backfill(&free, &usage, &need), 10);
    usage.backfill_heartbeat_bytes = 160;
    assert_eq!(count_fitting_without_backfill(&free, &usage, &need), 12);
    let without_gpus = Resources { gpus: 0, ..need };
    assert_eq!(
        count_fitting_without_backfill(&free, &usage, &without_gpus),
        0
    );
}

/// Tasks that an earlier version placed on a machine beyond its heartbeat.
const EXCESS: u32 = 4;

/// Returns a cluster with one machine on which `EXCESS` tasks too many are placed, of which the last are stopping.
fn overfull_cluster(kind: JobKind, stopping: u32) -> ClusterState {
    let tasks = TASKS_PER_MACHINE + EXCESS;
    let mut view = cluster(&[MachineState::Up], &small_tasks(kind, tasks));
    let placed = |index| {
        TaskState::Placed(Placement {
            attempt: 1,
            machine: "m-0".into(),
            session: 1,
            stop_grace_period: (index >= tasks - stopping).then_some(0),
        })
    };
    let block = TaskBlock::from((0..tasks).map(placed).collect::<Vec<_>>());
    let record = JobRecord(small_tasks(kind, tasks), block);
    view.put(&keys::job(JOB), &coppergw::wire::to_value(&record), 100);
    common::indexed(&view);
    view
}

/// Returns the indexes of the tasks that a run stops. `released` tasks have ended, and their block does not record it.
fn stopped_tasks(view: &ClusterState, known: bool, released: u32) -> Vec<u32> {
    let schedulable = |_: &MachineId, record: &MachineRecord| {
        known.then_some(SchedulableMachine {
            session: record.session,
            owned: true,
        })
    };
    let per_task = view.jobs[JOB].spec.resources;
    let released = per_task.for_tasks(i64::from(released));
    let released = HashMap::from_iter([(MachineId::from("m-0"), released)]);
    let input = SchedulingInput::of_whole_cluster(view, NOW, &schedulable, &released);
    let changes = schedule(&input).changes;
    let index = |change: &JobChange| match change {
        JobChange::Stop { index, .. } => *index,
        other => panic!("{other:?}"),
    };
    changes.iter().map(index).collect()
}

/// Guards against a machine that stays over its heartbeat, and against more stops than it needs: tasks that are
/// stopping or have ended leave anyway, and a new owner does not know yet which have ended.
#[test]
fn only_the_excess_of_a_known_machine_is_stopped() {
    let last_ones: Vec<u32> = (0..EXCESS)
        .map(|n| TASKS_PER_MACHINE + EXCESS - 1 - n)
        .collect();
    for kind in [JobKind::Array, JobKind::Service] {
        let view = overfull_cluster(kind, 0);
        assert_eq!(stopped_tasks(&view, true, 0), last_ones, "{kind:?}");
        assert_eq!(stopped_tasks(&view, true, 1).len(), EXCESS as usize - 1);
        assert!(stopped_tasks(&view, true, EXCESS).is_empty(), "{kind:?}");
        assert!(stopped_tasks(&view, false, 0).is_empty(), "{kind:?}");
        let stopping = overfull_cluster(kind, EXCESS);
        assert!(stopped_tasks(&stopping, true, 0).is_empty(), "{kind:?}");
    }
    let gang = overfull_cluster(JobKind::Gang, 0);
    let all = (TASKS_PER_MACHINE + EXCESS) as usize;
    assert_eq!(stopped_tasks(&gang, true, 0).len(), all);
}
