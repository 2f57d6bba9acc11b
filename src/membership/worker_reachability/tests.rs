//! Tests of the check whether workers reach this controller.

use super::*;

const NOW: Micros = 100 * SECOND;

/// Silence of all machines or a redirect that came back shows it; having no machines shows nothing.
#[test]
fn silence_or_a_redirect_back_shows_that_workers_cannot_reach_us() {
    let long_ago = NOW - NO_HEARTBEATS;
    assert_eq!(unreachable_evidence(long_ago, None, NOW), None);
    assert_eq!(unreachable_evidence(long_ago, Some(long_ago), NOW), None);
    assert_eq!(
        unreachable_evidence(long_ago, Some(long_ago - 1), NOW),
        Some(UnreachableEvidence::Silence)
    );
    assert_eq!(
        unreachable_evidence(long_ago + 1, Some(NOW), NOW),
        Some(UnreachableEvidence::RedirectedBack)
    );
}

/// One that gave its shards up is not checked again until the pause is over.
#[test]
fn the_check_pauses_after_shards_were_given_up() {
    let reachability = WorkerReachability::default();
    assert!(reachability.check_due(NOW));
    assert!(!reachability.check_due(NOW + CHECK_INTERVAL - 1));
    reachability.unreachable_since.set(Some(NOW));
    assert!(!reachability.check_due(NOW + UNREACHABLE_PAUSE));
    assert!(reachability.is_unreachable());
    assert!(!reachability.check_due(NOW + UNREACHABLE_PAUSE + CHECK_INTERVAL));
    assert!(!reachability.is_unreachable());
    assert!(reachability.check_due(NOW + UNREACHABLE_PAUSE + 2 * CHECK_INTERVAL));
}
