//! Real controllers on loopback admit for one team at the same time, while one of them is killed and started again.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use loadtest::controllers::{Controllers, Setup};
use loadtest::state_service::StateService;
use loadtest::users::{Plan, play};
use loadtest::verdict;

const LIMIT_CPUS: f64 = 40.0;
const QUOTAS: &str = "[quota]\ntotal = { cpus = 60 }\n\
    [[quota.teams]]\nname = \"team\"\nguaranteed = { cpus = 10 }\nlimit = { cpus = 40 }\n";
/// Long enough for a machine that is busy with other things; it is not waited for.
const READY: Duration = Duration::from_secs(120);

/// What `capervale quota` prints.
fn capervale(folder: &Path, arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_capervale"))
        .current_dir(folder)
        .args(["quota", "--config", "n0.toml"])
        .args(arguments)
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap()
}

#[test]
fn three_controllers_never_admit_more_than_the_limit() {
    let folder = tempfile::tempdir().unwrap();
    let (state, addr) = StateService::start().unwrap();
    let setup = Setup {
        program: PathBuf::from(env!("CARGO_BIN_EXE_capervale")),
        folder: folder.path().to_owned(),
        count: 3,
        teams: vec!["team".into()],
        features: Some(QUOTAS.into()),
    };
    let mut controllers = Controllers::start(setup, addr).unwrap();
    controllers.wait_until_ready(READY).unwrap();
    let plan = Plan {
        fronts: controllers.fronts().to_vec(),
        teams: vec!["team".into()],
        users: 12,
        jobs: 300,
        cancelled: 0.3,
        pause: Duration::ZERO,
        first_id: 1,
    };
    let mut restarted = false;
    let told = play(&plan, |submitted| {
        if submitted > 100 && !restarted {
            restarted = true;
            controllers.restart(1).unwrap();
        }
    });
    let usage = verdict::usage(&state.history());
    let most = verdict::most(&usage["team"]);
    assert!(most <= LIMIT_CPUS, "{most} CPUs of {LIMIT_CPUS}");
    // What an operator sees of it.
    let shown = capervale(folder.path(), &["--features", "features.toml"]);
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
    assert_eq!(capervale(folder.path(), &["--end"]), ended);
    let none = "no quotas are in force\n";
    assert_eq!(capervale(folder.path(), &["--end"]), none);
    assert!(
        told.count(201) > 0 && told.count(429) > 0,
        "{:?}",
        told.statuses
    );
}
