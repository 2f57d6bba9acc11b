//! Commands that a machine needs: the difference between its task blocks and its newest message. Pure.
//!
//! Also tracks starts that were sent and may not have been executed yet
//! ([`OutstandingCommands`](super::OutstandingCommands)). Until it is certain that such a start can no
//! longer be executed, no `Forget` is sent for its attempt, and the attempt is not recorded as ended.

use super::worker_state::{ObservedTask, TaskAttempt, WorkerState};
use crate::ids::MachineId;
use crate::jobs::model::{JobId, Placement, parse_task, task_name};
use crate::store::cluster_state::ClusterState;
use crate::time::{Micros, SECOND, to_secs};
use crate::wire::worker::{Command, TaskStatus};
use std::collections::BTreeMap;

/// Time for which sent direct commands are kept, to prevent sending them again too soon.
const RECENT_COMMAND_RETENTION: Micros = 5 * SECOND;

/// Channel through which commands reach the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandChannel {
    /// The answer to the worker's newest heartbeat. Its commands are executed before the worker's next
    /// heartbeat or never. `Forget` is allowed only here, because no command in an answer is executed
    /// late.
    HeartbeatAnswer,
    /// A direct call. Its commands may be executed at any later time until the call is acknowledged.
    Direct,
}

/// Returns the commands that a machine needs now. Records the starts that are sent in the answer to a
/// heartbeat.
pub fn commands(
    view: &ClusterState,
    machine: &MachineId,
    worker: &mut WorkerState,
    channel: CommandChannel,
) -> Vec<Command> {
    let empty = BTreeMap::new();
    let placed = view.tasks_on(machine).unwrap_or(&empty);
    let mut out = Vec::new();
    for (key, observed) in &worker.tasks {
        let wanted = placed
            .get(key)
            .is_some_and(|p| p.session == worker.session && p.attempt == observed.attempt);
        if !wanted {
            out.extend(command_for_unwanted(worker, key, observed, channel));
        }
    }
    for (key, placement) in placed {
        if placement.session == worker.session {
            let stop = desired_stop(view, &key.0, placement);
            out.extend(command_for_placed(worker, key, placement, stop, channel));
        }
    }
    let starts = &mut worker.outstanding.starts_in_response;
    starts.retain(|(job, index, attempt), _| {
        placed
            .get(&(job.clone(), *index))
            .is_some_and(|p| p.attempt == *attempt)
    });
    out
}

/// Returns the grace period with which a placement is to be stopped, or `None` if it is to run.
pub(super) fn desired_stop(
    view: &ClusterState,
    job: &JobId,
    placement: &Placement,
) -> Option<Micros> {
    match view.jobs.get(job) {
        Some(job) if job.cancelled() => Some(0),
        _ => placement.stop_grace_period,
    }
}

/// Returns the command for a task on the machine that its block does not place there: it is stopped,
/// and removed with `Forget` once it has exited.
fn command_for_unwanted(
    worker: &WorkerState,
    key: &(JobId, u32),
    observed: &ObservedTask,
    channel: CommandChannel,
) -> Option<Command> {
    let attempt = u64::from(observed.attempt);
    if observed.status != TaskStatus::Exited {
        return Some(Command::Stop {
            task: task_name(&key.0, key.1),
            attempt,
            grace_period_s: 0.0,
        });
    }
    // Every direct start of the attempt has to be acknowledged first: after `Forget`, a late start
    // would run it again.
    let unacknowledged = &worker.outstanding.unacknowledged_starts;
    let may_forget = channel == CommandChannel::HeartbeatAnswer
        && worker.fenced()
        && !unacknowledged.contains(&(key.0.clone(), key.1, observed.attempt));
    may_forget.then(|| Command::Forget {
        task: task_name(&key.0, key.1),
        attempt,
    })
}

/// Returns the command for a task that its block places on the machine in the worker's current session.
fn command_for_placed(
    worker: &mut WorkerState,
    key: &(JobId, u32),
    placement: &Placement,
    stop: Option<Micros>,
    channel: CommandChannel,
) -> Option<Command> {
    let in_answer = channel == CommandChannel::HeartbeatAnswer;
    let observed = worker.tasks.get(key);
    let task = || task_name(&key.0, key.1);
    let attempt = u64::from(placement.attempt);
    match (observed, stop) {
        (None, None) => {
            let start = (key.0.clone(), key.1, placement.attempt);
            if in_answer {
                record_start_in_response(worker, start);
            } else if worker.outstanding.unacknowledged_starts.contains(&start) {
                return None;
            }
            Some(Command::Start {
                task: task(),
                attempt,
            })
        }
        // An earlier command in the same answer makes the worker forget the old attempt.
        (Some(current), None)
            if in_answer
                && current.attempt < placement.attempt
                && current.status == TaskStatus::Exited =>
        {
            record_start_in_response(worker, (key.0.clone(), key.1, placement.attempt));
            Some(Command::Start {
                task: task(),
                attempt,
            })
        }
        (Some(current), Some(grace)) if current.attempt == placement.attempt => {
            let saves_checkpoint = current.status == TaskStatus::Saving && grace > 0;
            let needs_stop = current.status != TaskStatus::Exited && !saves_checkpoint;
            needs_stop.then(|| Command::Stop {
                task: task(),
                attempt,
                grace_period_s: to_secs(grace),
            })
        }
        _ => None,
    }
}

/// Records a start that is sent in the answer to the newest heartbeat.
fn record_start_in_response(worker: &mut WorkerState, start: TaskAttempt) {
    let answered = worker.heartbeat.heartbeat_sequence;
    worker
        .outstanding
        .starts_in_response
        .insert(start, answered);
}

/// Returns the attempts that `commands` start.
fn started_attempts(commands: &[Command]) -> impl Iterator<Item = TaskAttempt> {
    commands.iter().filter_map(|command| {
        let Command::Start { task, attempt } = command else {
            return None;
        };
        let (job, index) = parse_task(task)?;
        Some((job.into(), index, *attempt as u32))
    })
}

impl WorkerState {
    /// Returns whether a direct command was sent less than `interval` ago.
    pub fn recently_sent(&self, command: &Command, now: Micros, interval: Micros) -> bool {
        let recent = &self.outstanding.recent_commands;
        recent
            .iter()
            .any(|(at, sent)| sent == command && now.saturating_sub(*at) < interval)
    }

    /// Records direct commands that are being sent, so that they are not repeated too soon.
    pub fn record_sent_commands(&mut self, commands: &[Command], now: Micros) {
        let recent = &mut self.outstanding.recent_commands;
        recent.retain(|(at, _)| now.saturating_sub(*at) < RECENT_COMMAND_RETENTION);
        recent.extend(commands.iter().map(|command| (now, command.clone())));
    }

    /// Removes the record of direct commands that could not be sent.
    pub fn remove_sent_commands(&mut self, commands: &[Command]) {
        let recent = &mut self.outstanding.recent_commands;
        recent.retain(|(_, sent)| !commands.contains(sent));
    }

    /// Records direct starts that are being sent. Until acknowledged, they may be executed at any time.
    pub fn record_direct_starts(&mut self, commands: &[Command]) {
        let starts = started_attempts(commands);
        self.outstanding.unacknowledged_starts.extend(starts);
    }

    /// Records that direct commands were acknowledged: all were executed or refused, or none was sent.
    pub fn acknowledge_direct_commands(&mut self, commands: &[Command]) {
        for start in started_attempts(commands) {
            self.outstanding.unacknowledged_starts.remove(&start);
        }
    }

    /// Returns whether an unacknowledged direct start prevents an attempt from being forgotten, moved
    /// or started again. Such a start becomes impossible only when the worker has seen a higher term.
    pub fn blocked_by_unacknowledged_start(&self) -> bool {
        let may_still_start = |(job, index, attempt): &TaskAttempt| {
            self.tasks
                .get(&(job.clone(), *index))
                .is_none_or(|o| o.attempt != *attempt || o.status == TaskStatus::Exited)
        };
        self.fenced()
            && !self.outstanding.in_flight
            && self
                .outstanding
                .unacknowledged_starts
                .iter()
                .any(may_still_start)
    }
}
