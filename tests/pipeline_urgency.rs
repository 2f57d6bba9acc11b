//! Priority and deadline that the jobs of pipelines inherit from their dependents, and what it takes to derive them.

mod common;

use common::spec;
use coppergw::jobs::model::{JobId, JobIdList, JobRecord, JobSpec, TaskBlock};
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::time::{Micros, SECOND};
use coppergw::wire::to_value;
use coppergw::wire::user::{JobKind, Priority};
use proptest::prelude::*;
use std::time::{Duration, Instant};

/// Time that a step takes in addition to its run time.
const STEP_OVERHEAD: Micros = 4 * SECOND;
/// Steps of a large pipeline, and the jobs of each, which all depend on every job of the step before.
const STEPS: u32 = 42;
const JOBS_PER_STEP: u32 = 45;
/// Time within which a controller has to answer again after its start, in which it loads all jobs.
const MAX_LOAD_TIME: Duration = Duration::from_secs(60);

fn job_id(number: u32) -> JobId {
    format!("req-{number:06}").as_str().into()
}

/// Returns a step of a pipeline that depends on these jobs.
fn step(estimated_run_time: Micros, dependencies: Vec<JobId>) -> JobSpec {
    let mut step = spec(JobKind::Array, 1);
    step.estimated_run_time = estimated_run_time;
    step.dependencies.jobs = JobIdList(dependencies);
    step
}

fn put(view: &mut ClusterState, id: &JobId, spec: &JobSpec) {
    let record = JobRecord(spec.clone(), TaskBlock::default());
    let revision = view.revision + 1;
    view.put(&keys::job(id), &to_value(&record), revision);
    view.revision = revision;
}

/// Returns a job that depends on others, with high priority and a deadline.
fn last_step(dependencies: Vec<JobId>) -> JobSpec {
    JobSpec {
        priority: Priority::High,
        deadline: Some(600 * SECOND),
        ..step(10 * SECOND, dependencies)
    }
}

/// Guards against steps that do not inherit from the last job of their pipeline, because it is submitted after them.
#[test]
fn steps_inherit_from_a_job_that_is_submitted_after_them() {
    let mut view = ClusterState::default();
    put(&mut view, &job_id(1), &step(10 * SECOND, Vec::new()));
    put(&mut view, &job_id(2), &step(10 * SECOND, vec![job_id(1)]));
    put(&mut view, &job_id(3), &last_step(vec![job_id(2)]));
    for number in [1, 2] {
        let job = &view.jobs[&job_id(number)];
        assert_eq!(job.priority, Priority::High, "{number}");
        assert!(job.deadline_at.is_some(), "{number}");
    }
}

/// Guards against steps that keep the priority and the deadline of a job that was cancelled, by its user or with another
/// job on which it depends.
#[test]
fn steps_inherit_nothing_from_a_cancelled_job() {
    for cancelled in [2, 3] {
        let mut view = ClusterState::default();
        put(&mut view, &job_id(1), &step(10 * SECOND, Vec::new()));
        put(&mut view, &job_id(2), &step(10 * SECOND, Vec::new()));
        put(
            &mut view,
            &job_id(3),
            &last_step(vec![job_id(1), job_id(2)]),
        );
        assert_eq!(view.jobs[&job_id(1)].priority, Priority::High);
        let spec = view.jobs[&job_id(cancelled)].spec.as_ref().clone();
        let spec = JobSpec {
            cancelled: true,
            ..spec
        };
        put(&mut view, &job_id(cancelled), &spec);
        let job = &view.jobs[&job_id(1)];
        assert_eq!(
            (job.priority, job.deadline_at),
            (Priority::Normal, None),
            "{cancelled}"
        );
    }
}

/// Returns the priority and the deadline of a job, derived from all its dependents without any memory.
fn expected_urgency(view: &ClusterState, id: &JobId) -> (Priority, Option<Micros>) {
    let spec = &view.jobs[id].spec;
    let own_deadline = spec.deadline.map(|deadline| spec.submitted_at + deadline);
    let dependents = view.jobs.iter().filter(|(_, dependent)| {
        dependent.spec.dependencies.jobs.0.contains(id) && !dependent.cancelled()
    });
    dependents.fold(
        (spec.priority, own_deadline),
        |(priority, deadline), (id, dependent)| {
            let (inherited_priority, inherited) = expected_urgency(view, id);
            let step_time = dependent.spec.estimated_run_time + STEP_OVERHEAD;
            let inherited = inherited.map(|deadline| deadline.saturating_sub(step_time));
            let deadline = [deadline, inherited].into_iter().flatten().min();
            (priority.min(inherited_priority), deadline)
        },
    )
}

fn assert_urgency_of_all(view: &ClusterState) {
    for (id, job) in &view.jobs {
        assert_eq!(
            (job.priority, job.deadline_at),
            expected_urgency(view, id),
            "{id}"
        );
    }
}

/// A job of a generated pipeline.
#[derive(Clone, Debug)]
struct GeneratedJob {
    /// For each earlier job, whether this one depends on it.
    dependencies: Vec<bool>,
    estimated_run_time_s: u64,
    deadline_s: Option<u64>,
    priority: Priority,
}

impl GeneratedJob {
    fn spec(&self, index: usize) -> JobSpec {
        let earlier = (0..index).filter(|other| self.dependencies[*other]);
        let dependencies = earlier.map(|other| job_id(other as u32)).collect();
        JobSpec {
            deadline: self.deadline_s.map(|deadline| deadline * SECOND),
            priority: self.priority,
            ..step(self.estimated_run_time_s * SECOND, dependencies)
        }
    }
}

/// Largest number of jobs of a generated pipeline.
const MAX_JOBS: usize = 9;

fn generated_job() -> impl Strategy<Value = GeneratedJob> {
    let priority = prop_oneof![
        Just(Priority::High),
        Just(Priority::Normal),
        Just(Priority::Low)
    ];
    let dependencies = prop::collection::vec(any::<bool>(), MAX_JOBS);
    let deadline_s = prop::option::of(100..900u64);
    (dependencies, 1..90u64, deadline_s, priority).prop_map(
        |(dependencies, estimated_run_time_s, deadline_s, priority)| GeneratedJob {
            dependencies,
            estimated_run_time_s,
            deadline_s,
            priority,
        },
    )
}

/// The jobs of a pipeline, the order in which they are read, and jobs that are cancelled and removed afterwards.
fn generated_pipeline() -> impl Strategy<Value = (Vec<GeneratedJob>, Vec<usize>, Vec<(usize, bool)>)>
{
    prop::collection::vec(generated_job(), 1..=MAX_JOBS).prop_flat_map(|jobs| {
        let order = Just((0..jobs.len()).collect::<Vec<_>>()).prop_shuffle();
        let ends = prop::collection::vec((0..jobs.len(), any::<bool>()), 0..4);
        (Just(jobs), order, ends)
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(52), ..ProptestConfig::default() })]

    /// Guards against a priority or deadline that depends on the order in which jobs are read, cancelled and removed.
    #[test]
    fn urgency_is_that_of_the_most_urgent_dependents((jobs, order, ends) in generated_pipeline(), deferred in any::<bool>()) {
        let mut view = ClusterState::default();
        if deferred {
            view.defer_urgency();
        }
        for index in order {
            put(&mut view, &job_id(index as u32), &jobs[index].spec(index));
        }
        if deferred {
            view.refresh_deferred_urgency();
        }
        assert_urgency_of_all(&view);
        for (index, removed) in ends {
            let id = job_id(index as u32);
            if removed {
                let revision = view.revision + 1;
                view.delete(&keys::job(&id), revision);
                view.revision = revision;
            } else {
                let cancelled = JobSpec { cancelled: true, ..jobs[index].spec(index) };
                put(&mut view, &id, &cancelled);
            }
            assert_urgency_of_all(&view);
        }
    }
}

/// Returns the jobs of a large pipeline whose last job alone has a deadline, in the order of their submission.
fn large_pipeline() -> Vec<(JobId, JobSpec)> {
    // Multiplying by an odd number scatters ids and estimates.
    let scattered = |number: u32| number.wrapping_mul(2_654_435_761) >> 12;
    let mut jobs = Vec::new();
    let mut before: Vec<JobId> = Vec::new();
    for number in 0..STEPS {
        let numbers = number * JOBS_PER_STEP..(number + 1) * JOBS_PER_STEP;
        let ids: Vec<JobId> = numbers
            .clone()
            .map(|number| job_id(scattered(number)))
            .collect();
        for (number, id) in numbers.zip(&ids) {
            let estimate = SECOND * u64::from(10 + scattered(number + 7) % 110);
            let spec = JobSpec {
                deadline: None,
                ..step(estimate, before.clone())
            };
            jobs.push((id.clone(), spec));
        }
        before = ids;
    }
    let last = JobSpec {
        deadline: Some(3600 * SECOND),
        ..step(8 * SECOND, before)
    };
    // The largest id, so that it is read last in the order of ids.
    jobs.push((job_id(9_999_999), last));
    jobs
}

/// Guards against a controller that answers nothing after its start, or after the last job of a pipeline is submitted: a
/// deadline was propagated along each path of the pipeline.
#[test]
fn deadline_of_a_large_pipeline_is_propagated_once() {
    let mut jobs = large_pipeline();
    for by_id in [false, true] {
        if by_id {
            jobs.sort_by(|one, other| one.0.cmp(&other.0));
        }
        let start = Instant::now();
        let mut view = ClusterState::default();
        for (id, spec) in &jobs {
            put(&mut view, id, spec);
        }
        assert!(view.jobs.values().all(|job| job.deadline_at.is_some()));
        let elapsed = start.elapsed();
        println!(
            "in the order of ids: {by_id}, {} jobs in {elapsed:?}",
            jobs.len()
        );
        assert!(elapsed < MAX_LOAD_TIME, "{elapsed:?}");
    }
}
