//! Starvation protection: a minimum share for classes of lower priority. Higher priorities are strongly
//! preferred, but where a class of higher priority always has work for the whole capacity (a team at its
//! quota, a full cluster), a class of lower priority would never run.
//!
//! Follows the paper's method: classes are compared by their fraction of pending work and waiting tasks are
//! boosted; running tasks are not changed.

use crate::settings::Objective;
use crate::time::{Micros, SECOND};
use crate::wire::user::Priority;

/// Share of the capacity used by a scope's arrays that all its starved classes together get.
pub const MINIMUM_SHARE: f64 = 1.0 / 3.0;
/// Share of the longest objective of its class after which a job is overdue; it can still meet that
/// objective.
const OVERDUE_OBJECTIVE_SHARE: f64 = 0.3;
/// Time after which a job is overdue if its class has no objectives.
const DEFAULT_OVERDUE_DELAY: Micros = 120 * SECOND;

/// Arrays of one class within one scope. A scope is a team that is limited by its quota, or all other
/// teams together. CPUs are in thousandths.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassDemand {
    /// Priority of the class.
    pub priority: Priority,
    /// Q: CPUs requested by waiting tasks.
    pub waiting_millicpus: i64,
    /// R: CPUs used by running tasks.
    pub running_millicpus: i64,
    /// t: run time of a task in microseconds: the mean of the users' estimates, weighted by CPUs.
    pub mean_run_time_us: f64,
    /// Whether a job of the class has waited for longer than `overdue_after`.
    pub overdue: bool,
}

impl ClassDemand {
    /// Adds a job of the class, given its CPUs and the estimated run time of its tasks.
    pub fn add(&mut self, waiting: i64, running: i64, estimate: Micros) {
        let (old, new) = (
            self.waiting_millicpus + self.running_millicpus,
            waiting + running,
        );
        if new > 0 {
            let sum = self.mean_run_time_us * old as f64 + estimate as f64 * new as f64;
            self.mean_run_time_us = sum / (old + new) as f64;
        }
        self.waiting_millicpus += waiting;
        self.running_millicpus += running;
    }

    /// Returns w of equation 3 with P = 1: the fraction of the class's work that is pending, times T of
    /// equation 4, its t divided by the largest t.
    fn pending_fraction(&self, max_run_time_us: f64) -> f64 {
        let all = self.waiting_millicpus + self.running_millicpus;
        if all == 0 {
            return 0.0;
        }
        let max_median_ratio = if max_run_time_us > 0.0 {
            self.mean_run_time_us / max_run_time_us
        } else {
            1.0
        };
        self.waiting_millicpus as f64 / all as f64 * max_median_ratio
    }

    /// Returns whether a job of the class is overdue while a running class of higher priority has a smaller
    /// fraction of its work pending.
    fn is_starved(&self, classes: &[ClassDemand], max_run_time_us: f64) -> bool {
        let mut higher_priority_classes = classes
            .iter()
            .filter(|other| other.priority < self.priority && other.running_millicpus > 0);
        let fraction = self.pending_fraction(max_run_time_us);
        self.overdue
            && self.waiting_millicpus > 0
            && higher_priority_classes
                .any(|other| other.pending_fraction(max_run_time_us) < fraction)
    }
}

/// Returns the time for which a job of a class may wait before it is overdue and its class can count as
/// starved.
pub fn overdue_after(objectives: &[Objective], class: &str) -> Micros {
    objectives
        .iter()
        .filter(|objective| objective.class == class)
        .map(|objective| objective.within)
        .max()
        .map_or(DEFAULT_OVERDUE_DELAY, |longest| {
            (longest as f64 * OVERDUE_OBJECTIVE_SHARE) as Micros
        })
}

/// Returns for each class the CPUs, in thousandths, that its waiting tasks may use now as if they had the
/// highest priority among arrays. All starved classes together get `MINIMUM_SHARE` of the CPUs in use, in
/// equal parts, minus the CPUs that they use already: a class that uses its part is not raised above its
/// priority.
pub fn minimum_share(classes: &[ClassDemand]) -> Vec<i64> {
    let max_run_time_us = classes
        .iter()
        .map(|class| class.mean_run_time_us)
        .fold(0.0, f64::max);
    let is_starved = |class: &&ClassDemand| class.is_starved(classes, max_run_time_us);
    let running: i64 = classes.iter().map(|class| class.running_millicpus).sum();
    let starved_classes = classes.iter().filter(is_starved).count().max(1) as i64;
    let share_per_class = (running as f64 * MINIMUM_SHARE) as i64 / starved_classes;
    classes
        .iter()
        .map(|class| match is_starved(&class) {
            true => (share_per_class - class.running_millicpus).clamp(0, class.waiting_millicpus),
            false => 0,
        })
        .collect()
}

#[cfg(test)]
mod tests;
