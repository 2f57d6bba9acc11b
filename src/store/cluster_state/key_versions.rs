//! Key versions and tombstones, which determine whether a change is newer than the known state of its key.
//!
//! Results of lists, watches and this controller's own transactions arrive in any order. A change is applied
//! only if it is newer than both the key's version and its tombstone.

use foldhash::{HashMap, HashSet};
use std::collections::VecDeque;

/// Number of tombstones kept, which bounds the memory that deletions use. A tombstone only has to outlive the
/// in-flight deliveries of older writes, which takes seconds.
const MAX_TOMBSTONES: usize = 20_000;

/// Known versions and tombstones of keys.
#[derive(Default)]
pub(super) struct KeyVersions {
    versions: HashMap<String, u64>,
    /// Revision of the deletion, by deleted key.
    tombstones: HashMap<String, u64>,
    /// Keys in the order in which their tombstones were set. The oldest tombstones are evicted first.
    tombstone_order: VecDeque<String>,
}

impl KeyVersions {
    /// Returns the version of a key, or 0 if it does not exist.
    pub(super) fn version(&self, key: &str) -> u64 {
        self.versions.get(key).copied().unwrap_or(0)
    }

    /// Returns whether a key exists.
    pub(super) fn contains(&self, key: &str) -> bool {
        self.versions.contains_key(key)
    }

    /// Returns whether a key has a tombstone.
    pub(super) fn is_deleted(&self, key: &str) -> bool {
        self.tombstones.contains_key(key)
    }

    fn deleted_at(&self, key: &str) -> u64 {
        self.tombstones.get(key).copied().unwrap_or(0)
    }

    /// Records a write. Returns false if it is not newer than the known state of the key.
    pub(super) fn record_put(&mut self, key: &str, version: u64) -> bool {
        if version <= self.version(key).max(self.deleted_at(key)) {
            return false;
        }
        self.versions.insert(key.to_string(), version);
        self.tombstones.remove(key);
        true
    }

    /// Records a deletion. Returns false if it is not newer than the known state of the key, or if the key
    /// was not known to exist.
    pub(super) fn record_delete(&mut self, key: &str, revision: u64) -> bool {
        if revision <= self.version(key) || revision <= self.deleted_at(key) {
            return false;
        }
        self.set_tombstone(key.to_string(), revision);
        self.versions.remove(key).is_some()
    }

    /// Sets a tombstone, which causes writes of a key up to a revision to be ignored while it is kept.
    pub(super) fn set_tombstone(&mut self, key: String, revision: u64) {
        self.tombstones.insert(key.clone(), revision);
        self.tombstone_order.push_back(key);
        while self.tombstone_order.len() > MAX_TOMBSTONES {
            if let Some(oldest) = self.tombstone_order.pop_front() {
                self.tombstones.remove(&oldest);
            }
        }
    }

    /// Removes a key's version without setting a tombstone.
    pub(super) fn remove_version(&mut self, key: &str) {
        self.versions.remove(key);
    }

    /// Returns the known keys under a prefix that are missing in the list read at a revision, without keys
    /// that are newer than this revision.
    pub(super) fn unlisted_keys(
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
