//! Reserve for services: CPUs on on-demand machines that a service can have at once, because they are
//! free or because what runs there is preempted for it. CPUs are in thousandths.

use super::decision::CapacityForecast;
use super::demand::Shortfall;
use super::model::MachineRecord;
use crate::jobs::model::Resources;
use crate::wire::cloud::MachineType;
use crate::wire::user::JobKind;

/// Thousandths of a CPU in one CPU.
const CPU: i64 = 1000;

/// CPUs at hand beyond the reserve; below 0 if the reserve is not met.
pub(super) fn surplus_cpus(forecast: &CapacityForecast<'_>) -> i64 {
    available_cpus(forecast) - required_cpus(forecast)
}

/// CPUs that should be at hand: a share of what services use, and at least the largest service.
fn required_cpus(forecast: &CapacityForecast<'_>) -> i64 {
    let (mut total, mut largest) = (0, 0);
    for (id, job) in &forecast.view.jobs {
        let spec = &job.spec;
        if spec.kind != JobKind::Service || !job.ready || job.cancelled() {
            continue;
        }
        let startable = job.waiting.saturating_sub(forecast.schedule.limited(id));
        total += spec.resources.cpus * i64::from(job.placed + startable);
        largest = largest.max(spec.resources.cpus * i64::from(spec.task_count));
    }
    ((total as f64 * forecast.policy.service_spare) as i64).max(largest)
}

/// CPUs at hand: free on machines of the reserve, or used there by arrays that can be preempted.
fn available_cpus(forecast: &CapacityForecast<'_>) -> i64 {
    let mut total = 0;
    for (id, record) in &forecast.view.machines {
        if !in_reserve(forecast, record) {
            continue;
        }
        if let Some(free) = forecast.schedule.free_resources.get(id) {
            total += free.cpus.max(0) + forecast.view.usage(id).preemptible_cpus;
        }
    }
    total
}

/// Whether a machine counts towards the reserve: on-demand and without GPUs.
pub(super) fn in_reserve(forecast: &CapacityForecast<'_>, record: &MachineRecord) -> bool {
    !record.spot
        && forecast
            .machine_type(record)
            .is_some_and(|machine_type| machine_type.gpus == 0.0)
}

/// What the reserve lacks.
pub(super) fn shortfall<'a>(forecast: &CapacityForecast<'a>) -> Option<Shortfall<'a>> {
    let lacking_cpus = -surplus_cpus(forecast);
    if lacking_cpus <= 0 {
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
            cpus: CPU,
            gpus: 0,
            memory: 0,
        },
        tasks: (lacking_cpus / CPU).max(1) as u32,
        machines: lacking_cpus as f64 / largest_machine_cpus.max(1) as f64,
    })
}
