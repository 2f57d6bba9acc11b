//! [`OutageReporter`]: logs an outage of the state service in a few lines, however often it is tried.

use crate::time::{Micros, SECOND};
use std::fmt::Display;

/// How often a lasting outage is logged again.
const REPEAT_INTERVAL: Micros = 30 * SECOND;

/// What to log about a failed request.
#[derive(Debug, PartialEq)]
pub(super) enum OutageReport {
    /// The first failure.
    Started { error: String },
    /// Still no answer.
    Continues { outage: Micros, error: String },
}

/// Logs once that the state service cannot be reached, now and then for how long, and when it answers again.
#[derive(Default)]
pub(super) struct OutageReporter {
    started_at: Option<Micros>,
    reported_at: Micros,
}

impl OutageReporter {
    /// What to log about a failure, if anything.
    pub(super) fn failed(&mut self, now: Micros, error: &dyn Display) -> Option<OutageReport> {
        let error = || error.to_string();
        let Some(started_at) = self.started_at else {
            (self.started_at, self.reported_at) = (Some(now), now);
            return Some(OutageReport::Started { error: error() });
        };
        if now.saturating_sub(self.reported_at) < REPEAT_INTERVAL {
            return None;
        }
        self.reported_at = now;
        Some(OutageReport::Continues {
            outage: now.saturating_sub(started_at),
            error: error(),
        })
    }

    /// How long the outage was that an answer ended, if there was one.
    pub(super) fn answered(&mut self, now: Micros) -> Option<Micros> {
        let started_at = self.started_at.take()?;
        Some(now.saturating_sub(started_at))
    }

    pub(super) fn log_failure(&mut self, now: Micros, error: &dyn Display) {
        match self.failed(now, error) {
            Some(OutageReport::Started { error }) => {
                tracing::warn!(error, "state service does not answer");
            }
            Some(OutageReport::Continues { outage, error }) => {
                let outage_s = outage / SECOND;
                tracing::warn!(outage_s, error, "state service still does not answer");
            }
            None => {}
        }
    }

    pub(super) fn log_answer(&mut self, now: Micros) {
        if let Some(outage) = self.answered(now) {
            let outage_s = outage as f64 / 1e6;
            tracing::info!(outage_s, "state service answers again");
        }
    }
}
