//! Room in a machine's heartbeat. Pure.
//!
//! A heartbeat names every attempt on the machine, also an exited one until the worker forgets it, and its size is
//! limited. A worker that cannot send it loses its lease, which ends all its tasks. So a start is withheld as long as
//! the attempts that are on the machine, or may still start there, would not fit together with it, whatever states
//! they get into.

use super::worker_state::{TaskAttempt, WorkerState};
use crate::ids::MachineId;
use crate::jobs::model::{JobId, Placement, parse_task};
use crate::store::cluster_state::ClusterState;
use crate::wire::MAX_BODY_BYTES;
use crate::wire::message_sizes::largest_attempt_bytes;
use crate::wire::worker::Command;
use foldhash::HashSet;
use std::collections::BTreeMap;

/// Capacity of a heartbeat of a machine whose type is not known, which leaves a quarter for names.
const DEFAULT_CAPACITY: i64 = MAX_BODY_BYTES as i64 * 3 / 4;

/// Room for the attempts that a message starts.
#[derive(Debug)]
pub(super) enum HeartbeatRoom {
    /// Every task that is placed on the machine fits.
    Sufficient,
    /// Only some of the placed tasks fit at the same time as what is on the machine.
    Short {
        /// Bytes that are not in use; negative if the machine has too many attempts.
        free_bytes: i64,
        /// Attempts that may still start without a further command, for which the room is in use already.
        outstanding: HashSet<TaskAttempt>,
    },
}

impl HeartbeatRoom {
    /// Returns the room on a machine before any command of a message.
    pub(super) fn of(
        view: &ClusterState,
        machine: &MachineId,
        worker: &WorkerState,
        placed: &BTreeMap<(JobId, u32), Placement>,
    ) -> HeartbeatRoom {
        let capacity = capacity(view, machine);
        let most_attempts = worker.tasks.len()
            + worker.invalid_task_count
            + worker.outstanding_start_count()
            + placed.len();
        if most_attempts as i64 * largest_attempt_bytes() <= capacity {
            return HeartbeatRoom::Sufficient;
        }
        let outstanding = worker.unobserved_starts();
        let used_bytes = worker.invalid_task_count as i64 * largest_attempt_bytes()
            + sum_bytes(view, worker.tasks.keys().map(|(job, _)| job))
            + sum_bytes(view, outstanding.iter().map(|(job, _, _)| job));
        let not_started = placed.iter().filter(|((job, index), placement)| {
            let attempt = (job.clone(), *index, placement.attempt);
            let observed = worker.tasks.get(&(job.clone(), *index));
            placement.session == worker.session
                && observed.is_none_or(|observed| observed.attempt != placement.attempt)
                && !outstanding.contains(&attempt)
        });
        let needed_bytes = sum_bytes(view, not_started.map(|((job, _), _)| job));
        if used_bytes + needed_bytes <= capacity {
            return HeartbeatRoom::Sufficient;
        }
        HeartbeatRoom::Short {
            free_bytes: capacity - used_bytes,
            outstanding,
        }
    }

    /// Returns whether some of the placed tasks do not fit.
    pub(super) fn is_short(&self) -> bool {
        matches!(self, HeartbeatRoom::Short { .. })
    }

    /// Adds the room of the attempts that commands make the worker forget. The worker executes the commands of a
    /// message in order, so the room is there for the starts that follow them.
    pub(super) fn release_forgotten(&mut self, view: &ClusterState, commands: &[Command]) {
        let HeartbeatRoom::Short { free_bytes, .. } = self else {
            return;
        };
        for command in commands {
            if let Command::Forget { task, .. } = command
                && let Some((job, _)) = parse_task(task)
            {
                *free_bytes += attempt_bytes(view, job);
            }
        }
    }

    /// Takes the room for a start. Returns `false` if it does not fit.
    pub(super) fn take(&mut self, view: &ClusterState, start: &TaskAttempt) -> bool {
        let HeartbeatRoom::Short {
            free_bytes,
            outstanding,
        } = self
        else {
            return true;
        };
        if outstanding.contains(start) {
            return true;
        }
        let needed_bytes = attempt_bytes(view, &start.0);
        if needed_bytes > *free_bytes {
            return false;
        }
        *free_bytes -= needed_bytes;
        true
    }
}

/// Returns the bytes that attempts may take in a heartbeat of a machine.
fn capacity(view: &ClusterState, machine: &MachineId) -> i64 {
    let capacity = view.capacity(machine);
    capacity.map_or(DEFAULT_CAPACITY, |capacity| capacity.heartbeat_bytes)
}

/// Returns the most bytes that an attempt takes. A job that has ended is not in the view any more.
fn attempt_bytes(view: &ClusterState, job: &str) -> i64 {
    let job = view.jobs.get(job);
    job.map_or(largest_attempt_bytes(), |job| {
        job.spec.resources.heartbeat_bytes
    })
}

fn sum_bytes<'a>(view: &ClusterState, jobs: impl Iterator<Item = &'a JobId>) -> i64 {
    jobs.map(|job| attempt_bytes(view, job)).sum()
}

#[cfg(test)]
mod tests;
