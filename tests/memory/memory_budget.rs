//! Memory of the jobs that are accepted: whatever they are, as many as are accepted fit into memory.

use crate::common::{LIMITS, spec};
use crate::heap::{CONTROLLER_MEMORY_MB, HeapGrowth, MEGABYTE};
use coppergw::jobs::commit::{TransactionLimits, accept_submission};
use coppergw::jobs::memory_budget::JobMemoryBudget;
use coppergw::jobs::model::{
    Dependencies, JobId, JobIdList, JobRecord, JobSpec, MAX_TASKS, Placement, TaskBlock, TaskState,
};
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::wire::state::Mutation;
use coppergw::wire::to_value;
use coppergw::wire::user::{JobKind, Priority};

/// Longest name of a class or image, in bytes.
const LONGEST_NAME_BYTES: usize = 1024;
/// Number of dependencies of which a body of 64 KiB has room for the names.
const MANY_DEPENDENCIES: u32 = 4000;
/// Number of tasks on machines of each service.
const REPLICAS: u32 = 200;

fn name(number: u32) -> JobId {
    format!("req-{number:06}").as_str().into()
}

fn budget() -> JobMemoryBudget {
    JobMemoryBudget::new(CONTROLLER_MEMORY_MB as f64).expect("a limit")
}

fn urgent(kind: JobKind, tasks: u32) -> JobSpec {
    JobSpec {
        priority: Priority::High,
        ..spec(kind, tasks)
    }
}

/// Accepts copies of a job until one is refused, or until they take all memory of a controller. Returns their number.
fn accept_while_admitted(
    growth: &HeapGrowth,
    view: &mut ClusterState,
    spec: &JobSpec,
    limits: TransactionLimits,
    block: &TaskBlock,
) -> u32 {
    let mut number = 0;
    while growth.megabytes() < CONTROLLER_MEMORY_MB && budget().check(view, spec).is_ok() {
        accept(view, number, spec, limits);
        if !block.is_empty() {
            let record = to_value(&JobRecord(spec.clone(), block.clone()));
            let version = view.revision + 1;
            view.put(&keys::job(&name(number)), &record, version);
            view.revision = version;
        }
        number += 1;
    }
    number
}

/// Applies the transactions that accept a job, until one of them has written its record.
fn accept(view: &mut ClusterState, number: u32, spec: &JobSpec, limits: TransactionLimits) {
    let id = name(number);
    while !view.jobs.contains_key(&id) {
        let transactions = accept_submission(view, &id, spec.clone(), limits);
        for transaction in transactions.expect("a job that fits into values") {
            view.revision += 1;
            for mutation in &transaction.mutations {
                let Mutation::Put { key, value, .. } = mutation else {
                    panic!("a submission deletes nothing");
                };
                let revision = view.revision;
                view.put(key, value, revision);
            }
        }
    }
}

/// Accepts copies of a job until one is refused and asserts that those accepted fit into the memory reserved for them.
fn assert_accepted_jobs_fit(what: &str, spec: &JobSpec, block: &TaskBlock) {
    let limits = TransactionLimits {
        write_newer_layout: true,
        write_packed_blocks: true,
        ..LIMITS
    };
    let growth = HeapGrowth::start();
    let mut view = ClusterState::default();
    let accepted = accept_while_admitted(&growth, &mut view, spec, limits, block);
    let megabytes = growth.megabytes();
    assert!(
        megabytes < CONTROLLER_MEMORY_MB / 2,
        "{what}: {accepted} accepted jobs take {megabytes} MB"
    );
}

/// Guards against jobs that are accepted although no controller has the memory for them: each would be over its memory,
/// at each start again, and no job would be answered for any more.
#[test]
fn accepted_jobs_of_every_kind_fit_into_memory() {
    let unplaced = TaskBlock::default();
    assert_accepted_jobs_fit("single tasks", &urgent(JobKind::Array, 1), &unplaced);
    let largest = urgent(JobKind::Array, MAX_TASKS);
    assert_accepted_jobs_fit("largest arrays", &largest, &unplaced);
    let long_names = JobSpec {
        class: "c".repeat(LONGEST_NAME_BYTES),
        image: "i".repeat(LONGEST_NAME_BYTES),
        ..urgent(JobKind::Array, 1)
    };
    assert_accepted_jobs_fit("long names", &long_names, &unplaced);
    let many_dependencies = JobSpec {
        dependencies: Dependencies {
            jobs: JobIdList((0..MANY_DEPENDENCIES).map(|i| name(900_000 - i)).collect()),
            keys: 0,
        },
        ..urgent(JobKind::Array, 1)
    };
    assert_accepted_jobs_fit("many dependencies", &many_dependencies, &unplaced);
    let replica = |index: u32| {
        TaskState::Placed(Placement {
            attempt: 1,
            machine: format!("m-{index:06}").as_str().into(),
            session: 1,
            stop_grace_period: None,
        })
    };
    let replicas: TaskBlock = (0..REPLICAS).map(replica).collect();
    let service = urgent(JobKind::Service, REPLICAS);
    assert_accepted_jobs_fit("running services", &service, &replicas);
}

/// Guards against a burst of arrays that keeps services out for as long as its arrays run.
#[test]
fn urgent_jobs_are_accepted_when_others_are_not() {
    let growth = HeapGrowth::start();
    let mut view = ClusterState::default();
    let array = spec(JobKind::Array, MAX_TASKS);
    accept_while_admitted(&growth, &mut view, &array, LIMITS, &TaskBlock::default());
    for (priority, accepted) in [
        (Priority::Low, false),
        (Priority::Normal, false),
        (Priority::High, true),
        (Priority::Production, true),
    ] {
        let job = JobSpec {
            priority,
            ..array.clone()
        };
        assert_eq!(
            budget().check(&view, &job).is_ok(),
            accepted,
            "{priority:?}"
        );
    }
}

/// Guards against memory that stays reserved for jobs that have ended: in the end no job would be accepted.
#[test]
fn memory_of_ended_jobs_is_available_again() {
    let growth = HeapGrowth::start();
    let mut view = ClusterState::default();
    let array = urgent(JobKind::Array, MAX_TASKS);
    let accepted = accept_while_admitted(&growth, &mut view, &array, LIMITS, &TaskBlock::default());
    for number in 0..accepted {
        view.revision += 1;
        let revision = view.revision;
        view.delete(&keys::job(&name(number)), revision);
    }
    assert_eq!(view.indexes().job_bytes, 0);
    assert!(growth.bytes() < 2 * MEGABYTE, "{} bytes", growth.bytes());
    assert_eq!(budget().check(&view, &array), Ok(()));
}
