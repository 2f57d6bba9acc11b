//! Users: submissions, states, withdrawals.

use serde::{Deserialize, Serialize};

/// Body of a submission.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Submission {
    /// Job id.
    pub id: String,
    /// Class of jobs.
    #[serde(rename = "jobclass")]
    pub class: String,
    /// Team.
    #[serde(rename = "owner")]
    pub team: String,
    /// Array, gang or service.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Class rank.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "shards")]
    pub task_count: u32,
    /// CPUs per task.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs per task.
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// Memory per task.
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    /// Image.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image.
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    /// Allowed machine types.
    #[serde(default)]
    #[serde(rename = "rigs")]
    pub machine_types: Option<Vec<String>>,
    /// Only allowed zone.
    #[serde(default)]
    #[serde(rename = "yard")]
    pub zone: Option<String>,
    /// All tasks in one zone.
    #[serde(rename = "together")]
    pub single_zone: bool,
    /// At most half of the tasks in one zone.
    #[serde(rename = "scatter")]
    pub zone_spread: bool,
    /// May use spot machines.
    #[serde(rename = "loaners")]
    pub allow_spot: bool,
    /// Estimated run time.
    #[serde(rename = "expected_s")]
    pub estimated_run_time_s: f64,
    /// Checkpoint interval.
    #[serde(rename = "bookmark_s")]
    pub checkpoint_interval_s: f64,
    /// Time to save.
    #[serde(rename = "flush_s")]
    pub checkpoint_save_time_s: f64,
    /// Deadline.
    #[serde(default)]
    #[serde(rename = "due_s")]
    pub deadline_s: Option<f64>,
    /// Jobs that must be done before any task of this one starts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "waits_on")]
    pub dependencies: Option<Vec<String>>,
}

/// Kinds of job on the wire.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub enum JobKind {
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
pub enum Priority {
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
    #[serde(rename = "waits_on")]
    pub dependencies: Vec<String>,
}

/// Whether an id has the only form that ids have: `req-` and digits.
pub fn valid_id(id: &str) -> bool {
    id.strip_prefix("req-")
        .is_some_and(|d| (1..=20).contains(&d.len()) && d.bytes().all(|b| b.is_ascii_digit()))
}

/// The id that a body names which is no submission, if it names one.
pub fn id_in(body: &[u8]) -> Option<String> {
    #[derive(Deserialize)]
    struct DependencyCheck {
        id: String,
    }
    super::decode(body).ok().map(|n: DependencyCheck| n.id)
}

/// Where a path under the job prefix leads.
pub enum Route<'a> {
    /// The collection.
    Submit,
    /// One job.
    Job(&'a str),
    /// Its withdrawal.
    Cancel(&'a str),
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
        Some((id, "withdraw")) => Some(Route::Cancel(id)),
        _ => None,
    }
}
