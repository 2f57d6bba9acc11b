//! Service reserve: CPUs on on-demand machines that a service can use immediately, because they are free or
//! used by tasks that can be preempted for it. CPUs are in thousandths of a CPU.

use super::decision::CapacityForecast;
use super::demand::Shortfall;
use super::model::MachineRecord;
use crate::jobs::model::Resources;
use crate::wire::cloud::MachineType;
use crate::wire::message_sizes::largest_attempt_bytes;
use crate::wire::user::JobKind;

const MILLICPUS_PER_CPU: i64 = 1000;

/// Returns the available CPUs beyond the required reserve; negative if the reserve is not met.
pub(super) fn surplus_cpus(forecast: &CapacityForecast<'_>) -> i64 {
    available_cpus(forecast) - required_cpus(forecast)
}

/// Returns the required reserve: a share of the CPUs that services use or wait for within their quota, and at least
/// the CPUs of the largest service.
fn required_cpus(forecast: &CapacityForecast<'_>) -> i64 {
    let (mut total, mut largest) = (0, 0);
    for (id, job) in &forecast.view.jobs {
        let spec = &job.spec;
        if spec.kind != JobKind::Service || !job.ready || job.cancelled() {
            continue;
        }
        let startable = job
            .waiting
            .saturating_sub(forecast.schedule.quota_limited_count(id));
        total += spec.resources.cpus * i64::from(job.placed + startable);
        largest = largest.max(spec.resources.cpus * i64::from(spec.task_count));
    }
    ((total as f64 * forecast.policy.service_reserve_share) as i64).max(largest)
}

/// Returns the available CPUs: free on machines of the reserve, or used there by preemptible arrays.
fn available_cpus(forecast: &CapacityForecast<'_>) -> i64 {
    let mut total = 0;
    for (id, record) in &forecast.view.machines {
        if !in_reserve(forecast, record) {
            continue;
        }
        if let Some(free) = forecast.schedule.free_resources.get(id) {
            // Without room in the heartbeat, a service can only take the place of preempted tasks.
            let heartbeat_full = free.heartbeat_bytes < largest_attempt_bytes();
            let free_cpus = if heartbeat_full { 0 } else { free.cpus.max(0) };
            total += free_cpus + forecast.view.usage(id).preemptible_cpus;
        }
    }
    total
}

/// Returns whether a machine counts towards the reserve, i.e. is on-demand and has no GPUs.
pub(super) fn in_reserve(forecast: &CapacityForecast<'_>, record: &MachineRecord) -> bool {
    !record.spot
        && forecast
            .machine_type(record)
            .is_some_and(|machine_type| machine_type.gpus == 0.0)
}

/// Returns the shortfall of the reserve, or `None` if the reserve is met.
pub(super) fn shortfall<'a>(forecast: &CapacityForecast<'a>) -> Option<Shortfall<'a>> {
    let missing_cpus = -surplus_cpus(forecast);
    if missing_cpus <= 0 {
        return None;
    }
    let types: Vec<&MachineType> = forecast
        .view
        .machine_types
        .values()
        .filter(|machine_type| machine_type.gpus == 0.0)
        .collect();
    let largest_machine_cpus = types
        .iter()
        .map(|machine_type| Resources::of_machine(machine_type).cpus)
        .max()?;
    Some(Shortfall {
        types,
        zones: None,
        spot: false,
        resources: Resources {
            cpus: MILLICPUS_PER_CPU,
            ..Resources::default()
        },
        tasks: (missing_cpus / MILLICPUS_PER_CPU).max(1) as u32,
        machines: missing_cpus as f64 / largest_machine_cpus.max(1) as f64,
    })
}
