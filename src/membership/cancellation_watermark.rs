//! Up to when a controller knows of every cancellation that any controller may have confirmed to a user. Pure: the
//! state is a [`CancellationWatermarks`] value that the exchange of peer heartbeats owns and changes.
//!
//! An owner that does not reach the state service may keep tasks alive only while it knows of every cancellation
//! early enough. That the service is out of reach for all now proves nothing: an owner that alone was cut off
//! before missed what the others confirmed meanwhile. So each controller asks all others, each half second,
//! for what was cancelled after the revision of its own view. The digest in the answer holds all that the peer
//! may have confirmed by then, and that earlier incarnations of it did: these wrote it before they confirmed
//! it, and this incarnation read everything when it started. Nothing else counts: neither an unsolicited
//! message, which may be old, nor a digest that was cut, nor silence.
//!
//! A controller that crashes in an outage takes with it what it confirmed since it last answered. Therefore one
//! that does not reach the state service promises peers in the same situation to confirm nothing for
//! [`CONFIRMATION_HOLD`], and keeps to it also when the service is back. An incarnation that starts within
//! that time can vouch for the one before.

use crate::store::cluster_state::ClusterState;
use crate::time::{Micros, SECOND};
use crate::wire::peer::{CancellationDigest, PeerHeartbeat};
use crate::wire::user::valid_id;
use foldhash::HashMap;

/// For so long a controller without the state service confirms no cancellation. More than a process takes to
/// restart; users who cancel a job try again every second or so.
pub const CONFIRMATION_HOLD: Micros = 12 * SECOND;

/// A digest names so many cancellations at most, to bound its size; a longer one is cut and vouches for nothing.
pub(super) const MAX_DIGEST_ENTRIES: usize = 2_000;

/// How far two steady clocks may drift apart over a time, doubled for safety: one in a thousand.
fn max_clock_drift(span: Micros) -> Micros {
    span / 1000
}

/// What a controller makes its digest from.
pub struct DigestSource<'a> {
    /// Its view of the cluster state.
    pub view: &'a ClusterState,
    /// Whether the view was loaded at any time since the process started. Until then it does not know what
    /// earlier incarnations of its name confirmed, and has confirmed nothing itself.
    pub loaded: bool,
    /// Whether it reaches the state service.
    pub state_service_reachable: bool,
    /// How long ago the process started.
    pub process_age: Micros,
    /// So many cancellations fit into a digest.
    pub max_entries: usize,
}

/// The answer to a peer's question: the cancellations known after the revision that it names, and whether this
/// controller promises to confirm none for [`CONFIRMATION_HOLD`] from now on.
pub fn cancellation_digest(
    source: &DigestSource<'_>,
    question: &PeerHeartbeat,
) -> CancellationDigest {
    let after = question.revision;
    let mut cancelled = Vec::new();
    // A peer that asks about no revision has read nothing, or is of the version before: neither needs a list.
    let mut complete = !source.loaded;
    let known = source
        .view
        .cancelled_after(after)
        .filter(|_| source.loaded && after > 0);
    if let Some(mut known) = known {
        let first = known.by_ref().take(source.max_entries);
        cancelled.extend(first.map(|(revision, id)| (id.to_string(), *revision)));
        complete = known.next().is_none();
    }
    // A peer that reaches the service needs no promise, and a controller that reaches it gives none.
    let promises = complete
        && !source.state_service_reachable
        && !question.state_service_reachable
        && after > 0;
    CancellationDigest {
        after,
        cancelled,
        complete,
        process_age: (!source.loaded).then_some(source.process_age),
        hold: if promises { CONFIRMATION_HOLD } else { 0 },
    }
}

/// Up to when, by its own steady clock, a controller that gave this digest at `now` confirms no cancellation; 0 if
/// it promised nothing.
pub fn held_until(digest: &CancellationDigest, now: Micros) -> Micros {
    match digest.hold {
        0 => 0,
        hold => now + hold + max_clock_drift(hold),
    }
}

/// Whether a digest can be the answer to a question about a revision.
fn answers_question(digest: &CancellationDigest, after_revision: u64) -> bool {
    let is_valid = |(id, revision): &(String, u64)| valid_id(id) && *revision > after_revision;
    digest.after == after_revision && digest.cancelled.iter().all(is_valid)
}

/// What one peer vouched for, in times of our steady clock.
#[derive(Default)]
struct PeerWatermark {
    /// Up to then we know of every cancellation that it confirmed.
    known_until: Micros,
    /// Up to then it confirms none, unless its process ended.
    held_until: Micros,
}

/// A question to a peer and its answer.
pub struct DigestExchange<'a> {
    /// Name of the peer that was asked.
    pub peer: &'a str,
    /// When the question was sent, by our steady clock.
    pub asked_at: Micros,
    /// When the answer arrived, by our steady clock.
    pub answered_at: Micros,
    /// The question: what was cancelled after this revision.
    pub after_revision: u64,
    /// The answer.
    pub answer: &'a PeerHeartbeat,
}

/// Up to when each peer vouches that we know of every cancellation that it may have confirmed.
#[derive(Default)]
pub struct CancellationWatermarks {
    peers: HashMap<String, PeerWatermark>,
}

impl CancellationWatermarks {
    /// Takes in a peer's answer. Returns the cancellations to act on, with the revisions by which they were made.
    ///
    /// A peer that reaches the state service vouches for nothing here: it takes over what we own, if we do not
    /// reach the service, and should be left to.
    pub fn record_answer<'a>(&mut self, exchange: &DigestExchange<'a>) -> &'a [(String, u64)] {
        let answer = exchange.answer;
        let Some(digest) = answer.digest.as_ref().filter(|digest| {
            answer.node == exchange.peer && answers_question(digest, exchange.after_revision)
        }) else {
            return &[];
        };
        let watermark = self.peers.entry(exchange.peer.to_string()).or_default();
        // An incarnation that read nothing vouches for earlier ones if their promise ran until it started. An
        // age from before our own times is none.
        let started_at = |age: u64| {
            exchange
                .answered_at
                .checked_sub(age.saturating_sub(max_clock_drift(age)))
        };
        let covers_earlier_incarnations = digest.process_age.is_none_or(|age| {
            started_at(age).is_some_and(|started| started <= watermark.held_until)
        });
        if digest.complete && !answer.state_service_reachable && covers_earlier_incarnations {
            watermark.known_until = watermark.known_until.max(exchange.asked_at);
            let hold = digest.hold.min(CONFIRMATION_HOLD);
            let held_until = exchange.asked_at + hold - max_clock_drift(hold);
            watermark.held_until = watermark.held_until.max(held_until);
        }
        &digest.cancelled
    }

    /// Up to when every cancellation is known that any controller may have confirmed: by our own read that began at
    /// `last_read_at`, or by the digests of all peers, or up to now if there are none. Our own
    /// cancellations are in our view before they are confirmed.
    pub fn cancellation_watermark<'a>(
        &self,
        last_read_at: Micros,
        peers: impl Iterator<Item = &'a str>,
        now: Micros,
    ) -> Micros {
        let until = |name| {
            self.peers.get(name).map_or(0, |watermark| {
                watermark.known_until.max(watermark.held_until)
            })
        };
        last_read_at.max(peers.map(until).min().unwrap_or(now))
    }
}
