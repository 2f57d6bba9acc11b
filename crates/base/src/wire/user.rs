//! Protocol of users: submission, state and cancellation of jobs.
//!
//! Each themed wire name (`shape`, `rank`, `shards`, `bundle`, `loaners`, ...) is mapped to the field's term here,
//! once, by `serde` attributes.

use serde::{Deserialize, Serialize};

/// Body of a submission: POST to the collection.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Submission {
    /// Job id, `req-` and digits; the idempotency key of the submission.
    pub id: String,
    /// Job class, to which objectives apply.
    #[serde(rename = "jobclass")]
    pub class: String,
    /// Team to whose quota the job counts.
    #[serde(rename = "owner")]
    pub team: String,
    /// Array, gang or service.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Priority.
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
    /// Memory per task, in gigabytes.
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    /// Image that a machine fetches before a task starts.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image, in gigabytes.
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    /// Allowed machine types; `None` allows all.
    #[serde(default)]
    #[serde(rename = "rigs")]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone; `None` allows all.
    #[serde(default)]
    #[serde(rename = "yard")]
    pub zone: Option<String>,
    /// All tasks must be in one zone.
    #[serde(rename = "together")]
    pub single_zone: bool,
    /// At most half of the tasks may be in one zone.
    #[serde(rename = "scatter")]
    pub zone_spread: bool,
    /// Tasks may be placed on spot machines.
    #[serde(rename = "loaners")]
    pub allow_spot: bool,
    /// Estimated run time of a task, in seconds.
    #[serde(rename = "expected_s")]
    pub estimated_run_time_s: f64,
    /// Interval between checkpoints, in seconds; 0 if there are none.
    #[serde(rename = "bookmark_s")]
    pub checkpoint_interval_s: f64,
    /// Time that saving a checkpoint takes, in seconds.
    #[serde(rename = "flush_s")]
    pub checkpoint_save_time_s: f64,
    /// Time from the submission within which the job should be done, in seconds.
    #[serde(default)]
    #[serde(rename = "due_s")]
    pub deadline_s: Option<f64>,
    /// Jobs that must be done before any task of this one starts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "waits_on")]
    pub dependencies: Option<Vec<String>>,
}

/// Kind of a job.
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

/// Priority, highest first.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Production: before everything else.
    #[serde(rename = "critical")]
    Production,
    /// High: before normal work.
    #[serde(rename = "urgent")]
    High,
    /// The priority of most work.
    #[serde(rename = "normal")]
    Normal,
    /// Low: whatever is left.
    #[serde(rename = "idle")]
    Low,
}

/// State of a job as users see it.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// No task runs yet.
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
    /// State of the job.
    pub status: Status,
    /// Number of tasks that are done.
    #[serde(default)]
    pub done: u32,
    /// Number of tasks that run.
    #[serde(default)]
    pub running: u32,
    /// Dependencies that are not done yet.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "waits_on")]
    pub dependencies: Vec<String>,
}

/// Whether a job id is well formed: `req-` and up to 20 digits.
pub fn valid_id(id: &str) -> bool {
    id.strip_prefix("req-").is_some_and(|digits| {
        (1..=20).contains(&digits.len()) && digits.bytes().all(|byte| byte.is_ascii_digit())
    })
}

/// The job id in a body that is no valid submission, if there is one.
pub fn id_in(body: &[u8]) -> Option<String> {
    #[derive(Deserialize)]
    struct OnlyId {
        /// Job id.
        id: String,
    }
    super::decode(body).ok().map(|body: OnlyId| body.id)
}

/// What a path under the job prefix names.
pub enum Route<'a> {
    /// The collection of jobs.
    Submit,
    /// One job.
    Job(&'a str),
    /// The cancellation of one job.
    Cancel(&'a str),
}

/// Parses a path under the job prefix.
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
