//! Amounts of resources, and the usage of a machine by its tasks.

use super::{JobSpec, MAX_TASKS};
use crate::wire::cloud::MachineType;
use crate::wire::message_sizes::heartbeat_capacity;
use crate::wire::user::JobKind;
use serde::{Deserialize, Serialize};

/// Resources of a task or machine. CPUs, GPUs and memory are in thousandths: sums of integers have no rounding errors.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a CPU.
    #[serde(rename = "c")]
    pub cpus: i64,
    /// Thousandths of a GPU.
    #[serde(rename = "g")]
    pub gpus: i64,
    /// Thousandths of a gigabyte of memory.
    #[serde(rename = "m")]
    pub memory: i64,
    /// Bytes of the machine's heartbeat, whose size is limited. Every attempt on a machine takes some, also after its
    /// exit. Not stored: follows from the job ([`JobSpec::set_heartbeat_bytes`]) and from the machine type.
    #[serde(skip)]
    pub heartbeat_bytes: i64,
}

impl Resources {
    /// Returns whether `need` fits into these resources.
    pub fn fits(&self, need: &Resources) -> bool {
        self.cpus >= need.cpus
            && self.gpus >= need.gpus
            && self.memory >= need.memory
            && self.heartbeat_bytes >= need.heartbeat_bytes
    }

    /// Subtracts `need`; amounts may become negative.
    pub fn subtract(&mut self, need: &Resources) {
        self.cpus -= need.cpus;
        self.gpus -= need.gpus;
        self.memory -= need.memory;
        self.heartbeat_bytes -= need.heartbeat_bytes;
    }

    /// Adds `need`.
    pub fn add(&mut self, need: &Resources) {
        self.cpus += need.cpus;
        self.gpus += need.gpus;
        self.memory += need.memory;
        self.heartbeat_bytes += need.heartbeat_bytes;
    }

    /// Returns the total resources of `task_count` tasks.
    pub fn for_tasks(&self, task_count: i64) -> Resources {
        Resources {
            cpus: self.cpus * task_count,
            gpus: self.gpus * task_count,
            memory: self.memory * task_count,
            heartbeat_bytes: self.heartbeat_bytes * task_count,
        }
    }

    /// Returns CPUs, GPUs and memory, in this order.
    pub fn amounts(&self) -> [i64; 3] {
        [self.cpus, self.gpus, self.memory]
    }

    /// Returns the number of tasks, each with `need`, that fit into these resources; at most [`MAX_TASKS`].
    pub fn count_fitting(&self, need: &Resources) -> i64 {
        let count = |have: i64, need: i64| if need > 0 { have / need } else { i64::MAX };
        count(self.cpus, need.cpus)
            .min(count(self.gpus, need.gpus))
            .min(count(self.memory, need.memory))
            .min(count(self.heartbeat_bytes, need.heartbeat_bytes))
            .clamp(0, i64::from(MAX_TASKS))
    }

    /// Returns the resources of an empty machine.
    pub fn of_machine(machine_type: &MachineType) -> Resources {
        // The small summand prevents rounding down if the floating-point value is just below a whole
        // number of thousandths.
        let thousandths = |amount: f64| (amount * 1000.0 + 1e-6).floor() as i64;
        Resources {
            cpus: thousandths(machine_type.cpus),
            gpus: thousandths(machine_type.gpus),
            memory: thousandths(machine_type.memory_gb),
            heartbeat_bytes: heartbeat_capacity(machine_type),
        }
    }
}

/// Total usage of one machine by its tasks. Updated whenever a task is added or removed, so that
/// scheduling does not have to iterate over the tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MachineUsage {
    /// Resources in use.
    pub used: Resources,
    /// Number of service tasks.
    pub service_tasks: u32,
    /// CPUs of service tasks, in thousandths.
    pub service_cpus: i64,
    /// CPUs of array tasks that services may preempt, in thousandths.
    pub preemptible_cpus: i64,
    /// Number of tasks of jobs for which [`JobSpec::is_backfill`] holds. Used only for machines with GPUs.
    pub backfill_tasks: u32,
    /// Heartbeat bytes of these tasks.
    pub backfill_heartbeat_bytes: i64,
    /// Heartbeat bytes of service tasks.
    pub service_heartbeat_bytes: i64,
}

impl MachineUsage {
    /// Adds one task of a job.
    pub fn add(&mut self, spec: &JobSpec) {
        self.used.add(&spec.resources);
        self.service_tasks += u32::from(spec.kind == JobKind::Service);
        self.service_cpus += spec.service_cpus();
        self.preemptible_cpus += spec.preemptible_cpus();
        self.backfill_tasks += u32::from(spec.is_backfill());
        let heartbeat_bytes = spec.resources.heartbeat_bytes;
        if spec.is_backfill() {
            self.backfill_heartbeat_bytes += heartbeat_bytes;
        }
        if spec.kind == JobKind::Service {
            self.service_heartbeat_bytes += heartbeat_bytes;
        }
    }

    /// Removes one task of a job.
    pub fn remove(&mut self, spec: &JobSpec) {
        self.used.subtract(&spec.resources);
        self.service_tasks -= u32::from(spec.kind == JobKind::Service);
        self.service_cpus -= spec.service_cpus();
        self.preemptible_cpus -= spec.preemptible_cpus();
        self.backfill_tasks -= u32::from(spec.is_backfill());
        let heartbeat_bytes = spec.resources.heartbeat_bytes;
        if spec.is_backfill() {
            self.backfill_heartbeat_bytes -= heartbeat_bytes;
        }
        if spec.kind == JobKind::Service {
            self.service_heartbeat_bytes -= heartbeat_bytes;
        }
    }
}
