//! The order in which waiting tasks are tried. An entry stands for equal tasks of one job; a job has
//! several entries where some of its tasks go before the others (boosts, minimum share, first start).

use super::SchedulingInput;
use super::preemption::NON_OWNER_PREEMPTION_DELAY;
use crate::fairness::PriorityBoost;
use crate::fairness::service_levels;
use crate::jobs::model::JobId;
use crate::quota::{QuotaLedger, QuotaVerdict};
use crate::settings::ObjectiveKind;
use crate::store::cluster_state::Job;
use crate::time::{Micros, SECOND};
use crate::wire::user::{JobKind, Priority};
use std::cmp::Ordering;

/// One task of an array of which none was ever started goes before its equals after this long. With the
/// least work first, the largest job of a class would come last for as long as smaller ones arrive. Not
/// gangs: with the oldest of these first, small ones would wait behind large ones that fit nowhere.
const FIRST_START_DELAY: Micros = 120 * SECOND;

/// Position among jobs of equal priority; smaller goes first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    /// No objective of its class can be met any more.
    objective_missed: bool,
    /// Work that waits, or the latest start of a pipeline step.
    sort_key: u64,
}

/// Some waiting tasks of a job.
#[derive(Clone, Copy)]
pub(super) struct QueueEntry<'a> {
    pub(super) id: &'a JobId,
    pub(super) job: &'a Job,
    /// Size of the priority boost; 0 for none.
    pub(super) boost_level: u32,
    /// Waiting tasks of the job that earlier entries stand for.
    pub(super) waiting_offset: usize,
    /// Number of tasks.
    pub(super) count: usize,
    /// All of its team's unfinished jobs fit into the team's guarantee.
    pub(super) entitled: bool,
    /// Owned by the scheduling controller; gangs are by whoever places them.
    pub(super) owned: bool,
    pub(super) priority: Priority,
    pub(super) position: QueuePosition,
    /// Goes before other arrays because of the minimum share of its class.
    pub(super) minimum_share: bool,
    /// Goes before its equals so that its job makes a first start.
    pub(super) first_start: bool,
}

impl<'a> QueueEntry<'a> {
    /// What these tasks are to their team's quota.
    pub(super) fn quota_verdict(&self) -> QuotaVerdict<'a> {
        match self.job.spec.kind {
            JobKind::Gang => QuotaVerdict::Gang(self.id),
            _ if self.job.spec.priority <= Priority::High => QuotaVerdict::WithinGuarantee,
            _ if self.minimum_share => QuotaVerdict::MinimumShare,
            _ => QuotaVerdict::Ordinary,
        }
    }

    /// An array that is no step of a pipeline with a deadline: written after all others.
    pub(super) fn is_array_without_deadline(&self) -> bool {
        self.job.spec.kind == JobKind::Array && !self.job.is_deadline_step()
    }

    fn queue_order(&self, other: &QueueEntry<'_>) -> Ordering {
        (!self.entitled, self.priority, !self.minimum_share)
            .cmp(&(!other.entitled, other.priority, !other.minimum_share))
            .then(other.first_start.cmp(&self.first_start))
            .then_with(|| self.first_start_order(other))
            .then(
                self.position
                    .objective_missed
                    .cmp(&other.position.objective_missed),
            )
            .then(other.owned.cmp(&self.owned))
            .then((other.boost_level > 0).cmp(&(self.boost_level > 0)))
            .then(self.position.cmp(&other.position))
            .then(self.job.waiting_since.cmp(&other.job.waiting_since))
            .then(self.id.cmp(other.id))
    }

    /// Among jobs that should make a first start the oldest goes first.
    fn first_start_order(&self, other: &QueueEntry<'_>) -> Ordering {
        if self.first_start && other.first_start {
            self.job.waiting_since.cmp(&other.job.waiting_since)
        } else {
            Ordering::Equal
        }
    }
}

/// Puts the entries into the order in which they are tried.
pub(super) fn sort(queue: &mut [QueueEntry<'_>]) {
    queue.sort_by(|a, b| a.queue_order(b));
}

/// Whether a run looks at all waiting jobs; else at services alone.
pub(super) fn includes_all_kinds(input: &SchedulingInput<'_>) -> bool {
    input.forecast || input.place_arrays || input.place_deadline_steps
}

/// Entries of all jobs that are scheduled in this run, not sorted yet.
pub(super) fn collect<'a>(
    input: &SchedulingInput<'a>,
    quotas: &QuotaLedger<'a>,
) -> Vec<QueueEntry<'a>> {
    let view = input.view;
    let mut queue = Vec::new();
    let all_kinds = includes_all_kinds(input);
    let all = all_kinds.then(|| view.waiting());
    let services = (!all_kinds).then(|| view.waiting_services());
    let waiting = all.into_iter().flatten();
    for (id, job) in waiting.chain(services.into_iter().flatten()) {
        if is_scheduled(input, id, job) {
            push_entries(input, quotas, (id, job), &mut queue);
        }
    }
    queue
}

fn is_scheduled(input: &SchedulingInput<'_>, id: &JobId, job: &Job) -> bool {
    let queued = if input.forecast {
        input.view.queued_or_blocked(job)
    } else {
        job.queued()
    };
    let included = match job.spec.kind {
        JobKind::Gang => input.place_gangs,
        JobKind::Array if job.is_deadline_step() => input.place_deadline_steps,
        JobKind::Array => input.place_arrays,
        JobKind::Service => true,
    };
    queued > 0 && included && (input.forecast || !(input.in_backoff)(id))
}

/// Splits a job's waiting tasks into one to make a first start, boosted ones and the others.
fn push_entries<'a>(
    input: &SchedulingInput<'a>,
    quotas: &QuotaLedger<'a>,
    (id, job): (&'a JobId, &'a Job),
    queue: &mut Vec<QueueEntry<'a>>,
) {
    let gang = job.spec.kind == JobKind::Gang;
    let entitled = quotas.entitled(&job.spec.team);
    let (priority, position) = priority_and_position(input, job);
    let owned = gang || (input.owns_job)(id);
    let waiting = job.waiting as usize;
    let boosts = &input.view.priority_boosts.jobs;
    let PriorityBoost {
        tasks: boosted_tasks,
        level: boost_level,
    } = boosts.get(&**id).copied().unwrap_or_default();
    let boosted = match gang && boosted_tasks > 0 {
        true => waiting,
        false => (boosted_tasks as usize).min(waiting),
    };
    let first_starts = usize::from(should_make_first_start(input, job, owned));
    let unboosted_from = boosted.max(first_starts);
    for (waiting_offset, count, boost_level) in [
        (0, first_starts, boost_level),
        (first_starts, unboosted_from - first_starts, boost_level),
        (unboosted_from, waiting - unboosted_from, 0),
    ] {
        if count > 0 {
            queue.push(QueueEntry {
                id,
                job,
                boost_level,
                waiting_offset,
                count,
                entitled,
                owned,
                priority,
                position,
                minimum_share: false,
                first_start: count == first_starts && waiting_offset == 0,
            });
        }
    }
}

/// Priority of a job, and its position among jobs of that priority which boosts do not tell apart: those
/// that can still meet an objective of their class before those that cannot, and of the former the least
/// work first. Steps of a pipeline with a deadline have the highest priority of those that depend on
/// them and go by slack, least first. Once no objective of the pipeline can be met any more, each step
/// is a job of its own class again.
fn priority_and_position(input: &SchedulingInput<'_>, job: &Job) -> (Priority, QueuePosition) {
    if let Some(sort_key) = latest_start_in_pipeline(input, job) {
        let position = QueuePosition {
            objective_missed: false,
            sort_key,
        };
        return (job.priority, position);
    }
    let spec = &job.spec;
    let age = input.wall_clock.saturating_sub(job.waiting_since);
    let mut objectives = input
        .objectives
        .iter()
        .filter(|o| o.class == spec.class && o.kind != ObjectiveKind::Deadline)
        .peekable();
    let objective_missed = objectives.peek().is_some()
        && objectives.all(|objective| {
            let run_time = match objective.kind {
                ObjectiveKind::Finished => spec.estimated_run_time,
                _ => 0,
            };
            age + run_time > objective.within
        });
    let work = u64::from(job.waiting)
        * (spec.estimated_run_time / 1000)
        * spec.resources.cpus.max(1) as u64;
    let position = QueuePosition {
        objective_missed,
        sort_key: if objective_missed { 0 } else { work },
    };
    (spec.priority, position)
}

/// The latest start that still meets the deadline of a job's pipeline; `None` if the job is in none, or
/// if no objective of the pipeline can be met any more.
fn latest_start_in_pipeline(input: &SchedulingInput<'_>, job: &Job) -> Option<Micros> {
    let deadline = job.deadline_at.filter(|_| job.in_pipeline)?;
    let run_time = job.spec.estimated_run_time;
    // Objectives of deadlines are in thousandths of the time from submission to the deadline.
    let thousandths = input
        .objectives
        .iter()
        .filter(|o| o.kind == ObjectiveKind::Deadline)
        .map(|o| o.times)
        .max()
        .unwrap_or(1000);
    let extension = job.deadline_after_submission / 1000 * thousandths.saturating_sub(1000);
    let latest_end = deadline.saturating_add(extension);
    (input.wall_clock.saturating_add(run_time) < latest_end)
        .then(|| deadline.saturating_sub(run_time))
}

/// Whether an array has waited so long that it should make a first start. Its owner does this before
/// others do, else all controllers would place the same task.
fn should_make_first_start(input: &SchedulingInput<'_>, job: &Job, owned: bool) -> bool {
    let age = input.wall_clock.saturating_sub(job.waiting_since);
    let delay = match owned {
        true => FIRST_START_DELAY,
        false => FIRST_START_DELAY + NON_OWNER_PREEMPTION_DELAY,
    };
    let array = job.spec.kind == JobKind::Array && !job.in_pipeline;
    array && !input.forecast && age >= delay && !service_levels::started(job)
}
