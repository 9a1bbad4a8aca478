//! A controller's presence in the store as an owner of allotments: a record attached to a lease.

use std::rc::Rc;

use quota::{AccountId, OwnerRecord};
use serde_json::value::to_raw_value;

use crate::admission_quota::store_mapping::key_of;
use crate::controller::admission::quota_admission::owner_incarnation;
use crate::controller::{Controller, STORE_BACKOFF_S};
use crate::protocol::store::{Change, Txn};
use crate::store::client::LeaseRenewal;
use crate::store::transaction::TxnOutcome;

/// Duration of the presence's lease, in durations of a worker's lease.
const PRESENCE_LEASES: f64 = 1.0;
/// Number of renewals within the duration of that lease.
const RENEWALS_PER_LEASE: f64 = 3.0;

/// The result of writing the owner's record.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PresenceWrite {
    /// The record was stored, attached to the lease.
    Stored,
    /// The record was not stored, or the outcome is unknown.
    NotStored,
}

impl Controller {
    /// Keeps this controller's record in the store, attached to a lease: without the record the leader may reclaim this
    /// controller's allotments.
    pub(crate) async fn keep_quota_presence(self: Rc<Self>) {
        let lease_duration_s = self.config.deployment.workers.lease_s * PRESENCE_LEASES;
        loop {
            self.runtime.sleep(STORE_BACKOFF_S).await;
            if !self.replication.is_loaded.get() {
                continue;
            }
            let Ok(lease) = self.store.grant_lease(lease_duration_s).await else {
                continue;
            };
            if self.write_presence(lease).await == PresenceWrite::Stored {
                self.renew_presence(lease, lease_duration_s).await;
            }
        }
    }

    /// Renews the lease until it has expired or the loaded replica no longer shows the record.
    async fn renew_presence(&self, lease: u64, lease_duration_s: f64) {
        loop {
            self.runtime
                .sleep(lease_duration_s / RENEWALS_PER_LEASE)
                .await;
            let renewal = self.store.renew_lease(lease).await;
            let is_record_kept = !self.replication.is_loaded.get() || self.is_present();
            if matches!(renewal, Ok(LeaseRenewal::Expired)) || !is_record_kept {
                return;
            }
        }
    }

    /// Whether the replica shows this controller's record.
    fn is_present(&self) -> bool {
        let replica = self.replication.replica.borrow();
        let ledger = replica.quota.as_ref();
        ledger.is_some_and(|ledger| ledger.is_present(&self.config.node))
    }

    /// Stores this controller's record, attached to the lease.
    async fn write_presence(&self, lease: u64) -> PresenceWrite {
        let record = OwnerRecord {
            incarnation: owner_incarnation(self.incarnation),
        };
        let Ok(value) = to_raw_value(&record) else {
            return PresenceWrite::NotStored;
        };
        let owner = AccountId::Owner(self.config.node.as_str().into());
        let txn = Txn {
            conditions: Vec::new(),
            changes: vec![Change::Put {
                key: key_of(&owner),
                value,
                lease: Some(lease),
            }],
        };
        match self.write_for_user(&txn).await {
            TxnOutcome::Applied(_) => PresenceWrite::Stored,
            _ => PresenceWrite::NotStored,
        }
    }
}
