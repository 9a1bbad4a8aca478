//! Rate limiting.

use std::cell::Cell;

use super::Time;

/// Token bucket, which limits a rate but allows bursts. Tokens may be acquired on credit: each caller waits until its
/// tokens have been refilled, so waiting callers proceed in the order of their calls.
pub struct TokenBucket {
    /// Tokens per second.
    rate: Cell<f64>,
    /// Capacity of the bucket, in tokens.
    burst: f64,
    /// Tokens in the bucket at the time `updated_at`; negative if tokens were acquired on credit.
    tokens: Cell<f64>,
    updated_at: Cell<Time>,
}

impl TokenBucket {
    /// Creates a full bucket with a capacity of `burst` tokens, at least 1, that is refilled with `rate` tokens per
    /// second.
    pub fn new(rate: f64, burst: f64) -> Self {
        TokenBucket {
            rate: Cell::new(rate),
            burst: burst.max(1.0),
            tokens: Cell::new(burst.max(1.0)),
            updated_at: Cell::new(0.0),
        }
    }

    /// Acquires `count` tokens, if necessary on credit. Returns the seconds to wait before using them.
    pub fn acquire(&self, count: f64, now: Time) -> f64 {
        let refilled = (now - self.updated_at.get()).max(0.0) * self.rate.get();
        let tokens = (self.tokens.get() + refilled).min(self.burst);
        self.updated_at.set(now);
        self.tokens.set(tokens - count);
        ((count - tokens) / self.rate.get()).max(0.0)
    }

    /// The refill rate, in tokens per second.
    pub fn rate(&self) -> f64 {
        self.rate.get()
    }

    /// Changes the refill rate. It also applies to the time since the last [`TokenBucket::acquire`].
    pub fn set_rate(&self, rate: f64) {
        self.rate.set(rate);
    }

    /// Returns tokens that were acquired but not used.
    pub fn refund(&self, count: f64) {
        self.tokens.set(self.tokens.get() + count);
    }
}
