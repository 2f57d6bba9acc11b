//! Priority and deadline that the jobs of pipelines inherit from their dependents, and what it takes to derive them.

mod common;

use common::spec;
use coppergw::jobs::model::{JobId, JobIdList, JobRecord, JobSpec, TaskBlock};
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::time::{Micros, SECOND};
use coppergw::wire::to_value;
use coppergw::wire::user::{JobKind, Priority};

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
