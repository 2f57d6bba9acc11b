//! Agreement on the layout beside controllers of earlier versions.

use crate::common::{self, spec};
use crate::deployment::{Deployment, place};
use coppergw::jobs::commit::JobChange;
use coppergw::jobs::model::{JobRecord, JobSpec, Placement, TASKS_PER_BLOCK, TaskBlock, TaskState};
use coppergw::membership::{LAYOUT_VERSION, LayoutVersion, Member, next_layout_write};
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::wire::state::{Mutation, Transaction};
use coppergw::wire::to_value;
use coppergw::wire::user::JobKind;

/// Layout of the versions that write blocks plain unless lower limits are announced.
const EARLIER: LayoutVersion = LayoutVersion { layout_version: 2 };
/// Layout of this version.
const CURRENT: LayoutVersion = LayoutVersion {
    layout_version: LAYOUT_VERSION,
};
/// Largest value in bytes, and most mutations of a transaction.
const LIMITS: (usize, usize) = (1248, 12);
const CONTROLLERS: [&str; 3] = ["a", "b", "c"];
const ARRAY: &str = "req-000100";
/// Number of its tasks. On as many machines, they fit into a value in plain form, but not in packed form.
const ARRAY_TASKS: u32 = 42;

fn put<T: serde::Serialize>(key: String, value: &T) -> Mutation {
    Mutation::Put {
        key,
        value: to_value(value),
        lease: None,
    }
}

/// State of a deployment in which controllers run versions with these layouts.
fn state(
    agreed: Option<LayoutVersion>,
    recorded: [Option<LayoutVersion>; 3],
    running: [LayoutVersion; 3],
) -> common::Store {
    let mut store = common::Store::default();
    if let Some(agreed) = agreed {
        store.put(keys::LAYOUT.into(), &agreed);
    }
    for (index, name) in CONTROLLERS.into_iter().enumerate() {
        if let Some(recorded) = recorded[index] {
            store.put(keys::version(name), &recorded);
        }
        let member =
            Member::new_incarnation(None, index as u64 + 1, running[index].layout_version, 0);
        store.put(keys::member(name), &member);
    }
    store
}

fn view_of(store: &common::Store) -> ClusterState {
    let mut view = ClusterState::default();
    store.update_view(&mut view, &mut 0);
    view
}

fn next_write(store: &common::Store) -> Option<Transaction> {
    next_layout_write(&view_of(store), "a", ["b", "c"].into_iter())
}

/// Guards against forms that a controller of an earlier version overwrites: the layout is raised only once all
/// controllers have recorded this version's and none runs another.
#[test]
fn layout_in_force_is_raised_once_no_earlier_version_is_left() {
    let only_current = [CURRENT; 3];
    let one_earlier = [CURRENT, EARLIER, CURRENT];
    for agreed in [None, Some(EARLIER)] {
        let own_record_is_earlier =
            state(agreed, [EARLIER, CURRENT, CURRENT].map(Some), only_current);
        let write = next_write(&own_record_is_earlier).expect("a write");
        assert_eq!(write.mutations, [put(keys::version("a"), &CURRENT)]);

        let not_recorded = state(agreed, [Some(CURRENT), None, Some(CURRENT)], only_current);
        assert_eq!(next_write(&not_recorded), None);

        let mut store = state(agreed, only_current.map(Some), only_current);
        let write = next_write(&store).expect("a write");
        assert_eq!(write.mutations, [put(keys::LAYOUT.into(), &CURRENT)]);
        assert!(store.apply(&write));
        assert!(!store.apply(&write), "the layout was written twice");
        assert_eq!(view_of(&store).layout, Some(CURRENT));
        assert_eq!(next_write(&store), None);
    }
    for running in [only_current, one_earlier] {
        let mut store = state(None, one_earlier.map(Some), running);
        let write = next_write(&store).expect("a write");
        assert_eq!(write.mutations, [put(keys::LAYOUT.into(), &EARLIER)]);
        assert!(store.apply(&write));
        assert_eq!(next_write(&store), None, "raised beside an earlier version");
    }
}

/// A controller that was rolled back to an earlier version is away for a moment, with its member key.
#[test]
fn layout_is_not_raised_while_a_rolled_back_controller_restarts() {
    let mut store = state(None, [Some(CURRENT); 3], [CURRENT, EARLIER, CURRENT]);
    let write = next_write(&store).expect("a write");
    assert_eq!(write.mutations, [put(keys::version("b"), &EARLIER)]);
    assert!(store.apply(&write));
    assert!(!store.apply(&write), "the record was lowered twice");
    let write = next_write(&store).expect("a write");
    assert_eq!(write.mutations, [put(keys::LAYOUT.into(), &EARLIER)]);
    assert!(store.apply(&write));
    store.apply(&Transaction {
        preconditions: Vec::new(),
        mutations: vec![Mutation::Delete {
            key: keys::member("b"),
        }],
    });
    assert_eq!(next_write(&store), None, "raised before b is back");
}

/// The layout is written late, when a controller has been rolled back or is back as an earlier version.
#[test]
fn layout_is_not_raised_by_a_write_from_before_a_rollback() {
    let agreed = state(None, [Some(CURRENT); 3], [CURRENT; 3]);
    let raise = next_write(&agreed).expect("a write");
    assert_eq!(raise.mutations, [put(keys::LAYOUT.into(), &CURRENT)]);
    for key in [keys::version("b"), keys::member("b")] {
        let mut store = state(None, [Some(CURRENT); 3], [CURRENT; 3]);
        assert_eq!(next_write(&store), Some(raise.clone()));
        match key == keys::version("b") {
            true => store.put(key, &EARLIER),
            false => store.put(
                key,
                &Member::new_incarnation(None, 9, EARLIER.layout_version, 0),
            ),
        }
        assert!(!store.apply(&raise));
    }
}

/// The record of a layout is written late, when the controller has been rolled back.
#[test]
fn record_of_a_layout_is_not_written_after_the_incarnation_ended() {
    let mut store = state(None, [None, Some(CURRENT), Some(CURRENT)], [CURRENT; 3]);
    let record = next_write(&store).expect("a write");
    assert_eq!(record.mutations, [put(keys::version("a"), &CURRENT)]);
    let rolled_back = Member::new_incarnation(None, 9, EARLIER.layout_version, 0);
    store.put(keys::member("a"), &rolled_back);
    assert!(!store.apply(&record));
}

/// Returns the write by which a version with the earlier layout places one task: the whole block in plain form,
/// conditional on the keys of the job and the block.
fn earlier_placement(view: &ClusterState, spec: &JobSpec, index: u32) -> Transaction {
    let mut block = view.jobs[ARRAY].blocks[0].clone();
    let (_, machine, session) = place(index, 0);
    block.set(
        index,
        TaskState::Placed(Placement {
            attempt: 1,
            machine,
            session,
            stop_grace_period: None,
        }),
    );
    Transaction {
        preconditions: vec![view.precondition(keys::job(ARRAY))],
        mutations: vec![put(keys::job(ARRAY), &JobRecord(spec.clone(), block))],
    }
}

/// Guards against a placement that is lost, and its task started twice, because a controller of the earlier
/// version wrote the whole block, conditional on the block's key, after this version had changed only a part of it.
#[test]
fn placement_survives_the_stale_write_of_an_earlier_version() {
    let mut deployment = Deployment::new(LIMITS, EARLIER.packs_blocks(false));
    let spec = spec(JobKind::Array, ARRAY_TASKS);
    deployment.submit(ARRAY, &spec);
    let mut place_tasks = |tasks: std::ops::Range<u32>| {
        deployment.sync(0);
        deployment.sync(1);
        let stale = earlier_placement(&deployment.controllers[1].view, &spec, ARRAY_TASKS - 1);
        let place = JobChange::Place {
            job: ARRAY.into(),
            tasks: tasks.map(|index| place(index, 0)).collect(),
        };
        deployment.write(0, std::slice::from_ref(&place));
        assert!(
            !deployment.commit(&stale, &[]),
            "a stale write replaced newer placements"
        );
    };
    place_tasks(0..ARRAY_TASKS - 2);
    place_tasks(ARRAY_TASKS - 2..ARRAY_TASKS - 1);
    for index in [0, ARRAY_TASKS - 2] {
        assert!(
            matches!(
                deployment.stored_task(ARRAY, index),
                Some(TaskState::Placed(_))
            ),
            "{index}"
        );
    }
}

/// Guards against the same loss by this version: announced limits that are withdrawn, or not announced to every
/// controller yet, do not make it write a block whole that is stored in parts.
#[test]
fn split_blocks_stay_split_when_lower_limits_are_no_longer_announced() {
    let mut deployment = Deployment::new((2048, 10), EARLIER.packs_blocks(true));
    let tasks: TaskBlock = (0..TASKS_PER_BLOCK)
        .map(|index| {
            let (_, machine, session) = place(index, 0);
            TaskState::Placed(Placement {
                attempt: 1,
                machine,
                session,
                stop_grace_period: None,
            })
        })
        .collect();
    let record = JobRecord(spec(JobKind::Array, TASKS_PER_BLOCK), tasks);
    deployment.store.put(keys::job(ARRAY), &record);
    let end = |index: u32| JobChange::AttemptEnded {
        job: ARRAY.into(),
        index,
        attempt: 1,
        done: true,
    };
    let write = |deployment: &mut Deployment, index: u32| {
        deployment.sync(0);
        deployment.write(0, &[end(index)]);
    };
    for index in 0..4 {
        write(&mut deployment, index);
    }
    assert!(deployment.has_parts(ARRAY));
    let record_version = deployment.record_version(ARRAY);
    deployment.packed = EARLIER.packs_blocks(false);
    write(&mut deployment, 9);
    assert_eq!(deployment.record_version(ARRAY), record_version);
    assert_eq!(deployment.stored_task(ARRAY, 9), Some(TaskState::Done));
}
