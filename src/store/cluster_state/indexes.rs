//! Indexes over jobs and machines: what decisions look up instead of going through all of them.

use super::{ClusterState, Job};
use crate::autoscaler::model::{MachineRecord, MachineState};
use crate::ids::MachineId;
use crate::jobs::model::{JobId, Resources};
use crate::wire::user::JobKind;
use std::collections::{BTreeMap, BTreeSet};

/// Lookups for decisions. Updated with every change, and equal at any time to what a pass over all jobs and
/// machines would give; the tests compare the two after each step (`tests/common`).
#[derive(Default, Debug, PartialEq)]
pub struct Indexes {
    /// Jobs with tasks that wait, whether they may start or not.
    pub waiting: BTreeSet<JobId>,
    /// The services among them: few as a rule, and looked for in each pass of the scheduler.
    pub services: BTreeSet<JobId>,
    /// Jobs of which only the end is left to write.
    pub finished: BTreeSet<JobId>,
    /// Resources of the placed tasks of each team; teams without any are absent.
    pub teams: BTreeMap<String, Resources>,
    /// Amounts (CPUs, GPUs, memory) that tasks with GPUs take, and how many jobs take just these.
    pub gpu_task_sizes: BTreeMap<[i64; 3], u32>,
    /// Machines that accept nothing new: draining or closing.
    pub not_accepting: BTreeSet<MachineId>,
    /// Machines by their free CPUs, in thousandths.
    pub by_free_cpus: BTreeSet<(i64, MachineId)>,
}

impl Indexes {
    pub(super) fn add_gpu_task_size(&mut self, resources: &Resources) {
        if resources.gpus > 0 {
            *self.gpu_task_sizes.entry(resources.amounts()).or_default() += 1;
        }
    }

    pub(super) fn remove_gpu_task_size(&mut self, resources: &Resources) {
        if resources.gpus > 0
            && let Some(job_count) = self.gpu_task_sizes.get_mut(&resources.amounts())
        {
            *job_count -= 1;
            if *job_count == 0 {
                self.gpu_task_sizes.remove(&resources.amounts());
            }
        }
    }

    fn add_team_usage(&mut self, team: &String, change: &Resources) {
        if !self.teams.contains_key(team) {
            self.teams.insert(team.clone(), Resources::default());
        }
        if let Some(usage) = self.teams.get_mut(team) {
            usage.add(change);
            if *usage == Resources::default() {
                self.teams.remove(team);
            }
        }
    }
}

impl ClusterState {
    /// After a change of a job's block: updates its team's usage, the machines that tasks came to or left,
    /// and the job itself. `placed_before` is the number of its placed tasks before the change.
    pub(super) fn index_block_change(
        &mut self,
        id: &JobId,
        placed_before: u32,
        mut machines: Vec<MachineId>,
    ) {
        if let Some(job) = self.jobs.get(id).filter(|job| job.placed != placed_before) {
            let placed_change = i64::from(job.placed) - i64::from(placed_before);
            let change = job.spec.resources.for_tasks(placed_change);
            self.indexes.add_team_usage(&job.spec.team, &change);
        }
        machines.sort_unstable();
        machines.dedup();
        for machine in machines {
            self.index_machine(&machine);
            self.changed_machines.insert(machine);
        }
        self.index_job(id);
    }

    pub(super) fn index_job(&mut self, id: &JobId) {
        let job = self.jobs.get(id);
        let waiting = job.is_some_and(|job| job.waiting > 0);
        let service = job.is_some_and(|job| job.spec.kind == JobKind::Service);
        set_member(&mut self.indexes.waiting, id, waiting);
        set_member(&mut self.indexes.services, id, waiting && service);
        let finished = job.is_some_and(Job::is_finished);
        set_member(&mut self.indexes.finished, id, finished);
    }

    pub(super) fn index_machine(&mut self, id: &MachineId) {
        let machine = self.machines.get(id);
        let not_accepting = |machine: &MachineRecord| {
            matches!(
                machine.state,
                MachineState::Draining | MachineState::Closing
            )
        };
        set_member(
            &mut self.indexes.not_accepting,
            id,
            machine.is_some_and(not_accepting),
        );
        let free_cpus = machine
            .and_then(|machine| self.machine_types.get(&machine.machine_type))
            .map(|machine_type| {
                Resources::of_machine(machine_type).cpus - self.usage(id).used.cpus
            });
        self.index_free_cpus(id, free_cpus);
    }

    fn index_free_cpus(&mut self, id: &MachineId, free_cpus: Option<i64>) {
        let indexed = self.free_cpus_by_machine.get(id).copied();
        if indexed == free_cpus {
            return;
        }
        if let Some(cpus) = indexed {
            self.indexes.by_free_cpus.remove(&(cpus, id.clone()));
            self.free_cpus_by_machine.remove(id);
        }
        if let Some(cpus) = free_cpus {
            self.indexes.by_free_cpus.insert((cpus, id.clone()));
            self.free_cpus_by_machine.insert(id.clone(), cpus);
        }
    }
}

/// Makes `element` a member of `set`, or not, and copies it only if that is new.
fn set_member<T: Ord + Clone>(set: &mut BTreeSet<T>, element: &T, member: bool) {
    if !member {
        set.remove(element);
    } else if !set.contains(element) {
        set.insert(element.clone());
    }
}
