//! What a life of a controller writes to claim its name, parts and the lead. Pure.
//!
//! A life is a name and a lease: the service never gives a lease twice, so nothing that an earlier life
//! of the same name asked for can be taken for this one's. Each claim is conditional on what it was
//! decided on. Requests of an earlier life that arrive late, or twice, fail; where they come first, the
//! later life sees that its claim does not stand, and makes it again.

use super::{Leader, Member, SHARD_COUNT, Shard, assign, steady};
use crate::store::cluster_state::ClusterState;
use crate::store::keys;
use crate::time::{Micros, SECOND};
use crate::wire::state::{Mutation, Precondition, Transaction};
use crate::wire::to_value;
use foldhash::HashSet;
use std::collections::BTreeMap;

/// At the very start of a deployment the others come up within moments: so long nobody takes parts.
const START: Micros = SECOND;

/// A life of a controller.
#[derive(Clone, Copy, Debug)]
pub struct Incarnation<'a> {
    /// Its name.
    pub node: &'a str,
    /// Its lease.
    pub lease: u64,
}

fn put<T: serde::Serialize>(key: String, v: &T, permit: Option<u64>) -> Mutation {
    Mutation::Put {
        key,
        value: to_value(v),
        lease: permit,
    }
}

/// The write that makes a life's key say what it should, if it does not. What was written once may have
/// been overwritten: a process that is back within a fraction of a second may meet a request of its
/// earlier life, whose lease still runs, and the key goes with that lease.
pub fn name(
    view: &ClusterState,
    incarnation: Incarnation<'_>,
    wanted: &Member,
) -> Option<Transaction> {
    (view.members.get(incarnation.node) != Some(wanted)).then(|| {
        let key = keys::member(incarnation.node);
        Transaction {
            preconditions: vec![view.precondition(key.as_str())],
            mutations: vec![put(key, wanted, Some(incarnation.lease))],
        }
    })
}

/// The write that takes the parts that fall to a life, and raises the terms of those that are its own
/// and stand in `raise`.
pub fn shards(
    view: &ClusterState,
    living: &BTreeMap<String, Member>,
    incarnation: Incarnation<'_>,
    raise: &mut HashSet<u32>,
    now: Micros,
    ops: usize,
) -> Option<Transaction> {
    let member = view.members.get(incarnation.node)?;
    if member.lease != incarnation.lease {
        return None;
    }
    let young = now.saturating_sub(member.since) < START;
    if young && view.members.len() == 1 && view.shards.is_empty() {
        return None;
    }
    let want = assign(&view.shards, living, now);
    let mut t = Transaction {
        preconditions: vec![view.precondition(keys::member(incarnation.node))],
        mutations: Vec::new(),
    };
    for n in 0..SHARD_COUNT {
        if want.get(&n).map(String::as_str) != Some(incarnation.node) {
            continue;
        }
        let have = view.shards.get(&n);
        let ours =
            have.is_some_and(|p| p.owner == incarnation.node && p.lease == incarnation.lease);
        if (ours && !raise.remove(&n)) || t.mutations.len() >= ops {
            continue;
        }
        let key = keys::shard(n);
        t.preconditions.push(Precondition {
            key: key.clone(),
            version: view.version(&key),
        });
        let shard = Shard {
            owner: incarnation.node.to_string(),
            lease: incarnation.lease,
            term: have.map_or(0, |p| p.term) + 1,
        };
        t.mutations.push(put(key, &shard, None));
    }
    (!t.mutations.is_empty()).then_some(t)
}

/// Who leads, as one life sees it.
#[derive(Debug)]
pub enum LeaderStatus {
    /// It does itself.
    This,
    /// Another does, or should.
    Other,
    /// Nobody does: it should try this.
    Vacant(Transaction),
}

/// Whether a life leads or should. The leader is a life, not a name: the key of a life that ended stands
/// until its lease ends, while the next life of the same name is alive. Members who end again and again
/// come last, since each of their lives is too short to rent anything.
pub fn lead(
    view: &ClusterState,
    living: &BTreeMap<String, Member>,
    incarnation: Incarnation<'_>,
    now: Micros,
) -> LeaderStatus {
    let alive = |node: &str, lease| living.get(node).is_some_and(|m| m.lease == lease);
    if !alive(incarnation.node, incarnation.lease) {
        return LeaderStatus::Other;
    }
    match &view.leader {
        Some(l) if l.node == incarnation.node && l.lease == incarnation.lease => {
            return LeaderStatus::This;
        }
        Some(l) if alive(&l.node, l.lease) => return LeaderStatus::Other,
        _ => {}
    }
    if !steady(living.iter(), now)
        .iter()
        .any(|n| *n == incarnation.node)
    {
        return LeaderStatus::Other;
    }
    let leader = Leader {
        node: incarnation.node.to_string(),
        lease: incarnation.lease,
    };
    LeaderStatus::Vacant(Transaction {
        preconditions: vec![view.precondition(keys::LEADER)],
        mutations: vec![put(keys::LEADER.into(), &leader, Some(incarnation.lease))],
    })
}
