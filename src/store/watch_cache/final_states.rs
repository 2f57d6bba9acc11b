//! Reads of individual final states of jobs, which are not part of the initial load.

use super::{WatchCache, sleep};
use crate::jobs::model::{FinishedJob, JobId};
use crate::store::keys;
use crate::time::{Micros, SECOND};
use crate::wire::{WireError, from_value};

/// Interval between lookups of unknown dependencies. Together with `MAX_DEPENDENCY_LOOKUPS` it limits the
/// lookups to a share of the request budget, which leaves enough of it for the controller's other requests.
const DEPENDENCY_LOOKUP_INTERVAL: Micros = SECOND / 5;
/// Maximum number of dependencies looked up per interval.
const MAX_DEPENDENCY_LOOKUPS: usize = 20;
/// Timeout of the read of one final state.
const FINAL_STATE_TIMEOUT: Micros = SECOND;

impl WatchCache {
    /// Looks up the final states of unknown dependencies of unfinished jobs.
    pub async fn dependency_lookup_loop(&self) {
        loop {
            sleep(DEPENDENCY_LOOKUP_INTERVAL).await;
            if !self.loaded.get() || !self.is_current() {
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

    /// Reads a job's final state. Returns `None` if the job has none.
    pub async fn read_finished_job(&self, id: &JobId) -> Result<Option<FinishedJob>, WireError> {
        let key = keys::finished_job(id);
        let Some(item) = self.client.get(&key, FINAL_STATE_TIMEOUT).await? else {
            return Ok(None);
        };
        let finished: FinishedJob = from_value(&item.value).ok_or(WireError::Malformed(key))?;
        self.state.borrow_mut().cache_finished_job(id, finished);
        self.notifier.notify();
        Ok(Some(finished))
    }
}
