//! Types of a controller's settings, which are read once at startup and never change.
//!
//! `file.rs` defines the format of the settings file, `check.rs` validates it and converts it to these types.

mod check;
mod file;

use crate::time::Micros;
use std::net::SocketAddr;
use std::path::Path;

/// Error in the settings or the policy, printed as one line on standard error.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: {reason}")]
    Read {
        /// Path of the file.
        file: String,
        /// Cause of the error.
        reason: String,
    },
    /// A field of the file is missing, malformed or out of bounds.
    #[error("{file}: {field}: {reason}")]
    Field {
        /// Path of the file.
        file: String,
        /// Name of the field, or its position in the file.
        field: String,
        /// Cause of the error.
        reason: String,
    },
}

/// Another controller of the deployment.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Name of the controller.
    pub name: String,
    /// Address on which it listens for other controllers.
    pub address: SocketAddr,
}

/// Quota of a team: guaranteed resources and limits, in thousandths of a CPU or GPU. A limit of 0 means no limit.
#[derive(Clone, Debug)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Guaranteed CPUs, in thousandths.
    pub cpus: i64,
    /// Limit of CPUs, in thousandths.
    pub cpus_max: i64,
    /// Guaranteed GPUs, in thousandths.
    pub gpus: i64,
    /// Limit of GPUs, in thousandths.
    pub gpus_max: i64,
}

impl Team {
    /// Returns whether the team has a limit of CPUs or GPUs.
    pub fn has_limit(&self) -> bool {
        self.cpus_max > 0 || self.gpus_max > 0
    }
}

/// Metric of a service-level objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObjectiveKind {
    /// Time from submission until a task starts.
    Wait,
    /// Time from submission until a job is done.
    Finished,
    /// Time until a job is done, as a multiple of the deadline set by its user.
    Deadline,
}

/// A service-level objective of a job class.
#[derive(Clone, Debug)]
pub struct Objective {
    /// Metric that is measured.
    pub kind: ObjectiveKind,
    /// Job class to which the objective applies.
    pub class: String,
    /// Time within which a job meets the objective.
    pub within: Micros,
    /// Share of the jobs that must meet the objective, from 0 to 1.
    pub share: f64,
    /// For [`ObjectiveKind::Deadline`]: multiple of the job's own deadline, in thousandths.
    pub deadline_thousandths: u64,
}

/// Preconditions that the state service allows in a transaction for each mutation of the largest transaction.
pub const PRECONDITIONS_PER_MUTATION: usize = 4;

/// Limits of the state service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StateLimits {
    /// Requests per second.
    pub requests_per_s: f64,
    /// Writes per second; each mutation of a transaction counts as one write.
    pub writes_per_s: f64,
    /// Largest value, in bytes of JSON.
    pub max_value_bytes: usize,
    /// Maximum number of mutations in a transaction.
    pub max_mutations: usize,
}

impl StateLimits {
    /// Maximum number of preconditions in a transaction: the state service allows a fixed number for each mutation
    /// of the largest transaction.
    pub fn max_preconditions(&self) -> usize {
        self.max_mutations * PRECONDITIONS_PER_MUTATION
    }
}

/// Validated settings of a controller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this controller.
    pub node: String,
    /// Zone in which this controller runs.
    pub zone: String,
    /// Address on which this controller listens for users and workers.
    pub listen: SocketAddr,
    /// Address on which this controller listens for other controllers.
    pub peer_bind: SocketAddr,
    /// The other controllers.
    pub peers: Vec<Peer>,
    /// Address of the cloud API.
    pub cloud: SocketAddr,
    /// Address of the state service.
    pub state: SocketAddr,
    /// Zones of the deployment.
    pub zones: Vec<String>,
    /// Maximum error of any wall clock in the deployment.
    pub clock_skew: Micros,
    /// Teams with their quotas.
    pub teams: Vec<Team>,
    /// Service-level objectives.
    pub objectives: Vec<Objective>,
    /// Interval of the workers' heartbeats.
    pub heartbeat_interval: Micros,
    /// Lease of a worker: a worker kills its tasks if no heartbeat is answered for this time.
    pub worker_lease: Micros,
    /// Time for which a worker waits until all tasks of a gang are present.
    pub gang_wait_timeout: Micros,
    /// Time within which the tasks of a gang detect the loss of one of them.
    pub gang_loss_notice: Micros,
    /// Time within which every task of a job has stopped after its cancellation is confirmed.
    pub cancel_within: Micros,
    /// Current limits of the state service.
    pub state_limits: StateLimits,
    /// For each limit of the state service the lower of the announced and the current one; `None` if no limits are
    /// announced.
    pub next_state_limits: Option<StateLimits>,
    /// Requests per second that the cloud API allows.
    pub cloud_requests_per_s: f64,
    /// Maximum staleness of the cloud's list of machines.
    pub list_lag: Micros,
    /// Maximum number of open sockets of this process.
    pub max_connections: usize,
    /// Share of one CPU that this process may use.
    pub cpu_share: f64,
    /// Memory that this process may use, in megabytes.
    pub memory_mb: f64,
}

/// Converts CPUs, GPUs or gigabytes to thousandths, the unit of all resource amounts in the program.
pub fn to_thousandths(amount: f64) -> i64 {
    (amount * 1000.0).round() as i64
}

impl Settings {
    /// Reads and validates a settings file.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| SettingsError::Read {
            file: file.clone(),
            reason: error.to_string(),
        })?;
        Settings::parse(&file, &text)
    }

    /// Parses and validates the text of a settings file. `file` is its name in errors.
    pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
        check::settings(file, file::SettingsFile::decode(file, text)?)
    }

    /// Returns the team with a name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == name)
    }
}
