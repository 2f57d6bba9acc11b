//! Pipelines: what a submission may wait for, and what is told of a job. Pure.

use super::model::{Final, JobId};
use crate::store::cluster_state::View;
use crate::wire::user::{JobAnswer, Shape, Status};
use std::collections::BTreeSet;

/// So many of the jobs that a job waits for are shown.
const SHOWN: usize = 20;

/// What the view says of the jobs that a submission names.
#[derive(Debug, PartialEq)]
pub enum Named {
    /// These count: not those that are done, and of one that is cancelled nothing but that.
    Needs(Vec<JobId>),
    /// Of these nothing is at hand: neither unfinished nor how they ended.
    Unknown(Vec<JobId>),
    /// Answered 422.
    Impossible(&'static str),
}

/// Looks at the jobs that a submission names.
pub fn named(view: &View, own: &str, names: &[String]) -> Named {
    let names: BTreeSet<&str> = names.iter().map(String::as_str).collect();
    if names.contains(own) {
        return Named::Impossible("waits for itself");
    }
    let (mut needs, mut unknown) = (Vec::new(), Vec::new());
    let mut cancelled = None;
    for n in names {
        match (view.ended(n), view.jobs.get(n)) {
            (Some(f), _) if f.cancelled => cancelled = Some(n),
            (Some(_), _) => {}
            (None, Some(j)) if j.spec.kind == Shape::Service => {
                return Named::Impossible("waits for a service");
            }
            (None, Some(_)) => needs.push(n.into()),
            (None, None) => unknown.push(n.into()),
        }
    }
    match (unknown.is_empty(), cancelled) {
        (false, _) => Named::Unknown(unknown),
        (true, Some(n)) => Named::Needs(vec![n.into()]),
        (true, None) => Named::Needs(needs),
    }
}

/// The answer of a job that is over.
pub fn final_answer(id: &str, f: Final) -> JobAnswer {
    JobAnswer {
        id: id.into(),
        status: if f.cancelled {
            Status::Cancelled
        } else {
            Status::Done
        },
        done: f.done,
        running: 0,
        waits_on: Vec::new(),
    }
}

/// What the view says of a job. Only a final state may be told without a newer read; and nothing
/// while something is unknown of the jobs that it needs (`View::unknown_above`).
pub fn answer(view: &View, id: &str) -> Option<JobAnswer> {
    if let Some(f) = view.ended(id) {
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
        waits_on: j
            .needs
            .iter()
            .filter(|n| view.ended(n).is_none())
            .take(SHOWN)
            .map(|n| n.to_string())
            .collect(),
    })
}
