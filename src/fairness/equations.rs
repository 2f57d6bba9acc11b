//! The paper's equations 1 and 3 to 5, in its letters: each with its number and a full name. Pure.
//!
//! | letter | name | here |
//! | --- | --- | --- |
//! | Q | waiting tasks | `JobActivity::waiting` |
//! | R | running tasks | `JobActivity::running` |
//! | t | median task duration | `JobActivity::median` |
//! | T | max-median ratio | `max_median_ratios` |
//! | P | performance | `performance` |
//! | u | duration of the longest active task | in `performance` |
//! | w | pending fraction | `pending` |
//! | η | unfairness degree | `unfairness` |

use super::JobCount;
use crate::time::Micros;

/// An active job as the control loop sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct JobActivity {
    /// Job.
    pub id: String,
    /// Q: waiting tasks.
    pub waiting: u32,
    /// R: running tasks.
    pub running: u32,
    /// t: median duration in microseconds, once two tasks finished.
    pub median: Option<f64>,
    /// P: performance.
    pub performance: f64,
}

impl JobActivity {
    /// Q + R P, the denominator of equation 3: waiting tasks, and running ones by their performance.
    pub(super) fn weighted_tasks(&self) -> f64 {
        f64::from(self.waiting) + f64::from(self.running) * self.performance
    }
}

/// P, equation 5: 2 (1 - u / (t + u)) for the longest active task, where t is the sum of its job's median
/// phases and u takes for each phase the larger of what elapsed and the median.
pub fn performance(medians: [Micros; 2], longest: [Micros; 2]) -> f64 {
    let t = (medians[0] + medians[1]) as f64;
    let u = (medians[0].max(longest[0]) + medians[1].max(longest[1])) as f64;
    if t + u <= 0.0 {
        return 1.0;
    }
    2.0 * (1.0 - u / (t + u))
}

/// Merges all controllers' counts of a job into t (the mean of their medians, weighted by finished tasks)
/// and P (the lowest of theirs). Until two tasks finished there is no t, and P is 1.
pub fn merge<'a>(counts: impl Iterator<Item = &'a JobCount>) -> (Option<f64>, f64) {
    let counts: Vec<&JobCount> = counts.collect();
    let finished: u64 = counts.iter().map(|count| u64::from(count.finished)).sum();
    if finished < 2 {
        return (None, 1.0);
    }
    let mut medians = [0u64; 2];
    for (phase, median) in medians.iter_mut().enumerate() {
        *median = counts
            .iter()
            .map(|count| count.medians[phase] * u64::from(count.finished))
            .sum::<u64>()
            / finished;
    }
    let performance = counts
        .iter()
        .map(|count| performance(medians, count.longest))
        .fold(1.0, f64::min);
    (Some((medians[0] + medians[1]) as f64), performance)
}

/// T, equation 4, for each job: its median over the largest median; 1 for jobs without one.
pub(super) fn max_median_ratios(jobs: &[JobActivity]) -> Vec<f64> {
    let max_median = jobs.iter().filter_map(|job| job.median).fold(0.0, f64::max);
    jobs.iter()
        .map(|job| match job.median {
            Some(t) if max_median > 0.0 && t > 0.0 => t / max_median,
            _ => 1.0,
        })
        .collect()
}

/// w, equation 3, for each job: the fraction of its tasks that is pending, Q / (Q + R P), times T.
pub fn pending(jobs: &[JobActivity]) -> Vec<f64> {
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

/// η, equation 1, the unfairness degree: the largest pending fraction less the smallest.
pub fn unfairness(pending_fractions: &[f64]) -> f64 {
    if pending_fractions.is_empty() {
        return 0.0;
    }
    let max = pending_fractions.iter().copied().fold(f64::MIN, f64::max);
    max - min_pending_fraction(pending_fractions)
}

/// The smallest of the pending fractions.
pub(super) fn min_pending_fraction(pending_fractions: &[f64]) -> f64 {
    pending_fractions.iter().copied().fold(f64::MAX, f64::min)
}
