//! Cluster membership of one controller: its lease and member key, leader election, ownership of shards,
//! heartbeats between controllers, the cancellation watermark and the agreement on the storage layout.
//!
//! [`Membership`] is the state of this slice in memory. Only the loops and handlers in the files below change it;
//! other slices read it through the methods here. What all controllers share (member keys, leader, shards,
//! layout) is kept in the state service and read from [`crate::store::cluster_state::ClusterState`].
//!
//! Each file has one concern:
//! - `records`: values that are stored under the keys of this slice;
//! - `lease_renewal`: the lease of this process and its member key;
//! - `leader_election`: who leads;
//! - `shard_assignment`: which controller should own which shard (pure);
//! - `shard_ownership`: taking shards and raising their terms;
//! - `worker_reachability`: giving shards up when workers cannot reach this controller;
//! - `peers`: what is known of each other controller;
//! - `peer_heartbeats`: the exchange between controllers;
//! - `cancellation_watermark`: up to when every confirmed cancellation is known here;
//! - `layout_agreement`: when the newer storage layout may be used.

pub mod cancellation_watermark;
mod layout_agreement;
mod leader_election;
mod lease_renewal;
mod peer_heartbeats;
mod peers;
mod records;
mod shard_assignment;
mod shard_ownership;
mod worker_reachability;

pub use layout_agreement::{LAYOUT_VERSION, all_support_layout};
pub use leader_election::{LeaderStatus, leader_status};
pub use lease_renewal::{Incarnation, claim_member_key};
pub use peer_heartbeats::MAX_READY_MACHINES;
pub use records::{Leader, Member, Shard, Version};
pub use shard_assignment::{SHARD_COUNT, ShardOwners, assign_shards, hash, shard_of};
pub use shard_ownership::{ShardClaim, claim_shards};

use crate::ids::MachineId;
use crate::time::Micros;
use cancellation_watermark::CancellationWatermarks;
use foldhash::HashSet;
use lease_renewal::LeaseState;
use peers::PeerTable;
use std::cell::{Cell, RefCell};
use worker_reachability::WorkerReachability;

/// This controller's own membership, and what its peers told it. Times are those of this process's steady
/// clock.
#[derive(Default)]
pub struct Membership {
    /// The current lease and all earlier ones of this process.
    lease: LeaseState,
    /// Own shards whose term must be raised once more.
    pending_term_raises: RefCell<HashSet<u32>>,
    /// Whether this controller's workers cannot reach it.
    worker_reachability: WorkerReachability,
    /// State of each peer by its last messages.
    peers: PeerTable,
    /// Up to when each peer told us of every cancellation that it may have confirmed.
    watermarks: RefCell<CancellationWatermarks>,
    /// Until then this controller confirms no cancellation, as it promised its peers.
    confirmations_held_until: Cell<Micros>,
}

impl Membership {
    /// The current lease, while it runs as far as we know.
    pub fn lease(&self) -> Option<u64> {
        self.lease.current()
    }

    /// Whether this process was granted the lease at any time. Shards taken under it are driven by this process
    /// until somebody raises their terms, also after the lease expired.
    pub fn is_own_lease(&self, lease: u64) -> bool {
        self.lease.is_own(lease)
    }

    /// Replaces the set of own shards whose term must be raised once more: an unacknowledged start may still
    /// reach their machines under the present term.
    pub fn raise_terms(&self, shards: impl Iterator<Item = u32>) {
        let mut pending = self.pending_term_raises.borrow_mut();
        pending.clear();
        pending.extend(shards);
    }

    /// Whether a peer said within the last two seconds that it reaches the state service.
    pub fn peer_reaches_state_service(&self, name: &str, now: Micros) -> bool {
        self.peers.reaches_state_service(name, now)
    }

    /// Whether this controller promised its peers to confirm no cancellation now.
    pub fn confirmations_held(&self, now: Micros) -> bool {
        now < self.confirmations_held_until.get()
    }

    /// The session of a peer's machine that runs before its record says so, by the peer's recent heartbeat.
    pub fn ready_at_peer(&self, id: &MachineId, now: Micros) -> Option<u64> {
        self.peers.ready_session(id, now)
    }

    /// Whether a peer reported at any remembered time that its machine runs.
    pub fn reported_ready_by_peer(&self, id: &MachineId) -> bool {
        self.peers.was_reported_ready(id)
    }

    /// Whether each of the `peer_count` peers lately answered that it does not reach the state service either.
    pub fn common_outage(&self, peer_count: usize, now: Micros) -> bool {
        self.peers.common_outage(peer_count, now)
    }
}
