//! Transactions that only the leader sends: it puts settings in force, reclaims allotments of unreachable
//! controllers, reserves units for jobs that are charged to no allotment, and returns borrowed units to the shared
//! pool.

use std::collections::BTreeSet;
use std::rc::Rc;

use crate::admission::Admissions;
use crate::amount::QuotaAmount;
use crate::ledger::{Ledger, next_in_name_order};
use crate::records::{
    AccountChange, AccountId, AllotmentRecord, Plan, SettingsRecord, SharedRecord,
};
use crate::team_account::TeamAccount;

/// Maximum number of teams that one call examines for borrowed units.
const EXAMINED_TEAMS_MAX: usize = 32;

/// State of the leader's search for the next transaction.
#[derive(Debug, Default)]
pub struct Supervisor {
    /// The team that was examined last for borrowed units.
    cursor: Option<Rc<str>>,
}

impl Supervisor {
    /// The next transaction that the leader should send, if any. `is_unreachable` returns true for a controller
    /// without recent heartbeats. An allotment is reclaimed only if the controller's lease in the store has expired
    /// too; the transaction is conditional on this.
    pub fn next_plan(
        &mut self,
        ledger: &mut Ledger,
        admissions: &Admissions,
        is_unreachable: impl Fn(&str) -> bool,
    ) -> Option<Plan> {
        if !ledger.is_consistent() {
            return None;
        }
        let plan = match admissions.settings_in_force(ledger) {
            None => Some(apply_settings(ledger, admissions)),
            Some(revision) => reclaim(ledger, admissions, revision, is_unreachable)
                .or_else(|| reserve_uncharged(ledger, admissions, revision))
                .or_else(|| self.return_borrowed(ledger, admissions, revision)),
        };
        plan.map(|plan| Plan {
            requires_leader: true,
            ..plan
        })
    }

    /// Returns to the shared pool those borrowed units of a team that are in no allotment.
    fn return_borrowed(
        &mut self,
        ledger: &Ledger,
        admissions: &Admissions,
        settings_revision: u64,
    ) -> Option<Plan> {
        let settings = admissions.settings();
        for _ in 0..EXAMINED_TEAMS_MAX {
            self.cursor = next_in_name_order(&ledger.teams_with_free_units, self.cursor.as_ref());
            let team = self.cursor.as_ref()?;
            let mut account = TeamAccount::read(ledger, settings, team, ledger.generation()?);
            let borrowed = account.borrowed(settings, team);
            let amount = borrowed.min(account.record.free);
            if !amount.is_zero() {
                account.record.free -= amount;
                account.return_units(settings, team, amount);
                let mut plan = Plan::under_settings(settings_revision);
                account.write(ledger, team, &mut plan)?;
                return Some(plan);
            }
        }
        None
    }
}

/// Plans the next of the two steps that put settings in force. The first step changes the settings' revision, so that
/// the store refuses all admissions and transfers under the previous settings: each is conditional on that revision.
/// Once the ledger includes the first step, the units that teams hold are exact, and the second step computes the
/// shared pool from them and opens admission.
fn apply_settings(ledger: &Ledger, admissions: &Admissions) -> Plan {
    let stored = ledger.settings();
    let generation = ledger.generation().unwrap_or(0);
    let is_first_step_stored =
        stored.is_some_and(|(record, _)| record.digest == admissions.digest());
    let mut plan = Plan {
        conditions: Vec::new(),
        changes: Vec::new(),
        requires_leader: true,
    };
    if is_first_step_stored {
        let free = unreserved(ledger, admissions);
        let change = AccountChange::Shared(Some(SharedRecord { free }));
        plan.put(ledger.shared.expected_revision(), change);
    }
    let record = SettingsRecord {
        digest: admissions.digest().to_owned(),
        generation: if is_first_step_stored {
            generation
        } else {
            generation + 1
        },
        open: is_first_step_stored,
    };
    let change = AccountChange::Settings(Some(record));
    plan.put(ledger.settings.expected_revision(), change);
    plan
}

/// Units of the shared pool: the total minus all guarantees, and minus the units that teams hold beyond their
/// guarantees.
fn unreserved(ledger: &Ledger, admissions: &Admissions) -> QuotaAmount {
    let settings = admissions.settings();
    let mut reserved = settings.reserved();
    for (name, team) in &ledger.teams {
        if let Some(record) = &team.stored.record {
            let guaranteed = settings.team(name).guaranteed;
            reserved += record.held.max(guaranteed) - guaranteed;
        }
    }
    settings.total() - reserved
}

/// Plans the next step to reclaim unused units of unreachable controllers. The first step gives an allotment a new
/// revision, so that the store refuses all creations that its controller may still have in flight. Once the ledger
/// includes the first step, the charges to the allotment are exact, and the second step returns the remaining units to
/// the team and the shared pool.
fn reclaim(
    ledger: &Ledger,
    admissions: &Admissions,
    settings_revision: u64,
    is_unreachable: impl Fn(&str) -> bool,
) -> Option<Plan> {
    let unreachable: BTreeSet<&Rc<str>> = ledger
        .nodes_with_allotments()
        .filter(|node| {
            *node != admissions.node() && !ledger.is_present(node) && is_unreachable(node)
        })
        .collect();
    for node in unreachable {
        for team in &ledger.teams_by_node[node] {
            let plan = reclaim_allotment(ledger, admissions, settings_revision, team, node);
            if plan.is_some() {
                return plan;
            }
        }
    }
    None
}

fn reclaim_allotment(
    ledger: &Ledger,
    admissions: &Admissions,
    settings_revision: u64,
    team: &Rc<str>,
    node: &Rc<str>,
) -> Option<Plan> {
    let allotment = ledger.allotment(team, node)?;
    let record = allotment.stored.record.as_ref()?;
    let unused = (record.size - allotment.used).non_negative();
    if unused.is_zero() {
        return None;
    }
    let mut plan = Plan::under_settings(settings_revision);
    let mut size = record.size;
    if record.incarnation == AllotmentRecord::UNOWNED {
        size -= unused;
        let settings = admissions.settings();
        let mut account = TeamAccount::read(ledger, settings, team, ledger.generation()?);
        account.return_units(settings, team, unused);
        account.write(ledger, team, &mut plan)?;
    } else {
        // A controller that has come back meanwhile has an owner record again, and keeps its allotment.
        plan.require(AccountId::Owner(node.clone()), 0);
    }
    let record = AllotmentRecord {
        incarnation: AllotmentRecord::UNOWNED,
        size,
    };
    plan.put_allotment(allotment.stored.expected_revision(), team, node, record);
    Some(plan)
}

/// Reserves units of a team for its jobs that are charged to no allotment. Earlier versions of the controller stored
/// such jobs.
fn reserve_uncharged(
    ledger: &mut Ledger,
    admissions: &Admissions,
    settings_revision: u64,
) -> Option<Plan> {
    let settings = admissions.settings();
    while let Some(name) = ledger.teams_with_changed_uncharged.first().cloned() {
        let team = ledger.teams.get(&name);
        let uncharged = team.map_or(QuotaAmount::ZERO, |team| team.uncharged);
        let uncharged = settings.counted(&name, uncharged);
        let record = team.and_then(|team| team.stored.record.as_ref());
        let reserved = record.map_or(QuotaAmount::ZERO, |record| record.uncharged);
        if uncharged == reserved {
            ledger.teams_with_changed_uncharged.remove(&name);
            continue;
        }
        let mut account = TeamAccount::read(ledger, settings, &name, ledger.generation()?);
        account.set_uncharged(settings, &name, uncharged);
        let mut plan = Plan::under_settings(settings_revision);
        account.write(ledger, &name, &mut plan)?;
        return Some(plan);
    }
    None
}
