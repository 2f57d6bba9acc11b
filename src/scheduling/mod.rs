//! Scheduling: which waiting task goes to which machine, and what is preempted for it. A pure function of
//! the cluster state and of what the workers of a controller's machines reported. Each owner schedules on
//! the machines of its own shards: first the waiting tasks of its own jobs, in priority order, then with
//! what is left those of other owners' jobs. One owner places gangs, on all machines. Conditional writes
//! settle what collides all the same.
//!
//! Equal tasks are decided together: the cost is that of jobs and of machines with free resources, not of
//! tasks times machines.

mod attempt;
mod backfill;
mod bin_packing;
mod draining;
mod gang;
mod gang_reservation;
mod input;
mod machines;
pub mod pending_reason;
mod preemption;
mod queue;
mod scheduler;
mod starvation;
mod zones;

pub use backfill::backfill_only;
pub use input::{SchedulableMachine, Schedule, SchedulingInput, Writes};
pub use machines::{machine_allowed, may_use_spot};
pub use zones::retain_open_zones;

use crate::quota::QuotaLedger;
use backfill::GpuDemand;
use scheduler::Scheduler;

/// Computes a schedule.
pub fn schedule(input: &SchedulingInput<'_>) -> Schedule {
    let mut schedule = Schedule::default();
    let mut quotas = QuotaLedger::open(input.view, input.teams);
    let gpu_demand = GpuDemand::of(input.view, queue::includes_all_kinds(input));
    if !input.forecast {
        draining::drain_machines(input, &mut schedule.changes);
    }
    let mut queue = queue::collect(input, &quotas);
    // A run for services alone has nobody whom these reservations would help.
    if input.place_deadline_steps {
        gang_reservation::reserve_for_gangs(input, &mut quotas);
    }
    if input.place_arrays {
        starvation::protect_starved_classes(input, &mut quotas, &mut queue);
    }
    queue::sort(&mut queue);
    if queue.is_empty() && !input.forecast {
        // Nothing waits for a machine: none has to be looked at.
        return schedule;
    }
    let mut scheduler = Scheduler::new(input, quotas, gpu_demand, &queue, schedule);
    scheduler.place_all(&queue);
    scheduler.finish()
}
