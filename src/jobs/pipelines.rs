//! Pipelines: which jobs a submission may depend on, and the answer about a job. Pure functions of the
//! cluster state.

use super::model::{FinishedJob, JobId};
use crate::store::cluster_state::ClusterState;
use crate::wire::user::{JobAnswer, JobKind, Status};
use std::collections::BTreeSet;

/// Largest number of unfinished dependencies in an answer, which keeps it short.
const MAX_SHOWN_DEPENDENCIES: usize = 20;

/// What the cluster state says about the jobs that a submission names as its dependencies.
#[derive(Debug, PartialEq)]
pub enum DependencyCheck {
    /// The dependencies to store: without those that are done; if one is cancelled, only that one,
    /// since it decides how the new job ends.
    Accepted(Vec<JobId>),
    /// Neither unfinished jobs nor the ends of these are known here: they have to be read.
    Unknown(Vec<JobId>),
    /// The submission can never run; answered with status 422. Says why.
    Impossible(&'static str),
}

/// Checks the jobs that the submission `own` names.
pub fn check_dependencies(view: &ClusterState, own: &str, names: &[String]) -> DependencyCheck {
    let names: BTreeSet<&str> = names.iter().map(String::as_str).collect();
    if names.contains(own) {
        return DependencyCheck::Impossible("waits for itself");
    }
    let mut dependencies = Vec::new();
    let mut unknown = Vec::new();
    let mut cancelled = None;
    for name in names {
        match (view.known_finished_job(name), view.jobs.get(name)) {
            (Some(end), _) if end.cancelled => cancelled = Some(name),
            (Some(_), _) => {}
            (None, Some(job)) if job.spec.kind == JobKind::Service => {
                return DependencyCheck::Impossible("waits for a service");
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

/// The answer about a job that has ended.
pub fn final_answer(id: &str, finished: FinishedJob) -> JobAnswer {
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

/// The answer about a job according to the cluster state; `None` if it does not know the job. Only a
/// final state may be answered without a newer read, and nothing while a job that it depends on is
/// unknown (`ClusterState::unknown_above`).
pub fn answer(view: &ClusterState, id: &str) -> Option<JobAnswer> {
    if let Some(finished) = view.known_finished_job(id) {
        return Some(final_answer(id, finished));
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
