//! Tests of the peer table that need private items.

use super::*;

/// An unsolicited message of a peer may be old or from its earlier incarnation. If it counted, a controller
/// that is partitioned from the state service alone would assume an outage for all controllers and report
/// itself healthy.
#[test]
fn unsolicited_message_does_not_confirm_outage() {
    let record = |table: &PeerTable, reachable, origin| {
        let mut states = table.states.borrow_mut();
        let previous = states.get("b").and_then(|peer| peer.outage_confirmed_at);
        let state = PeerState {
            last_message_at: 100 * SECOND,
            state_service_reachable: reachable,
            outage_confirmed_at: outage_confirmed_at(reachable, origin, previous),
            consecutive_failures: 0,
            unreachable_peers: Vec::new(),
        };
        states.insert("b".into(), state);
    };
    let now = 100 * SECOND;
    let table = PeerTable::default();
    record(&table, false, HeartbeatOrigin::Unsolicited);
    assert!(
        !table.state_service_unreachable_for_all(1, now),
        "no request was sent"
    );
    let response = HeartbeatOrigin::ResponseToRequestAt(now - SECOND);
    record(&table, false, response);
    assert!(table.state_service_unreachable_for_all(1, now));
    record(&table, false, HeartbeatOrigin::Unsolicited);
    assert!(
        !table.state_service_unreachable_for_all(1, now + OUTAGE_REPORT_VALIDITY),
        "the request is too old"
    );
    record(&table, true, HeartbeatOrigin::Unsolicited);
    assert!(!table.state_service_unreachable_for_all(1, now));
}

/// A member whose lease has not expired is declared dead only if this controller cannot reach it, at least
/// one peer responds, and all peers that respond report it as unreachable too.
#[test]
fn member_is_declared_dead_only_if_all_responding_peers_agree() {
    let names = ["b", "c", "d"];
    let members: BTreeMap<String, Member> = names
        .iter()
        .map(|name| (name.to_string(), Member::new_incarnation(None, 1, 2, 0)))
        .collect();
    let heartbeat = |node: &str, unreachable: &[&str]| PeerHeartbeat {
        node: node.into(),
        unreachable: unreachable.iter().map(|name| name.to_string()).collect(),
        ..PeerHeartbeat::default()
    };
    let table = PeerTable::default();
    let record = |node: &str, unreachable: &[&str]| {
        let heartbeat = heartbeat(node, unreachable);
        table.record_heartbeat(heartbeat, HeartbeatOrigin::Unsolicited, 0);
    };
    let is_live = |name: &str| table.live_members(&members).contains_key(name);
    for name in names {
        record(name, &["b"]);
    }
    assert!(is_live("b"), "this controller still reaches it");
    assert!(!table.record_failure("b"));
    assert!(table.record_failure("b"));
    assert!(!is_live("b"));
    assert!(!table.record_failure("b"), "already counts as unreachable");
    record("d", &[]);
    assert!(is_live("b"), "another peer reaches it");
    for name in ["c", "d"] {
        assert!(!table.record_failure(name));
        assert!(table.record_failure(name));
    }
    assert!(is_live("b"), "no peer responds");
    assert_eq!(table.unreachable().len(), 3);
}
