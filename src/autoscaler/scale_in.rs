//! Scale-in: selects machines to terminate, and machines to cordon until they are empty. All functions are
//! pure.

use super::decision::{CapacityForecast, MINIMUM_CHARGE_DURATION, ScalingDecision};
use super::demand::Shortfall;
use super::machine_pool::MachinePool;
use super::model::{MachineRecord, MachineState};
use super::provisioning_timeout::ProvisioningTimeouts;
use super::service_reserve::in_reserve;
use crate::ids::MachineId;
use crate::jobs::model::Resources;
use crate::scheduling::backfill_only;
use crate::wire::cloud::MachineType;
use foldhash::HashSet;

/// Price of a spot machine, as a share of the on-demand price, below which it replaces an on-demand machine.
/// The difference must exceed the cost of moving the work.
const MAX_SPOT_PRICE_SHARE: f64 = 0.7;
/// Free capacity, in machines, that is kept when machines are cordoned.
const RESERVED_FREE_MACHINES: f64 = 1.5;
/// Number of idle GPU machines that are kept, as a share of the GPU machines in use.
const IDLE_GPU_MACHINE_SHARE: f64 = 0.1;

/// Returns the machines to terminate regardless of demand: machines whose provisioning timed out, and
/// quarantined or cordoned machines that are empty.
pub(super) fn terminable_machines(forecast: &CapacityForecast<'_>) -> Vec<MachineId> {
    let timeouts = ProvisioningTimeouts::new(forecast);
    let mut machines = Vec::new();
    for (id, record) in &forecast.view.machines {
        if timeouts.timed_out(forecast, id, record) {
            machines.push(id.clone());
        }
        let minimum_charge_elapsed = forecast.age(record) >= MINIMUM_CHARGE_DURATION;
        let is_removable = record.state == MachineState::Quarantined
            || (record.state == MachineState::Closing && minimum_charge_elapsed);
        if is_removable && !forecast.has_tasks(id) {
            machines.push(id.clone());
        }
    }
    machines
}

/// Releases idle machines with GPUs. Empty machines have already used the minimum charge and are terminated
/// without being cordoned first.
pub(super) fn release_idle_gpu_machines(
    forecast: &CapacityForecast<'_>,
    pool: &MachinePool<'_>,
    decision: &mut ScalingDecision,
) {
    for id in idle_gpu_machines(forecast, pool) {
        if forecast.has_tasks(&id) {
            decision.cordon.push(id);
        } else {
            decision.scale_in.push(id);
        }
    }
}

/// Returns the GPU machines beyond those in use, those that waiting tasks can fill, and a margin. GPU
/// machines are the most expensive, so they are released without the usual idle time, whether they are empty
/// or run backfill tasks.
fn idle_gpu_machines(forecast: &CapacityForecast<'_>, pool: &MachinePool<'_>) -> Vec<MachineId> {
    if !pool.needs_gpus() {
        return Vec::new();
    }
    let mut in_use = 0usize;
    // Spot flag and id of each idle machine.
    let mut idle: Vec<(bool, &MachineId)> = Vec::new();
    for (id, record) in forecast.machines_in(MachineState::Up) {
        if !pool.has_type(record) {
            continue;
        }
        if !backfill_only(forecast.view, id, record) {
            in_use += 1;
        } else if forecast.age(record) >= MINIMUM_CHARGE_DURATION {
            idle.push((record.spot, id));
        }
    }
    let kept_count = pool.waiting_machines + in_use as f64 * IDLE_GPU_MACHINE_SHARE;
    let surplus = idle.len().saturating_sub(kept_count.ceil() as usize);
    // On-demand machines are released first, except those that gangs wait for.
    idle.sort();
    let on_demand = idle.iter().filter(|(spot, _)| !spot).count();
    idle.drain(..on_demand.min(pool.on_demand_gang_machines.ceil() as usize));
    idle.truncate(surplus);
    idle.into_iter().map(|(_, id)| id.clone()).collect()
}

/// Machine that could be cordoned. On-demand machines come first, then machines with the fewest tasks.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct CordonCandidate<'a> {
    spot: bool,
    tasks: usize,
    id: &'a MachineId,
    /// CPUs that the service reserve loses with the machine, in thousandths of a CPU.
    reserve_cpus: i64,
}

/// Returns the surplus machines of a satisfied pool. Their work is consolidated on the other machines.
/// `reserve_surplus_cpus` is the surplus of the service reserve and is reduced by each machine returned.
pub(super) fn surplus_machines(
    forecast: &CapacityForecast<'_>,
    pool: &MachinePool<'_>,
    reserve_surplus_cpus: &mut i64,
) -> Vec<MachineId> {
    // Tasks of gangs are not consolidated, so the free capacity for which machines were cordoned remains
    // free. If it were counted again in each decision, every machine in use would be cordoned and others
    // provisioned in their place. Machines that are already cordoned are therefore subtracted.
    let cordoned = match pool.needs_gpus() {
        true => forecast
            .machines_in(MachineState::Closing)
            .filter(|(_, record)| pool.has_type(record))
            .count(),
        false => 0,
    };
    let surplus = free_machines(forecast, pool) - RESERVED_FREE_MACHINES - cordoned as f64;
    let surplus = surplus.max(0.0) as usize;
    let mut candidates: Vec<CordonCandidate<'_>> = forecast
        .machines_in(MachineState::Up)
        .filter(|(id, record)| {
            forecast.service_cpus(id) == 0
                && forecast.age(record) >= MINIMUM_CHARGE_DURATION / 2
                && forecast.has_tasks(id)
        })
        .filter_map(|(id, record)| cordon_candidate(forecast, pool, id, record))
        .collect();
    candidates.sort();
    let mut machines = Vec::new();
    for candidate in candidates.into_iter().take(surplus) {
        if *reserve_surplus_cpus >= candidate.reserve_cpus {
            *reserve_surplus_cpus -= candidate.reserve_cpus;
            machines.push(candidate.id.clone());
        }
    }
    machines
}

/// Returns the candidate for a machine, or `None` if its type does not belong to the pool.
fn cordon_candidate<'a>(
    forecast: &CapacityForecast<'_>,
    pool: &MachinePool<'_>,
    id: &'a MachineId,
    record: &MachineRecord,
) -> Option<CordonCandidate<'a>> {
    let machine_type = pool.type_of(record)?;
    let tasks = match forecast.view.tasks_on(id) {
        Some(_) if pool.needs_gpus() && backfill_only(forecast.view, id, record) => 0,
        Some(tasks) => tasks.len(),
        None => 0,
    };
    let reserve_cpus = match in_reserve(forecast, record) {
        true => Resources::of_machine(machine_type).cpus,
        false => 0,
    };
    Some(CordonCandidate {
        spot: record.spot,
        tasks,
        id,
        reserve_cpus,
    })
}

/// Returns the free capacity of a pool's machines that are up, in machines. It is measured in GPUs if tasks
/// of the pool need GPUs, since backfill tasks can be preempted, and in CPUs otherwise; in both cases it is limited
/// by the free part of the heartbeat.
fn free_machines(forecast: &CapacityForecast<'_>, pool: &MachinePool<'_>) -> f64 {
    forecast
        .machines_in(MachineState::Up)
        .filter_map(|(id, record)| {
            let total = Resources::of_machine(pool.type_of(record)?);
            let free = forecast.schedule.free_resources.get(id)?;
            let (free_units, total_units) = match pool.needs_gpus() {
                true => (free.gpus, total.gpus),
                false => (free.cpus, total.cpus),
            };
            let share = |free: i64, total: i64| free.max(0) as f64 / total.max(1) as f64;
            // A machine whose heartbeat is full takes no more tasks, whatever else is free.
            let heartbeat_share = share(free.heartbeat_bytes, total.heartbeat_bytes);
            Some(share(free_units, total_units).min(heartbeat_share))
        })
        .sum()
}

/// Returns a shortfall of spot machines that replace on-demand machines, if all work of the pool may run on
/// spot machines. No spot machines were available when the on-demand machines were provisioned. The
/// on-demand machines are cordoned as surplus once the spot machines are up.
pub(super) fn spot_replacement<'a>(
    forecast: &CapacityForecast<'a>,
    pool: &MachinePool<'a>,
) -> Option<Shortfall<'a>> {
    if !pool.all_allow_spot || !forecast.policy.use_spot {
        return None;
    }
    let replaceable = forecast
        .machines_in(MachineState::Up)
        .filter(|(id, record)| {
            !record.spot
                && pool.has_type(record)
                && forecast.service_cpus(id) == 0
                && forecast.has_tasks(id)
        })
        .count();
    let spot_is_booting = forecast
        .machines_in(MachineState::Booting)
        .any(|(_, record)| record.spot);
    let types: Vec<&MachineType> = pool
        .types
        .iter()
        .filter(|machine_type| {
            machine_type
                .spot_price_per_hour
                .is_some_and(|price| price < machine_type.price_per_hour * MAX_SPOT_PRICE_SHARE)
        })
        .filter(|machine_type| {
            let mut zones = machine_type.zones.iter();
            zones.any(|zone| !(forecast.recently_refused)(&machine_type.name, zone, true))
        })
        .copied()
        .collect();
    if replaceable == 0 || spot_is_booting || types.is_empty() {
        return None;
    }
    Some(Shortfall {
        types,
        zones: None,
        spot: true,
        resources: pool.resources,
        tasks: replaceable as u32,
        // One machine at a time: the on-demand machine is surplus only after its work has moved.
        machines: 1.0,
    })
}

/// Releases machines that have been idle for longer than the idle time of the policy, as far as the surplus
/// of the service reserve allows.
pub(super) fn release_idle_machines(
    forecast: &CapacityForecast<'_>,
    decision: &mut ScalingDecision,
    mut reserve_surplus_cpus: i64,
) {
    let already_released: HashSet<MachineId> = decision.scale_in.iter().cloned().collect();
    for (id, record) in forecast.machines_in(MachineState::Up) {
        let Some(machine_type) = forecast.machine_type(record) else {
            continue;
        };
        let total = Resources::of_machine(machine_type);
        let idle_time_exceeded = forecast.idle_since.get(id).is_some_and(|since| {
            forecast.wall_clock.saturating_sub(*since) > forecast.policy.idle_timeout
        });
        if already_released.contains(id)
            || !is_idle(forecast, id, record, &total)
            || !idle_time_exceeded
            || forecast.age(record) < MINIMUM_CHARGE_DURATION
        {
            continue;
        }
        if !record.spot && total.gpus == 0 {
            if reserve_surplus_cpus < total.cpus {
                continue;
            }
            reserve_surplus_cpus -= total.cpus;
        }
        if forecast.has_tasks(id) {
            decision.cordon.push(id.clone());
        } else {
            decision.scale_in.push(id.clone());
        }
    }
}

/// Returns whether a machine runs only backfill tasks and the schedule places no other task on it. Backfill
/// tasks can be preempted, so on machines with backfill tasks or GPUs only free GPUs are considered.
fn is_idle(
    forecast: &CapacityForecast<'_>,
    id: &MachineId,
    record: &MachineRecord,
    total: &Resources,
) -> bool {
    backfill_only(forecast.view, id, record)
        && forecast
            .schedule
            .free_resources
            .get(id)
            .is_some_and(|free| match forecast.has_tasks(id) || total.gpus > 0 {
                true => free.gpus == total.gpus,
                false => free.amounts() == total.amounts(),
            })
}
