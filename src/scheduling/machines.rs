//! Candidate machines of one scheduling run: which there are, what is free on them, which a job may use.
//! A candidate belongs to the run; its free resources fall as tasks are placed.

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

/// Where more than one machine in so many has free resources, all are looked through in a row: that is
/// cheaper than one look-up each.
const FULL_SCAN_RATIO: usize = 4;

/// Attempts that a gang may lose before it avoids spot machines.
const MAX_GANG_SPOT_ATTEMPTS: u32 = 2;

/// A machine that may be given tasks.
pub(super) struct CandidateMachine<'a> {
    pub(super) id: &'a MachineId,
    pub(super) machine: &'a MachineRecord,
    /// Session of its worker.
    pub(super) session: u64,
    /// Belongs to the scheduling controller.
    pub(super) owned: bool,
    /// Still boots; only in a forecast.
    pub(super) booting: bool,
    pub(super) free: Resources,
    pub(super) capacity: Resources,
    /// Images that its worker has probably cached.
    pub(super) images: Option<&'a HashSet<String>>,
    /// Found when first asked for.
    pub(super) preemptible: Option<PreemptibleTasks>,
    /// Found when first asked for.
    pub(super) backfill: Option<BackfillTasks>,
    pub(super) has_cpu_only_types: bool,
}

impl CandidateMachine<'_> {
    /// Whether the machine has probably cached a job's image.
    pub(super) fn has_image(&self, spec: &JobSpec) -> bool {
        self.images
            .is_some_and(|images| images.contains(&spec.image))
    }
}

/// Whether a machine is of a type, zone and price model that the job allows.
pub fn machine_allowed(spec: &JobSpec, machine: &MachineRecord) -> bool {
    spec.machine_types
        .as_ref()
        .is_none_or(|types| types.contains(&machine.machine_type))
        && spec.zone.as_ref().is_none_or(|zone| *zone == machine.zone)
        && (spec.allow_spot || !machine.spot)
}

/// Whether a job's tasks may go to spot machines now. One preempted machine of a gang ends the whole
/// attempt, and what was computed since the last checkpoint is lost: on many spot machines, preempted
/// more often than it saves, a large gang makes no progress and pays for all of them again and again.
pub fn may_use_spot(job: &Job) -> bool {
    let lost_attempts = || job.slot(0).map_or(0, TaskState::attempt);
    job.spec.allow_spot
        && (job.spec.kind != JobKind::Gang
            || job.spec.task_count == 1
            || lost_attempts() < MAX_GANG_SPOT_ATTEMPTS)
}

/// Makes candidates of machines.
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
        let schedulable = (self.input.schedulable)(id, machine)?;
        let capacity = *self.capacities.get(machine.machine_type.as_str())?;
        let mut free = capacity;
        free.subtract(&view.usage(id).used);
        if let Some(freed) = self.input.freed.get(id) {
            free.add(freed);
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

    /// All schedulable machines, in order of their ids.
    pub(super) fn all(&self) -> Vec<CandidateMachine<'a>> {
        let machines = self.input.view.machines.iter();
        machines
            .filter_map(|(id, machine)| self.candidate(id, machine))
            .collect()
    }

    /// Machines on which the smallest task of the queue may fit, in order of their ids.
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

    /// Adds the schedulable machines that are not in a list yet.
    pub(super) fn add_missing(&self, list: &mut Vec<CandidateMachine<'a>>) {
        let listed: HashSet<&MachineId> = list.iter().map(|candidate| candidate.id).collect();
        let machines = self.input.view.machines.iter();
        let others = machines.filter(|(id, _)| !listed.contains(id));
        list.extend(others.filter_map(|(id, machine)| self.candidate(id, machine)));
    }
}

/// Machines on which so many CPUs (in thousandths) may be free, in order of their ids.
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
    ids.extend(input.freed.keys().filter(|id| below_min_cpus(id)));
    ids.sort_unstable();
    ids
}
