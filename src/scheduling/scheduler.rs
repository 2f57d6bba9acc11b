//! A scheduling run: iterates over the queue, places tasks, preempts, reserves machines and records the
//! result. It owns all state of the run.

use super::attempt::{Assignment, PlacementAttempt};
use super::backfill::{GpuDemand, has_cpu_only_types};
use super::bin_packing::{CandidateMachines, TaskShape};
use super::gang::{self, GANG_RESERVATION_DELAY, GangPlacement};
use super::machines::CandidateSource;
use super::preemption::{ImageRequirement, NON_OWNER_PREEMPTION_DELAY, preempt_for_one_task};
use super::queue::QueueEntry;
use super::zones::{TasksByZone, has_zone_constraint, tasks_by_zone};
use super::{Schedule, SchedulingInput};
use crate::jobs::commit::JobChange;
use crate::jobs::model::JobId;
use crate::quota::QuotaLedger;
use crate::wire::user::{JobKind, Priority};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};

/// State of a scheduling run.
pub(super) struct Scheduler<'i, 'a> {
    input: &'i SchedulingInput<'a>,
    quotas: QuotaLedger<'a>,
    gpu_demand: GpuDemand,
    machines: CandidateSource<'i, 'a>,
    candidates: CandidateMachines<'a>,
    /// Whether all schedulable machines are candidates, not only those with free resources.
    all_machines_listed: bool,
    /// Whether free machines are reserved for a gang that could not be placed; one gang per run.
    machines_reserved_for_gang: bool,
    /// Task shapes for which no machine has free resources. Free resources only decrease during a run.
    shapes_without_machine: HashSet<TaskShape<'a>>,
    /// Shapes and priorities for which nothing is left to preempt.
    preemption_exhausted: HashSet<(TaskShape<'a>, Priority)>,
    /// Number of tasks in each zone for jobs with a zone constraint, including tasks placed in this run:
    /// such a job may have several entries, and the constraint applies to all of them together.
    tasks_by_zone: HashMap<&'a JobId, TasksByZone<'a>>,
    /// Number of jobs with changes to write, except arrays without a deadline.
    prioritized_writes: usize,
    /// Number of arrays without a deadline that have changes to write. They are written after all others, so
    /// that they never use writes that other jobs need.
    deferred_writes: usize,
    schedule: Schedule,
}

/// Result of placing an entry's tasks.
struct EntryOutcome {
    assignments: Vec<Assignment>,
    /// Number of tasks without a machine.
    unplaced: u32,
}

/// Whether further entries can be written.
#[derive(PartialEq, Eq)]
enum WriteBudget {
    Available,
    /// No more arrays without a deadline can be written.
    DeferredWritesExhausted,
    /// No more jobs can be written.
    Exhausted,
}

impl<'i, 'a> Scheduler<'i, 'a> {
    /// Creates a run over a queue. `schedule` holds the changes that were decided before.
    pub(super) fn new(
        input: &'i SchedulingInput<'a>,
        quotas: QuotaLedger<'a>,
        gpu_demand: GpuDemand,
        queue: &[QueueEntry<'a>],
        schedule: Schedule,
    ) -> Scheduler<'i, 'a> {
        // Gangs may stop backfill tasks, and a forecast reports every machine. Otherwise machines with free
        // resources suffice until tasks must be preempted.
        let all_machines_listed = input.forecast
            || queue
                .iter()
                .any(|entry| entry.job.spec.kind == JobKind::Gang);
        let machines = CandidateSource::new(input, has_cpu_only_types(input.view));
        let candidates = match all_machines_listed {
            true => machines.all(),
            false => machines.with_free_resources(queue),
        };
        Scheduler {
            input,
            quotas,
            gpu_demand,
            machines,
            candidates: CandidateMachines::new(candidates),
            all_machines_listed,
            machines_reserved_for_gang: false,
            shapes_without_machine: HashSet::new(),
            preemption_exhausted: HashSet::new(),
            tasks_by_zone: HashMap::new(),
            prioritized_writes: 0,
            deferred_writes: 0,
            schedule,
        }
    }

    /// Places the entries of a queue in order, as far as the result can be written.
    pub(super) fn place_all(&mut self, queue: &[QueueEntry<'a>]) {
        for entry in queue {
            match self.write_budget(entry) {
                WriteBudget::Available => self.place_entry(entry),
                WriteBudget::DeferredWritesExhausted => {}
                WriteBudget::Exhausted => break,
            }
        }
    }

    /// Returns the result; a forecast also reports the free resources that remain on each machine.
    pub(super) fn finish(mut self) -> Schedule {
        if self.input.forecast {
            let machines = self.candidates.list.iter();
            let free_resources = machines.map(|m| (m.id.clone(), m.free));
            self.schedule.free_resources = free_resources.collect();
        }
        self.schedule
    }

    fn write_budget(&self, entry: &QueueEntry<'a>) -> WriteBudget {
        match &self.input.write_limit {
            Some(limit) if self.prioritized_writes >= limit.max_jobs => WriteBudget::Exhausted,
            Some(limit)
                if entry.is_array_without_deadline() && self.deferred_writes >= limit.max_jobs =>
            {
                WriteBudget::DeferredWritesExhausted
            }
            _ => WriteBudget::Available,
        }
    }

    fn place_entry(&mut self, entry: &QueueEntry<'a>) {
        let spec = &entry.job.spec;
        let headroom = self.quotas.headroom(spec, entry.quota_class());
        let count = entry.count as u32;
        let permitted = u32::try_from(headroom).unwrap_or(u32::MAX).min(count);
        if permitted < count {
            // Tasks held back by a quota do not wait for a machine.
            let limited = &mut self.schedule.quota_limited_tasks;
            *limited.entry(entry.id.clone()).or_default() += count - permitted;
        }
        let outcome = if spec.kind == JobKind::Gang {
            self.place_gang(entry, permitted)
        } else if headroom > 0 {
            Some(self.place_tasks(entry, permitted))
        } else {
            Some(EntryOutcome {
                assignments: Vec::new(),
                unplaced: 0,
            })
        };
        if let Some(outcome) = outcome {
            self.record(entry, outcome);
        }
    }

    /// Places a whole gang; `None` if no placement is attempted.
    fn place_gang(&mut self, entry: &QueueEntry<'a>, permitted: u32) -> Option<EntryOutcome> {
        let (job, spec) = (entry.job, &entry.job.spec);
        // No task starts while tasks of the last attempt are still on their machines.
        if job.waiting != spec.task_count {
            return None;
        }
        if permitted < spec.task_count {
            let limited = &mut self.schedule.quota_limited_tasks;
            limited.insert(entry.id.clone(), spec.task_count);
            return None;
        }
        let input = self.input;
        let candidates = &mut self.candidates;
        match gang::place_gang(
            input.view,
            job,
            candidates,
            &self.gpu_demand,
            input.forecast,
        ) {
            GangPlacement::Placed(assignments) if !assignments.is_empty() => {
                return Some(EntryOutcome {
                    assignments,
                    unplaced: 0,
                });
            }
            GangPlacement::WaitsForBackfill(mut stops) => self.schedule.changes.append(&mut stops),
            _ => {}
        }
        let age = input.wall_clock.saturating_sub(job.waiting_since);
        if !self.machines_reserved_for_gang && age > GANG_RESERVATION_DELAY {
            self.machines_reserved_for_gang = true;
            gang::reserve_free_machines(spec, &mut self.candidates);
        }
        Some(EntryOutcome {
            assignments: Vec::new(),
            unplaced: spec.task_count,
        })
    }

    /// Places tasks of an array or a service. For tasks without a machine, others are preempted if allowed.
    fn place_tasks(&mut self, entry: &QueueEntry<'a>, permitted: u32) -> EntryOutcome {
        let shape = TaskShape::of(&entry.job.spec);
        let zone_constrained = has_zone_constraint(&entry.job.spec);
        let may_preempt = self.may_preempt(entry);
        if self.cannot_be_placed(entry, shape, may_preempt) {
            return EntryOutcome {
                assignments: Vec::new(),
                unplaced: permitted,
            };
        }
        let zone_counts = self.tasks_by_zone.remove(entry.id);
        let zone_counts = zone_counts.unwrap_or_else(|| tasks_by_zone(self.input.view, entry.job));
        let mut attempt = PlacementAttempt::new(entry, permitted, self.gpu_demand, zone_counts);
        let requested = attempt.requested_tasks();
        let mut remaining = requested;
        if zone_constrained {
            while remaining > 0 && attempt.place_one(&mut self.candidates) {
                remaining -= 1;
            }
        } else {
            remaining = self.place_on_best_machines(&mut attempt, shape, may_preempt);
        }
        let unplaced = remaining as u32 + permitted - requested as u32;
        if may_preempt && remaining > 0 {
            self.add_all_machines();
            let unmet = self.preempt_for_tasks(&attempt, ImageRequirement::Any, remaining);
            if unmet > 0 && !zone_constrained {
                self.preemption_exhausted
                    .insert((shape, attempt.spec.priority));
            }
        }
        if zone_constrained {
            self.tasks_by_zone.insert(entry.id, attempt.tasks_by_zone);
        }
        EntryOutcome {
            assignments: attempt.assignments,
            unplaced,
        }
    }

    /// Returns whether tasks of lower priority may be preempted for an entry.
    fn may_preempt(&self, entry: &QueueEntry<'a>) -> bool {
        let age = self
            .input
            .wall_clock
            .saturating_sub(entry.job.waiting_since);
        !self.input.forecast
            && (entry.owned || age > NON_OWNER_PREEMPTION_DELAY)
            && (entry.job.spec.priority <= Priority::High || entry.fits_guarantee)
    }

    /// Returns whether earlier entries showed that no machine has free resources for these tasks and that
    /// nothing can be preempted. Always false for an owned service: it may also run on machines of other
    /// owners, which earlier entries of its shape may have been unable to use.
    fn cannot_be_placed(
        &self,
        entry: &QueueEntry<'a>,
        shape: TaskShape<'a>,
        may_preempt: bool,
    ) -> bool {
        let spec = &entry.job.spec;
        !has_zone_constraint(spec)
            && self.shapes_without_machine.contains(&shape)
            && !(entry.owned && shape.service)
            && (!may_preempt || self.preemption_exhausted.contains(&(shape, spec.priority)))
    }

    /// Places tasks without a zone constraint on the best machines and returns the number that remain. A
    /// service starts sooner if tasks are preempted on a machine that has its image cached than on a free
    /// machine that must fetch the image first.
    fn place_on_best_machines(
        &mut self,
        attempt: &mut PlacementAttempt<'a>,
        shape: TaskShape<'a>,
        may_preempt: bool,
    ) -> usize {
        let spec = attempt.spec;
        let mut remaining = attempt.requested_tasks();
        let order = self.candidates.best_machines(shape, attempt, remaining);
        if order.is_empty() {
            self.shapes_without_machine.insert(shape);
        }
        if !(may_preempt && spec.kind == JobKind::Service) {
            return remaining - attempt.fill(&mut self.candidates, &order, remaining);
        }
        let uncached_from = order
            .iter()
            .position(|ranked| !self.candidates.list[ranked.index].has_image(spec))
            .unwrap_or(order.len());
        let (cached, uncached) = order.split_at(uncached_from);
        remaining -= attempt.fill(&mut self.candidates, cached, remaining);
        if remaining > 0 {
            self.add_all_machines();
            remaining = self.preempt_for_tasks(attempt, ImageRequirement::Cached, remaining);
        }
        remaining - attempt.fill(&mut self.candidates, uncached, remaining)
    }

    /// Preempts for up to `count` tasks, one at a time, and returns the number of tasks for which nothing could
    /// be preempted.
    fn preempt_for_tasks(
        &mut self,
        attempt: &PlacementAttempt<'a>,
        image: ImageRequirement,
        count: usize,
    ) -> usize {
        let mut remaining = count;
        while remaining > 0
            && preempt_for_one_task(
                self.input.view,
                attempt,
                &mut self.candidates,
                image,
                &mut self.schedule.changes,
            )
        {
            remaining -= 1;
        }
        remaining
    }

    /// Adds the machines without free resources; they are needed only for preemption.
    fn add_all_machines(&mut self) {
        if !std::mem::replace(&mut self.all_machines_listed, true) {
            self.machines.add_missing(&mut self.candidates.list);
        }
    }

    fn record(&mut self, entry: &QueueEntry<'a>, outcome: EntryOutcome) {
        let EntryOutcome {
            assignments,
            unplaced,
        } = outcome;
        let input = self.input;
        // A forecast assumes that tasks without a machine will get one, so these count towards the quota, too.
        let expected = if input.forecast { unplaced } else { 0 };
        let started = assignments.len() as i64 + i64::from(expected);
        self.quotas
            .record_started(&entry.job.spec, started, entry.quota_class());
        if !assignments.is_empty() && !input.forecast {
            if input
                .write_limit
                .is_some_and(|limit| !(limit.has_transaction_in_flight)(entry.id))
            {
                match entry.is_array_without_deadline() {
                    true => self.deferred_writes += 1,
                    false => self.prioritized_writes += 1,
                }
            }
            self.schedule.changes.push(JobChange::Place {
                job: entry.id.clone(),
                tasks: assignments,
            });
        }
        if unplaced > 0 {
            if entry.minimum_share {
                *self
                    .schedule
                    .starved_tasks
                    .entry(entry.id.clone())
                    .or_default() += unplaced;
            }
            self.schedule
                .unplaced_tasks
                .push((entry.id.clone(), unplaced));
        }
    }
}
