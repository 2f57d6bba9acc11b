//! Candidate machines of one scheduling run: their selection, their free resources, and the rules on which
//! of them a job may use. A candidate belongs to the run; its free resources decrease as tasks are placed.

use super::SchedulingInput;
use super::backfill::BackfillTasks;
use super::preemption::PreemptibleTasks;
use super::queue::QueueEntry;
use crate::autoscaler::model::{MachineRecord, MachineState};
use crate::ids::MachineId;
use crate::jobs::model::{JobSpec, Resources, TaskState};
use crate::store::cluster_state::Job;
use crate::wire::user::JobKind;
use foldhash::{HashMap, HashSet};

/// All machines are scanned if more than one in `FULL_SCAN_RATIO` may have enough free CPUs: a scan is then
/// cheaper than a look-up for each of these.
const FULL_SCAN_RATIO: usize = 4;

/// Number of lost attempts after which a gang avoids spot machines.
const MAX_GANG_SPOT_ATTEMPTS: u32 = 2;

/// A machine on which tasks may be placed.
pub(super) struct CandidateMachine<'a> {
    pub(super) id: &'a MachineId,
    pub(super) machine: &'a MachineRecord,
    /// Session of its worker.
    pub(super) session: u64,
    /// Whether this controller owns the machine.
    pub(super) owned: bool,
    /// Whether the machine is still booting; only in a forecast.
    pub(super) booting: bool,
    pub(super) free: Resources,
    pub(super) capacity: Resources,
    /// Images that its worker has probably cached.
    pub(super) images: Option<&'a HashSet<String>>,
    /// Computed on first use.
    pub(super) preemptible: Option<PreemptibleTasks>,
    /// Computed on first use.
    pub(super) backfill: Option<BackfillTasks>,
    pub(super) has_cpu_only_types: bool,
}

impl CandidateMachine<'_> {
    /// Returns whether the machine's worker has probably cached a job's image.
    pub(super) fn has_image(&self, spec: &JobSpec) -> bool {
        self.images
            .is_some_and(|images| images.contains(&spec.image))
    }
}

/// Returns whether a job allows a machine's type, zone and price model (spot or on-demand).
pub fn machine_allowed(spec: &JobSpec, machine: &MachineRecord) -> bool {
    spec.machine_types
        .as_ref()
        .is_none_or(|types| types.contains(&machine.machine_type))
        && spec.zone.as_ref().is_none_or(|zone| *zone == machine.zone)
        && (spec.allow_spot || !machine.spot)
}

/// Returns whether a job's tasks may be placed on spot machines now. The preemption of one machine ends
/// the attempt of the whole gang, and all computation since the last checkpoint is lost. On many spot
/// machines a large gang can be preempted more often than it saves checkpoints: it makes no progress,
/// and all its machines are paid for again with each attempt.
pub fn may_use_spot(job: &Job) -> bool {
    let lost_attempts = || job.task_state(0).map_or(0, TaskState::last_attempt);
    job.spec.allow_spot
        && (job.spec.kind != JobKind::Gang
            || job.spec.task_count == 1
            || lost_attempts() < MAX_GANG_SPOT_ATTEMPTS)
}

/// Creates candidates from machine records.
pub(super) struct CandidateSource<'i, 'a> {
    input: &'i SchedulingInput<'a>,
    capacities: HashMap<&'a str, Resources>,
    has_cpu_only_types: bool,
}

impl<'i, 'a> CandidateSource<'i, 'a> {
    pub(super) fn new(
        input: &'i SchedulingInput<'a>,
        has_cpu_only_types: bool,
    ) -> CandidateSource<'i, 'a> {
        let types = input.view.machine_types.iter();
        CandidateSource {
            input,
            capacities: types
                .map(|(name, t)| (name.as_str(), Resources::of_machine(t)))
                .collect(),
            has_cpu_only_types,
        }
    }

    fn candidate(
        &self,
        id: &'a MachineId,
        machine: &'a MachineRecord,
    ) -> Option<CandidateMachine<'a>> {
        let view = self.input.view;
        let schedulable = (self.input.schedulable_machine)(id, machine)?;
        let capacity = *self.capacities.get(machine.machine_type.as_str())?;
        let mut free = capacity;
        free.subtract(&view.usage(id).used);
        if let Some(released_resources) = self.input.released_resources.get(id) {
            free.add(released_resources);
        }
        Some(CandidateMachine {
            id,
            machine,
            session: schedulable.session,
            owned: schedulable.owned,
            booting: self.input.forecast && machine.state == MachineState::Booting,
            free,
            capacity,
            images: view.images.get(id),
            preemptible: None,
            backfill: None,
            has_cpu_only_types: self.has_cpu_only_types,
        })
    }

    /// Returns all schedulable machines, ordered by id.
    pub(super) fn all(&self) -> Vec<CandidateMachine<'a>> {
        let machines = self.input.view.machines.iter();
        machines
            .filter_map(|(id, machine)| self.candidate(id, machine))
            .collect()
    }

    /// Returns the machines on which the task with the fewest CPUs in the queue may fit, ordered by id.
    pub(super) fn with_free_resources(
        &self,
        queue: &[QueueEntry<'_>],
    ) -> Vec<CandidateMachine<'a>> {
        let machines = &self.input.view.machines;
        let min_cpus = queue
            .iter()
            .map(|entry| entry.job.spec.resources.cpus)
            .min()
            .unwrap_or(0);
        let ids = machines_with_free_cpus(self.input, min_cpus);
        if ids.len() * FULL_SCAN_RATIO > machines.len() {
            let candidates = machines.iter().filter_map(|(id, m)| self.candidate(id, m));
            candidates.filter(|c| c.free.cpus >= min_cpus).collect()
        } else {
            let found = ids.into_iter();
            found
                .filter_map(|id| self.candidate(id, machines.get(id)?))
                .collect()
        }
    }

    /// Adds the schedulable machines that are not yet in a list.
    pub(super) fn add_missing(&self, list: &mut Vec<CandidateMachine<'a>>) {
        let listed: HashSet<&MachineId> = list.iter().map(|candidate| candidate.id).collect();
        let machines = self.input.view.machines.iter();
        let others = machines.filter(|(id, _)| !listed.contains(id));
        list.extend(others.filter_map(|(id, machine)| self.candidate(id, machine)));
    }
}

/// Returns the machines on which at least `min_cpus` (in thousandths) may be free, ordered by id.
fn machines_with_free_cpus<'a>(input: &SchedulingInput<'a>, min_cpus: i64) -> Vec<&'a MachineId> {
    let index = input.view.indexes();
    let from = (min_cpus, MachineId::from(""));
    let mut ids: Vec<&MachineId> = index
        .by_free_cpus
        .range(from..)
        .map(|entry| &entry.1)
        .collect();
    let below_min_cpus = |id: &MachineId| {
        let free_cpus = input.view.free_cpus(id);
        free_cpus.is_some_and(|cpus| cpus < min_cpus)
    };
    ids.extend(
        input
            .released_resources
            .keys()
            .filter(|id| below_min_cpus(id)),
    );
    ids.sort_unstable();
    ids
}
