//! Schedules on many machines: large jobs, backfill, services near their images.

use crate::common::LIMITS;
use crate::world::{World, spec};
use coppergw::ids::MachineId;
use coppergw::jobs::commit::{JobChange, stage};
use coppergw::jobs::model::{JobId, JobRecord, JobSpec, TaskBlock, TaskState};
use coppergw::store::keys;
use coppergw::time::SECOND;
use coppergw::wire::to_value;
use coppergw::wire::user::{JobKind, Priority};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};

/// An array over more machines than one transaction can hold preconditions for. It was never placed at all
/// when its whole placement was staged at once, found too large and dropped, again and again.
#[test]
fn a_large_array_on_a_large_cluster_is_placed_in_several_transactions() {
    let mut world = World::new(&vec![(false, false); 950]);
    world.put_job("req-1", spec(JobKind::Array, Priority::Normal, 600, 16, 0));
    for _ in 0..30 {
        let changes = world.schedule(&HashMap::new());
        world.carry_out(&changes);
    }
    let job: JobId = "req-1".into();
    assert_eq!(world.state.jobs[&job].placed, 600);
    let machines: HashSet<_> = world.state.tasks_by_machine.keys().collect();
    assert_eq!(machines.len(), 600, "each has a machine of its own");
}

/// A gang of 32 on machines with GPUs is one transaction within the limits.
#[test]
fn a_large_gang_is_one_transaction() {
    let mut world = World::new(&vec![(true, true); 320]);
    world.put_job("req-1", spec(JobKind::Gang, Priority::Normal, 32, 21, 2));
    let changes = world.schedule(&HashMap::new());
    let staged = stage(&world.state, &changes, &HashSet::new(), &|_| false, LIMITS);
    assert_eq!(staged.len(), 1);
    world.carry_out(&changes);
    assert_eq!(world.state.jobs["req-1"].placed, 32);
}

/// Backfill on machines with GPUs: only tasks with checkpoints are placed there, since others could not be
/// preempted without loss. They are stopped with time to save, and the gang starts once they have ended.
#[test]
fn backfill_saves_and_is_preempted_by_a_gang() {
    let mut world = World::new(&[(true, false), (true, false)]);
    let low = JobSpec {
        checkpoint_interval: 15 * SECOND,
        checkpoint_save_time: 6 * SECOND,
        ..spec(JobKind::Array, Priority::Low, 20, 2, 0)
    };
    world.put_job("req-1", low);
    world.put_job("req-2", spec(JobKind::Array, Priority::Low, 20, 2, 0));
    let changes = world.schedule(&HashMap::new());
    world.carry_out(&changes);
    assert_eq!(
        world.state.jobs["req-1"].placed, 20,
        "backfill uses idle machines"
    );
    assert_eq!(
        world.state.jobs["req-2"].placed, 0,
        "without checkpoints: no backfill"
    );
    world.put_job("req-3", spec(JobKind::Gang, Priority::Normal, 2, 21, 2));
    let stops = world.schedule(&HashMap::new());
    let saves = |change: &JobChange| matches!(change, JobChange::Stop { grace, .. } if *grace == 6 * SECOND);
    assert!(!stops.is_empty() && stops.iter().all(saves), "{stops:?}");
    world.carry_out(&stops);
    assert_eq!(world.schedule(&HashMap::new()), vec![], "it waits for them");
    let ended: Vec<JobChange> = (0..20)
        .map(|index| JobChange::AttemptEnded {
            job: "req-1".into(),
            index,
            attempt: 1,
            done: false,
        })
        .collect();
    world.carry_out(&ended);
    let places = world.schedule(&HashMap::new());
    world.carry_out(&places);
    assert_eq!(world.state.jobs["req-3"].placed, 2);
    // 3 CPUs are free beside each of its tasks: one more task of the array fits.
    assert_eq!(world.state.jobs["req-1"].placed, 2);
}

/// With machines split among owners, a service's own owner may have none that has its image cached. A
/// service may go to another owner's machine rather than fetch its image; an array may not.
#[test]
fn a_service_starts_where_its_image_is() {
    let mut world = World::new(&[(false, false), (false, false)]);
    world.put_job(
        "req-1",
        spec(JobKind::Service, Priority::Production, 1, 1, 0),
    );
    let first = world.schedule_owning(&HashMap::new(), &|id| id == "m-000001");
    world.carry_out(&first);
    assert!(
        world.state.tasks_by_machine.contains_key("m-000001"),
        "its own first"
    );
    world.put_job(
        "req-2",
        spec(JobKind::Service, Priority::Production, 1, 1, 0),
    );
    world.put_job("req-3", spec(JobKind::Array, Priority::Normal, 1, 1, 0));
    let next = world.schedule_owning(&HashMap::new(), &|id| id == "m-000000");
    world.carry_out(&next);
    let machine_of = |job: &str| match world.state.jobs[job].slot(0) {
        Some(TaskState::Placed(placement)) => placement.machine.to_string(),
        other => panic!("{other:?}"),
    };
    assert_eq!(
        machine_of("req-2"),
        "m-000001",
        "another's, where its image is"
    );
    assert_eq!(
        machine_of("req-3"),
        "m-000000",
        "an array stays with its owner"
    );
}

/// Resources of an exit that is known and not written yet are used; without them nothing starts.
#[test]
fn resources_of_unwritten_exits_are_used() {
    let mut world = World::new(&[(false, false)]);
    world.put_job("req-1", spec(JobKind::Array, Priority::Normal, 1, 16, 0));
    let first = world.schedule(&HashMap::new());
    world.carry_out(&first);
    world.put_job("req-2", spec(JobKind::Array, Priority::Normal, 1, 16, 0));
    assert_eq!(world.schedule(&HashMap::new()), vec![]);
    let resources = world.state.jobs["req-1"].spec.resources;
    let freed = HashMap::from_iter([(MachineId::from("m-000000"), resources)]);
    let next = world.schedule(&freed);
    world.carry_out(&next);
    let first_task = |job: &str| world.state.jobs[job].slot(0).cloned();
    assert!(
        matches!(first_task("req-1"), Some(TaskState::Placed(_))),
        "not written"
    );
    assert!(matches!(first_task("req-2"), Some(TaskState::Placed(_))));
}

/// A gang that lost two attempts avoids spot machines: the preemption of any one of them ends the attempt.
#[test]
fn a_gang_that_lost_attempts_avoids_spot_machines() {
    for (lost, spot) in [(1, true), (2, false)] {
        let mut world = World::new(&[(true, true), (true, true), (true, false), (true, false)]);
        let block = TaskBlock(vec![TaskState::Waiting(lost); 2]);
        let gang = spec(JobKind::Gang, Priority::Normal, 2, 8, 1);
        world.put(keys::job("req-1"), to_value(&JobRecord(gang, block)));
        let changes = world.schedule(&HashMap::new());
        let Some(JobChange::Place { tasks, .. }) = changes.first() else {
            panic!("not placed: {changes:?}");
        };
        assert!(
            tasks
                .iter()
                .all(|(_, machine, _)| world.state.machines[machine].spot == spot)
        );
    }
}
