//! Commands that a machine needs: the difference between its task blocks and its newest message. Pure.
//!
//! Also tracks starts that were sent in answers to heartbeats and may not have been executed yet
//! ([`OutstandingCommands`](super::OutstandingCommands)). Until it is certain that such a start can no
//! longer be executed, the attempt is not recorded as ended.

use super::heartbeat_room::HeartbeatRoom;
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
    /// heartbeat or never.
    HeartbeatAnswer,
    /// A direct call. Its commands may be executed at any later time, also after the call was answered. It contains
    /// a `Forget` only while the machine's heartbeat is short of room, and then under a token higher than that of
    /// every earlier message: the worker drops those that it has not executed yet.
    Direct,
}

/// State of the computation of a message's commands.
struct MessageContext<'a> {
    view: &'a ClusterState,
    channel: CommandChannel,
    room: HeartbeatRoom,
    /// Number of starts for which the heartbeat has no room.
    withheld_starts: usize,
}

/// Returns the commands that a machine needs now; every `Forget` comes before the starts. Raises the worker's token if
/// a `Forget` needs it; the message has to carry the token. For the answer to a heartbeat, records the starts.
pub fn commands(
    view: &ClusterState,
    machine: &MachineId,
    worker: &mut WorkerState,
    channel: CommandChannel,
) -> Vec<Command> {
    let empty = BTreeMap::new();
    let placed = view.tasks_on(machine).unwrap_or(&empty);
    let room = HeartbeatRoom::of(view, machine, worker, placed);
    let may_forget = match channel {
        CommandChannel::HeartbeatAnswer => {
            worker.raise_token_if_needed(view, placed);
            true
        }
        // Heartbeats that do not fit are not sent, and have no answers.
        CommandChannel::Direct => room.is_short() && worker.raise_token_to_forget(view, placed),
    };
    let mut context = MessageContext {
        view,
        channel,
        room,
        withheld_starts: 0,
    };
    let mut out = commands_for_unwanted(worker, placed, may_forget);
    context.room.release_forgotten(view, &out);
    for (key, placement) in placed {
        if placement.session == worker.session {
            let stop = desired_stop(view, &key.0, placement);
            let command = command_for_placed(worker, key, placement, stop, &mut context);
            out.extend(command);
        }
    }
    worker.outstanding.withheld_starts = context.withheld_starts;
    retain_starts_of_placed_attempts(worker, placed);
    out
}

/// Returns the commands for all tasks on the machine that their blocks do not place there.
fn commands_for_unwanted(
    worker: &WorkerState,
    placed: &BTreeMap<(JobId, u32), Placement>,
    may_forget: bool,
) -> Vec<Command> {
    let tasks = worker.tasks.iter();
    tasks
        .filter(|(key, observed)| !worker.is_placed(placed, key, observed.attempt))
        .filter_map(|(key, observed)| command_for_unwanted(worker, key, observed, may_forget))
        .collect()
}

/// Removes the starts sent in answers whose attempts are not placed on the machine any more.
fn retain_starts_of_placed_attempts(
    worker: &mut WorkerState,
    placed: &BTreeMap<(JobId, u32), Placement>,
) {
    let starts = &mut worker.outstanding.starts_in_response;
    starts.retain(|(job, index, attempt), _| {
        placed
            .get(&(job.clone(), *index))
            .is_some_and(|p| p.attempt == *attempt)
    });
}

impl MessageContext<'_> {
    /// Takes the room for a start in the machine's heartbeat, or counts the start as withheld.
    fn takes_room(&mut self, start: &TaskAttempt) -> bool {
        let fits = self.room.take(self.view, start);
        self.withheld_starts += usize::from(!fits);
        fits
    }
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
    may_forget: bool,
) -> Option<Command> {
    let attempt = u64::from(observed.attempt);
    if observed.status != TaskStatus::Exited {
        return Some(Command::Stop {
            task: task_name(&key.0, key.1),
            attempt,
            grace_period_s: 0.0,
        });
    }
    let may_forget = may_forget && worker.may_forget(&key.0, key.1, observed.attempt);
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
    context: &mut MessageContext<'_>,
) -> Option<Command> {
    let in_answer = context.channel == CommandChannel::HeartbeatAnswer;
    let start = || (key.0.clone(), key.1, placement.attempt);
    match (worker.tasks.get(key), stop) {
        (None, None) => {
            let start = start();
            let is_on_its_way =
                !in_answer && worker.outstanding.direct_starts.is_unacknowledged(&start);
            if is_on_its_way {
                return None;
            }
            start_command(worker, start, context)
        }
        // An earlier command in the same answer makes the worker forget the old attempt.
        (Some(current), None)
            if in_answer
                && current.attempt < placement.attempt
                && current.status == TaskStatus::Exited
                && worker.may_forget(&key.0, key.1, current.attempt) =>
        {
            start_command(worker, start(), context)
        }
        (Some(current), Some(grace)) if current.attempt == placement.attempt => {
            let saves_checkpoint = current.status == TaskStatus::Saving && grace > 0;
            let needs_stop = current.status != TaskStatus::Exited && !saves_checkpoint;
            needs_stop.then(|| Command::Stop {
                task: task_name(&key.0, key.1),
                attempt: u64::from(placement.attempt),
                grace_period_s: to_secs(grace),
            })
        }
        _ => None,
    }
}

/// Returns the command that starts an attempt if the machine's heartbeat has room for it, and records a start that is
/// sent in the answer to a heartbeat.
fn start_command(
    worker: &mut WorkerState,
    start: TaskAttempt,
    context: &mut MessageContext<'_>,
) -> Option<Command> {
    if !context.takes_room(&start) {
        return None;
    }
    let command = Command::Start {
        task: task_name(&start.0, start.1),
        attempt: u64::from(start.2),
    };
    if context.channel == CommandChannel::HeartbeatAnswer {
        record_start_in_response(worker, start);
    }
    Some(command)
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
pub(super) fn started_attempts(commands: &[Command]) -> impl Iterator<Item = TaskAttempt> {
    commands.iter().filter_map(|command| {
        let Command::Start { task, attempt } = command else {
            return None;
        };
        task_attempt(task, *attempt)
    })
}

/// Returns the attempt of a task that is named in a command.
pub(super) fn task_attempt(task: &str, attempt: u64) -> Option<TaskAttempt> {
    let (job, index) = parse_task(task)?;
    Some((job.into(), index, u32::try_from(attempt).ok()?))
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
}
