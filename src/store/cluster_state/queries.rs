//! Queries over jobs, machines and keys that no other file of the cluster state answers.

use super::{BlockPartKey, ClusterState, Indexes, Job};
use crate::ids::MachineId;
use crate::jobs::model::{JobId, MachineUsage, Placement};
use crate::store::keys;
use std::collections::{BTreeMap, BTreeSet};

impl ClusterState {
    /// Jobs with tasks that wait, whether they may start or not.
    pub fn waiting(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.jobs_of(&self.indexes.waiting)
    }

    /// The services among them.
    pub fn waiting_services(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.jobs_of(&self.indexes.services)
    }

    fn jobs_of<'a>(
        &'a self,
        ids: &'a BTreeSet<JobId>,
    ) -> impl Iterator<Item = (&'a JobId, &'a Job)> {
        ids.iter().filter_map(|id| Some((id, self.jobs.get(id)?)))
    }

    /// CPUs that are free on a machine, in thousandths; `None` if the machine or its type is not known.
    pub fn free_cpus(&self, id: &MachineId) -> Option<i64> {
        self.free_cpus_by_machine.get(id).copied()
    }

    /// The indexes.
    pub fn indexes(&self) -> &Indexes {
        &self.indexes
    }

    /// What the tasks on a machine add up to.
    pub fn usage(&self, machine: &MachineId) -> MachineUsage {
        self.usage_by_machine
            .get(machine)
            .copied()
            .unwrap_or_default()
    }

    /// Tasks of unfinished jobs on a machine, by job and index: a finished job has none on any.
    pub fn tasks_on(&self, machine: &str) -> Option<&BTreeMap<(JobId, u32), Placement>> {
        self.tasks_by_machine
            .get(machine)
            .filter(|tasks| !tasks.is_empty())
    }

    /// Block, part and dependency keys that belong to no job, each with the id in it.
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

    /// Block, part and dependency keys of a job: all its keys besides its record.
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
