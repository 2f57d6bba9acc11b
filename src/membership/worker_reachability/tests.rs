//! Tests of the detection that workers cannot reach this controller.

use super::*;

const NOW: Micros = 100 * SECOND;

/// Missing heartbeats from all machines or a returned redirect are evidence; having no machines is none.
#[test]
fn missing_heartbeats_or_a_returned_redirect_are_evidence_of_unreachability() {
    let at_timeout = NOW - HEARTBEAT_LOSS_TIMEOUT;
    assert_eq!(unreachable_evidence(at_timeout, None, NOW), None);
    assert_eq!(
        unreachable_evidence(at_timeout, Some(at_timeout), NOW),
        None
    );
    assert_eq!(
        unreachable_evidence(at_timeout, Some(at_timeout - 1), NOW),
        Some(UnreachableEvidence::Silence)
    );
    assert_eq!(
        unreachable_evidence(at_timeout + 1, Some(NOW), NOW),
        Some(UnreachableEvidence::RedirectedBack)
    );
}

/// A controller that released its shards is not checked again until the backoff is over.
#[test]
fn check_is_suspended_during_the_backoff_after_shards_were_released() {
    let reachability = WorkerReachability::default();
    assert!(reachability.check_due(NOW));
    assert!(!reachability.check_due(NOW + CHECK_INTERVAL - 1));
    reachability.unreachable_since.set(Some(NOW));
    assert!(!reachability.check_due(NOW + UNREACHABLE_BACKOFF_TIME));
    assert!(reachability.is_unreachable());
    assert!(!reachability.check_due(NOW + UNREACHABLE_BACKOFF_TIME + CHECK_INTERVAL));
    assert!(!reachability.is_unreachable());
    assert!(reachability.check_due(NOW + UNREACHABLE_BACKOFF_TIME + 2 * CHECK_INTERVAL));
}
