//! A store with atomic conditional transactions, which keeps the history of all changes.

use std::collections::BTreeMap;
use std::rc::Rc;

use quota::{AccountChange, AccountId, Plan, QuotaAmount};

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    Account(AccountId),
    Job(Rc<str>),
    End(Rc<str>),
    Leader,
}

/// A job's record. A job without a node is charged to no allotment.
#[derive(Debug, Clone, PartialEq)]
pub struct JobRecord {
    pub team: Rc<str>,
    pub node: Option<Rc<str>>,
    pub charge: QuotaAmount,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    Account(AccountChange),
    Job(Rc<str>, Option<JobRecord>),
    /// The end of a job: true if it is done, false if it was cancelled.
    End(Rc<str>, bool),
    Leader(usize),
}

impl Change {
    pub fn key(&self) -> Key {
        match self {
            Change::Account(change) => Key::Account(change.account()),
            Change::Job(id, _) => Key::Job(id.clone()),
            Change::End(id, _) => Key::End(id.clone()),
            Change::Leader(_) => Key::Leader,
        }
    }

    fn deletes(&self) -> bool {
        matches!(
            self,
            Change::Job(_, None)
                | Change::Account(
                    AccountChange::Settings(None)
                        | AccountChange::Shared(None)
                        | AccountChange::Team(_, None)
                        | AccountChange::Owner(_, None)
                        | AccountChange::Allotment { record: None, .. }
                )
        )
    }
}

#[derive(Debug, Clone, Default)]
pub struct Txn {
    pub conditions: Vec<(Key, u64)>,
    pub changes: Vec<Change>,
}

impl Txn {
    /// Converts a plan to a transaction. A plan that requires the leader becomes conditional on `fencing_token`, the
    /// revision of the leader's key.
    pub fn of(plan: &Plan, fencing_token: u64) -> Self {
        let mut conditions: Vec<(Key, u64)> = plan
            .conditions
            .iter()
            .map(|required| (Key::Account(required.account.clone()), required.revision))
            .collect();
        if plan.requires_leader {
            conditions.push((Key::Leader, fencing_token));
        }
        let changes = plan.changes.iter().cloned().map(Change::Account).collect();
        Txn {
            conditions,
            changes,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Applied,
    Conflict,
}

#[derive(Debug, Clone)]
pub struct Committed {
    pub revision: u64,
    pub change: Change,
}

#[derive(Default)]
pub struct Store {
    pub revision: u64,
    pub values: BTreeMap<Key, (Change, u64)>,
    pub history: Vec<Committed>,
}

impl Store {
    pub fn revision_of(&self, key: &Key) -> u64 {
        self.values.get(key).map_or(0, |(_, revision)| *revision)
    }

    pub fn apply(&mut self, txn: &Txn) -> Outcome {
        let holds = |(key, revision): &(Key, u64)| self.revision_of(key) == *revision;
        if !txn.conditions.iter().all(holds) {
            return Outcome::Conflict;
        }
        if txn.changes.is_empty() {
            return Outcome::Applied;
        }
        self.revision += 1;
        for change in &txn.changes {
            self.history.push(Committed {
                revision: self.revision,
                change: change.clone(),
            });
            if change.deletes() {
                self.values.remove(&change.key());
            } else {
                let value = (change.clone(), self.revision);
                self.values.insert(change.key(), value);
            }
        }
        Outcome::Applied
    }
}
