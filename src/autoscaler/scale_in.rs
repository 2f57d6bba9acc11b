//! Scale in: which machines are terminated, and which are cordoned so that they become empty. Pure.

use super::decision::{CapacityForecast, MINIMUM_CHARGE, ScalingDecision};
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

/// Spot machines replace on-demand ones below this share of their price: moving the work costs too.
const SPOT_PRICE_SHARE: f64 = 0.7;
/// Machines' worth of free capacity that is kept when machines are cordoned.
const FREE_MACHINES_KEPT: f64 = 1.5;
/// Idle machines with GPUs that are kept, as a share of those in use.
const IDLE_GPU_SHARE: f64 = 0.1;

/// Machines to terminate whatever the demand: those that never came up, and quarantined or cordoned ones
/// that are empty.
pub(super) fn finished_machines(forecast: &CapacityForecast<'_>) -> Vec<MachineId> {
    let timeouts = ProvisioningTimeouts::new(forecast);
    let mut machines = Vec::new();
    for (id, record) in &forecast.view.machines {
        if timeouts.timed_out(forecast, id, record) {
            machines.push(id.clone());
        }
        let charge_is_used = forecast.age(record) >= MINIMUM_CHARGE;
        let leaves = record.state == MachineState::Quarantined
            || (record.state == MachineState::Closing && charge_is_used);
        if leaves && !forecast.has_tasks(id) {
            machines.push(id.clone());
        }
    }
    machines
}

/// Releases idle machines with GPUs; empty ones are already paid for and need not be cordoned first.
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

/// Machines with GPUs beyond those in use, those that waiting tasks can fill, and a margin. They are the
/// most expensive, so they do not wait for the usual idle time, empty or with backfill tasks.
fn idle_gpu_machines(forecast: &CapacityForecast<'_>, pool: &MachinePool<'_>) -> Vec<MachineId> {
    if !pool.needs_gpus() {
        return Vec::new();
    }
    let mut in_use = 0usize;
    // Whether it is a spot machine, and which.
    let mut idle: Vec<(bool, &MachineId)> = Vec::new();
    for (id, record) in forecast.machines_in(MachineState::Up) {
        if !pool.has_type(record) {
            continue;
        }
        if !backfill_only(forecast.view, id, record) {
            in_use += 1;
        } else if forecast.age(record) >= MINIMUM_CHARGE {
            idle.push((record.spot, id));
        }
    }
    let kept = pool.waiting_machines + in_use as f64 * IDLE_GPU_SHARE;
    let surplus = idle.len().saturating_sub(kept.ceil() as usize);
    // On-demand machines first, but for those that gangs wait for.
    idle.sort();
    let on_demand = idle.iter().filter(|(spot, _)| !spot).count();
    idle.drain(..on_demand.min(pool.on_demand_gang_machines.ceil() as usize));
    idle.truncate(surplus);
    idle.into_iter().map(|(_, id)| id.clone()).collect()
}

/// A machine that could be cordoned. On-demand machines come first, then those with the fewest tasks.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Candidate<'a> {
    spot: bool,
    tasks: usize,
    id: &'a MachineId,
    /// CPUs that the reserve for services loses with it, in thousandths.
    reserve_cpus: i64,
}

/// Machines beyond what the work of a satisfied pool needs: their work is drawn together on the others.
/// `reserve_surplus_cpus` is what the reserve for services has to spare; it falls with what is taken.
pub(super) fn surplus_machines(
    forecast: &CapacityForecast<'_>,
    pool: &MachinePool<'_>,
    reserve_surplus_cpus: &mut i64,
) -> Vec<MachineId> {
    // Tasks of gangs are not drawn together: the cordoned machines are what the free capacity is for.
    // Counted again in each decision it would cordon every machine in use, and others would be provisioned.
    let cordoned = match pool.needs_gpus() {
        true => forecast
            .machines_in(MachineState::Closing)
            .filter(|(_, record)| pool.has_type(record))
            .count(),
        false => 0,
    };
    let surplus = free_machines(forecast, pool) - FREE_MACHINES_KEPT - cordoned as f64;
    let surplus = surplus.max(0.0) as usize;
    let mut candidates: Vec<Candidate<'_>> = forecast
        .machines_in(MachineState::Up)
        .filter(|(id, record)| {
            forecast.service_cpus(id) == 0
                && forecast.age(record) >= MINIMUM_CHARGE / 2
                && forecast.has_tasks(id)
        })
        .filter_map(|(id, record)| candidate(forecast, pool, id, record))
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

fn candidate<'a>(
    forecast: &CapacityForecast<'_>,
    pool: &MachinePool<'_>,
    id: &'a MachineId,
    record: &MachineRecord,
) -> Option<Candidate<'a>> {
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
    Some(Candidate {
        spot: record.spot,
        tasks,
        id,
        reserve_cpus,
    })
}

/// Free capacity of a pool's machines that are up, in machines: by GPUs where its tasks need them, since
/// backfill tasks leave on request, else by CPUs.
fn free_machines(forecast: &CapacityForecast<'_>, pool: &MachinePool<'_>) -> f64 {
    forecast
        .machines_in(MachineState::Up)
        .filter_map(|(id, record)| {
            let whole = Resources::of_machine(pool.type_of(record)?);
            let free = forecast.schedule.free_resources.get(id)?;
            let (free, whole) = match pool.needs_gpus() {
                true => (free.gpus, whole.gpus),
                false => (free.cpus, whole.cpus),
            };
            Some(free.max(0) as f64 / whole.max(1) as f64)
        })
        .sum()
}

/// Spot machines in place of on-demand ones whose work may all run on spot machines: there were none when
/// the on-demand ones were provisioned. Those are cordoned as surplus once the new ones are up.
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
                .is_some_and(|price| price < machine_type.price_per_hour * SPOT_PRICE_SHARE)
        })
        .filter(|machine_type| {
            let mut zones = machine_type.zones.iter();
            zones.any(|zone| !(forecast.refused)(&machine_type.name, zone, true))
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
        // One at a time: the on-demand machine is surplus only once the work has moved.
        machines: 1.0,
    })
}

/// Releases machines that have been idle for the policy's time, as far as the reserve for services can
/// spare them.
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
        let whole = Resources::of_machine(machine_type);
        let idle_for_long = forecast.idle_since.get(id).is_some_and(|since| {
            forecast.wall_clock.saturating_sub(*since) > forecast.policy.idle_return
        });
        if already_released.contains(id)
            || !is_idle(forecast, id, record, &whole)
            || !idle_for_long
            || forecast.age(record) < MINIMUM_CHARGE
        {
            continue;
        }
        if !record.spot && whole.gpus == 0 {
            if reserve_surplus_cpus < whole.cpus {
                continue;
            }
            reserve_surplus_cpus -= whole.cpus;
        }
        if forecast.has_tasks(id) {
            decision.cordon.push(id.clone());
        } else {
            decision.scale_in.push(id.clone());
        }
    }
}

/// Whether a machine has nothing on it but backfill tasks, and the schedule plans nothing else for it.
/// Backfill tasks leave on request, so with them, or on a machine with GPUs, only free GPUs count.
fn is_idle(
    forecast: &CapacityForecast<'_>,
    id: &MachineId,
    record: &MachineRecord,
    whole: &Resources,
) -> bool {
    backfill_only(forecast.view, id, record)
        && forecast
            .schedule
            .free_resources
            .get(id)
            .is_some_and(|free| match forecast.has_tasks(id) || whole.gpus > 0 {
                true => free.gpus == whole.gpus,
                false => free == whole,
            })
}
