//! Estimate of the memory that an unfinished job takes, with its entries in the maps and indexes of the cluster
//! state. Admission compares it with the memory of the controller (`jobs::memory_budget`).

use super::Job;
use crate::jobs::model::{JobSpec, TASKS_PER_BLOCK, TaskBlock, block_count};

/// Memory of a job of one task, without what is counted separately: its specification and its entries in maps and
/// indexes, in bytes.
const JOB_BYTES: usize = 2048;
/// Memory of a block without its runs, in bytes: its entry in the job, and its key with its version.
const BLOCK_BYTES: usize = size_of::<TaskBlock>() + 256;
/// Memory of a placed task, in bytes: its run's names and its entries in the maps by machine.
const PLACED_TASK_BYTES: usize = 256;
/// Memory of a dependency, in bytes: its id in the specification, the job and the dependency lists, and the entry
/// for its dependent.
const DEPENDENCY_BYTES: usize = 320;
/// Memory of a name in addition to its text, in bytes.
const NAME_BYTES: usize = 32;

/// Estimates the memory of a job of which no task was placed yet, in bytes.
pub fn estimated_bytes_of_unplaced_job(spec: &JobSpec) -> usize {
    let blocks = block_count(spec.task_count) as usize;
    let run_bytes = TaskBlock::uniform(TASKS_PER_BLOCK, Default::default()).allocated_bytes();
    spec_bytes(spec, spec.dependencies.jobs.0.len()) + blocks * run_bytes
}

/// Estimates the memory that depends on a job's specification only, in bytes.
fn spec_bytes(spec: &JobSpec, dependencies: usize) -> usize {
    let machine_types = spec.machine_types.iter().flatten();
    let names = [&spec.class, &spec.team, &spec.image];
    let name_bytes = names
        .into_iter()
        .chain(machine_types)
        .chain(&spec.zone)
        .map(|name| name.len() + NAME_BYTES);
    JOB_BYTES
        + name_bytes.sum::<usize>()
        + block_count(spec.task_count) as usize * BLOCK_BYTES
        + dependencies * DEPENDENCY_BYTES
}

impl Job {
    /// Estimates the memory of this job, in bytes.
    pub fn estimated_bytes(&self) -> usize {
        spec_bytes(&self.spec, self.dependencies.len())
            + self.task_state_bytes
            + self.placed as usize * PLACED_TASK_BYTES
    }
}
