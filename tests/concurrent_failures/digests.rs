//! Conditions under which a cancellation digest is accepted.

use crate::common::{Store, spec};
use crate::world::job_id;
use coppergw::jobs::model::{JobRecord, TaskBlock, TaskState};
use coppergw::membership::cancellation_watermark::{
    CONFIRMATION_HOLD_TIME, CancellationWatermarks, DigestExchange, DigestInputs,
    cancellation_digest,
};
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::time::{Micros, SECOND};
use coppergw::wire::peer::{CancellationDigest, PeerHeartbeat};
use coppergw::wire::user::JobKind;

/// A peer request and the state of the controllers when it is answered.
#[derive(Clone, Copy)]
struct Case {
    after: u64,
    max_entries: usize,
    loaded: bool,
    state_service_reachable: bool,
    requester_reaches_state_service: bool,
}

/// The peer does not reach the state service, and the requester does.
const DEFAULT_CASE: Case = Case {
    after: 1,
    max_entries: 9,
    loaded: true,
    state_service_reachable: false,
    requester_reaches_state_service: true,
};

fn cancelled_job() -> JobRecord {
    let mut job = spec(JobKind::Array, 1);
    job.cancelled = true;
    JobRecord(job, TaskBlock::from(vec![TaskState::Waiting(0)]))
}

/// Returns a view with three jobs that were cancelled by the revisions 2, 3 and 4.
fn view_with_three_cancellations() -> ClusterState {
    let mut view = ClusterState::default();
    let mut store = Store::default();
    store.put(keys::PRIORITY_BOOSTS.into(), &1);
    for number in 0..3 {
        store.put(keys::job(&job_id(number)), &cancelled_job());
    }
    for (revision, key, value) in &store.log {
        view.put(key, value.as_ref().expect("put"), *revision);
    }
    view
}

/// Returns the digest of a controller that started one second ago.
fn digest(case: Case) -> CancellationDigest {
    let inputs = DigestInputs {
        view: &view_with_three_cancellations(),
        view_loaded: case.loaded,
        state_service_reachable: case.state_service_reachable,
        process_age: SECOND,
        max_entries: case.max_entries,
    };
    let request = PeerHeartbeat {
        revision: case.after,
        state_service_reachable: case.requester_reaches_state_service,
        ..PeerHeartbeat::default()
    };
    cancellation_digest(&inputs, &request)
}

/// Returns a response of the peer "b", which does not reach the state service.
fn response_with(digest: CancellationDigest) -> PeerHeartbeat {
    PeerHeartbeat {
        node: "b".into(),
        digest: Some(digest),
        ..PeerHeartbeat::default()
    }
}

/// Returns the exchange of a request with the peer "b".
fn exchange(
    (requested_at, responded_at): (Micros, Micros),
    after_revision: u64,
    response: &PeerHeartbeat,
) -> DigestExchange<'_> {
    DigestExchange {
        peer: "b",
        requested_at,
        responded_at,
        after_revision,
        response,
    }
}

/// Returns the watermark that follows from the peer "b" alone, in seconds.
fn watermark(watermarks: &CancellationWatermarks) -> u64 {
    watermarks.cancellation_watermark(0, ["b"].into_iter(), 9) / SECOND
}

/// Returns the number of cancellations merged and the watermark in seconds, for a request sent at 20 s.
fn recorded(response: &PeerHeartbeat, after_revision: u64) -> (usize, u64) {
    let mut watermarks = CancellationWatermarks::default();
    let exchange = exchange((20 * SECOND, 21 * SECOND), after_revision, response);
    let cancelled = watermarks.record_response(&exchange).len();
    (cancelled, watermark(&watermarks))
}

/// No cancellation is merged, and the watermark does not advance.
const NO_EFFECT: (usize, u64) = (0, 0);

/// A digest advances the watermark only if it is complete, matches the request and comes from a controller that does
/// not reach the state service either. The cancellations of a matching digest are merged in any case.
#[test]
fn digest_acceptance() {
    let response_to = |after, max_entries| {
        response_with(digest(Case {
            after,
            max_entries,
            ..DEFAULT_CASE
        }))
    };
    assert_eq!(recorded(&response_to(1, 9), 1), (3, 20));
    assert_eq!(recorded(&response_to(3, 9), 3), (1, 20));
    assert_eq!(recorded(&response_to(4, 9), 4), (0, 20));
    assert_eq!(recorded(&response_to(1, 2), 1), (2, 0), "cut");
    assert_eq!(
        recorded(&response_to(2, 9), 1),
        NO_EFFECT,
        "digest of another request"
    );
    let changed = |change: &dyn Fn(&mut PeerHeartbeat)| {
        let mut response = response_to(1, 9);
        change(&mut response);
        recorded(&response, 1)
    };
    assert_eq!(
        changed(&|response| response.node = "c".into()),
        NO_EFFECT,
        "response of another node"
    );
    assert_eq!(
        changed(&|response| response.digest = None),
        NO_EFFECT,
        "no digest, as from the previous version"
    );
    assert_eq!(
        changed(&|response| response.state_service_reachable = true),
        (3, 0)
    );
    let with_entry = |id: &str, revision| {
        let entry = (id.to_string(), revision);
        changed(&|response| {
            let digest = response.digest.as_mut().expect("digest");
            digest.cancelled.push(entry.clone());
        })
    };
    assert_eq!(
        with_entry("req-000009", 1),
        NO_EFFECT,
        "entry not after the requested revision"
    );
    assert_eq!(with_entry("../final", 9), NO_EFFECT, "invalid job id");
}

/// A confirmation hold is granted only between controllers that do not reach the state service, and none counts for
/// longer than `CONFIRMATION_HOLD_TIME`.
#[test]
fn confirmation_hold_acceptance() {
    let case = |max_entries, state_service_reachable, requester_reaches_state_service| Case {
        after: 2,
        max_entries,
        loaded: true,
        state_service_reachable,
        requester_reaches_state_service,
    };
    let hold = |max_entries, reachable, requester_reaches| {
        digest(case(max_entries, reachable, requester_reaches)).hold
    };
    assert_eq!(hold(9, false, false), CONFIRMATION_HOLD_TIME);
    assert_eq!(hold(9, true, false), 0);
    assert_eq!(
        hold(9, false, true),
        0,
        "the requester reaches the state service"
    );
    assert_eq!(hold(1, false, false), 0, "cut");
    let for_revision_0 = digest(Case {
        after: 0,
        ..case(9, false, false)
    });
    assert_eq!(
        (for_revision_0.hold, for_revision_0.cancelled.len()),
        (0, 0)
    );
    assert_eq!(
        recorded(&response_with(for_revision_0), 0),
        NO_EFFECT,
        "request for revision 0"
    );
    let mut held_digest = digest(case(9, false, false));
    assert_eq!(recorded(&response_with(held_digest.clone()), 2), (2, 31));
    held_digest.hold = 1000 * CONFIRMATION_HOLD_TIME;
    assert_eq!(recorded(&response_with(held_digest), 2), (2, 31));
}

/// An incarnation that has not read the state service reports its age. Its digest counts only if it started within
/// the confirmation hold of the previous incarnation.
#[test]
fn unloaded_incarnation_counts_only_within_a_hold() {
    let without_state = Case {
        requester_reaches_state_service: false,
        ..DEFAULT_CASE
    };
    let unloaded = digest(Case {
        loaded: false,
        ..without_state
    });
    assert_eq!(
        (unloaded.cancelled.len(), unloaded.process_age),
        (0, Some(SECOND))
    );
    assert_eq!(recorded(&response_with(unloaded.clone()), 1), NO_EFFECT);
    let mut old = unloaded.clone();
    old.process_age = Some(u64::MAX);
    assert_eq!(recorded(&response_with(old), 1), NO_EFFECT);
    let watermark_after_restart = |at: Micros| {
        let mut watermarks = CancellationWatermarks::default();
        let response_with_hold = response_with(digest(without_state));
        watermarks.record_response(&exchange(
            (20 * SECOND, 21 * SECOND),
            1,
            &response_with_hold,
        ));
        let restarted = response_with(unloaded.clone());
        watermarks.record_response(&exchange((at, at), 1, &restarted));
        watermark(&watermarks)
    };
    assert_eq!(watermark_after_restart(32 * SECOND), 43);
    assert_eq!(
        watermark_after_restart(34 * SECOND),
        31,
        "restarted after the hold"
    );
}

/// A view that has dropped old cancellations gives an incomplete digest for revisions before the dropped ones.
#[test]
fn view_without_old_cancellations_gives_incomplete_digest() {
    let mut view = ClusterState::default();
    let value = coppergw::wire::to_value(&cancelled_job());
    for number in 1..=20_005u64 {
        view.put(&keys::job(&format!("req-{number:06}")), &value, number);
    }
    let complete = |revision| {
        let inputs = DigestInputs {
            view: &view,
            view_loaded: true,
            state_service_reachable: false,
            process_age: SECOND,
            max_entries: 100_000,
        };
        let request = PeerHeartbeat {
            revision,
            ..PeerHeartbeat::default()
        };
        cancellation_digest(&inputs, &request).complete
    };
    assert!(!complete(0));
    assert!(!complete(4));
    assert!(complete(5));
}
