//! Ownership of shards: takes those that fall to this controller and raises their terms, by compare-and-swap on the
//! shard keys. The decision is pure; the set of terms that must be raised is in [`super::Membership`].

use super::lease_renewal::Incarnation;
use super::records::{Member, Shard};
use super::shard_assignment::{SHARD_COUNT, assign_shards};
use crate::controller::Controller;
use crate::store::client::TransactionOutcome;
use crate::store::cluster_state::ClusterState;
use crate::store::keys;
use crate::time::{MILLI, Micros, SECOND, wall};
use crate::wire::state::{Mutation, Precondition, Transaction};
use crate::wire::to_value;
use foldhash::HashSet;
use std::collections::BTreeMap;
use std::rc::Rc;

/// At the very start of a deployment the other controllers come up within moments: for so long a lone member
/// takes no shards.
const STARTUP_GRACE: Micros = SECOND;
/// Shards are looked at no less often than this, as members also change by the passing of time.
const CHECK_INTERVAL: Micros = SECOND / 3;
/// Pause after a change, so that several changes that come together are looked at once.
const CHANGE_DEBOUNCE: Micros = 50 * MILLI;
/// Pause after a write that failed: others take shards at the same moment.
const RETRY_PAUSE: Micros = 100 * MILLI;

/// What a claim of shards is decided on.
pub struct ShardClaim<'a> {
    /// The cluster state as this controller sees it.
    pub view: &'a ClusterState,
    /// Members without those that are declared dead.
    pub live_members: &'a BTreeMap<String, Member>,
    /// Who claims.
    pub incarnation: Incarnation<'a>,
    /// Time of day in microseconds.
    pub now: Micros,
    /// Mutations that a transaction may have.
    pub max_mutations: usize,
}

/// The write that takes the shards that fall to an incarnation, and raises the terms of those of its own that are
/// in `pending_term_raises`, which it takes from there. `None` if there is nothing to write or its member
/// key does not stand.
pub fn claim_shards(
    claim: &ShardClaim<'_>,
    pending_term_raises: &mut HashSet<u32>,
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
        let present = view.shards.get(&number);
        let is_own = present.is_some_and(|shard| {
            shard.owner == incarnation.node && shard.lease == incarnation.lease
        });
        if is_own && !pending_term_raises.remove(&number) {
            continue;
        }
        if transaction.mutations.len() < claim.max_mutations {
            push_shard_claim(&mut transaction, view, incarnation, number);
        }
    }
    (!transaction.mutations.is_empty()).then_some(transaction)
}

/// Adds to a transaction the write by which an incarnation owns a shard, under a term one above the present one.
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
    let present_term = view.shards.get(&number).map_or(0, |shard| shard.term);
    let shard = Shard {
        owner: incarnation.node.to_string(),
        lease: incarnation.lease,
        term: present_term + 1,
    };
    transaction.mutations.push(Mutation::Put {
        key,
        value: to_value(&shard),
        lease: None,
    });
}

/// Whether a deployment has only just started, and the other controllers are about to join.
fn awaits_other_members(view: &ClusterState, member: &Member, now: Micros) -> bool {
    let just_started = now.saturating_sub(member.since) < STARTUP_GRACE;
    just_started && view.members.len() == 1 && view.shards.is_empty()
}

impl Controller {
    /// Takes the shards that fall to this controller, whenever the view changes.
    pub async fn shard_loop(self: Rc<Controller>) {
        loop {
            let change = self.watch_cache.notifier().listen();
            futures_lite::FutureExt::or(change, async {
                self.sleep(CHECK_INTERVAL).await;
            })
            .await;
            self.sleep(CHANGE_DEBOUNCE).await;
            if !self.watch_cache.loaded() || !self.watch_cache.current() {
                continue;
            }
            self.check_worker_reachability();
            let Some(claim) = self.desired_shards() else {
                continue;
            };
            match self.watch_cache.transaction(&claim).await {
                TransactionOutcome::Done(_) => {
                    tracing::info!(shards = claim.mutations.len(), "shards taken");
                    // The term counts once everything before it is in the view.
                    self.watch_cache.linearizable_read().await;
                }
                _ => {
                    self.watch_cache.linearizable_read().await;
                    self.sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// The write that takes the shards that fall to this controller now, if any.
    fn desired_shards(&self) -> Option<Transaction> {
        let incarnation = self.incarnation()?;
        let view = self.watch_cache.view();
        let max_mutations = self.state_limits().max_mutations;
        let mut pending_term_raises = self.membership.pending_term_raises.borrow_mut();
        let claim = ShardClaim {
            view: &view,
            live_members: &self.membership.peers.live_members(&view.members),
            incarnation,
            now: wall(),
            max_mutations,
        };
        claim_shards(&claim, &mut pending_term_raises)
    }
}
