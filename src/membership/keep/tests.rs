//! Tests of `members/keep.rs` that need its private parts.

use super::*;

/// A part is ours until its term is raised: not only while the lease under which we took it runs. What an
/// earlier process took is not.
#[test]
fn parts_are_driven_until_somebody_takes_them() {
    let m = Membership::default();
    assert!(!m.drives(7));
    m.set_lease(Some(7));
    assert!(m.drives(7) && !m.drives(6));
    m.set_lease(None);
    assert!(m.drives(7), "nobody else has it yet");
    assert_eq!(m.lease(), None, "but nothing is claimed with it");
    m.set_lease(Some(9));
    assert!(m.drives(7) && m.drives(9) && !m.drives(8));
}

/// What a peer says unasked may be old, or of its earlier life: with it a controller that is cut off
/// from the state service alone would take that for an outage, and call itself as good as any other.
#[test]
fn an_old_word_is_no_outage() {
    let said = |m: &Membership, ok, asked| {
        let mut peers = m.peers.borrow_mut();
        let before = peers.get("b").and_then(|p| p.without_state);
        let p = PeerState {
            heard: 100 * SECOND,
            state_ok: ok,
            without_state: without_state(ok, asked, before),
            missed: 0,
            unreachable: Vec::new(),
        };
        peers.insert("b".into(), p);
    };
    let now = 100 * SECOND;
    let m = Membership::default();
    said(&m, false, None);
    assert!(!m.common_outage(1, now), "nobody asked");
    said(&m, false, Some(now - SECOND));
    assert!(m.common_outage(1, now));
    said(&m, false, None);
    assert!(!m.common_outage(1, now + OUTAGE_HEARD), "asked long ago");
    said(&m, true, None);
    assert!(!m.common_outage(1, now));
}
