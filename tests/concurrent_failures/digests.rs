//! What a cancellation digest has to be to count.

use crate::common::{Store, spec};
use crate::world::job_id;
use coppergw::jobs::model::{JobRecord, TaskBlock, TaskState};
use coppergw::membership::cancellation_watermark::{
    CONFIRMATION_HOLD, CancellationWatermarks, DigestExchange, DigestSource, cancellation_digest,
};
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::time::{Micros, SECOND};
use coppergw::wire::peer::{CancellationDigest, PeerHeartbeat};
use coppergw::wire::user::JobKind;

/// A question and the situation in which it is answered.
#[derive(Clone, Copy)]
struct Case {
    after: u64,
    max_entries: usize,
    loaded: bool,
    state_service_reachable: bool,
    asker_reaches_state_service: bool,
}

/// The peer has no state service, and the asker does.
const PLAIN: Case = Case {
    after: 1,
    max_entries: 9,
    loaded: true,
    state_service_reachable: false,
    asker_reaches_state_service: true,
};

fn cancelled_job() -> JobRecord {
    let mut job = spec(JobKind::Array, 1);
    job.cancelled = true;
    JobRecord(job, TaskBlock(vec![TaskState::Waiting(0)]))
}

/// Three jobs, cancelled by the revisions 2, 3 and 4.
fn view_of_three() -> ClusterState {
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

/// What a controller of age one second answers.
fn digest(case: Case) -> CancellationDigest {
    let source = DigestSource {
        view: &view_of_three(),
        loaded: case.loaded,
        state_service_reachable: case.state_service_reachable,
        process_age: SECOND,
        max_entries: case.max_entries,
    };
    let question = PeerHeartbeat {
        revision: case.after,
        state_service_reachable: case.asker_reaches_state_service,
        ..PeerHeartbeat::default()
    };
    cancellation_digest(&source, &question)
}

/// An answer of the peer "b", which does not reach the state service.
fn answer_with(digest: CancellationDigest) -> PeerHeartbeat {
    PeerHeartbeat {
        node: "b".into(),
        digest: Some(digest),
        ..PeerHeartbeat::default()
    }
}

/// The answer to a question to the peer "b".
fn exchange(
    (asked_at, answered_at): (Micros, Micros),
    after_revision: u64,
    answer: &PeerHeartbeat,
) -> DigestExchange<'_> {
    DigestExchange {
        peer: "b",
        asked_at,
        answered_at,
        after_revision,
        answer,
    }
}

/// The watermark by the peer "b" alone, in seconds.
fn watermark(watermarks: &CancellationWatermarks) -> u64 {
    watermarks.cancellation_watermark(0, ["b"].into_iter(), 9) / SECOND
}

/// How many cancellations are acted on, and the watermark in seconds, after a question that was asked at 20 s.
fn recorded(answer: &PeerHeartbeat, after: u64) -> (usize, u64) {
    let mut watermarks = CancellationWatermarks::default();
    let exchange = exchange((20 * SECOND, 21 * SECOND), after, answer);
    let cancelled = watermarks.record_answer(&exchange).len();
    (cancelled, watermark(&watermarks))
}

/// Nothing is acted on, and nothing vouched for.
const NOTHING: (usize, u64) = (0, 0);

/// A digest counts only if it is complete, fits the question and comes from a controller that is without the state
/// service as well; what it names is acted on in any case, if it fits.
#[test]
fn what_a_digest_has_to_be() {
    let plain = |after, max_entries| {
        answer_with(digest(Case {
            after,
            max_entries,
            ..PLAIN
        }))
    };
    assert_eq!(recorded(&plain(1, 9), 1), (3, 20));
    assert_eq!(recorded(&plain(3, 9), 3), (1, 20));
    assert_eq!(recorded(&plain(4, 9), 4), (0, 20));
    assert_eq!(recorded(&plain(1, 2), 1), (2, 0), "cut");
    assert_eq!(recorded(&plain(2, 9), 1), NOTHING, "of another question");
    let changed = |change: &dyn Fn(&mut PeerHeartbeat)| {
        let mut answer = plain(1, 9);
        change(&mut answer);
        recorded(&answer, 1)
    };
    assert_eq!(
        changed(&|answer| answer.node = "c".into()),
        NOTHING,
        "somebody else"
    );
    assert_eq!(
        changed(&|answer| answer.digest = None),
        NOTHING,
        "the version before"
    );
    assert_eq!(
        changed(&|answer| answer.state_service_reachable = true),
        (3, 0)
    );
    let with_entry = |id: &str, revision| {
        let entry = (id.to_string(), revision);
        changed(&|answer| {
            let digest = answer.digest.as_mut().expect("digest");
            digest.cancelled.push(entry.clone());
        })
    };
    assert_eq!(
        with_entry("req-000009", 1),
        NOTHING,
        "not after what was asked about"
    );
    assert_eq!(with_entry("../final", 9), NOTHING, "no id");
}

/// Promises are given among those without the service only, and none counts for longer than we would give.
#[test]
fn what_a_promise_has_to_be() {
    let case = |max_entries, state_service_reachable, asker_reaches_state_service| Case {
        after: 2,
        max_entries,
        loaded: true,
        state_service_reachable,
        asker_reaches_state_service,
    };
    let hold = |max_entries, reachable, asker_reaches| {
        digest(case(max_entries, reachable, asker_reaches)).hold
    };
    assert_eq!(hold(9, false, false), CONFIRMATION_HOLD);
    assert_eq!(hold(9, true, false), 0);
    assert_eq!(hold(9, false, true), 0, "it needs none");
    assert_eq!(hold(1, false, false), 0, "cut");
    let of_nothing = digest(Case {
        after: 0,
        ..case(9, false, false)
    });
    assert_eq!((of_nothing.hold, of_nothing.cancelled.len()), (0, 0));
    assert_eq!(
        recorded(&answer_with(of_nothing), 0),
        NOTHING,
        "it asks about nothing"
    );
    let mut promise = digest(case(9, false, false));
    assert_eq!(recorded(&answer_with(promise.clone()), 2), (2, 31));
    promise.hold = 1000 * CONFIRMATION_HOLD;
    assert_eq!(recorded(&answer_with(promise), 2), (2, 31));
}

/// An incarnation that read nothing says how old it is, and counts only if it started within a promise.
#[test]
fn an_incarnation_that_read_nothing_counts_only_within_a_promise() {
    let without_state = Case {
        asker_reaches_state_service: false,
        ..PLAIN
    };
    let young = digest(Case {
        loaded: false,
        ..without_state
    });
    assert_eq!(
        (young.cancelled.len(), young.process_age),
        (0, Some(SECOND))
    );
    assert_eq!(recorded(&answer_with(young.clone()), 1), NOTHING);
    let mut ancient = young.clone();
    ancient.process_age = Some(u64::MAX);
    assert_eq!(recorded(&answer_with(ancient), 1), NOTHING);
    let after_promise = |at: Micros| {
        let mut watermarks = CancellationWatermarks::default();
        let promise = answer_with(digest(without_state));
        watermarks.record_answer(&exchange((20 * SECOND, 21 * SECOND), 1, &promise));
        let restarted = answer_with(young.clone());
        watermarks.record_answer(&exchange((at, at), 1, &restarted));
        watermark(&watermarks)
    };
    assert_eq!(after_promise(32 * SECOND), 43);
    assert_eq!(after_promise(34 * SECOND), 31, "it started too late");
}

/// A view that dropped old cancellations says so.
#[test]
fn a_list_that_was_shortened_vouches_only_for_what_it_still_holds() {
    let mut view = ClusterState::default();
    let value = coppergw::wire::to_value(&cancelled_job());
    for number in 1..=20_005u64 {
        view.put(&keys::job(&format!("req-{number:06}")), &value, number);
    }
    let complete = |revision| {
        let source = DigestSource {
            view: &view,
            loaded: true,
            state_service_reachable: false,
            process_age: SECOND,
            max_entries: 100_000,
        };
        let question = PeerHeartbeat {
            revision,
            ..PeerHeartbeat::default()
        };
        cancellation_digest(&source, &question).complete
    };
    assert!(!complete(0));
    assert!(!complete(4));
    assert!(complete(5));
}
