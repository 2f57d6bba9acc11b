//! Pipelines: dependencies between jobs, and the properties derived from them for each job: whether it may
//! start, and whether it is cancelled with a dependency. `urgency` derives what it inherits from its dependents.

use super::{ClusterState, Job};
use crate::jobs::model::{JobId, JobIdList};
use crate::time::Micros;
use crate::wire::from_value;
use ciborium::Value;
use foldhash::{HashSet, HashSetExt};
use std::collections::BTreeMap;

/// Properties of a job that are derived from its dependencies.
struct Readiness {
    ready: bool,
    dependency_cancelled: bool,
    waiting_since: Micros,
}

impl ClusterState {
    pub(super) fn apply_dependency_list(&mut self, name: &str, value: Option<&Value>) {
        let Some((id, Ok(number))) = name
            .split_once('/')
            .map(|(id, number)| (id, number.parse()))
        else {
            return;
        };
        let id: JobId = id.into();
        let lists = self.dependency_lists.entry(id.clone()).or_default();
        match value.and_then(from_value) {
            Some(JobIdList(list)) => {
                lists.insert(number, list);
            }
            None => {
                lists.remove(&number);
            }
        }
        if lists.is_empty() {
            self.dependency_lists.remove(&id);
        }
        self.link_dependencies(&id);
    }

    /// Links a job to its dependencies, from its record and from its dependency lists, once its record is
    /// known.
    pub(super) fn link_dependencies(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.spec.dependencies.is_empty() {
            return;
        }
        job.dependencies = job.spec.dependencies.jobs.0.clone();
        for list in self.dependency_lists.get(id).into_iter().flatten() {
            job.dependencies.extend(list.1.iter().cloned());
        }
        job.in_pipeline = true;
        for dependency in job.dependencies.clone() {
            let finished = self.finished_jobs.get(&dependency);
            if let (Some(finished), false) = (
                finished,
                self.finished_dependencies.contains_key(&dependency),
            ) {
                self.finished_dependencies
                    .insert(dependency.clone(), finished);
            }
            if let Some(job) = self.jobs.get_mut(&dependency) {
                job.in_pipeline = true;
            }
            self.dependents
                .entry(dependency)
                .or_default()
                .insert(id.clone());
        }
        self.refresh_readiness(vec![id.clone()]);
        self.refresh_urgency_of_linked(id);
    }

    /// Removes a job from the dependents of its dependencies.
    pub(super) fn unlink_dependencies(&mut self, id: &JobId, dependencies: &[JobId]) {
        for dependency in dependencies {
            if let Some(dependents) = self.dependents.get_mut(dependency) {
                dependents.remove(id);
                if dependents.is_empty() {
                    self.dependents.remove(dependency);
                    self.finished_dependencies.remove(dependency);
                }
            }
        }
    }

    /// Recomputes whether jobs may start and whether they are cancelled with a dependency. A cancellation
    /// propagates to all jobs downstream immediately, without an intermediate write.
    pub(super) fn refresh_readiness(&mut self, mut pending: Vec<JobId>) {
        let mut inheriting_jobs = Vec::new();
        while let Some(id) = pending.pop() {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let readiness = self.readiness(&id, job);
            let changed = job.dependency_cancelled != readiness.dependency_cancelled;
            if let Some(job) = self.jobs.get_mut(&id) {
                job.ready = readiness.ready;
                job.dependency_cancelled = readiness.dependency_cancelled;
                job.waiting_since = readiness.waiting_since;
            }
            self.index_job(&id);
            if changed {
                self.change_count += 1;
                pending.extend(self.dependents.get(&id).into_iter().flatten().cloned());
                let job = self.jobs.get(&id);
                inheriting_jobs.extend(job.into_iter().flat_map(|job| &job.dependencies).cloned());
            }
        }
        self.refresh_urgency(inheriting_jobs);
    }

    fn readiness(&self, id: &JobId, job: &Job) -> Readiness {
        let lists_read = self.dependency_lists.get(id).map_or(0, BTreeMap::len);
        let mut all_dependencies_done = lists_read >= job.spec.dependencies.keys as usize;
        let mut any_dependency_cancelled = false;
        let mut waiting_since = job.spec.submitted_at;
        for dependency in &job.dependencies {
            let finished = self.finished_dependencies.get(dependency);
            match (finished, self.jobs.get(dependency)) {
                (Some(finished), _) if !finished.cancelled => {
                    waiting_since = waiting_since.max(finished.finished_at);
                }
                (Some(_), _) => any_dependency_cancelled = true,
                (None, Some(unfinished)) => {
                    all_dependencies_done = false;
                    any_dependency_cancelled |= unfinished.cancelled();
                }
                (None, None) => all_dependencies_done = false,
            }
        }
        Readiness {
            ready: all_dependencies_done && !any_dependency_cancelled,
            dependency_cancelled: any_dependency_cancelled,
            waiting_since,
        }
    }

    /// Returns the direct and indirect dependencies of a job that are unknown: neither unfinished jobs nor
    /// jobs with a known final state. Until they are known, the state of this job cannot be determined.
    pub fn unknown_ancestors(&self, id: &str) -> Vec<JobId> {
        let mut unknown = Vec::new();
        let mut seen: HashSet<&str> = HashSet::new();
        let mut pending: Vec<&str> = vec![id];
        while let Some(next) = pending.pop() {
            let job = self.jobs.get(next);
            for dependency in job.into_iter().flat_map(|job| &job.dependencies) {
                if self.finished_dependencies.contains_key(dependency) || !seen.insert(dependency) {
                    continue;
                }
                if self.jobs.contains_key(dependency) {
                    pending.push(dependency);
                } else {
                    unknown.push(dependency.clone());
                }
            }
        }
        unknown
    }

    /// Returns the unknown direct dependencies of all unfinished jobs.
    pub fn unknown_dependencies(&self) -> Vec<JobId> {
        let known =
            |id: &JobId| self.finished_dependencies.contains_key(id) || self.jobs.contains_key(id);
        self.dependents
            .keys()
            .filter(|id| !known(id))
            .cloned()
            .collect()
    }

    /// Returns the number of tasks that may start now or soon. While the job waits for dependencies, its
    /// waiting tasks count only if each dependency has finished or runs without waiting tasks: they may then
    /// start within about the time that a machine takes to boot.
    pub fn queued_or_soon_ready(&self, job: &Job) -> u32 {
        if job.ready || job.cancelled() {
            return job.queued();
        }
        let all_tasks_running = |job: &Job| job.ready && job.waiting == 0 && job.placed > 0;
        let finished_or_running = |id: &JobId| {
            self.finished_dependencies.contains_key(id)
                || self.jobs.get(id).is_some_and(all_tasks_running)
        };
        if job.dependencies.iter().all(finished_or_running) {
            job.waiting
        } else {
            0
        }
    }

    /// Returns one of a job's dependency lists, which hold the dependencies that do not fit into its record.
    pub fn dependency_list(&self, id: &str, number: u32) -> Option<&Vec<JobId>> {
        self.dependency_lists.get(id)?.get(&number)
    }

    /// Returns whether unfinished jobs depend on a job.
    pub fn has_dependents(&self, id: &str) -> bool {
        self.dependents.contains_key(id)
    }
}
