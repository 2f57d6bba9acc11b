//! Starvation protection: a minimum share for classes of lower priority. Priority is a strong preference,
//! but where a class of higher priority always has work for all the capacity there is (a team at its
//! quota, a full cluster), a lower one would never run.
//!
//! In the spirit of the paper's method: classes are compared by their fraction of pending work, waiting
//! tasks are boosted, running ones are not touched.

use crate::settings::Objective;
use crate::time::{Micros, SECOND};
use crate::wire::user::Priority;

/// Of the capacity in which the arrays of a scope run, all starved classes together get this share.
pub const SHARE: f64 = 1.0 / 3.0;
/// A job is overdue after this share of the widest objective of its class: it could still meet that.
const OVERDUE_SHARE: f64 = 0.3;
/// When a job is overdue whose class has no objectives.
const OVERDUE_WITHOUT_OBJECTIVES: Micros = 120 * SECOND;

/// The arrays of one class within one scope: a team whose quota binds, or everybody else. CPUs in
/// thousandths.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassDemand {
    /// Priority of the class.
    pub priority: Priority,
    /// Q: CPUs that its waiting tasks would use.
    pub waiting: i64,
    /// R: CPUs that its running tasks use.
    pub running: i64,
    /// t: how long a task of it runs, in microseconds: its users' estimates, as the mean over its CPUs.
    pub mean_run_time_us: f64,
    /// Whether one of its jobs has waited for longer than `overdue_after`.
    pub overdue: bool,
}

impl ClassDemand {
    /// Adds a job of the class: its CPUs, and the estimated run time of its tasks.
    pub fn add(&mut self, waiting: i64, running: i64, estimate: Micros) {
        let (old, new) = (self.waiting + self.running, waiting + running);
        if new > 0 {
            let sum = self.mean_run_time_us * old as f64 + estimate as f64 * new as f64;
            self.mean_run_time_us = sum / (old + new) as f64;
        }
        self.waiting += waiting;
        self.running += running;
    }

    /// w of equation 3 with P = 1: the fraction of its work that is pending, times T of equation 4, its t
    /// over the largest.
    fn pending(&self, max_run_time_us: f64) -> f64 {
        let all = self.waiting + self.running;
        if all == 0 {
            return 0.0;
        }
        let max_median_ratio = if max_run_time_us > 0.0 {
            self.mean_run_time_us / max_run_time_us
        } else {
            1.0
        };
        self.waiting as f64 / all as f64 * max_median_ratio
    }

    /// Whether a job of it is overdue although a class of higher priority that runs has less of its work
    /// pending.
    fn is_starved(&self, classes: &[ClassDemand], max_run_time_us: f64) -> bool {
        let mut preferred = classes
            .iter()
            .filter(|other| other.priority < self.priority && other.running > 0);
        let fraction = self.pending(max_run_time_us);
        self.overdue
            && self.waiting > 0
            && preferred.any(|other| other.pending(max_run_time_us) < fraction)
    }
}

/// How long a job of a class may wait before it is overdue, and its class counts as starved.
pub fn overdue_after(objectives: &[Objective], class: &str) -> Micros {
    objectives
        .iter()
        .filter(|objective| objective.class == class)
        .map(|objective| objective.within)
        .max()
        .map_or(OVERDUE_WITHOUT_OBJECTIVES, |widest| {
            (widest as f64 * OVERDUE_SHARE) as Micros
        })
}

/// For each class the CPUs, in thousandths, that its waiting tasks may use now as if they had the highest
/// priority among arrays. All starved classes together get `SHARE` of what runs, less what they run
/// already: a class that runs its part gets nothing ahead of its priority.
pub fn minimum_share(classes: &[ClassDemand]) -> Vec<i64> {
    let max_run_time_us = classes
        .iter()
        .map(|class| class.mean_run_time_us)
        .fold(0.0, f64::max);
    let is_starved = |class: &&ClassDemand| class.is_starved(classes, max_run_time_us);
    let running: i64 = classes.iter().map(|class| class.running).sum();
    let starved_classes = classes.iter().filter(is_starved).count().max(1) as i64;
    let share_each = (running as f64 * SHARE) as i64 / starved_classes;
    classes
        .iter()
        .map(|class| match is_starved(&class) {
            true => (share_each - class.running).clamp(0, class.waiting),
            false => 0,
        })
        .collect()
}

#[cfg(test)]
mod tests;
