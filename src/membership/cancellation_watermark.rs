//! Cancellation watermark: the time before which every cancellation that any controller may have confirmed
//! to a user is in this controller's view. Performs no I/O: the state is a [`CancellationWatermarks`]
//! value, which the exchange of peer heartbeats owns and updates.
//!
//! A shard owner that cannot reach the state service may keep tasks running only while it receives every
//! cancellation early enough. An outage that affects all controllers now is no evidence of that: an owner
//! that was partitioned alone before the outage missed the cancellations that other controllers confirmed
//! during its partition. Therefore each controller requests from every peer, each half second, the
//! cancellations after the revision of its own view. The digest in the response contains every cancellation
//! that the peer may have confirmed so far, including those confirmed by its earlier incarnations: they
//! wrote each cancellation before confirming it, and the current incarnation read the complete state when
//! it started. Nothing else advances the watermark: not an unsolicited message, which may be old, not a
//! truncated digest, and not a missing response.
//!
//! A controller that crashes during an outage loses the cancellations that it confirmed after its latest
//! response. Therefore a controller that cannot reach the state service grants peers in the same situation
//! a hold: it confirms no cancellation for [`CONFIRMATION_HOLD_TIME`], even if the service becomes reachable
//! again. An incarnation that starts before the hold ends can respond on behalf of the previous one.

use crate::store::cluster_state::ClusterState;
use crate::time::{Micros, SECOND};
use crate::wire::peer::{CancellationDigest, PeerHeartbeat};
use crate::wire::user::is_valid_job_id;
use foldhash::HashMap;

/// Time for which a controller that grants a hold confirms no cancellation. Longer than a restart of the
/// process takes; users who cancel a job retry about every second.
pub const CONFIRMATION_HOLD_TIME: Micros = 12 * SECOND;

/// Maximum number of cancellations in a digest; bounds its size. A longer digest is truncated and does not
/// advance the watermark.
pub(super) const MAX_DIGEST_ENTRIES: usize = 2_000;

/// Returns the maximum drift between two monotonic clocks over a time span, doubled for safety: one part in
/// a thousand.
fn max_clock_drift(span: Micros) -> Micros {
    span / 1000
}

/// Inputs of a cancellation digest.
pub struct DigestInputs<'a> {
    /// This controller's view of the cluster state.
    pub view: &'a ClusterState,
    /// Whether the view was loaded at any time since the process started. Until then this controller has
    /// not read which cancellations earlier incarnations of its name confirmed, and has confirmed none
    /// itself.
    pub view_loaded: bool,
    /// Whether this controller reaches the state service.
    pub state_service_reachable: bool,
    /// Time since the process started.
    pub process_age: Micros,
    /// Maximum number of cancellations in the digest.
    pub max_entries: usize,
}

/// Returns the digest that responds to a peer's request: the cancellations after the requested revision,
/// and whether this controller confirms none for [`CONFIRMATION_HOLD_TIME`] from now on.
pub fn cancellation_digest(
    inputs: &DigestInputs<'_>,
    request: &PeerHeartbeat,
) -> CancellationDigest {
    let after = request.revision;
    let mut cancelled = Vec::new();
    // Revision 0 comes from a peer that has not read the state yet or runs the previous version; neither
    // needs a list.
    let mut complete = !inputs.view_loaded;
    let entries = inputs
        .view
        .cancelled_after(after)
        .filter(|_| inputs.view_loaded && after > 0);
    if let Some(mut entries) = entries {
        let first = entries.by_ref().take(inputs.max_entries);
        cancelled.extend(first.map(|(revision, id)| (id.to_string(), *revision)));
        complete = entries.next().is_none();
    }
    // A peer that reaches the service does not need a hold, and a controller that reaches it grants none.
    let grants_hold = complete
        && !inputs.state_service_reachable
        && !request.state_service_reachable
        && after > 0;
    CancellationDigest {
        after,
        cancelled,
        complete,
        process_age: (!inputs.view_loaded).then_some(inputs.process_age),
        hold: if grants_hold {
            CONFIRMATION_HOLD_TIME
        } else {
            0
        },
    }
}

/// Returns the time, by this controller's monotonic clock, until which it confirms no cancellation after
/// creating the digest at `now`; 0 if the digest grants no hold.
pub fn confirmation_hold_end(digest: &CancellationDigest, now: Micros) -> Micros {
    match digest.hold {
        0 => 0,
        hold => now + hold + max_clock_drift(hold),
    }
}

/// Returns whether a digest is a valid response to a request for the cancellations after a revision.
fn is_valid_response(digest: &CancellationDigest, after_revision: u64) -> bool {
    let is_valid =
        |(id, revision): &(String, u64)| is_valid_job_id(id) && *revision > after_revision;
    digest.after == after_revision && digest.cancelled.iter().all(is_valid)
}

/// Guarantees by one peer's responses, as times of this controller's monotonic clock.
#[derive(Default)]
struct PeerWatermark {
    /// Every cancellation that the peer confirmed before this time is in this controller's view.
    complete_until: Micros,
    /// The peer confirms no cancellation before this time, unless its process ends.
    hold_end: Micros,
}

/// A request to a peer and its response.
pub struct DigestExchange<'a> {
    /// Name of the peer that the request was sent to.
    pub peer: &'a str,
    /// Time at which the request was sent, by this controller's monotonic clock.
    pub requested_at: Micros,
    /// Time at which the response arrived, by this controller's monotonic clock.
    pub responded_at: Micros,
    /// Revision after which the request asked for cancellations.
    pub after_revision: u64,
    /// The response.
    pub response: &'a PeerHeartbeat,
}

/// For each peer, the time before which this controller's view contains every cancellation that the peer
/// may have confirmed.
#[derive(Default)]
pub struct CancellationWatermarks {
    peers: HashMap<String, PeerWatermark>,
}

impl CancellationWatermarks {
    /// Records a peer's response. Returns the cancellations to apply, each with a revision at or before
    /// which it was made.
    ///
    /// A response from a peer that reaches the state service does not advance the watermark: if this
    /// controller does not reach the service, such a peer takes over its shards, and this controller has to
    /// let it.
    pub fn record_response<'a>(&mut self, exchange: &DigestExchange<'a>) -> &'a [(String, u64)] {
        let response = exchange.response;
        let Some(digest) = response.digest.as_ref().filter(|digest| {
            response.node == exchange.peer && is_valid_response(digest, exchange.after_revision)
        }) else {
            return &[];
        };
        let watermark = self.peers.entry(exchange.peer.to_string()).or_default();
        // The response of an incarnation that has not loaded the state covers earlier incarnations only if
        // their hold lasted until this one started. An age that reaches back beyond the start of this
        // controller's clock is invalid.
        let started_at = |age: u64| {
            exchange
                .responded_at
                .checked_sub(age.saturating_sub(max_clock_drift(age)))
        };
        let covers_earlier_incarnations = digest
            .process_age
            .is_none_or(|age| started_at(age).is_some_and(|started| started <= watermark.hold_end));
        if digest.complete && !response.state_service_reachable && covers_earlier_incarnations {
            watermark.complete_until = watermark.complete_until.max(exchange.requested_at);
            let hold = digest.hold.min(CONFIRMATION_HOLD_TIME);
            let hold_end = exchange.requested_at + hold - max_clock_drift(hold);
            watermark.hold_end = watermark.hold_end.max(hold_end);
        }
        &digest.cancelled
    }

    /// Returns the time before which every cancellation that any controller may have confirmed is in this
    /// controller's view: the start of its latest read of the state, `last_read_at`, or the oldest of the
    /// times guaranteed by the peers, whichever is later; `now` if there are no peers. This controller's own
    /// cancellations are in its view before they are confirmed.
    pub fn cancellation_watermark<'a>(
        &self,
        last_read_at: Micros,
        peers: impl Iterator<Item = &'a str>,
        now: Micros,
    ) -> Micros {
        let guaranteed_until = |name| {
            self.peers.get(name).map_or(0, |watermark| {
                watermark.complete_until.max(watermark.hold_end)
            })
        };
        last_read_at.max(peers.map(guaranteed_until).min().unwrap_or(now))
    }
}
