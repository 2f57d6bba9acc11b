//! Quota reservations for gangs. Without them a large gang of a team at its limit never starts, because
//! small tasks take all quota that is released. Changes only the quota ledger of the run.

use super::SchedulingInput;
use super::backfill::count_fitting_without_backfill;
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

/// Waiting time after which quota is reserved for a gang; most gangs start sooner.
const QUOTA_RESERVATION_DELAY: Micros = 5 * SECOND;

/// A waiting gang.
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

    /// Returns whether this gang comes before another one. The order is by descending age per CPU, compared
    /// without a division: small gangs come first, and large gangs move forward with age.
    fn precedes(&self, other: &WaitingGang<'_>) -> bool {
        let weight = u128::from(self.age) * other.cpus();
        let other_weight = u128::from(other.age) * self.cpus();
        (weight, other.id) > (other_weight, self.id)
    }
}

/// Reserves quota for one gang of each team whose limit keeps work waiting: the gang with the longest
/// waiting time for its size, if there are enough machines for it. Otherwise nothing is reserved. A
/// forecast, which causes missing machines to be provisioned, reserves quota even if machines are missing:
/// it assumes that the team's arrays will have released their resources by the time those machines are up.
pub(super) fn reserve_for_gangs<'a>(input: &SchedulingInput<'a>, quotas: &mut QuotaLedger<'a>) {
    for gang in next_gang_by_team(input, quotas).into_values() {
        let spec = &gang.job.spec;
        let running = running_by_kind(input.view, &spec.team);
        let all_cpus = running.gangs.cpus + running.arrays.cpus;
        // Gangs are limited to this share: they are large, and arrays would get nothing otherwise.
        if running.gangs.cpus as f64 > all_cpus as f64 * minimum_share::MINIMUM_SHARE {
            // Arrays take the released quota, so machines provisioned for a gang would be idle.
            if input.forecast {
                quotas.block_further_gangs(&spec.team);
            }
        } else if input.forecast {
            quotas.reserve_for_gang(gang.id, spec, true, running.arrays);
        } else if has_enough_machines(input, spec) {
            let waited_long = gang.age > GANG_RESERVATION_DELAY;
            quotas.reserve_for_gang(gang.id, spec, waited_long, Resources::default());
        }
    }
}

/// Returns the first gang in order for each team whose limit keeps work waiting.
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
            && quotas.limit_is_binding(&job.spec.team)
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

/// Resources of a team's running tasks, by job kind.
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

/// Returns whether all tasks of a gang would fit on the machines that are up, or will be soon.
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
            let usage = view.usage(id);
            let mut free = Resources::of_machine(machine_type);
            free.subtract(&usage.used);
            fitting += count_fitting_without_backfill(&free, &usage, &spec.resources);
        }
    }
    fitting >= needed
}

/// Returns whether a machine is up, or past half of its boot time. Half is enough, because quota is
/// released while the last machines boot.
fn is_up_soon(input: &SchedulingInput<'_>, machine: &MachineRecord, boot_time_s: f64) -> bool {
    match machine.state {
        MachineState::Up => true,
        MachineState::Booting => {
            machine.provisioned_at + from_secs(boot_time_s) / 2 < input.wall_clock
        }
        _ => false,
    }
}
