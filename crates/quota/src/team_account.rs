//! Changes of a team's record and of the shared pool in a transaction under the settings in force.

use std::rc::Rc;

use crate::amount::QuotaAmount;
use crate::ledger::Ledger;
use crate::records::{AccountChange, Plan, SharedRecord, TeamRecord};
use crate::settings::QuotaSettings;

/// The new value of a team's record, and the units that are transferred between the team and the shared pool.
pub(crate) struct TeamAccount {
    pub record: TeamRecord,
    /// Revision of the stored record; 0 if there is none.
    revision: u64,
    /// Units transferred to the shared pool; negative for units taken from it.
    pub to_shared: QuotaAmount,
    /// Whether the stored record is missing or was written under previous settings.
    pub is_outdated: bool,
}

impl TeamAccount {
    /// Reads a team's record. A team without a record holds its guarantee. A record written under previous settings
    /// is adapted to the settings in force: when these were put in force, the larger of the team's guarantee and the
    /// units that it held was reserved for it. Free units above the team's limit go to the shared pool.
    pub fn read(ledger: &Ledger, settings: &QuotaSettings, team: &str, generation: u64) -> Self {
        let quota = settings.team(team);
        let known = ledger.teams.get(team);
        let stored = known.and_then(|team| team.stored.record.clone());
        let mut account = TeamAccount {
            revision: known.map_or(0, |team| team.stored.expected_revision()),
            is_outdated: stored
                .as_ref()
                .is_none_or(|record| record.generation != generation),
            record: stored.unwrap_or(TeamRecord {
                generation,
                held: QuotaAmount::ZERO,
                free: QuotaAmount::ZERO,
                uncharged: QuotaAmount::ZERO,
            }),
            to_shared: QuotaAmount::ZERO,
        };
        if account.is_outdated {
            let record = &mut account.record;
            record.generation = generation;
            let guarantee_deficit = record.held.max(quota.guaranteed) - record.held;
            record.held += guarantee_deficit;
            record.free += guarantee_deficit;
            let excess = (record.held - quota.limit).non_negative().min(record.free);
            record.held -= excess;
            record.free -= excess;
            account.to_shared += excess;
        }
        account
    }

    /// Units that the team borrowed from the shared pool: those beyond its guarantee.
    pub fn borrowed(&self, settings: &QuotaSettings, team: &str) -> QuotaAmount {
        (self.record.held - settings.team(team).guaranteed).non_negative()
    }

    /// Gives back units that were allotted or reserved for uncharged jobs: borrowed ones go to the shared pool, the
    /// others become free units of the team.
    pub fn return_units(&mut self, settings: &QuotaSettings, team: &str, amount: QuotaAmount) {
        let borrowed = self.borrowed(settings, team).min(amount);
        self.record.held -= borrowed;
        self.to_shared += borrowed;
        self.record.free += amount - borrowed;
    }

    /// Sets the units reserved for jobs that are charged to no allotment. Additional units come from the team's free
    /// units, then from the shared pool, which may become negative.
    pub fn set_uncharged(&mut self, settings: &QuotaSettings, team: &str, amount: QuotaAmount) {
        let increase = (amount - self.record.uncharged).non_negative();
        let decrease = (self.record.uncharged - amount).non_negative();
        let from_free = increase.min(self.record.free);
        self.record.free -= from_free;
        self.record.held += increase - from_free;
        self.to_shared -= increase - from_free;
        self.record.uncharged = amount;
        self.return_units(settings, team, decrease);
    }

    /// Adds the new values to a plan. Returns `None` if the shared pool changes but its record is not known.
    pub fn write(self, ledger: &Ledger, team: &Rc<str>, plan: &mut Plan) -> Option<()> {
        if !self.to_shared.is_zero() {
            let shared = ledger.shared.record.as_ref()?;
            let free = shared.free + self.to_shared;
            let change = AccountChange::Shared(Some(SharedRecord { free }));
            plan.put(ledger.shared.expected_revision(), change);
        }
        let change = AccountChange::Team(team.clone(), Some(self.record));
        plan.put(self.revision, change);
        Some(())
    }
}
