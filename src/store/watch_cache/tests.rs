//! Unit tests of the watch cache's private types.

use super::outage_reporter::{OutageReport, OutageReporter};
use crate::time::SECOND;

/// Guards against an outage of two minutes being logged with hundreds of lines, one per failed retry.
#[test]
fn outage_is_reported_at_its_start_and_then_at_regular_intervals() {
    let mut reporter = OutageReporter::default();
    let reports: Vec<OutageReport> = (0..360)
        .filter_map(|attempt| reporter.record_failure(attempt * SECOND / 3, &"no answer"))
        .collect();
    assert_eq!(reports.len(), 4);
    let error = || "no answer".to_string();
    assert_eq!(reports[0], OutageReport::Started { error: error() });
    let last = OutageReport::Continues {
        outage: 90 * SECOND,
        error: error(),
    };
    assert_eq!(reports[3], last);
    assert_eq!(reporter.record_response(120 * SECOND), Some(120 * SECOND));
    assert_eq!(reporter.record_response(121 * SECOND), None);
}
