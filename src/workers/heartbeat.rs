//! Application of a worker's message to its [`WorkerState`]. Pure.
//!
//! A message is applied only if it is newer than all messages applied before (by session, then sequence
//! number), because messages may arrive late or twice.

use super::fencing_token::FencingToken;
use super::task_durations::{FinishedTask, TaskDurations};
use super::worker_state::{
    MachineDescription, ObservedTask, TaskAttempt, TaskFailure, WorkerState,
};
use crate::jobs::model::{JobId, parse_task};
use crate::time::{Micros, SECOND, from_secs};
use crate::wire::worker::{ExitReason, Heartbeat, ReportedTask, TaskStatus};
use std::collections::BTreeMap;

/// Time for which a failed task counts against its machine.
const FAILURE_RETENTION: Micros = 120 * SECOND;

/// Way in which a worker's message was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// A periodic heartbeat sent by the worker. The answer to it renews the worker's lease.
    Periodic,
    /// The reply to a direct call. It renews no lease, and it does not show whether commands in the
    /// answer to a periodic heartbeat were executed.
    CommandReply,
}

/// Changes that resulted from a message.
#[derive(Default)]
pub struct HeartbeatOutcome {
    /// Whether the message reported a change of session, fencing token, preemption notice or tasks.
    pub changed: bool,
    /// Tasks that completed.
    pub finished: Vec<FinishedTask>,
    /// Jobs of which a task failed.
    pub failed: Vec<JobId>,
    /// Attempts that the worker reports again after a `Forget`.
    pub reappeared: Vec<TaskAttempt>,
}

impl WorkerState {
    /// Applies a message of the worker if it is newer than all messages applied so far.
    pub fn apply_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
        now: Micros,
    ) -> HeartbeatOutcome {
        let mut outcome = HeartbeatOutcome::default();
        if !self.is_newer(heartbeat) {
            return outcome;
        }
        let new_session = heartbeat.session > self.session;
        if new_session {
            outcome.changed = true;
            self.clear_previous_session();
        }
        self.session = heartbeat.session;
        self.heartbeat.sequence = heartbeat.sequence;
        if source == HeartbeatSource::Periodic {
            self.record_periodic(heartbeat.sequence, now);
        }
        outcome.changed |= self.record_fencing_token(heartbeat.fencing_token, new_session, now);
        self.heartbeat.last_contact_at = now;
        self.probes.missed_probes = 0;
        self.probes.confirmed_dead = false;
        self.record_identity(heartbeat);
        outcome.changed |= self.record_preemption_notice(heartbeat.preemption_notice_s, now);
        self.record_tasks(&heartbeat.tasks, now, &mut outcome);
        self.outstanding.quiescent &= !outcome.changed;
        self.remove_expired_failures(now);
        outcome
    }

    /// Returns whether a message is newer than all messages applied so far.
    pub fn is_newer(&self, heartbeat: &Heartbeat) -> bool {
        (heartbeat.session, heartbeat.sequence) > (self.session, self.heartbeat.sequence)
    }

    /// Clears the state of the previous session: a worker that starts a new session has killed and
    /// forgotten all tasks of the previous one.
    fn clear_previous_session(&mut self) {
        self.tasks.clear();
        self.outstanding.starts_in_response.clear();
        self.outstanding.direct_starts.clear();
        self.outstanding.forgotten.clear();
        self.failures.counted_exits.clear();
        self.heartbeat.heartbeat_sequence = 0;
        self.heartbeat.last_answered_at = None;
    }

    fn record_periodic(&mut self, sequence: u64, now: Micros) {
        self.heartbeat.heartbeat_sequence = sequence;
        self.heartbeat.last_heartbeat_at = now;
        self.heartbeat.heartbeat_received = true;
        self.probes.answered_without_heartbeat = 0;
        self.probes.last_counted_answer_at = now;
    }

    /// Returns whether the worker reported a higher token, or a token of this term for the first time in
    /// its session.
    fn record_fencing_token(&mut self, token: u64, new_session: bool, now: Micros) -> bool {
        let token = FencingToken::from_wire(token);
        let mut changed = false;
        if token > self.heartbeat.fencing_token {
            self.heartbeat.fencing_token = token;
            changed = true;
        }
        self.outstanding.direct_starts.remove_refused(token);
        if token.term != self.term {
            return changed;
        }
        self.token_increments = self.token_increments.max(token.increments);
        if self.heartbeat.fenced_at.is_none() || new_session {
            self.heartbeat.fenced_at = Some(now);
            changed = true;
        }
        changed
    }

    fn record_identity(&mut self, heartbeat: &Heartbeat) {
        if let Ok(address) = heartbeat.address.parse() {
            self.identity.address = Some(address);
        }
        if self.identity.description.is_none() {
            self.identity.description = Some(MachineDescription {
                machine_type: heartbeat.machine_type.clone(),
                zone: heartbeat.zone.clone(),
                spot: heartbeat.spot,
                address: heartbeat.address.clone(),
            });
        }
    }

    /// Returns whether a preemption notice was received or withdrawn.
    fn record_preemption_notice(&mut self, notice_s: Option<f64>, now: Micros) -> bool {
        let preempted_at = notice_s.map(|s| now + from_secs(s));
        let changed = preempted_at.is_some() != self.heartbeat.preempted_at.is_some();
        self.heartbeat.preempted_at = preempted_at;
        changed
    }

    fn record_tasks(
        &mut self,
        reported: &[ReportedTask],
        now: Micros,
        outcome: &mut HeartbeatOutcome,
    ) {
        let mut tasks = BTreeMap::new();
        self.invalid_task_count = 0;
        for task in reported {
            let Some((key, observed)) = self.observe_task(task, now) else {
                self.invalid_task_count += 1;
                continue;
            };
            if observed.since == now {
                outcome.changed = true;
            }
            if self.has_reappeared(&key, observed.attempt) {
                outcome
                    .reappeared
                    .push((key.0.clone(), key.1, observed.attempt));
            }
            if observed.status == TaskStatus::Exited {
                self.count_exit(&key, &observed, now, outcome);
            }
            tasks.insert(key, observed);
        }
        if tasks.len() != self.tasks.len() {
            outcome.changed = true;
        }
        self.tasks = tasks;
    }

    /// Returns the task as reported, with the times that follow from the previous message, or `None` if
    /// its name or attempt number is not valid.
    fn observe_task(
        &self,
        task: &ReportedTask,
        now: Micros,
    ) -> Option<((JobId, u32), ObservedTask)> {
        let (job, index) = parse_task(&task.task)?;
        let attempt = u32::try_from(task.attempt).ok()?;
        let key: (JobId, u32) = (job.into(), index);
        let previous = self.tasks.get(&key).filter(|p| p.attempt == attempt);
        let same_status = previous.filter(|p| p.status == task.status);
        let fetch_time = match previous {
            Some(earlier)
                if earlier.status == TaskStatus::Fetching
                    && task.status != TaskStatus::Fetching =>
            {
                now - earlier.since
            }
            Some(earlier) => earlier.fetch_time,
            None => 0,
        };
        let observed = ObservedTask {
            attempt,
            status: task.status,
            reason: task.reason,
            since: same_status.map_or(now, |p| p.since),
            fetch_time,
        };
        Some((key, observed))
    }

    /// Returns whether the worker reports an attempt again that it no longer reported after a `Forget`. `self.tasks`
    /// still holds the tasks of the previous message.
    fn has_reappeared(&self, key: &(JobId, u32), attempt: u32) -> bool {
        let was_reported = self
            .tasks
            .get(key)
            .is_some_and(|previous| previous.attempt == attempt);
        if was_reported {
            return false;
        }
        let attempt = (key.0.clone(), key.1, attempt);
        self.outstanding.forgotten.contains(&attempt)
    }

    /// Counts the exit of an attempt once. `self.tasks` still holds the tasks of the previous message.
    fn count_exit(
        &mut self,
        key: &(JobId, u32),
        observed: &ObservedTask,
        now: Micros,
        outcome: &mut HeartbeatOutcome,
    ) {
        let attempt = (key.0.clone(), key.1, observed.attempt);
        if !self.failures.counted_exits.insert(attempt) {
            return;
        }
        match observed.reason {
            Some(ExitReason::Done) => {
                let previous = self.tasks.get(key);
                let running = previous.filter(|p| p.status == TaskStatus::Running);
                if let Some(run) = running.map(|p| now - p.since) {
                    outcome.finished.push(FinishedTask {
                        job: key.0.clone(),
                        durations: TaskDurations {
                            fetch: observed.fetch_time,
                            run,
                        },
                    });
                }
            }
            Some(ExitReason::Error) => {
                outcome.failed.push(key.0.clone());
                self.failures.errors.push(TaskFailure {
                    at: now,
                    job: key.0.clone(),
                });
            }
            _ => {}
        }
    }

    fn remove_expired_failures(&mut self, now: Micros) {
        let tasks = &self.tasks;
        self.failures
            .counted_exits
            .retain(|(job, index, _)| tasks.contains_key(&(job.clone(), *index)));
        self.failures
            .errors
            .retain(|e| now - e.at < FAILURE_RETENTION);
    }
}
