//! Writes for users: this controller's part of the store's write limit, and how many are under way.

use std::cell::Cell;

use crate::config::Config;
use crate::controller::{Controller, STORE_BACKOFF_S};
use crate::leader::LEADER_WRITE_SHARE;
use crate::protocol::store::Txn;
use crate::runtime::{Time, TokenBucket};
use crate::store::transaction::TxnOutcome;

/// Most writes for users under way at once.
pub(crate) const USER_WRITES_MAX: usize = 24;
/// Time within which a write for a user must succeed, in seconds; users wait 5 s.
const USER_WRITE_TIMEOUT_S: f64 = 1.5;
/// Factor by which the rate grows with each write that the store takes.
const RATE_GROWTH: f64 = 1.2;

/// What this controller may write for users.
pub(crate) struct UserWriteBudget {
    /// Paces the writes, at first at this controller's share.
    rate_limit: TokenBucket,
    /// What all controllers may write for users, in writes per second.
    total_rps: f64,
    /// This controller's share of it.
    share_rps: f64,
    /// Writes under way.
    in_flight: Cell<usize>,
}

impl UserWriteBudget {
    /// A controller's equal share of what the settings leave to users.
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

    /// Takes one write out of the budget, and returns for how many seconds to wait before it; None if it would come
    /// too late: what can't be done in time is refused now, not after waiting.
    fn acquire(&self, now: Time) -> Option<f64> {
        let wait_s = self.rate_limit.acquire(1.0, now);
        if wait_s > USER_WRITE_TIMEOUT_S / 2.0 {
            self.rate_limit.refund(1.0);
            return None;
        }
        Some(wait_s)
    }

    /// Users are not spread evenly over the controllers: one that has many of them may write more than
    /// its share as long as the store takes it.
    fn adapt_rate(&self, outcome: &TxnOutcome) {
        self.rate_limit.set_rate(match outcome {
            TxnOutcome::Applied(_) | TxnOutcome::Conflict(_) | TxnOutcome::TooLarge => {
                (self.rate_limit.rate() * RATE_GROWTH).min(self.total_rps)
            }
            TxnOutcome::Refused | TxnOutcome::Unknown => self.share_rps,
        });
    }
}

impl Controller {
    /// Stores something for a user, within this controller's budget. `Refused`: it surely was not stored, as
    /// too much is under way or the store refused it. `Unknown`: the store gave no definite answer in time.
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

    /// Writes as soon as the budget allows, and tries again until the time limit.
    async fn write_within_budget(&self, txn: &Txn) -> TxnOutcome {
        let deadline = self.now() + USER_WRITE_TIMEOUT_S;
        let Some(wait_s) = self.user_writes.acquire(self.now()) else {
            return TxnOutcome::Refused;
        };
        self.runtime.sleep(wait_s).await;
        let mut without_success = TxnOutcome::Refused;
        loop {
            let outcome = self.store.txn(txn).await;
            self.user_writes.adapt_rate(&outcome);
            match outcome {
                TxnOutcome::Applied(_) | TxnOutcome::Conflict(_) | TxnOutcome::TooLarge => {
                    self.replication.record_store_contact(self.now());
                    return outcome;
                }
                // The same again does no harm: it creates only what is absent.
                TxnOutcome::Refused | TxnOutcome::Unknown => {
                    if outcome == TxnOutcome::Unknown {
                        without_success = outcome;
                    }
                    if self.now() + STORE_BACKOFF_S > deadline {
                        return without_success;
                    }
                    self.runtime.sleep(STORE_BACKOFF_S).await;
                }
            }
        }
    }
}
