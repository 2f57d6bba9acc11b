//! Tests of `workers/probing.rs` that need its private parts.

use super::*;

/// Guards against probe intervals that do not divide the heartbeat interval evenly, which cost a probe
/// without detecting a dead machine earlier. With too many machines for one probe per interval, only
/// heartbeats remain.
#[test]
fn probes_divide_the_heartbeat_interval_evenly() {
    let interval_for = |machines| probe_interval_for(machines, 0.4, 5 * SECOND);
    assert_eq!(interval_for(10), MIN_PROBE_INTERVAL);
    assert_eq!(interval_for(200), 5 * SECOND / 3);
    assert_eq!(interval_for(400), 5 * SECOND / 2);
    assert_eq!(interval_for(501), 5 * SECOND);
}

/// Guards against slow detection when several machines fail together: after one unanswered call, all
/// machines with replicas are probed at the shortest interval for a limited time.
#[test]
fn unanswered_call_shortens_the_probe_interval() {
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
