//! Real controllers on loopback admit for one team at the same time, while one of them is killed and started again.

use std::path::PathBuf;
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
    assert!(
        told.count(201) > 0 && told.count(429) > 0,
        "{:?}",
        told.statuses
    );
}
