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
