//! Unit tests of `fairness/minimum_share.rs` that use its private items.

use super::*;
use proptest::prelude::*;

fn class(
    priority: Priority,
    waiting_millicpus: i64,
    running_millicpus: i64,
    overdue: bool,
) -> ClassDemand {
    ClassDemand {
        priority,
        waiting_millicpus,
        running_millicpus,
        mean_run_time_us: 1.0,
        overdue,
    }
}

/// Guards against starvation of a class of lower priority, and against a share above a third. In a scope
/// of 100 CPUs normal work always has more waiting tasks than fit, and a tenth of the running tasks ends
/// in each step: low work gets its third, no more, and only after it is overdue.
#[test]
fn starved_class_gets_a_third_and_no_more() {
    let mut granted_cpus = 0;
    let (mut normal, mut low) = (100, 0);
    for step in 0..40 {
        let overdue = step >= 10;
        let classes = [
            class(Priority::Normal, 500, normal, false),
            class(Priority::Low, 300, low, overdue),
        ];
        let shares = minimum_share(&classes);
        assert_eq!(shares[0], 0);
        assert!(overdue || shares[1] == 0);
        // A tenth of the running tasks ends in each step. The minimum share is served before priority.
        let (normal_ended, low_ended) = (normal / 10, low / 10);
        let freed = normal_ended + low_ended;
        let granted = shares[1].min(freed);
        (normal, low) = (
            normal - normal_ended + freed - granted,
            low - low_ended + granted,
        );
        granted_cpus += granted;
        assert!(low <= 33, "{low}");
    }
    assert!(granted_cpus > 0 && low >= 28, "{granted_cpus} {low}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(31),
        ..ProptestConfig::default()
    })]

    /// For any classes: the sum of the minimum shares stays within `MINIMUM_SHARE`, no class of the highest
    /// priority has a minimum share, and an overdue class that has waiting but no running tasks always gets
    /// one while a class of higher priority uses more than 10 CPUs.
    #[test]
    fn minimum_shares_are_bounded_and_reach_starved_classes(
        classes in proptest::collection::vec((0usize..4, 0i64..50, 0i64..50, any::<bool>()), 1..6),
    ) {
        let priorities = [Priority::Production, Priority::High, Priority::Normal, Priority::Low];
        let classes: Vec<ClassDemand> = classes.iter()
            .map(|(priority, waiting, running, overdue)| class(priorities[*priority], waiting * 1000, running * 1000, *overdue)).collect();
        let shares = minimum_share(&classes);
        let running: i64 = classes.iter().map(|demand| demand.running_millicpus).sum();
        prop_assert!(shares.iter().sum::<i64>() as f64 <= running as f64 * MINIMUM_SHARE);
        let highest_priority = classes.iter().map(|demand| demand.priority).min();
        for (demand, share) in classes.iter().zip(&shares) {
            prop_assert!(*share >= 0 && *share <= demand.waiting_millicpus);
            prop_assert!(*share == 0 || (Some(demand.priority) != highest_priority && demand.overdue));
            let higher_class_runs = classes.iter().any(|other| other.priority < demand.priority && other.running_millicpus > 10_000 && other.pending_fraction(1.0) < 1.0);
            if demand.overdue && demand.waiting_millicpus > 0 && demand.running_millicpus == 0 && higher_class_runs {
                prop_assert!(*share > 0, "{classes:?}");
            }
        }
    }
}
