//! Equations 1 and 3 to 5 of the paper, with the paper's letters, equation numbers and full names. The
//! functions have no side effects.
//!
//! | letter | name | here |
//! | --- | --- | --- |
//! | Q | waiting tasks | `JobActivity::waiting` |
//! | R | running tasks | `JobActivity::running` |
//! | t | median task duration | `JobActivity::median_duration_us` |
//! | T | max-median ratio | `max_median_ratios` |
//! | P | performance | `performance` |
//! | u | duration of the longest active task | in `performance` |
//! | w | pending fraction | `pending_fractions` |
//! | η | unfairness degree | `unfairness_degree` |

use super::JobTaskCounts;
use crate::time::Micros;

/// Input of the control loop for one active job.
#[derive(Clone, Debug, PartialEq)]
pub struct JobActivity {
    /// Job id.
    pub id: String,
    /// Q: waiting tasks.
    pub waiting: u32,
    /// R: running tasks.
    pub running: u32,
    /// t: median task duration in microseconds; `None` until two tasks have finished.
    pub median_duration_us: Option<f64>,
    /// P: performance.
    pub performance: f64,
}

impl JobActivity {
    /// Returns Q + R P, the denominator of equation 3: waiting tasks, and running tasks weighted by
    /// performance.
    pub(super) fn weighted_tasks(&self) -> f64 {
        f64::from(self.waiting) + f64::from(self.running) * self.performance
    }
}

/// Returns P, equation 5: 2 (1 - u / (t + u)) for the longest active task, where t is the sum of the median
/// phase durations of its job, and u the sum over the phases of the larger of elapsed time and median.
pub fn performance(medians: [Micros; 2], longest: [Micros; 2]) -> f64 {
    let t = (medians[0] + medians[1]) as f64;
    let u = (medians[0].max(longest[0]) + medians[1].max(longest[1])) as f64;
    if t + u <= 0.0 {
        return 1.0;
    }
    2.0 * (1.0 - u / (t + u))
}

/// Merges all controllers' counts of a job into t (the mean of their medians, weighted by finished tasks)
/// and P (the lowest of their values). Until two tasks have finished, t is `None` and P is 1.
pub fn merge_counts<'a>(counts: impl Iterator<Item = &'a JobTaskCounts>) -> (Option<f64>, f64) {
    let counts: Vec<&JobTaskCounts> = counts.collect();
    let finished: u64 = counts.iter().map(|count| u64::from(count.finished)).sum();
    if finished < 2 {
        return (None, 1.0);
    }
    let mut medians = [0u64; 2];
    for (phase, median) in medians.iter_mut().enumerate() {
        *median = counts
            .iter()
            .map(|count| count.median_durations[phase] * u64::from(count.finished))
            .sum::<u64>()
            / finished;
    }
    let performance = counts
        .iter()
        .map(|count| performance(medians, count.longest_durations))
        .fold(1.0, f64::min);
    (Some((medians[0] + medians[1]) as f64), performance)
}

/// Returns T, equation 4, for each job: its median divided by the largest median; 1 for jobs without a
/// median.
pub(super) fn max_median_ratios(jobs: &[JobActivity]) -> Vec<f64> {
    let max_median = jobs
        .iter()
        .filter_map(|job| job.median_duration_us)
        .fold(0.0, f64::max);
    jobs.iter()
        .map(|job| match job.median_duration_us {
            Some(t) if max_median > 0.0 && t > 0.0 => t / max_median,
            _ => 1.0,
        })
        .collect()
}

/// Returns w, equation 3, for each job: the fraction of its tasks that is pending, Q / (Q + R P), times T.
pub fn pending_fractions(jobs: &[JobActivity]) -> Vec<f64> {
    max_median_ratios(jobs)
        .iter()
        .zip(jobs)
        .map(|(max_median_ratio, job)| {
            let weighted_tasks = job.weighted_tasks();
            if weighted_tasks > 0.0 {
                f64::from(job.waiting) / weighted_tasks * max_median_ratio
            } else {
                0.0
            }
        })
        .collect()
}

/// Returns η, equation 1, the unfairness degree: the largest pending fraction minus the smallest.
pub fn unfairness_degree(fractions: &[f64]) -> f64 {
    if fractions.is_empty() {
        return 0.0;
    }
    let max = fractions.iter().copied().fold(f64::MIN, f64::max);
    max - min_pending_fraction(fractions)
}

/// Returns the smallest pending fraction.
pub(super) fn min_pending_fraction(fractions: &[f64]) -> f64 {
    fractions.iter().copied().fold(f64::MAX, f64::min)
}
