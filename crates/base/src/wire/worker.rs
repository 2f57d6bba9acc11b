//! Protocol of workers: heartbeats and commands.
//!
//! `serde` attributes map each wire name (`deckhand`, `shift`, `tick`, `baton`, `orders`, ...) to a standard term, here
//! only.

use serde::{Deserialize, Serialize};

/// Heartbeat of a worker with the state of its machine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Heartbeat {
    /// Name of the machine.
    #[serde(rename = "deckhand")]
    pub machine: String,
    /// Address on which the worker receives commands.
    pub address: String,
    /// Machine type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone in which the machine is.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the machine is a spot machine, which the cloud may preempt.
    #[serde(default)]
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Agent epoch, which increases each time the worker starts.
    #[serde(rename = "shift")]
    pub session: u64,
    /// Sequence number of the heartbeat within its session.
    #[serde(rename = "tick")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen.
    #[serde(default)]
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Time until the cloud preempts the machine, in seconds; `None` without a preemption notice.
    #[serde(default)]
    #[serde(rename = "recall_s")]
    pub preemption_notice_s: Option<f64>,
    /// All attempts on the machine, including exited ones until a [`Command::Forget`].
    #[serde(default)]
    #[serde(rename = "shards")]
    pub tasks: Vec<ReportedTask>,
}

/// Task attempt in a heartbeat.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReportedTask {
    /// Name of the task, `job/index`.
    #[serde(rename = "shard")]
    pub task: String,
    /// Number of the attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the attempt.
    pub status: TaskStatus,
    /// Reason why the attempt exited.
    #[serde(default)]
    #[serde(rename = "cause")]
    pub reason: Option<ExitReason>,
    /// Whether the progress of an exited attempt was saved.
    #[serde(default)]
    pub saved: Option<bool>,
}

/// State of an attempt on its machine.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum TaskStatus {
    /// Fetching its image.
    Fetching,
    /// Waiting for the other tasks of its gang.
    Waiting,
    /// Running.
    Running,
    /// Saving a checkpoint before it exits.
    #[serde(rename = "flushing")]
    Saving,
    /// Exited.
    #[serde(rename = "ended")]
    Exited,
}

/// Reason why an attempt exited.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum ExitReason {
    /// Completed.
    Done,
    /// Stopped by a [`Command::Stop`].
    #[serde(rename = "halted")]
    Stopped,
    /// Another task of the gang was lost.
    Peers,
    /// The gang was not complete within the time limit.
    Incomplete,
    /// Failed.
    Error,
    /// Start refused: the machine does not have enough free resources.
    NoRoom,
    /// Start refused: another attempt of the task is on the machine.
    #[serde(rename = "in_use")]
    Busy,
    /// Start refused: the task does not exist.
    Unknown,
    /// Reason that this version does not support; treated as a failure.
    #[serde(other)]
    Other,
}

/// Commands to a worker, in the response to a heartbeat or sent directly.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CommandBatch {
    /// Fencing token of the sender; a worker refuses tokens lower than the highest that it has seen.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Agent epoch to which commands that are sent directly apply.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    #[serde(rename = "shift")]
    pub session: Option<u64>,
    /// Commands to carry out.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Command to a worker.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Command {
    /// Start an attempt.
    Start {
        /// Name of the task, `job/index`.
        #[serde(rename = "shard")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop an attempt.
    Stop {
        /// Name of the task, `job/index`.
        #[serde(rename = "shard")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Grace period in seconds: time to save a checkpoint before the attempt is killed.
        #[serde(rename = "wind_down_s")]
        grace_period_s: f64,
    },
    /// Remove an exited attempt from all later heartbeats.
    #[serde(rename = "clear")]
    Forget {
        /// Name of the task, `job/index`.
        #[serde(rename = "shard")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Redirects a worker to the controller that owns its machine's shard.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LeaderRedirect {
    /// Name of the controller that owns the machine's shard, if it is known.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    #[serde(rename = "foreman")]
    pub report_to: Option<String>,
}

/// Path of heartbeats on a controller: POST.
pub const HEARTBEAT_PATH: &str = "/v1/report";
/// Path of commands on a worker: POST.
pub const COMMANDS_PATH: &str = "/orders";
/// Path of the state of a worker: GET.
pub const STATUS_PATH: &str = "/status";
