//! Each controller's replica of the quota accounts in the store. Usage is not stored but computed from the
//! unfinished jobs.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;
use std::rc::Rc;

use crate::Time;
use crate::amount::QuotaAmount;
use crate::records::{
    AccountChange, AllotmentRecord, OwnerRecord, SettingsRecord, SharedRecord, TeamRecord,
};
use crate::release_rate::ReleaseRate;

/// A record, or `None` if it was deleted or never existed, and the revision of its last change.
#[derive(Debug, Clone)]
pub(crate) struct Versioned<T> {
    pub record: Option<T>,
    pub revision: u64,
}

impl<T> Default for Versioned<T> {
    fn default() -> Self {
        Versioned {
            record: None,
            revision: 0,
        }
    }
}

impl<T> Versioned<T> {
    /// Sets the value as of a revision. Returns false and changes nothing if a later value is known: after the store
    /// was read again, earlier changes are delivered once more.
    fn set(&mut self, record: Option<T>, revision: u64) -> bool {
        if revision < self.revision {
            return false;
        }
        *self = Versioned { record, revision };
        true
    }

    /// The revision by which a condition requires that the record is unchanged; 0 if there is no record.
    pub fn expected_revision(&self) -> u64 {
        if self.record.is_some() {
            self.revision
        } else {
            0
        }
    }
}

/// An allotment and the sum of the charges to it.
#[derive(Debug, Default)]
pub(crate) struct Allotment {
    pub stored: Versioned<AllotmentRecord>,
    pub used: QuotaAmount,
}

impl Allotment {
    /// Size of the allotment; zero if there is no record.
    pub fn size(&self) -> QuotaAmount {
        self.stored
            .record
            .as_ref()
            .map_or(QuotaAmount::ZERO, |record| record.size)
    }
}

/// A team's record, its allotments by controller, and the charges of its jobs.
#[derive(Debug, Default)]
pub(crate) struct Team {
    pub stored: Versioned<TeamRecord>,
    pub allotments: BTreeMap<Rc<str>, Allotment>,
    /// Units of unfinished jobs that are charged to no allotment.
    pub uncharged: QuotaAmount,
    releases: ReleaseRate,
}

/// A team's units and their usage, for the report to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamUsage {
    /// All units of the team, guaranteed and borrowed.
    pub held: QuotaAmount,
    /// Units of the team that are neither in an allotment nor reserved for uncharged jobs.
    pub free: QuotaAmount,
    /// Sum of the charges of all unfinished jobs, including those charged to no allotment.
    pub used: QuotaAmount,
    /// The team's allotments, in the order of the controllers' names.
    pub allotments: Vec<AllotmentUsage>,
}

/// An allotment and its usage, for the report to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AllotmentUsage {
    /// Name of the controller.
    pub node: Rc<str>,
    /// The record as stored.
    pub record: AllotmentRecord,
    /// Sum of the charges to the allotment.
    pub used: QuotaAmount,
}

/// Replica of the quota accounts, and the charges of the unfinished jobs.
#[derive(Debug, Default)]
pub struct Ledger {
    revision: u64,
    /// Revision of the last page of the initial read. Pages are read one after another at different revisions, those with
    /// jobs before those with the accounts that the jobs are charged to: until the changes up to this revision are
    /// applied, charges of jobs may be missing.
    consistent_from: u64,
    pub(crate) settings: Versioned<SettingsRecord>,
    pub(crate) shared: Versioned<SharedRecord>,
    pub(crate) teams: HashMap<Rc<str>, Team>,
    owners: HashMap<Rc<str>, Versioned<OwnerRecord>>,
    /// Teams of which a controller has or had an allotment, by controller.
    pub(crate) teams_by_node: HashMap<Rc<str>, BTreeSet<Rc<str>>>,
    /// Teams whose record may reserve more or fewer units than their uncharged jobs need.
    pub(crate) teams_with_changed_uncharged: BTreeSet<Rc<str>>,
    /// Teams whose record has free units.
    pub(crate) teams_with_free_units: BTreeSet<Rc<str>>,
}

impl Ledger {
    /// Applies the change of a record as of a revision. Changes older than the known value are ignored.
    pub fn apply(&mut self, change: AccountChange, revision: u64) {
        match change {
            AccountChange::Settings(record) => {
                self.settings.set(record, revision);
            }
            AccountChange::Shared(record) => {
                self.shared.set(record, revision);
            }
            AccountChange::Owner(node, record) => {
                self.owners.entry(node).or_default().set(record, revision);
            }
            AccountChange::Team(name, record) => self.apply_team(name, record, revision),
            AccountChange::Allotment { team, node, record } => {
                self.allotment_entry(&team, &node)
                    .stored
                    .set(record, revision);
            }
        }
    }

    fn apply_team(&mut self, name: Rc<str>, record: Option<TeamRecord>, revision: u64) {
        let has_free = record.as_ref().is_some_and(|record| !record.free.is_zero());
        let team = self.teams.entry(name.clone()).or_default();
        if !team.stored.set(record, revision) {
            return;
        }
        self.teams_with_changed_uncharged.insert(name.clone());
        if has_free {
            self.teams_with_free_units.insert(name);
        } else {
            self.teams_with_free_units.remove(&name);
        }
    }

    fn allotment_entry(&mut self, team: &Rc<str>, node: &Rc<str>) -> &mut Allotment {
        let teams = self.teams_by_node.entry(node.clone()).or_default();
        teams.insert(team.clone());
        let team = self.teams.entry(team.clone()).or_default();
        team.allotments.entry(node.clone()).or_default()
    }

    /// Adds the charge of a stored job to the allotment of `node`, or to no allotment if `node` is None.
    pub fn charge(&mut self, team: &Rc<str>, node: Option<&Rc<str>>, charge: QuotaAmount) {
        *self.usage_mut(team, node) += charge;
    }

    /// Removes the charge of a job that has finished and runs on no machine, and records it in the team's release rate.
    pub fn release(
        &mut self,
        team: &Rc<str>,
        node: Option<&Rc<str>>,
        charge: QuotaAmount,
        now: Time,
    ) {
        *self.usage_mut(team, node) -= charge;
        if let Some(team) = self.teams.get_mut(team) {
            team.releases.record(charge, now);
        }
    }

    fn usage_mut(&mut self, team: &Rc<str>, node: Option<&Rc<str>>) -> &mut QuotaAmount {
        match node {
            Some(node) => &mut self.allotment_entry(team, node).used,
            None => {
                self.teams_with_changed_uncharged.insert(team.clone());
                &mut self.teams.entry(team.clone()).or_default().uncharged
            }
        }
    }

    /// Records that all changes up to a revision are applied.
    pub fn advance_to(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Records the revision of the last page of an initial read.
    pub fn set_consistent_from(&mut self, revision: u64) {
        self.consistent_from = revision;
    }

    /// Whether charges and accounts are complete and as of the same revision.
    pub fn is_consistent(&self) -> bool {
        self.revision >= self.consistent_from
    }

    /// The stored settings record and its revision; None if no settings are stored. The settings are in force once the
    /// record is open.
    pub fn settings(&self) -> Option<(&SettingsRecord, u64)> {
        let record = self.settings.record.as_ref()?;
        Some((record, self.settings.revision))
    }

    /// Generation of the stored settings; None if no settings are stored.
    pub(crate) fn generation(&self) -> Option<u64> {
        Some(self.settings.record.as_ref()?.generation)
    }

    /// Units in the shared pool; None before settings were put in force for the first time.
    pub fn shared_free(&self) -> Option<QuotaAmount> {
        Some(self.shared.record.as_ref()?.free)
    }

    /// Whether a controller has an owner record, which the store deletes when the controller's lease expires.
    pub fn is_present(&self, node: &str) -> bool {
        self.owners
            .get(node)
            .is_some_and(|owner| owner.record.is_some())
    }

    /// Names of the controllers that have or had allotments.
    pub fn nodes_with_allotments(&self) -> impl Iterator<Item = &Rc<str>> {
        self.teams_by_node.keys()
    }

    /// A controller's allotment of a team, and the sum of the charges to it.
    pub(crate) fn allotment(&self, team: &str, node: &str) -> Option<&Allotment> {
        self.teams.get(team)?.allotments.get(node)
    }

    /// The stored record of a controller's allotment of a team.
    pub(crate) fn allotment_record(&self, team: &str, node: &str) -> Option<&AllotmentRecord> {
        self.allotment(team, node)?.stored.record.as_ref()
    }

    /// The revision by which a condition requires that a controller's allotment is unchanged; 0 if there is no record.
    pub(crate) fn allotment_revision(&self, team: &str, node: &str) -> u64 {
        self.allotment(team, node)
            .map_or(0, |allotment| allotment.stored.expected_revision())
    }

    /// Estimated time in seconds until `need` of a team's charges is released; None if a needed dimension has no
    /// releases.
    pub(crate) fn release_wait_s(&self, team: &str, need: QuotaAmount, now: Time) -> Option<f64> {
        self.teams.get(team)?.releases.wait_s(need, now)
    }

    /// Names of the teams with a record, an allotment or a charge, in no particular order.
    pub fn team_names(&self) -> impl Iterator<Item = &Rc<str>> {
        self.teams.keys()
    }

    /// A team's units and their usage; None if the team is unknown.
    pub fn team_usage(&self, name: &str) -> Option<TeamUsage> {
        let team = self.teams.get(name)?;
        let record = team.stored.record.as_ref();
        let allotments = team.allotments.iter().filter_map(|(node, allotment)| {
            Some(AllotmentUsage {
                node: node.clone(),
                record: allotment.stored.record.clone()?,
                used: allotment.used,
            })
        });
        let charged = team.allotments.values().map(|allotment| allotment.used);
        Some(TeamUsage {
            held: record.map_or(QuotaAmount::ZERO, |record| record.held),
            free: record.map_or(QuotaAmount::ZERO, |record| record.free),
            used: charged.fold(team.uncharged, |sum, used| sum + used),
            allotments: allotments.collect(),
        })
    }
}

/// The name after `last` in the order of names, or the first name if `last` is `None`. Returns `None` after the last
/// name. A caller that keeps each result as the next `last` thus gets `None` once at the end of each pass over the
/// names, and then starts again with the first name.
pub(crate) fn next_in_name_order(
    names: &BTreeSet<Rc<str>>,
    last: Option<&Rc<str>>,
) -> Option<Rc<str>> {
    let next = match last {
        None => names.first(),
        Some(last) => {
            let after = (Bound::Excluded(last.clone()), Bound::Unbounded);
            names.range(after).next()
        }
    };
    next.cloned()
}
