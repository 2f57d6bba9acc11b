//! Grammar of the command line. Operators' scripts depend on the names of commands and topics, so a replaced name
//! stays as a hidden alias. This module has no state.

use clap::{Parser, Subcommand, ValueEnum};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A cluster scheduler: arrays, gangs and services on rented machines.
#[derive(Parser, Debug)]
#[command(version, about)]
pub struct Arguments {
    /// The platform's settings file (same as `serve --config`).
    #[arg(long)]
    pub config: Option<PathBuf>,
    /// The operators' policy script.
    #[arg(long)]
    pub policy: Option<PathBuf>,
    /// Command to run; without a command, `--config` runs a controller.
    #[command(subcommand)]
    pub command: Option<Command>,
}

impl Arguments {
    /// Returns the command; `--config` without a command means `serve`. `None` if both are absent.
    pub fn into_command(self) -> Option<Command> {
        let Arguments {
            config,
            policy,
            command,
        } = self;
        command.or_else(|| config.map(|config| Command::Serve { config, policy }))
    }
}

/// Commands of the program.
#[derive(Subcommand, Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run a controller.
    Serve {
        /// The platform's settings file.
        #[arg(long)]
        config: PathBuf,
        /// The operators' policy script.
        #[arg(long)]
        policy: Option<PathBuf>,
    },
    /// Check settings and policy, and report errors.
    Check {
        /// The platform's settings file.
        #[arg(long)]
        config: PathBuf,
        /// The operators' policy script.
        #[arg(long)]
        policy: Option<PathBuf>,
    },
    /// Submit a job that a JSON file describes with the protocol's fields.
    Submit {
        /// A controller's address for users.
        #[arg(long)]
        node: SocketAddr,
        /// Path of the file; `-` is standard input.
        file: PathBuf,
    },
    /// Show a job.
    Show {
        /// A controller's address for users.
        #[arg(long)]
        node: SocketAddr,
        /// Job id.
        id: String,
    },
    /// Cancel a job.
    #[command(alias = "withdraw")]
    Cancel {
        /// A controller's address for users.
        #[arg(long)]
        node: SocketAddr,
        /// Job id.
        id: String,
    },
    /// Show the state of a running controller.
    Inspect {
        /// A controller's address for controllers.
        #[arg(long)]
        node: SocketAddr,
        /// Topic to show.
        #[arg(value_enum)]
        topic: InspectTopic,
        /// With `jobs`: why this job is pending. Without it: pending jobs and tasks of each team, by
        /// reason, and how long the oldest of them has been pending.
        id: Option<String>,
    },
}

/// Topics of `inspect`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum InspectTopic {
    /// Controllers that hold a membership lease, and the leader.
    Members,
    /// Shards with their owners and terms.
    #[value(alias = "parts")]
    Shards,
    /// Machines, the number of tasks on each, and the fencing tokens of those that the controller owns.
    Machines,
    /// Numbers of commands to workers and of unexpected reports.
    Commands,
    /// Task counts and priority boosts of the fairness rounds.
    Fairness,
    /// Versions of the controllers and the layout of stored values.
    Layout,
    /// Memory of unfinished jobs and the limits up to which jobs are accepted.
    Memory,
    /// Unfinished jobs that depend on other jobs.
    Pipelines,
    /// Pending jobs by reason, or one job.
    Jobs,
    /// Service levels measured against the objectives.
    #[value(alias = "served")]
    ServiceLevels,
}

impl InspectTopic {
    /// Returns the HTTP path of the topic. The paths are the same in all versions.
    pub fn path(self) -> &'static str {
        match self {
            InspectTopic::Members => "/inspect/members",
            InspectTopic::Shards => "/inspect/parts",
            InspectTopic::Machines => "/inspect/machines",
            InspectTopic::Commands => "/inspect/commands",
            InspectTopic::Fairness => "/inspect/fairness",
            InspectTopic::Layout => "/inspect/layout",
            InspectTopic::Memory => "/inspect/memory",
            InspectTopic::Pipelines => "/inspect/pipelines",
            InspectTopic::Jobs => "/inspect/jobs",
            InspectTopic::ServiceLevels => "/inspect/served",
        }
    }
}
