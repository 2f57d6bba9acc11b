//! Unit tests of `fairness/service_levels.rs` that use its private items.

use super::*;

fn job_end(end_revision: u64, done: bool) -> JobEnd {
    JobEnd {
        revision: end_revision,
        class_and_team: class_and_team_key("c", "t"),
        started: true,
        done,
    }
}

/// Guards against counting a job end twice after a leader change: the second leader receives ends that the
/// first leader has already added.
#[test]
fn leader_change_counts_each_job_end_once() {
    let ends = [job_end(3, true), job_end(5, false), job_end(9, true)];
    let first = ServiceLevels::default().with_job_ends(ends[..2].iter().cloned(), 6, 1000);
    let second = first.with_job_ends(ends.iter().cloned(), 9, 1000);
    let expected = ClassTotals {
        accepted: 3,
        started: 3,
        done: 2,
    };
    assert_eq!(second.ended[&class_and_team_key("c", "t")], expected);
    // An end after the revision of the value is left to the next write.
    assert!(first.with_job_ends(ends.iter().cloned(), 8, 1000).ended == first.ended);
    assert_eq!(
        parse_class_and_team(&class_and_team_key("a:b/c", "x:y")),
        Some(("a:b/c", "x:y"))
    );
}

/// A class or team with less than half started in time for a minute is reported once, and again only after
/// it has recovered.
#[test]
fn missed_objective_is_reported_once() {
    let row = |started, overdue| ServiceLevelRow {
        class: "c".into(),
        team: "t".into(),
        started,
        overdue,
        ..ServiceLevelRow::default()
    };
    let mut monitor = ServiceLevelMonitor::default();
    let below_half = [row(4, 6)];
    assert!(monitor.missed_objectives(&below_half, 0).is_empty());
    assert!(
        monitor
            .missed_objectives(&below_half, 59 * SECOND)
            .is_empty()
    );
    let missed = monitor.missed_objectives(&below_half, 60 * SECOND);
    assert_eq!(missed[0], ("class c".to_string(), 0.4));
    assert_eq!(missed.len(), 2);
    assert!(
        monitor
            .missed_objectives(&below_half, 90 * SECOND)
            .is_empty()
    );
    assert!(
        monitor
            .missed_objectives(&[row(5, 5)], 95 * SECOND)
            .is_empty()
    );
    assert!(
        monitor
            .missed_objectives(&below_half, 100 * SECOND)
            .is_empty()
    );
    assert_eq!(
        monitor.missed_objectives(&below_half, 170 * SECOND).len(),
        2
    );
}
