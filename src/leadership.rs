//! Leadership: a controller becomes the leader by creating the leader's key, which holds its record and is attached to
//! its lease. The revision at which the key was created is the fencing token.

use std::rc::Rc;

use serde_json::value::to_raw_value;

use crate::config::Config;
use crate::protocol::store::{Change, Condition, KeyValue, Txn};
use crate::runtime::{Runtime, Time};
use crate::store::client::{LeaseRenewal, StoreClient, StoreError};
use crate::store::keys;
use crate::store::records::LeaderRecord;
use crate::store::transaction::TxnOutcome;

/// A term of leadership that this controller has won.
#[derive(Debug, Clone, Copy)]
pub struct LeaderTerm {
    /// The revision of the leader's key. Every write of the leader is conditional on it, and every command carries it.
    pub fencing_token: u64,
    /// The id of the lease that the leader's key is attached to.
    pub lease: u64,
    /// When the last successful renewal of the lease was sent. Until the first renewal, the time at which the lease was
    /// requested.
    pub renewal_sent_at: Time,
}

impl LeaderTerm {
    /// Returns the time until which this controller may act as the leader, if its replica holds everything that was
    /// stored at `replica_current_at` and the lease is trusted for `trusted_lease_s` seconds after a renewal was sent.
    ///
    /// A renewal alone does not show that the replica is current: a leader whose watch stalls while its lease is
    /// renewed would keep answering workers without ever stopping the tasks of jobs that were cancelled at other
    /// controllers.
    pub fn trusted_until(&self, replica_current_at: Time, trusted_lease_s: f64) -> Time {
        self.renewal_sent_at.min(replica_current_at) + trusted_lease_s
    }
}

/// Why a campaign did not make this controller the leader.
#[derive(Debug, thiserror::Error)]
pub enum CampaignError {
    /// The state service did not grant a lease.
    #[error("lease not granted: {0}")]
    Lease(#[source] StoreError),
    /// The leader's record can't be serialized.
    #[error("leader record cannot be serialized: {0}")]
    Encode(#[source] serde_json::Error),
    /// Another controller leads, the state service refused the transaction, or its outcome could not be determined. The
    /// campaign has tried to revoke its lease.
    #[error("this controller was not elected, or the outcome of the election is unknown")]
    NotElected,
}

/// Outcome of renewing the lease of a term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RenewalOutcome {
    /// The lease is renewed.
    Renewed,
    /// The renewal failed or was not answered. The lease may still be valid, and a later renewal may succeed.
    Unknown,
    /// The lease has expired, which ends the term.
    Expired,
}

/// Returns whether this controller should let other controllers campaign first, because one of them is better placed to
/// lead.
///
/// Workers that can't reach their controller try the next one, assumed here to be the next by name (the first by name
/// follows the last), and every attempt takes several seconds. When the zones can't reach each other, a delegate
/// therefore renews the workers' leases in time only if the controller that follows the leader by name is in another
/// zone than the leader. A controller whose successor is in its own zone yields if some other controller's successor is
/// in a different zone.
pub fn yields_to_peers(config: &Config) -> bool {
    let own = (config.node.as_str(), config.zone.as_str());
    let peers = config.peers.iter();
    let mut ring: Vec<(&str, &str)> = peers.map(|p| (p.name.as_str(), p.zone.as_str())).collect();
    ring.push(own);
    ring.sort_unstable();
    let next_is_in_another_zone = |index: usize| ring[index].1 != ring[(index + 1) % ring.len()].1;
    let own_index = ring.iter().position(|node| *node == own).unwrap_or(0);
    !next_is_in_another_zone(own_index) && (0..ring.len()).any(next_is_in_another_zone)
}

/// Campaigns for leadership: requests a lease and creates the leader's key attached to it, if the key is absent.
pub async fn campaign(
    runtime: &Runtime,
    store: &StoreClient,
    config: &Rc<Config>,
    incarnation: u64,
) -> Result<LeaderTerm, CampaignError> {
    let lease_requested_at = runtime.now();
    let lease = store
        .grant_lease(config.leader_lease_s())
        .await
        .map_err(CampaignError::Lease)?;
    let record = LeaderRecord {
        node: config.node.clone(),
        incarnation,
    };
    let txn = leader_key_creation(&record, lease).map_err(CampaignError::Encode)?;
    let elected = match store.txn(&txn).await {
        TxnOutcome::Applied(fencing_token) => Some(fencing_token),
        TxnOutcome::Unknown => read_back_election(store, &record, lease).await,
        TxnOutcome::Conflict(_) | TxnOutcome::Refused | TxnOutcome::Rejected => None,
    };
    let Some(fencing_token) = elected else {
        // Once the lease is revoked, a late copy of the transaction fails, as it attaches the key to that lease.
        let _ = store.revoke_lease(lease).await;
        return Err(CampaignError::NotElected);
    };
    Ok(LeaderTerm {
        fencing_token,
        lease,
        renewal_sent_at: lease_requested_at,
    })
}

/// Returns the transaction that creates the leader's key, attached to a lease, if the key is absent.
fn leader_key_creation(record: &LeaderRecord, lease: u64) -> Result<Txn, serde_json::Error> {
    Ok(Txn {
        conditions: vec![Condition {
            key: keys::leader(),
            revision: 0,
        }],
        changes: vec![Change::Put {
            key: keys::leader(),
            value: to_raw_value(record)?,
            lease: Some(lease),
        }],
    })
}

/// Reads the leader's key back after a campaign's transaction was not answered. Returns the fencing token if the
/// transaction has been applied.
async fn read_back_election(store: &StoreClient, record: &LeaderRecord, lease: u64) -> Option<u64> {
    let found = store.get(&keys::leader()).await.ok()??;
    let is_own =
        decode_leader(&found).is_some_and(|stored| stored == *record) && found.lease == Some(lease);
    is_own.then_some(found.revision)
}

/// Revokes the lease of a previous process of this controller, if the store names that process as the leader. Only one
/// process runs per controller, so the previous one has ended.
pub async fn revoke_previous_incarnation(store: &StoreClient, config: &Config, incarnation: u64) {
    if let Ok(Some(found)) = store.get(&keys::leader()).await
        && let Some(record) = decode_leader(&found)
        && record.node == config.node
        && record.incarnation != incarnation
        && let Some(lease) = found.lease
    {
        tracing::info!(
            node = %config.node,
            "revoking the lease of this host's previous incarnation"
        );
        let _ = store.revoke_lease(lease).await;
    }
}

fn decode_leader(found: &KeyValue) -> Option<LeaderRecord> {
    serde_json::from_str(found.value.get()).ok()
}

/// Renews the lease of a term, and records in the term when the renewal was sent.
pub async fn renew_term(
    runtime: &Runtime,
    store: &StoreClient,
    term: &mut LeaderTerm,
) -> RenewalOutcome {
    let sent_at = runtime.now();
    match store.renew_lease(term.lease).await {
        Ok(LeaseRenewal::Renewed) => {
            term.renewal_sent_at = sent_at;
            RenewalOutcome::Renewed
        }
        Ok(LeaseRenewal::Expired) => RenewalOutcome::Expired,
        Err(error) => {
            tracing::debug!(%error, "lease not renewed");
            RenewalOutcome::Unknown
        }
    }
}
