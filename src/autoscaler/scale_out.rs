//! Scale out: where each shortfall is bought, and the requests that come of it. Pure.

use super::decision::{CapacityForecast, ScalingDecision};
use super::demand::Shortfall;
use super::machine_pool::MachinePool;
use super::model::{MachineState, ScaleOutRequest};
use crate::jobs::model::Resources;
use crate::wire::cloud::MachineType;
use std::collections::BTreeMap;

/// Machines that the cloud provisions at most for one request.
const MACHINES_PER_CLOUD_REQUEST: u64 = 50;
/// A demand for less than this part of a machine is left to the machines at hand: it comes of rounding.
const NEGLIGIBLE_MACHINES: f64 = 0.05;
/// A cordoned machine is used again for more than this part of a machine of demand.
const UNCORDON_ABOVE: f64 = 0.2;

/// What can be bought: machines of one type in one zone, spot or on-demand. Ordered by these in turn.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct InstanceKind {
    /// Name of the machine type.
    pub(super) machine_type: String,
    /// Zone.
    pub(super) zone: String,
    /// Spot, not on-demand.
    pub(super) spot: bool,
}

impl InstanceKind {
    /// The kind that a request asks for.
    pub(super) fn of_request(request: &ScaleOutRequest) -> InstanceKind {
        InstanceKind {
            machine_type: request.machine_type.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
        }
    }
}

/// One way to meet a shortfall.
struct Offer<'a> {
    /// Price per hour of one task.
    price_per_task: f64,
    machine_type: &'a MachineType,
    zone: &'a str,
    spot: bool,
}

/// The cheapest offer, by price per task, that the cloud did not just refuse; the first of equals.
fn cheapest_offer<'a>(
    forecast: &CapacityForecast<'_>,
    shortfall: &Shortfall<'a>,
) -> Option<InstanceKind> {
    let mut offers: Vec<Offer<'a>> = Vec::new();
    for &machine_type in &shortfall.types {
        for zone in &machine_type.zones {
            if !shortfall.helps_in(zone) {
                continue;
            }
            for spot in [true, false] {
                if (spot && (!shortfall.spot || machine_type.spot_price_per_hour.is_none()))
                    || (forecast.refused)(&machine_type.name, zone, spot)
                {
                    continue;
                }
                offers.push(Offer {
                    price_per_task: price_per_task(machine_type, spot, shortfall),
                    machine_type,
                    zone,
                    spot,
                });
            }
        }
    }
    offers.sort_by(|a, b| a.price_per_task.total_cmp(&b.price_per_task));
    offers.first().map(|offer| InstanceKind {
        machine_type: offer.machine_type.name.clone(),
        zone: offer.zone.to_string(),
        spot: offer.spot,
    })
}

fn price_per_task(machine_type: &MachineType, spot: bool, shortfall: &Shortfall<'_>) -> f64 {
    let price_per_hour = match spot {
        true => machine_type
            .spot_price_per_hour
            .unwrap_or(machine_type.price_per_hour),
        false => machine_type.price_per_hour,
    };
    let tasks = Resources::of_machine(machine_type)
        .count_fitting(&shortfall.resources)
        .max(1)
        .min(i64::from(shortfall.tasks.max(1)));
    price_per_hour / tasks as f64
}

/// Scale-out requests for all shortfalls: each is bought where it is cheapest, one request a kind of
/// machine, none where the cloud has not answered the last one yet.
pub(super) fn requests(
    forecast: &CapacityForecast<'_>,
    shortfalls: &[Shortfall<'_>],
) -> Vec<ScaleOutRequest> {
    let view = forecast.view;
    let mut machines_by_kind: BTreeMap<InstanceKind, f64> = BTreeMap::new();
    for shortfall in shortfalls {
        if let Some(kind) = cheapest_offer(forecast, shortfall) {
            *machines_by_kind.entry(kind).or_default() += shortfall.machines;
        }
    }
    let open_requests = || view.scale_out_requests.values().filter(|r| r.open());
    let requested: u64 = open_requests().map(|r| u64::from(r.count)).sum();
    let mut total = view.machines.len() as u64 + requested;
    let mut requests = Vec::new();
    for (kind, machines) in machines_by_kind {
        if open_requests().any(|r| InstanceKind::of_request(r) == kind) {
            continue;
        }
        let count = ((machines - NEGLIGIBLE_MACHINES).ceil().max(0.0) as u64)
            .min(forecast.policy.max_machines.saturating_sub(total))
            .min(MACHINES_PER_CLOUD_REQUEST)
            .min(forecast.machines_per_request as u64);
        if count > 0 {
            total += count;
            requests.push(ScaleOutRequest {
                machine_type: kind.machine_type,
                zone: kind.zone,
                spot: kind.spot,
                count: count as u32,
                requested_at: forecast.wall_clock,
                machines: Vec::new(),
            });
        }
    }
    requests
}

/// What a pool with unplaced tasks still lacks once its cordoned machines are used again: these are
/// nearer than anything new, and have room for what has waited for long.
pub(super) fn pool_shortfall<'a>(
    forecast: &CapacityForecast<'_>,
    pool: MachinePool<'a>,
    decision: &mut ScalingDecision,
) -> Shortfall<'a> {
    let mut machines = pool.required_machines(forecast);
    let mut overdue_machines = pool.overdue_machines;
    for (id, record) in forecast.machines_in(MachineState::Closing) {
        if machines.max(overdue_machines) > UNCORDON_ABOVE && pool.has_type(record) {
            decision.scale_in.retain(|other| other != id);
            decision.uncordon.push(id.clone());
            machines = (machines - 1.0).max(0.0);
            overdue_machines -= 1.0;
        }
    }
    Shortfall {
        machines,
        types: pool.types,
        zones: None,
        spot: pool.allow_spot && forecast.policy.use_spot,
        resources: pool.resources,
        tasks: pool.unplaced_tasks,
    }
}
