//! What controllers tell each other of cancellations. Pure.
//!
//! An owner that does not reach the state service may keep tasks alive only while it knows of every
//! cancellation early enough. Whether the service is away for all now says nothing of that: an owner that was
//! refused alone before missed what the others confirmed meanwhile. So each asks all others, again and again,
//! for what was cancelled after the revision that its own view stands at. A sibling that answers tells all
//! that it may have told users by then, and that earlier lives of it did: these wrote it before they
//! confirmed it, and this life read everything when it began. Nothing else counts, neither a word unasked,
//! which may be old, nor a list that was cut, nor silence.
//!
//! A controller that ends in an outage takes with it what it confirmed since it last answered. Therefore one
//! that is without the state service promises others that are as well to confirm nothing for a while, and
//! keeps to it also when the service is back. A life that begins within that time vouches for the one before.

use crate::store::cluster_state::ClusterState;
use crate::time::{Micros, SECOND};
use crate::wire::peer::{CancellationDigest, PeerHeartbeat};
use crate::wire::user::valid_id;
use foldhash::HashMap;

/// For so long a controller without the state service confirms no cancellation. More than a process takes
/// to be back; users who withdraw a job come back every second or so.
pub const CONFIRMATION_HOLD: Micros = 12 * SECOND;

/// How far two steady clocks drift apart over a time, doubled.
fn drift(span: Micros) -> Micros {
    span / 1000
}

/// Who answers.
pub struct DigestSource<'a> {
    /// Its view.
    pub view: &'a ClusterState,
    /// Whether the view was loaded at any time since it started. Until then it does not know what earlier lives of its
    /// name confirmed, and has confirmed nothing itself.
    pub loaded: bool,
    /// Whether it reaches the state service.
    pub state_ok: bool,
    /// How long ago it started.
    pub age: Micros,
    /// So many cancellations fit into a list.
    pub most: usize,
}

/// What a controller tells of cancellations when it is asked, and whether it promises to confirm none for
/// `CONFIRMATION_HOLD` from now on.
pub fn cancellation_digest(s: &DigestSource<'_>, question: &PeerHeartbeat) -> CancellationDigest {
    let after = question.revision;
    let mut withdrawn = Vec::new();
    // Who asks about no revision has read nothing, or is of the version before: neither needs a list.
    let mut whole = !s.loaded;
    let list = s
        .view
        .cancelled_after(after)
        .filter(|_| s.loaded && after > 0);
    if let Some(mut list) = list {
        let first = list.by_ref().take(s.most);
        withdrawn.extend(first.map(|(stamp, id)| (id.to_string(), *stamp)));
        whole = list.next().is_none();
    }
    // Who reaches the service needs no promise, and who does so himself gives none.
    let hold = whole && !s.state_ok && !question.state_service_reachable && after > 0;
    CancellationDigest {
        after,
        cancelled: withdrawn,
        complete: whole,
        process_age: (!s.loaded).then_some(s.age),
        hold: if hold { CONFIRMATION_HOLD } else { 0 },
    }
}

/// Up to when, by its own clock, one who gave a word at this time confirms no cancellation.
pub fn held_until(w: &CancellationDigest, now: Micros) -> Micros {
    match w.hold {
        0 => 0,
        h => now + h + drift(h),
    }
}

/// Whether a word can be the answer to a question about a revision.
fn fits(w: &CancellationDigest, after: u64) -> bool {
    let sound = |(id, stamp): &(String, u64)| valid_id(id) && *stamp > after;
    w.after == after && w.cancelled.iter().all(sound)
}

/// What one sibling vouched for.
#[derive(Default)]
struct Vouched {
    /// Up to then we know of every cancellation that it confirmed.
    until: Micros,
    /// Up to then it confirms none, unless it is gone.
    held: Micros,
}

/// Up to when each sibling vouches that we know of every cancellation that it may have confirmed.
#[derive(Default)]
pub struct CancellationWatermarks {
    peers: HashMap<String, Vouched>,
}

impl CancellationWatermarks {
    /// Takes in what `sibling` answered to a question that was asked and answered at these times about what
    /// was cancelled after a revision. Gives the cancellations to act on.
    ///
    /// A sibling that reaches the state service vouches for nothing here: it takes over what we own, if we
    /// do not, and should be left to.
    pub fn take<'a>(
        &mut self,
        sibling: &str,
        (asked, heard): (Micros, Micros),
        after: u64,
        answer: &'a PeerHeartbeat,
    ) -> &'a [(String, u64)] {
        let word = answer.digest.as_ref();
        let Some(w) = word.filter(|w| answer.node == sibling && fits(w, after)) else {
            return &[];
        };
        let v = self.peers.entry(sibling.to_string()).or_default();
        // A life that read nothing vouches for earlier ones if they were held until it began. An age from
        // before our own times is none.
        let begun = |age: u64| heard.checked_sub(age.saturating_sub(drift(age)));
        let earlier = w
            .process_age
            .is_none_or(|age| begun(age).is_some_and(|at| at <= v.held));
        if w.complete && !answer.state_service_reachable && earlier {
            v.until = v.until.max(asked);
            let holds = w.hold.min(CONFIRMATION_HOLD);
            v.held = v.held.max(asked + holds - drift(holds));
        }
        &w.cancelled
    }

    /// Up to when every cancellation is known that anyone may have confirmed: `own` by a read of ours, or by
    /// the words of all siblings, or for now if there are none. Our own are in our view before they are told.
    pub fn cancellation_watermark<'a>(
        &self,
        own: Micros,
        peers: impl Iterator<Item = &'a str>,
        now: Micros,
    ) -> Micros {
        let until = |s| self.peers.get(s).map_or(0, |v| v.until.max(v.held));
        own.max(peers.map(until).min().unwrap_or(now))
    }
}
