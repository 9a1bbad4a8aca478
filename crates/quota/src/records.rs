//! Quota records in the store, and transactions on them.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::amount::QuotaAmount;

/// The quota settings in force or being put in force. A controller admits jobs only if they are those with which it is
/// configured.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsRecord {
    /// Digest of the settings, from [`crate::QuotaSettings::digest`].
    #[serde(rename = "digest")]
    pub digest: String,
    /// Number of changes of the settings so far; each record of a team names the generation that it was written
    /// under.
    #[serde(rename = "generation")]
    pub generation: u64,
    /// Whether jobs are admitted. False while a change of the settings is being applied.
    #[serde(rename = "open")]
    pub open: bool,
}

/// The shared pool: units that are neither guaranteed to a team nor borrowed by one. Negative if the guarantees and the
/// borrowed units exceed the total, for example after the total was lowered or when units are reserved for uncharged
/// jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedRecord {
    /// Units that any team may borrow.
    #[serde(rename = "free")]
    pub free: QuotaAmount,
}

/// The units of a team: its guarantee and the units it borrowed. `held` = `free` + `uncharged` + all its allotments.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRecord {
    /// Generation of the settings under which this record was written.
    #[serde(rename = "generation")]
    pub generation: u64,
    /// All units of the team, guaranteed and borrowed.
    #[serde(rename = "held")]
    pub held: QuotaAmount,
    /// Units that are neither in an allotment nor reserved for uncharged jobs.
    #[serde(rename = "free")]
    pub free: QuotaAmount,
    /// Units reserved for unfinished jobs that are charged to no allotment: earlier versions stored jobs without
    /// one.
    #[serde(rename = "uncharged", default)]
    pub uncharged: QuotaAmount,
}

/// Units of a team from which one controller admits jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllotmentRecord {
    /// Incarnation of the controller that admits jobs from the allotment; [`Self::UNOWNED`] from the first step of a
    /// reclaim until a later incarnation takes the allotment over.
    #[serde(rename = "incarnation")]
    pub incarnation: u64,
    /// Upper limit of the sum of the charges to the allotment.
    #[serde(rename = "size")]
    pub size: QuotaAmount,
}

impl AllotmentRecord {
    /// Stored as the incarnation of an allotment from which no controller admits jobs.
    pub const UNOWNED: u64 = 0;
}

/// Shows that a controller is running: the store deletes the record when the controller's lease there expires.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// Incarnation of the running controller.
    #[serde(rename = "incarnation")]
    pub incarnation: u64,
}

/// Identifies a quota record in the store.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AccountId {
    /// The [`SettingsRecord`] of the deployment.
    Settings,
    /// The [`SharedRecord`] of the deployment.
    Shared,
    /// The [`TeamRecord`] of the named team.
    Team(Rc<str>),
    /// The [`AllotmentRecord`] of a team at a controller.
    Allotment {
        /// Name of the team.
        team: Rc<str>,
        /// Name of the controller.
        node: Rc<str>,
    },
    /// The [`OwnerRecord`] of the named controller.
    Owner(Rc<str>),
}

impl AccountId {
    /// Identifies a controller's allotment of a team.
    pub(crate) fn allotment(team: &Rc<str>, node: &Rc<str>) -> Self {
        AccountId::Allotment {
            team: team.clone(),
            node: node.clone(),
        }
    }
}

/// The new value of a record, or `None` if the record is deleted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AccountChange {
    /// The settings in force.
    Settings(Option<SettingsRecord>),
    /// The shared pool.
    Shared(Option<SharedRecord>),
    /// The units of the named team.
    Team(Rc<str>, Option<TeamRecord>),
    /// A controller's allotment.
    Allotment {
        /// Name of the team.
        team: Rc<str>,
        /// Name of the controller.
        node: Rc<str>,
        /// The new value, or `None` if the record is deleted.
        record: Option<AllotmentRecord>,
    },
    /// Presence of the named controller.
    Owner(Rc<str>, Option<OwnerRecord>),
}

impl AccountChange {
    /// Identifies the changed record.
    pub fn account(&self) -> AccountId {
        match self {
            AccountChange::Settings(_) => AccountId::Settings,
            AccountChange::Shared(_) => AccountId::Shared,
            AccountChange::Team(team, _) => AccountId::Team(team.clone()),
            AccountChange::Owner(node, _) => AccountId::Owner(node.clone()),
            AccountChange::Allotment { team, node, .. } => AccountId::allotment(team, node),
        }
    }
}

/// Condition that a record is unchanged since a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RevisionCondition {
    /// The record.
    pub account: AccountId,
    /// Revision of the record's last change; 0 requires that the record does not exist.
    pub revision: u64,
}

/// A transaction to be sent to the store, which applies all changes if all conditions hold, and otherwise none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Records that must be unchanged.
    pub conditions: Vec<RevisionCondition>,
    /// Records that are written or deleted.
    pub changes: Vec<AccountChange>,
    /// Whether the transaction must also be conditional on the sender's fencing token as the leader.
    pub requires_leader: bool,
}

impl Plan {
    /// A plan without changes, conditional on the settings being unchanged since `settings_revision`.
    pub(crate) fn under_settings(settings_revision: u64) -> Self {
        let mut plan = Plan {
            conditions: Vec::new(),
            changes: Vec::new(),
            requires_leader: false,
        };
        plan.require(AccountId::Settings, settings_revision);
        plan
    }

    /// Adds a condition that a record is unchanged since a revision.
    pub(crate) fn require(&mut self, account: AccountId, revision: u64) {
        self.conditions
            .push(RevisionCondition { account, revision });
    }

    /// Adds a change, and the condition that the record is unchanged since `revision`.
    pub(crate) fn put(&mut self, revision: u64, change: AccountChange) {
        self.require(change.account(), revision);
        self.changes.push(change);
    }

    /// Adds a new value of an allotment, and the condition that the allotment is unchanged since `revision`.
    pub(crate) fn put_allotment(
        &mut self,
        revision: u64,
        team: &Rc<str>,
        node: &Rc<str>,
        record: AllotmentRecord,
    ) {
        let change = AccountChange::Allotment {
            team: team.clone(),
            node: node.clone(),
            record: Some(record),
        };
        self.put(revision, change);
    }
}
