//! Data model of jobs, in memory and as stored: specification, admission, task states in blocks, final
//! state. Contains only types and pure functions; the state itself is in the state service, with a copy
//! in [`ClusterState`](crate::store::cluster_state::ClusterState).

mod admission;
mod dependencies;
mod packed_block;
mod records;
mod resources;
mod spec;
mod task_block;

pub use admission::{AdmissionError, validate};
pub use dependencies::{Dependencies, JobIdList};
pub use records::{FinishedJob, JobRecord, StoredBlock, StoredJobRecord};
pub use resources::{MachineUsage, Resources};
pub use spec::JobSpec;
pub use task_block::{
    MAX_TASKS, Placement, TASKS_PER_BLOCK, TaskBlock, TaskState, block_count, parse_task,
    task_name, unplaced_block,
};

/// Id of a job, chosen by its user.
pub type JobId = crate::ids::Id;
