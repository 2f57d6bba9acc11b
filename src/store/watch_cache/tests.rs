//! Unit tests of the watch cache's private types.

use super::outage_reporter::{OutageReport, OutageReporter};
use super::recent_absences::{MAX_JOBS, RETENTION, RecentAbsences};
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

/// Guards against results of lookups that are kept for longer than submissions are retried, or without a limit.
#[test]
fn absence_is_kept_for_a_while_and_for_a_limited_number_of_jobs() {
    let mut absences = RecentAbsences::default();
    absences.record("req-1".into(), SECOND);
    absences.record("req-1".into(), 2 * SECOND);
    assert!(absences.contains("req-1", RETENTION + 2 * SECOND - 1));
    assert!(!absences.contains("req-1", RETENTION + 2 * SECOND));
    for number in 2..=MAX_JOBS + 1 {
        absences.record(format!("req-{number}").into(), 3 * SECOND);
    }
    assert!(!absences.contains("req-1", 3 * SECOND));
    assert!(absences.contains("req-2", 3 * SECOND));
    absences.clear();
    assert!(!absences.contains("req-2", 3 * SECOND));
}
