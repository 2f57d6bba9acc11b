//! Service levels: what share of the jobs of each class and team is started and done. Jobs that ended are
//! added up in one stored value, which the leader writes; jobs that are active are counted as they stand.

use super::minimum_share::overdue_after;
use super::value_limit::fitting;
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
    /// Those of which a task was started.
    #[serde(rename = "s")]
    pub started: u64,
    /// Those that were done, and not cancelled.
    #[serde(rename = "d")]
    pub done: u64,
}

/// Totals of all jobs that ended up to a revision: one stored value.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceLevels {
    /// Revision of the state service up to which ends are counted.
    #[serde(rename = "r")]
    pub revision: u64,
    /// By class and team, see `class_and_team_key`.
    #[serde(rename = "e", default)]
    pub ended: BTreeMap<String, ClassTotals>,
}

/// The end of one job, as the cluster state saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct JobEnd {
    /// Revision at which its record was deleted.
    pub revision: u64,
    /// Class and team, see `class_and_team_key`.
    pub class_and_team: String,
    /// Whether a task was started.
    pub started: bool,
    /// Whether it was done.
    pub done: bool,
}

/// Class and team as one key. A class may hold any text, so the team comes first, and before it its length
/// in bytes says where it ends.
pub fn class_and_team_key(class: &str, team: &str) -> String {
    format!("{}:{team}{class}", team.len())
}

/// Class and team of such a key; `None` if it is not one.
pub fn parse_class_and_team(key: &str) -> Option<(&str, &str)> {
    let (team_bytes, team_and_class) = key.split_once(':')?;
    let team_bytes: usize = team_bytes.parse().ok()?;
    Some((
        team_and_class.get(team_bytes..)?,
        team_and_class.get(..team_bytes)?,
    ))
}

impl ServiceLevels {
    /// The value with the ends after its revision and up to `revision`, within `max_bytes`. Nothing is
    /// counted twice, whichever leader adds it. Not counted is what ended before a new leader had loaded
    /// the state and after the last one had written.
    pub fn with(
        &self,
        ends: impl Iterator<Item = JobEnd>,
        revision: u64,
        max_bytes: usize,
    ) -> ServiceLevels {
        let mut next = self.clone();
        for end in ends.filter(|end| end.revision > self.revision && end.revision <= revision) {
            let totals = next.ended.entry(end.class_and_team).or_default();
            totals.accepted += 1;
            totals.started += u64::from(end.started);
            totals.done += u64::from(end.done);
        }
        next.revision = revision;
        next.ended = fitting(next.ended, max_bytes, &|_, totals| totals.accepted);
        next
    }
}

/// Service level of one class of one team.
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
    /// Jobs of which no task was started in time for the objectives of the class.
    pub overdue: u64,
}

/// Whether a task of a job was ever started.
pub fn started(job: &Job) -> bool {
    job.placed > 0 || job.done > 0 || job.slots().any(|(_, task)| task.attempt() > 0)
}

/// Service levels of all classes and teams. A job that waits for its dependencies counts from when it may
/// start.
pub fn table(
    view: &ClusterState,
    objectives: &[Objective],
    wall_clock: Micros,
) -> Vec<ServiceLevelRow> {
    // With the ends that the stored value does not count yet.
    let levels = view
        .service_levels
        .with(view.recent_job_ends().cloned(), u64::MAX, usize::MAX);
    let mut rows: BTreeMap<(&str, &str), ServiceLevelRow> = BTreeMap::new();
    for (key, totals) in &levels.ended {
        if let Some(class_and_team) = parse_class_and_team(key) {
            let row = rows.entry(class_and_team).or_default();
            (row.accepted, row.started, row.done) = (totals.accepted, totals.started, totals.done);
        }
    }
    for job in view.jobs.values() {
        if !job.ready || job.cancelled() {
            continue;
        }
        let (class, team) = (&job.spec.class, &job.spec.team);
        let row = rows.entry((class, team)).or_default();
        row.accepted += 1;
        if started(job) {
            row.started += 1;
            continue;
        }
        let waited = wall_clock.saturating_sub(job.waiting_since);
        row.waiting += 1;
        row.oldest_s = row.oldest_s.max(waited as f64 / 1e6);
        row.overdue += u64::from(waited > overdue_after(objectives, class));
    }
    rows.into_iter()
        .map(|((class, team), row)| ServiceLevelRow {
            class: class.into(),
            team: team.into(),
            ..row
        })
        .collect()
}

/// For so long less than half must have started in time before it is logged: shorter dips are common
/// while machines are provisioned.
const LOG_DELAY: Micros = 60 * SECOND;

/// A class or team of which less than half started in time.
struct MissedObjective {
    /// Monotonic time.
    since: Micros,
    logged: bool,
}

/// Classes and teams of which less than half started in time. Owned by the leader's round.
#[derive(Default)]
pub struct ServiceLevelMonitor(HashMap<String, MissedObjective>);

/// Jobs of one class, or of one team.
#[derive(Default)]
struct StartedInTime {
    started: u64,
    /// Those that started, and those that are overdue.
    due: u64,
}

impl StartedInTime {
    fn less_than_half(&self) -> bool {
        2 * self.started < self.due
    }
}

impl ServiceLevelMonitor {
    /// Classes and teams of which less than half started in time for `LOG_DELAY`, each reported once,
    /// and the share that started. `now` is monotonic.
    pub fn missed_objectives(
        &mut self,
        rows: &[ServiceLevelRow],
        now: Micros,
    ) -> Vec<(String, f64)> {
        let mut scopes: BTreeMap<String, StartedInTime> = BTreeMap::new();
        for row in rows {
            for scope in [format!("class {}", row.class), format!("team {}", row.team)] {
                let jobs = scopes.entry(scope).or_default();
                jobs.started += row.started;
                jobs.due += row.started + row.overdue;
            }
        }
        scopes.retain(|_, jobs| jobs.less_than_half());
        self.0.retain(|scope, _| scopes.contains_key(scope));
        let mut newly_missed = Vec::new();
        for (scope, jobs) in scopes {
            let missed = self.0.entry(scope.clone()).or_insert(MissedObjective {
                since: now,
                logged: false,
            });
            if !missed.logged && now.saturating_sub(missed.since) >= LOG_DELAY {
                missed.logged = true;
                newly_missed.push((scope, jobs.started as f64 / jobs.due as f64));
            }
        }
        newly_missed
    }
}

#[cfg(test)]
mod tests;
