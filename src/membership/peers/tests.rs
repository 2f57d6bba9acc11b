//! Tests of what is known of peers that need its private parts.

use super::*;

/// What a peer says unasked may be old, or of its earlier incarnation: with it a controller that is cut off from
/// the state service alone would take that for an outage, and call itself as good as any other.
#[test]
fn an_unsolicited_message_confirms_no_outage() {
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
    assert!(!table.common_outage(1, now), "nobody asked");
    let answer = HeartbeatOrigin::AnswerToQuestionAt(now - SECOND);
    record(&table, false, answer);
    assert!(table.common_outage(1, now));
    record(&table, false, HeartbeatOrigin::Unsolicited);
    assert!(
        !table.common_outage(1, now + OUTAGE_VALIDITY),
        "asked long ago"
    );
    record(&table, true, HeartbeatOrigin::Unsolicited);
    assert!(!table.common_outage(1, now));
}

/// A member whose lease still runs is declared dead only if we do not reach it, at least one peer answers us, and
/// all that answer find the same.
#[test]
fn a_member_is_declared_dead_only_if_all_that_answer_agree() {
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
    assert!(is_live("b"), "we reach it");
    assert!(!table.record_failure("b"));
    assert!(table.record_failure("b"));
    assert!(!is_live("b"));
    assert!(!table.record_failure("b"), "that was said before");
    record("d", &[]);
    assert!(is_live("b"), "another reaches it");
    for name in ["c", "d"] {
        assert!(!table.record_failure(name));
        assert!(table.record_failure(name));
    }
    assert!(is_live("b"), "nobody answers us");
    assert_eq!(table.unreachable().len(), 3);
}
