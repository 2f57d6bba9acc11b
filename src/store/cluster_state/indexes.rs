//! Indexes over jobs and machines, which replace scans over all of them in decisions.

use super::{ClusterState, Job};
use crate::autoscaler::model::{MachineRecord, MachineState};
use crate::ids::MachineId;
use crate::jobs::model::{JobId, Resources};
use crate::wire::user::JobKind;
use std::collections::{BTreeMap, BTreeSet};

/// Indexes for decisions. Updated with every change and always equal to the result of a scan over all jobs
/// and machines. The tests compare the two after each step (`tests/common`).
#[derive(Default, Debug, PartialEq)]
pub struct Indexes {
    /// Jobs with waiting tasks, regardless of whether these may start.
    pub waiting: BTreeSet<JobId>,
    /// Services with waiting tasks. Usually few, and looked up in each scheduling pass.
    pub services: BTreeSet<JobId>,
    /// Jobs for which only the final state remains to be written.
    pub finished: BTreeSet<JobId>,
    /// Resources of the placed tasks of each team. Teams without placed tasks are absent.
    pub teams: BTreeMap<String, Resources>,
    /// Number of jobs for each distinct resource request (CPUs, GPUs, memory) of tasks with GPUs.
    pub gpu_task_sizes: BTreeMap<[i64; 3], u32>,
    /// Estimated memory of all jobs, in bytes.
    pub job_bytes: usize,
    /// Machines that accept no new tasks: draining or closing.
    pub not_accepting: BTreeSet<MachineId>,
    /// Machines whose tasks may take more bytes of a heartbeat than fit.
    pub overfull: BTreeSet<MachineId>,
    /// Machines ordered by their free CPUs, in thousandths.
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

    /// Replaces the memory with which a job is included.
    fn change_job_bytes(&mut self, included: usize, bytes: usize) {
        self.job_bytes += bytes;
        self.job_bytes -= included;
    }

    /// Removes the memory of a job that is no longer known.
    pub(super) fn remove_job_bytes(&mut self, job: &Job) {
        self.change_job_bytes(job.indexed_bytes, 0);
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
    /// Updates the indexes after a change of a job's block: the usage of its team, the machines to which
    /// tasks were added or from which they were removed, and the job itself. `placed_before` is the number of
    /// its placed tasks before the change.
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
        if let Some(job) = self.jobs.get_mut(id) {
            let bytes = job.estimated_bytes();
            self.indexes.change_job_bytes(job.indexed_bytes, bytes);
            job.indexed_bytes = bytes;
        }
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
        let free = self.capacity(id).map(|mut free| {
            free.subtract(&self.usage(id).used);
            free
        });
        let overfull = free.is_some_and(|free| free.heartbeat_bytes < 0);
        set_member(&mut self.indexes.overfull, id, overfull);
        self.index_free_cpus(id, free.map(|free| free.cpus));
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

/// Adds `element` to `set` or removes it. Clones the element only if it is not in the set yet.
fn set_member<T: Ord + Clone>(set: &mut BTreeSet<T>, element: &T, member: bool) {
    if !member {
        set.remove(element);
    } else if !set.contains(element) {
        set.insert(element.clone());
    }
}
