//! Changes of jobs that reconciliation and scheduling request.

use crate::ids::MachineId;
use crate::jobs::model::JobId;
use crate::time::Micros;

/// A requested change of a job.
#[derive(Clone, Debug, PartialEq)]
pub enum JobChange {
    /// An attempt has been proved to be no longer running on its machine.
    AttemptEnded {
        /// Job of the attempt.
        job: JobId,
        /// Index of the task within the job.
        index: u32,
        /// Number of the attempt.
        attempt: u32,
        /// Whether the attempt completed; if not, the task has to run again.
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
        /// Time between the stop request and the forced termination.
        grace: Micros,
    },
    /// Waiting tasks should start on machines.
    Place {
        /// Job of the tasks.
        job: JobId,
        /// Index of each task, its machine, and the session of the machine for which the start is valid.
        tasks: Vec<(u32, MachineId, u64)>,
    },
    /// The final state of the job should be written, provided that its task states show that it has ended.
    Finalize {
        /// Job that may have ended.
        job: JobId,
    },
}

impl JobChange {
    /// Returns the job to be changed.
    pub fn job(&self) -> &JobId {
        match self {
            JobChange::AttemptEnded { job, .. }
            | JobChange::Stop { job, .. }
            | JobChange::Place { job, .. }
            | JobChange::Finalize { job } => job,
        }
    }
}
