//! Tests of `workers/probing.rs` that need its private parts.

use super::*;

/// One probe more than divides the time between heartbeats finds nothing sooner; none at all leaves that
/// to the heartbeats.
#[test]
fn calls_divide_the_time_between_reports() {
    let every = |machines| probe_interval_for(machines, 0.4, 5 * SECOND);
    assert_eq!(every(10), MIN_PROBE_INTERVAL);
    assert_eq!(every(200), 5 * SECOND / 3);
    assert_eq!(every(400), 5 * SECOND / 2);
    assert_eq!(every(501), 5 * SECOND);
}

/// While one machine after the other goes without an answer, the others are not left to wait.
#[test]
fn after_a_call_without_an_answer_all_are_called_soon() {
    let registry = WorkerRegistry::default();
    registry.probe_interval.set(5 * SECOND / 2);
    let now = 100 * SECOND;
    assert_eq!(registry.probe_interval(now), 5 * SECOND / 2);
    registry.last_probe_failure.set(now);
    assert_eq!(registry.probe_interval(now + SECOND), MIN_PROBE_INTERVAL);
    assert_eq!(
        registry.probe_interval(now + FAST_PROBING_DURATION),
        5 * SECOND / 2
    );
}
