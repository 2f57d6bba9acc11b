//! Settings of a controller, read once at the start and never changed: their types.
//!
//! `file.rs` has the platform's file as it is written, `check.rs` turns that into these types.

mod check;
mod file;

use crate::time::Micros;
use std::net::SocketAddr;
use std::path::Path;

/// Why settings or policy cannot be used, in one line for standard error.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: {reason}")]
    Read {
        /// Path of the file.
        file: String,
        /// What is wrong.
        reason: String,
    },
    /// A field of the file is missing, malformed or out of bounds.
    #[error("{file}: {field}: {reason}")]
    Field {
        /// Path of the file.
        file: String,
        /// Field, or place in the file.
        field: String,
        /// What is wrong.
        reason: String,
    },
}

/// Another controller of the deployment.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Name of the controller.
    pub name: String,
    /// Address at which it listens for controllers.
    pub address: SocketAddr,
}

/// Quota of a team: guaranteed share and limit, in thousandths of a CPU or GPU; a limit of 0 is none.
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
    /// Whether the team has a limit of CPUs or GPUs.
    pub fn has_limit(&self) -> bool {
        self.cpus_max > 0 || self.gpus_max > 0
    }
}

/// What a service-level objective measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObjectiveKind {
    /// Time from submission until a task starts.
    Wait,
    /// Time from submission until a job is done.
    Finished,
    /// Time until a job is done, as a multiple of the deadline that its user set.
    Deadline,
}

/// A service-level objective of a job class.
#[derive(Clone, Debug)]
pub struct Objective {
    /// What it measures.
    pub kind: ObjectiveKind,
    /// Job class to which it applies.
    pub class: String,
    /// Time within which a job meets it.
    pub within: Micros,
    /// Share of the jobs that must meet it, from 0 to 1.
    pub share: f64,
    /// For [`ObjectiveKind::Deadline`]: multiple of the job's own deadline, in thousandths.
    pub times: u64,
}

/// Preconditions that the state service allows for each mutation of a transaction.
const PRECONDITIONS_PER_MUTATION: usize = 4;

/// Limits of the state service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StateLimits {
    /// Requests per second.
    pub rps: f64,
    /// Writes per second: each mutation of a transaction counts.
    pub write_rps: f64,
    /// Largest value, in bytes of JSON.
    pub max_value_bytes: usize,
    /// Mutations that a transaction may have.
    pub max_mutations: usize,
}

impl StateLimits {
    /// Preconditions that a transaction may have: the state service allows a fixed number for each mutation.
    pub fn preconditions(&self) -> usize {
        self.max_mutations * PRECONDITIONS_PER_MUTATION
    }
}

/// All settings of a controller, checked.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this controller.
    pub node: String,
    /// Zone in which it runs.
    pub zone: String,
    /// Address at which it listens for users and workers.
    pub listen: SocketAddr,
    /// Address at which it listens for controllers.
    pub peer_bind: SocketAddr,
    /// The other controllers.
    pub peers: Vec<Peer>,
    /// Address of the cloud.
    pub cloud: SocketAddr,
    /// Address of the state service.
    pub state: SocketAddr,
    /// Zones of the deployment.
    pub zones: Vec<String>,
    /// Largest error of any wall clock of the deployment.
    pub clock_skew: Micros,
    /// Teams with their quotas.
    pub teams: Vec<Team>,
    /// Service-level objectives.
    pub objectives: Vec<Objective>,
    /// Interval of the workers' heartbeats.
    pub heartbeat_interval: Micros,
    /// Lease of a worker: it kills its tasks if no heartbeat is answered for this time.
    pub worker_lease: Micros,
    /// Time for which a worker waits for its gang to be complete.
    pub gang_wait: Micros,
    /// Time within which the tasks of a gang notice that one of them is lost.
    pub gang_peer: Micros,
    /// Time within which a confirmed cancellation has stopped every task.
    pub cancel_within: Micros,
    /// Present limits of the state service.
    pub state_limits: StateLimits,
    /// Announced limits where they are lower than the present ones, else the present ones; `None` if none are
    /// announced.
    pub next_state_limits: Option<StateLimits>,
    /// Requests per second that the cloud allows.
    pub cloud_rps: f64,
    /// Time by which the cloud's list of machines may be behind.
    pub list_lag: Micros,
    /// Sockets that this process may have open.
    pub max_connections: usize,
    /// Share of one CPU that this process may use.
    pub core_share: f64,
    /// Memory that this process may use, in megabytes.
    pub memory_mb: f64,
}

/// Converts CPUs, GPUs or gigabytes to thousandths, in which the program counts them.
pub fn milli(amount: f64) -> i64 {
    (amount * 1000.0).round() as i64
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| SettingsError::Read {
            file: file.clone(),
            reason: error.to_string(),
        })?;
        Settings::parse(&file, &text)
    }

    /// Checks the text of a settings file. `file` is its name, for errors.
    pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
        check::settings(file, file::SettingsFile::decode(file, text)?)
    }

    /// A team by name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == name)
    }
}
