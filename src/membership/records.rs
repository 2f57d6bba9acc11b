//! Values that this module stores in the state service: members, the leader, shards, layout versions. Field
//! names on the wire are fixed by `serde` attributes, since controllers of other versions read them.

use crate::time::{Micros, SECOND};
use serde::{Deserialize, Serialize};

/// A storage layout, by number: the one that a controller reads and writes, or the one that all controllers
/// agreed on.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LayoutVersion {
    /// Number of the layout.
    #[serde(rename = "v")]
    pub layout_version: u32,
}

/// A live controller. Its key is bound to its lease and is deleted when the lease expires.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its lease, which distinguishes incarnations of the same name.
    #[serde(rename = "l")]
    pub lease: u64,
    /// Wall-clock time in microseconds at which this incarnation joined.
    #[serde(rename = "s")]
    pub joined_at: u64,
    /// Whether its workers cannot reach it; it then takes no shards.
    #[serde(rename = "h", default)]
    pub unreachable_by_workers: bool,
    /// The layout that it reads and writes; program versions before the second layout omit it.
    #[serde(rename = "v", default)]
    pub layout_version: u32,
    /// Number of incarnations of this name that ended in quick succession, up to the previous one.
    #[serde(rename = "e", default, skip_serializing_if = "is_zero")]
    pub restart_count: u32,
}

/// Used by `skip_serializing_if`: a count of zero is omitted, so that versions without the restart count
/// read the same bytes as before.
fn is_zero(restart_count: &u32) -> bool {
    *restart_count == 0
}

/// Time after which a member may be assigned shards of others, so that one that restarts immediately moves
/// none.
pub(super) const STABILISATION_TIME: Micros = 5 * SECOND;
/// Minimum lifetime of an incarnation whose end is not attributed to its start; the restart count then begins
/// again.
const RESTART_COUNT_RESET_TIME: Micros = 60 * SECOND;
/// Maximum number of times that the stabilisation time doubles, which first happens at the second restart.
/// A longer time would leave one controller with all machines for as long after the last restart.
const MAX_STABILISATION_DOUBLINGS: u32 = 1;
/// Number of restarts in quick succession at which a member counts as flapping.
const FLAPPING_RESTART_COUNT: u32 = 2;

impl Member {
    /// Returns the record of a new incarnation under `lease`, given the record that the previous
    /// incarnation left in the key, if it is still there. A process that restarts before its earlier lease
    /// expired finds that record and replaces it; the restart count identifies a process that restarts
    /// repeatedly.
    pub fn new_incarnation(
        previous: Option<&Member>,
        lease: u64,
        layout_version: u32,
        now: Micros,
    ) -> Member {
        let restart_count = match previous.filter(|member| member.lease != lease) {
            Some(member) if now.saturating_sub(member.joined_at) < RESTART_COUNT_RESET_TIME => {
                member.restart_count.saturating_add(1)
            }
            Some(_) => 1,
            None => 0,
        };
        Member {
            lease,
            joined_at: now,
            unreachable_by_workers: false,
            layout_version,
            restart_count,
        }
    }

    /// Returns whether it has been a member for long enough to be assigned shards that others own.
    pub(super) fn is_stabilised(&self, now: Micros) -> bool {
        let doublings = self
            .restart_count
            .saturating_sub(1)
            .min(MAX_STABILISATION_DOUBLINGS);
        now.saturating_sub(self.joined_at) >= STABILISATION_TIME << doublings
    }

    /// Returns whether it recently restarted more than once and may do so again. When it ends, no
    /// controller drives the shards that it took, and their machines must be fenced again each time; with a
    /// restart each second, no heartbeat of those machines would be answered within their lease.
    pub(super) fn is_flapping(&self, now: Micros) -> bool {
        self.restart_count >= FLAPPING_RESTART_COUNT && !self.is_stabilised(now)
    }
}

/// Returns the names of the members that are not flapping, or of all members if every one is.
pub(super) fn non_flapping<'a>(
    members: impl Iterator<Item = (&'a String, &'a Member)>,
    now: Micros,
) -> Vec<&'a String> {
    let all: Vec<(&String, &Member)> = members.collect();
    let stable = all.iter().filter(|(_, member)| !member.is_flapping(now));
    let names: Vec<&String> = stable.map(|(name, _)| *name).collect();
    if names.is_empty() {
        return all.into_iter().map(|(name, _)| name).collect();
    }
    names
}

/// The leader. Its key is bound to its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Leader {
    /// Name of the controller.
    #[serde(rename = "n")]
    pub node: String,
    /// Its lease: the leader is one incarnation, not every process of that name.
    #[serde(rename = "l")]
    pub lease: u64,
}

/// Ownership of a shard: the controller that drives its machines, and the term under which it does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shard {
    /// Name of the owner.
    #[serde(rename = "n")]
    pub owner: String,
    /// The owner's lease when it claimed the shard.
    #[serde(rename = "l")]
    pub lease: u64,
    /// Term, raised with each change of owner: the fencing token of the shard's machines.
    #[serde(rename = "t")]
    pub term: u64,
}
