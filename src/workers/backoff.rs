//! Failed tasks: whether their job or their machine is at fault.
//!
//! A job whose tasks fail on several machines backs off exponentially; a machine that fails tasks of
//! jobs which work elsewhere is quarantined. Owns [`BackoffState`], kept in the
//! [`WorkerRegistry`](super::WorkerRegistry); changed only when a worker's message is applied, and
//! dropped with its job.

use super::heartbeat::HeartbeatOutcome;
use super::worker_state::WorkerState;
use crate::controller::Controller;
use crate::ids::MachineId;
use crate::jobs::model::JobId;
use crate::time::{Micros, SECOND};
use crate::wire::worker::TaskStatus;
use foldhash::{HashSet, HashSetExt};

/// A job whose tasks fail is tried again after this, doubled with each failure.
const BACKOFF_BASE: Micros = SECOND / 2;
/// At most this long between tries: users wait for a job whose image was repaired.
const BACKOFF_MAX: Micros = 20 * SECOND;
/// Doublings beyond this many change nothing, and would overflow in the end.
const BACKOFF_MAX_DOUBLINGS: u32 = 10;
/// A task that has run for this long shows that its job can run.
const PROVEN_RUN_TIME: Micros = 5 * SECOND;
/// Durations of finished tasks that are kept for each job: enough for a median.
const MAX_DURATIONS_PER_JOB: usize = 200;
/// A machine is quarantined after this many failures of one job that fails nowhere else.
const QUARANTINE_FAILURES: usize = 3;
/// Of several jobs this many failures, of jobs that do not fail elsewhere, are enough.
const QUARANTINE_FAILURES_OF_SEVERAL_JOBS: usize = 2;

/// Failures of a job's tasks.
#[derive(Clone, Debug, Default)]
pub(super) struct BackoffState {
    /// Failures since the job failed on more than one machine.
    count: u32,
    /// The job is not started before this time.
    until: Micros,
    /// Machines on which its tasks failed.
    machines: HashSet<MachineId>,
}

impl BackoffState {
    /// Whether the job is not to be started now.
    pub(super) fn is_active(&self, now: Micros) -> bool {
        self.until > now
    }

    /// Whether the job's tasks failed on a machine other than this one.
    pub(super) fn failed_elsewhere(&self, machine: &MachineId) -> bool {
        self.machines.iter().any(|other| other != machine)
    }

    /// Records a failure. One bad machine says little about the job: it backs off only once it has
    /// failed on others too.
    fn record_failure(&mut self, machine: &MachineId, now: Micros) {
        self.machines.insert(machine.clone());
        if self.machines.len() > 1 {
            self.count += 1;
            let doubled = BACKOFF_BASE << self.count.min(BACKOFF_MAX_DOUBLINGS);
            self.until = now + doubled.min(BACKOFF_MAX);
        }
    }
}

/// Whether a machine fails what it starts: failures of two jobs, or of one that has not failed
/// elsewhere (`failed_elsewhere`, by job).
pub fn quarantined(worker: &WorkerState, failed_elsewhere: &dyn Fn(&str) -> bool) -> bool {
    let errors = &worker.failures.errors;
    let mut jobs: HashSet<&JobId> = HashSet::new();
    jobs.extend(errors.iter().map(|e| &e.job));
    let own_fault = errors.iter().filter(|e| !failed_elsewhere(&e.job)).count();
    (jobs.len() >= 2 && own_fault >= QUARANTINE_FAILURES_OF_SEVERAL_JOBS)
        || own_fault >= QUARANTINE_FAILURES
}

impl Controller {
    /// Records the ends of tasks that a message brought: durations for fairness, failures for backoff.
    pub(super) fn record_task_outcomes(
        &self,
        machine: &MachineId,
        outcome: HeartbeatOutcome,
        now: Micros,
    ) {
        if !outcome.finished.is_empty() {
            let mut durations = self.workers.durations.borrow_mut();
            let mut job_backoffs = self.workers.job_backoffs.borrow_mut();
            for finished in outcome.finished {
                job_backoffs.remove(&finished.job);
                let list = durations.entry(finished.job).or_default();
                if list.len() < MAX_DURATIONS_PER_JOB {
                    list.push(finished.durations.into());
                }
            }
        }
        for job in outcome.failed {
            // With dozens of faulty machines every job fails on several of them. A job whose tasks
            // complete, or run on, elsewhere is not at fault: it does not back off, and its failures
            // count against the machine.
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

    /// Whether a job's tasks are known to work on some machine other than this one.
    fn works_elsewhere(&self, job: &JobId, machine: &MachineId, now: Micros) -> bool {
        let some_done = || {
            let view = self.watch_cache.view();
            view.jobs.get(job).is_some_and(|j| j.done > 0)
        };
        self.workers.durations.borrow().contains_key(job)
            || some_done()
            || self.workers.machines.borrow().iter().any(|(id, worker)| {
                id != machine
                    && worker.tasks.iter().any(|((j, _), observed)| {
                        j == job
                            && observed.status == TaskStatus::Running
                            && now.saturating_sub(observed.since) > PROVEN_RUN_TIME
                    })
            })
    }
}
