//! Fairness: the paper's control loop. Pending fractions, unfairness, raises.

pub mod minimum_share;
pub mod rounds;
pub mod service_levels;

use crate::time::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What one controller knows about one job from its machines' reports.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobCount {
    /// Finished tasks measured.
    #[serde(rename = "n")]
    pub finished: u32,
    /// Median of each phase of finished tasks: image fetch, run.
    #[serde(rename = "m")]
    pub medians: [Micros; 2],
    /// Phases of the active task that has taken longest.
    #[serde(rename = "u")]
    pub longest: [Micros; 2],
}

/// One controller's value of counts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// By job.
    #[serde(rename = "j")]
    pub jobs: BTreeMap<String, JobCount>,
}

/// The raises of one round, one value.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PriorityBoosts {
    /// By job: how many waiting tasks, and to which priority.
    #[serde(rename = "j", default)]
    pub jobs: BTreeMap<String, (u32, u32)>,
}

/// An active job as the loop sees it: Q, R, t and P of the design.
#[derive(Clone, Debug, PartialEq)]
pub struct JobActivity {
    /// Job.
    pub id: String,
    /// Q: waiting tasks.
    pub waiting: u32,
    /// R: running tasks.
    pub running: u32,
    /// t: median duration, once two tasks finished.
    pub median: Option<f64>,
    /// P: performance.
    pub performance: f64,
}

/// P of equation 5 for the longest active task: 2 (1 - u / (t + u)), where u takes for each phase
/// the larger of what elapsed and the median.
pub fn performance(medians: [Micros; 2], longest: [Micros; 2]) -> f64 {
    let t = (medians[0] + medians[1]) as f64;
    let u = (medians[0].max(longest[0]) + medians[1].max(longest[1])) as f64;
    if t + u <= 0.0 {
        return 1.0;
    }
    2.0 * (1.0 - u / (t + u))
}

/// Merges the controllers' counts of a job into t and P. Both stay 1 until two tasks finished.
pub fn merge<'a>(counts: impl Iterator<Item = &'a JobCount>) -> (Option<f64>, f64) {
    let list: Vec<&JobCount> = counts.collect();
    let n: u64 = list.iter().map(|c| u64::from(c.finished)).sum();
    if n < 2 {
        return (None, 1.0);
    }
    let mut medians = [0u64; 2];
    for (k, m) in medians.iter_mut().enumerate() {
        *m = list
            .iter()
            .map(|c| c.medians[k] * u64::from(c.finished))
            .sum::<u64>()
            / n;
    }
    let p = list
        .iter()
        .map(|c| performance(medians, c.longest))
        .fold(1.0, f64::min);
    (Some((medians[0] + medians[1]) as f64), p)
}

/// T of equation 4 for each activity.
fn relative(list: &[JobActivity]) -> Vec<f64> {
    let max = list.iter().filter_map(|a| a.median).fold(0.0, f64::max);
    list.iter()
        .map(|a| match a.median {
            Some(t) if max > 0.0 && t > 0.0 => t / max,
            _ => 1.0,
        })
        .collect()
}

/// w of equation 3 for each activity.
pub fn pending(list: &[JobActivity]) -> Vec<f64> {
    relative(list)
        .iter()
        .zip(list)
        .map(|(t, a)| {
            let q = f64::from(a.waiting);
            let d = q + f64::from(a.running) * a.performance;
            if d > 0.0 { q / d * t } else { 0.0 }
        })
        .collect()
}

/// The unfairness degree, equation 1.
pub fn unfairness(w: &[f64]) -> f64 {
    let max = w.iter().copied().fold(f64::MIN, f64::max);
    let min = w.iter().copied().fold(f64::MAX, f64::min);
    if w.is_empty() { 0.0 } else { max - min }
}

/// One round of algorithms 1 and 2: Δ of equation 6 for each job above the threshold, raised above
/// the highest priority in use. Raises of earlier rounds stand while their tasks wait.
pub fn round(list: &[JobActivity], threshold: f64, before: &PriorityBoosts) -> PriorityBoosts {
    let mut out = PriorityBoosts::default();
    for a in list {
        if let Some((n, p)) = before.jobs.get(&a.id)
            && a.waiting > 0
        {
            out.jobs.insert(a.id.clone(), ((*n).min(a.waiting), *p));
        }
    }
    let w = pending(list);
    if unfairness(&w) <= threshold {
        return out;
    }
    // Priorities in use, made dense, so that they do not grow for ever.
    let mut used: Vec<u32> = out.jobs.values().map(|(_, p)| *p).collect();
    used.sort_unstable();
    used.dedup();
    for (_, p) in out.jobs.values_mut() {
        *p = used.binary_search(p).unwrap_or(0) as u32 + 2;
    }
    let top = used.len() as u32 + 2;
    let min = w.iter().copied().fold(f64::MAX, f64::min);
    let t = relative(list);
    for ((a, w), t) in list.iter().zip(&w).zip(&t) {
        if w - min <= threshold || *t <= 0.0 {
            continue;
        }
        let d = f64::from(a.waiting) + f64::from(a.running) * a.performance;
        let keep = ((threshold + min) * d / t).floor();
        let delta = (f64::from(a.waiting) - keep).max(0.0) as u32;
        if delta > 0 {
            out.jobs.insert(a.id.clone(), (delta, top));
        }
    }
    out
}

#[cfg(test)]
mod tests;
