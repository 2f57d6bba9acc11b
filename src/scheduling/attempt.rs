//! Placement of identical tasks of one array or service. An attempt collects the assignments and
//! allocates the resources on the candidate machines.

use super::backfill::GpuDemand;
use super::bin_packing::{self, CandidateMachines, RankedMachine, Score};
use super::machines::{CandidateMachine, machine_allowed};
use super::queue::QueueEntry;
use super::zones::{TasksByZone, zone_allowed};
use crate::ids::MachineId;
use crate::jobs::model::{JobSpec, Resources};
use crate::wire::user::JobKind;

/// A task index, its machine and the session of the machine's worker, as in `JobChange::Place`.
pub(super) type Assignment = (u32, MachineId, u64);

/// Maximum number of tasks that one attempt places; the next run follows immediately.
const MAX_TASKS_PER_ATTEMPT: usize = 512;

/// Attempt to place identical tasks of one job.
pub(super) struct PlacementAttempt<'a> {
    pub(super) spec: &'a JobSpec,
    /// Whether this controller owns the job.
    pub(super) owned: bool,
    pub(super) gpu_demand: GpuDemand,
    /// Number of the job's tasks in each zone, including those placed by this attempt; empty without a
    /// zone constraint.
    pub(super) tasks_by_zone: TasksByZone<'a>,
    /// Indexes of the tasks to place.
    task_indexes: Vec<u32>,
    /// Assignments made so far, in the order of `task_indexes`.
    pub(super) assignments: Vec<Assignment>,
}

impl<'a> PlacementAttempt<'a> {
    /// Creates an attempt for the first `permitted` tasks of an entry.
    pub(super) fn new(
        entry: &QueueEntry<'a>,
        permitted: u32,
        gpu_demand: GpuDemand,
        tasks_by_zone: TasksByZone<'a>,
    ) -> PlacementAttempt<'a> {
        let task_indexes = entry
            .job
            .waiting_indexes()
            .skip(entry.waiting_offset)
            .take((permitted as usize).min(MAX_TASKS_PER_ATTEMPT))
            .collect();
        PlacementAttempt {
            spec: &entry.job.spec,
            owned: entry.owned,
            gpu_demand,
            tasks_by_zone,
            task_indexes,
            assignments: Vec::new(),
        }
    }

    /// Number of tasks to place.
    pub(super) fn requested_tasks(&self) -> usize {
        self.task_indexes.len()
    }

    /// Returns the free resources of a machine that these tasks may use.
    pub(super) fn offered_resources(&self, candidate: &CandidateMachine<'_>) -> Resources {
        self.gpu_demand.offered_resources(self.spec, candidate)
    }

    /// Returns whether these tasks may run on a machine; of its free resources only the CPUs are checked.
    fn is_eligible(&self, candidate: &CandidateMachine<'_>) -> bool {
        // A service may run on another owner's machine: in a small cluster few machines of the job's
        // owner have its image cached. Arrays may not, so that two owners rarely allocate the same
        // resources.
        (candidate.owned || (self.owned && self.spec.kind == JobKind::Service))
            && candidate.free.cpus >= self.spec.resources.cpus
            && machine_allowed(self.spec, candidate.machine)
    }

    fn fits(&self, candidate: &CandidateMachine<'_>) -> bool {
        self.offered_resources(candidate).fits(&self.spec.resources)
    }

    /// Returns the score of a machine for these tasks, with the image assumed cached or not as given;
    /// `None` if the tasks may not run there or do not fit.
    pub(super) fn score(
        &self,
        candidate: &CandidateMachine<'_>,
        image_cached: bool,
    ) -> Option<Score> {
        (self.is_eligible(candidate) && self.fits(candidate))
            .then(|| bin_packing::score(self.spec, candidate, image_cached))
    }

    /// Places up to `limit` tasks on the machines in the given order and returns the number placed.
    pub(super) fn fill(
        &mut self,
        candidates: &mut CandidateMachines<'a>,
        order: &[RankedMachine],
        limit: usize,
    ) -> usize {
        let mut placed = 0;
        for RankedMachine { index, .. } in order {
            while placed < limit && self.fits(&candidates.list[*index]) {
                self.assign(candidates, *index);
                placed += 1;
            }
        }
        placed
    }

    /// Places one task of a job with a zone constraint and returns whether a machine was found.
    pub(super) fn place_one(&mut self, candidates: &mut CandidateMachines<'a>) -> bool {
        let spec = self.spec;
        let best = candidates
            .list
            .iter()
            .enumerate()
            .filter(|(_, candidate)| {
                self.is_eligible(candidate)
                    && self.fits(candidate)
                    && zone_allowed(spec, &self.tasks_by_zone, &candidate.machine.zone)
            })
            .min_by_key(|(index, candidate)| RankedMachine {
                score: bin_packing::score(spec, candidate, candidate.has_image(spec)),
                index: *index,
            })
            .map(|(index, _)| index);
        let Some(index) = best else { return false };
        let zone: &'a str = &candidates.list[index].machine.zone;
        *self.tasks_by_zone.entry(zone).or_default() += 1;
        self.assign(candidates, index);
        true
    }

    fn assign(&mut self, candidates: &mut CandidateMachines<'_>, index: usize) {
        candidates.allocate(index, &self.spec.resources);
        let candidate = &candidates.list[index];
        let task = self.task_indexes[self.assignments.len()];
        self.assignments
            .push((task, candidate.id.clone(), candidate.session));
    }
}
