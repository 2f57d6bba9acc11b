//! Sizes of heartbeats and command batches in bytes of JSON, the unit in which the size limit of a message is counted.
//! In CBOR the same messages are shorter.

use super::MAX_BODY_BYTES;
use super::cloud::MachineType;
use super::json_size;
use super::worker::{Command, CommandBatch, ExitReason, Heartbeat, ReportedTask, TaskStatus};
use std::sync::LazyLock;

/// Name of a task without its job, with the most digits that an index has.
const LONGEST_TASK_INDEX: &str = "/99999";
/// Longest job id: `req-` and 20 digits.
const MAX_JOB_ID_BYTES: usize = 24;
/// Longest machine name, and longest address of a worker.
const MAX_MACHINE_NAME_BYTES: usize = 64;
/// Time until a preemption with the most digits.
const LONGEST_NOTICE_S: f64 = f64::MIN;
/// Size of the separator between two entries of a list.
const SEPARATOR_BYTES: usize = 1;
/// Number of commands that fit into one message whatever their names and numbers are.
const ALWAYS_FITTING_COMMANDS: usize = 400;

/// Sizes of the parts of messages whose names and numbers are as long as they can be.
struct LargestSizes {
    /// Exited attempt of an array or service, without the name of the job.
    attempt: usize,
    /// Exited attempt of a gang, which has further reasons to exit.
    gang_attempt: usize,
    /// Exited attempt that saved a checkpoint.
    saved_attempt: usize,
    /// Heartbeat without attempts and without the names of its machine type and zone.
    empty_heartbeat: usize,
    /// Command batch without commands.
    empty_batch: usize,
}

static LARGEST: LazyLock<LargestSizes> = LazyLock::new(|| LargestSizes {
    attempt: exited_attempt_bytes(ExitReason::Unknown, None),
    gang_attempt: exited_attempt_bytes(ExitReason::Incomplete, None),
    saved_attempt: exited_attempt_bytes(ExitReason::Stopped, Some(true)),
    empty_heartbeat: json_size(&Heartbeat {
        machine: longest_name(),
        address: longest_name(),
        machine_type: String::new(),
        zone: String::new(),
        spot: false,
        session: u64::MAX,
        sequence: u64::MAX,
        fencing_token: u64::MAX,
        preemption_notice_s: Some(LONGEST_NOTICE_S),
        tasks: Vec::new(),
    }),
    empty_batch: json_size(&CommandBatch {
        fencing_token: u64::MAX,
        session: Some(u64::MAX),
        commands: Vec::new(),
    }),
});

fn longest_name() -> String {
    std::iter::repeat_n('m', MAX_MACHINE_NAME_BYTES).collect()
}

/// Returns the size of an exited attempt in a heartbeat with the separator that follows it, without the name of the job.
/// An attempt takes more bytes after its exit than before.
fn exited_attempt_bytes(reason: ExitReason, saved: Option<bool>) -> usize {
    let attempt = ReportedTask {
        task: LONGEST_TASK_INDEX.into(),
        attempt: u64::from(u32::MAX),
        status: TaskStatus::Exited,
        reason: Some(reason),
        saved,
    };
    entry_bytes(&attempt)
}

/// Returns the size of an attempt in a list. Workers leave out fields that have no value.
fn entry_bytes(attempt: &ReportedTask) -> usize {
    let attempt_bytes = match serde_json::to_value(attempt) {
        Ok(serde_json::Value::Object(mut fields)) => {
            fields.retain(|_, value| !value.is_null());
            json_size(&fields)
        }
        _ => json_size(attempt),
    };
    attempt_bytes + SEPARATOR_BYTES
}

/// Returns the most bytes that one attempt of any task takes in a heartbeat.
pub fn largest_attempt_bytes() -> i64 {
    max_attempt_bytes(MAX_JOB_ID_BYTES, false, true)
}

/// Returns the most bytes that one attempt of a task takes in a heartbeat, whatever its state: also after its exit,
/// until the worker forgets it.
pub fn max_attempt_bytes(job_id_bytes: usize, in_gang: bool, saves_checkpoints: bool) -> i64 {
    let without_job = match (saves_checkpoints, in_gang) {
        (true, _) => LARGEST.saved_attempt,
        (false, true) => LARGEST.gang_attempt,
        (false, false) => LARGEST.attempt,
    };
    (without_job + job_id_bytes) as i64
}

/// Returns the number of bytes that attempts may take in a heartbeat of a machine.
pub fn heartbeat_capacity(machine_type: &MachineType) -> i64 {
    let zones = machine_type.zones.iter();
    let longest_zone = zones.map(String::len).max().unwrap_or(0);
    let names = machine_type.name.len() + longest_zone;
    MAX_BODY_BYTES as i64 - (LARGEST.empty_heartbeat + names) as i64
}

/// Returns how many of the commands, from the first one on, fit into one message to a worker.
pub fn count_fitting_commands(commands: &[Command]) -> usize {
    if commands.len() <= ALWAYS_FITTING_COMMANDS {
        return commands.len();
    }
    let mut bytes = LARGEST.empty_batch;
    let fits = |command: &&Command| {
        bytes += json_size(command) + SEPARATOR_BYTES;
        bytes <= MAX_BODY_BYTES
    };
    commands.iter().take_while(fits).count()
}

#[cfg(test)]
mod tests;
