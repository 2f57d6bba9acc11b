//! Autoscaler: decides which cloud machines to provision and which to terminate. `decide` and the functions
//! it calls are pure functions of a `CapacityForecast`; the leader's `reconciler` builds the forecast and
//! executes the `ScalingDecision`. The records of machines, scale-out requests and termination batches
//! (`model`) are written by the reconciler, and by the owners of the machines' shards through
//! `transactions`.

mod decision;
mod demand;
mod machine_pool;
pub mod model;
mod provisioning_timeout;
pub mod reconciler;
mod scale_in;
mod scale_out;
mod service_reserve;
mod transactions;

pub use decision::{CapacityForecast, ScalingDecision};
pub use provisioning_timeout::{
    MAX_READY_WRITE_DELAY, MAX_READY_WRITE_DELAY_WITH_PEER_HEARTBEATS, late_booting_machines,
};
pub use transactions::{declare_dead, put_machine};

/// Decides which machines to provision, terminate, cordon and uncordon.
pub fn decide(forecast: &CapacityForecast<'_>) -> ScalingDecision {
    let mut decision = ScalingDecision {
        scale_in: scale_in::terminable_machines(forecast),
        ..ScalingDecision::default()
    };
    let demand::Demand {
        mut shortfalls,
        pools,
    } = demand::collect(forecast);
    let mut reserve_surplus_cpus = service_reserve::surplus_cpus(forecast);
    for pool in pools.into_values() {
        scale_in::release_idle_gpu_machines(forecast, &pool, &mut decision);
        if pool.is_satisfied() {
            let surplus = scale_in::surplus_machines(forecast, &pool, &mut reserve_surplus_cpus);
            decision.cordon.extend(surplus);
            shortfalls.extend(scale_in::spot_replacement(forecast, &pool));
        } else {
            shortfalls.push(scale_out::pool_shortfall(forecast, pool, &mut decision));
        }
    }
    shortfalls.extend(service_reserve::shortfall(forecast));
    decision.scale_out = scale_out::scale_out_requests(forecast, &shortfalls);
    scale_in::release_idle_machines(forecast, &mut decision, reserve_surplus_cpus);
    decision
}
