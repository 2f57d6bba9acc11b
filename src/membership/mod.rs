//! Membership, leadership and ownership of parts.

pub mod cancellation_watermark;
pub mod claim;
mod keep;

pub use keep::{Membership, READY_MOST};

use crate::time::{Micros, SECOND};
use fnv::FnvHasher;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::hash::Hasher;

/// Number of parts. Fixed: a machine's part, and with it its token, must never change.
pub const SHARD_COUNT: u32 = 12;

/// The layout that a controller reads and writes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// Number.
    #[serde(rename = "v")]
    pub version: u32,
}

/// The layout of this version of the program: packed and split blocks, pipelines.
pub const VERSION: u32 = 2;

/// A controller that is alive; its key hangs on its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its lease: tells incarnations of one name apart.
    #[serde(rename = "l")]
    pub lease: u64,
    /// Time of day since when.
    #[serde(rename = "s")]
    pub since: u64,
    /// Its workers cannot reach it: it wants no parts.
    #[serde(rename = "h", default)]
    pub unreachable_by_workers: bool,
    /// The layout that it reads and writes; versions before the second say nothing.
    #[serde(rename = "v", default)]
    pub version: u32,
    /// Lives of this name that ended one soon after the other, up to the one before this.
    #[serde(rename = "e", default, skip_serializing_if = "never")]
    pub ends: u32,
}

fn never(ends: &u32) -> bool {
    *ends == 0
}

/// A member is given others' parts only once it has been there this long.
const SETTLED: Micros = 5 * SECOND;
/// A life that lasted so long ended for reasons of its own: counting starts again.
const STEADY: Micros = 60 * SECOND;
/// With the second end the time to settle doubles. Longer would leave one controller with all machines for
/// as long after the last end.
const DOUBLED: u32 = 1;

impl Member {
    /// What a new life under `lease` says of itself, from what the life before left in its key, if that
    /// is still there. A process that is back within the lease of its past meets that key, and takes
    /// it over; one that ends again and again is told apart by the count.
    pub fn begin(before: Option<&Member>, lease: u64, version: u32, now: Micros) -> Member {
        let ends = match before.filter(|m| m.lease != lease) {
            Some(m) if now.saturating_sub(m.since) < STEADY => m.ends.saturating_add(1),
            Some(_) => 1,
            None => 0,
        };
        Member {
            lease,
            since: now,
            unreachable_by_workers: false,
            version,
            ends,
        }
    }

    /// Whether it has been there for long enough to be given what others own.
    fn settled(&self, now: Micros) -> bool {
        let doubled = self.ends.saturating_sub(1).min(DOUBLED);
        now.saturating_sub(self.since) >= SETTLED << doubled
    }

    /// Whether it ended more than once lately and may do so again: parts that it takes now stand still
    /// until it does, and each time their machines must be fenced anew. With one that ended each
    /// second no report of its machines was answered for longer than their lease.
    fn doubtful(&self, now: Micros) -> bool {
        self.ends >= 2 && !self.settled(now)
    }
}

/// Those among members who are not doubtful; all of them if there is nobody else.
fn steady<'a>(
    members: impl Iterator<Item = (&'a String, &'a Member)>,
    now: Micros,
) -> Vec<&'a String> {
    let all: Vec<(&String, &Member)> = members.collect();
    let sure = all.iter().filter(|(_, m)| !m.doubtful(now));
    let list: Vec<&String> = sure.map(|(n, _)| *n).collect();
    if list.is_empty() {
        return all.into_iter().map(|(n, _)| n).collect();
    }
    list
}

/// The leader; its key hangs on its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Leader {
    /// Node.
    #[serde(rename = "n")]
    pub node: String,
    /// Its lease.
    #[serde(rename = "l")]
    pub lease: u64,
}

/// A part: who drives its machines, and with which token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shard {
    /// Owner.
    #[serde(rename = "n")]
    pub owner: String,
    /// The owner's lease when it took the part.
    #[serde(rename = "l")]
    pub lease: u64,
    /// Term; also the token of the part's machines.
    #[serde(rename = "t")]
    pub term: u64,
}

/// A hash that stays the same between versions and machines.
pub fn hash(text: &str) -> u64 {
    let mut h = FnvHasher::default();
    h.write(text.as_bytes());
    // FNV spreads its low bits badly over few values; finish with a multiplicative mix.
    let x = h.finish();
    (x ^ (x >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 16
}

/// Whether every controller that the settings name has written durably that it knows the layout, and
/// none that is alive says otherwise. A list of those alive would not do: a process that died before
/// its turn comes back with the old version.
pub fn all_know<'a>(
    names: impl Iterator<Item = &'a str>,
    versions: &BTreeMap<String, Version>,
    members: &BTreeMap<String, Member>,
) -> bool {
    let mut names = names;
    names.all(|n| versions.get(n).is_some_and(|v| v.version >= VERSION))
        && members.values().all(|m| m.version >= VERSION)
}

/// The part that a machine belongs to.
pub fn shard_of(machine: &str) -> u32 {
    (hash(machine) % u64::from(SHARD_COUNT)) as u32
}

/// Who should own each part at this time of day: sticky, then the member with the fewest among those
/// who do not end again and again, ties by rendezvous hash.
pub fn assign(
    shards: &BTreeMap<u32, Shard>,
    members: &BTreeMap<String, Member>,
    now: Micros,
) -> BTreeMap<u32, String> {
    let willing: Vec<&String> = members
        .iter()
        .filter(|(_, m)| !m.unreachable_by_workers)
        .map(|(n, _)| n)
        .collect();
    let candidates: Vec<&String> = if willing.is_empty() {
        members.keys().collect()
    } else {
        willing
    };
    let mut out = BTreeMap::new();
    if candidates.is_empty() {
        return out;
    }
    let mut load: BTreeMap<&String, u32> = candidates.iter().map(|n| (*n, 0)).collect();
    for (n, p) in shards {
        let alive = members.get(&p.owner).is_some_and(|m| m.lease == p.lease);
        if *n < SHARD_COUNT
            && alive
            && let Some(l) = load.get_mut(&p.owner)
        {
            *l += 1;
            out.insert(*n, p.owner.clone());
        }
    }
    let weight = |shard: u32, node: &str| hash(&format!("{shard}@{node}"));
    let takers = steady(members.iter().filter(|(n, _)| candidates.contains(n)), now);
    for n in 0..SHARD_COUNT {
        if out.contains_key(&n) {
            continue;
        }
        let Some((best, _)) = load
            .iter()
            .filter(|(node, _)| takers.contains(node))
            .min_by_key(|(node, l)| (**l, u64::MAX - weight(n, node)))
        else {
            continue;
        };
        let best = *best;
        out.insert(n, best.clone());
        if let Some(l) = load.get_mut(best) {
            *l += 1;
        }
    }
    // Even out only towards members that have been here for a while, and only by whole steps.
    loop {
        let to = load
            .iter()
            .filter(|(n, _)| members.get(**n).is_some_and(|m| m.settled(now)))
            .min_by_key(|(_, l)| **l)
            .map(|(n, l)| (*n, *l));
        let from = load.iter().max_by_key(|(_, l)| **l).map(|(n, l)| (*n, *l));
        let (Some((to, lo)), Some((from, hi))) = (to, from) else {
            break;
        };
        if hi < lo + 2 {
            break;
        }
        let Some(n) = out
            .iter()
            .filter(|(_, o)| *o == from)
            .map(|(n, _)| *n)
            .max_by_key(|n| weight(*n, to))
        else {
            break;
        };
        out.insert(n, to.clone());
        if let Some(l) = load.get_mut(from) {
            *l -= 1;
        }
        if let Some(l) = load.get_mut(to) {
            *l += 1;
        }
    }
    out
}

#[cfg(test)]
mod tests;
