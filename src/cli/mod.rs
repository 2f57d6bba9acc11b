//! Command line.

use crate::controller::Controller;
use crate::jobs::model::JobId;
use crate::policy::Policy;
use crate::settings::Settings;
use crate::time::SECOND;
use crate::wire::client::{Client, ClientResponse};
use crate::wire::{ErrorBody, decode, encode};
use async_executor::LocalExecutor;
use ciborium::Value;
use clap::{Parser, Subcommand};
use http_types::Method;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

/// A cluster scheduler: arrays, gangs and services on rented machines.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    /// The platform's settings file (same as `serve --config`).
    #[arg(long)]
    config: Option<PathBuf>,
    /// The operators' policy script.
    #[arg(long)]
    policy: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Run a controller.
    Serve {
        /// The platform's settings file.
        #[arg(long)]
        config: PathBuf,
        /// The operators' policy script.
        #[arg(long)]
        policy: Option<PathBuf>,
    },
    /// Check settings and policy, and say what is wrong.
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
        /// The file; `-` is standard input.
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
    /// Withdraw a job.
    Withdraw {
        /// A controller's address for users.
        #[arg(long)]
        node: SocketAddr,
        /// Job id.
        id: String,
    },
    /// Show what a running controller knows.
    Inspect {
        /// A controller's address for controllers.
        #[arg(long)]
        node: SocketAddr,
        /// What to show.
        #[arg(value_enum)]
        what: What,
        /// With `jobs`: why this one waits. Without it: how many jobs and tasks of each team wait for
        /// what, and how long the oldest of them has.
        id: Option<String>,
    },
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum What {
    Members,
    Parts,
    Machines,
    Fairness,
    Layout,
    Pipelines,
    Jobs,
    ServiceLevels,
}

/// Exit code for settings or policy that cannot be used.
const BAD_SETTINGS: u8 = 2;

fn fail(e: impl std::fmt::Display, code: u8) -> ExitCode {
    eprintln!("coppergw: {e}");
    ExitCode::from(code)
}

/// Runs the program.
pub fn main() -> ExitCode {
    let args = Args::parse();
    let command = match (args.command, args.config) {
        (Some(c), _) => c,
        (None, Some(config)) => Command::Serve {
            config,
            policy: args.policy,
        },
        (None, None) => return fail("give --config FILE or a command; see --help", 64),
    };
    match command {
        Command::Serve { config, policy } => serve(config, policy),
        Command::Check { config, policy } => match load(config, policy) {
            Ok(_) => {
                println!("ok");
                ExitCode::SUCCESS
            }
            Err(e) => fail(e, BAD_SETTINGS),
        },
        Command::Submit { node, file } => submit(node, &file),
        Command::Show { node, id } => ask(node, Method::Get, &job_path(&id), None),
        Command::Withdraw { node, id } => {
            let path = format!("{}/withdraw", job_path(&id));
            ask(node, Method::Post, &path, Some(Vec::new()))
        }
        Command::Inspect { node, what, id } => {
            let path = match what {
                What::Jobs => "/inspect/jobs",
                What::ServiceLevels => "/inspect/served",
                What::Members => "/inspect/members",
                What::Parts => "/inspect/parts",
                What::Machines => "/inspect/machines",
                What::Fairness => "/inspect/fairness",
                What::Layout => "/inspect/layout",
                What::Pipelines => "/inspect/pipelines",
            };
            match (what, id) {
                (_, None) => ask(node, Method::Get, path, None),
                (What::Jobs, Some(id)) => {
                    let id: JobId = id.as_str().into();
                    ask(node, Method::Get, &format!("{path}/{id}"), None)
                }
                (_, Some(_)) => fail("an id goes with `inspect jobs` only", 64),
            }
        }
    }
}

fn job_path(id: &str) -> String {
    let id: JobId = id.into();
    format!("/api/jobs/{id}")
}

fn load(
    config: PathBuf,
    policy: Option<PathBuf>,
) -> Result<(Settings, Policy), crate::settings::SettingsError> {
    let s = Settings::load(&config)?;
    let p = policy.map_or(Ok(Policy::default()), |p| Policy::load(&p))?;
    Ok((s, p))
}

fn serve(config: PathBuf, policy: Option<PathBuf>) -> ExitCode {
    let level = std::env::var("LOG_LEVEL")
        .ok()
        .and_then(|l| l.parse::<tracing::Level>().ok())
        .unwrap_or(tracing::Level::INFO);
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .init();
    let (s, p) = match load(config, policy) {
        Ok(x) => x,
        Err(e) => return fail(e, BAD_SETTINGS),
    };
    let ex = Rc::new(LocalExecutor::new());
    let node = Controller::new(s, p, ex.clone());
    match async_io::block_on(ex.run(node.run())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(e, 1),
    }
}

fn submit(node: SocketAddr, file: &std::path::Path) -> ExitCode {
    let text = if file.as_os_str() == "-" {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(file)
    };
    let text = match text {
        Ok(t) => t,
        Err(e) => return fail(format!("{}: {e}", file.display()), 1),
    };
    match serde_json::from_str::<serde_json::Value>(&text) {
        Ok(v) => ask(node, Method::Post, "/api/jobs", Some(encode(&v))),
        Err(e) => fail(format!("{}: {e}", file.display()), 1),
    }
}

/// What a status without a reason means to whoever asked.
fn meaning(status: u16) -> &'static str {
    match status {
        404 => "nobody submitted this, or there is no such page",
        429 => "too much at once, try again in a moment",
        503 => "cannot tell or take anything now, try again in a moment",
        _ => "refused",
    }
}

fn ask(node: SocketAddr, method: Method, path: &str, body: Option<Vec<u8>>) -> ExitCode {
    let http = Client::new(1);
    let res = async_io::block_on(http.call(node, method, path, body, 5 * SECOND));
    match res {
        Ok(ClientResponse { status, body }) => {
            let shown = || {
                let v = decode::<Value>(&body).ok()?;
                serde_json::to_string_pretty(&v).ok()
            };
            if (200..300).contains(&status) {
                println!("{}", shown().unwrap_or_default());
                ExitCode::SUCCESS
            } else {
                let reason = decode::<ErrorBody>(&body).ok().map(|r| r.error);
                let said = reason.or_else(shown);
                let said = said.unwrap_or_else(|| meaning(status).into());
                fail(format!("status {status}: {said}"), 1)
            }
        }
        Err(e) => fail(e, 1),
    }
}
