//! The program: `capervale run --config FILE` serves, `capervale check FILE` looks at settings.

use std::path::PathBuf;
use std::process::ExitCode;

use capervale::config::Config;
use clap::{Parser, Subcommand};
use tracing_subscriber::EnvFilter;

/// A cluster scheduler.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Serve as a controller.
    Run {
        /// Settings file (TOML).
        #[arg(long)]
        config: PathBuf,
        /// Operators' script (Lua) that sets tunables.
        #[arg(long)]
        script: Option<PathBuf>,
    },
    /// Check settings and print what is in force.
    Check {
        /// Settings file (TOML).
        file: PathBuf,
        /// Operators' script (Lua) that sets tunables.
        #[arg(long)]
        script: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    let level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into());
    tracing_subscriber::fmt()
        .with_env_filter(EnvFilter::try_new(level).unwrap_or_else(|_| EnvFilter::new("info")))
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .init();
    match perform(Args::parse().verb) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("capervale: {e}");
            ExitCode::FAILURE
        }
    }
}

fn perform(verb: Verb) -> Result<(), Box<dyn std::error::Error>> {
    match verb {
        Verb::Run { config, script } => {
            let config = Config::load(&config, script.as_deref())?;
            capervale::node::run(config)?;
        }
        Verb::Check { file, script } => {
            let config = Config::load(&file, script.as_deref())?;
            println!("{config:#?}");
            println!("leader_life_s = {:.2}", config.leader_life_s());
            println!("off_after_s = {:.2}", config.off_after_s());
        }
    }
    Ok(())
}
