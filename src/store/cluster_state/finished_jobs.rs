//! Finished jobs: a cache of recently read final states, and the ends of jobs that are not yet included in
//! the service level totals.

use super::ClusterState;
use crate::fairness::service_levels::{self, JobEnd};
use crate::jobs::model::{FinishedJob, JobId};
use crate::store::keys;
use crate::wire::from_value;
use ciborium::Value;
use foldhash::HashMap;
use std::collections::VecDeque;

/// Number of final states kept for status requests and dependencies. Older ones are read from the state
/// service again.
const MAX_FINISHED_JOBS: usize = 20_000;
/// Number of job ends kept for the leader to add to the totals. If more jobs end between two writes of the
/// leader, the oldest are missing from the totals.
const MAX_JOB_ENDS: usize = 5_000;

/// Cache of recently read final states. The oldest entries are evicted first.
#[derive(Default)]
pub(super) struct FinishedJobCache {
    by_id: HashMap<JobId, FinishedJob>,
    insertion_order: VecDeque<JobId>,
}

impl FinishedJobCache {
    pub(super) fn get(&self, id: &str) -> Option<FinishedJob> {
        self.by_id.get(id).copied()
    }

    fn insert(&mut self, id: &JobId, finished: FinishedJob) {
        if self.by_id.insert(id.clone(), finished).is_some() {
            return;
        }
        self.insertion_order.push_back(id.clone());
        while self.insertion_order.len() > MAX_FINISHED_JOBS {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.by_id.remove(&oldest);
            }
        }
    }
}

/// Ends of jobs in the order in which they were read. The oldest entries are evicted first.
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
    /// Adds a final state that was written or read to the cache. No key version is kept for it: final states
    /// never change, and there are too many to keep a version of each.
    pub(super) fn apply_finished_job(&mut self, key: &str, id: &str, value: Option<&Value>) {
        if let Some(finished) = value.and_then(from_value) {
            self.cache_finished_job(&id.into(), finished);
        }
        self.key_versions.remove_version(key);
    }

    /// Caches a final state and refreshes the jobs that depend on that job.
    pub fn cache_finished_job(&mut self, id: &JobId, finished: FinishedJob) {
        if let Some(dependents) = self.dependents.get(id) {
            let dependents = dependents.iter().cloned().collect();
            self.finished_dependencies.insert(id.clone(), finished);
            self.change_count += 1;
            self.refresh_readiness(dependents);
        }
        self.finished_jobs.insert(id, finished);
    }

    /// Returns a job's final state if it is in the cache.
    pub fn finished_job(&self, id: &str) -> Option<FinishedJob> {
        self.finished_jobs.get(id)
    }

    /// Returns a job's final state if it is in the cache or unfinished jobs depend on that job.
    pub fn known_finished_job(&self, id: &str) -> Option<FinishedJob> {
        self.finished_job(id)
            .or_else(|| self.finished_dependencies.get(id).copied())
    }

    /// Returns the recent ends of jobs in the order in which they were read.
    pub fn recent_job_ends(&self) -> impl Iterator<Item = &JobEnd> {
        self.recent_job_ends.0.iter()
    }

    /// Records how a job ended if the key to be deleted is a job record. Must be called before the deletion
    /// is applied.
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
            started: done || service_levels::has_started(job),
            done,
        });
    }
}
