//! Attribution of task failures to the job or to the machine.
//!
//! A job whose tasks fail on several machines backs off exponentially. A machine is quarantined if
//! tasks fail on it whose jobs do not fail elsewhere. Owns [`BackoffState`], which is stored in the
//! [`WorkerRegistry`](super::WorkerRegistry), changes only when a worker's message is applied, and is
//! removed together with its job.

use super::heartbeat::HeartbeatOutcome;
use super::worker_state::WorkerState;
use crate::controller::Controller;
use crate::ids::MachineId;
use crate::jobs::model::JobId;
use crate::time::{Micros, SECOND};
use crate::wire::worker::TaskStatus;
use foldhash::{HashSet, HashSetExt};

/// Base of the retry delay of a job whose tasks fail; the delay doubles with each failure.
const BACKOFF_BASE_DELAY: Micros = SECOND / 2;
/// Upper limit of the retry delay. It is short because users wait for a job whose image was repaired.
const BACKOFF_MAX_DELAY: Micros = 20 * SECOND;
/// Limit on the number of doublings: the delay is at its maximum by then, and the shift must not
/// overflow.
const BACKOFF_MAX_DOUBLINGS: u32 = 10;
/// Run time after which a running task shows that its job works.
const HEALTHY_RUN_TIME: Micros = 5 * SECOND;
/// Number of durations of finished tasks that are kept for each job, enough for a median.
const MAX_DURATIONS_PER_JOB: usize = 200;
/// Number of task failures after which a machine is quarantined, counting only jobs that do not fail
/// elsewhere. The failures may all be of one job.
const QUARANTINE_FAILURE_COUNT: usize = 3;
/// Lower number that applies if tasks of several jobs failed on the machine.
const QUARANTINE_FAILURE_COUNT_OF_SEVERAL_JOBS: usize = 2;

/// Failures of a job's tasks and the resulting backoff.
#[derive(Clone, Debug, Default)]
pub(super) struct BackoffState {
    /// Number of failures since the job failed on more than one machine.
    failure_count: u32,
    /// Time before which the job is not started.
    backoff_until: Micros,
    /// Machines on which tasks of the job failed.
    machines: HashSet<MachineId>,
}

impl BackoffState {
    /// Returns whether the backoff is still running, so that the job must not be started.
    pub(super) fn is_active(&self, now: Micros) -> bool {
        self.backoff_until > now
    }

    /// Returns whether tasks of the job failed on a machine other than `machine`.
    pub(super) fn failed_elsewhere(&self, machine: &MachineId) -> bool {
        self.machines.iter().any(|other| other != machine)
    }

    /// Records a failure. The job backs off only once it has failed on more than one machine, because
    /// failures on a single machine may be the machine's fault.
    fn record_failure(&mut self, machine: &MachineId, now: Micros) {
        self.machines.insert(machine.clone());
        if self.machines.len() > 1 {
            self.failure_count += 1;
            let doubled = BACKOFF_BASE_DELAY << self.failure_count.min(BACKOFF_MAX_DOUBLINGS);
            self.backoff_until = now + doubled.min(BACKOFF_MAX_DELAY);
        }
    }
}

/// Returns whether a machine is to be quarantined because tasks fail on it. Only failures of jobs that
/// have not failed on other machines (`failed_elsewhere`, by job) count; fewer of them are needed if
/// tasks of two or more jobs failed.
pub fn quarantined(worker: &WorkerState, failed_elsewhere: &dyn Fn(&str) -> bool) -> bool {
    let errors = &worker.failures.errors;
    let mut jobs: HashSet<&JobId> = HashSet::new();
    jobs.extend(errors.iter().map(|e| &e.job));
    let failures_only_here = errors.iter().filter(|e| !failed_elsewhere(&e.job)).count();
    (jobs.len() >= 2 && failures_only_here >= QUARANTINE_FAILURE_COUNT_OF_SEVERAL_JOBS)
        || failures_only_here >= QUARANTINE_FAILURE_COUNT
}

impl Controller {
    /// Records the task exits reported by a message: durations for fairness, failures for backoff.
    pub(super) fn record_task_outcomes(
        &self,
        machine: &MachineId,
        outcome: HeartbeatOutcome,
        now: Micros,
    ) {
        self.workers
            .counters
            .record_reappeared(machine, &outcome.reappeared);
        if !outcome.finished.is_empty() {
            let mut durations = self.workers.task_durations.borrow_mut();
            let mut job_backoffs = self.workers.job_backoffs.borrow_mut();
            for finished in outcome.finished {
                job_backoffs.remove(&finished.job);
                let job_durations = durations.entry(finished.job).or_default();
                if job_durations.len() < MAX_DURATIONS_PER_JOB {
                    job_durations.push(finished.durations.into());
                }
            }
        }
        for job in outcome.failed {
            // With dozens of faulty machines, every job fails on several of them. A job whose tasks
            // complete or keep running elsewhere is not at fault: it does not back off, and its
            // failures count against the machine.
            if self.works_elsewhere(&job, machine, now) {
                self.workers.job_backoffs.borrow_mut().remove(&job);
                continue;
            }
            let mut job_backoffs = self.workers.job_backoffs.borrow_mut();
            job_backoffs
                .entry(job)
                .or_default()
                .record_failure(machine, now);
        }
    }

    /// Returns whether a task of the job has completed, or has been running for longer than
    /// `HEALTHY_RUN_TIME` on a machine other than `machine`.
    fn works_elsewhere(&self, job: &JobId, machine: &MachineId, now: Micros) -> bool {
        let has_finished_task = || {
            let view = self.watch_cache.view();
            view.jobs.get(job).is_some_and(|j| j.done > 0)
        };
        self.workers.task_durations.borrow().contains_key(job)
            || has_finished_task()
            || self.workers.machines.borrow().iter().any(|(id, worker)| {
                id != machine
                    && worker.tasks.iter().any(|((j, _), observed)| {
                        j == job
                            && observed.status == TaskStatus::Running
                            && now.saturating_sub(observed.since) > HEALTHY_RUN_TIME
                    })
            })
    }
}
