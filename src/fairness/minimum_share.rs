//! A floor for classes that rank keeps waiting. Rank is a strong preference, and not starvation without
//! end: where a class of higher rank always has work for all the room there is (a team at its limit, a
//! full fleet), a lower one would never get a turn.
//!
//! In the spirit of the paper's method: classes are compared by their fraction of pending work, waiting
//! tasks are raised, running ones are not touched.

use crate::settings::Objective;
use crate::time::{Micros, SECOND};
use crate::wire::user::Priority;

/// Of the room in which the arrays of a scope run, all starved classes together get this share.
pub const SHARE: f64 = 1.0 / 3.0;
/// A job is overdue after this share of the widest aim of its class: it could still meet that.
const PATIENCE: f64 = 0.3;
/// The same for classes without aims.
const WITHOUT_AIMS: Micros = 120 * SECOND;

/// The arrays of one class within one scope: the team whose limit binds, or everybody else. CPUs in
/// thousandths.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassDemand {
    /// Rank of the class.
    pub rank: Priority,
    /// Q: what its waiting tasks would take.
    pub waiting: i64,
    /// R: what its running tasks take.
    pub running: i64,
    /// t: how long a task of it runs, by its users' estimates, as the mean over its CPUs.
    pub time: f64,
    /// Whether one of its jobs has waited longer than `patience`.
    pub overdue: bool,
}

impl ClassDemand {
    /// One more job of the class.
    pub fn add(&mut self, waiting: i64, running: i64, estimate: Micros) {
        let (old, new) = (self.waiting + self.running, waiting + running);
        if new > 0 {
            let sum = self.time * old as f64 + estimate as f64 * new as f64;
            self.time = sum / (old + new) as f64;
        }
        self.waiting += waiting;
        self.running += running;
    }

    /// w of equation 3, P being 1: the fraction of its work that is pending, times T of equation 4, its
    /// t over the largest.
    fn pending(&self, longest: f64) -> f64 {
        let all = self.waiting + self.running;
        if all == 0 {
            return 0.0;
        }
        let t = if longest > 0.0 {
            self.time / longest
        } else {
            1.0
        };
        self.waiting as f64 / all as f64 * t
    }
}

/// How long a job of a class may wait before its class counts as starved.
pub fn patience(objectives: &[Objective], class: &str) -> Micros {
    let aims = objectives.iter().filter(|o| o.class == class);
    let widest = aims.map(|o| o.within).max();
    widest.map_or(WITHOUT_AIMS, |w| (w as f64 * PATIENCE) as Micros)
}

/// For each class the CPUs that its waiting tasks may take now as if they had the highest rank among
/// arrays. A class is starved if a job of it is overdue and one of higher rank has less of its work
/// pending. All starved classes together get `SHARE` of what runs, less what they run already: whoever
/// runs that much gets nothing ahead of its rank.
pub fn minimum_share(list: &[ClassDemand]) -> Vec<i64> {
    let longest = list.iter().map(|s| s.time).fold(0.0, f64::max);
    let starved = |s: &ClassDemand| {
        let mut higher = list.iter().filter(|h| h.rank < s.rank && h.running > 0);
        s.overdue && s.waiting > 0 && higher.any(|h| h.pending(longest) < s.pending(longest))
    };
    let running: i64 = list.iter().map(|s| s.running).sum();
    let n = list.iter().filter(|s| starved(s)).count().max(1) as i64;
    let each = (running as f64 * SHARE) as i64 / n;
    list.iter()
        .map(|s| match starved(s) {
            true => (each - s.running).clamp(0, s.waiting),
            false => 0,
        })
        .collect()
}

#[cfg(test)]
mod tests;
