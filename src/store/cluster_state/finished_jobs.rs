//! Jobs that ended: their final states, as far as they were read lately, and what the totals of the service
//! levels have yet to count.

use super::ClusterState;
use crate::fairness::service_levels::{self, JobEnd};
use crate::jobs::model::{FinishedJob, JobId};
use crate::store::keys;
use crate::wire::from_value;
use ciborium::Value;
use foldhash::HashMap;
use std::collections::VecDeque;

/// Final states kept for polls and dependencies; older ones are read from the state service again.
const MAX_FINISHED_JOBS: usize = 20_000;
/// Ends of jobs kept for the leader to add up. If more jobs end between two of its writes, the oldest are
/// missing from the totals.
const MAX_JOB_ENDS: usize = 5_000;

/// Final states read lately; the oldest go first.
#[derive(Default)]
pub(super) struct FinishedJobCache {
    by_id: HashMap<JobId, FinishedJob>,
    order: VecDeque<JobId>,
}

impl FinishedJobCache {
    pub(super) fn get(&self, id: &str) -> Option<FinishedJob> {
        self.by_id.get(id).copied()
    }

    fn insert(&mut self, id: &JobId, finished: FinishedJob) {
        if self.by_id.insert(id.clone(), finished).is_some() {
            return;
        }
        self.order.push_back(id.clone());
        while self.order.len() > MAX_FINISHED_JOBS {
            if let Some(oldest) = self.order.pop_front() {
                self.by_id.remove(&oldest);
            }
        }
    }
}

/// Ends of jobs in the order in which they were read; the oldest go first.
#[derive(Default)]
pub(super) struct RecentJobEnds(VecDeque<JobEnd>);

impl RecentJobEnds {
    fn push(&mut self, end: JobEnd) {
        self.0.push_back(end);
        while self.0.len() > MAX_JOB_ENDS {
            self.0.pop_front();
        }
    }
}

impl ClusterState {
    /// A final state was written or read. It enters the cache and needs no key version: final states are
    /// never changed, and there are too many to keep a version of each.
    pub(super) fn apply_finished_job(&mut self, key: &str, id: &str, value: Option<&Value>) {
        if let Some(finished) = value.and_then(from_value) {
            self.remember_finished_job(&id.into(), finished);
        }
        self.key_versions.forget(key);
    }

    /// Keeps a final state at hand, and refreshes the jobs that depend on that job.
    pub fn remember_finished_job(&mut self, id: &JobId, finished: FinishedJob) {
        if let Some(dependents) = self.dependents.get(id) {
            let dependents = dependents.iter().cloned().collect();
            self.finished_dependencies.insert(id.clone(), finished);
            self.epoch += 1;
            self.refresh_readiness(dependents);
        }
        self.finished_jobs.insert(id, finished);
    }

    /// A job's final state, if it was read lately.
    pub fn finished_job(&self, id: &str) -> Option<FinishedJob> {
        self.finished_jobs.get(id)
    }

    /// A job's final state, if it was read lately or unfinished jobs depend on that job.
    pub fn known_finished_job(&self, id: &str) -> Option<FinishedJob> {
        self.finished_job(id)
            .or_else(|| self.finished_dependencies.get(id).copied())
    }

    /// Ends of jobs, in the order in which they were read.
    pub fn recent_job_ends(&self) -> impl Iterator<Item = &JobEnd> {
        self.recent_job_ends.0.iter()
    }

    /// Before the deletion of a key at a revision is applied: if it is a job's record, notes how the job ended.
    pub(super) fn record_job_end(&mut self, key: &str, revision: u64) {
        let Some(id) = key.strip_prefix(keys::JOBS) else {
            return;
        };
        let Some(job) = self.jobs.get(id) else { return };
        let done = match self.finished_job(id) {
            Some(finished) => !finished.cancelled,
            None => job.done == job.spec.task_count,
        };
        self.recent_job_ends.push(JobEnd {
            revision,
            class_and_team: service_levels::class_and_team_key(&job.spec.class, &job.spec.team),
            started: done || service_levels::started(job),
            done,
        });
    }
}
