//! Loads that read the store page by page while it changes.

use std::collections::BTreeMap;

use quota::{QuotaAmount, TeamUsage};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::changing_store::ChangingStore;
use super::raw;
use crate::store::keys;
use crate::store::replica::StateReplica;
use crate::test_support::job;

/// The environment variable that sets the number of seeds.
const SEEDS_VARIABLE: &str = "LOAD_SEEDS";
const DEFAULT_SEEDS: u64 = 300;
/// Maximum number of keys in a page.
const PAGE_KEYS_MAX: usize = 6;
/// Maximum number of transactions between two pages.
const CHANGES_MAX: usize = 10;
/// Maximum number of transactions before and after the load.
const CHANGES_AROUND_MAX: usize = 60;

fn change(store: &mut ChangingStore, rng: &mut SmallRng, changes_max: usize) {
    for _ in 0..rng.random_range(0..=changes_max) {
        store.change();
    }
}

/// Loads the store page by page; it changes between the pages.
fn load_while_it_changes(store: &mut ChangingStore, rng: &mut SmallRng) -> StateReplica {
    let mut replica = StateReplica::with_quota();
    let first_revision = store.revision;
    let mut after_key = String::new();
    loop {
        let page_keys = rng.random_range(1..=PAGE_KEYS_MAX);
        let mut is_last = true;
        let rest = store.keys.iter().filter(|(key, _)| **key > after_key);
        let mut last_key = None;
        for (position, (key, (value, revision))) in rest.enumerate() {
            if position == page_keys {
                is_last = false;
                break;
            }
            replica.apply(key, Some(value), *revision);
            last_key = Some(key.clone());
        }
        after_key = last_key.unwrap_or(after_key);
        if is_last {
            break;
        }
        change(store, rng, CHANGES_MAX);
    }
    replica.advance_to(first_revision);
    replica.set_consistent_from(store.revision);
    replica.finish_load(0.0, 0);
    replica.take_readiness_changes(0.0);
    replica
}

/// Applies the changes that a watch delivers after the replica's revision.
fn catch_up(replica: &mut StateReplica, store: &ChangingStore) {
    let after = replica.revision;
    for change in store.changes.iter().filter(|c| c.revision > after) {
        replica.apply(&change.key, change.value.as_deref(), change.revision);
        replica.take_readiness_changes(0.0);
    }
    replica.advance_to(store.revision);
}

/// Loads the store while it doesn't change.
fn load(store: &ChangingStore) -> StateReplica {
    let mut replica = StateReplica::with_quota();
    for (key, (value, revision)) in &store.keys {
        replica.apply(key, Some(value), *revision);
    }
    replica.advance_to(store.revision);
    replica.finish_load(0.0, 0);
    replica.take_readiness_changes(0.0);
    replica
}

/// What a controller acts on, by name.
fn summary(replica: &StateReplica) -> BTreeMap<String, String> {
    let mut summary = BTreeMap::new();
    for (id, job) in &replica.jobs {
        let valid = replica.assignments.oldest_valid();
        let tasks = job.tasks.iter().filter(|(_, t)| t.record_number >= valid);
        let tasks: Vec<_> = tasks.map(|(task, record)| (task, &record.state)).collect();
        let status = job.status(id);
        let shown = (
            job.is_known(),
            status.state,
            status.done,
            job.spec.as_ref().map(|spec| (spec, job.accepted_revision)),
            job.spec.is_some() && !job.has_ended() && job.is_blocked,
            (status.running, tasks),
        );
        summary.insert(id.to_string(), format!("{shown:?}"));
    }
    let mut insert = |name: &str, value: String| summary.insert(name.to_owned(), value);
    let records: Vec<u64> = replica.assignments.numbers().collect();
    insert("leader", format!("{:?}", replica.leader));
    insert("machine types", format!("{:?}", replica.machine_types));
    insert("delegations", format!("{:?}", replica.delegations));
    insert("assignment records", format!("{records:?}"));
    let oldest_valid = replica.assignments.oldest_valid();
    insert("oldest valid record", format!("{oldest_valid:?}"));
    let parts: Vec<_> = replica.dependency_parts_without_job().collect();
    insert("dependency parts without a job", format!("{parts:?}"));
    let ledger = replica.quota.as_ref().unwrap();
    insert("settings", format!("{:?}", ledger.settings()));
    insert("shared", format!("{:?}", ledger.shared_free()));
    insert("presence", format!("{}", ledger.is_present("n0")));
    // A team without units or charges may be known or not.
    let usage = ledger.team_usage("blue").unwrap_or(TeamUsage {
        held: QuotaAmount::ZERO,
        free: QuotaAmount::ZERO,
        used: QuotaAmount::ZERO,
        allotments: Vec::new(),
    });
    insert("usage", format!("{usage:?}"));
    summary
}

/// Whatever changes between two pages of a load, a replica that has caught up with the watch must equal one that was
/// loaded in one piece: for each kind of key, and for keys that belong to others on an earlier or a later page, created or
/// deleted in between. The watch brings all changes since the first page again. A reload after a 410 is such a load.
///
/// `LOAD_SEEDS=100000 cargo test --release paged_load` tries more seeds.
#[test]
fn a_load_between_changes_equals_one_in_one_piece_after_the_watch() {
    let seeds = std::env::var(SEEDS_VARIABLE).ok();
    let seeds = seeds.map_or(DEFAULT_SEEDS, |seeds| seeds.parse().unwrap());
    for seed in 0..seeds {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut store = ChangingStore::new(SmallRng::seed_from_u64(rng.random()));
        change(&mut store, &mut rng, CHANGES_AROUND_MAX);
        let mut replica = load_while_it_changes(&mut store, &mut rng);
        for _ in 0..3 {
            catch_up(&mut replica, &store);
            let expected = summary(&load(&store));
            let actual = summary(&replica);
            for name in expected.keys().chain(actual.keys()) {
                let (actual, expected) = (actual.get(name), expected.get(name));
                assert_eq!(actual, expected, "seed {seed}: {name}");
            }
            change(&mut store, &mut rng, CHANGES_AROUND_MAX);
        }
    }
}

/// The keys of assignment records sort by their digits: record 100 is on an earlier page than 98 and 99. Record 98 assigns
/// a task and record 99 releases it. After the load has read record 98, both are rewritten into records 100 and 101, which
/// leave the released task out, and are deleted before the load reads record 99. The task must not stay assigned.
#[test]
fn a_released_task_is_not_assigned_after_a_load_across_rewritten_records() {
    let assigned = r#"{"z":["north"],"m":[["i-1",0]],"j":[{"i":"j-1","a":7,"b":[[0,1,0]]}]}"#;
    let spec = serde_json::to_string(&job("j-1", 2)).unwrap();
    let mut replica = StateReplica::default();
    replica.apply(&keys::job("j-1"), Some(&raw(&spec)), 1);
    replica.apply(&keys::assignment_record(98), Some(&raw(assigned)), 2);
    replica.advance_to(3);
    replica.set_consistent_from(6);
    replica.finish_load(0.0, 0);
    for (number, oldest_valid, revision) in [(100, 99, 4), (101, 100, 5)] {
        let rewritten = format!(r#"{{"o":{oldest_valid},"j":[]}}"#);
        let key = keys::assignment_record(number);
        replica.apply(&key, Some(&raw(&rewritten)), revision);
    }
    for number in [98, 99] {
        replica.apply(&keys::assignment_record(number), None, 6);
    }
    replica.advance_to(6);
    assert_eq!(replica.jobs["j-1"].status("j-1").running, 0);
}
