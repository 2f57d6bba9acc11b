//! Command line: parses the arguments, runs one command and converts its result to an exit code.

mod arguments;
mod error;
mod request;

pub use arguments::{Arguments, Command, InspectTopic};
pub use error::{CommandError, EXIT_FAILURE, EXIT_INVALID_SETTINGS, EXIT_USAGE};

use crate::controller::Controller;
use crate::policy::Policy;
use crate::settings::{Settings, SettingsError};
use async_executor::LocalExecutor;
use clap::Parser;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;

/// Runs the program with the arguments of the process.
pub fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("coppergw: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(arguments: Arguments) -> Result<(), CommandError> {
    let Some(command) = arguments.into_command() else {
        return Err(CommandError::Usage(
            "give --config FILE or a command; see --help",
        ));
    };
    match command {
        Command::Serve { config, policy } => serve(&config, policy),
        Command::Check { config, policy } => {
            load(&config, policy)?;
            println!("ok");
            Ok(())
        }
        Command::Submit { node, file } => request::submit(node, &file),
        Command::Show { node, id } => request::show(node, &id),
        Command::Cancel { node, id } => request::cancel(node, &id),
        Command::Inspect { node, topic, id } => request::inspect(node, topic, id.as_deref()),
    }
}

fn load(config: &Path, policy: Option<PathBuf>) -> Result<(Settings, Policy), SettingsError> {
    let settings = Settings::load(config)?;
    let policy = policy.map_or(Ok(Policy::default()), |path| Policy::load(&path))?;
    Ok((settings, policy))
}

/// Runs a controller until the process is killed.
fn serve(config: &Path, policy: Option<PathBuf>) -> Result<(), CommandError> {
    start_logging();
    let (settings, policy) = load(config, policy)?;
    let executor = Rc::new(LocalExecutor::new());
    let controller = Controller::new(settings, policy, executor.clone());
    async_io::block_on(executor.run(controller.run()))?;
    Ok(())
}

/// Writes log lines to standard error. `LOG_LEVEL` sets the least severe level that is logged, by default `INFO`.
fn start_logging() {
    let level = std::env::var("LOG_LEVEL")
        .ok()
        .and_then(|level| level.parse::<tracing::Level>().ok())
        .unwrap_or(tracing::Level::INFO);
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .init();
}
