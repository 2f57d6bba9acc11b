//! Users: submissions, states, withdrawals.

use serde::{Deserialize, Serialize};

/// Body of a submission.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Submission {
    /// Job id.
    pub id: String,
    /// Class of jobs.
    pub jobclass: String,
    /// Team.
    pub owner: String,
    /// Array, gang or service.
    pub shape: Shape,
    /// Class rank.
    pub rank: Rank,
    /// Number of tasks.
    pub shards: u32,
    /// CPUs per task.
    pub cores: f64,
    /// GPUs per task.
    pub accelerators: f64,
    /// Memory per task.
    pub ram_gb: f64,
    /// Image.
    pub bundle: String,
    /// Size of the image.
    pub size_gb: f64,
    /// Allowed machine types.
    #[serde(default)]
    pub rigs: Option<Vec<String>>,
    /// Only allowed zone.
    #[serde(default)]
    pub yard: Option<String>,
    /// All tasks in one zone.
    pub together: bool,
    /// At most half of the tasks in one zone.
    pub scatter: bool,
    /// May use spot machines.
    pub loaners: bool,
    /// Estimated run time.
    pub expected_s: f64,
    /// Checkpoint interval.
    pub bookmark_s: f64,
    /// Time to save.
    pub flush_s: f64,
    /// Deadline.
    #[serde(default)]
    pub due_s: Option<f64>,
    /// Jobs that must be done before any task of this one starts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub waits_on: Option<Vec<String>>,
}

/// Kinds of job on the wire.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub enum Shape {
    /// Independent tasks that run to completion.
    #[serde(rename = "batch")]
    Array,
    /// All tasks at once or none.
    #[serde(rename = "group")]
    Gang,
    /// Replicas until cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Class ranks on the wire, highest first.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rank {
    /// Production.
    #[serde(rename = "critical")]
    Production,
    /// High.
    #[serde(rename = "urgent")]
    High,
    /// Normal.
    #[serde(rename = "normal")]
    Normal,
    /// Low.
    #[serde(rename = "idle")]
    Low,
}

/// State of a job as users see it.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// No task runs.
    Pending,
    /// Some task runs.
    Running,
    /// All tasks are done.
    Done,
    /// Cancelled by its user.
    Cancelled,
}

/// Answer about a job.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct JobAnswer {
    /// Job id.
    pub id: String,
    /// State.
    pub status: Status,
    /// Tasks done.
    #[serde(default)]
    pub done: u32,
    /// Tasks running.
    #[serde(default)]
    pub running: u32,
    /// Jobs that it still waits for.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub waits_on: Vec<String>,
}

/// Whether an id has the only form that ids have: `req-` and digits.
pub fn valid_id(id: &str) -> bool {
    id.strip_prefix("req-")
        .is_some_and(|d| (1..=20).contains(&d.len()) && d.bytes().all(|b| b.is_ascii_digit()))
}

/// The id that a body names which is no submission, if it names one.
pub fn id_in(body: &[u8]) -> Option<String> {
    #[derive(Deserialize)]
    struct Named {
        id: String,
    }
    super::decode(body).ok().map(|n: Named| n.id)
}

/// Where a path under the job prefix leads.
pub enum Route<'a> {
    /// The collection.
    Submit,
    /// One job.
    Job(&'a str),
    /// Its withdrawal.
    Withdraw(&'a str),
}

/// Reads a job path.
pub fn route(path: &str) -> Option<Route<'_>> {
    let rest = path.strip_prefix("/api/jobs")?;
    if rest.is_empty() {
        return Some(Route::Submit);
    }
    let rest = rest.strip_prefix('/')?;
    match rest.split_once('/') {
        None if !rest.is_empty() => Some(Route::Job(rest)),
        Some((id, "withdraw")) => Some(Route::Withdraw(id)),
        _ => None,
    }
}
