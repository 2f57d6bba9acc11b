//! Values stored in the state service by this slice: members, the leader, shards, layout versions. Field names
//! on the wire are fixed by `serde` attributes; controllers of other versions read them.

use crate::time::{Micros, SECOND};
use serde::{Deserialize, Serialize};

/// A storage layout, by number: what one controller reads and writes, or what all of them agreed on.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// Number of the layout.
    #[serde(rename = "v")]
    pub version: u32,
}

/// A live controller. Its key is bound to its lease and disappears when that expires.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its lease: tells incarnations of one name apart.
    #[serde(rename = "l")]
    pub lease: u64,
    /// Wall-clock time in microseconds at which this incarnation joined.
    #[serde(rename = "s")]
    pub since: u64,
    /// Its workers cannot reach it: it takes no shards.
    #[serde(rename = "h", default)]
    pub unreachable_by_workers: bool,
    /// The layout that it reads and writes; versions before the second do not state it.
    #[serde(rename = "v", default)]
    pub version: u32,
    /// Incarnations of this name that ended shortly after one another, up to the one before this.
    #[serde(rename = "e", default, skip_serializing_if = "is_zero")]
    pub restart_count: u32,
}

/// For `skip_serializing_if`: versions that do not know the restart count read the same bytes as before.
fn is_zero(restart_count: &u32) -> bool {
    *restart_count == 0
}

/// A member is given shards of others only after this long, so that one that restarts at once moves none.
pub(super) const STABILISATION_TIME: Micros = 5 * SECOND;
/// An incarnation that lasted this long did not end because of its start: counting restarts begins anew.
const RESTART_COUNT_RESET: Micros = 60 * SECOND;
/// With the second restart the stabilisation time doubles, and not again: longer would leave one controller
/// with all machines for as long after the last restart.
const MAX_STABILISATION_DOUBLINGS: u32 = 1;
/// So many restarts in a row count as flapping.
const FLAPPING_RESTARTS: u32 = 2;

impl Member {
    /// The record of a new incarnation under `lease`, given the record that the incarnation before left in the
    /// key, if that is still there. A process that is back before the earlier lease expired finds that
    /// record and replaces it; the restart count tells one that restarts again and again.
    pub fn new_incarnation(
        previous: Option<&Member>,
        lease: u64,
        version: u32,
        now: Micros,
    ) -> Member {
        let restart_count = match previous.filter(|member| member.lease != lease) {
            Some(member) if now.saturating_sub(member.since) < RESTART_COUNT_RESET => {
                member.restart_count.saturating_add(1)
            }
            Some(_) => 1,
            None => 0,
        };
        Member {
            lease,
            since: now,
            unreachable_by_workers: false,
            version,
            restart_count,
        }
    }

    /// Whether it has been a member for long enough to be given shards that others own.
    pub(super) fn is_stabilised(&self, now: Micros) -> bool {
        let doublings = self
            .restart_count
            .saturating_sub(1)
            .min(MAX_STABILISATION_DOUBLINGS);
        now.saturating_sub(self.since) >= STABILISATION_TIME << doublings
    }

    /// Whether it restarted more than once lately and may do so again. Shards that it takes are driven by nobody
    /// when it ends, and each time their machines must be fenced anew; with restarts each second no
    /// heartbeat of those machines would be answered within their lease.
    pub(super) fn is_flapping(&self, now: Micros) -> bool {
        self.restart_count >= FLAPPING_RESTARTS && !self.is_stabilised(now)
    }
}

/// Names of the members that do not flap; of all of them if every one does.
pub(super) fn non_flapping<'a>(
    members: impl Iterator<Item = (&'a String, &'a Member)>,
    now: Micros,
) -> Vec<&'a String> {
    let all: Vec<(&String, &Member)> = members.collect();
    let dependable = all.iter().filter(|(_, member)| !member.is_flapping(now));
    let names: Vec<&String> = dependable.map(|(name, _)| *name).collect();
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
    /// Its lease: the leader is one incarnation, not whoever has the name.
    #[serde(rename = "l")]
    pub lease: u64,
}

/// Ownership of a shard: which controller drives its machines, and under which term.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shard {
    /// Name of the owner.
    #[serde(rename = "n")]
    pub owner: String,
    /// The owner's lease when it took the shard.
    #[serde(rename = "l")]
    pub lease: u64,
    /// Term, raised with each change of owner: the fencing token of the shard's machines.
    #[serde(rename = "t")]
    pub term: u64,
}
