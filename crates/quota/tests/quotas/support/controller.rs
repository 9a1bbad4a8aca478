//! A simulated controller, which replicates the store, admits jobs and transfers units.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use quota::supervise::Supervisor;
use quota::{
    Admissions, Attempt, AttemptOutcome, Decision, Ledger, Plan, QuotaAmount, QuotaSettings,
    transfer,
};

use super::store::{Change, Committed, JobRecord, Key, Store, Txn};

/// Purpose of a controller's transaction, by which its response is handled.
#[derive(Clone)]
pub enum Purpose {
    Creation(Attempt),
    /// With the team, if the transaction transfers units out of this controller's allotment.
    Transfer(Option<Rc<str>>),
}

pub struct Controller {
    pub name: Rc<str>,
    pub incarnation: u64,
    pub ledger: Ledger,
    pub admissions: Admissions,
    pub supervisor: Supervisor,
    /// Number of changes of the store's history that are replicated.
    replicated_changes: usize,
    /// Records of the jobs whose charges are not released.
    charges: BTreeMap<Rc<str>, JobRecord>,
    /// Ids of all jobs that this controller has replicated.
    known: BTreeSet<Rc<str>>,
    done: BTreeSet<Rc<str>>,
    pub fencing_token: Option<u64>,
}

impl Controller {
    pub fn start(
        name: &str,
        incarnation: u64,
        controllers: usize,
        settings: Rc<QuotaSettings>,
    ) -> Self {
        Controller {
            name: name.into(),
            incarnation,
            ledger: Ledger::default(),
            admissions: Admissions::new(name, incarnation, controllers, settings),
            supervisor: Supervisor::default(),
            replicated_changes: 0,
            charges: BTreeMap::new(),
            known: BTreeSet::new(),
            done: BTreeSet::new(),
            fencing_token: None,
        }
    }

    fn apply_change(&mut self, change: &Change, revision: u64, now: f64) {
        match change {
            Change::Account(change) => self.ledger.apply(change.clone(), revision),
            Change::Job(id, Some(job)) => {
                let is_new = self.known.insert(id.clone()) || !self.charges.contains_key(id);
                if is_new && !self.done.contains(id) && !self.charges.contains_key(id) {
                    let node = job.node.as_ref();
                    self.ledger.charge(&job.team, node, job.charge);
                    self.charges.insert(id.clone(), job.clone());
                }
            }
            Change::Job(id, None) => self.release(id, now),
            Change::End(id, done) => {
                self.known.insert(id.clone());
                if *done {
                    self.done.insert(id.clone());
                    self.release(id, now);
                }
            }
            Change::Leader(_) => {}
        }
    }

    fn release(&mut self, id: &Rc<str>, now: f64) {
        if let Some(job) = self.charges.remove(id) {
            self.ledger
                .release(&job.team, job.node.as_ref(), job.charge, now);
        }
    }

    /// Replicates `changes` further changes, and the remaining changes of the last revision among these.
    pub fn replicate(&mut self, store: &Store, changes: usize, now: f64) {
        let mut end = (self.replicated_changes + changes).min(store.history.len());
        while end < store.history.len()
            && end > 0
            && store.history[end].revision == store.history[end - 1].revision
        {
            end += 1;
        }
        let new_changes: Vec<Committed> = store.history[self.replicated_changes..end].to_vec();
        self.replicated_changes = end;
        for committed in &new_changes {
            self.apply_change(&committed.change, committed.revision, now);
            self.ledger.advance_to(committed.revision);
        }
        let known = &self.known;
        self.admissions.prune(&self.ledger, |id| known.contains(id));
    }

    /// Reads all records again, page by page, while the store changes. Only the first `jobs_as_of` changes are stored
    /// when the jobs are read, and all changes when the accounts are read.
    pub fn reload(&mut self, store: &Store, jobs_as_of: usize) {
        self.ledger = Ledger::default();
        self.charges.clear();
        self.known.clear();
        self.done.clear();
        let first_page_change = store.history.get(jobs_as_of.wrapping_sub(1));
        let first_revision = first_page_change.map_or(0, |committed| committed.revision);
        let mut as_of: BTreeMap<Key, (Change, u64)> = BTreeMap::new();
        for committed in &store.history[..jobs_as_of] {
            let value = (committed.change.clone(), committed.revision);
            as_of.insert(committed.change.key(), value);
        }
        // Ends of jobs are read before the jobs, in the order of their keys.
        let jobs = as_of
            .values()
            .filter(|(change, _)| matches!(change, Change::Job(_, Some(_)) | Change::End(..)));
        let mut jobs: Vec<_> = jobs.cloned().collect();
        jobs.sort_by_key(|(change, _)| matches!(change, Change::Job(..)));
        let accounts = store
            .values
            .values()
            .filter(|(change, _)| matches!(change, Change::Account(_)));
        for (change, revision) in jobs.iter().chain(accounts) {
            self.apply_change(change, *revision, 0.0);
        }
        self.ledger.advance_to(first_revision);
        self.ledger.set_consistent_from(store.revision);
        self.replicated_changes = jobs_as_of;
        while store
            .history
            .get(self.replicated_changes)
            .is_some_and(|c| c.revision <= first_revision)
        {
            self.replicated_changes += 1;
        }
    }

    pub fn knows_job(&self, id: &str) -> bool {
        self.known.contains(id)
    }

    /// Decides on a job. Returns the transaction that creates it, if the job is admitted.
    pub fn submit(
        &mut self,
        id: &str,
        team: &str,
        charge: QuotaAmount,
        now: f64,
    ) -> (Decision, Option<(Txn, Purpose)>) {
        let decision = self.admissions.decide(&self.ledger, id, team, charge, now);
        let Decision::Admitted(attempt) = &decision else {
            return (decision, None);
        };
        let id: Rc<str> = id.into();
        let accounts = attempt.conditions().into_iter();
        let mut conditions: Vec<(Key, u64)> = accounts
            .map(|required| (Key::Account(required.account), required.revision))
            .collect();
        conditions.push((Key::Job(id.clone()), 0));
        conditions.push((Key::End(id.clone()), 0));
        let record = JobRecord {
            team: team.into(),
            node: Some(self.name.clone()),
            charge,
        };
        let txn = Txn {
            conditions,
            changes: vec![Change::Job(id, Some(record))],
        };
        let purpose = Purpose::Creation(attempt.clone());
        (decision, Some((txn, purpose)))
    }

    /// The transaction that refills the allotment, if one is possible.
    pub fn refill(&self, team: &str, need: QuotaAmount, now: f64) -> Option<(Txn, Purpose)> {
        let team: Rc<str> = team.into();
        let plan = transfer::refill(&self.ledger, &self.admissions, &team, need, now)?;
        Some(self.transaction(&plan, None))
    }

    fn transaction(&self, plan: &Plan, source_team: Option<Rc<str>>) -> (Txn, Purpose) {
        let txn = Txn::of(plan, self.fencing_token.unwrap_or(0));
        (txn, Purpose::Transfer(source_team))
    }

    /// The next transaction, if any, that no submission waits for.
    pub fn next_background_transaction(
        &mut self,
        now: f64,
        is_unreachable: impl Fn(&str) -> bool,
    ) -> Option<(Txn, Purpose)> {
        if self.fencing_token.is_some()
            && let Some(plan) =
                self.supervisor
                    .next_plan(&mut self.ledger, &self.admissions, is_unreachable)
        {
            return Some(self.transaction(&plan, None));
        }
        let plan = transfer::grant(&self.ledger, &mut self.admissions, now)
            .or_else(|| transfer::release_unused(&self.ledger, &mut self.admissions, now))?;
        let own_node = self.name.clone();
        let team = plan.changes.iter().find_map(|change| match change {
            quota::AccountChange::Allotment { team, node, .. } if *node == own_node => {
                Some(team.clone())
            }
            _ => None,
        });
        Some(self.transaction(&plan, team))
    }

    /// Handles the response to a transaction: whether it was applied, or `None` if the response was lost.
    pub fn on_response(&mut self, purpose: &Purpose, applied: Option<bool>, now: f64) {
        match (purpose, applied) {
            (Purpose::Creation(attempt), _) => {
                // A conflict does not show that the job was not created: the conflict may be with an earlier copy of
                // the same creation.
                self.admissions
                    .finish(attempt, AttemptOutcome::MayBeApplied, now);
            }
            (Purpose::Transfer(Some(team)), Some(_)) => self.admissions.transfer_settled(team),
            (Purpose::Transfer(_), _) => {}
        }
    }
}
