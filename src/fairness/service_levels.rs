//! What share of each class and team is served, from the state alone: jobs that ended are added up in one
//! value, the others are counted as they stand.

use super::minimum_share::patience;
use super::rounds::fitting;
use crate::settings::Objective;
use crate::store::cluster_state::{ClusterState, Job};
use crate::time::{Micros, SECOND};
use foldhash::HashMap;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Jobs of one class and team that ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassTotals {
    /// All of them.
    #[serde(rename = "a")]
    pub accepted: u64,
    /// Of which a task was started.
    #[serde(rename = "s")]
    pub started: u64,
    /// Done, and not withdrawn.
    #[serde(rename = "d")]
    pub done: u64,
}

/// The value that the leader writes: everything that ended up to a revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceLevels {
    /// Revision up to which it counts.
    #[serde(rename = "r")]
    pub revision: u64,
    /// By class and team, see `name`.
    #[serde(rename = "e", default)]
    pub ended: BTreeMap<String, ClassTotals>,
}

/// One end of a job, as the view saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct JobEnd {
    /// Revision at which its record went.
    pub revision: u64,
    /// Class and team, see `name`.
    pub name: String,
    /// Whether a task was started.
    pub started: bool,
    /// Whether it was done.
    pub done: bool,
}

/// How class and team stand together in one key: a class holds any text, so the team comes first and its
/// length says where it ends.
pub fn name(class: &str, team: &str) -> String {
    format!("{}:{team}{class}", team.len())
}

/// Class and team of such a key.
pub fn parse(name: &str) -> Option<(&str, &str)> {
    let (n, rest) = name.split_once(':')?;
    let n: usize = n.parse().ok()?;
    Some((rest.get(n..)?, rest.get(..n)?))
}

impl ServiceLevels {
    /// What it becomes with the ends after its revision. Nothing is counted twice, whichever leader adds
    /// them up. What ended before a new leader had read the state, and no older one had added, is lost.
    pub fn with(
        &self,
        ends: impl Iterator<Item = JobEnd>,
        rev: u64,
        bytes: usize,
    ) -> ServiceLevels {
        let mut out = self.clone();
        for e in ends.filter(|e| e.revision > self.revision && e.revision <= rev) {
            let x = out.ended.entry(e.name).or_default();
            x.accepted += 1;
            x.started += u64::from(e.started);
            x.done += u64::from(e.done);
        }
        out.revision = rev;
        out.ended = fitting(out.ended, bytes, &|_, x| x.accepted);
        out
    }
}

/// What one class of one team came to.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ServiceLevelRow {
    /// Class.
    pub class: String,
    /// Team.
    pub team: String,
    /// Jobs accepted.
    pub accepted: u64,
    /// Of these, jobs of which a task was started.
    pub started: u64,
    /// Jobs done.
    pub done: u64,
    /// Jobs of which no task was started yet.
    pub waiting: u64,
    /// How long the oldest of these has waited, in seconds.
    pub oldest_s: f64,
    /// Jobs of which no task was started although it is time, by the aims of the class.
    pub overdue: u64,
}

/// Whether a task of a job was ever started.
pub fn started(j: &Job) -> bool {
    j.placed > 0 || j.done > 0 || j.slots().any(|(_, s)| s.attempt() > 0)
}

/// All classes and teams. What waits for other jobs counts from when it may start.
pub fn table(v: &ClusterState, objectives: &[Objective], wall: Micros) -> Vec<ServiceLevelRow> {
    // With the ends that the value does not count yet.
    let all = v
        .service_levels
        .with(v.recent_job_ends().cloned(), u64::MAX, usize::MAX);
    let mut rows: BTreeMap<(&str, &str), ServiceLevelRow> = BTreeMap::new();
    for (key, e) in &all.ended {
        if let Some(k) = parse(key) {
            let r = rows.entry(k).or_default();
            (r.accepted, r.started, r.done) = (e.accepted, e.started, e.done);
        }
    }
    for j in v.jobs.values().filter(|j| j.ready && !j.cancelled()) {
        let r = rows.entry((&j.spec.class, &j.spec.team)).or_default();
        r.accepted += 1;
        if started(j) {
            r.started += 1;
            continue;
        }
        let age = wall.saturating_sub(j.waiting_since);
        r.waiting += 1;
        r.oldest_s = r.oldest_s.max(age as f64 / 1e6);
        r.overdue += u64::from(age > patience(objectives, &j.spec.class));
    }
    rows.into_iter()
        .map(|((class, team), r)| ServiceLevelRow {
            class: class.into(),
            team: team.into(),
            ..r
        })
        .collect()
}

/// Less than half served for so long is said in the log.
const TOLD_AFTER: Micros = 60 * SECOND;

/// Since when each class and each team is below half, and whether that was said.
#[derive(Default)]
pub struct ServiceLevelMonitor(HashMap<String, (Micros, bool)>);

impl ServiceLevelMonitor {
    /// Classes and teams of which less than half was started in time, for a minute now, and that were not
    /// named before; with their shares.
    pub fn missed_objectives(
        &mut self,
        rows: &[ServiceLevelRow],
        now: Micros,
    ) -> Vec<(String, f64)> {
        let mut sums: BTreeMap<String, (u64, u64)> = BTreeMap::new();
        for r in rows {
            for who in [format!("class {}", r.class), format!("team {}", r.team)] {
                let s = sums.entry(who).or_default();
                s.0 += r.started;
                s.1 += r.started + r.overdue;
            }
        }
        let low = |s: &(u64, u64)| 2 * s.0 < s.1;
        self.0.retain(|who, _| sums.get(who).is_some_and(low));
        let mut out = Vec::new();
        for (who, s) in sums.into_iter().filter(|(_, s)| low(s)) {
            let w = self.0.entry(who.clone()).or_insert((now, false));
            if !w.1 && now.saturating_sub(w.0) >= TOLD_AFTER {
                w.1 = true;
                out.push((who, s.0 as f64 / s.1 as f64));
            }
        }
        out
    }
}

#[cfg(test)]
mod tests;
