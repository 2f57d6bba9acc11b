//! Tests of `fairness` that need its private parts.

use super::*;

fn act(id: &str, q: u32, r: u32, t: Option<f64>, p: f64) -> JobActivity {
    JobActivity {
        id: id.into(),
        waiting: q,
        running: r,
        median: t,
        performance: p,
    }
}

/// Table 1 of the paper: eta 0.73, Delta 4.
#[test]
fn table_1() {
    let list = [act("1", 1, 3, Some(10.0), 0.9), act("2", 6, 0, None, 1.0)];
    let w = pending(&list);
    assert_eq!((w[0] * 100.0).round(), 27.0);
    assert_eq!((unfairness(&w) * 100.0).round(), 73.0);
    let r = round(&list, 0.2, &PriorityBoosts::default());
    assert_eq!(r.jobs.get("2"), Some(&PriorityBoost { tasks: 4, level: 2 }));
    assert!(!r.jobs.contains_key("1"));
    // Four tasks of workflow 2 start: fair again.
    let list = [act("1", 1, 3, Some(10.0), 0.9), act("2", 2, 4, None, 1.0)];
    assert!(unfairness(&pending(&list)) < 0.2);
}

/// P of Table 1: the longest task has phases 2, 3, 5 and medians 2, 2, 4, 2, so u = 12.
#[test]
fn performance_follows_equation_5() {
    assert_eq!((performance([10, 0], [12, 0]) * 10.0).round(), 9.0);
    assert_eq!(performance([10, 0], [0, 0]), 1.0);
    assert!(performance([10, 0], [1_000_000, 0]) < 0.01);
}
