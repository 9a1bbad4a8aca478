//! `quota-load`: submits a burst of jobs to real controllers, first with quotas off and then with quotas on, and writes
//! a report that compares the two runs.

use std::fmt;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use clap::Parser;
use loadtest::controllers::{ControllerSetup, Controllers};
use loadtest::report::PlotError;
use loadtest::state_service::StateService;
use loadtest::users::{UserResponses, Workload, run_users};
use loadtest::{report, usage_history};

/// Load-tests real controllers on loopback, with quotas off and on.
#[derive(Parser)]
struct Args {
    /// Path of the controllers' binary.
    #[arg(long, default_value = "target/release/capervale")]
    program: PathBuf,
    /// Directory for settings, logs and the report.
    #[arg(long)]
    folder: PathBuf,
    /// Number of controllers.
    #[arg(long, default_value_t = 3)]
    controllers: usize,
    /// Number of teams.
    #[arg(long, default_value_t = 1)]
    teams: usize,
    /// Number of jobs to submit.
    #[arg(long, default_value_t = 3000)]
    jobs: u64,
    /// Number of concurrent users.
    #[arg(long, default_value_t = 48)]
    users: usize,
    /// Quota limit of each team in CPUs; a job uses two.
    #[arg(long, default_value_t = 200.0)]
    limit: f64,
    /// Fraction of accepted jobs that are cancelled right after submission.
    #[arg(long, default_value_t = 0.5)]
    cancelled: f64,
    /// Pause of a user after a submission that was not accepted, in milliseconds.
    #[arg(long, default_value_t = 50)]
    pause_ms: u64,
    /// Number of submissions after which the next controller in turn is killed and restarted. 0 disables restarts.
    #[arg(long, default_value_t = 0)]
    restart_every: u64,
}

/// Result of a run with quotas off or on.
struct Outcome {
    responses: UserResponses,
    state: Arc<StateService>,
}

/// A failure that prevents the report.
#[derive(Debug)]
enum LoadError {
    /// Files could not be written, or the controllers did not start or become ready.
    Io(io::Error),
    /// The plot could not be drawn.
    Plot(PlotError),
}

impl fmt::Display for LoadError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LoadError::Io(error) => error.fmt(out),
            LoadError::Plot(error) => error.fmt(out),
        }
    }
}

impl From<io::Error> for LoadError {
    fn from(error: io::Error) -> Self {
        LoadError::Io(error)
    }
}

impl From<PlotError> for LoadError {
    fn from(error: PlotError) -> Self {
        LoadError::Plot(error)
    }
}

/// Starts controllers and runs the users against them. Quotas are on if `features` is given.
fn run(args: &Args, teams: &[String], features: Option<String>) -> io::Result<Outcome> {
    let folder = args
        .folder
        .join(if features.is_some() { "on" } else { "off" });
    std::fs::create_dir_all(&folder)?;
    let (state, addr) = StateService::start()?;
    let setup = ControllerSetup {
        program: args.program.clone(),
        folder,
        count: args.controllers,
        teams: teams.to_vec(),
        features,
    };
    let mut controllers = Controllers::start(setup, addr)?;
    controllers.wait_until_ready(&state, Duration::from_secs(30))?;
    let workload = Workload {
        user_addresses: controllers.user_addresses().to_vec(),
        teams: teams.to_vec(),
        users: args.users,
        jobs: args.jobs,
        cancel_probability: args.cancelled,
        rejection_pause: Duration::from_millis(args.pause_ms),
        first_id: 1,
    };
    let mut restarts = 0;
    let responses = run_users(&workload, |submitted| {
        if args.restart_every > 0 && submitted / args.restart_every > restarts {
            restarts += 1;
            let index = restarts as usize % args.controllers;
            if let Err(e) = controllers.restart(index) {
                eprintln!("restart of controller n{index} failed: {e}");
            }
        }
    });
    Ok(Outcome { responses, state })
}

/// Returns the content of the features file. Each team is guaranteed half of its limit.
fn features_file(teams: &[String], limit: f64) -> String {
    let total = limit * teams.len() as f64;
    let mut features = format!("[quota]\ntotal = {{ cpus = {total} }}\n");
    for team in teams {
        features += &format!(
            "[[quota.teams]]\nname = \"{team}\"\nguaranteed = {{ cpus = {} }}\nlimit = {{ cpus = {limit} }}\n",
            limit / 2.0
        );
    }
    features
}

/// Returns a list of four counts of submissions: with status 201, 429 and 503, and without a response.
fn response_counts(responses: &UserResponses) -> String {
    let counts = [201, 429, 503, 0].map(|status| responses.count(status).to_string());
    counts.join(", ")
}

/// Runs with quotas off and on and writes the report. Returns whether no team exceeded its limit while quotas were on.
fn compare(args: &Args) -> Result<bool, LoadError> {
    let teams: Vec<String> = (0..args.teams)
        .map(|number| format!("team-{number}"))
        .collect();
    let off = run(args, &teams, None)?;
    let on = run(args, &teams, Some(features_file(&teams, args.limit)))?;
    let history = on.state.history();
    let usage = usage_history::usage_by_team(&history);
    let max_cpus = usage
        .values()
        .map(|points| usage_history::max_cpus(points))
        .fold(0.0, f64::max);
    let is_within_limit = max_cpus <= args.limit + 1e-6;
    let accepted = on.responses.count(201).max(1);
    let quota_writes = usage_history::write_count(&history, "quota") as f64 / accepted as f64;
    let facts = [
        ("controllers", args.controllers.to_string()),
        ("submissions", args.jobs.to_string()),
        (
            "accepted, refused (429), later (503), none",
            response_counts(&on.responses),
        ),
        ("the same with quotas off", response_counts(&off.responses)),
        (
            "limit and most CPUs of a team",
            format!("{}, {max_cpus}", args.limit),
        ),
        ("limit kept", is_within_limit.to_string()),
        (
            "writes to quota keys for each accepted job",
            format!("{quota_writes:.3}"),
        ),
        ("conflicts", on.state.conflicts().to_string()),
    ]
    .map(|(name, value)| (name.to_owned(), value));
    for (name, value) in &facts {
        println!("{name}: {value}");
    }
    for (reason, count) in on
        .responses
        .error_counts
        .lock()
        .expect("no user thread panics")
        .iter()
    {
        println!("  {count} times {reason}");
    }
    let rows =
        [("quotas off", &off), ("quotas on", &on)].map(|(name, run)| report_latencies(name, run));
    let plot = report::usage_plot(&usage, args.limit)?;
    let page = report::page("Quotas under load", &facts, &rows, &plot);
    std::fs::write(args.folder.join("report.html"), page)?;
    Ok(is_within_limit)
}

/// Prints the latency quantiles of a run and returns them as a table row of the report.
fn report_latencies(name: &str, run: &Outcome) -> String {
    let latencies = run
        .responses
        .latencies
        .lock()
        .expect("no user thread panics");
    println!(
        "{name}: median {:.1} ms, 0.99 {:.1} ms",
        latencies.value_at_quantile(0.5) as f64 / 1000.0,
        latencies.value_at_quantile(0.99) as f64 / 1000.0
    );
    report::latency_row(name, &latencies)
}

fn main() -> ExitCode {
    match compare(&Args::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("quota-load: {e}");
            ExitCode::FAILURE
        }
    }
}
