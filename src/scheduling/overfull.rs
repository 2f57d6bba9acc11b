//! Machines with more tasks than fit into their heartbeat. Placement leaves none, but an earlier version does, and two
//! controllers may place on one machine at the same time. The owner stops the excess tasks: the worker could not
//! report them, its lease would expire, and all tasks on the machine would be lost.

use super::SchedulingInput;
use super::draining::stop_gang;
use crate::ids::MachineId;
use crate::jobs::commit::JobChange;
use crate::jobs::model::{JobId, Placement};
use crate::store::cluster_state::{ClusterState, Job};
use crate::wire::user::{JobKind, Priority};
use foldhash::HashSet;
use std::cmp::Reverse;

/// A task that may be stopped.
struct ExcessCandidate<'a> {
    id: &'a JobId,
    index: u32,
    placement: &'a Placement,
    job: &'a Job,
}

impl ExcessCandidate<'_> {
    /// Returns the position in the order in which tasks are stopped: arrays, then services, then gangs, of which the
    /// whole gang stops; lower priorities first. A machine starts its tasks in the order of their names, so the last
    /// ones have most likely not started yet.
    fn order(&self) -> (u8, Reverse<Priority>, Reverse<(&JobId, u32)>) {
        let kind = match self.job.spec.kind {
            JobKind::Array => 0,
            JobKind::Service => 1,
            JobKind::Gang => 2,
        };
        let name = (self.id, self.index);
        (kind, Reverse(self.job.spec.priority), Reverse(name))
    }

    fn is_stopping(&self) -> bool {
        self.placement.stop_grace_period.is_some() || self.job.cancelled()
    }

    fn stop(&self, changes: &mut Vec<JobChange>) {
        changes.push(JobChange::Stop {
            job: self.id.clone(),
            index: self.index,
            attempt: self.placement.attempt,
            grace: self.job.spec.checkpoint_save_time,
        });
    }
}

/// Stops the excess tasks on the overfull machines that this controller owns and knows from their workers' messages.
/// A new owner does not know yet which tasks have ended although their blocks do not record it.
pub(super) fn stop_excess_tasks(input: &SchedulingInput<'_>, changes: &mut Vec<JobChange>) {
    let mut stopped_gangs: HashSet<&JobId> = HashSet::default();
    let overfull = input.view.indexes().overfull.iter();
    for machine in overfull.filter(|id| is_owned_and_known(input, id)) {
        let mut excess = excess_bytes(input, machine);
        let mut candidates = candidates(input.view, machine);
        candidates.sort_by(|a, b| a.order().cmp(&b.order()));
        for task in candidates {
            if excess <= 0 {
                break;
            }
            excess -= task.job.spec.resources.heartbeat_bytes;
            if task.job.spec.kind != JobKind::Gang {
                task.stop(changes);
            } else if stopped_gangs.insert(task.id) {
                stop_gang(task.id, task.job, changes);
            }
        }
    }
}

fn is_owned_and_known(input: &SchedulingInput<'_>, id: &MachineId) -> bool {
    let record = input.view.machines.get(id);
    let schedulable = record.and_then(|record| (input.schedulable_machine)(id, record));
    schedulable.is_some_and(|machine| machine.owned)
}

/// Returns the bytes by which the tasks that remain on a machine exceed its heartbeat. Tasks that are stopping, and
/// those that have ended although their blocks do not record it yet, do not remain.
fn excess_bytes(input: &SchedulingInput<'_>, machine: &MachineId) -> i64 {
    let view = input.view;
    let Some(capacity) = view.capacity(machine) else {
        return 0;
    };
    let released = input.released_resources.get(machine);
    let released_bytes = released.map_or(0, |released| released.heartbeat_bytes);
    let stopping_bytes: i64 = tasks_on(view, machine)
        .filter(ExcessCandidate::is_stopping)
        .map(|task| task.job.spec.resources.heartbeat_bytes)
        .sum();
    view.usage(machine).used.heartbeat_bytes
        - capacity.heartbeat_bytes
        - released_bytes
        - stopping_bytes
}

fn candidates<'a>(view: &'a ClusterState, machine: &MachineId) -> Vec<ExcessCandidate<'a>> {
    tasks_on(view, machine)
        .filter(|task| !task.is_stopping())
        .collect()
}

fn tasks_on<'a>(
    view: &'a ClusterState,
    machine: &MachineId,
) -> impl Iterator<Item = ExcessCandidate<'a>> {
    let tasks = view.tasks_on(machine).into_iter().flatten();
    tasks.filter_map(|((id, index), placement)| {
        Some(ExcessCandidate {
            id,
            index: *index,
            placement,
            job: view.jobs.get(id)?,
        })
    })
}
