//! Specification of an accepted job, as stored in the job's record.

use super::{Dependencies, Resources};
use crate::time::Micros;
use crate::wire::message_sizes::max_attempt_bytes;
use crate::wire::user::{JobKind, Priority};
use serde::{Deserialize, Serialize};

/// Specification of an accepted job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Class of the job; service-level objectives are defined for each class.
    #[serde(rename = "cl")]
    pub class: String,
    /// Name of the team whose quota the job uses.
    #[serde(rename = "t")]
    pub team: String,
    /// Kind of the job: array, gang or service.
    #[serde(rename = "k")]
    pub kind: JobKind,
    /// Priority of the class.
    #[serde(rename = "r")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "n")]
    pub task_count: u32,
    /// Resources of each task.
    #[serde(rename = "q")]
    pub resources: Resources,
    /// Name of the container image.
    #[serde(rename = "i")]
    pub image: String,
    /// Size of the image in thousandths of a gigabyte.
    #[serde(rename = "ig")]
    pub image_size: i64,
    /// Names of the allowed machine types, sorted; `None` for all.
    #[serde(rename = "ty")]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone; `None` for all.
    #[serde(rename = "z")]
    pub zone: Option<String>,
    /// Whether all tasks must be in one zone.
    #[serde(rename = "oz")]
    pub single_zone: bool,
    /// Whether at most half of the tasks may be in one zone.
    #[serde(rename = "sp")]
    pub zone_spread: bool,
    /// Whether spot machines are allowed.
    #[serde(rename = "s")]
    pub allow_spot: bool,
    /// Run time of a task, as estimated by the job's user.
    #[serde(rename = "e")]
    pub estimated_run_time: Micros,
    /// Interval between checkpoints; 0 if the tasks save no checkpoints.
    #[serde(rename = "cp")]
    pub checkpoint_interval: Micros,
    /// Duration of saving a checkpoint.
    #[serde(rename = "sv")]
    pub checkpoint_save_time: Micros,
    /// Time after the submission within which the job should be done.
    #[serde(rename = "d")]
    pub deadline: Option<Micros>,
    /// Wall-clock time of the submission.
    #[serde(rename = "at")]
    pub submitted_at: Micros,
    /// Whether the user cancelled the job.
    #[serde(rename = "x", default)]
    pub cancelled: bool,
    /// Jobs that must be done before any task of this job starts, without those that were already done at
    /// its submission. Written only if every controller supports pipelines.
    #[serde(rename = "w", default, skip_serializing_if = "Dependencies::is_empty")]
    pub dependencies: Dependencies,
}

impl JobSpec {
    /// Sets the bytes that each task takes in its machine's heartbeat. They follow from the id and the other fields,
    /// so that they are not stored.
    pub fn set_heartbeat_bytes(&mut self, id: &str) {
        let in_gang = self.kind == JobKind::Gang;
        let saves_checkpoints = self.checkpoint_interval > 0;
        self.resources.heartbeat_bytes = max_attempt_bytes(id.len(), in_gang, saves_checkpoints);
    }

    /// Returns whether tasks may run on machines with GPUs without using the GPUs (backfill). Such tasks
    /// save checkpoints, and every job that needs GPUs has a higher priority, so they are preempted when
    /// such a job arrives or the machine is to be released. Other jobs that need no GPUs must not occupy
    /// these expensive machines.
    pub fn is_backfill(&self) -> bool {
        self.resources.gpus == 0
            && self.kind == JobKind::Array
            && self.priority == Priority::Low
            && self.checkpoint_interval > 0
    }

    /// Returns the CPUs of a task, in thousandths, if the job is a service; otherwise 0.
    pub(super) fn service_cpus(&self) -> i64 {
        match self.kind {
            JobKind::Service => self.resources.cpus,
            _ => 0,
        }
    }

    /// Returns the CPUs of a task, in thousandths, if services may preempt it; otherwise 0.
    pub(super) fn preemptible_cpus(&self) -> i64 {
        match self.kind {
            JobKind::Array if self.priority >= Priority::Normal => self.resources.cpus,
            _ => 0,
        }
    }

    /// Returns whether both jobs have the same effect on [`MachineUsage`](super::MachineUsage) and on their
    /// team's quota.
    pub fn has_same_usage(&self, other: &JobSpec) -> bool {
        self.task_count == other.task_count
            && self.resources == other.resources
            && self.kind == other.kind
            && self.priority == other.priority
            && (self.checkpoint_interval > 0) == (other.checkpoint_interval > 0)
            && self.team == other.team
    }
}
