//! Queue order of waiting tasks. An entry represents identical tasks of one job. A job has several entries
//! if some of its tasks come before the others (priority boost, minimum share, first start).

use super::SchedulingInput;
use super::preemption::NON_OWNER_PREEMPTION_DELAY;
use crate::fairness::PriorityBoost;
use crate::fairness::service_levels;
use crate::jobs::model::JobId;
use crate::quota::{QuotaClass, QuotaLedger};
use crate::settings::ObjectiveKind;
use crate::store::cluster_state::Job;
use crate::time::{Micros, SECOND};
use crate::wire::user::{JobKind, Priority};
use std::cmp::Ordering;

/// Waiting time after which one task of an array of which no task was ever started comes before others of
/// equal priority. In order of least work first, the largest job of a class would stay last for as long as
/// smaller jobs arrive. Gangs are excluded: with the oldest gang first, small gangs would wait behind large
/// ones that do not fit on any machines.
const FIRST_START_DELAY: Micros = 120 * SECOND;

/// Position among jobs of equal priority; lower comes first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    /// Whether the job can no longer meet any objective of its class.
    objective_missed: bool,
    /// Amount of waiting work, or the latest start time of a pipeline step.
    sort_key: u64,
}

/// Waiting tasks of a job that are tried together.
#[derive(Clone, Copy)]
pub(super) struct QueueEntry<'a> {
    pub(super) id: &'a JobId,
    pub(super) job: &'a Job,
    /// Level of the priority boost; 0 for none.
    pub(super) boost_level: u32,
    /// Number of the job's waiting tasks that precede this entry's tasks and belong to other entries.
    pub(super) waiting_offset: usize,
    /// Number of tasks in this entry.
    pub(super) count: usize,
    /// Whether all unfinished jobs of the team together fit into its guarantee.
    pub(super) fits_guarantee: bool,
    /// Whether this controller owns the job; always true for gangs, which only the controller that places
    /// gangs has in its queue.
    pub(super) owned: bool,
    pub(super) priority: Priority,
    pub(super) position: QueuePosition,
    /// Whether it comes before other arrays because of the minimum share of its class.
    pub(super) minimum_share: bool,
    /// Whether it comes before others of equal priority so that the first task of its job starts.
    pub(super) first_start: bool,
}

impl<'a> QueueEntry<'a> {
    /// Returns the category of these tasks for their team's quota.
    pub(super) fn quota_class(&self) -> QuotaClass<'a> {
        match self.job.spec.kind {
            JobKind::Gang => QuotaClass::Gang(self.id),
            _ if self.job.spec.priority <= Priority::High => QuotaClass::HighPriority,
            _ if self.minimum_share => QuotaClass::MinimumShare,
            _ => QuotaClass::Ordinary,
        }
    }

    /// Returns whether the job is an array and not a step of a pipeline with a deadline. Changes of such jobs
    /// are written after all others.
    pub(super) fn is_array_without_deadline(&self) -> bool {
        self.job.spec.kind == JobKind::Array && !self.job.is_deadline_step()
    }

    fn queue_order(&self, other: &QueueEntry<'_>) -> Ordering {
        (!self.fits_guarantee, self.priority, !self.minimum_share)
            .cmp(&(!other.fits_guarantee, other.priority, !other.minimum_share))
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

    /// Orders jobs whose first task should start by age, oldest first.
    fn first_start_order(&self, other: &QueueEntry<'_>) -> Ordering {
        if self.first_start && other.first_start {
            self.job.waiting_since.cmp(&other.job.waiting_since)
        } else {
            Ordering::Equal
        }
    }
}

/// Sorts the entries into the order in which they are tried.
pub(super) fn sort(queue: &mut [QueueEntry<'_>]) {
    queue.sort_by(|a, b| a.queue_order(b));
}

/// Returns whether a run considers all waiting jobs; otherwise it considers services only.
pub(super) fn includes_all_kinds(input: &SchedulingInput<'_>) -> bool {
    input.forecast || input.place_arrays || input.place_deadline_steps
}

/// Returns the entries of all jobs that are scheduled in this run, unsorted.
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
        input.view.queued_or_soon_ready(job)
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

/// Splits a job's waiting tasks into one for a first start, boosted tasks and the rest.
fn push_entries<'a>(
    input: &SchedulingInput<'a>,
    quotas: &QuotaLedger<'a>,
    (id, job): (&'a JobId, &'a Job),
    queue: &mut Vec<QueueEntry<'a>>,
) {
    let gang = job.spec.kind == JobKind::Gang;
    let fits_guarantee = quotas.fits_guarantee(&job.spec.team);
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
                fits_guarantee,
                owned,
                priority,
                position,
                minimum_share: false,
                first_start: count == first_starts && waiting_offset == 0,
            });
        }
    }
}

/// Returns the priority of a job and its position among jobs of equal priority and boost. Jobs that can
/// still meet an objective of their class come before those that cannot, and among the former the least
/// work comes first. A step of a pipeline with a deadline has the highest of its own and its dependents'
/// priorities; such steps are ordered by slack, least first. Once no objective of the pipeline can still be
/// met, each step is treated as an ordinary job of its class.
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

/// Returns the latest start time that still meets the deadline of a job's pipeline; `None` if the job is not
/// in a pipeline with a deadline, or if no objective of the pipeline can still be met.
fn latest_start_in_pipeline(input: &SchedulingInput<'_>, job: &Job) -> Option<Micros> {
    let deadline = job.deadline_at.filter(|_| job.in_pipeline)?;
    let run_time = job.spec.estimated_run_time;
    // Deadline objectives are in thousandths of the time from submission to the deadline.
    let thousandths = input
        .objectives
        .iter()
        .filter(|o| o.kind == ObjectiveKind::Deadline)
        .map(|o| o.deadline_thousandths)
        .max()
        .unwrap_or(1000);
    let extension = job.deadline_after_submission / 1000 * thousandths.saturating_sub(1000);
    let latest_end = deadline.saturating_add(extension);
    (input.wall_clock.saturating_add(run_time) < latest_end)
        .then(|| deadline.saturating_sub(run_time))
}

/// Returns whether an array has waited long enough that its first task should start. The job's owner does
/// this earlier than other controllers; otherwise all of them would place the same task.
fn should_make_first_start(input: &SchedulingInput<'_>, job: &Job, owned: bool) -> bool {
    let age = input.wall_clock.saturating_sub(job.waiting_since);
    let delay = match owned {
        true => FIRST_START_DELAY,
        false => FIRST_START_DELAY + NON_OWNER_PREEMPTION_DELAY,
    };
    let array = job.spec.kind == JobKind::Array && !job.in_pipeline;
    array && !input.forecast && age >= delay && !service_levels::has_started(job)
}
