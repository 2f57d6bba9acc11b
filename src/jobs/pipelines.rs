//! Pipelines: what a submission may wait for, and what is told of a job. Pure.

use super::model::{FinishedJob, JobId};
use crate::store::cluster_state::ClusterState;
use crate::wire::user::{JobAnswer, JobKind, Status};
use std::collections::BTreeSet;

/// So many of the jobs that a job waits for are shown.
const SHOWN: usize = 20;

/// What the view says of the jobs that a submission names.
#[derive(Debug, PartialEq)]
pub enum DependencyCheck {
    /// These count: not those that are done, and of one that is cancelled nothing but that.
    Accepted(Vec<JobId>),
    /// Of these nothing is at hand: neither unfinished nor how they ended.
    Unknown(Vec<JobId>),
    /// Answered 422.
    Impossible(&'static str),
}

/// Looks at the jobs that a submission names.
pub fn check_dependencies(view: &ClusterState, own: &str, names: &[String]) -> DependencyCheck {
    let names: BTreeSet<&str> = names.iter().map(String::as_str).collect();
    if names.contains(own) {
        return DependencyCheck::Impossible("waits for itself");
    }
    let (mut needs, mut unknown) = (Vec::new(), Vec::new());
    let mut cancelled = None;
    for n in names {
        match (view.known_finished_job(n), view.jobs.get(n)) {
            (Some(f), _) if f.cancelled => cancelled = Some(n),
            (Some(_), _) => {}
            (None, Some(j)) if j.spec.kind == JobKind::Service => {
                return DependencyCheck::Impossible("waits for a service");
            }
            (None, Some(_)) => needs.push(n.into()),
            (None, None) => unknown.push(n.into()),
        }
    }
    match (unknown.is_empty(), cancelled) {
        (false, _) => DependencyCheck::Unknown(unknown),
        (true, Some(n)) => DependencyCheck::Accepted(vec![n.into()]),
        (true, None) => DependencyCheck::Accepted(needs),
    }
}

/// The answer of a job that is over.
pub fn final_answer(id: &str, f: FinishedJob) -> JobAnswer {
    JobAnswer {
        id: id.into(),
        status: if f.cancelled {
            Status::Cancelled
        } else {
            Status::Done
        },
        done: f.done,
        running: 0,
        dependencies: Vec::new(),
    }
}

/// What the view says of a job. Only a final state may be told without a newer read; and nothing
/// while something is unknown of the jobs that it needs (`ClusterState::unknown_above`).
pub fn answer(view: &ClusterState, id: &str) -> Option<JobAnswer> {
    if let Some(f) = view.known_finished_job(id) {
        return Some(final_answer(id, f));
    }
    let j = view.jobs.get(id)?;
    Some(JobAnswer {
        id: id.into(),
        status: if j.cancelled() {
            Status::Cancelled
        } else if j.placed > 0 {
            Status::Running
        } else {
            Status::Pending
        },
        done: j.done,
        running: j.placed,
        dependencies: j
            .dependencies
            .iter()
            .filter(|n| view.known_finished_job(n).is_none())
            .take(SHOWN)
            .map(|n| n.to_string())
            .collect(),
    })
}
