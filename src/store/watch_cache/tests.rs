//! Tests of `store/watch_cache.rs` that need its private parts.

use super::*;

/// An outage of two minutes is a few lines, not hundreds.
#[test]
fn an_outage_is_said_once_and_then_how_long_it_lasts() {
    let mut a = Away::default();
    let said: Vec<String> = (0..360)
        .filter_map(|k| a.failed(k * SECOND / 3, &"no answer"))
        .collect();
    assert_eq!(said.len(), 4);
    assert_eq!(said[0], "state service: no answer");
    assert_eq!(said[3], "state service: away for 90 s: no answer");
    let back = a.answered(120 * SECOND);
    assert_eq!(back.as_deref(), Some("state service: back after 120.0 s"));
    assert_eq!(a.answered(121 * SECOND), None);
}
