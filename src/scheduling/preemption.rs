//! Preemption: stops tasks of lower priority on a machine so that a waiting task fits there.

use super::attempt::PlacementAttempt;
use super::bin_packing::CandidateMachines;
use super::machines::{CandidateMachine, machine_allowed};
use super::zones::zone_allowed;
use crate::jobs::commit::JobChange;
use crate::jobs::model::{JobId, JobSpec, Resources};
use crate::store::cluster_state::ClusterState;
use crate::time::{Micros, SECOND};
use crate::wire::user::{JobKind, Priority};

/// Waiting time after which a controller preempts tasks for a job that it does not own. The job's owner
/// preempts immediately; the others follow in case the owner has nothing to preempt.
pub(super) const NON_OWNER_PREEMPTION_DELAY: Micros = 5 * SECOND;

/// Machines that are considered for preemption.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ImageRequirement {
    /// Only machines that have cached the job's image.
    Cached,
    /// All machines.
    Any,
}

/// A task that may be preempted.
struct PreemptibleTask {
    /// Tasks with lower cost are preempted first.
    cost: i64,
    job: JobId,
    index: u32,
    attempt: u32,
    resources: Resources,
}

/// Tasks that may be preempted on a machine, computed on first use.
pub(super) struct PreemptibleTasks {
    /// Resources of tasks that are already stopping.
    stopping: Resources,
    /// Resources of all tasks in `tasks`.
    total: Resources,
    /// Preemptible tasks, lowest cost first.
    tasks: Vec<PreemptibleTask>,
}

impl PreemptibleTasks {
    /// Returns the tasks that a job may preempt on a machine.
    fn on(view: &ClusterState, spec: &JobSpec, candidate: &CandidateMachine<'_>) -> Self {
        let mut found = PreemptibleTasks {
            stopping: Resources::default(),
            total: Resources::default(),
            tasks: Vec::new(),
        };
        for ((id, index), placement) in view.tasks_on(candidate.id).into_iter().flatten() {
            let Some(job) = view.jobs.get(id) else {
                continue;
            };
            let task_spec = &job.spec;
            if placement.stop_grace_period.is_some() || job.cancelled() {
                found.stopping.add(&task_spec.resources);
            } else if task_spec.priority > spec.priority
                && task_spec.priority >= Priority::Normal
                && task_spec.kind == JobKind::Array
            {
                found.total.add(&task_spec.resources);
                found.tasks.push(PreemptibleTask {
                    cost: preemption_cost(task_spec),
                    job: id.clone(),
                    index: *index,
                    attempt: placement.attempt,
                    resources: task_spec.resources,
                });
            }
        }
        found.tasks.sort_by_key(|task| task.cost);
        found
    }
}

/// Returns the cost of preempting a task. Jobs that save checkpoints cost least, because they lose the
/// least work; among equals, jobs of the lowest priority cost less.
fn preemption_cost(spec: &JobSpec) -> i64 {
    i64::from(spec.checkpoint_interval == 0) * 2 + i64::from(spec.priority == Priority::Normal)
}

/// Way in which one more task could fit on a machine.
enum PreemptionOption {
    /// It fits once tasks that are already stopping have ended.
    FitsAfterStops,
    /// It fits once the first `tasks` preemptible tasks are stopped.
    Stop { cost: i64, tasks: usize },
    /// It does not fit even with preemption.
    None,
}

/// Preempts tasks on the machine where this costs least, so that one more task fits there. If the task fits
/// on a machine after stops that are already in progress, that machine is used and nothing is preempted.
/// Returns false if there is no such machine.
pub(super) fn preempt_for_one_task(
    view: &ClusterState,
    attempt: &PlacementAttempt<'_>,
    candidates: &mut CandidateMachines<'_>,
    image: ImageRequirement,
    changes: &mut Vec<JobChange>,
) -> bool {
    let spec = attempt.spec;
    let mut cheapest: Option<(i64, usize, usize)> = None;
    for (index, candidate) in candidates.list.iter_mut().enumerate() {
        if !is_eligible(attempt, candidate, image) {
            continue;
        }
        match preemption_option(view, attempt, candidate) {
            PreemptionOption::FitsAfterStops => {
                candidates.allocate(index, &spec.resources);
                return true;
            }
            PreemptionOption::Stop { cost, tasks }
                if cheapest.is_none_or(|(lowest, _, _)| cost < lowest) =>
            {
                cheapest = Some((cost, index, tasks));
            }
            _ => {}
        }
    }
    let Some((_, index, tasks)) = cheapest else {
        return false;
    };
    stop_tasks(&mut candidates.list[index], tasks, changes);
    candidates.allocate(index, &spec.resources);
    true
}

fn is_eligible(
    attempt: &PlacementAttempt<'_>,
    candidate: &CandidateMachine<'_>,
    image: ImageRequirement,
) -> bool {
    let spec = attempt.spec;
    candidate.owned
        && machine_allowed(spec, candidate.machine)
        && zone_allowed(spec, &attempt.tasks_by_zone, &candidate.machine.zone)
        && (image == ImageRequirement::Any || candidate.has_image(spec))
}

fn preemption_option(
    view: &ClusterState,
    attempt: &PlacementAttempt<'_>,
    candidate: &mut CandidateMachine<'_>,
) -> PreemptionOption {
    let spec = attempt.spec;
    let mut available = attempt.offered_resources(candidate);
    if candidate.preemptible.is_none() {
        candidate.preemptible = Some(PreemptibleTasks::on(view, spec, candidate));
    }
    let Some(preemptible) = &candidate.preemptible else {
        return PreemptionOption::None;
    };
    available.add(&preemptible.stopping);
    if available.fits(&spec.resources) {
        return PreemptionOption::FitsAfterStops;
    }
    let mut maximum = available;
    maximum.add(&preemptible.total);
    if !maximum.fits(&spec.resources) {
        return PreemptionOption::None;
    }
    let (mut cost, mut tasks) = (0, 0);
    for task in &preemptible.tasks {
        if available.fits(&spec.resources) {
            break;
        }
        // The list may have been computed for a job of higher priority; this job may not preempt all of it.
        let job = view.jobs.get(&task.job);
        if job.is_none_or(|job| job.spec.priority <= spec.priority) {
            break;
        }
        available.add(&task.resources);
        cost += task.cost + 1;
        tasks += 1;
    }
    match available.fits(&spec.resources) {
        true => PreemptionOption::Stop { cost, tasks },
        false => PreemptionOption::None,
    }
}

/// Stops the tasks of a machine that have the lowest cost, without a grace period: a service waits for their
/// resources, and saved checkpoints are kept.
fn stop_tasks(candidate: &mut CandidateMachine<'_>, count: usize, changes: &mut Vec<JobChange>) {
    let Some(preemptible) = &mut candidate.preemptible else {
        return;
    };
    for task in preemptible.tasks.drain(..count) {
        preemptible.stopping.add(&task.resources);
        preemptible.total.subtract(&task.resources);
        changes.push(JobChange::Stop {
            job: task.job,
            index: task.index,
            attempt: task.attempt,
            grace: 0,
        });
    }
}
