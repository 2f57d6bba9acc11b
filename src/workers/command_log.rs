//! Log lines and counters of the commands to workers, and of messages that show an attempt where none should be.

use super::commands::{CommandChannel, task_attempt};
use super::fencing_token::FencingToken;
use super::worker_state::{TaskAttempt, WorkerState};
use crate::ids::MachineId;
use crate::jobs::model::JobId;
use crate::store::cluster_state::{ClusterState, Job};
use crate::wire::MAX_BODY_BYTES;
use crate::wire::worker::{Command, Heartbeat};
use serde::Serialize;
use std::cell::Cell;
use std::fmt;

/// Reason why a command is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CommandReason {
    /// A task block places the attempt on the machine.
    Placed,
    /// The job of the task is cancelled.
    JobCancelled,
    /// The task block requests a stop.
    StopRequested,
    /// No task block places the attempt on the machine in its session.
    NotPlaced,
    /// The attempt has exited, its end is recorded, and the worker refuses every direct start of it.
    EndRecorded,
}

impl fmt::Display for CommandReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            CommandReason::Placed => "placed",
            CommandReason::JobCancelled => "job cancelled",
            CommandReason::StopRequested => "stop requested",
            CommandReason::NotPlaced => "not placed",
            CommandReason::EndRecorded => "end recorded",
        })
    }
}

/// Numbers of commands and of events of workers since the process started.
#[derive(Debug, Default, Serialize)]
pub struct CommandCounters {
    direct_starts: Cell<u64>,
    starts_in_answers: Cell<u64>,
    stops: Cell<u64>,
    forgets: Cell<u64>,
    /// Raises of a machine's token within the term.
    token_increments: Cell<u64>,
    /// Direct calls that a worker refused because of a higher token or another session.
    refused_calls: Cell<u64>,
    /// Attempts that a worker reported although no task block places them there.
    unplaced_attempts: Cell<u64>,
    /// Attempts that a worker reported again after a `Forget`.
    attempts_after_forget: Cell<u64>,
    /// Starts that were left out because the machine's heartbeat has no room for them, each time that the commands of
    /// the machine were computed.
    withheld_starts: Cell<u64>,
    /// Heartbeats larger than a worker has to be able to send.
    oversized_heartbeats: Cell<u64>,
}

fn add(counter: &Cell<u64>, number: u64) {
    counter.set(counter.get() + number);
}

/// A message with commands that is sent to a worker.
pub(super) struct SentCommands<'a> {
    pub(super) view: &'a ClusterState,
    pub(super) machine: &'a MachineId,
    pub(super) worker: &'a WorkerState,
    pub(super) channel: CommandChannel,
    pub(super) commands: &'a [Command],
}

impl CommandCounters {
    /// Counts and logs the commands of a message.
    pub(super) fn record_sent(&self, sent: &SentCommands<'_>) {
        for command in sent.commands {
            let reason = sent.reason(command);
            match (command, sent.channel) {
                (Command::Start { .. }, CommandChannel::Direct) => add(&self.direct_starts, 1),
                (Command::Start { .. }, CommandChannel::HeartbeatAnswer) => {
                    add(&self.starts_in_answers, 1);
                }
                (Command::Stop { .. }, _) => add(&self.stops, 1),
                (Command::Forget { .. }, _) => add(&self.forgets, 1),
            }
            sent.log(command, reason);
            if reason == CommandReason::NotPlaced && sent.is_first_report(command) {
                add(&self.unplaced_attempts, 1);
                sent.log_unplaced(command);
            }
        }
    }

    /// Counts starts for which the machine's heartbeat has no room.
    pub(super) fn record_withheld(&self, worker: &WorkerState) {
        let withheld_starts = worker.outstanding.withheld_starts as u64;
        add(&self.withheld_starts, withheld_starts);
    }

    /// Counts and logs a heartbeat that is larger than a worker has to be able to send.
    pub(super) fn record_oversized_heartbeat(&self, heartbeat: &Heartbeat, bytes: usize) {
        add(&self.oversized_heartbeats, 1);
        tracing::warn!(
            machine = heartbeat.machine,
            tasks = heartbeat.tasks.len(),
            bytes,
            max_bytes = MAX_BODY_BYTES,
            "heartbeat exceeds the size limit of a message"
        );
    }

    /// Counts raises of a machine's token.
    pub(super) fn record_increments(&self, before: FencingToken, after: FencingToken) {
        add(
            &self.token_increments,
            after.increments.saturating_sub(before.increments),
        );
    }

    /// Counts and logs a direct call that a worker refused. `token` and `session` are those of the call.
    pub(super) fn record_refused(&self, token: FencingToken, session: u64, reply: &Heartbeat) {
        add(&self.refused_calls, 1);
        let reported = FencingToken::from_wire(reply.fencing_token);
        tracing::info!(
            machine = reply.machine,
            %token,
            session,
            reported_token = %reported,
            reported_session = reply.session,
            "worker refused a direct call"
        );
    }

    /// Counts and logs attempts that a worker reported again after a `Forget`.
    pub(super) fn record_reappeared(&self, machine: &MachineId, attempts: &[TaskAttempt]) {
        for (job, index, attempt) in attempts {
            add(&self.attempts_after_forget, 1);
            tracing::warn!(
                %machine,
                %job,
                index,
                attempt,
                "worker reports an attempt again that it had forgotten"
            );
        }
    }
}

impl SentCommands<'_> {
    fn reason(&self, command: &Command) -> CommandReason {
        let (task, attempt) = match command {
            Command::Start { .. } => return CommandReason::Placed,
            Command::Forget { .. } => return CommandReason::EndRecorded,
            Command::Stop { task, attempt, .. } => (task, *attempt),
        };
        let Some((job, index, attempt)) = task_attempt(task, attempt) else {
            return CommandReason::NotPlaced;
        };
        let key = (job, index);
        let placed = self.view.tasks_on(self.machine);
        let placement = placed.and_then(|placed| placed.get(&key));
        match placement.filter(|placement| self.worker.shows(placement, attempt)) {
            None => CommandReason::NotPlaced,
            Some(_) if self.is_cancelled(&key.0) => CommandReason::JobCancelled,
            Some(_) => CommandReason::StopRequested,
        }
    }

    fn is_cancelled(&self, job: &JobId) -> bool {
        let job = self.view.jobs.get(job);
        job.is_some_and(Job::cancelled)
    }

    /// Returns whether the newest message is the first one that shows the task of a command in its state.
    fn is_first_report(&self, command: &Command) -> bool {
        let (Command::Start { task, attempt }
        | Command::Stop { task, attempt, .. }
        | Command::Forget { task, attempt }) = command;
        task_attempt(task, *attempt)
            .and_then(|(job, index, _)| self.worker.tasks.get(&(job, index)))
            .is_some_and(|observed| observed.since == self.worker.heartbeat.last_contact_at)
    }

    fn log(&self, command: &Command, reason: CommandReason) {
        tracing::debug!(
            machine = %self.machine,
            token = %self.worker.token(),
            session = self.worker.session,
            channel = ?self.channel,
            ?command,
            %reason,
            "command sent to worker"
        );
    }

    fn log_unplaced(&self, command: &Command) {
        tracing::info!(
            machine = %self.machine,
            token = %self.worker.token(),
            session = self.worker.session,
            ?command,
            "worker reports an attempt that no task block places there"
        );
    }
}

#[cfg(test)]
mod tests;
