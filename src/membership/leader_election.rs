//! Leader election: a compare-and-swap on the leader key, which is bound to the leader's lease. The
//! decision is a pure function of the cluster state. Holds no state in memory; no other file writes the
//! leader key.

use super::lease_renewal::Incarnation;
use super::records::{Leader, Member, non_flapping};
use crate::controller::Controller;
use crate::store::client::TransactionOutcome;
use crate::store::cluster_state::ClusterState;
use crate::store::keys;
use crate::time::{Micros, wall_clock_now};
use crate::wire::state::{Mutation, Transaction};
use crate::wire::to_value;
use std::collections::BTreeMap;

/// Leadership as seen by one incarnation.
#[derive(Debug)]
pub enum LeaderStatus {
    /// This incarnation is the leader.
    Leading,
    /// Another incarnation is the leader or should become it.
    Following,
    /// There is no leader: this incarnation should try to become it with the given write.
    NoLeader(Transaction),
}

/// Returns whether an incarnation is the leader or should become it. The leader is an incarnation, not a
/// name: the leader key of an incarnation that ended remains until its lease expires, while the next
/// incarnation of the same name may already be live. Flapping members are considered last, since each of
/// their incarnations is too short to rent any machine.
pub fn leader_status(
    view: &ClusterState,
    live_members: &BTreeMap<String, Member>,
    incarnation: Incarnation<'_>,
    now: Micros,
) -> LeaderStatus {
    let is_live = |node: &str, lease| {
        live_members
            .get(node)
            .is_some_and(|member| member.lease == lease)
    };
    if !is_live(incarnation.node, incarnation.lease) {
        return LeaderStatus::Following;
    }
    match &view.leader {
        Some(leader) if leader.node == incarnation.node && leader.lease == incarnation.lease => {
            return LeaderStatus::Leading;
        }
        Some(leader) if is_live(&leader.node, leader.lease) => return LeaderStatus::Following,
        _ => {}
    }
    if !non_flapping(live_members.iter(), now)
        .iter()
        .any(|name| *name == incarnation.node)
    {
        return LeaderStatus::Following;
    }
    let leader = Leader {
        node: incarnation.node.to_string(),
        lease: incarnation.lease,
    };
    LeaderStatus::NoLeader(Transaction {
        preconditions: vec![view.precondition(keys::LEADER)],
        mutations: vec![Mutation::Put {
            key: keys::LEADER.into(),
            value: to_value(&leader),
            lease: Some(incarnation.lease),
        }],
    })
}

impl Controller {
    /// Returns whether this controller is the leader; tries to become it if there is none. After a
    /// successful write it acts as the leader only once a linearizable read has returned everything that
    /// the previous leader wrote.
    pub async fn acquire_leadership(&self) -> bool {
        let (claim, lease) = {
            let Some(incarnation) = self.incarnation() else {
                return false;
            };
            let view = self.watch_cache.view();
            let live_members = self.membership.peers.live_members(&view.members);
            match leader_status(&view, &live_members, incarnation, wall_clock_now()) {
                LeaderStatus::Leading => return true,
                LeaderStatus::Following => return false,
                LeaderStatus::NoLeader(claim) => (claim, incarnation.lease),
            }
        };
        match self.watch_cache.transaction(&claim).await {
            TransactionOutcome::Committed(_) => {
                tracing::info!(lease, "became leader");
                self.watch_cache.linearizable_read().await
            }
            _ => {
                self.watch_cache.linearizable_read().await;
                false
            }
        }
    }
}
