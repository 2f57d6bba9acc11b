//! Pipelines: checks the dependencies of a submission, and derives the answer about a job. Pure functions
//! of the cluster state.

use super::model::{FinishedJob, JobId};
use crate::store::cluster_state::ClusterState;
use crate::wire::user::{JobAnswer, JobKind, Status};
use std::collections::BTreeSet;

/// Largest number of unfinished dependencies in an answer, to limit its size.
const MAX_SHOWN_DEPENDENCIES: usize = 20;

/// Result of checking the dependencies of a submission against the cluster state.
#[derive(Debug, PartialEq)]
pub enum DependencyCheck {
    /// The dependencies that have to be stored: those that are not done or, if one of them has ended as
    /// cancelled, only that one, because it determines the final state of the new job.
    Accepted(Vec<JobId>),
    /// Jobs that are neither among the unfinished jobs nor among the known final states: their final states
    /// have to be read.
    Unknown(Vec<JobId>),
    /// The job can never run; answered with status 422. Contains the reason.
    Infeasible(&'static str),
}

/// Checks the dependencies `names` of a submission with the id `id`.
pub fn check_dependencies(view: &ClusterState, id: &str, names: &[String]) -> DependencyCheck {
    let names: BTreeSet<&str> = names.iter().map(String::as_str).collect();
    if names.contains(id) {
        return DependencyCheck::Infeasible("waits for itself");
    }
    let mut dependencies = Vec::new();
    let mut unknown = Vec::new();
    let mut cancelled = None;
    for name in names {
        match (view.known_finished_job(name), view.jobs.get(name)) {
            (Some(end), _) if end.cancelled => cancelled = Some(name),
            (Some(_), _) => {}
            (None, Some(job)) if job.spec.kind == JobKind::Service => {
                return DependencyCheck::Infeasible("waits for a service");
            }
            (None, Some(_)) => dependencies.push(name.into()),
            (None, None) => unknown.push(name.into()),
        }
    }
    match (unknown.is_empty(), cancelled) {
        (false, _) => DependencyCheck::Unknown(unknown),
        (true, Some(name)) => DependencyCheck::Accepted(vec![name.into()]),
        (true, None) => DependencyCheck::Accepted(dependencies),
    }
}

/// Returns the answer about a job that has ended.
pub fn finished_job_answer(id: &str, finished: FinishedJob) -> JobAnswer {
    JobAnswer {
        id: id.into(),
        status: if finished.cancelled {
            Status::Cancelled
        } else {
            Status::Done
        },
        done: finished.done,
        running: 0,
        dependencies: Vec::new(),
    }
}

/// Returns the answer about a job according to the cluster state; `None` if the job is not in it. Callers
/// may answer without a newer read only if the state is final, and not at all while the state of a direct
/// or indirect dependency is unknown (`ClusterState::unknown_ancestors`).
pub fn job_answer(view: &ClusterState, id: &str) -> Option<JobAnswer> {
    if let Some(finished) = view.known_finished_job(id) {
        return Some(finished_job_answer(id, finished));
    }
    let job = view.jobs.get(id)?;
    Some(JobAnswer {
        id: id.into(),
        status: if job.cancelled() {
            Status::Cancelled
        } else if job.placed > 0 {
            Status::Running
        } else {
            Status::Pending
        },
        done: job.done,
        running: job.placed,
        dependencies: job
            .dependencies
            .iter()
            .filter(|dependency| view.known_finished_job(dependency).is_none())
            .take(MAX_SHOWN_DEPENDENCIES)
            .map(|dependency| dependency.to_string())
            .collect(),
    })
}
