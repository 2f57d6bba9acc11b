//! Workers (the agents on the machines): processing of their heartbeats and the commands sent to them.
//!
//! The owner of a shard controls the machines of that shard. The commands for a machine are the
//! difference between the task blocks in the state service and the machine's newest heartbeat. Missing
//! contact alone never proves that a task has ended.
//!
//! Modules with pure decisions, which take a [`WorkerState`] and the current time as arguments:
//! `heartbeat`, `commands`, `direct_starts`, `heartbeat_room`, `fencing_token`, `reconcile`, `liveness`, `inbound_partition`,
//! `backoff`. Modules with the steps of the controller's loops that apply them: `heartbeat_handler`, `registry`,
//! `command_dispatch`, `probing`, `machine_records`.

mod backoff;
mod command_dispatch;
mod command_log;
mod commands;
mod direct_starts;
mod fencing_token;
mod forgotten_attempts;
mod heartbeat;
mod heartbeat_handler;
mod heartbeat_room;
mod inbound_partition;
mod liveness;
mod machine_records;
mod probing;
mod reconcile;
mod registry;
mod task_durations;
mod worker_state;

pub use backoff::quarantined;
pub use command_log::CommandCounters;
pub use commands::{CommandChannel, commands};
pub use fencing_token::{FencingToken, TokenFormat};
pub use heartbeat::{HeartbeatOutcome, HeartbeatSource};
pub use heartbeat_handler::redirect_target;
pub use inbound_partition::{
    InboundPartition, inbound_partition, reported_state, schedulable_session,
    widespread_inbound_partitions,
};
pub use liveness::{LivenessCheck, isolated, latest_contact, may_answer_heartbeats};
pub use reconcile::reconcile;
pub use registry::WorkerRegistry;
pub use task_durations::{FinishedTask, TaskDurations, longest_active_tasks};
pub use worker_state::{
    FailureHistory, HeartbeatHistory, MachineDescription, ObservedTask, OutstandingCommands,
    ProbeHistory, TaskAttempt, TaskFailure, WorkerIdentity, WorkerState,
};

#[cfg(test)]
mod tests;
