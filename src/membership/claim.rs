//! What a life of a controller writes to claim its name, parts and the lead. Pure.
//!
//! A life is a name and a lease: the service never gives a lease twice, so nothing that an earlier life
//! of the same name asked for can be taken for this one's. Each claim is conditional on what it was
//! decided on. Requests of an earlier life that arrive late, or twice, fail; where they come first, the
//! later life sees that its claim does not stand, and makes it again.

use super::{Leader, Member, PARTS, Part, assign, steady};
use crate::store::cluster_state::View;
use crate::store::keys;
use crate::time::{Micros, SECOND};
use crate::wire::state::{Change, Guard, Txn};
use crate::wire::to_value;
use foldhash::HashSet;
use std::collections::BTreeMap;

/// At the very start of a deployment the others come up within moments: so long nobody takes parts.
const START: Micros = SECOND;

/// A life of a controller.
#[derive(Clone, Copy, Debug)]
pub struct Life<'a> {
    /// Its name.
    pub node: &'a str,
    /// Its lease.
    pub lease: u64,
}

fn put<T: serde::Serialize>(key: String, v: &T, permit: Option<u64>) -> Change {
    Change::Put {
        put: key,
        v: to_value(v),
        permit,
    }
}

/// The write that makes a life's key say what it should, if it does not. What was written once may have
/// been overwritten: a process that is back within a fraction of a second may meet a request of its
/// earlier life, whose lease still runs, and the key goes with that lease.
pub fn name(view: &View, life: Life<'_>, wanted: &Member) -> Option<Txn> {
    (view.members.get(life.node) != Some(wanted)).then(|| {
        let key = keys::member(life.node);
        Txn {
            guards: vec![view.guard(key.as_str())],
            then: vec![put(key, wanted, Some(life.lease))],
        }
    })
}

/// The write that takes the parts that fall to a life, and raises the terms of those that are its own
/// and stand in `raise`.
pub fn parts(
    view: &View,
    living: &BTreeMap<String, Member>,
    life: Life<'_>,
    raise: &mut HashSet<u32>,
    now: Micros,
    ops: usize,
) -> Option<Txn> {
    let member = view.members.get(life.node)?;
    if member.lease != life.lease {
        return None;
    }
    let young = now.saturating_sub(member.since) < START;
    if young && view.members.len() == 1 && view.parts.is_empty() {
        return None;
    }
    let want = assign(&view.parts, living, now);
    let mut t = Txn {
        guards: vec![view.guard(keys::member(life.node))],
        then: Vec::new(),
    };
    for n in 0..PARTS {
        if want.get(&n).map(String::as_str) != Some(life.node) {
            continue;
        }
        let have = view.parts.get(&n);
        let ours = have.is_some_and(|p| p.owner == life.node && p.lease == life.lease);
        if (ours && !raise.remove(&n)) || t.then.len() >= ops {
            continue;
        }
        let key = keys::part(n);
        t.guards.push(Guard {
            path: key.clone(),
            stamp: view.stamp(&key),
        });
        let part = Part {
            owner: life.node.to_string(),
            lease: life.lease,
            term: have.map_or(0, |p| p.term) + 1,
        };
        t.then.push(put(key, &part, None));
    }
    (!t.then.is_empty()).then_some(t)
}

/// Who leads, as one life sees it.
#[derive(Debug)]
pub enum Lead {
    /// It does itself.
    Ours,
    /// Another does, or should.
    Other,
    /// Nobody does: it should try this.
    Vacant(Txn),
}

/// Whether a life leads or should. The leader is a life, not a name: the key of a life that ended stands
/// until its lease ends, while the next life of the same name is alive. Members who end again and again
/// come last, since each of their lives is too short to rent anything.
pub fn lead(view: &View, living: &BTreeMap<String, Member>, life: Life<'_>, now: Micros) -> Lead {
    let alive = |node: &str, lease| living.get(node).is_some_and(|m| m.lease == lease);
    if !alive(life.node, life.lease) {
        return Lead::Other;
    }
    match &view.leader {
        Some(l) if l.node == life.node && l.lease == life.lease => return Lead::Ours,
        Some(l) if alive(&l.node, l.lease) => return Lead::Other,
        _ => {}
    }
    if !steady(living.iter(), now).iter().any(|n| *n == life.node) {
        return Lead::Other;
    }
    let leader = Leader {
        node: life.node.to_string(),
        lease: life.lease,
    };
    Lead::Vacant(Txn {
        guards: vec![view.guard(keys::LEADER)],
        then: vec![put(keys::LEADER.into(), &leader, Some(life.lease))],
    })
}
