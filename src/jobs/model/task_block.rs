//! Task states, grouped into blocks that are stored as one value each, and the plain stored form of a
//! block.

use crate::ids::MachineId;
use crate::time::Micros;
use serde::{Deserialize, Serialize};

/// Number of tasks in a block. It must not change, because it is part of the layout of the stored state.
pub const TASKS_PER_BLOCK: u32 = 256;
/// Largest number of tasks of a job.
pub const MAX_TASKS: u32 = 100_000;

/// Number of microseconds in a millisecond: grace periods are stored in milliseconds.
const MICROS_PER_MILLI: Micros = 1000;

/// Placement of an attempt on a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Number of the attempt; the first is 1.
    pub attempt: u32,
    /// Machine on which the attempt is placed.
    pub machine: MachineId,
    /// Session of the machine for which the start is valid.
    pub session: u64,
    /// Grace period of the stop request; `None` if the attempt was not requested to stop.
    pub stop_grace_period: Option<Micros>,
}

/// State of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// On no machine; contains the number of attempts so far.
    Waiting(u32),
    /// On a machine, or about to be started there.
    Placed(Placement),
    /// Completed.
    Done,
}

impl TaskState {
    /// Returns the number of the last attempt; 0 if the task is done.
    pub fn last_attempt(&self) -> u32 {
        match self {
            TaskState::Waiting(attempts) => *attempts,
            TaskState::Placed(placement) => placement.attempt,
            TaskState::Done => 0,
        }
    }
}

/// States of up to [`TASKS_PER_BLOCK`] tasks, in the order of their indexes.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct TaskBlock(pub Vec<TaskState>);

/// Returns the number of blocks of a job with `task_count` tasks.
pub fn block_count(task_count: u32) -> u32 {
    task_count.div_ceil(TASKS_PER_BLOCK)
}

/// Returns block `block` of a job with `task_count` tasks, before any task was placed.
pub fn unplaced_block(task_count: u32, block: u32) -> TaskBlock {
    let len = task_count
        .saturating_sub(block * TASKS_PER_BLOCK)
        .min(TASKS_PER_BLOCK);
    TaskBlock(vec![TaskState::Waiting(0); len as usize])
}

/// Returns the stored form of a grace period: 0 for none, otherwise milliseconds plus 1.
pub(super) fn encode_grace(grace: Option<Micros>) -> u64 {
    grace.map_or(0, |micros| micros / MICROS_PER_MILLI + 1)
}

/// Returns the grace period with a given stored form.
pub(super) fn decode_grace(stored: u64) -> Option<Micros> {
    stored
        .checked_sub(1)
        .map(|millis| millis * MICROS_PER_MILLI)
}

/// A state in the plain stored form: kind, attempt, machine, session, grace period.
pub(super) type PlainState = (u8, u32, String, u64, u64);

/// Values of the kind in the plain stored form.
const KIND_WAITING: u8 = 0;
const KIND_PLACED: u8 = 1;
const KIND_DONE: u8 = 2;

impl From<&TaskState> for PlainState {
    fn from(state: &TaskState) -> PlainState {
        match state {
            TaskState::Waiting(attempts) => (KIND_WAITING, *attempts, String::new(), 0, 0),
            TaskState::Placed(placement) => (
                KIND_PLACED,
                placement.attempt,
                placement.machine.to_string(),
                placement.session,
                encode_grace(placement.stop_grace_period),
            ),
            TaskState::Done => (KIND_DONE, 0, String::new(), 0, 0),
        }
    }
}

impl From<PlainState> for TaskState {
    fn from((kind, attempt, machine, session, grace): PlainState) -> TaskState {
        match kind {
            KIND_PLACED => TaskState::Placed(Placement {
                attempt,
                machine: machine.into(),
                session,
                stop_grace_period: decode_grace(grace),
            }),
            KIND_DONE => TaskState::Done,
            _ => TaskState::Waiting(attempt),
        }
    }
}

impl Serialize for TaskBlock {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.0.iter().map(PlainState::from))
    }
}

impl<'de> Deserialize<'de> for TaskBlock {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<TaskBlock, D::Error> {
        let states: Vec<PlainState> = Vec::deserialize(deserializer)?;
        Ok(TaskBlock(states.into_iter().map(TaskState::from).collect()))
    }
}

/// Returns a task's name on the wire.
pub fn task_name(job: &str, index: u32) -> String {
    format!("{job}/{index}")
}

/// Splits a task's name into its job and its index; `None` if the name is malformed.
pub fn parse_task(name: &str) -> Option<(&str, u32)> {
    let (job, index) = name.rsplit_once('/')?;
    Some((job, index.parse().ok()?))
}
