//! Unit tests of the refusal counter.

use super::RefusalCounter;
use crate::time::SECOND;

/// Guards against a burst of refusals that is logged with a line for each, or not at all.
#[test]
fn refusals_are_reported_at_once_and_then_at_an_interval() {
    let counter = RefusalCounter::default();
    let reports: Vec<u64> = (0..90)
        .filter_map(|second| counter.record(second * SECOND))
        .collect();
    assert_eq!(reports, [1, 30, 30]);
    assert_eq!(counter.total(), 90);
}
