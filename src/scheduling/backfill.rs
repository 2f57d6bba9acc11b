//! Backfill: tasks without GPUs on machines with GPUs. They use the resources that GPU tasks leave free
//! and are preempted when a gang needs them. Pure functions.

use super::machines::CandidateMachine;
use crate::autoscaler::model::MachineRecord;
use crate::ids::MachineId;
use crate::jobs::commit::JobChange;
use crate::jobs::model::{JobSpec, MachineUsage, Resources};
use crate::store::cluster_state::ClusterState;
use crate::wire::message_sizes::largest_attempt_bytes;

/// Demand of GPU tasks, for which resources are reserved on machines with GPUs.
#[derive(Clone, Copy)]
pub(super) struct GpuDemand {
    /// Maximum over all GPU tasks, for each resource separately.
    largest_task: Resources,
    /// Whether a GPU task is waiting. If there are machine types without GPUs, resources are reserved
    /// only then.
    gpu_task_waiting: bool,
}

impl GpuDemand {
    /// Computes the demand. `all_kinds` is whether this run considers all waiting jobs. A run that is
    /// restricted to services reads no other jobs and places no backfill tasks, so it does not need to
    /// know whether a GPU task is waiting.
    pub(super) fn of(view: &ClusterState, all_kinds: bool) -> GpuDemand {
        let mut largest_task = Resources::default();
        for [cpus, gpus, memory] in view.indexes().gpu_task_sizes.keys() {
            largest_task = Resources {
                cpus: largest_task.cpus.max(*cpus),
                gpus: largest_task.gpus.max(*gpus),
                memory: largest_task.memory.max(*memory),
                heartbeat_bytes: largest_attempt_bytes(),
            };
        }
        let mut waiting_jobs = view.waiting();
        let gpu_task_waiting = all_kinds
            && waiting_jobs.any(|(_, job)| job.spec.resources.gpus > 0 && job.queued() > 0);
        GpuDemand {
            largest_task,
            gpu_task_waiting,
        }
    }

    /// Returns the free resources of a machine that a job may use.
    pub(super) fn offered_resources(
        &self,
        spec: &JobSpec,
        candidate: &CandidateMachine<'_>,
    ) -> Resources {
        let machine_gpus = candidate.capacity.gpus;
        let has_cpu_only_types = candidate.has_cpu_only_types;
        if spec.resources.gpus > 0
            || machine_gpus == 0
            || !has_cpu_only_types && self.largest_task.gpus == 0
        {
            return candidate.free;
        }
        if has_cpu_only_types && !spec.is_backfill() {
            return Resources::default();
        }
        if has_cpu_only_types && !self.gpu_task_waiting {
            return candidate.free;
        }
        let gpus_per_task = self.largest_task.gpus.max(1);
        let gpu_tasks = (machine_gpus / gpus_per_task).max(1);
        // The resources of GPU tasks that already run here are not in `free`.
        let reserved_tasks = gpu_tasks - (machine_gpus - candidate.free.gpus) / gpus_per_task;
        let mut offered = candidate.free;
        if reserved_tasks > 0 {
            offered.subtract(&Resources {
                gpus: 0,
                ..self.largest_task.for_tasks(reserved_tasks)
            });
        }
        offered
    }
}

/// Returns whether there are machine types without GPUs.
pub(super) fn has_cpu_only_types(view: &ClusterState) -> bool {
    view.machine_types.values().any(|t| t.gpus == 0.0)
}

/// Returns whether a machine runs only backfill tasks, or no tasks at all.
pub fn backfill_only(view: &ClusterState, id: &MachineId, machine: &MachineRecord) -> bool {
    view.tasks_on(id).is_none_or(|tasks| {
        view.usage(id).backfill_tasks as usize == tasks.len()
            && view
                .machine_types
                .get(&machine.machine_type)
                .is_some_and(|t| t.gpus > 0.0)
            && has_cpu_only_types(view)
    })
}

/// Returns the number of tasks, each with `need`, that fit into the free resources of a machine. Backfill tasks can be
/// preempted, so for tasks with GPUs only the GPUs and the bytes of the heartbeat count.
pub fn count_fitting_without_backfill(
    free: &Resources,
    usage: &MachineUsage,
    need: &Resources,
) -> i64 {
    if need.gpus == 0 {
        return free.count_fitting(need);
    }
    let without_backfill = Resources {
        gpus: free.gpus,
        heartbeat_bytes: free.heartbeat_bytes + usage.backfill_heartbeat_bytes,
        ..Resources::default()
    };
    without_backfill.count_fitting(&Resources {
        cpus: 0,
        memory: 0,
        ..*need
    })
}

/// The backfill tasks on one machine.
pub(super) struct BackfillTasks {
    /// Total resources of the tasks.
    pub(super) resources: Resources,
    /// Stop changes for the tasks that are not stopping yet.
    pub(super) stops: Vec<JobChange>,
}

impl BackfillTasks {
    pub(super) fn on(view: &ClusterState, machine: &MachineId) -> BackfillTasks {
        let mut backfill = BackfillTasks {
            resources: Resources::default(),
            stops: Vec::new(),
        };
        for ((id, index), placement) in view.tasks_on(machine).into_iter().flatten() {
            let Some(job) = view.jobs.get(id).filter(|job| job.spec.is_backfill()) else {
                continue;
            };
            backfill.resources.add(&job.spec.resources);
            if placement.stop_grace_period.is_none() && !job.cancelled() {
                backfill.stops.push(JobChange::Stop {
                    job: id.clone(),
                    index: *index,
                    attempt: placement.attempt,
                    grace: job.spec.checkpoint_save_time,
                });
            }
        }
        backfill
    }
}
