//! Generated jobs from their submission to their end, under pairs of limits of the state service.

use crate::common;
use crate::deployment::Deployment;
use coppergw::jobs::commit::JobChange;
use coppergw::jobs::model::{JobId, JobSpec, MAX_TASKS};
use coppergw::wire::user::JobKind;
use proptest::prelude::*;

/// Largest values in bytes and most mutations of a transaction.
const LIMITS: [(usize, usize); 6] = [
    (32 * 1024, 16),
    (8 * 1024, 16),
    (4 * 1024, 12),
    (3 * 1024, 10),
    (2 * 1024, 32),
    (2 * 1024, 10),
];
/// Numbers of tasks of arrays.
const ARRAY_SIZES: [u32; 6] = [1, 70, 255, 256, 257, 700];
/// Numbers of tasks of gangs: each is placed by one transaction under all of the limits.
const GANG_SIZES: [u32; 3] = [1, 8, 32];
/// Rounds within which all jobs end when nothing fails any more.
const SETTLE_ROUNDS: u32 = 600;

/// Id of the first job.
const FIRST_JOB: &str = "req-000000";
/// Number of tasks on a machine, where they are placed on few.
const TASKS_PER_MACHINE: u32 = 8;

/// What one controller does next.
#[derive(Clone, Copy, Debug)]
enum Step {
    Sync,
    Place { count: u8, salt: u8 },
    End { selector: u8 },
    Stop { selector: u8 },
    Cancel { selector: u8 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::Sync),
        4 => (any::<u8>(), any::<u8>()).prop_map(|(count, salt)| Step::Place { count, salt }),
        4 => any::<u8>().prop_map(|selector| Step::End { selector }),
        1 => any::<u8>().prop_map(|selector| Step::Stop { selector }),
        1 => any::<u8>().prop_map(|selector| Step::Cancel { selector }),
    ]
}

/// A job whose record has a list of machine types of this length.
fn job(kind: JobKind, tasks: u32, machine_types: usize) -> JobSpec {
    let names = (0..machine_types).map(|number| format!("machine-type-{number}"));
    JobSpec {
        class: "route-batch".into(),
        machine_types: (machine_types > 0).then(|| names.collect()),
        ..common::spec(kind, tasks)
    }
}

fn generated_job() -> impl Strategy<Value = JobSpec> {
    (0..12usize, 0..ARRAY_SIZES.len(), 0..40usize).prop_map(
        |(kind, size, machine_types)| match kind {
            0 | 1 => job(
                JobKind::Gang,
                GANG_SIZES[size % GANG_SIZES.len()],
                machine_types,
            ),
            2 | 3 => job(
                JobKind::Service,
                GANG_SIZES[size % GANG_SIZES.len()],
                machine_types,
            ),
            _ => job(JobKind::Array, ARRAY_SIZES[size], machine_types),
        },
    )
}

fn run_step(deployment: &mut Deployment, controller: usize, step: Step) {
    match step {
        Step::Sync => deployment.sync(controller),
        Step::Place { count, salt } => {
            let changes = deployment.placements(controller, usize::from(count), salt.into());
            deployment.write(controller, &changes);
        }
        Step::End { selector } => {
            let changes = deployment.ends(controller, |index, placement| {
                let number = index + placement.attempt + u32::from(selector);
                number.is_multiple_of(3).then(|| !number.is_multiple_of(4))
            });
            deployment.write(controller, &changes);
        }
        Step::Stop { selector } => {
            let changes = stops(deployment, controller, selector);
            deployment.write(controller, &changes);
        }
        Step::Cancel { selector } => {
            let ids: Vec<JobId> = deployment.controllers[controller]
                .view
                .jobs
                .keys()
                .cloned()
                .collect();
            if let Some(id) = ids.get(usize::from(selector)) {
                deployment.cancel(controller, id);
            }
        }
    }
}

fn stops(deployment: &Deployment, controller: usize, selector: u8) -> Vec<JobChange> {
    let jobs = deployment.controllers[controller].view.jobs.iter();
    jobs.flat_map(|(id, job)| {
        let stopped = job
            .placements()
            .filter(move |(index, _)| (index + u32::from(selector)).is_multiple_of(5));
        stopped.map(|(index, placement)| JobChange::Stop {
            job: id.clone(),
            index,
            attempt: placement.attempt,
            grace: 4_000_000 + u64::from(index) * 1000,
        })
    })
    .collect()
}

/// Runs until all jobs have ended. Services are cancelled, all other tasks are done at their next end.
fn settle(deployment: &mut Deployment) {
    for controller in 0..2 {
        deployment.sync(controller);
    }
    let services: Vec<JobId> = {
        let jobs = deployment.controllers[0].view.jobs.iter();
        let services = jobs.filter(|(_, job)| job.spec.kind == JobKind::Service);
        services.map(|(id, _)| id.clone()).collect()
    };
    for id in services {
        deployment.cancel(0, &id);
    }
    for round in 0..SETTLE_ROUNDS {
        let controller = round as usize % 2;
        deployment.sync(controller);
        let placements = deployment.placements(controller, MAX_TASKS as usize, round);
        deployment.write(controller, &placements);
        deployment.sync(controller);
        let ends = deployment.ends(controller, |_, _| Some(true));
        deployment.write(controller, &ends);
        deployment.sync(0);
        if deployment.unfinished_tasks().is_empty() {
            break;
        }
    }
    assert!(
        deployment.unfinished_tasks().is_empty(),
        "tasks that are never placed: {:?}",
        deployment.unfinished_tasks()
    );
    deployment.collect_garbage();
    assert!(
        deployment.keys_of_jobs().is_empty(),
        "{:?}",
        deployment.keys_of_jobs()
    );
}

fn submit_all(deployment: &mut Deployment, jobs: &[JobSpec]) {
    for (number, job) in jobs.iter().enumerate() {
        deployment.submit(&format!("req-{number:06}"), job);
    }
    deployment.sync(1);
}

/// Placement of all waiting tasks of the only job, eight on each machine.
fn place_on_few_machines(deployment: &Deployment) -> JobChange {
    let machine = |index: u32| format!("m-{:06}", index / TASKS_PER_MACHINE).into();
    let job = &deployment.controllers[0].view.jobs[FIRST_JOB];
    let tasks = job
        .waiting_indexes()
        .map(|index| (index, machine(index), 1));
    JobChange::Place {
        job: FIRST_JOB.into(),
        tasks: tasks.collect(),
    }
}

/// Guards against a plain block that outgrows its value while more and more of its tasks are placed, and against an
/// array of which no task is placed any more: entries of tasks that wait take most of the value.
#[test]
fn large_arrays_end_in_plain_form_within_small_values() {
    let mut deployment = Deployment::new((4 * 1024, 12), false);
    submit_all(&mut deployment, &[job(JobKind::Array, 500, 0)]);
    for _ in 0..SETTLE_ROUNDS {
        for _ in 0..3 {
            let Some(_) = deployment.unfinished_tasks().get(FIRST_JOB) else {
                return;
            };
            let place = place_on_few_machines(&deployment);
            deployment.write(0, &[place]);
            deployment.sync(0);
        }
        let ends = deployment.ends(0, |index, _| index.is_multiple_of(2).then_some(true));
        deployment.write(0, &ends);
        deployment.sync(0);
        let ends = deployment.ends(0, |index, placement| {
            Some(!(index + placement.attempt).is_multiple_of(3))
        });
        deployment.write(0, &ends);
        deployment.sync(0);
    }
    panic!("unfinished: {:?}", deployment.unfinished_tasks());
}

/// Guards against a gang of which some tasks are placed and others are not, and against a write that is refused again
/// and again: a gang that does not fit into a plain block waits until blocks are packed.
#[test]
fn gang_that_outgrows_a_plain_block_waits_until_blocks_are_packed() {
    let mut deployment = Deployment::new((2 * 1024, 12), false);
    submit_all(&mut deployment, &[job(JobKind::Gang, 120, 0)]);
    let place = place_on_few_machines(&deployment);
    deployment.write(0, std::slice::from_ref(&place));
    deployment.sync(0);
    assert_eq!(deployment.placed_tasks(), 0);
    deployment.packed = true;
    deployment.write(0, &[place]);
    deployment.sync(0);
    assert_eq!(deployment.placed_tasks(), 120);
}

/// Guards against cancellations that are never confirmed: the record of a job of which no task was placed grows by
/// the entries of its first block when it is written again.
#[test]
fn unplaced_array_can_be_cancelled_in_plain_form_within_small_values() {
    let mut deployment = Deployment::new((2 * 1024, 12), false);
    submit_all(&mut deployment, &[job(JobKind::Array, 256, 0)]);
    deployment.cancel(0, &FIRST_JOB.into());
    settle(&mut deployment);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, max_shrink_iters: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(55), ..ProptestConfig::default() })]

    /// Guards against a form of task blocks that outgrows the limits in force at any step of a job, and against
    /// placements that are lost when controllers with stale views write parts of the same block.
    #[test]
    fn every_write_of_a_job_fits_the_limits_in_force(
        limits in 0..LIMITS.len(),
        jobs in proptest::collection::vec(generated_job(), 1..5),
        steps in proptest::collection::vec((0..2usize, step()), 10..60),
    ) {
        let mut deployment = Deployment::new(LIMITS[limits], true);
        submit_all(&mut deployment, &jobs);
        for (controller, step) in steps {
            run_step(&mut deployment, controller, step);
        }
        settle(&mut deployment);
    }

    /// Guards against the same while an earlier version may be beside this one, and when blocks that it wrote are
    /// packed later: every write in plain form fits as well.
    #[test]
    fn every_write_of_a_job_fits_before_the_layout_is_in_force(
        limits in 0..LIMITS.len(),
        jobs in proptest::collection::vec(generated_job(), 1..5),
        plain_steps in proptest::collection::vec((0..2usize, step()), 10..40),
        packed_steps in proptest::collection::vec((0..2usize, step()), 10..40),
    ) {
        let mut deployment = Deployment::new(LIMITS[limits], false);
        submit_all(&mut deployment, &jobs);
        for (controller, step) in plain_steps {
            run_step(&mut deployment, controller, step);
        }
        deployment.packed = true;
        for (controller, step) in packed_steps {
            run_step(&mut deployment, controller, step);
        }
        settle(&mut deployment);
    }
}
