//! Stops of tasks that must not continue: gangs that lost a task, tasks on machines that are draining (usually after
//! a spot preemption notice) or closing, and tasks that do not fit into their machine's heartbeat (`overfull`). A gang
//! that lost a task or drains is stopped by the controller that places gangs, in one write; other tasks are stopped by
//! the owner of their machine.

use super::SchedulingInput;
use super::backfill::backfill_only;
use super::overfull;
use crate::autoscaler::model::MachineState;
use crate::ids::MachineId;
use crate::jobs::commit::JobChange;
use crate::jobs::model::JobId;
use crate::store::cluster_state::{ClusterState, Job};
use crate::time::Micros;
use crate::wire::user::JobKind;
use std::collections::BTreeSet;

/// Adds the due stops to `changes`.
pub(super) fn drain_machines(input: &SchedulingInput<'_>, changes: &mut Vec<JobChange>) {
    if input.place_gangs {
        for id in gangs_to_check(input.view) {
            if let Some(job) = input.view.jobs.get(id) {
                stop_gang(id, job, changes);
            }
        }
    }
    for machine in &input.view.indexes().not_accepting {
        if must_empty(input, machine) {
            stop_tasks_on(input.view, machine, changes);
        }
    }
    overfull::stop_excess_tasks(input, changes);
}

/// Returns the jobs with a waiting task, whose other tasks may still be placed, and the jobs with a
/// task on a draining machine.
fn gangs_to_check(view: &ClusterState) -> BTreeSet<&JobId> {
    let draining = |id: &MachineId| {
        let machine = view.machines.get(id);
        machine.is_some_and(|m| m.state == MachineState::Draining)
    };
    let mut jobs: BTreeSet<&JobId> = view.indexes().waiting.iter().collect();
    for machine in view
        .indexes()
        .not_accepting
        .iter()
        .filter(|id| draining(id))
    {
        jobs.extend(
            view.tasks_on(machine)
                .into_iter()
                .flat_map(|tasks| tasks.keys())
                .map(|(job, _)| job),
        );
    }
    jobs
}

/// Stops all tasks of a gang: immediately if the gang lost a task, otherwise with time to save a
/// checkpoint.
pub(super) fn stop_gang(id: &JobId, job: &Job, changes: &mut Vec<JobChange>) {
    if job.placed == 0 || job.spec.kind != JobKind::Gang || job.cancelled() {
        return;
    }
    let lost_a_task = job.waiting > 0;
    let grace = match lost_a_task {
        true => 0,
        false => job.spec.checkpoint_save_time,
    };
    for (index, placement) in job.placements() {
        if placement
            .stop_grace_period
            .is_none_or(|earlier| lost_a_task && earlier > grace)
        {
            changes.push(JobChange::Stop {
                job: id.clone(),
                index,
                attempt: placement.attempt,
                grace,
            });
        }
    }
}

/// Returns whether this controller must stop the tasks on a machine: one that it owns and that is
/// draining, or closing with only backfill tasks left.
fn must_empty(input: &SchedulingInput<'_>, id: &MachineId) -> bool {
    let view = input.view;
    let Some(machine) = view.machines.get(id) else {
        return false;
    };
    let only_backfill_left = || {
        machine.state == MachineState::Closing
            && view.tasks_on(id).is_some()
            && backfill_only(view, id, machine)
    };
    (machine.state == MachineState::Draining || only_backfill_left()) && (input.owns_machine)(id)
}

/// Stops services, and arrays that save checkpoints. Other arrays keep running, because they may
/// finish before the machine is terminated.
fn stop_tasks_on(view: &ClusterState, machine: &MachineId, changes: &mut Vec<JobChange>) {
    for ((id, index), placement) in view.tasks_on(machine).into_iter().flatten() {
        let Some(job) = view.jobs.get(id).filter(|job| !job.cancelled()) else {
            continue;
        };
        let Some(grace) = grace_period(job) else {
            continue;
        };
        if placement.stop_grace_period.is_none() {
            changes.push(JobChange::Stop {
                job: id.clone(),
                index: *index,
                attempt: placement.attempt,
                grace,
            });
        }
    }
}

/// Returns the grace period of a task on such a machine; `None` if the task is not stopped here.
fn grace_period(job: &Job) -> Option<Micros> {
    let spec = &job.spec;
    match spec.kind {
        JobKind::Array if spec.checkpoint_interval > 0 => Some(spec.checkpoint_save_time),
        JobKind::Service => Some(0),
        _ => None,
    }
}
