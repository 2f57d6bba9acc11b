//! Tests of `fairness/minimum_share.rs` that need its private parts.

use super::*;
use proptest::prelude::*;

fn class(priority: Priority, waiting: i64, running: i64, overdue: bool) -> ClassDemand {
    ClassDemand {
        priority,
        waiting,
        running,
        mean_run_time_us: 1.0,
        overdue,
    }
}

/// A scope of 100 CPUs in which every task runs one step, and normal work has always more waiting
/// than fits: low work gets its third and no more, and only once it is overdue.
#[test]
fn an_endless_backlog_of_higher_rank_leaves_a_third() {
    let mut got = 0;
    let (mut normal, mut low) = (100, 0);
    for step in 0..40 {
        let overdue = step >= 10;
        let list = [
            class(Priority::Normal, 500, normal, false),
            class(Priority::Low, 300, low, overdue),
        ];
        let f = minimum_share(&list);
        assert_eq!(f[0], 0);
        assert!(overdue || f[1] == 0);
        // A tenth of what runs ends in each step; the floor goes first, then rank.
        let (n, l) = (normal / 10, low / 10);
        let freed = n + l;
        let take = f[1].min(freed);
        (normal, low) = (normal - n + freed - take, low - l + take);
        got += take;
        assert!(low <= 33, "{low}");
    }
    assert!(got > 0 && low >= 28, "{got} {low}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(31),
        ..ProptestConfig::default()
    })]

    /// Whatever the classes: all floors together stay within the share, no class of the highest
    /// rank has one, and a class of which nothing runs while higher ones run is never left out.
    #[test]
    fn nobody_starves_and_nobody_of_higher_rank_waits_beyond_the_floor(
        list in proptest::collection::vec((0usize..4, 0i64..50, 0i64..50, any::<bool>()), 1..6),
    ) {
        let ranks = [Priority::Production, Priority::High, Priority::Normal, Priority::Low];
        let list: Vec<ClassDemand> = list.iter()
            .map(|(r, q, n, o)| class(ranks[*r], q * 1000, n * 1000, *o)).collect();
        let f = minimum_share(&list);
        let running: i64 = list.iter().map(|s| s.running).sum();
        prop_assert!(f.iter().sum::<i64>() as f64 <= running as f64 * SHARE);
        let top = list.iter().map(|s| s.priority).min();
        for (s, f) in list.iter().zip(&f) {
            prop_assert!(*f >= 0 && *f <= s.waiting);
            prop_assert!(*f == 0 || (Some(s.priority) != top && s.overdue));
            let behind = list.iter().any(|h| h.priority < s.priority && h.running > 10_000 && h.pending(1.0) < 1.0);
            if s.overdue && s.waiting > 0 && s.running == 0 && behind {
                prop_assert!(*f > 0, "{list:?}");
            }
        }
    }
}
