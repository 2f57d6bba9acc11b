//! Unit tests of the fairness equations and boosts.

use super::*;

fn activity(
    id: &str,
    waiting_tasks: u32,
    running_tasks: u32,
    median: Option<f64>,
    task_performance: f64,
) -> JobActivity {
    JobActivity {
        id: id.into(),
        waiting: waiting_tasks,
        running: running_tasks,
        median_duration_us: median,
        performance: task_performance,
    }
}

/// Checks the example of Table 1 of the paper: η is 0.73 and Δ is 4.
#[test]
fn boosts_follow_table_1() {
    let jobs = [
        activity("1", 1, 3, Some(10.0), 0.9),
        activity("2", 6, 0, None, 1.0),
    ];
    let fractions = pending_fractions(&jobs);
    assert_eq!((fractions[0] * 100.0).round(), 27.0);
    assert_eq!((unfairness_degree(&fractions) * 100.0).round(), 73.0);
    let boosts = update_boosts(&jobs, 0.2, &PriorityBoosts::default());
    assert_eq!(
        boosts.jobs.get("2"),
        Some(&PriorityBoost { tasks: 4, level: 2 })
    );
    assert!(!boosts.jobs.contains_key("1"));
    // After four tasks of workflow 2 have started, the unfairness degree is below the threshold.
    let jobs = [
        activity("1", 1, 3, Some(10.0), 0.9),
        activity("2", 2, 4, None, 1.0),
    ];
    assert!(unfairness_degree(&pending_fractions(&jobs)) < 0.2);
}

/// Checks P of Table 1: the longest task has phases 2, 3, 5 and medians 2, 2, 4, 2, so u is 12.
#[test]
fn performance_follows_equation_5() {
    assert_eq!((performance([10, 0], [12, 0]) * 10.0).round(), 9.0);
    assert_eq!(performance([10, 0], [0, 0]), 1.0);
    assert!(performance([10, 0], [1_000_000, 0]) < 0.01);
}
