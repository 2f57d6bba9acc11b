//! Tests of `fairness/service_levels.rs` that need its private parts.

use super::*;

fn end(rev: u64, done: bool) -> JobEnd {
    JobEnd {
        revision: rev,
        class_and_team: class_and_team_key("c", "t"),
        started: true,
        done,
    }
}

/// Two leaders in turn, the second with ends that the first has added: each counts once.
#[test]
fn an_end_counts_once_whoever_adds_it_up() {
    let ends = [end(3, true), end(5, false), end(9, true)];
    let one = ServiceLevels::default().with(ends[..2].iter().cloned(), 6, 1000);
    let two = one.with(ends.iter().cloned(), 9, 1000);
    let want = ClassTotals {
        accepted: 3,
        started: 3,
        done: 2,
    };
    assert_eq!(two.ended[&class_and_team_key("c", "t")], want);
    // Later than what the value says it counts: the next one's.
    assert!(one.with(ends.iter().cloned(), 8, 1000).ended == one.ended);
    assert_eq!(
        parse_class_and_team(&class_and_team_key("a:b/c", "x:y")),
        Some(("a:b/c", "x:y"))
    );
}

/// Below half for a minute is said once, and again only after it was better.
#[test]
fn less_than_half_for_a_minute_is_said_once() {
    let row = |started, overdue| ServiceLevelRow {
        class: "c".into(),
        team: "t".into(),
        started,
        overdue,
        ..ServiceLevelRow::default()
    };
    let mut w = ServiceLevelMonitor::default();
    let low = [row(4, 6)];
    assert!(w.missed_objectives(&low, 0).is_empty());
    assert!(w.missed_objectives(&low, 59 * SECOND).is_empty());
    let said = w.missed_objectives(&low, 60 * SECOND);
    assert_eq!(said[0], ("class c".to_string(), 0.4));
    assert_eq!(said.len(), 2);
    assert!(w.missed_objectives(&low, 90 * SECOND).is_empty());
    assert!(w.missed_objectives(&[row(5, 5)], 95 * SECOND).is_empty());
    assert!(w.missed_objectives(&low, 100 * SECOND).is_empty());
    assert_eq!(w.missed_objectives(&low, 170 * SECOND).len(), 2);
}
