//! Shard ownership: claims the shards assigned to this controller and raises their terms, by
//! compare-and-swap on the shard keys. The decision is pure; the set of shards whose terms must be raised
//! is in [`super::Membership`].

use super::lease_renewal::Incarnation;
use super::records::{Member, Shard};
use super::shard_assignment::{SHARD_COUNT, assign_shards};
use crate::controller::Controller;
use crate::store::client::TransactionOutcome;
use crate::store::cluster_state::ClusterState;
use crate::store::keys;
use crate::time::{MILLISECOND, Micros, SECOND, wall_clock_now};
use crate::wire::state::{Mutation, Precondition, Transaction};
use crate::wire::to_value;
use foldhash::HashSet;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Time for which a lone member claims no shards when a deployment starts, as the other controllers start
/// within moments.
const STARTUP_GRACE_PERIOD: Micros = SECOND;
/// Maximum interval between checks of the assignment, which also changes with time alone.
const MAX_CHECK_INTERVAL: Micros = SECOND / 3;
/// Delay after a change of the view, so that changes in quick succession are processed together.
const CHANGE_DEBOUNCE_DELAY: Micros = 50 * MILLISECOND;
/// Delay after a failed write: other controllers claim shards at the same moment.
const RETRY_DELAY: Micros = 100 * MILLISECOND;

/// Inputs of the decision which shards to claim.
pub struct ShardClaim<'a> {
    /// The cluster state in this controller's view.
    pub view: &'a ClusterState,
    /// Members that are not declared dead.
    pub live_members: &'a BTreeMap<String, Member>,
    /// The incarnation that claims.
    pub incarnation: Incarnation<'a>,
    /// Wall-clock time in microseconds.
    pub now: Micros,
    /// Maximum number of mutations in a transaction.
    pub max_mutations: usize,
}

/// Returns the write that claims the shards assigned to an incarnation and raises the terms of those of its
/// own shards that are in `pending_term_increments`, which are removed from that set. `None` if there is
/// nothing to write, the incarnation has no valid member key, or it waits for other members to join.
pub fn claim_shards(
    claim: &ShardClaim<'_>,
    pending_term_increments: &mut HashSet<u32>,
) -> Option<Transaction> {
    let (view, incarnation) = (claim.view, claim.incarnation);
    let member = view.members.get(incarnation.node)?;
    if member.lease != incarnation.lease || awaits_other_members(view, member, claim.now) {
        return None;
    }
    let desired_owners = assign_shards(&view.shards, claim.live_members, claim.now);
    let mut transaction = Transaction {
        preconditions: vec![view.precondition(keys::member(incarnation.node))],
        mutations: Vec::new(),
    };
    for number in 0..SHARD_COUNT {
        if desired_owners.get(&number).map(String::as_str) != Some(incarnation.node) {
            continue;
        }
        let current = view.shards.get(&number);
        let is_own = current.is_some_and(|shard| {
            shard.owner == incarnation.node && shard.lease == incarnation.lease
        });
        if is_own && !pending_term_increments.remove(&number) {
            continue;
        }
        if transaction.mutations.len() < claim.max_mutations {
            push_shard_claim(&mut transaction, view, incarnation, number);
        }
    }
    (!transaction.mutations.is_empty()).then_some(transaction)
}

/// Adds to a transaction the write by which an incarnation owns a shard, under a term one above the current
/// one.
fn push_shard_claim(
    transaction: &mut Transaction,
    view: &ClusterState,
    incarnation: Incarnation<'_>,
    number: u32,
) {
    let key = keys::shard(number);
    transaction.preconditions.push(Precondition {
        key: key.clone(),
        version: view.version(&key),
    });
    let current_term = view.shards.get(&number).map_or(0, |shard| shard.term);
    let shard = Shard {
        owner: incarnation.node.to_string(),
        lease: incarnation.lease,
        term: current_term + 1,
    };
    transaction.mutations.push(Mutation::Put {
        key,
        value: to_value(&shard),
        lease: None,
    });
}

/// Returns whether a deployment has only just started and the other controllers are expected to join.
fn awaits_other_members(view: &ClusterState, member: &Member, now: Micros) -> bool {
    let just_started = now.saturating_sub(member.joined_at) < STARTUP_GRACE_PERIOD;
    just_started && view.members.len() == 1 && view.shards.is_empty()
}

impl Controller {
    /// Claims the shards assigned to this controller whenever the view changes.
    pub async fn shard_loop(self: Rc<Controller>) {
        loop {
            let change = self.watch_cache.notifier().listen();
            futures_lite::FutureExt::or(change, async {
                self.sleep(MAX_CHECK_INTERVAL).await;
            })
            .await;
            self.sleep(CHANGE_DEBOUNCE_DELAY).await;
            if !self.watch_cache.loaded() || !self.watch_cache.is_current() {
                continue;
            }
            self.check_worker_reachability();
            let Some(claim) = self.shard_claim_transaction() else {
                continue;
            };
            match self.watch_cache.transaction(&claim).await {
                TransactionOutcome::Committed(_) => {
                    // The new term is usable only once all earlier writes are in the view.
                    self.watch_cache.linearizable_read().await;
                    let shards = claim.mutations.len();
                    let terms = self.owned_terms();
                    tracing::info!(shards, terms, "shards claimed");
                }
                _ => {
                    self.watch_cache.linearizable_read().await;
                    self.sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Returns the shards that this controller owns with their terms, as text.
    fn owned_terms(&self) -> String {
        let view = self.watch_cache.view();
        let owned = (0..SHARD_COUNT).filter_map(|shard| {
            let term = self.term(&view, shard)?;
            Some(format!("{shard}:{term}"))
        });
        owned.collect::<Vec<String>>().join(" ")
    }

    /// Returns the write that claims the shards currently assigned to this controller, if any.
    fn shard_claim_transaction(&self) -> Option<Transaction> {
        let incarnation = self.incarnation()?;
        let view = self.watch_cache.view();
        let max_mutations = self.state_limits().max_mutations;
        let mut pending_term_increments = self.membership.pending_term_increments.borrow_mut();
        let claim = ShardClaim {
            view: &view,
            live_members: &self.membership.peers.live_members(&view.members),
            incarnation,
            now: wall_clock_now(),
            max_mutations,
        };
        claim_shards(&claim, &mut pending_term_increments)
    }
}
