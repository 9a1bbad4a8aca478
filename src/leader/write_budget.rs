//! The leader's share of the state service's write rate, as a token bucket. The rate of the bucket grows while the
//! service applies the leader's writes, and falls back when the service refuses a write or doesn't answer.

use super::LEADER_WRITE_SHARE;
use crate::runtime::Time;

/// The largest share of the service's write rate that the leader uses while users' requests leave it unused.
const LEADER_WRITE_SHARE_MAX: f64 = 0.85;
/// Factor by which the leader's share grows with each transaction that is applied.
const SHARE_GROWTH: f64 = 1.02;

/// A token bucket for the leader's writes; each change takes one token.
pub(super) struct WriteBudget {
    /// The share of the service's write rate at which the bucket is refilled.
    share: f64,
    tokens: f64,
    refilled_at: Time,
}

impl WriteBudget {
    /// An empty bucket, which is refilled from `now` on.
    pub(super) fn new(now: Time) -> Self {
        WriteBudget {
            share: LEADER_WRITE_SHARE,
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Adds the tokens of the time since the last refill. The bucket holds at most the tokens of one second, or one
    /// token if that is more. `write_rps` is the service's limit in changes per second.
    pub(super) fn refill(&mut self, write_rps: f64, now: Time) {
        let rate = write_rps * self.share;
        let tokens = self.tokens + (now - self.refilled_at) * rate;
        self.tokens = tokens.min(rate.max(1.0));
        self.refilled_at = now;
    }

    /// When the bucket was last refilled.
    pub(super) fn refilled_at(&self) -> Time {
        self.refilled_at
    }

    /// The number of changes that may be written now.
    pub(super) fn available(&self) -> usize {
        self.tokens as usize
    }

    /// Takes the tokens for the changes of a transaction that is sent.
    pub(super) fn spend(&mut self, changes: usize) {
        self.tokens -= changes as f64;
    }

    /// Raises the leader's share, as the service applied a transaction.
    pub(super) fn on_applied(&mut self) {
        self.share = (self.share * SHARE_GROWTH).min(LEADER_WRITE_SHARE_MAX);
    }

    /// Resets the leader's share to [`LEADER_WRITE_SHARE`], as the service refused a transaction or didn't answer.
    pub(super) fn on_not_applied(&mut self) {
        self.share = LEADER_WRITE_SHARE;
    }
}
