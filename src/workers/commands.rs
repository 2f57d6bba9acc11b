//! Which commands a machine needs: the difference between its task blocks and its newest message. Pure.
//!
//! Also keeps account of starts that were sent and may not be executed yet
//! ([`OutstandingCommands`](super::OutstandingCommands)): until it is certain that such a start cannot
//! run any more, its attempt is neither forgotten by the worker nor taken for ended.

use super::worker_state::{ObservedTask, TaskAttempt, WorkerState};
use crate::ids::MachineId;
use crate::jobs::model::{JobId, Placement, parse_task, task_name};
use crate::store::cluster_state::ClusterState;
use crate::time::{Micros, SECOND, to_secs};
use crate::wire::worker::{Command, TaskStatus};
use std::collections::BTreeMap;

/// Direct commands are remembered for this long, to not repeat them too soon.
const RECENT_COMMANDS_MEMORY: Micros = 5 * SECOND;

/// How commands reach the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandChannel {
    /// In the answer to its newest heartbeat: executed before its next heartbeat or never. Only there
    /// is `Forget` allowed, because nothing given there is executed late.
    HeartbeatAnswer,
    /// By a direct call, which may be executed at any later time unless it was acknowledged.
    Direct,
}

/// The commands that a machine needs now. Notes the starts that go out in the answer to a heartbeat.
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

/// What a placement is to do: `None` to run, or to stop with this grace period.
pub(super) fn desired_stop(
    view: &ClusterState,
    job: &JobId,
    placement: &Placement,
) -> Option<Micros> {
    match view.jobs.get(job) {
        Some(job) if job.cancelled() => Some(0),
        _ => placement.stop,
    }
}

/// A task on the machine that its block does not place there: it is stopped, and forgotten once it
/// has exited.
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
    // Not before every direct start of it was acknowledged: a late one would start it again.
    let unacknowledged = &worker.outstanding.unacknowledged_starts;
    let may_forget = channel == CommandChannel::HeartbeatAnswer
        && worker.fenced()
        && !unacknowledged.contains(&(key.0.clone(), key.1, observed.attempt));
    may_forget.then(|| Command::Forget {
        task: task_name(&key.0, key.1),
        attempt,
    })
}

/// A task that its block places on the machine, in the machine's session.
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
                note_start_in_response(worker, start);
            } else if worker.outstanding.unacknowledged_starts.contains(&start) {
                return None;
            }
            Some(Command::Start {
                task: task(),
                attempt,
            })
        }
        // The old attempt is forgotten by a command before this one, in the same answer.
        (Some(o), None)
            if in_answer && o.attempt < placement.attempt && o.status == TaskStatus::Exited =>
        {
            note_start_in_response(worker, (key.0.clone(), key.1, placement.attempt));
            Some(Command::Start {
                task: task(),
                attempt,
            })
        }
        (Some(o), Some(grace)) if o.attempt == placement.attempt => {
            let saves_checkpoint = o.status == TaskStatus::Saving && grace > 0;
            let stops = o.status != TaskStatus::Exited && !saves_checkpoint;
            stops.then(|| Command::Stop {
                task: task(),
                attempt,
                grace_period_s: to_secs(grace),
            })
        }
        _ => None,
    }
}

fn note_start_in_response(worker: &mut WorkerState, start: TaskAttempt) {
    let answered = worker.heartbeat.heartbeat_sequence;
    worker
        .outstanding
        .starts_in_response
        .insert(start, answered);
}

/// The attempts that these commands start.
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
    /// Whether this direct command went out less than `span` ago.
    pub fn recently_sent(&self, command: &Command, now: Micros, span: Micros) -> bool {
        let recent = &self.outstanding.recent_commands;
        recent
            .iter()
            .any(|(at, sent)| sent == command && now.saturating_sub(*at) < span)
    }

    /// Remembers direct commands that go out, so that they are not repeated too soon.
    pub fn record_sent_commands(&mut self, commands: &[Command], now: Micros) {
        let recent = &mut self.outstanding.recent_commands;
        recent.retain(|(at, _)| now.saturating_sub(*at) < RECENT_COMMANDS_MEMORY);
        recent.extend(commands.iter().map(|command| (now, command.clone())));
    }

    /// Forgets direct commands that did not go out after all.
    pub fn remove_sent_commands(&mut self, commands: &[Command]) {
        let recent = &mut self.outstanding.recent_commands;
        recent.retain(|(_, sent)| !commands.contains(sent));
    }

    /// Records direct starts that go out: until acknowledged they may be executed at any time.
    pub fn record_direct_starts(&mut self, commands: &[Command]) {
        let starts = started_attempts(commands);
        self.outstanding.unacknowledged_starts.extend(starts);
    }

    /// Direct commands were acknowledged: executed, or refused as a whole.
    pub fn acknowledge_direct(&mut self, commands: &[Command]) {
        for start in started_attempts(commands) {
            self.outstanding.unacknowledged_starts.remove(&start);
        }
    }

    /// Whether an unacknowledged direct start keeps an attempt from being forgotten, moved or started
    /// again. Only a higher term, seen by the worker, makes such a start impossible.
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
