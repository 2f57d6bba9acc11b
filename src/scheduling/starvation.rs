//! Starvation protection: the longest-waiting tasks of starved classes come before other arrays, up to the
//! minimum share of their class (`fairness::minimum_share`). Changes the queue and the quota ledger.

use super::SchedulingInput;
use super::queue::QueueEntry;
use crate::fairness::minimum_share::{self, ClassDemand};
use crate::quota::QuotaLedger;
use crate::store::cluster_state::Job;
use crate::wire::user::{JobKind, Priority};
use foldhash::HashSet;
use std::collections::{BTreeMap, BTreeSet};

/// A job class within the scope in which classes are compared.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ClassKey<'a> {
    /// A team whose limit keeps work waiting; `None` for all other teams together.
    scope: Option<&'a str>,
    class: &'a str,
}

/// Teams whose limit keeps work waiting; each is a separate scope.
struct Scopes<'a>(HashSet<&'a str>);

impl<'a> Scopes<'a> {
    fn key(&self, job: &'a Job) -> ClassKey<'a> {
        ClassKey {
            scope: self.0.get(&*job.spec.team).copied(),
            class: &job.spec.class,
        }
    }
}

/// Raises the priority of tasks of starved classes. Services and jobs of high priority still come first.
pub(super) fn protect_starved_classes<'a>(
    input: &SchedulingInput<'a>,
    quotas: &mut QuotaLedger<'a>,
    queue: &mut Vec<QueueEntry<'a>>,
) {
    // Includes other owners' jobs: every controller reserves the minimum share of a class in a team's limit.
    if !input
        .view
        .waiting()
        .any(|(_, job)| may_be_starved(input, job))
    {
        return;
    }
    let teams = input.teams.iter().map(|team| &*team.name);
    let scopes = Scopes(teams.filter(|team| quotas.limit_is_binding(team)).collect());
    let demands = class_demands(input, &scopes);
    let mut remaining_shares = minimum_shares(input, &demands, quotas);
    prioritize_entries(input, &scopes, &mut remaining_shares, queue);
}

fn is_active_array(job: &Job) -> bool {
    job.spec.kind == JobKind::Array && job.ready && !job.cancelled()
}

fn is_overdue(input: &SchedulingInput<'_>, job: &Job) -> bool {
    input.wall_clock.saturating_sub(job.waiting_since)
        > minimum_share::overdue_after(input.objectives, &job.spec.class)
}

/// Returns whether a job is an overdue array of low priority with waiting tasks.
fn may_be_starved(input: &SchedulingInput<'_>, job: &Job) -> bool {
    job.spec.priority > Priority::Normal
        && is_active_array(job)
        && job.waiting > 0
        && is_overdue(input, job)
}

/// Returns the CPU demand of each class's running and waiting array tasks.
fn class_demands<'a>(
    input: &SchedulingInput<'a>,
    scopes: &Scopes<'a>,
) -> BTreeMap<ClassKey<'a>, ClassDemand> {
    let mut demands = BTreeMap::new();
    let jobs = input.view.jobs.values();
    for job in jobs.filter(|job| is_active_array(job)) {
        let demand = demands.entry(scopes.key(job)).or_insert(ClassDemand {
            priority: job.spec.priority,
            waiting_millicpus: 0,
            running_millicpus: 0,
            mean_run_time_us: 0.0,
            overdue: false,
        });
        let cpus = |tasks: u32| job.spec.resources.cpus * i64::from(tasks);
        demand.add(
            cpus(job.waiting),
            cpus(job.placed),
            job.spec.estimated_run_time,
        );
        demand.overdue |= job.waiting > 0 && is_overdue(input, job);
    }
    demands
}

/// Returns this controller's part of each class's minimum share, in thousandths of CPUs. In the quota of a
/// team the whole share is reserved.
fn minimum_shares<'a>(
    input: &SchedulingInput<'a>,
    demands: &BTreeMap<ClassKey<'a>, ClassDemand>,
    quotas: &mut QuotaLedger<'a>,
) -> BTreeMap<ClassKey<'a>, i64> {
    // Each controller prioritizes its part of the share, starting with the jobs that it owns, so that all
    // controllers together use the share once. A task is placed by any controller that has a machine with
    // free resources; if the task needs a whole machine, that is rarely the job's owner.
    let controllers = match input.forecast {
        true => 1,
        false => input.view.members.len().max(1) as i64,
    };
    let mut shares = BTreeMap::new();
    let scopes: BTreeSet<Option<&str>> = demands.keys().map(|key| key.scope).collect();
    for scope in scopes {
        let in_scope = || demands.iter().filter(|(key, _)| key.scope == scope);
        let scope_demands: Vec<ClassDemand> =
            in_scope().map(|(_, demand)| demand.clone()).collect();
        for ((key, _), cpus) in in_scope().zip(minimum_share::minimum_share(&scope_demands)) {
            if let Some(team) = scope {
                quotas.reserve_minimum_share(team, cpus);
            }
            shares.insert(*key, (cpus + controllers - 1) / controllers);
        }
    }
    shares
}

/// Raises the priority of entries up to the shares, owned and oldest jobs first. An entry that exceeds the
/// remaining share is split.
fn prioritize_entries<'a>(
    input: &SchedulingInput<'a>,
    scopes: &Scopes<'a>,
    remaining_shares: &mut BTreeMap<ClassKey<'a>, i64>,
    queue: &mut Vec<QueueEntry<'a>>,
) {
    let mut order: Vec<usize> = (0..queue.len())
        .filter(|index| may_be_starved(input, queue[*index].job))
        .collect();
    order.sort_by_key(|index| {
        let entry = &queue[*index];
        (
            !entry.owned,
            entry.job.waiting_since,
            entry.id,
            entry.waiting_offset,
        )
    });
    for index in order {
        let entry = &mut queue[index];
        let Some(remaining_cpus) = remaining_shares.get_mut(&scopes.key(entry.job)) else {
            continue;
        };
        let cpus_per_task = entry.job.spec.resources.cpus.max(1);
        // Rounded up, so that one task is raised even if the remaining share is smaller than a task.
        let tasks = (*remaining_cpus + cpus_per_task - 1)
            .div_euclid(cpus_per_task)
            .clamp(0, entry.count as i64);
        if tasks == 0 {
            continue;
        }
        *remaining_cpus -= tasks * cpus_per_task;
        let tasks = tasks as usize;
        let remainder = QueueEntry {
            waiting_offset: entry.waiting_offset + tasks,
            count: entry.count - tasks,
            ..*entry
        };
        entry.count = tasks;
        entry.minimum_share = true;
        entry.priority = Priority::Normal;
        if remainder.count > 0 {
            queue.push(remainder);
        }
    }
}
