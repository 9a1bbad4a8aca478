//! Quota accounts in the replica, and the charges of jobs to them.

use std::rc::Rc;

use quota::AccountChange;
use serde_json::value::RawValue;

use super::StateReplica;
use super::job::Charge;
use crate::admission_quota::store_mapping::{charge_of, decode_change};
use crate::protocol::users::Submission;

impl StateReplica {
    /// Charges a job to its team's quota, if quotas are enabled at this controller.
    pub(super) fn charge(&mut self, id: &Rc<str>, spec: &Submission, node: Option<Rc<str>>) {
        let Some(ledger) = &mut self.quota else {
            return;
        };
        let charge = Charge {
            team: spec.team.as_str().into(),
            node,
            amount: charge_of(spec),
        };
        ledger.charge(&charge.team, charge.node.as_ref(), charge.amount);
        if let Some(job) = self.jobs.get_mut(id) {
            job.charge = Some(charge);
        }
    }

    /// Releases a job's charge to its team's quota, if there is one.
    pub(super) fn release(&mut self, charge: Option<Charge>) {
        if let (Some(ledger), Some(charge)) = (&mut self.quota, charge) {
            ledger.release(&charge.team, charge.node.as_ref(), charge.amount, self.now);
        }
    }

    /// Applies an account's new value as of a revision, or the deletion of the account.
    pub(super) fn apply_quota(&mut self, account: &str, value: Option<&RawValue>, revision: u64) {
        let Some(change) = decode_change(account, value) else {
            return;
        };
        if let AccountChange::Settings(record) = &change {
            self.has_quota_settings = record.is_some();
        }
        if let Some(ledger) = &mut self.quota {
            ledger.apply(change, revision);
        }
    }
}
