//! Urgency of the jobs of pipelines: the priority and the deadline that a job inherits from its dependents.
//!
//! A change is propagated in topological order, so that each job is recomputed once, after all dependents of which the
//! urgency may have changed.

use super::{ClusterState, Job, job};
use crate::jobs::model::JobId;
use crate::time::{Micros, SECOND};
use crate::wire::user::Priority;
use foldhash::{HashMap, HashMapExt, HashSet};

/// Time that one step of a pipeline takes in addition to its run time: its end is reported and written, then
/// the next step is placed, its start command is sent and its image is fetched.
const PIPELINE_STEP_OVERHEAD: Micros = 4 * SECOND;

/// Priority and deadline of a job, including those inherited from its dependents.
struct Urgency {
    priority: Priority,
    deadline_at: Option<Micros>,
    deadline_after_submission: Micros,
}

/// Returns the time at which the dependencies of a job have to be done, so that it meets its own deadline.
fn latest_end_of_dependencies(job: &Job) -> Option<Micros> {
    let step_time = job
        .spec
        .estimated_run_time
        .saturating_add(PIPELINE_STEP_OVERHEAD);
    let deadline = job.deadline_at?;
    Some(deadline.saturating_sub(step_time))
}

/// Returns whether a job has a higher priority, or needs an earlier end, than is recorded for its dependency.
fn is_more_urgent(job: &Job, dependency: &Job) -> bool {
    let is_earlier = |end: Micros| dependency.deadline_at.is_none_or(|known| end < known);
    job.priority < dependency.priority || latest_end_of_dependencies(job).is_some_and(is_earlier)
}

impl ClusterState {
    /// Recomputes the priority and deadline of jobs whose dependents changed, and of all jobs on which they depend.
    pub(super) fn refresh_urgency(&mut self, jobs: Vec<JobId>) {
        match &mut self.deferred_urgency {
            Some(deferred) => deferred.extend(jobs),
            None => self.propagate_urgency(jobs),
        }
    }

    /// Recomputes the priority and deadline of a job that was linked to its dependencies, and of those that inherit from
    /// it. A new dependent never makes a job less urgent.
    pub(super) fn refresh_urgency_of_linked(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let inherits = |dependency: &&JobId| {
            let dependency = self.jobs.get(*dependency);
            dependency.is_some_and(|dependency| is_more_urgent(job, dependency))
        };
        let mut jobs: Vec<JobId> = job.dependencies.iter().filter(inherits).cloned().collect();
        jobs.push(id.clone());
        self.refresh_urgency(jobs);
    }

    /// Postpones the recomputation of priorities and deadlines until [`ClusterState::refresh_deferred_urgency`]: a
    /// propagation for each job of a list would visit a pipeline again and again.
    pub fn defer_urgency(&mut self) {
        self.deferred_urgency.get_or_insert_default();
    }

    /// Recomputes the priorities and deadlines that were postponed, and postpones no more.
    pub fn refresh_deferred_urgency(&mut self) {
        let deferred = self.deferred_urgency.take().unwrap_or_default();
        self.propagate_urgency(deferred.into_iter().collect());
    }

    fn propagate_urgency(&mut self, mut jobs: Vec<JobId>) {
        jobs.retain(|id| self.changed_urgency(id).is_some());
        let mut pending_dependents = self.count_dependents_among_ancestors(&jobs);
        let mut outdated: HashSet<JobId> = jobs.into_iter().collect();
        let mut ready: Vec<JobId> = pending_dependents
            .iter()
            .filter(|(_, count)| **count == 0)
            .map(|(id, _)| id.clone())
            .collect();
        while let Some(id) = ready.pop() {
            let changed = outdated.remove(&id) && self.update_urgency(&id);
            let dependencies = self.jobs.get(&id).map(|job| &job.dependencies);
            for dependency in dependencies.into_iter().flatten() {
                let Some(count) = pending_dependents.get_mut(dependency) else {
                    continue;
                };
                *count -= 1;
                if *count == 0 {
                    ready.push(dependency.clone());
                }
                if changed {
                    outdated.insert(dependency.clone());
                }
            }
        }
    }

    /// Returns the jobs and all unfinished jobs on which they depend, directly or through others, each with the number
    /// of its dependents among them.
    fn count_dependents_among_ancestors(&self, jobs: &[JobId]) -> HashMap<JobId, usize> {
        let mut counts: HashMap<JobId, usize> = HashMap::new();
        for id in jobs {
            counts.insert(id.clone(), 0);
        }
        let mut pending: Vec<JobId> = counts.keys().cloned().collect();
        while let Some(id) = pending.pop() {
            let dependencies = self.jobs.get(&id).map(|job| &job.dependencies);
            for dependency in dependencies.into_iter().flatten() {
                if !self.jobs.contains_key(dependency) {
                    continue;
                }
                let count = counts.entry(dependency.clone()).or_insert_with(|| {
                    pending.push(dependency.clone());
                    0
                });
                *count += 1;
            }
        }
        counts
    }

    /// Recomputes the urgency of one job. Returns whether it changed.
    fn update_urgency(&mut self, id: &JobId) -> bool {
        let changed = self.changed_urgency(id);
        if let (Some(urgency), Some(job)) = (&changed, self.jobs.get_mut(id)) {
            job.priority = urgency.priority;
            job.deadline_at = urgency.deadline_at;
            job.deadline_after_submission = urgency.deadline_after_submission;
        }
        changed.is_some()
    }

    /// Returns the urgency of a job if it differs from the recorded one.
    fn changed_urgency(&self, id: &JobId) -> Option<Urgency> {
        let job = self.jobs.get(id)?;
        let urgency = self.urgency(id, job);
        let recorded = (job.priority, job.deadline_at);
        ((urgency.priority, urgency.deadline_at) != recorded).then_some(urgency)
    }

    /// Returns the highest priority and the earliest deadline among the job's own and those of its
    /// dependents. The time that a dependent itself takes is subtracted from its deadline.
    fn urgency(&self, id: &JobId, job: &Job) -> Urgency {
        let mut urgency = Urgency {
            priority: job.spec.priority,
            deadline_at: job::own_deadline(&job.spec),
            deadline_after_submission: job.spec.deadline.unwrap_or(0),
        };
        for dependent in self.dependents.get(id).into_iter().flatten() {
            let Some(dependent) = self.jobs.get(dependent).filter(|job| !job.cancelled()) else {
                continue;
            };
            urgency.priority = urgency.priority.min(dependent.priority);
            let latest_end = latest_end_of_dependencies(dependent);
            let is_earlier = |end: Micros| urgency.deadline_at.is_none_or(|known| end < known);
            if latest_end.is_some_and(is_earlier) {
                urgency.deadline_at = latest_end;
                urgency.deadline_after_submission = dependent.deadline_after_submission;
            }
        }
        urgency
    }
}
