//! Workers: reports and orders.

use serde::{Deserialize, Serialize};

/// A worker's report.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Heartbeat {
    /// Machine.
    #[serde(rename = "deckhand")]
    pub machine: String,
    /// Where its worker listens.
    pub address: String,
    /// Machine type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot machine.
    #[serde(default)]
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Session.
    #[serde(rename = "shift")]
    pub session: u64,
    /// Sequence number.
    #[serde(rename = "tick")]
    pub sequence: u64,
    /// Highest token seen.
    #[serde(default)]
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Seconds until the cloud takes the machine.
    #[serde(default)]
    #[serde(rename = "recall_s")]
    pub preemption_notice_s: Option<f64>,
    /// Tasks.
    #[serde(default)]
    #[serde(rename = "shards")]
    pub tasks: Vec<ReportedTask>,
}

/// One task in a report.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReportedTask {
    /// Task name, `job/index`.
    #[serde(rename = "shard")]
    pub task: String,
    /// Attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State.
    pub status: TaskStatus,
    /// Why it ended.
    #[serde(default)]
    #[serde(rename = "cause")]
    pub reason: Option<ExitReason>,
    /// Whether its progress was saved.
    #[serde(default)]
    pub saved: Option<bool>,
}

/// State of a task on its machine.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum TaskStatus {
    /// Waits for its image.
    Fetching,
    /// Waits for its gang.
    Waiting,
    /// Runs.
    Running,
    /// Saves.
    #[serde(rename = "flushing")]
    Saving,
    /// Exited.
    #[serde(rename = "ended")]
    Exited,
}

/// Why a task exited.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum ExitReason {
    /// Completed.
    Done,
    /// Stopped by command.
    #[serde(rename = "halted")]
    Stopped,
    /// A peer of the gang is gone.
    Peers,
    /// The gang was not complete in time.
    Incomplete,
    /// Failed.
    Error,
    /// Refused: no room.
    NoRoom,
    /// Refused: another attempt is here.
    #[serde(rename = "in_use")]
    Busy,
    /// Refused: no such task.
    Unknown,
    /// A cause that this version does not know; taken as a failure.
    #[serde(other)]
    Other,
}

/// Orders to a worker, in a response or sent directly.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CommandBatch {
    /// Token.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Session that direct orders are meant for.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    #[serde(rename = "shift")]
    pub session: Option<u64>,
    /// What to do.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// One order.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Command {
    /// Start an attempt.
    Start {
        /// Task name.
        #[serde(rename = "shard")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop an attempt.
    Stop {
        /// Task name.
        #[serde(rename = "shard")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Seconds of grace.
        #[serde(rename = "wind_down_s")]
        grace_period_s: f64,
    },
    /// Take an exited attempt off the reports.
    #[serde(rename = "clear")]
    Forget {
        /// Task name.
        #[serde(rename = "shard")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Sends a worker to the node that drives it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LeaderRedirect {
    /// Node name.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    #[serde(rename = "foreman")]
    pub report_to: Option<String>,
}

/// Paths.
pub const REPORT: &str = "/v1/report";
/// Direct orders.
pub const ORDERS: &str = "/orders";
/// Status of a worker.
pub const STATUS: &str = "/status";
