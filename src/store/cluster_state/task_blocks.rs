//! Application of task blocks: block keys, the part keys into which a block may be split, and the counters
//! and maps that are updated for each changed task.

use super::{ClusterState, Job};
use crate::ids::MachineId;
use crate::jobs::model::{
    JobId, JobSpec, MachineUsage, Placement, StoredBlock, TASKS_PER_BLOCK, TaskBlock, TaskState,
    unplaced_block,
};
use crate::wire::from_value;
use ciborium::Value;
use foldhash::{HashMap, HashSet};
use std::collections::BTreeMap;

/// One of the keys into which a block is split. Ordered by block, number of tasks per part and part number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct BlockPartKey {
    pub(super) block: u32,
    pub(super) tasks_per_part: u32,
    pub(super) part: u32,
}

impl BlockPartKey {
    /// Parses `job/block/tasks per part/part`. Any further fields are ignored.
    fn parse(name: &str) -> Option<(&str, BlockPartKey)> {
        let mut fields = name.split('/');
        let job = fields.next()?;
        let key = BlockPartKey {
            block: fields.next()?.parse().ok()?,
            tasks_per_part: fields.next()?.parse().ok()?,
            part: fields.next()?.parse().ok()?,
        };
        Some((job, key))
    }

    /// Overwrites the tasks of this part in the block.
    fn overlay(&self, block: &mut TaskBlock, part: &TaskBlock) {
        let start = self.tasks_per_part.saturating_mul(self.part);
        block.overwrite(start, &part.slice(0, self.tasks_per_part));
    }
}

/// Locations of tasks: the maps of `ClusterState` that are updated for each placement.
struct TaskLocations<'a> {
    tasks_by_machine: &'a mut BTreeMap<MachineId, BTreeMap<(JobId, u32), Placement>>,
    usage_by_machine: &'a mut HashMap<MachineId, MachineUsage>,
    images: &'a mut HashMap<MachineId, HashSet<String>>,
}

impl TaskLocations<'_> {
    fn remove(&mut self, job: &JobId, index: u32, placement: &Placement, spec: &JobSpec) {
        let machine = &placement.machine;
        let Some(tasks) = self.tasks_by_machine.get_mut(machine) else {
            return;
        };
        tasks.remove(&(job.clone(), index));
        if tasks.is_empty() {
            self.tasks_by_machine.remove(machine);
            self.usage_by_machine.remove(machine);
        } else if let Some(usage) = self.usage_by_machine.get_mut(machine) {
            usage.remove(spec);
        }
    }

    fn add(&mut self, job: &JobId, index: u32, placement: &Placement, spec: &JobSpec) {
        let machine = &placement.machine;
        self.tasks_by_machine
            .entry(machine.clone())
            .or_default()
            .insert((job.clone(), index), placement.clone());
        self.usage_by_machine
            .entry(machine.clone())
            .or_default()
            .add(spec);
        let images = self.images.entry(machine.clone()).or_default();
        if !images.contains(&spec.image) {
            images.insert(spec.image.clone());
        }
    }
}

impl ClusterState {
    pub(super) fn apply_block(&mut self, name: &str, value: Option<&Value>) {
        let Some((id, block)) = name.split_once('/') else {
            return;
        };
        let (id, Ok(block)): (JobId, Result<u32, _>) = (id.into(), block.parse()) else {
            return;
        };
        let stored: Option<StoredBlock> = value.and_then(from_value);
        let block_keys = self.block_keys.entry(id.clone()).or_default();
        match &stored {
            None => {
                block_keys.remove(&block);
                if block_keys.is_empty() {
                    self.block_keys.remove(&id);
                }
            }
            Some(_) if self.jobs.contains_key(&id) => {
                block_keys.insert(block, None);
            }
            Some(stored) => {
                block_keys.insert(block, Some(stored.clone()));
            }
        }
        self.put_stored_block(&id, block, stored);
    }

    /// Applies a write or deletion of a part key. The part takes effect once the block's own key specifies
    /// this split.
    pub(super) fn apply_block_part(&mut self, name: &str, value: Option<&Value>) {
        let Some((id, key)) = BlockPartKey::parse(name) else {
            return;
        };
        let id: JobId = id.into();
        let parts = self.block_parts.entry(id.clone()).or_default();
        let Some(StoredBlock::Plain(part) | StoredBlock::Packed(part)) = value.and_then(from_value)
        else {
            parts.remove(&key);
            if parts.is_empty() {
                self.block_parts.remove(&id);
            }
            return;
        };
        parts.insert(key, part.clone());
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let in_effect = job.tasks_per_part.get(key.block as usize) == Some(&key.tasks_per_part);
        if key.tasks_per_part > 0 && in_effect {
            let mut block = job.blocks[key.block as usize].clone();
            key.overlay(&mut block, &part);
            self.put_block(&id, key.block, Some(block));
        }
    }

    /// Returns the value of a part key, regardless of whether it is in effect yet.
    pub fn block_part(
        &self,
        id: &str,
        block: u32,
        tasks_per_part: u32,
        part: u32,
    ) -> Option<&TaskBlock> {
        self.block_parts.get(id)?.get(&BlockPartKey {
            block,
            tasks_per_part,
            part,
        })
    }

    /// Sets a job's block to the value of its key. `None` resets it to the initial state.
    pub(super) fn put_stored_block(&mut self, id: &JobId, block: u32, stored: Option<StoredBlock>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(tasks_per_part) = job.tasks_per_part.get_mut(block as usize) else {
            return;
        };
        let (new_tasks_per_part, tasks) = match stored {
            None => (0, None),
            Some(StoredBlock::Plain(tasks) | StoredBlock::Packed(tasks)) => {
                (0, (!tasks.is_empty()).then_some(tasks))
            }
            Some(StoredBlock::Split(new_tasks_per_part)) => {
                let mut tasks = job.blocks[block as usize].clone();
                for (key, part) in self.block_parts.get(id).into_iter().flatten() {
                    if (key.block, key.tasks_per_part) == (block, new_tasks_per_part) {
                        key.overlay(&mut tasks, part);
                    }
                }
                (new_tasks_per_part, Some(tasks))
            }
        };
        *tasks_per_part = new_tasks_per_part;
        self.put_block(id, block, tasks);
    }

    /// Sets a job's block (`None` resets it to the initial state) and updates the counters and maps for the
    /// tasks whose states differ. The cost is one comparison per task of the block plus the updates of the
    /// differing tasks.
    pub(super) fn put_block(&mut self, id: &JobId, block: u32, tasks: Option<TaskBlock>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let task_count = job.spec.task_count;
        let Some(current) = job.blocks.get_mut(block as usize) else {
            return;
        };
        let old = std::mem::replace(
            current,
            tasks.unwrap_or_else(|| unplaced_block(task_count, block)),
        );
        job.task_state_bytes += current.allocated_bytes();
        job.task_state_bytes -= old.allocated_bytes();
        let placed_before = job.placed;
        let mut locations = TaskLocations {
            tasks_by_machine: &mut self.tasks_by_machine,
            usage_by_machine: &mut self.usage_by_machine,
            images: &mut self.images,
        };
        let machines = update_for_block_change(id, job, block, &old, &mut locations);
        self.index_block_change(id, placed_before, machines);
    }
}

/// Updates a job's counters and the locations of its tasks after a block was replaced. Returns the machines
/// from which tasks were removed or to which tasks were added, unordered and possibly with duplicates.
fn update_for_block_change(
    id: &JobId,
    job: &mut Job,
    block: u32,
    old: &TaskBlock,
    locations: &mut TaskLocations<'_>,
) -> Vec<MachineId> {
    let new = &job.blocks[block as usize];
    let mut machines: Vec<MachineId> = Vec::new();
    let (mut old_states, mut new_states) = (old.iter(), new.iter());
    for position in 0..old.len().max(new.len()) {
        let (old_state, new_state) = (old_states.next(), new_states.next());
        if old_state == new_state {
            continue;
        }
        let index = block * TASKS_PER_BLOCK + position;
        match old_state {
            Some(TaskState::Waiting(_)) => job.waiting -= 1,
            Some(TaskState::Done) => job.done -= 1,
            Some(TaskState::Placed(placement)) => {
                job.placed -= 1;
                machines.push(placement.machine.clone());
                locations.remove(id, index, placement, &job.spec);
            }
            None => {}
        }
        match new_state {
            Some(TaskState::Waiting(_)) => job.waiting += 1,
            Some(TaskState::Done) => job.done += 1,
            Some(TaskState::Placed(placement)) => {
                job.placed += 1;
                machines.push(placement.machine.clone());
                locations.add(id, index, placement, &job.spec);
            }
            None => {}
        }
    }
    machines
}
