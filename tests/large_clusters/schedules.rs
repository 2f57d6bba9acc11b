//! Schedules on many machines: large jobs, backfill, and placement of services where their image is cached.

use crate::common::LIMITS;
use crate::world::{Cluster, job_spec};
use coppergw::ids::MachineId;
use coppergw::jobs::commit::{JobChange, stage};
use coppergw::jobs::model::{JobId, JobRecord, JobSpec, TaskBlock, TaskState};
use coppergw::store::keys;
use coppergw::time::SECOND;
use coppergw::wire::to_value;
use coppergw::wire::user::{JobKind, Priority};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};

/// An array that needs more machines than a transaction can have preconditions. Staged as a single transaction,
/// its placement was too large and was discarded in every round, so that the array was never placed.
#[test]
fn large_array_is_placed_in_several_transactions() {
    let mut cluster = Cluster::new(&vec![(false, false); 950]);
    cluster.put_job(
        "req-1",
        job_spec(JobKind::Array, Priority::Normal, 600, 16, 0),
    );
    for _ in 0..30 {
        let changes = cluster.schedule(&HashMap::new());
        cluster.apply_changes(&changes);
    }
    let job: JobId = "req-1".into();
    assert_eq!(cluster.state.jobs[&job].placed, 600);
    let machines: HashSet<_> = cluster.state.tasks_by_machine.keys().collect();
    assert_eq!(machines.len(), 600, "one machine for each task");
}

/// The placement of a gang of 32 tasks on machines with GPUs is one transaction within the limits.
#[test]
fn large_gang_is_placed_in_one_transaction() {
    let mut cluster = Cluster::new(&vec![(true, true); 320]);
    cluster.put_job(
        "req-1",
        job_spec(JobKind::Gang, Priority::Normal, 32, 21, 2),
    );
    let changes = cluster.schedule(&HashMap::new());
    let staged = stage(
        &cluster.state,
        &changes,
        &HashSet::new(),
        &|_| false,
        LIMITS,
    );
    assert_eq!(staged.len(), 1);
    cluster.apply_changes(&changes);
    assert_eq!(cluster.state.jobs["req-1"].placed, 32);
}

/// Backfill on machines with GPUs places only tasks with checkpoints, since others could not be preempted without
/// losing work. A gang preempts them with a grace period for saving a checkpoint, and starts once they have ended.
#[test]
fn gang_preempts_backfill_after_a_checkpoint() {
    let mut cluster = Cluster::new(&[(true, false), (true, false)]);
    let low = JobSpec {
        checkpoint_interval: 15 * SECOND,
        checkpoint_save_time: 6 * SECOND,
        ..job_spec(JobKind::Array, Priority::Low, 20, 2, 0)
    };
    cluster.put_job("req-1", low);
    cluster.put_job("req-2", job_spec(JobKind::Array, Priority::Low, 20, 2, 0));
    let changes = cluster.schedule(&HashMap::new());
    cluster.apply_changes(&changes);
    assert_eq!(
        cluster.state.jobs["req-1"].placed, 20,
        "backfill uses idle machines"
    );
    assert_eq!(
        cluster.state.jobs["req-2"].placed, 0,
        "no backfill without checkpoints"
    );
    cluster.put_job("req-3", job_spec(JobKind::Gang, Priority::Normal, 2, 21, 2));
    let stops = cluster.schedule(&HashMap::new());
    let has_grace_period = |change: &JobChange| matches!(change, JobChange::Stop { grace, .. } if *grace == 6 * SECOND);
    assert!(
        !stops.is_empty() && stops.iter().all(has_grace_period),
        "{stops:?}"
    );
    cluster.apply_changes(&stops);
    assert_eq!(
        cluster.schedule(&HashMap::new()),
        vec![],
        "the gang waits for the preempted tasks"
    );
    let ended: Vec<JobChange> = (0..20)
        .map(|index| JobChange::AttemptEnded {
            job: "req-1".into(),
            index,
            attempt: 1,
            done: false,
        })
        .collect();
    cluster.apply_changes(&ended);
    let places = cluster.schedule(&HashMap::new());
    cluster.apply_changes(&places);
    assert_eq!(cluster.state.jobs["req-3"].placed, 2);
    // Each task of the gang leaves 3 CPUs of its machine free, which fit one task of the array.
    assert_eq!(cluster.state.jobs["req-1"].placed, 2);
}

/// Machines are divided among controllers, and the controller that owns a service may own no machine with its
/// image cached. To avoid fetching the image, a service may be placed on a machine of another controller; an
/// array may not.
#[test]
fn service_is_placed_where_its_image_is_cached() {
    let mut cluster = Cluster::new(&[(false, false), (false, false)]);
    cluster.put_job(
        "req-1",
        job_spec(JobKind::Service, Priority::Production, 1, 1, 0),
    );
    let first = cluster.schedule_for_owner(&HashMap::new(), &|id| id == "m-000001");
    cluster.apply_changes(&first);
    assert!(
        cluster.state.tasks_by_machine.contains_key("m-000001"),
        "placed on an owned machine"
    );
    cluster.put_job(
        "req-2",
        job_spec(JobKind::Service, Priority::Production, 1, 1, 0),
    );
    cluster.put_job("req-3", job_spec(JobKind::Array, Priority::Normal, 1, 1, 0));
    let next = cluster.schedule_for_owner(&HashMap::new(), &|id| id == "m-000000");
    cluster.apply_changes(&next);
    let machine_of = |job: &str| match cluster.state.jobs[job].task_state(0) {
        Some(TaskState::Placed(placement)) => placement.machine.to_string(),
        other => panic!("{other:?}"),
    };
    assert_eq!(
        machine_of("req-2"),
        "m-000001",
        "machine of another owner with the image cached"
    );
    assert_eq!(
        machine_of("req-3"),
        "m-000000",
        "an array is placed on owned machines only"
    );
}

/// Resources freed by a task exit that is not written yet are available to other tasks; without them, no task fits.
#[test]
fn resources_of_unwritten_exits_are_available() {
    let mut cluster = Cluster::new(&[(false, false)]);
    cluster.put_job(
        "req-1",
        job_spec(JobKind::Array, Priority::Normal, 1, 16, 0),
    );
    let first = cluster.schedule(&HashMap::new());
    cluster.apply_changes(&first);
    cluster.put_job(
        "req-2",
        job_spec(JobKind::Array, Priority::Normal, 1, 16, 0),
    );
    assert_eq!(cluster.schedule(&HashMap::new()), vec![]);
    let resources = cluster.state.jobs["req-1"].spec.resources;
    let released_resources = HashMap::from_iter([(MachineId::from("m-000000"), resources)]);
    let next = cluster.schedule(&released_resources);
    cluster.apply_changes(&next);
    let first_task = |job: &str| cluster.state.jobs[job].task_state(0).cloned();
    assert!(
        matches!(first_task("req-1"), Some(TaskState::Placed(_))),
        "the exit is not written yet"
    );
    assert!(matches!(first_task("req-2"), Some(TaskState::Placed(_))));
}

/// A gang that lost two attempts avoids spot machines, since the preemption of any of them ends the whole attempt.
#[test]
fn gang_avoids_spot_machines_after_two_lost_attempts() {
    for (lost_attempts, spot) in [(1, true), (2, false)] {
        let mut cluster = Cluster::new(&[(true, true), (true, true), (true, false), (true, false)]);
        let block = TaskBlock::from(vec![TaskState::Waiting(lost_attempts); 2]);
        let gang = job_spec(JobKind::Gang, Priority::Normal, 2, 8, 1);
        cluster.put(keys::job("req-1"), to_value(&JobRecord(gang, block)));
        let changes = cluster.schedule(&HashMap::new());
        let Some(JobChange::Place { tasks, .. }) = changes.first() else {
            panic!("not placed: {changes:?}");
        };
        assert!(
            tasks
                .iter()
                .all(|(_, machine, _)| cluster.state.machines[machine].spot == spot)
        );
    }
}
