//! Admission quotas with whole controllers: the answers to users, and what the state service holds at each revision.

use std::collections::BTreeMap;
use std::rc::Rc;

use futures_util::future::join_all;
use quota::{AccountChange, QuotaAmount};

use super::world::{NODES, World, run_scenario, start_cluster};
use crate::admission_quota::store_mapping::{charge_of, decode_change, key_of};
use crate::config::Config;
use crate::config::features::Features;
use crate::protocol::store::Change;
use crate::protocol::users::{JobState, Submission};
use crate::store::keys;
use crate::store::records::{EndRecord, JobEnd, JobRecord};
use crate::test_support::job;

const LIMIT_CPUS: f64 = 40.0;
const ROUNDS_MAX: u32 = 12;
const QUOTAS: &str = r#"
    [quota]
    total = { cpus = 60 }
    [[quota.teams]]
    name = "blue"
    guaranteed = { cpus = 12 }
    limit = { cpus = 40 }
    [[quota.teams]]
    name = "red"
    guaranteed = { cpus = 20 }
"#;

fn with_quotas(config: &mut Config) {
    config.features = Features::parse(QUOTAS, "features", config).unwrap();
    config.deployment.state.write_rps = 60.0;
}

fn of_team(id: &str, team: &str, tasks: u32) -> Submission {
    let mut spec = job(id, tasks);
    spec.team = team.into();
    spec
}

fn most_charged(world: &World, team: &str) -> QuotaAmount {
    charged(world, team).1
}

/// Charges of a team's unfinished jobs at each revision, recomputed from the records alone: the last sum and the
/// largest.
fn charged(world: &World, team: &str) -> (QuotaAmount, QuotaAmount) {
    let mut jobs: BTreeMap<String, QuotaAmount> = BTreeMap::new();
    let mut most = QuotaAmount::ZERO;
    let mut sum = QuotaAmount::ZERO;
    for change in world.state.history() {
        let (name, value) = match &change {
            Change::Put { key, value, .. } => (key, Some(value)),
            Change::Delete { key } => (key, None),
        };
        let rest = name.strip_prefix(keys::ROOT).unwrap();
        if let Some(id) = rest.strip_prefix("job/") {
            match value {
                Some(value) => {
                    let record: JobRecord = serde_json::from_str(value.get()).unwrap();
                    if record.spec.team == team {
                        jobs.insert(id.into(), charge_of(&record.spec));
                    }
                }
                None => {
                    jobs.remove(id);
                }
            }
        } else if let Some(id) = rest.strip_prefix("end/") {
            let record: EndRecord = serde_json::from_str(value.unwrap().get()).unwrap();
            if record.end == JobEnd::Done {
                jobs.remove(id);
            }
        }
        sum = jobs
            .values()
            .fold(QuotaAmount::ZERO, |sum, charge| sum + *charge);
        most = most.max(sum);
    }
    (sum, most)
}

fn assert_within(world: &World, team: &str, cpus: f64) {
    let most = most_charged(world, team).get(quota::QuotaDimension::Cpus);
    assert!(most <= (cpus * 1000.0) as i64, "{team}: {most} of {cpus}");
}

async fn wait_until_quotas_in_force(world: &Rc<World>) {
    world
        .wait_until("quotas in force", 20.0, || {
            (0..NODES).all(|at| {
                world
                    .node(at)
                    .is_some_and(|node| node.readiness().status == 200)
            })
        })
        .await;
}

/// Submits jobs of two CPUs at all controllers at the same instant; returns status and id of each.
async fn burst(world: &Rc<World>, first: u32, count: u32, team: &str) -> Vec<(u16, String)> {
    let submitted = (first..first + count).map(|number| {
        let id = format!("j-{number}");
        let spec = of_team(&id, team, 1);
        let world = world.clone();
        async move { (world.submit(number as usize % NODES, &spec).await.0, id) }
    });
    join_all(submitted).await
}

fn count(answers: &[(u16, String)], status: u16) -> usize {
    answers
        .iter()
        .filter(|(actual, _)| *actual == status)
        .count()
}

#[test]
fn concurrent_admissions_for_one_team_stay_within_its_limit() {
    run_scenario(with_quotas, |world| async move {
        start_cluster(&world, 0).await;
        wait_until_quotas_in_force(&world).await;
        let mut admitted = 0;
        for round in 0..6 {
            let answers = burst(&world, round * 100, 30, "blue").await;
            admitted += count(&answers, 201);
            let unexpected = answers
                .iter()
                .filter(|(actual, _)| ![201, 429, 503].contains(actual));
            assert_eq!(unexpected.count(), 0, "{answers:?}");
            world.run(4.0).await;
        }
        // The limit is 40 CPUs, two for each job.
        assert_eq!(admitted, 20);
        assert_within(&world, "blue", LIMIT_CPUS);
        assert!(most_charged(&world, "blue").get(quota::QuotaDimension::Cpus) == 40_000);
        // Red's guarantee is not used up by that.
        burst(&world, 1000, 10, "red").await;
        let began = world.now();
        for number in 1000..1010 {
            let spec = of_team(&format!("j-{number}"), "red", 1);
            world
                .submit_until_accepted(number as usize % NODES, &spec)
                .await;
        }
        assert!(
            world.now() - began < 12.0,
            "only after {:.1} s",
            world.now() - began
        );
        cancel_all(&world).await;
    });
}

/// Submits until the team's whole limit is in use. However its units are scattered, that takes a few rounds of peer
/// heartbeats at the most.
async fn submit_until_limit_in_use(world: &Rc<World>, first: u32, team: &str, cpus: f64) {
    for round in 0..ROUNDS_MAX {
        burst(world, first + round * 100, 6, team).await;
        world.run(3.0).await;
        if charged(world, team).0.get(quota::QuotaDimension::Cpus) == (cpus * 1000.0) as i64 {
            return;
        }
    }
    let node = world.node(0).unwrap();
    let view = node.replication.replica.borrow();
    let ledger = view.quota.as_ref().unwrap();
    let settings = world.config.features.quota.as_ref().unwrap();
    panic!(
        "{team}\n{}",
        crate::admission_quota::report::text(settings, ledger)
    );
}

/// Cancels all jobs, so that the final checks of the world pass.
async fn cancel_all(world: &Rc<World>) {
    let ids: Vec<String> = {
        let jobs = world.checks.jobs.borrow();
        let open = jobs
            .iter()
            .filter(|(_, known)| known.accepted.is_some() && known.final_state.is_none());
        open.map(|(id, _)| id.clone()).collect()
    };
    for id in ids {
        world.cancel_until_confirmed(0, &id).await;
    }
}

#[test]
fn a_submission_repeated_at_all_controllers_is_charged_once() {
    run_scenario(with_quotas, |world| async move {
        start_cluster(&world, 0).await;
        wait_until_quotas_in_force(&world).await;
        for number in 0..20 {
            let spec = of_team(&format!("j-{number}"), "blue", 1);
            let replies = join_all((0..NODES).map(|node| world.submit(node, &spec))).await;
            if !replies
                .iter()
                .any(|(status, _)| matches!(status, 200 | 201))
            {
                world.run(1.5).await;
                world.submit_until_accepted(number % NODES, &spec).await;
            }
        }
        assert_eq!(
            most_charged(&world, "blue").get(quota::QuotaDimension::Cpus),
            40_000
        );
        // A known job is answered as known though no quota is left, an unknown one at once with `Retry-After`.
        for node in 0..NODES {
            let (status, _) = world.submit(node, &of_team("j-3", "blue", 1)).await;
            assert_eq!(status, 200);
            let began = world.now();
            let (status, _) = world.submit(node, &of_team("j-99", "blue", 1)).await;
            assert_eq!(status, 429);
            assert!(world.now() - began < 1.0);
        }
        // Larger than the team's quota.
        let (status, _) = world.submit(1, &of_team("j-98", "blue", 21)).await;
        assert_eq!(status, 422);
        cancel_all(&world).await;
    });
}

/// A controller whose replica lags, and that has no quota left, still doesn't reject a job that another one just
/// accepted.
#[test]
fn a_job_just_accepted_by_another_controller_is_known() {
    run_scenario(with_quotas, |world| async move {
        start_cluster(&world, 0).await;
        wait_until_quotas_in_force(&world).await;
        for number in 0..20 {
            let spec = of_team(&format!("j-{number}"), "blue", 1);
            world.submit_until_accepted(0, &spec).await;
            let (status, _) = world.submit(1, &spec).await;
            assert_eq!(status, 200, "{}", spec.id);
        }
        cancel_all(&world).await;
    });
}

/// Replies are lost, processes crash and are back at once, late copies arrive: every charge is counted.
#[test]
fn restarts_and_lost_answers_in_a_burst() {
    run_scenario(with_quotas, |world| async move {
        start_cluster(&world, 0).await;
        wait_until_quotas_in_force(&world).await;
        for round in 0..8_u32 {
            let at = round as usize % NODES;
            world.state.links[at].lose_answers.set(2);
            world.state.links[(at + 1) % NODES].late_writes.set(2);
            burst(&world, round * 100, 12, "blue").await;
            world.kill(at);
            world.run(0.2).await;
            world.start(at);
            world.run(9.0).await;
        }
        world.run(10.0).await;
        world.state.repeat_everything();
        wait_until_quotas_in_force(&world).await;
        assert_within(&world, "blue", LIMIT_CPUS);
        // No units are stranded: in the end the whole limit is in use.
        submit_until_limit_in_use(&world, 2000, "blue", LIMIT_CPUS).await;
        assert_within(&world, "blue", LIMIT_CPUS);
        cancel_all(&world).await;
    });
}

/// Units of a crashed controller are reclaimed; its charged jobs stay charged.
#[test]
fn unused_quota_of_a_crashed_controller_is_reclaimed() {
    run_scenario(with_quotas, |world| async move {
        start_cluster(&world, 0).await;
        wait_until_quotas_in_force(&world).await;
        let spec = of_team("j-1", "blue", 1);
        world.submit_until_accepted(2, &spec).await;
        world.kill(2);
        world.run(60.0).await;
        let size = allotment(&world, "blue", "n2");
        assert_eq!(size.get(quota::QuotaDimension::Cpus), 2000);
        for number in 2..21 {
            let spec = of_team(&format!("j-{number}"), "blue", 1);
            world.submit_until_accepted(number % 2, &spec).await;
        }
        assert_eq!(world.submit(0, &of_team("j-50", "blue", 1)).await.0, 429);
        // It is back, and gets the units that its job no longer takes.
        world.start(2);
        world.run(5.0).await;
        assert_eq!(
            world.cancel_until_confirmed(1, "j-1").await,
            JobState::Cancelled
        );
        world
            .submit_until_accepted(2, &of_team("j-51", "blue", 1))
            .await;
        assert_within(&world, "blue", LIMIT_CPUS);
        cancel_all(&world).await;
    });
}

fn allotment(world: &World, team: &str, node: &str) -> QuotaAmount {
    let account = quota::AccountId::Allotment {
        team: team.into(),
        node: node.into(),
    };
    let store = world.state.store.borrow();
    let key = key_of(&account);
    let (value, _) = &store.keys[&key];
    let rest = key.strip_prefix(&keys::quota("")).unwrap();
    match decode_change(rest, Some(value)) {
        Some(AccountChange::Allotment {
            record: Some(record),
            ..
        }) => record.size,
        other => panic!("{other:?}"),
    }
}

/// A controller that was partitioned from the store alone continues after its allotment was reclaimed: its admissions
/// are rejected.
#[test]
fn a_controller_partitioned_from_the_store_does_not_admit_reclaimed_quota() {
    run_scenario(with_quotas, |world| async move {
        start_cluster(&world, 0).await;
        wait_until_quotas_in_force(&world).await;
        world
            .submit_until_accepted(2, &of_team("j-1", "blue", 1))
            .await;
        world.state.refuse(2, 70.0);
        world.run(20.0).await;
        assert_eq!(world.submit(2, &of_team("j-2", "blue", 1)).await.0, 503);
        world.run(55.0).await;
        wait_until_quotas_in_force(&world).await;
        for number in 3..22 {
            let spec = of_team(&format!("j-{number}"), "blue", 1);
            world.submit_until_accepted(number % NODES, &spec).await;
        }
        assert_within(&world, "blue", LIMIT_CPUS);
        cancel_all(&world).await;
    });
}

/// Jobs of an earlier version are not charged to an allotment and count against a part of their own, which shrinks as
/// they end.
#[test]
fn uncharged_jobs_count_until_they_end() {
    run_scenario(with_quotas, |world| async move {
        let bare = |spec: &Submission| JobRecord {
            spec: spec.clone(),
            submitted_unix_ms: None,
            dependency_parts: 0,
            charged_to: None,
        };
        for number in 1..=10 {
            let spec = of_team(&format!("j-{number}"), "blue", 1);
            world.expect_submission(&spec);
            let mut store = world.state.store.borrow_mut();
            store.put(keys::job(&spec.id), &bare(&spec));
        }
        start_cluster(&world, 0).await;
        wait_until_quotas_in_force(&world).await;
        // The ten uncharged jobs, which the store held from the start, take half of the limit.
        submit_until_limit_in_use(&world, 100, "blue", LIMIT_CPUS / 2.0).await;
        for _ in 0..3 {
            burst(&world, 1500, 6, "blue").await;
            world.run(3.0).await;
        }
        assert_within(&world, "blue", LIMIT_CPUS / 2.0);
        for number in 1..=10 {
            world
                .cancel_until_confirmed(0, &format!("j-{number}"))
                .await;
        }
        world.run(5.0).await;
        submit_until_limit_in_use(&world, 2100, "blue", LIMIT_CPUS).await;
        assert_within(&world, "blue", LIMIT_CPUS);
        cancel_all(&world).await;
    });
}

/// Different settings: controllers with the other file aren't ready, and admit nothing.
#[test]
fn controllers_with_different_quota_settings_are_not_ready() {
    run_scenario(with_quotas, |world| async move {
        start_cluster(&world, 0).await;
        wait_until_quotas_in_force(&world).await;
        world
            .submit_until_accepted(0, &of_team("j-1", "blue", 10))
            .await;
        let mut lower = world.config.clone();
        let text = QUOTAS.replace("limit = { cpus = 40 }", "limit = { cpus = 16 }");
        lower.features = Features::parse(&text, "features", &lower).unwrap();
        *world.config_override.borrow_mut() = Some(lower);
        world.kill(1);
        world.run(1.0).await;
        world.start(1);
        world.run(10.0).await;
        assert_eq!(world.node(1).unwrap().readiness().status, 503);
        assert_eq!(world.submit(1, &of_team("j-2", "blue", 1)).await.0, 503);
        // All have the new file: the team holds more than its limit, and gets nothing until its use has fallen.
        world.kill(0);
        world.kill(2);
        world.run(1.0).await;
        world.start(0);
        world.start(2);
        world.run(15.0).await;
        wait_until_quotas_in_force(&world).await;
        for node in 0..NODES {
            assert_eq!(world.submit(node, &of_team("j-3", "blue", 1)).await.0, 429);
        }
        world.cancel_until_confirmed(0, "j-1").await;
        world.run(10.0).await;
        world
            .submit_until_accepted(0, &of_team("j-3", "blue", 1))
            .await;
        cancel_all(&world).await;
    });
}

/// Red may run 40 CPUs at a time, and has more accepted than that. Failovers happen in the middle of bursts: the
/// running limit is checked at each start, and every accepted job comes to its end.
#[test]
fn the_running_limit_holds_during_failovers_in_a_burst() {
    run_scenario(with_quotas, |world| async move {
        start_cluster(&world, 8).await;
        wait_until_quotas_in_force(&world).await;
        for round in 0..4_u32 {
            burst(&world, round * 100, 24, "red").await;
            world.run(2.0).await;
            if let Some(leader) = world.leader() {
                world.kill(leader);
                burst(&world, round * 100 + 50, 12, "red").await;
                world.run(1.0).await;
                world.start(leader);
            }
            world.run(12.0).await;
        }
        wait_until_quotas_in_force(&world).await;
        assert!(
            world.checks.starts.get() > 20,
            "{} starts",
            world.checks.starts.get()
        );
        world.wait_for_all_jobs(600.0).await;
    });
}

/// With the feature off nothing of it is stored.
#[test]
fn without_the_feature_no_quota_key_or_field_is_written() {
    run_scenario(super::world::default_settings, |world| async move {
        start_cluster(&world, 2).await;
        world
            .submit_until_accepted(0, &of_team("j-1", "blue", 3))
            .await;
        world.wait_for_all_jobs(200.0).await;
        for change in world.state.history() {
            let (Change::Put { key: name, .. } | Change::Delete { key: name }) = &change;
            assert!(!name.contains("quota"), "{name}");
            if let Change::Put { value, .. } = &change {
                assert!(!value.get().contains("Quota"), "{name}");
            }
        }
    });
}
