//! Jobs that a recent lookup found never accepted. The watch has delivered every acceptance since then, so that retries
//! of a deferred submission need no further lookup.

use crate::jobs::model::JobId;
use crate::time::{Micros, SECOND};
use foldhash::HashMap;
use std::collections::VecDeque;

/// Time for which the result of a lookup is kept: users retry a submission for that long.
pub(super) const RETENTION: Micros = 60 * SECOND;
/// Largest number of jobs. The oldest entries are evicted first.
pub(super) const MAX_JOBS: usize = 4_096;

/// Jobs with the times of the lookups that found them never accepted, by the monotonic clock.
#[derive(Default)]
pub(super) struct RecentAbsences {
    found_at: HashMap<JobId, Micros>,
    order: VecDeque<(Micros, JobId)>,
}

impl RecentAbsences {
    /// Records that a job was never accepted before `now`.
    pub(super) fn record(&mut self, id: JobId, now: Micros) {
        self.evict(now);
        self.found_at.insert(id.clone(), now);
        self.order.push_back((now, id));
    }

    /// Returns whether a lookup within the retention time found that the job was never accepted.
    pub(super) fn contains(&self, id: &str, now: Micros) -> bool {
        self.found_at
            .get(id)
            .is_some_and(|found_at| now.saturating_sub(*found_at) < RETENTION)
    }

    /// Removes all jobs: the watch was interrupted, so that acceptances may have been missed.
    pub(super) fn clear(&mut self) {
        self.found_at.clear();
        self.order.clear();
    }

    fn evict(&mut self, now: Micros) {
        let expired = |found_at: Micros| now.saturating_sub(found_at) >= RETENTION;
        while let Some((found_at, id)) = self.order.front()
            && (expired(*found_at) || self.order.len() >= MAX_JOBS)
        {
            // A later lookup of the same job has an entry of its own.
            if self.found_at.get(id) == Some(found_at) {
                self.found_at.remove(id);
            }
            self.order.pop_front();
        }
    }
}
