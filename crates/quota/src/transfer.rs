//! Transactions by which a controller moves unused units between its own allotments and other accounts. Each
//! transaction is conditional on the revision of every record that it changes. It is therefore applied at most once,
//! and only to the state from which it was planned.

use std::rc::Rc;

use crate::Time;
use crate::admission::Admissions;
use crate::amount::QuotaAmount;
use crate::ledger::{Ledger, next_in_name_order};
use crate::records::{AllotmentRecord, Plan};
use crate::team_account::TeamAccount;

/// Time in seconds without a submission of a team after which its allotment's unused units are released.
const IDLE_RELEASE_AFTER_S: f64 = 60.0;

/// Time in seconds without an admission after which a controller with a shortage may hand over its units: they are too
/// few for the jobs that are submitted to it.
const STALLED_AFTER_S: f64 = 3.0;

/// Maximum number of allotments that one call examines for unused units.
const EXAMINED_ALLOTMENTS_MAX: usize = 32;

/// A refill borrows, beyond the missing units, the surplus in the shared pool divided by this number and by the
/// number of controllers.
const SHARED_SURPLUS_DIVISOR: i64 = 4;

/// Plans a transfer of the units that this controller's allotment lacks to admit `need` of a team, from the team's free
/// units and then from the shared pool. Returns `None` if the settings are not in force, if the team is overdrawn, if
/// these units do not suffice and the allotment needs no new revision, or if nothing has to change.
///
/// The plan also takes over the allotment of a previous incarnation of this controller, and settles creations in
/// doubt: with the allotment's new revision, the store refuses those that were not applied.
pub fn refill(
    ledger: &Ledger,
    admissions: &Admissions,
    team: &Rc<str>,
    need: QuotaAmount,
    now: Time,
) -> Option<Plan> {
    let settings_revision = admissions.settings_in_force(ledger)?;
    let settings = admissions.settings();
    let mut account = TeamAccount::read(ledger, settings, team, ledger.generation()?);
    if admissions.is_overdrawn(ledger, team, &account.record) {
        return None;
    }
    let node = admissions.node();
    let is_owned = admissions.owned_allotment(ledger, team).is_some();
    let need = settings.counted(team, need);
    let missing = admissions.missing(ledger, team, need);
    let withdrawn = withdraw(&mut account, ledger, admissions, team, missing);
    let is_enough = missing.fits_within(&withdrawn);
    // Without enough units the plan still creates or takes over the allotment: another controller can hand units
    // only to an existing allotment.
    let has_creations_in_doubt = admissions.in_flight.has_creations_in_doubt(team, now);
    if !is_enough && is_owned && !has_creations_in_doubt {
        return None;
    }
    let added = if is_enough {
        withdrawn
    } else {
        QuotaAmount::ZERO
    };
    if is_owned && added.is_zero() && !account.is_outdated && !has_creations_in_doubt {
        return None;
    }
    let mut plan = Plan::under_settings(settings_revision);
    let present = ledger.allotment(team, node);
    let record = AllotmentRecord {
        incarnation: admissions.incarnation(),
        size: present.map_or(QuotaAmount::ZERO, |allotment| allotment.size()) + added,
    };
    let revision = ledger.allotment_revision(team, node);
    plan.put_allotment(revision, team, node, record);
    if account.is_outdated || is_enough && !added.is_zero() {
        account.write(ledger, team, &mut plan)?;
    }
    Some(plan)
}

/// Withdraws the missing units and a part of the surplus from a team's account and the shared pool. Returns the
/// withdrawn units; zero if the missing units are not available.
fn withdraw(
    account: &mut TeamAccount,
    ledger: &Ledger,
    admissions: &Admissions,
    team: &str,
    missing: QuotaAmount,
) -> QuotaAmount {
    if missing.is_zero() {
        return QuotaAmount::ZERO;
    }
    let controllers = admissions.controllers();
    let surplus = (account.record.free - missing).non_negative();
    let extra = surplus.divided_by(controllers).restricted_to(missing);
    let from_team = (missing + extra).min(account.record.free);
    let still_missing = (missing - from_team).non_negative();
    let mut borrowed = QuotaAmount::ZERO;
    if !still_missing.is_zero() {
        let shared = ledger.shared.record.as_ref();
        let shared_free = shared.map_or(QuotaAmount::ZERO, |shared| shared.free.non_negative());
        let surplus = (shared_free - still_missing).non_negative();
        let extra = surplus
            .divided_by(SHARED_SURPLUS_DIVISOR * controllers)
            .restricted_to(still_missing);
        let limit = admissions.settings().team(team).limit;
        let below_limit = (limit - account.record.held).non_negative();
        borrowed = (still_missing + extra).min(shared_free).min(below_limit);
        if !still_missing.fits_within(&borrowed) {
            return QuotaAmount::ZERO;
        }
    }
    account.record.free -= from_team;
    account.record.held += borrowed;
    account.to_shared -= borrowed;
    from_team + borrowed
}

/// Plans a transfer of unused units to the allotment of a controller that requested them. Requests that cannot be
/// met are discarded: a controller that still lacks units announces its shortage again.
pub fn grant(ledger: &Ledger, admissions: &mut Admissions, now: Time) -> Option<Plan> {
    let settings_revision = admissions.settings_in_force(ledger)?;
    while let Some(request) = admissions.shortages.pop_request() {
        let (team, node) = (&request.team, &request.node);
        let Some(mut recipient) = ledger.allotment_record(team, node).cloned() else {
            continue;
        };
        if recipient.incarnation == AllotmentRecord::UNOWNED || admissions.has_outgoing(team) {
            continue;
        }
        if !may_hand_over(admissions, team, node, now) {
            continue;
        }
        let unused = admissions.available(ledger, team).non_negative();
        let amount = unused.min(request.amount);
        let Some(mut donor) = admissions.owned_allotment(ledger, team).cloned() else {
            continue;
        };
        if amount.is_zero() {
            continue;
        }
        donor.size -= amount;
        recipient.size += amount;
        let donor_node = admissions.node().clone();
        let revision = ledger.allotment_revision(team, &donor_node);
        let mut plan = Plan::under_settings(settings_revision);
        plan.put_allotment(revision, team, &donor_node, donor);
        plan.put_allotment(ledger.allotment_revision(team, node), team, node, recipient);
        admissions.begin_transfer(team, amount, revision);
        return Some(plan);
    }
    None
}

/// Returns whether this controller may hand units of a team to another controller. A controller with a shortage of
/// its own keeps its units, as smaller jobs may still fit. If it has admitted no job for [`STALLED_AFTER_S`], it
/// hands its units to a controller with a smaller name; without this order, two controllers with shortages would
/// repeatedly swap their units.
fn may_hand_over(admissions: &Admissions, team: &str, to: &Rc<str>, now: Time) -> bool {
    let is_stalled = admissions
        .last_admission_at(team)
        .is_none_or(|at| now - at > STALLED_AFTER_S);
    let is_short = admissions.shortages.has_recent_own_shortage(team, now);
    !is_short || is_stalled && admissions.node() > to
}

/// Plans a release of unused units of an allotment to the team's account and the shared pool: all of them if the
/// allotment is idle or the team is overdrawn, only the borrowed ones if another team has a shortage. If a previous
/// incarnation or a creation in doubt may still use the allotment, the plan only gives it a new revision; the units are
/// released by a later plan.
pub fn release_unused(ledger: &Ledger, admissions: &mut Admissions, now: Time) -> Option<Plan> {
    let settings_revision = admissions.settings_in_force(ledger)?;
    let node = admissions.node().clone();
    for _ in 0..EXAMINED_ALLOTMENTS_MAX {
        let teams = ledger.teams_by_node.get(&node)?;
        let next = next_in_name_order(teams, admissions.release_cursor.as_ref());
        admissions.release_cursor = next.clone();
        if let Some(plan) = release_unused_of(ledger, admissions, &next?, settings_revision, now) {
            return Some(plan);
        }
    }
    None
}

fn release_unused_of(
    ledger: &Ledger,
    admissions: &mut Admissions,
    team: &Rc<str>,
    settings_revision: u64,
    now: Time,
) -> Option<Plan> {
    if admissions.has_outgoing(team) {
        return None;
    }
    let node = admissions.node().clone();
    let mut own = ledger.allotment_record(team, &node)?.clone();
    let settings = admissions.settings();
    let mut account = TeamAccount::read(ledger, settings, team, ledger.generation()?);
    let shortages = &admissions.shortages;
    let is_idle = admissions
        .last_decision_at(team)
        .is_none_or(|at| now - at > IDLE_RELEASE_AFTER_S);
    let should_return_borrowed =
        shortages.is_other_team_short(team, now) && !shortages.has_recent_own_shortage(team, now);
    let are_units_needed = should_return_borrowed || shortages.is_team_short(team, now);
    let is_of_previous_incarnation =
        own.incarnation != admissions.incarnation() && !own.size.is_zero();
    let revision = ledger.allotment_revision(team, &node);
    let mut plan = Plan::under_settings(settings_revision);
    if (is_idle || are_units_needed)
        && (is_of_previous_incarnation || admissions.in_flight.has_creations_in_doubt(team, now))
    {
        // With the new revision, the store refuses creations that a previous incarnation, or this one, may have in
        // flight.
        own.incarnation = admissions.incarnation();
        plan.put_allotment(revision, team, &node, own);
        return Some(plan);
    }
    if own.incarnation != admissions.incarnation() {
        return None;
    }
    let unused = admissions.available(ledger, team).non_negative();
    let amount = if is_idle || admissions.is_overdrawn(ledger, team, &account.record) {
        unused
    } else if should_return_borrowed {
        unused.min(account.borrowed(settings, team))
    } else {
        QuotaAmount::ZERO
    };
    if amount.is_zero() {
        return None;
    }
    own.size -= amount;
    account.return_units(settings, team, amount);
    plan.put_allotment(revision, team, &node, own);
    account.write(ledger, team, &mut plan)?;
    admissions.begin_transfer(team, amount, revision);
    Some(plan)
}
