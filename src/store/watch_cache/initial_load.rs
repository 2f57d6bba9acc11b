//! Initial load: lists all prefixes and makes the result consistent by applying the log.

use super::{ReadTimes, WatchCache};
use crate::store::client::RevisionRange;
use crate::store::keys;
use crate::wire::WireError;
use crate::wire::state::Item;
use foldhash::{HashSet, HashSetExt};

impl WatchCache {
    /// Reads the whole state. Keys that no longer exist are removed from the state.
    pub(super) async fn load(&self) -> Result<(), WireError> {
        self.lookups.recent_absences.borrow_mut().clear();
        self.state.borrow_mut().defer_urgency();
        let mut revisions = RevisionRange::EMPTY;
        for prefix in keys::INITIAL_LOAD_PREFIXES {
            revisions = revisions.union(self.load_prefix(prefix).await?);
        }
        self.state.borrow_mut().revision = revisions.smallest;
        // The lists were read one after the other, so the state is consistent only after the log up to the
        // largest revision of the lists is applied.
        loop {
            let after = self.state.borrow().revision;
            let sent_at = self.clock.now();
            let log = self.client.watch(keys::ROOT_PREFIX, after, 0).await?;
            let times = ReadTimes {
                sent_at,
                current_at: sent_at,
            };
            self.apply_log(&log, &times);
            if self.state.borrow().revision >= revisions.largest {
                break;
            }
        }
        self.state.borrow_mut().refresh_deferred_urgency();
        self.loaded.set(true);
        tracing::info!(revision = revisions.largest, "cluster state loaded");
        self.notifier.notify();
        Ok(())
    }

    /// Lists a prefix and applies each page before the next one is read: the undecoded values of all pages
    /// together would take many times the memory of the state that they describe.
    async fn load_prefix(&self, prefix: &str) -> Result<RevisionRange, WireError> {
        let mut listed = HashSet::new();
        let apply = |item: Item| {
            let mut state = self.state.borrow_mut();
            state.put(&item.key, &item.value, item.version);
            listed.insert(item.key);
        };
        let revisions = self.client.list(prefix, apply).await?;
        let mut state = self.state.borrow_mut();
        state.retain_prefix(prefix, &listed, revisions.smallest);
        Ok(revisions)
    }
}
