//! Creations of jobs that reach the store late, after an allotment or the settings on which they were decided have
//! changed. The store must refuse them where they could exceed a quota.

use crate::support::checker::check_history;
use crate::support::settings;
use crate::support::store::{Outcome, Txn};
use crate::support::world::World;
use quota::{Decision, QuotaAmount, QuotaDimension};

const QUOTAS: &str = r#"
    total = { cpus = 12 }
    [[teams]]
    name = "red"
    guaranteed = { cpus = 6 }
    limit = { cpus = 12 }
"#;
const LOWER_QUOTAS: &str = r#"
    total = { cpus = 12 }
    [[teams]]
    name = "red"
    guaranteed = { cpus = 1 }
    limit = { cpus = 2 }
"#;

fn cpu_charge(cpus: f64) -> QuotaAmount {
    QuotaAmount::of_job(1, cpus, 0.0, 0.0)
}

/// Admits a job at a controller; returns the creation transaction, which has not reached the store.
fn admitted_creation(world: &mut World, controller_index: usize, id: &str, cpus: f64) -> Txn {
    let now = world.now;
    let (decision, creation) =
        world.controllers[controller_index].submit(id, "red", cpu_charge(cpus), now);
    assert!(matches!(decision, Decision::Admitted(_)), "{decision:?}");
    creation.unwrap().0
}

/// Creates two controllers. Both have admitted a job; the first leads and still has units for further jobs.
fn world_with_admissions() -> World {
    let mut world = World::new(1, 2, settings(QUOTAS));
    for controller_index in [1, 0] {
        world.admit_eventually(controller_index, "red", cpu_charge(1.0), 10);
    }
    world
}

/// A controller restarts while a creation of its previous incarnation is in flight. Both incarnations could use the
/// same units of the allotment.
#[test]
fn late_creation_of_a_previous_incarnation_exceeds_no_quota() {
    let mut world = world_with_admissions();
    let available = world.available(0, "red");
    assert!(available.get(QuotaDimension::Cpus) >= 500, "{available}");
    let late_creation = admitted_creation(&mut world, 0, "j-900", 0.5);
    world.restart(0);
    world.elect(1);
    // Before the late creation arrives, the new incarnation admits as many jobs as it may without a transfer.
    for number in 100..120 {
        let now = world.now;
        let id = format!("j-{number}");
        let (_, creation) = world.controllers[0].submit(&id, "red", cpu_charge(0.5), now);
        if let Some((txn, _)) = creation {
            world.store.apply(&txn);
        }
    }
    world.store.apply(&late_creation);
    check_history(&world.store, &world.settings, 1);
    // The first transfer of the new incarnation takes the allotment over, after which late creations are refused.
    world.admit_eventually(0, "red", cpu_charge(0.5), 10);
    let late_creation = Txn {
        changes: vec![],
        ..late_creation
    };
    assert_eq!(world.store.apply(&late_creation), Outcome::Conflict);
    check_history(&world.store, &world.settings, 1);
}

/// The leader reclaims the allotment of a stopped controller whose creation is in flight.
#[test]
fn late_creation_from_a_reclaimed_allotment_is_refused() {
    let mut world = world_with_admissions();
    let late_creation = admitted_creation(&mut world, 1, "j-900", 0.5);
    world.stop(1);
    world.run_until_idle();
    assert_eq!(world.allotted(1, "red"), counted_charge(1.0));
    assert_eq!(world.store.apply(&late_creation), Outcome::Conflict);
    check_history(&world.store, &world.settings, 1);
}

/// The charge of a job in the dimensions that these quotas limit.
fn counted_charge(cpus: f64) -> QuotaAmount {
    settings(QUOTAS).counted("red", cpu_charge(cpus))
}

/// A creation is applied just before the first step of the reclaim reaches the store. The second step must not
/// reclaim the units of this job.
#[test]
fn reclaim_keeps_the_units_of_a_concurrent_creation() {
    let mut world = world_with_admissions();
    let late_creation = admitted_creation(&mut world, 1, "j-900", 0.5);
    world.stop(1);
    world.replicate(0, 1000);
    assert!(
        world.send_background_transaction(0),
        "the leader sends no first step of the reclaim"
    );
    // The creation is applied before the first step arrives, so the allotment keeps the job's units.
    assert_eq!(world.store.apply(&late_creation), Outcome::Applied);
    world.run_until_idle();
    check_history(&world.store, &world.settings, 1);
    assert_eq!(
        world.allotted(1, "red"),
        counted_charge(1.0) + counted_charge(0.5)
    );
}

/// A creation admitted under previous settings reaches the store after the leader has replaced them. The leader
/// computes the new shared pool from the units that teams hold, so no such creation may be applied after the first of
/// its two steps.
#[test]
fn late_creation_under_replaced_settings_is_refused() {
    let mut world = world_with_admissions();
    let late_creation = admitted_creation(&mut world, 1, "j-900", 0.5);
    world.settings = settings(LOWER_QUOTAS);
    world.restart(0);
    world.elect(0);
    // The leader replaces the settings in two steps; the late creation conflicts with the first one already.
    for _ in 0..3 {
        world.replicate(0, 1000);
        world.send_background_transaction(0);
        world.advance(1.0);
    }
    assert_eq!(world.store.apply(&late_creation), Outcome::Conflict);
}

/// Two teams request the last unit of the shared pool at two controllers at the same time. Only one of them may
/// borrow it.
#[test]
fn last_unit_of_the_shared_pool_is_borrowed_once() {
    let quotas = r#"
        total = { cpus = 5 }
        [[teams]]
        name = "red"
        guaranteed = { cpus = 2 }
        [[teams]]
        name = "blue"
        guaranteed = { cpus = 2 }
    "#;
    let mut world = World::new(3, 2, settings(quotas));
    for _ in 0..2 {
        world.admit_eventually(0, "red", cpu_charge(1.0), 10);
        world.admit_eventually(1, "blue", cpu_charge(1.0), 10);
    }
    for _ in 0..10 {
        world.submit_as(0, "j-800", "red", cpu_charge(1.0));
        world.submit_as(1, "j-801", "blue", cpu_charge(1.0));
        world.advance(0.5);
        for controller_index in [0, 1] {
            world.replicate(controller_index, 1000);
        }
    }
    let admitted = ["j-800", "j-801"].map(|id| world.controllers[0].knows_job(id));
    assert!(admitted[0] != admitted[1], "{admitted:?}");
    check_history(&world.store, &world.settings, 1);
}

/// A team takes its guarantee for the first time while the leader puts lower settings in force. The team's first
/// record is stored before the leader's replica includes it; the units must still add up to the total.
#[test]
fn settings_change_accounts_for_a_concurrent_first_team_record() {
    let mut world = World::new(1, 2, settings(QUOTAS));
    let refill = world.controllers[1].refill("red", cpu_charge(1.0), 0.0);
    let (first_refill, _) = refill.unwrap();
    let lower = settings(LOWER_QUOTAS);
    world.settings = lower.clone();
    world.restart(0);
    world.elect(0);
    assert_eq!(world.store.apply(&first_refill), Outcome::Applied);
    for _ in 0..4 {
        world.send_background_transaction(0);
        world.advance(1.0);
        world.replicate(0, 1000);
    }
    let (record, _) = world.controllers[0].ledger.settings().unwrap();
    assert!(record.open && record.digest == lower.digest());
    world.totals().check_units(&lower);
}
