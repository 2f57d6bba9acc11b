//! Unit tests of `wire/message_sizes.rs`.

use super::*;
use crate::wire::worker::{CommandBatch, ExitReason, Heartbeat, ReportedTask, TaskStatus};
use crate::wire::{encode, to_value};

const LONGEST_ID: &str = "req-12345678901234567890";

fn attempt(status: TaskStatus, reason: Option<ExitReason>, saved: Option<bool>) -> ReportedTask {
    ReportedTask {
        task: format!("{LONGEST_ID}/99999"),
        attempt: u64::from(u32::MAX),
        status,
        reason,
        saved,
    }
}

/// Guards against placement by a size that an attempt outgrows in a later state: running attempts are short, exited
/// ones have a reason.
#[test]
fn no_state_of_an_attempt_takes_more_than_its_largest_size() {
    use ExitReason::{Busy, Done, Error, Incomplete, NoRoom, Peers, Stopped, Unknown};
    use TaskStatus::{Exited, Fetching, Running, Saving, Waiting};
    let mut largest = [0_usize; 3];
    let mut record = |case: usize, attempt: &ReportedTask| {
        largest[case] = entry_bytes(attempt).max(largest[case]);
    };
    for case in 0..3 {
        for status in [Fetching, Waiting, Running, Saving] {
            record(case, &attempt(status, None, None));
        }
        for reason in [Done, Stopped, Error, NoRoom, Busy, Unknown] {
            record(case, &attempt(Exited, Some(reason), None));
        }
    }
    for reason in [Peers, Incomplete] {
        record(1, &attempt(Exited, Some(reason), None));
        record(2, &attempt(Exited, Some(reason), None));
    }
    record(2, &attempt(Exited, Some(Stopped), Some(true)));
    let [array, gang, saving] = largest.map(|bytes| bytes as i64);
    let id_bytes = LONGEST_ID.len();
    assert_eq!(id_bytes, MAX_JOB_ID_BYTES);
    assert_eq!(array, max_attempt_bytes(id_bytes, false, false));
    assert_eq!(gang, max_attempt_bytes(id_bytes, true, false));
    assert_eq!(saving, max_attempt_bytes(id_bytes, false, true));
    assert_eq!(saving, max_attempt_bytes(id_bytes, true, true));
    assert_eq!(saving, largest_attempt_bytes());
}

fn machine_type(name: &str, zones: &[&str]) -> MachineType {
    MachineType {
        name: name.into(),
        cpus: 16.0,
        gpus: 0.0,
        memory_gb: 64.0,
        image_cache_gb: 30.0,
        fetch_gb_per_s: 1.0,
        price_per_hour: 1.0,
        spot_price_per_hour: None,
        boot_time_s: 15.0,
        zones: zones.iter().map(|zone| (*zone).to_string()).collect(),
    }
}

/// Guards against a heartbeat that is full by the capacity of its machine type, and whose machine has the longest
/// names and numbers: the worker could not send it.
#[test]
fn heartbeat_at_its_capacity_fits_into_a_message() {
    let machine_type = machine_type(&"t".repeat(300), &["a", &"z".repeat(200), "b"]);
    let capacity = heartbeat_capacity(&machine_type);
    let count = capacity / largest_attempt_bytes();
    let heartbeat = |count: i64| Heartbeat {
        machine: "m".repeat(64),
        address: "a".repeat(64),
        machine_type: machine_type.name.clone(),
        zone: machine_type.zones[1].clone(),
        spot: false,
        session: u64::MAX,
        sequence: u64::MAX,
        fencing_token: u64::MAX,
        preemption_notice_s: Some(-1_234.567_890_123_4),
        tasks: (0..count)
            .map(|_| attempt(TaskStatus::Exited, Some(ExitReason::Stopped), Some(true)))
            .collect(),
    };
    assert!(json_size(&heartbeat(count)) <= MAX_BODY_BYTES);
    assert!(encode(&heartbeat(count)).len() <= json_size(&heartbeat(count)));
    assert!(json_size(&heartbeat(count + 2)) > MAX_BODY_BYTES);
}

/// Guards against a message to a worker that is larger than a worker has to accept.
#[test]
fn commands_are_cut_where_the_message_is_full() {
    let stop = Command::Stop {
        task: format!("{LONGEST_ID}/99999"),
        attempt: u64::MAX,
        grace_period_s: 999_999_999.999_999,
    };
    let batch = |count: usize| CommandBatch {
        fencing_token: u64::MAX,
        session: Some(u64::MAX),
        commands: vec![stop.clone(); count],
    };
    assert!(json_size(&batch(ALWAYS_FITTING_COMMANDS)) <= MAX_BODY_BYTES);
    let fitting = count_fitting_commands(&vec![stop.clone(); 5_000]);
    assert!(json_size(&batch(fitting)) <= MAX_BODY_BYTES);
    assert!(json_size(&batch(fitting + 2)) > MAX_BODY_BYTES);
    assert!(json_size(&to_value(&batch(fitting))) <= MAX_BODY_BYTES);
    for count in [0, 1, ALWAYS_FITTING_COMMANDS, fitting] {
        assert_eq!(count_fitting_commands(&batch(count).commands), count);
    }
}
