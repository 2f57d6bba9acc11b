//! Service levels: the share of the jobs of each class and team that is started and done. Totals of ended
//! jobs are kept in one stored value, which the leader writes; active jobs are counted from the cluster
//! state.

use super::minimum_share::overdue_after;
use super::value_limit::truncate_to_size;
use crate::settings::Objective;
use crate::store::cluster_state::{ClusterState, Job};
use crate::time::{Micros, SECOND};
use foldhash::HashMap;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Numbers of ended jobs of one class and team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassTotals {
    /// All ended jobs.
    #[serde(rename = "a")]
    pub accepted: u64,
    /// Jobs with at least one started task.
    #[serde(rename = "s")]
    pub started: u64,
    /// Jobs that were completed and not cancelled.
    #[serde(rename = "d")]
    pub done: u64,
}

/// Totals of all jobs that ended up to a revision. Stored as one value.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceLevels {
    /// Revision of the state service up to which job ends are counted.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Totals by class and team, see `class_and_team_key`.
    #[serde(rename = "e", default)]
    pub ended: BTreeMap<String, ClassTotals>,
}

/// The end of one job, as observed in the cluster state.
#[derive(Clone, Debug, PartialEq)]
pub struct JobEnd {
    /// Revision at which the job record was deleted.
    pub revision: u64,
    /// Class and team, see `class_and_team_key`.
    pub class_and_team: String,
    /// Whether at least one task was started.
    pub started: bool,
    /// Whether the job was completed.
    pub done: bool,
}

/// Returns class and team as one key. A class may contain any text, so the key starts with the length of
/// the team in bytes, followed by the team and the class.
pub fn class_and_team_key(class: &str, team: &str) -> String {
    format!("{}:{team}{class}", team.len())
}

/// Returns the class and team of a key made by `class_and_team_key`; `None` if the key is malformed.
pub fn parse_class_and_team(key: &str) -> Option<(&str, &str)> {
    let (team_bytes, team_and_class) = key.split_once(':')?;
    let team_bytes: usize = team_bytes.parse().ok()?;
    Some((
        team_and_class.get(team_bytes..)?,
        team_and_class.get(..team_bytes)?,
    ))
}

impl ServiceLevels {
    /// Returns the totals with the job ends added that are after the stored revision and not after
    /// `revision`, within `max_bytes`. The revision check prevents two leaders from counting an end twice.
    /// Jobs that end after the last write of the previous leader and before the new leader has loaded the
    /// state are not counted.
    pub fn with_job_ends(
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
        next.ended = truncate_to_size(next.ended, max_bytes, &|_, totals| totals.accepted);
        next
    }
}

/// Service level of one class of one team.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ServiceLevelRow {
    /// Job class.
    pub class: String,
    /// Team name.
    pub team: String,
    /// Number of accepted jobs.
    pub accepted: u64,
    /// Number of accepted jobs with at least one started task.
    pub started: u64,
    /// Number of completed jobs.
    pub done: u64,
    /// Number of jobs without a started task so far.
    pub waiting: u64,
    /// Waiting time of the oldest job without a started task, in seconds.
    pub oldest_s: f64,
    /// Number of jobs without a started task that have waited for longer than `overdue_after` of the class.
    pub overdue: u64,
}

/// Returns whether a task of a job was ever started.
pub fn has_started(job: &Job) -> bool {
    job.placed > 0 || job.done > 0 || job.last_attempt() > 0
}

/// Returns the service levels of all classes and teams. A job with dependencies is counted, and its waiting
/// time starts, only after these have finished.
pub fn service_level_rows(
    view: &ClusterState,
    objectives: &[Objective],
    wall_clock: Micros,
) -> Vec<ServiceLevelRow> {
    // Includes the job ends that the stored value does not count yet.
    let levels =
        view.service_levels
            .with_job_ends(view.recent_job_ends().cloned(), u64::MAX, usize::MAX);
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
        if has_started(job) {
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

/// Time for which less than half of the jobs must have started in time before this is logged. Shorter
/// periods are common while machines are provisioned.
const MISSED_OBJECTIVE_LOG_DELAY: Micros = 60 * SECOND;

/// A class or team of which less than half of the jobs started in time.
struct MissedObjective {
    /// Monotonic time since which the objective has been missed.
    since: Micros,
    logged: bool,
}

/// Classes and teams of which less than half of the jobs started in time. Owned by the leader's fairness
/// round.
#[derive(Default)]
pub struct ServiceLevelMonitor(HashMap<String, MissedObjective>);

/// Numbers of jobs of one class or of one team.
#[derive(Default)]
struct StartedInTime {
    started: u64,
    /// Jobs that started or are overdue.
    due: u64,
}

impl StartedInTime {
    fn less_than_half(&self) -> bool {
        2 * self.started < self.due
    }
}

impl ServiceLevelMonitor {
    /// Returns the classes and teams of which less than half of the jobs have started in time for
    /// `MISSED_OBJECTIVE_LOG_DELAY`, and the share that started. Each is reported once. `now` is a
    /// monotonic time.
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
            if !missed.logged && now.saturating_sub(missed.since) >= MISSED_OBJECTIVE_LOG_DELAY {
                missed.logged = true;
                newly_missed.push((scope, jobs.started as f64 / jobs.due as f64));
            }
        }
        newly_missed
    }
}

#[cfg(test)]
mod tests;
