//! Scheduling: assigns waiting tasks to machines and chooses the tasks to preempt for them. A pure function
//! of the cluster state and of the reports of the workers on a controller's machines. Each controller
//! schedules on the machines of the shards that it owns: waiting tasks in priority order, and among jobs
//! of equal priority those that it owns before other owners' jobs. One controller places gangs, on all
//! machines. Conflicts that remain are resolved by conditional writes.
//!
//! Identical tasks are placed together: the cost grows with the number of jobs and of machines with free
//! resources, not with tasks times machines.

mod attempt;
mod backfill;
mod bin_packing;
mod draining;
mod gang;
mod gang_reservation;
mod input;
mod machines;
mod overfull;
pub mod pending_reason;
mod preemption;
mod queue;
mod scheduler;
mod starvation;
mod zones;

pub use backfill::{backfill_only, count_fitting_without_backfill};
pub use input::{SchedulableMachine, Schedule, SchedulingInput, WriteLimit};
pub use machines::{machine_allowed, may_use_spot};
pub use zones::retain_allowed_zones;

use crate::quota::QuotaLedger;
use backfill::GpuDemand;
use scheduler::Scheduler;

/// Computes a schedule.
pub fn schedule(input: &SchedulingInput<'_>) -> Schedule {
    let mut schedule = Schedule::default();
    let mut quotas = QuotaLedger::new(input.view, input.teams);
    let gpu_demand = GpuDemand::of(input.view, queue::includes_all_kinds(input));
    if !input.forecast {
        draining::drain_machines(input, &mut schedule.changes);
    }
    let mut queue = queue::collect(input, &quotas);
    // A run for services only has no gangs in its queue, and only gangs benefit from these reservations.
    if input.place_deadline_steps {
        gang_reservation::reserve_for_gangs(input, &mut quotas);
    }
    if input.place_arrays {
        starvation::protect_starved_classes(input, &mut quotas, &mut queue);
    }
    queue::sort(&mut queue);
    if queue.is_empty() && !input.forecast {
        // No task waits for a machine, so no machine needs to be examined.
        return schedule;
    }
    let mut scheduler = Scheduler::new(input, quotas, gpu_demand, &queue, schedule);
    scheduler.place_all(&queue);
    scheduler.finish()
}
