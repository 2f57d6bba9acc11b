//! Assignment of shards to controllers: a pure function of the current owners, the live members and the
//! wall-clock time, so that all controllers that see the same members compute the same result. Holds no
//! state.

use super::records::{Member, Shard, non_flapping};
use crate::time::Micros;
use fnv::FnvHasher;
use std::collections::BTreeMap;
use std::hash::Hasher;

/// Number of shards. Fixed: a machine's shard, and with it its fencing token, must never change.
pub const SHARD_COUNT: u32 = 12;

/// Name of the controller that should own each shard.
pub type ShardOwners = BTreeMap<u32, String>;

/// Returns a hash that is the same in all versions and on all machines.
pub fn stable_hash(text: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(text.as_bytes());
    // FNV distributes its low bits poorly over small sets of values; a final multiplicative mix corrects
    // this.
    let raw = hasher.finish();
    (raw ^ (raw >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 16
}

/// Returns the shard that a machine belongs to.
pub fn shard_of(machine: &str) -> u32 {
    (stable_hash(machine) % u64::from(SHARD_COUNT)) as u32
}

/// Returns the weight of a controller for a shard in rendezvous hashing.
fn rendezvous_weight(shard: u32, node: &str) -> u64 {
    stable_hash(&format!("{shard}@{node}"))
}

/// Returns the desired owner of each shard at the wall-clock time `now`, in microseconds. Live owners that
/// workers can reach keep their shards; the others go to the least loaded such member that is not flapping,
/// ties by rendezvous hash; then shards move to members that have stabilised until the load is even. If
/// workers can reach no member, all members are considered. Empty if there are no members.
pub fn assign_shards(
    shards: &BTreeMap<u32, Shard>,
    members: &BTreeMap<String, Member>,
    now: Micros,
) -> ShardOwners {
    let candidates = candidates(members);
    if candidates.is_empty() {
        return ShardOwners::new();
    }
    let mut assignment = Assignment {
        members,
        now,
        load: candidates.iter().map(|name| (*name, 0)).collect(),
        owners: ShardOwners::new(),
    };
    assignment.keep_current_owners(shards);
    assignment.assign_unowned(&candidates);
    assignment.rebalance();
    assignment.owners
}

/// Returns the members that their workers can reach, or all members if there are none.
fn candidates(members: &BTreeMap<String, Member>) -> Vec<&String> {
    let reachable: Vec<&String> = members
        .iter()
        .filter(|(_, member)| !member.unreachable_by_workers)
        .map(|(name, _)| name)
        .collect();
    if reachable.is_empty() {
        members.keys().collect()
    } else {
        reachable
    }
}

/// Shard assignment while it is computed.
struct Assignment<'a> {
    members: &'a BTreeMap<String, Member>,
    now: Micros,
    /// Number of shards assigned to each candidate so far.
    load: BTreeMap<&'a String, u32>,
    owners: ShardOwners,
}

impl<'a> Assignment<'a> {
    fn keep_current_owners(&mut self, shards: &BTreeMap<u32, Shard>) {
        for (number, shard) in shards {
            let is_live = self
                .members
                .get(&shard.owner)
                .is_some_and(|member| member.lease == shard.lease);
            if *number < SHARD_COUNT
                && is_live
                && let Some(load) = self.load.get_mut(&shard.owner)
            {
                *load += 1;
                self.owners.insert(*number, shard.owner.clone());
            }
        }
    }

    fn assign_unowned(&mut self, candidates: &[&'a String]) {
        let eligible = non_flapping(
            self.members
                .iter()
                .filter(|(name, _)| candidates.contains(name)),
            self.now,
        );
        for number in 0..SHARD_COUNT {
            if self.owners.contains_key(&number) {
                continue;
            }
            let Some((least_loaded, _)) = self
                .load
                .iter()
                .filter(|(name, _)| eligible.contains(name))
                .min_by_key(|(name, load)| (**load, u64::MAX - rendezvous_weight(number, name)))
            else {
                continue;
            };
            let least_loaded = *least_loaded;
            self.owners.insert(number, least_loaded.clone());
            if let Some(load) = self.load.get_mut(least_loaded) {
                *load += 1;
            }
        }
    }

    /// Moves shards only to members that have stabilised and only from members with at least two shards
    /// more: each move requires fencing machines.
    fn rebalance(&mut self) {
        while let Some((from, to)) = self.next_move() {
            let Some(number) = self
                .owners
                .iter()
                .filter(|(_, owner)| *owner == from)
                .map(|(number, _)| *number)
                .max_by_key(|number| rendezvous_weight(*number, to))
            else {
                break;
            };
            self.owners.insert(number, to.clone());
            if let Some(load) = self.load.get_mut(from) {
                *load -= 1;
            }
            if let Some(load) = self.load.get_mut(to) {
                *load += 1;
            }
        }
    }

    /// Returns the most loaded candidate and the least loaded stabilised one, if a shard should move from
    /// the first to the second.
    fn next_move(&self) -> Option<(&'a String, &'a String)> {
        let stabilised = self.load.iter().filter(|(name, _)| {
            self.members
                .get(**name)
                .is_some_and(|member| member.is_stabilised(self.now))
        });
        let (to, lowest) = stabilised.min_by_key(|(_, load)| **load)?;
        let (from, highest) = self.load.iter().max_by_key(|(_, load)| **load)?;
        (*highest >= lowest + 2).then_some((*from, *to))
    }
}

#[cfg(test)]
mod tests;
