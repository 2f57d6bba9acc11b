//! States of tasks, in blocks that are one stored value each, and the plain stored form of a block.

use crate::ids::MachineId;
use crate::time::Micros;
use serde::{Deserialize, Serialize};

/// Tasks in a block. Fixed: it is part of the layout of the stored state.
pub const BLOCK: u32 = 256;
/// Largest number of tasks of a job.
pub const MAX_TASKS: u32 = 100_000;

/// Microseconds in a millisecond: grace periods are stored in milliseconds.
const MICROS_PER_MILLI: Micros = 1000;

/// Where an attempt was placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Number of the attempt; the first is 1.
    pub attempt: u32,
    /// Machine that it is placed on.
    pub machine: MachineId,
    /// Session of the machine that the start is meant for.
    pub session: u64,
    /// Grace period with which it was asked to stop; `None` if it was not.
    pub stop: Option<Micros>,
}

/// State of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// On no machine; holds the number of attempts made.
    Waiting(u32),
    /// On a machine, or about to be started there.
    Placed(Placement),
    /// Completed.
    Done,
}

impl TaskState {
    /// Number of the last attempt; 0 once the task is done.
    pub fn attempt(&self) -> u32 {
        match self {
            TaskState::Waiting(attempts) => *attempts,
            TaskState::Placed(placement) => placement.attempt,
            TaskState::Done => 0,
        }
    }
}

/// The states of up to [`BLOCK`] tasks in the order of their indexes.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct TaskBlock(pub Vec<TaskState>);

/// Number of blocks of a job with this many tasks.
pub fn blocks(tasks: u32) -> u32 {
    tasks.div_ceil(BLOCK)
}

/// Block `n` of a job with this many tasks, before any of them was placed.
pub fn fresh(tasks: u32, n: u32) -> TaskBlock {
    let len = tasks.saturating_sub(n * BLOCK).min(BLOCK);
    TaskBlock(vec![TaskState::Waiting(0); len as usize])
}

/// The stored form of a grace period: 0 for none, otherwise milliseconds plus 1.
pub(super) fn encode_grace(grace: Option<Micros>) -> u64 {
    grace.map_or(0, |micros| micros / MICROS_PER_MILLI + 1)
}

/// Reads the stored form of a grace period.
pub(super) fn decode_grace(stored: u64) -> Option<Micros> {
    stored
        .checked_sub(1)
        .map(|millis| millis * MICROS_PER_MILLI)
}

/// A state in the plain stored form: kind, attempt, machine, session, grace period.
pub(super) type PlainState = (u8, u32, String, u64, u64);

/// Kinds of the plain stored form.
const WAITING: u8 = 0;
const PLACED: u8 = 1;
const DONE: u8 = 2;

impl From<&TaskState> for PlainState {
    fn from(state: &TaskState) -> PlainState {
        match state {
            TaskState::Waiting(attempts) => (WAITING, *attempts, String::new(), 0, 0),
            TaskState::Placed(placement) => (
                PLACED,
                placement.attempt,
                placement.machine.to_string(),
                placement.session,
                encode_grace(placement.stop),
            ),
            TaskState::Done => (DONE, 0, String::new(), 0, 0),
        }
    }
}

impl From<PlainState> for TaskState {
    fn from((kind, attempt, machine, session, grace): PlainState) -> TaskState {
        match kind {
            PLACED => TaskState::Placed(Placement {
                attempt,
                machine: machine.into(),
                session,
                stop: decode_grace(grace),
            }),
            DONE => TaskState::Done,
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

/// A task's name on the wire.
pub fn task_name(job: &str, index: u32) -> String {
    format!("{job}/{index}")
}

/// Reads a task's name: its job and its index. `None` if it is not of that form.
pub fn parse_task(name: &str) -> Option<(&str, u32)> {
    let (job, index) = name.rsplit_once('/')?;
    Some((job, index.parse().ok()?))
}
