//! Workers: reports and orders.

use serde::{Deserialize, Serialize};

/// A worker's report.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Report {
    /// Machine.
    pub deckhand: String,
    /// Where its worker listens.
    pub address: String,
    /// Machine type.
    pub rig: String,
    /// Zone.
    pub yard: String,
    /// Spot machine.
    #[serde(default)]
    pub loaners: bool,
    /// Session.
    pub shift: u64,
    /// Sequence number.
    pub tick: u64,
    /// Highest token seen.
    #[serde(default)]
    pub baton: u64,
    /// Seconds until the cloud takes the machine.
    #[serde(default)]
    pub recall_s: Option<f64>,
    /// Tasks.
    #[serde(default)]
    pub shards: Vec<TaskReport>,
}

/// One task in a report.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TaskReport {
    /// Task name, `job/index`.
    pub shard: String,
    /// Attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State.
    pub status: TaskStatus,
    /// Why it ended.
    #[serde(default)]
    pub cause: Option<Cause>,
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
pub enum Cause {
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
pub struct Orders {
    /// Token.
    pub baton: u64,
    /// Session that direct orders are meant for.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub shift: Option<u64>,
    /// What to do.
    pub orders: Vec<Order>,
}

/// One order.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Order {
    /// Start an attempt.
    Start {
        /// Task name.
        shard: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop an attempt.
    Stop {
        /// Task name.
        shard: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Seconds of grace.
        wind_down_s: f64,
    },
    /// Take an exited attempt off the reports.
    Clear {
        /// Task name.
        shard: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Sends a worker to the node that drives it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Redirect {
    /// Node name.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub foreman: Option<String>,
}

/// Paths.
pub const REPORT: &str = "/v1/report";
/// Direct orders.
pub const ORDERS: &str = "/orders";
/// Status of a worker.
pub const STATUS: &str = "/status";
