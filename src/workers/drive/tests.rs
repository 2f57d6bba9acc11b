//! Tests of `workers/drive.rs` that need its private parts.

use super::*;

/// One call more than divides the time between reports finds nothing sooner; none at all leaves that
/// to the reports.
#[test]
fn calls_divide_the_time_between_reports() {
    let every = |machines| call_every(machines, 0.4, 5 * SECOND);
    assert_eq!(every(10), CALL);
    assert_eq!(every(200), 5 * SECOND / 3);
    assert_eq!(every(400), 5 * SECOND / 2);
    assert_eq!(every(501), 5 * SECOND);
}

/// While one machine after the other goes without an answer, the others are not left to wait.
#[test]
fn after_a_call_without_an_answer_all_are_called_soon() {
    let f = WorkerRegistry::default();
    f.call_every.set(5 * SECOND / 2);
    let now = 100 * SECOND;
    assert_eq!(f.call_every(now), 5 * SECOND / 2);
    f.last_probe_failure.set(now);
    assert_eq!(f.call_every(now + SECOND), CALL);
    assert_eq!(f.call_every(now + ALARM), 5 * SECOND / 2);
}
