//! Scale-out: selects the instance kind for each shortfall and builds the scale-out requests. All functions
//! are pure.

use super::decision::{CapacityForecast, ScalingDecision};
use super::demand::Shortfall;
use super::machine_pool::MachinePool;
use super::model::{MachineState, ScaleOutRequest};
use crate::jobs::model::Resources;
use crate::wire::cloud::MachineType;
use std::collections::BTreeMap;

/// Maximum number of machines that the cloud provisions for one request.
const MAX_MACHINES_PER_PROVISION_REQUEST: u64 = 50;
/// Demand, as a share of a machine, that is treated as a rounding error and left to the existing machines.
const NEGLIGIBLE_MACHINE_SHARE: f64 = 0.05;
/// Demand, as a share of a machine, above which a cordoned machine is uncordoned.
const UNCORDON_MACHINE_SHARE: f64 = 0.2;

/// Kind of machine that the cloud offers: machine type, zone, and spot or on-demand. Ordered by these fields.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct InstanceKind {
    /// Name of the machine type.
    pub(super) machine_type: String,
    /// Zone.
    pub(super) zone: String,
    /// Whether the machines are spot machines rather than on-demand machines.
    pub(super) spot: bool,
}

impl InstanceKind {
    /// Returns the instance kind of a request.
    pub(super) fn of_request(request: &ScaleOutRequest) -> InstanceKind {
        InstanceKind {
            machine_type: request.machine_type.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
        }
    }
}

/// Instance kind that can meet a shortfall, with its price.
struct Offer<'a> {
    /// Price per task and hour.
    price_per_task: f64,
    machine_type: &'a MachineType,
    zone: &'a str,
    spot: bool,
}

/// Returns the offer with the lowest price per task, except offers that the cloud recently refused. If
/// several have the same price, the first one is returned.
fn cheapest_offer<'a>(
    forecast: &CapacityForecast<'_>,
    shortfall: &Shortfall<'a>,
) -> Option<InstanceKind> {
    let mut offers: Vec<Offer<'a>> = Vec::new();
    for &machine_type in &shortfall.types {
        for zone in &machine_type.zones {
            if !shortfall.allows_zone(zone) {
                continue;
            }
            for spot in [true, false] {
                if (spot && (!shortfall.spot || machine_type.spot_price_per_hour.is_none()))
                    || (forecast.recently_refused)(&machine_type.name, zone, spot)
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

/// Returns the price per hour of a machine, divided by the number of the shortfall's tasks that it can run.
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

/// Returns the scale-out requests for all shortfalls. Each shortfall is met by its cheapest offer. There is
/// one request per instance kind, and none for a kind whose previous request is still unanswered.
pub(super) fn scale_out_requests(
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
    let open_requests = || {
        view.scale_out_requests
            .values()
            .filter(|r| r.is_unanswered())
    };
    let requested: u64 = open_requests().map(|r| u64::from(r.count)).sum();
    let mut machine_total = view.machines.len() as u64 + requested;
    let mut requests = Vec::new();
    for (kind, machines) in machines_by_kind {
        if open_requests().any(|r| InstanceKind::of_request(r) == kind) {
            continue;
        }
        let count = ((machines - NEGLIGIBLE_MACHINE_SHARE).ceil().max(0.0) as u64)
            .min(forecast.policy.max_machines.saturating_sub(machine_total))
            .min(MAX_MACHINES_PER_PROVISION_REQUEST)
            .min(forecast.max_machines_per_request as u64);
        if count > 0 {
            machine_total += count;
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

/// Returns the shortfall of a pool with unplaced tasks after its cordoned machines are uncordoned. Cordoned
/// machines are available sooner than new ones, and have free resources for overdue tasks.
pub(super) fn pool_shortfall<'a>(
    forecast: &CapacityForecast<'_>,
    pool: MachinePool<'a>,
    decision: &mut ScalingDecision,
) -> Shortfall<'a> {
    let mut machines = pool.required_machines(forecast);
    let mut overdue_machines = pool.overdue_machines;
    for (id, record) in forecast.machines_in(MachineState::Closing) {
        if machines.max(overdue_machines) > UNCORDON_MACHINE_SHARE && pool.has_type(record) {
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
