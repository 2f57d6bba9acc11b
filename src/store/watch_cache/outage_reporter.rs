//! [`OutageReporter`]: rate-limited log messages about outages of the state service, independent of the
//! number of retries.

use crate::time::{Micros, SECOND};
use std::fmt::Display;

/// Interval at which a continuing outage is logged again.
const OUTAGE_LOG_INTERVAL: Micros = 30 * SECOND;

/// Log message for a failed request.
#[derive(Debug, PartialEq)]
pub(super) enum OutageReport {
    /// First failure of an outage.
    Started { error: String },
    /// Further failure, with the duration of the outage up to now.
    Continues { outage: Micros, error: String },
}

/// Logs the start of an outage of the state service, its duration at regular intervals, and its end.
#[derive(Default)]
pub(super) struct OutageReporter {
    started_at: Option<Micros>,
    reported_at: Micros,
}

impl OutageReporter {
    /// Records a failure and returns the message to log, if any.
    pub(super) fn record_failure(
        &mut self,
        now: Micros,
        error: &dyn Display,
    ) -> Option<OutageReport> {
        let error = || error.to_string();
        let Some(started_at) = self.started_at else {
            (self.started_at, self.reported_at) = (Some(now), now);
            return Some(OutageReport::Started { error: error() });
        };
        if now.saturating_sub(self.reported_at) < OUTAGE_LOG_INTERVAL {
            return None;
        }
        self.reported_at = now;
        Some(OutageReport::Continues {
            outage: now.saturating_sub(started_at),
            error: error(),
        })
    }

    /// Records a response and returns the duration of the outage that it ended, if there was one.
    pub(super) fn record_response(&mut self, now: Micros) -> Option<Micros> {
        let started_at = self.started_at.take()?;
        Some(now.saturating_sub(started_at))
    }

    pub(super) fn log_failure(&mut self, now: Micros, error: &dyn Display) {
        match self.record_failure(now, error) {
            Some(OutageReport::Started { error }) => {
                tracing::warn!(error, "state service does not respond");
            }
            Some(OutageReport::Continues { outage, error }) => {
                let outage_s = outage / SECOND;
                tracing::warn!(outage_s, error, "state service still does not respond");
            }
            None => {}
        }
    }

    pub(super) fn log_response(&mut self, now: Micros) {
        if let Some(outage) = self.record_response(now) {
            let outage_s = outage as f64 / 1e6;
            tracing::info!(outage_s, "state service responds again");
        }
    }
}
