//! Writes to the store for users: paced to this controller's share of the store's write limit, with a bounded number in
//! flight. Relays, step-down requests, quota transfers, the quota presence and the machine types are written within the
//! same budget.

use std::cell::Cell;

use crate::config::Config;
use crate::controller::{Controller, STORE_BACKOFF_S};
use crate::leader::LEADER_WRITE_SHARE;
use crate::protocol::store::Txn;
use crate::runtime::{Time, TokenBucket};
use crate::store::transaction::TxnOutcome;

/// Maximum number of these writes in flight at once.
pub(crate) const USER_WRITES_MAX: usize = 24;
/// Time limit of a write including its retries, in seconds; users wait 5 s for an answer.
const USER_WRITE_TIMEOUT_S: f64 = 1.5;
/// Factor by which the rate grows with each write that the store processes.
const RATE_GROWTH: f64 = 1.2;

/// The rate and the number in flight of the writes that this controller may make for users.
pub(crate) struct UserWriteBudget {
    /// Paces the writes, initially at `share_rps`.
    rate_limit: TokenBucket,
    /// The rate for all controllers together, in writes per second: the upper bound of this controller's rate.
    total_rps: f64,
    /// This controller's equal share of that rate, in writes per second.
    share_rps: f64,
    /// Number of writes in flight.
    in_flight: Cell<usize>,
}

impl UserWriteBudget {
    /// The budget of one controller: an equal share of the store's write limit without the leader's part.
    pub fn new(config: &Config) -> Self {
        let write_rps = config.deployment.state.write_rps;
        let nodes = config.deployment.nodes as f64;
        let total_rps = write_rps * (1.0 - LEADER_WRITE_SHARE);
        let share_rps = total_rps / nodes;
        UserWriteBudget {
            rate_limit: TokenBucket::new(share_rps, write_rps / nodes),
            total_rps,
            share_rps,
            in_flight: Cell::new(0),
        }
    }

    /// Reserves one write and returns how many seconds to wait before sending it. None if the wait would take more than
    /// half of the time limit: such a write is refused at once instead of after a wait.
    fn acquire(&self, now: Time) -> Option<f64> {
        let wait_s = self.rate_limit.acquire(1.0, now);
        if wait_s > USER_WRITE_TIMEOUT_S / 2.0 {
            self.rate_limit.refund(1.0);
            return None;
        }
        Some(wait_s)
    }

    /// Adapts the rate to the outcome of a write. Users are not spread evenly over the controllers, so a controller
    /// with many of them may exceed its share, up to the total rate, until the store refuses a write or doesn't answer;
    /// the rate then falls back to the share.
    fn adapt_rate(&self, outcome: &TxnOutcome) {
        self.rate_limit.set_rate(match outcome {
            TxnOutcome::Applied(_) | TxnOutcome::Conflict(_) | TxnOutcome::Rejected => {
                (self.rate_limit.rate() * RATE_GROWTH).min(self.total_rps)
            }
            TxnOutcome::Refused | TxnOutcome::Unknown => self.share_rps,
        });
    }
}

impl Controller {
    /// Applies a transaction within this controller's budget for users. `Refused`: it was definitely not applied, as
    /// too many writes are in flight, the budget is used up for too long, or the store refused it. `Unknown`: the store
    /// gave no definite answer in time.
    pub(crate) async fn write_for_user(&self, txn: &Txn) -> TxnOutcome {
        let in_flight = &self.user_writes.in_flight;
        if in_flight.get() >= USER_WRITES_MAX {
            return TxnOutcome::Refused;
        }
        in_flight.set(in_flight.get() + 1);
        let outcome = self.write_within_budget(txn).await;
        in_flight.set(in_flight.get() - 1);
        outcome
    }

    /// Sends a transaction as soon as the budget allows, and retries it until the time limit.
    async fn write_within_budget(&self, txn: &Txn) -> TxnOutcome {
        let deadline = self.now() + USER_WRITE_TIMEOUT_S;
        let Some(wait_s) = self.user_writes.acquire(self.now()) else {
            return TxnOutcome::Refused;
        };
        self.runtime.sleep(wait_s).await;
        let mut failure = TxnOutcome::Refused;
        loop {
            let outcome = self.store.txn(txn).await;
            self.user_writes.adapt_rate(&outcome);
            match outcome {
                TxnOutcome::Applied(_) | TxnOutcome::Conflict(_) | TxnOutcome::Rejected => {
                    self.replication.record_store_contact(self.now());
                    return outcome;
                }
                // Repeating the transaction is safe, even if it was applied: it then fails on its conditions, such as
                // the absence of the keys that it creates, or it writes the same values again.
                TxnOutcome::Refused | TxnOutcome::Unknown => {
                    if outcome == TxnOutcome::Unknown {
                        failure = outcome;
                    }
                    if self.now() + STORE_BACKOFF_S > deadline {
                        return failure;
                    }
                    self.runtime.sleep(STORE_BACKOFF_S).await;
                }
            }
        }
    }
}
