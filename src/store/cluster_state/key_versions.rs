//! Versions of keys and tombstones: decides whether a change is newer than what is known of its key.
//!
//! Lists, watches and own transactions arrive in any order; a change counts only if it is newer than both
//! the key's version and its tombstone.

use foldhash::{HashMap, HashSet};
use std::collections::VecDeque;

/// Tombstones kept, so that deletions do not fill the memory. A tombstone only has to outlive the deliveries
/// of older writes that are still under way, a matter of seconds.
const MAX_TOMBSTONES: usize = 20_000;

/// What is known of the versions of keys.
#[derive(Default)]
pub(super) struct KeyVersions {
    versions: HashMap<String, u64>,
    /// Revision at which a key was deleted.
    tombstones: HashMap<String, u64>,
    /// Keys in the order in which their tombstones were set: the oldest go first.
    tombstone_order: VecDeque<String>,
}

impl KeyVersions {
    /// Version of a key; 0 if it does not exist.
    pub(super) fn version(&self, key: &str) -> u64 {
        self.versions.get(key).copied().unwrap_or(0)
    }

    /// Whether a key exists.
    pub(super) fn contains(&self, key: &str) -> bool {
        self.versions.contains_key(key)
    }

    /// Whether a key is known to have been deleted.
    pub(super) fn is_deleted(&self, key: &str) -> bool {
        self.tombstones.contains_key(key)
    }

    fn deleted_at(&self, key: &str) -> u64 {
        self.tombstones.get(key).copied().unwrap_or(0)
    }

    /// Records a write; false if it is not newer than what is known.
    pub(super) fn record_put(&mut self, key: &str, version: u64) -> bool {
        if version <= self.version(key).max(self.deleted_at(key)) {
            return false;
        }
        self.versions.insert(key.to_string(), version);
        self.tombstones.remove(key);
        true
    }

    /// Records a deletion; false if it is not newer than what is known or the key was not known to exist.
    pub(super) fn record_delete(&mut self, key: &str, revision: u64) -> bool {
        if revision <= self.version(key) || revision <= self.deleted_at(key) {
            return false;
        }
        self.set_tombstone(key.to_string(), revision);
        self.versions.remove(key).is_some()
    }

    /// Ignores writes of a key up to a revision, for as long as the tombstone is kept.
    pub(super) fn set_tombstone(&mut self, key: String, revision: u64) {
        self.tombstones.insert(key.clone(), revision);
        self.tombstone_order.push_back(key);
        while self.tombstone_order.len() > MAX_TOMBSTONES {
            if let Some(oldest) = self.tombstone_order.pop_front() {
                self.tombstones.remove(&oldest);
            }
        }
    }

    /// Forgets a key's version without a tombstone.
    pub(super) fn forget(&mut self, key: &str) {
        self.versions.remove(key);
    }

    /// Keys under a prefix that a read at a revision did not list and that are not newer than it.
    pub(super) fn missing(
        &self,
        prefix: &str,
        listed: &HashSet<String>,
        revision: u64,
    ) -> Vec<String> {
        self.versions
            .iter()
            .filter(|(key, version)| {
                key.starts_with(prefix) && **version <= revision && !listed.contains(*key)
            })
            .map(|(key, _)| key.clone())
            .collect()
    }
}
