//! Quota reservations for gangs: without them a large gang of a team at its limit never starts, because
//! small tasks take whatever is released. Writes only to the run's quota ledger.

use super::SchedulingInput;
use super::gang::GANG_RESERVATION_DELAY;
use super::machines::machine_allowed;
use crate::autoscaler::model::{MachineRecord, MachineState};
use crate::fairness::minimum_share;
use crate::jobs::model::{JobId, JobSpec, Resources};
use crate::quota::QuotaLedger;
use crate::store::cluster_state::{ClusterState, Job};
use crate::time::{Micros, SECOND, from_secs};
use crate::wire::user::JobKind;
use std::collections::BTreeMap;

/// A gang waits this long before quota is reserved for it: most start sooner.
const QUOTA_RESERVATION_DELAY: Micros = 5 * SECOND;

/// A gang that waits.
#[derive(Clone, Copy)]
struct WaitingGang<'a> {
    age: Micros,
    id: &'a JobId,
    job: &'a Job,
}

impl WaitingGang<'_> {
    fn cpus(&self) -> u128 {
        let spec = &self.job.spec;
        let all_tasks = spec.resources.for_tasks(i64::from(spec.task_count));
        all_tasks.cpus.max(1) as u128
    }

    /// By age over CPUs, compared without a division: small gangs go first, and large ones with age.
    fn precedes(&self, other: &WaitingGang<'_>) -> bool {
        let weight = u128::from(self.age) * other.cpus();
        let other_weight = u128::from(other.age) * self.cpus();
        (weight, other.id) > (other_weight, self.id)
    }
}

/// Reserves, of each limit that binds, what one gang needs: the one that has waited longest for its size,
/// if the machines for it are there. Where machines are missing nothing is reserved; the forecast, which
/// has them come, assumes that the team's arrays will have released resources by then.
pub(super) fn reserve_for_gangs<'a>(input: &SchedulingInput<'a>, quotas: &mut QuotaLedger<'a>) {
    for gang in next_gang_by_team(input, quotas).into_values() {
        let spec = &gang.job.spec;
        let running = running_by_kind(input.view, &spec.team);
        let all_cpus = running.gangs.cpus + running.arrays.cpus;
        // Gangs get this share and no more: they are large, and arrays would get nothing.
        if running.gangs.cpus as f64 > all_cpus as f64 * minimum_share::SHARE {
            // Arrays take what is released: machines that come for a gang would stand idle.
            if input.forecast {
                quotas.close_gangs(&spec.team);
            }
        } else if input.forecast {
            quotas.reserve_for_gang(gang.id, spec, true, running.arrays);
        } else if has_enough_machines(input, spec) {
            let waited_long = gang.age > GANG_RESERVATION_DELAY;
            quotas.reserve_for_gang(gang.id, spec, waited_long, Resources::default());
        }
    }
}

/// Of each team whose limit binds the gang that goes first.
fn next_gang_by_team<'a>(
    input: &SchedulingInput<'a>,
    quotas: &QuotaLedger<'a>,
) -> BTreeMap<&'a str, WaitingGang<'a>> {
    let mut next: BTreeMap<&str, WaitingGang<'_>> = BTreeMap::new();
    for (id, job) in input.view.waiting() {
        let age = input.wall_clock.saturating_sub(job.waiting_since);
        if job.spec.kind == JobKind::Gang
            && job.queued() == job.spec.task_count
            && age > QUOTA_RESERVATION_DELAY
            && quotas.binds(&job.spec.team)
        {
            let gang = WaitingGang { age, id, job };
            let first = next.entry(&job.spec.team).or_insert(gang);
            if gang.precedes(first) {
                *first = gang;
            }
        }
    }
    next
}

/// What the running tasks of a team take.
#[derive(Default)]
struct RunningByKind {
    gangs: Resources,
    arrays: Resources,
}

fn running_by_kind(view: &ClusterState, team: &str) -> RunningByKind {
    let mut running = RunningByKind::default();
    for job in view.jobs.values().filter(|job| job.spec.team == team) {
        let resources = job.spec.resources.for_tasks(i64::from(job.placed));
        match job.spec.kind {
            JobKind::Gang => running.gangs.add(&resources),
            JobKind::Array => running.arrays.add(&resources),
            JobKind::Service => {}
        }
    }
    running
}

/// Whether all tasks of a gang would fit onto the machines that are up, or soon will be.
fn has_enough_machines(input: &SchedulingInput<'_>, spec: &JobSpec) -> bool {
    let view = input.view;
    let needed = i64::from(spec.task_count);
    let mut fitting = 0;
    for (id, machine) in &view.machines {
        if fitting >= needed {
            break;
        }
        let Some(machine_type) = view.machine_types.get(&machine.machine_type) else {
            continue;
        };
        if machine_allowed(spec, machine) && is_up_soon(input, machine, machine_type.boot_time_s) {
            let mut free = Resources::of_machine(machine_type);
            free.subtract(&view.usage(id).used);
            // Backfill tasks leave when asked: where GPUs are needed only these count.
            fitting += match spec.resources.gpus {
                0 => free.count_fitting(&spec.resources),
                gpus => free.gpus / gpus,
            };
        }
    }
    fitting >= needed
}

/// Whether a machine is up, or half through its boot: while the last ones boot the quota is released.
fn is_up_soon(input: &SchedulingInput<'_>, machine: &MachineRecord, boot_time_s: f64) -> bool {
    match machine.state {
        MachineState::Up => true,
        MachineState::Booting => machine.rented_at + from_secs(boot_time_s) / 2 < input.wall_clock,
        _ => false,
    }
}
