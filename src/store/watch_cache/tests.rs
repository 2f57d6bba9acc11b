//! Tests of the watch cache that need its private parts.

use super::outage_reporter::{OutageReport, OutageReporter};
use crate::time::SECOND;

/// An outage of two minutes is a few lines, not hundreds.
#[test]
fn an_outage_is_reported_once_and_then_how_long_it_lasts() {
    let mut reporter = OutageReporter::default();
    let reports: Vec<OutageReport> = (0..360)
        .filter_map(|attempt| reporter.failed(attempt * SECOND / 3, &"no answer"))
        .collect();
    assert_eq!(reports.len(), 4);
    let error = || "no answer".to_string();
    assert_eq!(reports[0], OutageReport::Started { error: error() });
    let last = OutageReport::Continues {
        outage: 90 * SECOND,
        error: error(),
    };
    assert_eq!(reports[3], last);
    assert_eq!(reporter.answered(120 * SECOND), Some(120 * SECOND));
    assert_eq!(reporter.answered(121 * SECOND), None);
}
