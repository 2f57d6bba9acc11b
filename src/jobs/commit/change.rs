//! The changes of jobs that reconciliation and scheduling ask for.

use crate::ids::MachineId;
use crate::jobs::model::JobId;
use crate::time::Micros;

/// A wanted change of a job.
#[derive(Clone, Debug, PartialEq)]
pub enum JobChange {
    /// An attempt is proved to run on its machine no longer.
    AttemptEnded {
        /// Job of the attempt.
        job: JobId,
        /// Index of the task within the job.
        index: u32,
        /// Number of the attempt.
        attempt: u32,
        /// Whether it completed; if not, the task has to run again.
        done: bool,
    },
    /// A running attempt should stop (preemption, drain or cancellation).
    Stop {
        /// Job of the attempt.
        job: JobId,
        /// Index of the task within the job.
        index: u32,
        /// Number of the attempt.
        attempt: u32,
        /// Grace period between the request and the kill.
        grace: Micros,
    },
    /// Waiting tasks should start on machines.
    Place {
        /// Job of the tasks.
        job: JobId,
        /// Index of each task, its machine, and the machine's session that the start is meant for.
        tasks: Vec<(u32, MachineId, u64)>,
    },
    /// The end of the job should be written, if its task states say that it has ended.
    Finalize {
        /// Job that may have ended.
        job: JobId,
    },
}

impl JobChange {
    /// The job that is to change.
    pub fn job(&self) -> &JobId {
        match self {
            JobChange::AttemptEnded { job, .. }
            | JobChange::Stop { job, .. }
            | JobChange::Place { job, .. }
            | JobChange::Finalize { job } => job,
        }
    }
}
