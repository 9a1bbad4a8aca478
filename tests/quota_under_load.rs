//! Several controller processes admit jobs of one team concurrently while one of them is killed or paused. Together
//! they must not admit more than the team's limit.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use loadtest::controllers::{ControllerSetup, Controllers};
use loadtest::state_service::StateService;
use loadtest::usage_history;
use loadtest::users::{Workload, run_users};

const LIMIT_CPUS: f64 = 40.0;
const QUOTAS: &str = "[quota]\ntotal = { cpus = 60 }\n\
    [[quota.teams]]\nname = \"team\"\nguaranteed = { cpus = 10 }\nlimit = { cpus = 40 }\n";
/// Timeout for conditions that tests wait for, long enough for a busy machine. A wait ends as soon as its condition
/// holds.
const WAIT_TIMEOUT: Duration = Duration::from_secs(120);
/// Time for clients to connect to a paused controller. If it is too short, the test covers less, but it does not fail.
const CONNECT_TIME: Duration = Duration::from_millis(500);

/// Returns the configuration of three controllers with quotas for one team.
fn setup(folder: &Path) -> ControllerSetup {
    ControllerSetup {
        program: PathBuf::from(env!("CARGO_BIN_EXE_capervale")),
        folder: folder.to_owned(),
        count: 3,
        teams: vec!["team".into()],
        features: Some(QUOTAS.into()),
    }
}

/// Runs `capervale quota` and returns its output.
fn run_quota_command(folder: &Path, arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_capervale"))
        .current_dir(folder)
        .args(["quota", "--config", "n0.toml"])
        .args(arguments)
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap()
}

/// The limit must hold when controllers admit jobs concurrently and one of them is killed and restarted. The restarted
/// controller knows only the stored records.
#[test]
fn three_controllers_never_admit_more_than_the_limit() {
    let folder = tempfile::tempdir().unwrap();
    let (state, addr) = StateService::start().unwrap();
    let mut controllers = Controllers::start(setup(folder.path()), addr).unwrap();
    controllers.wait_until_ready(&state, WAIT_TIMEOUT).unwrap();
    let workload = Workload {
        user_addresses: controllers.user_addresses().to_vec(),
        teams: vec!["team".into()],
        users: 12,
        jobs: 300,
        cancel_probability: 0.3,
        rejection_pause: Duration::ZERO,
        first_id: 1,
    };
    let mut restarted = false;
    let responses = run_users(&workload, |submitted| {
        if submitted > 100 && !restarted {
            restarted = true;
            controllers.restart(1).unwrap();
        }
    });
    let usage = usage_history::usage_by_team(&state.history());
    let max_cpus = usage_history::max_cpus(&usage["team"]);
    assert!(max_cpus <= LIMIT_CPUS, "{max_cpus} CPUs of {LIMIT_CPUS}");
    // `capervale quota` shows the quotas in force and the allotments.
    let shown = run_quota_command(folder.path(), &["--features", "features.toml"]);
    let expected = [
        "in force\n",
        "team team: guaranteed cpus=10, limit cpus=40",
        "allotment of n0: ",
    ];
    for expected in expected {
        assert!(shown.contains(expected), "{shown}");
    }
    drop(controllers);
    let ended = "quotas are no longer in force\n";
    assert_eq!(run_quota_command(folder.path(), &["--end"]), ended);
    let none = "no quotas are in force\n";
    assert_eq!(run_quota_command(folder.path(), &["--end"]), none);
    assert!(
        responses.count(201) > 0 && responses.count(429) > 0,
        "{:?}",
        responses.status_counts
    );
}

/// A paused controller's allotment is reclaimed and used by the others. After it resumes, the controller must not admit
/// jobs from its outdated view of the allotment, which would exceed the limit.
#[test]
fn a_paused_controller_admits_nothing_that_was_reclaimed() {
    let folder = tempfile::tempdir().unwrap();
    let (state, addr) = StateService::start().unwrap();
    let controllers = Controllers::start(setup(folder.path()), addr).unwrap();
    controllers.wait_until_ready(&state, WAIT_TIMEOUT).unwrap();
    let workload = |addresses: &[std::net::SocketAddr], first_id: u64| Workload {
        user_addresses: addresses.to_vec(),
        teams: vec!["team".into()],
        users: 4,
        jobs: 40,
        cancel_probability: 0.0,
        rejection_pause: Duration::ZERO,
        first_id,
    };
    let leader = leader_index(&state);
    let paused = (leader + 1) % 3;
    let addresses = controllers.user_addresses();
    // The controller gets an allotment and uses a part of it before it is paused.
    let small_workload = Workload {
        jobs: 2,
        ..workload(&addresses[paused..=paused], 1)
    };
    assert_eq!(run_users(&small_workload, |_| ()).count(201), 2);
    controllers.set_paused(paused, true).unwrap();
    let key = format!("quota/allotment/team/n{paused}");
    let reclaimed = state.wait_until(WAIT_TIMEOUT, |history| {
        let last = history
            .iter()
            .rev()
            .find(|change| change.key.ends_with(&key));
        let record = last.and_then(|change| change.value.as_ref());
        // Incarnation 0: no process admits from the allotment. Only the 4 CPUs of the two admitted jobs are left in it.
        record.is_some_and(|record| record["incarnation"] == 0 && record["size"]["c"] == 4000)
    });
    assert!(reclaimed, "the allotment was never reclaimed");
    let other_addresses: Vec<_> = (0..3)
        .filter(|index| *index != paused)
        .map(|index| addresses[index])
        .collect();
    // The other controllers get more jobs than fit into the limit.
    for round in 1..=5 {
        run_users(&workload(&other_addresses, round * 1000), |_| ());
    }
    // Submissions are already queued when the controller resumes, so that it handles them before it receives the
    // changes from the store.
    let queued_workload = Workload {
        users: 20,
        ..workload(&addresses[paused..=paused], 6000)
    };
    std::thread::scope(|scope| {
        scope.spawn(|| run_users(&queued_workload, |_| ()));
        state.wait_until(CONNECT_TIME, |_| false);
        controllers.set_paused(paused, false).unwrap();
    });
    for round in 7..=8 {
        run_users(&workload(addresses, round * 1000), |_| ());
    }
    let usage = usage_history::usage_by_team(&state.history());
    let max_cpus = usage_history::max_cpus(&usage["team"]);
    assert!(max_cpus <= LIMIT_CPUS, "{max_cpus} CPUs of {LIMIT_CPUS}");
    assert!(max_cpus > LIMIT_CPUS / 2.0, "only {max_cpus} CPUs");
}

/// Returns the index of the leader according to the state service.
fn leader_index(state: &StateService) -> usize {
    let history = state.history();
    let last = history
        .iter()
        .rev()
        .find(|change| change.key.ends_with("/leader"));
    let record = last.and_then(|change| change.value.as_ref()).unwrap();
    record["host"].as_str().unwrap()[1..].parse().unwrap()
}
