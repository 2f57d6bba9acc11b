//! Read-only queries over jobs, machines and keys that are not specific to another file of the cluster state.

use super::{BlockPartKey, ClusterState, Indexes, Job};
use crate::ids::MachineId;
use crate::jobs::model::{JobId, MachineUsage, Placement, Resources};
use crate::store::keys;
use std::collections::{BTreeMap, BTreeSet};

impl ClusterState {
    /// Returns the jobs with waiting tasks, regardless of whether these may start.
    pub fn waiting(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.jobs_of(&self.indexes.waiting)
    }

    /// Returns the services with waiting tasks.
    pub fn waiting_services(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.jobs_of(&self.indexes.services)
    }

    fn jobs_of<'a>(
        &'a self,
        ids: &'a BTreeSet<JobId>,
    ) -> impl Iterator<Item = (&'a JobId, &'a Job)> {
        ids.iter().filter_map(|id| Some((id, self.jobs.get(id)?)))
    }

    /// Returns the free CPUs of a machine in thousandths, or `None` if the machine or its type is not known.
    pub fn free_cpus(&self, id: &MachineId) -> Option<i64> {
        self.free_cpus_by_machine.get(id).copied()
    }

    /// Returns the resources of a machine without tasks, or `None` if the machine or its type is not known.
    pub fn capacity(&self, id: &MachineId) -> Option<Resources> {
        let machine = self.machines.get(id)?;
        let machine_type = self.machine_types.get(&machine.machine_type)?;
        Some(Resources::of_machine(machine_type))
    }

    /// Returns the indexes.
    pub fn indexes(&self) -> &Indexes {
        &self.indexes
    }

    /// Returns the total resource usage of the tasks on a machine.
    pub fn usage(&self, machine: &MachineId) -> MachineUsage {
        self.usage_by_machine
            .get(machine)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the tasks of unfinished jobs on a machine, by job and index. Finished jobs have no tasks on
    /// machines.
    pub fn tasks_on(&self, machine: &str) -> Option<&BTreeMap<(JobId, u32), Placement>> {
        self.tasks_by_machine
            .get(machine)
            .filter(|tasks| !tasks.is_empty())
    }

    /// Returns the block, part and dependency keys without a job record, each with the job id in the key.
    pub fn orphaned_keys(&self) -> Vec<(JobId, String)> {
        let orphaned = |id: &JobId| !self.jobs.contains_key(id);
        let mut found: Vec<(JobId, String)> = Vec::new();
        for (id, blocks) in self.block_keys.iter().filter(|(id, _)| orphaned(id)) {
            found.extend(block_key_names(id, blocks).map(|key| (id.clone(), key)));
        }
        for (id, parts) in self.block_parts.iter().filter(|(id, _)| orphaned(id)) {
            found.extend(block_part_names(id, parts).map(|key| (id.clone(), key)));
        }
        for (id, lists) in self.dependency_lists.iter().filter(|(id, _)| orphaned(id)) {
            found.extend(dependency_list_names(id, lists).map(|key| (id.clone(), key)));
        }
        found
    }

    /// Returns the block, part and dependency keys of a job: all its keys except its record.
    pub fn secondary_keys(&self, id: &str) -> Vec<String> {
        let mut found: Vec<String> = Vec::new();
        if let Some(blocks) = self.block_keys.get(id) {
            found.extend(block_key_names(id, blocks));
        }
        if let Some(parts) = self.block_parts.get(id) {
            found.extend(block_part_names(id, parts));
        }
        if let Some(lists) = self.dependency_lists.get(id) {
            found.extend(dependency_list_names(id, lists));
        }
        found
    }
}

fn block_key_names<V>(id: &str, blocks: &BTreeMap<u32, V>) -> impl Iterator<Item = String> {
    blocks.keys().map(move |block| keys::block(id, *block))
}

fn block_part_names<V>(
    id: &str,
    parts: &BTreeMap<BlockPartKey, V>,
) -> impl Iterator<Item = String> {
    parts
        .keys()
        .map(move |key| keys::block_part(id, key.block, key.tasks_per_part, key.part))
}

fn dependency_list_names<V>(id: &str, lists: &BTreeMap<u32, V>) -> impl Iterator<Item = String> {
    lists
        .keys()
        .map(move |number| keys::dependency_list(id, *number))
}
