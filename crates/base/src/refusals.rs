//! Counter of refusals that are logged at an interval: under overload, a log line for each of them would add to the load.

use crate::time::{Micros, SECOND};
use std::cell::Cell;

/// Minimum interval between two reports.
const REPORT_INTERVAL: Micros = 30 * SECOND;

/// Number of refusals, and when they were last reported.
#[derive(Default)]
pub struct RefusalCounter {
    total: Cell<u64>,
    reported: Cell<u64>,
    reported_at: Cell<Option<Micros>>,
}

impl RefusalCounter {
    /// Counts a refusal. Returns the number of refusals since the last report if the next report is due at `now`, a time
    /// of a monotonic clock.
    pub fn record(&self, now: Micros) -> Option<u64> {
        self.total.set(self.total.get() + 1);
        let reported_at = self.reported_at.get();
        if reported_at.is_some_and(|at| now.saturating_sub(at) < REPORT_INTERVAL) {
            return None;
        }
        self.reported_at.set(Some(now));
        let unreported = self.total.get() - self.reported.get();
        self.reported.set(self.total.get());
        Some(unreported)
    }

    /// Returns the number of all refusals.
    pub fn total(&self) -> u64 {
        self.total.get()
    }
}

#[cfg(test)]
mod tests;
