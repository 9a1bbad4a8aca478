//! The leader's rounds: each maintains the fleet if that is due, places tasks, sends the direct commands that are due,
//! and stores the decisions.

use std::rc::Rc;

use futures_util::future::select;

use crate::controller::{
    Controller, FLEET_INTERVAL_HEARTBEATS, FLEET_INTERVAL_S_MAX, STORE_BACKOFF_S,
};
use crate::leader::{AfterTransaction, Leader};
use crate::memory::{MemoryLevels, MemoryUse};
use crate::runtime::{Scope, Time};
use crate::store::transaction::TxnOutcome;

/// Maximum number of transactions that a round sends.
pub(crate) const ROUND_TRANSACTIONS_MAX: usize = 3;
/// Minimum gap between two rounds, in seconds, so that a round handles a batch of heartbeats.
const ROUND_GAP_S: f64 = 0.03;
/// Minimum gap after a round, as a multiple of the time that its decisions took: long rounds without a gap would delay
/// the handling of heartbeats and the renewal of the lease.
const ROUND_GAP_FACTOR: f64 = 1.0;

/// Whether the leader may go on after a round or must resign.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RoundOutcome {
    /// The leader may go on.
    Continue,
    /// Most workers do not acknowledge this leader's answers, so it must resign.
    Unacknowledged,
}

impl Controller {
    /// Interval at which the leader maintains its fleet, in seconds.
    pub(crate) fn fleet_interval_s(&self) -> f64 {
        let heartbeat_interval_s = self.config.deployment.workers.heartbeat_interval_s;
        (heartbeat_interval_s * FLEET_INTERVAL_HEARTBEATS).min(FLEET_INTERVAL_S_MAX)
    }

    /// Runs the leader's rounds while this controller leads.
    pub(crate) async fn run_leader(self: Rc<Self>) {
        let fleet_interval_s = self.fleet_interval_s();
        let direct_command_scope = Rc::new(Scope::new(&self.runtime));
        let mut maintained_at: Option<Time> = None;
        let mut round_s: f64 = 0.0;
        let mut memory_levels = MemoryLevels::default();
        loop {
            self.wait_for_round(fleet_interval_s).await;
            let gap_s = ROUND_GAP_S.max(round_s * ROUND_GAP_FACTOR);
            self.runtime.sleep(gap_s).await;
            let Some(fencing_token) = self.trusted_fencing_token() else {
                continue;
            };
            let now = self.now();
            let maintains_fleet = maintained_at.is_none_or(|at| now - at >= fleet_interval_s);
            let outcome = self.run_round(fencing_token, maintains_fleet, now);
            round_s = self.now() - now;
            let Some(outcome) = outcome else {
                continue;
            };
            if outcome == RoundOutcome::Unacknowledged {
                tracing::warn!(fencing_token, "workers do not acknowledge this leader");
                self.leadership.resign.set();
            }
            if maintains_fleet {
                maintained_at = Some(now);
                self.log_memory_if_rising(&mut memory_levels);
                self.leadership.cloud_calls_due.set();
            }
            self.send_direct_commands(fencing_token, &direct_command_scope);
            self.write_leader_state(fencing_token).await;
            self.leadership.round_completed.notify_all();
        }
    }

    /// Logs the memory of this process when it rises to a higher share of the limit.
    fn log_memory_if_rising(&self, levels: &mut MemoryLevels) {
        let limit_mb = self.config.deployment.limits.ram_mb;
        let leader = self.leadership.leader.borrow();
        if let (Some(memory), Some(leader)) = (MemoryUse::read(), leader.as_ref())
            && levels.rises(memory.resident_mb, limit_mb)
        {
            self.log_memory("memory rises", leader);
        }
    }

    /// Waits until a round is due: something changed, a write is due, or the fleet must be maintained.
    async fn wait_for_round(&self, fleet_interval_s: f64) {
        let now = self.now();
        let timeout_s = self
            .leadership
            .leader
            .borrow()
            .as_ref()
            .and_then(Leader::next_write_at)
            .map_or(fleet_interval_s, |write_at| {
                (write_at - now).clamp(ROUND_GAP_S, fleet_interval_s)
            });
        let due = std::pin::pin!(self.leadership.round_due.take());
        select(due, self.runtime.sleep(timeout_s)).await;
    }

    /// Makes the decisions of a round; None if this controller may not act under that fencing token.
    fn run_round(
        &self,
        fencing_token: u64,
        maintains_fleet: bool,
        now: Time,
    ) -> Option<RoundOutcome> {
        let pause = self.runtime.pause();
        self.with_leader(fencing_token, |leader| {
            leader.record_pause(pause);
            if maintains_fleet {
                leader.maintain_fleet(now);
            }
            leader.schedule(now);
            if maintains_fleet && leader.fleet.is_unacknowledged_by_workers() {
                RoundOutcome::Unacknowledged
            } else {
                RoundOutcome::Continue
            }
        })
    }

    /// Writes the leader's pending state, in at most [`ROUND_TRANSACTIONS_MAX`] transactions. Where jobs end
    /// continuously there is always more to write: without the limit, a round's writes delay placement by as much as ten
    /// seconds.
    pub(crate) async fn write_leader_state(&self, fencing_token: u64) {
        for _ in 0..ROUND_TRANSACTIONS_MAX {
            let now = self.now();
            let txn = self.with_leader(fencing_token, |leader| leader.next_transaction(now));
            let Some(txn) = txn.flatten() else {
                return;
            };
            let outcome = self.store.txn(&txn).await;
            let now = self.now();
            if matches!(outcome, TxnOutcome::Applied(_) | TxnOutcome::Conflict(_)) {
                self.replication.record_store_contact(now);
            }
            let next = self
                .leadership
                .with_leader_of_term(fencing_token, |leader| {
                    leader.on_transaction_outcome(outcome, now)
                });
            match next {
                None => return,
                Some(AfterTransaction::Continue) => {}
                Some(AfterTransaction::Retry) => {
                    self.runtime.sleep(STORE_BACKOFF_S).await;
                    return;
                }
                Some(AfterTransaction::ReadBack(key)) => {
                    self.read_back(fencing_token, &key).await;
                }
                Some(AfterTransaction::LeadershipLost) => {
                    tracing::warn!(fencing_token, "conditional write failed, stepping down");
                    self.leadership.resign.set();
                    return;
                }
            }
        }
    }

    /// Reads a key that the transaction in flight writes, to learn whether an earlier copy of it was applied.
    async fn read_back(&self, fencing_token: u64, key: &str) {
        if let Ok(found) = self.store.get(key).await {
            let revision = found.map_or(0, |stored| stored.revision);
            let now = self.now();
            self.with_leader(fencing_token, |leader| leader.on_read_back(revision, now));
        }
    }
}
