//! Protocol of the user API: submission, state and cancellation of jobs.
//!
//! `serde` attributes map each wire name (`shape`, `rank`, `shards`, `bundle`, `loaners`, ...) to a standard term, here
//! only.

use serde::de::{Error, IgnoredAny, MapAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};
use std::fmt;

/// Name of the field of a submission with the job's id.
const JOB_ID_FIELD: &str = "id";

/// Body of a submission: POST to the collection.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Submission {
    /// Job id: `req-` and digits. It is the idempotency key of the submission.
    pub id: String,
    /// Job class, which determines the service-level objectives.
    #[serde(rename = "jobclass")]
    pub class: String,
    /// Team whose quota the job uses.
    #[serde(rename = "owner")]
    pub team: String,
    /// Kind: array, gang or service.
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
    /// Required zone; `None` allows all.
    #[serde(default)]
    #[serde(rename = "yard")]
    pub zone: Option<String>,
    /// Whether all tasks must be in one zone.
    #[serde(rename = "together")]
    pub single_zone: bool,
    /// Whether at most half of the tasks may be in one zone.
    #[serde(rename = "scatter")]
    pub zone_spread: bool,
    /// Whether tasks may be placed on spot machines.
    #[serde(rename = "loaners")]
    pub allow_spot: bool,
    /// Estimated run time of a task, in seconds.
    #[serde(rename = "expected_s")]
    pub estimated_run_time_s: f64,
    /// Interval between checkpoints, in seconds; 0 if there are none.
    #[serde(rename = "bookmark_s")]
    pub checkpoint_interval_s: f64,
    /// Time needed to save a checkpoint, in seconds.
    #[serde(rename = "flush_s")]
    pub checkpoint_save_time_s: f64,
    /// Deadline: time from submission within which the job should be done, in seconds.
    #[serde(default)]
    #[serde(rename = "due_s")]
    pub deadline_s: Option<f64>,
    /// Jobs that must be done before any task of this job starts.
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
    /// Tasks that are started all together or not at all.
    #[serde(rename = "group")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priority of a job, highest first.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Production: scheduled before all other priorities.
    #[serde(rename = "critical")]
    Production,
    /// High: scheduled before normal jobs.
    #[serde(rename = "urgent")]
    High,
    /// Normal: the priority of most jobs.
    #[serde(rename = "normal")]
    Normal,
    /// Low: scheduled on the remaining capacity.
    #[serde(rename = "idle")]
    Low,
}

/// State of a job, as reported to users.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// No task is running yet.
    Pending,
    /// At least one task is running.
    Running,
    /// All tasks are done.
    Done,
    /// Cancelled by its user.
    Cancelled,
}

/// Response with the state of a job.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct JobAnswer {
    /// Job id.
    pub id: String,
    /// State of the job.
    pub status: Status,
    /// Number of tasks that are done.
    #[serde(default)]
    pub done: u32,
    /// Number of running tasks.
    #[serde(default)]
    pub running: u32,
    /// Dependencies that are not done yet.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "waits_on")]
    pub dependencies: Vec<String>,
}

/// Returns whether a job id is well formed: `req-` and up to 20 digits.
pub fn is_valid_job_id(id: &str) -> bool {
    id.strip_prefix("req-").is_some_and(|digits| {
        (1..=20).contains(&digits.len()) && digits.bytes().all(|byte| byte.is_ascii_digit())
    })
}

/// Returns the job id in a body that is not a valid submission, if the body contains one before the point from which on
/// it cannot be decoded.
pub fn job_id_in_body(body: &[u8]) -> Option<String> {
    super::decode(body).ok().map(|FirstJobId(id)| id)
}

/// The first job id in a map. What follows it is not decoded.
struct FirstJobId(String);

impl<'de> Deserialize<'de> for FirstJobId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<FirstJobId, D::Error> {
        deserializer.deserialize_map(FirstJobIdVisitor)
    }
}

struct FirstJobIdVisitor;

impl<'de> Visitor<'de> for FirstJobIdVisitor {
    type Value = FirstJobId;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a submission")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<FirstJobId, A::Error> {
        while let Some(name) = fields.next_key::<String>()? {
            if name == JOB_ID_FIELD {
                return fields.next_value().map(FirstJobId);
            }
            fields.next_value::<IgnoredAny>()?;
        }
        Err(A::Error::missing_field(JOB_ID_FIELD))
    }
}

/// Resource under the job prefix.
pub enum Route<'a> {
    /// Collection of jobs.
    Submit,
    /// One job.
    Job(&'a str),
    /// Cancellation of one job.
    Cancel(&'a str),
}

/// Parses a path under the job prefix.
pub fn parse_path(path: &str) -> Option<Route<'_>> {
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
