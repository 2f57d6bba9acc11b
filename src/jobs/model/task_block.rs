//! Task states, grouped into blocks that are stored as one value each, and the plain stored form of a
//! block.

use crate::ids::MachineId;
use crate::time::Micros;
use crate::wire::json_size;
use serde::{Deserialize, Serialize};
use std::ops::Range;

/// Number of tasks in a block. It must not change, because it is part of the layout of the stored state.
pub const TASKS_PER_BLOCK: u32 = 256;
/// Largest number of tasks of a job.
pub const MAX_TASKS: u32 = 100_000;

/// Number of microseconds in a millisecond: grace periods are stored in milliseconds.
const MICROS_PER_MILLI: Micros = 1000;

/// Stored form of a grace period of a thousand seconds.
const LONG_STORED_GRACE: u64 = 1_000_001;
/// Size of the separator between two entries of a plain block, in bytes.
const SEPARATOR_BYTES: usize = 1;
/// Size of the brackets around the entries of a plain block, in bytes.
const BRACKET_BYTES: usize = 2;

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
    /// Returns the largest size of the state's entry in the plain stored form, in bytes of JSON with a separator.
    /// A placed task counts with a stop request, so that the request fits later.
    pub fn plain_bytes(&self) -> usize {
        let (kind, attempt, machine, session, grace) = PlainState::from(self);
        let grace = match self {
            TaskState::Placed(_) => grace.max(LONG_STORED_GRACE),
            _ => grace,
        };
        json_size(&(kind, attempt, machine, session, grace)) + SEPARATOR_BYTES
    }
}

impl Default for TaskState {
    /// State of a task before its first attempt.
    fn default() -> TaskState {
        TaskState::Waiting(0)
    }
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

/// Consecutive tasks in the same state.
#[derive(Clone, Debug, PartialEq, Eq)]
struct TaskRun {
    /// Position after the last task of the run.
    end: u32,
    state: TaskState,
}

/// States of up to [`TASKS_PER_BLOCK`] tasks, in the order of their indexes.
///
/// Consecutive tasks in the same state share an entry, so that the memory of a block grows with the number of
/// its state changes and not with the number of its tasks: of a large array, most tasks are waiting or done.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct TaskBlock {
    /// Runs in ascending order. None is empty, and adjacent ones differ in state.
    runs: Vec<TaskRun>,
}

impl TaskBlock {
    /// Returns a block of `len` tasks in the same state.
    pub fn uniform(len: u32, state: TaskState) -> TaskBlock {
        match len {
            0 => TaskBlock::default(),
            end => TaskBlock {
                runs: vec![TaskRun { end, state }],
            },
        }
    }

    /// Returns the number of tasks.
    pub fn len(&self) -> u32 {
        self.runs.last().map_or(0, |run| run.end)
    }

    /// Returns whether the block has no tasks: the stored form of a block that was not written yet.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns the state of the task at a position.
    pub fn get(&self, position: u32) -> Option<&TaskState> {
        let run = self.runs.get(self.run_index(position))?;
        Some(&run.state)
    }

    /// Changes the state of the task at a position. Positions after the last task are ignored.
    pub fn set(&mut self, position: u32, state: TaskState) {
        let index = self.run_index(position);
        let Some(TaskRun { end, state: old }) = self.runs.get(index).cloned() else {
            return;
        };
        if old == state {
            return;
        }
        let has_tasks_before = self.run_start(index) < position;
        let before = has_tasks_before.then(|| TaskRun {
            end: position,
            state: old.clone(),
        });
        let changed = TaskRun {
            end: position + 1,
            state,
        };
        let after = (position + 1 < end).then_some(TaskRun { end, state: old });
        let replacement = before.into_iter().chain([changed]).chain(after);
        self.runs.splice(index..=index, replacement);
        let changed_index = index + usize::from(has_tasks_before);
        self.merge_with_next(changed_index);
        if let Some(previous) = changed_index.checked_sub(1) {
            self.merge_with_next(previous);
        }
    }

    /// Returns the states of all tasks.
    pub fn iter(&self) -> impl Iterator<Item = &TaskState> {
        self.runs()
            .flat_map(|(positions, state)| std::iter::repeat_n(state, positions.len()))
    }

    /// Returns the states with the positions of the consecutive tasks in each of them.
    pub fn runs(&self) -> impl Iterator<Item = (Range<u32>, &TaskState)> {
        let starts = std::iter::once(0).chain(self.runs.iter().map(|run| run.end));
        let ranges = starts.zip(&self.runs);
        ranges.map(|(start, run)| (start..run.end, &run.state))
    }

    /// Returns whether a condition holds for the states of all tasks.
    pub fn all(&self, condition: impl Fn(&TaskState) -> bool) -> bool {
        self.runs.iter().all(|run| condition(&run.state))
    }

    /// Returns the number of tasks that are done.
    pub fn done(&self) -> u32 {
        let done = self.runs().filter(|(_, state)| **state == TaskState::Done);
        done.map(|(positions, _)| positions.len() as u32).sum()
    }

    /// Returns up to `len` tasks from position `start` on.
    #[must_use]
    pub fn slice(&self, start: u32, len: u32) -> TaskBlock {
        let end = start.saturating_add(len);
        let mut slice = TaskBlock::default();
        for (positions, state) in self.runs() {
            let overlap = positions.start.max(start)..positions.end.min(end);
            slice.extend_by(overlap.len() as u32, state);
        }
        slice
    }

    /// Overwrites the tasks from position `start` on by others. Those that would come after the last task of
    /// this block are ignored.
    pub fn overwrite(&mut self, start: u32, tasks: &TaskBlock) {
        let len = self.len();
        let mut result = self.slice(0, start);
        let rest = self.slice(start.saturating_add(tasks.len()), len);
        for part in [tasks, &rest] {
            for (positions, state) in part.runs() {
                let room = len - result.len();
                result.extend_by(room.min(positions.len() as u32), state);
            }
        }
        result.runs.shrink_to_fit();
        *self = result;
    }

    /// Returns the largest size of the block in plain stored form, in bytes of JSON.
    pub fn plain_bytes(&self) -> usize {
        let entries = self
            .runs()
            .map(|(positions, state)| positions.len() * state.plain_bytes());
        entries.sum::<usize>() + BRACKET_BYTES
    }

    /// Returns the memory that the block has allocated, in bytes. Names of machines are not included.
    pub fn allocated_bytes(&self) -> usize {
        self.runs.capacity() * size_of::<TaskRun>()
    }

    /// Returns the index of the run that contains a position, or the number of runs if none does.
    fn run_index(&self, position: u32) -> usize {
        self.runs.partition_point(|run| run.end <= position)
    }

    /// Returns the position of the first task of a run.
    fn run_start(&self, index: usize) -> u32 {
        match index.checked_sub(1) {
            Some(previous) => self.runs[previous].end,
            None => 0,
        }
    }

    /// Merges a run with the next one if both have the same state.
    fn merge_with_next(&mut self, index: usize) {
        if let [run, next, ..] = &self.runs[index..]
            && run.state == next.state
        {
            self.runs.remove(index);
        }
    }

    /// Appends `count` tasks in the same state.
    fn extend_by(&mut self, count: u32, state: &TaskState) {
        if count == 0 {
            return;
        }
        let end = self.len() + count;
        match self.runs.last_mut() {
            Some(last) if last.state == *state => last.end = end,
            _ => self.runs.push(TaskRun {
                end,
                state: state.clone(),
            }),
        }
    }
}

impl FromIterator<TaskState> for TaskBlock {
    fn from_iter<T: IntoIterator<Item = TaskState>>(states: T) -> TaskBlock {
        let mut block = TaskBlock::default();
        for state in states {
            block.extend_by(1, &state);
        }
        block.runs.shrink_to_fit();
        block
    }
}

impl From<Vec<TaskState>> for TaskBlock {
    fn from(states: Vec<TaskState>) -> TaskBlock {
        states.into_iter().collect()
    }
}

/// Returns the number of blocks of a job with `task_count` tasks.
pub fn block_count(task_count: u32) -> u32 {
    task_count.div_ceil(TASKS_PER_BLOCK)
}

/// Returns block `block` of a job with `task_count` tasks, before any task was placed.
pub fn unplaced_block(task_count: u32, block: u32) -> TaskBlock {
    let len = task_count
        .saturating_sub(block * TASKS_PER_BLOCK)
        .min(TASKS_PER_BLOCK);
    TaskBlock::uniform(len, TaskState::default())
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
        serializer.collect_seq(self.iter().map(PlainState::from))
    }
}

impl<'de> Deserialize<'de> for TaskBlock {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<TaskBlock, D::Error> {
        let states: Vec<PlainState> = Vec::deserialize(deserializer)?;
        Ok(states.into_iter().map(TaskState::from).collect())
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

#[cfg(test)]
mod tests;
