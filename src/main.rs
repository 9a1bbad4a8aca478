//! The command-line program: `capervale run --config FILE` serves as a controller, `capervale check FILE` checks
//! settings, `capervale quota` shows or ends the admission quotas that are stored in the state service.

use std::path::PathBuf;
use std::process::ExitCode;

use capervale::admission_quota::report::{self, ReportError};
use capervale::config::features::{Features, FeaturesError};
use capervale::config::{Config, ConfigError};
use capervale::controller::{self, StartError};
use clap::{Args, Parser, Subcommand};
use tracing_subscriber::EnvFilter;

/// A cluster scheduler.
#[derive(Parser)]
#[command(version, about)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve as a controller.
    Run {
        /// Settings file (TOML).
        #[arg(long)]
        config: PathBuf,
        #[command(flatten)]
        optional: OptionalFiles,
    },
    /// Check settings and print what is in force.
    Check {
        /// Settings file (TOML).
        file: PathBuf,
        #[command(flatten)]
        optional: OptionalFiles,
    },
    /// Show teams' quotas, their use and allotments, as the state service holds them.
    Quota {
        /// Settings file (TOML).
        #[arg(long)]
        config: PathBuf,
        /// Features file (TOML).
        #[arg(long, required_unless_present = "end")]
        features: Option<PathBuf>,
        /// End the quotas in force, once all controllers run without the feature.
        #[arg(long, conflicts_with = "features")]
        end: bool,
    },
}

/// Configuration files that need not be given.
#[derive(Args, Default)]
struct OptionalFiles {
    /// Operators' script (Lua) that sets tunables.
    #[arg(long)]
    script: Option<PathBuf>,
    /// Features file (TOML); without it all optional features are off.
    #[arg(long)]
    features: Option<PathBuf>,
}

/// Reason why a command failed. Printed as one or more lines that name the file, field or service at fault.
#[derive(Debug, thiserror::Error)]
enum ProgramError {
    /// The settings file or the script can't be read or is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The features file can't be read or is invalid.
    #[error(transparent)]
    Features(#[from] FeaturesError),
    /// The controller can't start: it can't listen at one of its addresses, or the event loop can't run.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The quotas can't be read or ended: the feature is disabled, the state service is unreachable, or the event loop
    /// can't run.
    #[error(transparent)]
    Report(#[from] ReportError),
}

fn main() -> ExitCode {
    init_logging();
    match execute(CommandLine::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            for line in error.to_string().lines() {
                eprintln!("capervale: {line}");
            }
            ExitCode::FAILURE
        }
    }
}

/// Initializes logging to standard error, at the level that the environment variable `LOG_LEVEL` names. The level is
/// `info` if the variable is unset or invalid: a mistake in the log level must not keep a controller from serving.
fn init_logging() {
    let level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into());
    tracing_subscriber::fmt()
        .with_env_filter(EnvFilter::try_new(level).unwrap_or_else(|_| EnvFilter::new("info")))
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .init();
}

fn execute(command: Command) -> Result<(), ProgramError> {
    match command {
        Command::Run { config, optional } => run(load(config, optional)?),
        Command::Check { file, optional } => print_config(&load(file, optional)?),
        Command::Quota {
            config, end: true, ..
        } => end_quotas(load(config, OptionalFiles::default())?),
        Command::Quota {
            config, features, ..
        } => {
            let optional = OptionalFiles {
                script: None,
                features,
            };
            show_quotas(load(config, optional)?)
        }
    }
}

/// Reads and checks the settings and the optional files.
fn load(file: PathBuf, optional: OptionalFiles) -> Result<Config, ProgramError> {
    let mut config = Config::load(&file, optional.script.as_deref())?;
    if let Some(features) = optional.features {
        config.features = Features::load(&features, &config)?;
    }
    Ok(config)
}

/// `capervale run`: serves until the process is killed.
fn run(config: Config) -> Result<(), ProgramError> {
    controller::run(config)?;
    Ok(())
}

/// `capervale check`: prints the configuration in force. [`load`] has checked it.
fn print_config(config: &Config) -> Result<(), ProgramError> {
    println!("{config:#?}");
    println!("leader_life_s = {:.2}", config.leader_lease_s());
    println!("off_after_s = {:.2}", config.worker_lease_expiry_s());
    if let Some(quota) = &config.features.quota {
        println!("quota.total: {}", quota.total());
        for (name, team) in quota.teams() {
            let (guaranteed, limit) = (team.guaranteed, team.limit);
            println!("quota.teams.{name}: guaranteed {guaranteed}, limit {limit}");
        }
    }
    Ok(())
}

/// `capervale quota`: prints the stored quotas, their use and the allotments.
fn show_quotas(config: Config) -> Result<(), ProgramError> {
    print!("{}", report::report(config)?);
    Ok(())
}

/// `capervale quota --end`: ends the quotas in force.
fn end_quotas(config: Config) -> Result<(), ProgramError> {
    println!("{}", report::end(config)?);
    Ok(())
}
