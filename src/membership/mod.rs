//! Cluster membership of one controller: its lease and member key, leader election, shard ownership,
//! heartbeats between controllers, the cancellation watermark and the agreement on the storage layout.
//!
//! [`Membership`] is this module's in-memory state. Only the loops and handlers in the files below modify
//! it; other modules read it through the methods here. State shared by all controllers (member keys,
//! leader, shards, layout) is stored in the state service and read from
//! [`crate::store::cluster_state::ClusterState`].
//!
//! Each file has one concern:
//! - `records`: values stored under the keys of this module;
//! - `lease_renewal`: the lease of this process and its member key;
//! - `leader_election`: election of the leader;
//! - `shard_assignment`: which controller should own which shard (pure);
//! - `shard_ownership`: claiming shards and raising their terms;
//! - `worker_reachability`: releasing shards when workers cannot reach this controller;
//! - `peers`: state of each other controller;
//! - `peer_heartbeats`: heartbeats between controllers;
//! - `cancellation_watermark`: time before which every confirmed cancellation is in this controller's view;
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

pub use layout_agreement::{LAYOUT_VERSION, layout_supported_by_all, next_layout_write};
pub use leader_election::{LeaderStatus, leader_status};
pub use lease_renewal::{Incarnation, claim_member_key};
pub use peer_heartbeats::MAX_READY_MACHINES_PER_HEARTBEAT;
pub use records::{LayoutVersion, Leader, Member, Shard};
pub use shard_assignment::{SHARD_COUNT, ShardOwners, assign_shards, shard_of, stable_hash};
pub use shard_ownership::{ShardClaim, claim_shards};

use crate::ids::MachineId;
use crate::time::Micros;
use cancellation_watermark::CancellationWatermarks;
use foldhash::HashSet;
use lease_renewal::LeaseState;
use peers::PeerTable;
use std::cell::{Cell, RefCell};
use worker_reachability::WorkerReachability;

/// Membership state of this controller, and the latest reports of its peers. Times are those of this
/// process's monotonic clock.
#[derive(Default)]
pub struct Membership {
    /// The current lease and all earlier ones of this process.
    lease: LeaseState,
    /// Own shards whose term must be raised once more.
    pending_term_increments: RefCell<HashSet<u32>>,
    /// Whether workers cannot reach this controller.
    worker_reachability: WorkerReachability,
    /// State of each peer by its latest messages.
    peers: PeerTable,
    /// For each peer, the time before which every cancellation that it may have confirmed is in this
    /// controller's view.
    watermarks: RefCell<CancellationWatermarks>,
    /// Time before which this controller confirms no cancellation, because of a hold that it granted to its
    /// peers.
    confirmations_held_until: Cell<Micros>,
}

impl Membership {
    /// Returns the current lease, while this process considers it valid.
    pub fn lease(&self) -> Option<u64> {
        self.lease.current()
    }

    /// Returns whether the lease was granted to this process at any time. The process drives the shards
    /// that it claimed under the lease until another incarnation raises their terms, even after the lease
    /// expired.
    pub fn was_lease_granted(&self, lease: u64) -> bool {
        self.lease.was_granted(lease)
    }

    /// Replaces the set of own shards whose term must be raised once more because an unacknowledged start
    /// may still reach their machines under the current term.
    pub fn set_pending_term_increments(&self, shards: impl Iterator<Item = u32>) {
        let mut pending = self.pending_term_increments.borrow_mut();
        pending.clear();
        pending.extend(shards);
    }

    /// Returns whether a peer reported within the last two seconds that it reaches the state service.
    pub fn peer_reaches_state_service(&self, name: &str, now: Micros) -> bool {
        self.peers.reaches_state_service(name, now)
    }

    /// Returns whether this controller currently confirms no cancellation because of a hold that it granted
    /// to its peers.
    pub fn confirmations_held(&self, now: Micros) -> bool {
        now < self.confirmations_held_until.get()
    }

    /// Returns the session of a peer's machine that is ready before its record is updated, according to a
    /// recent heartbeat of the peer.
    pub fn ready_session_at_peer(&self, id: &MachineId, now: Micros) -> Option<u64> {
        self.peers.ready_session(id, now)
    }

    /// Returns whether a peer reported within the retention time of such reports that its machine is ready.
    pub fn reported_ready_by_peer(&self, id: &MachineId) -> bool {
        self.peers.was_reported_ready(id)
    }

    /// Returns whether each of the `peer_count` peers recently responded that it cannot reach the state
    /// service either.
    pub fn state_service_unreachable_for_all(&self, peer_count: usize, now: Micros) -> bool {
        self.peers
            .state_service_unreachable_for_all(peer_count, now)
    }
}
