//! Checks of a store's history, computed from the stored records only.

use std::collections::BTreeMap;
use std::rc::Rc;

use quota::{AccountChange, QuotaAmount, QuotaSettings, TeamRecord};

use super::store::{Change, JobRecord, Store};

/// Name of a team, name of a controller.
type TeamAndNode = (Rc<str>, Rc<str>);

/// Quota accounts and job records as of a revision of the store.
#[derive(Default)]
pub struct Totals {
    jobs: BTreeMap<Rc<str>, JobRecord>,
    /// For each ended job, whether it is done; otherwise it was cancelled.
    done: BTreeMap<Rc<str>, bool>,
    teams: BTreeMap<Rc<str>, TeamRecord>,
    allotments: BTreeMap<TeamAndNode, QuotaAmount>,
    shared: Option<QuotaAmount>,
    generation: u64,
}

impl Totals {
    /// The records as of the store's latest revision.
    pub fn of(store: &Store) -> Self {
        let mut totals = Totals::default();
        for committed in &store.history {
            totals.apply(&committed.change);
        }
        totals
    }

    fn apply(&mut self, change: &Change) {
        match change {
            Change::Job(id, Some(job)) => {
                assert!(!self.jobs.contains_key(id), "{id} was created twice");
                self.jobs.insert(id.clone(), job.clone());
            }
            Change::Job(id, None) => {
                self.jobs.remove(id);
            }
            Change::End(id, done) => {
                self.done.insert(id.clone(), *done);
            }
            Change::Account(AccountChange::Team(name, Some(record))) => {
                self.teams.insert(name.clone(), record.clone());
            }
            Change::Account(AccountChange::Allotment { team, node, record }) => {
                let size = record
                    .as_ref()
                    .map_or(QuotaAmount::ZERO, |record| record.size);
                self.allotments.insert((team.clone(), node.clone()), size);
            }
            Change::Account(AccountChange::Shared(record)) => {
                self.shared = record.as_ref().map(|record| record.free);
            }
            Change::Account(AccountChange::Settings(Some(record))) => {
                self.generation = record.generation;
            }
            _ => {}
        }
    }

    /// Jobs whose charges count: all stored jobs that are not done. A cancelled job is charged until its record is
    /// deleted.
    fn unfinished(&self) -> impl Iterator<Item = &JobRecord> {
        self.jobs
            .iter()
            .filter(|(id, _)| self.done.get(*id) != Some(&true))
            .map(|(_, job)| job)
    }

    /// Sum of the charges of a team's unfinished jobs, at one controller or at all.
    pub fn used(&self, team: &str, node: Option<&str>) -> QuotaAmount {
        self.unfinished()
            .filter(|job| {
                &*job.team == team && node.is_none_or(|node| job.node.as_deref() == Some(node))
            })
            .fold(QuotaAmount::ZERO, |sum, job| sum + job.charge)
    }

    pub fn used_by_all_teams(&self) -> QuotaAmount {
        self.unfinished()
            .fold(QuotaAmount::ZERO, |sum, job| sum + job.charge)
    }

    fn allotted(&self, team: &str) -> QuotaAmount {
        self.allotments
            .iter()
            .filter(|((name, _), _)| &**name == team)
            .fold(QuotaAmount::ZERO, |sum, (_, size)| sum + *size)
    }

    /// Checks that no units are created or lost: the shared pool, all guarantees and the units that teams hold
    /// beyond these add up to the total, and each team's units are free, reserved for uncharged jobs, or in its
    /// allotments.
    pub fn check_units(&self, settings: &QuotaSettings) {
        let Some(shared) = self.shared else {
            return;
        };
        let mut sum = shared + settings.reserved();
        for (name, record) in &self.teams {
            let allotted = self.allotted(name);
            assert_eq!(
                record.held,
                record.free + record.uncharged + allotted,
                "{name}: units of {record:?} with {allotted} in allotments"
            );
            let guaranteed = settings.team(name).guaranteed;
            sum += record.held.max(guaranteed) - guaranteed;
        }
        assert_eq!(sum, settings.total(), "sum of all units and the total");
    }

    /// Checks that no allotment is charged with more than its size.
    pub fn check_allotments(&self, settings: &QuotaSettings) {
        for ((team, node), size) in &self.allotments {
            let used = settings.counted(team, self.used(team, Some(node)));
            assert!(
                used.fits_within(size),
                "{team} at {node}: {used} used of {size}"
            );
        }
    }

    /// Checks that no usage exceeds a team's limit or the total.
    pub fn check_limits(&self, settings: &QuotaSettings) {
        let teams: std::collections::BTreeSet<&Rc<str>> =
            self.unfinished().map(|job| &job.team).collect();
        for team in teams {
            let used = self.used(team, None);
            let limit = settings.team(team).limit;
            assert!(used.fits_within(&limit), "{team}: {used} used of {limit}");
        }
        let used = self.used_by_all_teams();
        assert!(
            used.fits_within(&settings.total()),
            "{used} used by all teams"
        );
    }
}

/// Checks allotments, limits and sums of units at each revision from the generation `from_generation` of the
/// settings on.
pub fn check_history(store: &Store, settings: &QuotaSettings, from_generation: u64) {
    let mut totals = Totals::default();
    let mut committed = store.history.iter().peekable();
    while let Some(first) = committed.next() {
        totals.apply(&first.change);
        while let Some(next) = committed.next_if(|next| next.revision == first.revision) {
            totals.apply(&next.change);
        }
        if totals.generation >= from_generation {
            totals.check_allotments(settings);
            totals.check_limits(settings);
            totals.check_units(settings);
        }
    }
}

/// Checks that while the settings are in force, no admitted job raises its team's usage above the team's limit.
/// Returns the number of changes, not counting creations of jobs, after which team red used more than its limit; the
/// jobs that exceed it are older than the settings.
pub fn check_lowered_limits(store: &Store, settings: &QuotaSettings) -> u32 {
    let digest = settings.digest();
    let mut totals = Totals::default();
    let mut in_force = false;
    let mut changes_over_limit = 0;
    for committed in &store.history {
        totals.apply(&committed.change);
        if let Change::Account(AccountChange::Settings(Some(record))) = &committed.change {
            in_force = record.digest == digest && record.open;
        }
        let Change::Job(id, Some(job)) = &committed.change else {
            let limit = settings.team("red").limit;
            changes_over_limit +=
                u32::from(in_force && !totals.used("red", None).fits_within(&limit));
            continue;
        };
        if in_force {
            let used = totals.used(&job.team, None);
            let limit = settings.team(&job.team).limit;
            assert!(
                used.fits_within(&limit),
                "{id} admitted: {} uses {used} of {limit}",
                job.team
            );
        }
    }
    changes_over_limit
}
