//! Final states of jobs, read one by one: they are not part of the initial load.

use super::{WatchCache, sleep};
use crate::jobs::model::{FinishedJob, JobId};
use crate::store::keys;
use crate::time::{Micros, SECOND};
use crate::wire::{WireError, from_value};

/// How often unknown dependencies are looked up, and how many of them each time: a share of the request
/// budget that leaves the rest of the controller's requests theirs.
const DEPENDENCY_LOOKUP_INTERVAL: Micros = SECOND / 5;
const MAX_DEPENDENCY_LOOKUPS: usize = 20;
/// Most time for the read of one final state.
const FINAL_STATE_TIMEOUT: Micros = SECOND;

impl WatchCache {
    /// Looks up how dependencies of unfinished jobs ended, as far as nothing is known of them.
    pub async fn dependency_lookup_loop(&self) {
        loop {
            sleep(DEPENDENCY_LOOKUP_INTERVAL).await;
            if !self.loaded.get() || !self.current() {
                continue;
            }
            let unknown = self.state.borrow().unknown_dependencies();
            for id in unknown.iter().take(MAX_DEPENDENCY_LOOKUPS) {
                if self.read_finished_job(id).await.is_err() {
                    break;
                }
            }
        }
    }

    /// Reads how a job ended; `None` if it has no final state.
    pub async fn read_finished_job(&self, id: &JobId) -> Result<Option<FinishedJob>, WireError> {
        let key = keys::finished_job(id);
        let Some(item) = self.client.get(&key, FINAL_STATE_TIMEOUT).await? else {
            return Ok(None);
        };
        let finished: FinishedJob = from_value(&item.value).ok_or(WireError::Malformed(key))?;
        self.state.borrow_mut().remember_finished_job(id, finished);
        self.notifier.notify();
        Ok(Some(finished))
    }
}
