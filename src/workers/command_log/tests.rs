//! Tests of the counters of commands and unexpected reports.

use super::super::heartbeat::{HeartbeatOutcome, HeartbeatSource};
use super::*;
use crate::wire::worker::TaskStatus;

/// Returns a heartbeat under term 5 that reports an attempt with this status.
fn heartbeat(sequence: u64, reported: Option<TaskStatus>) -> Heartbeat {
    super::super::tests::heartbeat(sequence, 5, reported)
}

fn receive(worker: &mut WorkerState, heartbeat: &Heartbeat) -> HeartbeatOutcome {
    worker.apply_heartbeat(heartbeat, HeartbeatSource::Periodic, heartbeat.sequence)
}

#[test]
fn attempt_that_returns_after_a_forget_is_reported_once() {
    let mut worker = WorkerState::new(5, 0);
    receive(&mut worker, &heartbeat(1, Some(TaskStatus::Exited)));
    let forget = Command::Forget {
        task: "req-1/0".into(),
        attempt: 1,
    };
    worker.outstanding.forgotten.record(&[forget]);
    let answer_lost = receive(&mut worker, &heartbeat(2, Some(TaskStatus::Exited)));
    assert!(answer_lost.reappeared.is_empty(), "it never left");
    assert!(
        receive(&mut worker, &heartbeat(3, None))
            .reappeared
            .is_empty()
    );
    let again = receive(&mut worker, &heartbeat(4, Some(TaskStatus::Running)));
    assert_eq!(again.reappeared, [("req-1".into(), 0, 1)]);
    let still = receive(&mut worker, &heartbeat(5, Some(TaskStatus::Running)));
    assert!(still.reappeared.is_empty());
    let counters = CommandCounters::default();
    counters.record_reappeared(&"m".into(), &again.reappeared);
    assert_eq!(counters.attempts_after_forget.get(), 1);
}

#[test]
fn attempt_that_no_task_block_places_is_counted_at_its_first_report() {
    let view = ClusterState::default();
    let counters = CommandCounters::default();
    let mut worker = WorkerState::new(5, 0);
    for sequence in 1..4 {
        receive(&mut worker, &heartbeat(sequence, Some(TaskStatus::Running)));
        let stop = Command::Stop {
            task: "req-1/0".into(),
            attempt: 1,
            grace_period_s: 0.0,
        };
        counters.record_sent(&SentCommands {
            view: &view,
            machine: &"m".into(),
            worker: &worker,
            channel: CommandChannel::HeartbeatAnswer,
            commands: &[stop],
        });
    }
    assert_eq!(counters.stops.get(), 3);
    assert_eq!(counters.unplaced_attempts.get(), 1);
}
