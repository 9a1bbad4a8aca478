//! Estimate of the time until a team's charges are released.

use crate::Time;
use crate::amount::{QuotaAmount, QuotaDimension};

/// Time constant of the average in seconds: a release of this age has 1/e of the weight of a new one.
const TIME_CONSTANT_S: f64 = 60.0;

/// Exponentially weighted rate at which a team's charges are released.
#[derive(Debug, Default)]
pub(crate) struct ReleaseRate {
    /// Exponentially decayed sums of released units per dimension, as of `updated_at`.
    sums: [f64; QuotaDimension::ALL.len()],
    updated_at: Time,
}

impl ReleaseRate {
    /// Factor by which the sums have decayed since `updated_at`.
    fn decay(&self, now: Time) -> f64 {
        (-(now - self.updated_at).max(0.0) / TIME_CONSTANT_S).exp()
    }

    /// Adds the released charge of a finished job.
    pub fn record(&mut self, released: QuotaAmount, now: Time) {
        let decay = self.decay(now);
        for (sum, dimension) in self.sums.iter_mut().zip(QuotaDimension::ALL) {
            *sum = *sum * decay + released.get(dimension) as f64;
        }
        self.updated_at = now;
    }

    /// Time in seconds until `need` is released at the present rate; `None` if a needed dimension has no releases.
    pub fn wait_s(&self, need: QuotaAmount, now: Time) -> Option<f64> {
        let decay = self.decay(now);
        let waits = self
            .sums
            .iter()
            .zip(QuotaDimension::ALL)
            .map(|(sum, dimension)| {
                let need = need.get(dimension) as f64;
                if need > 0.0 {
                    need / (sum * decay / TIME_CONSTANT_S)
                } else {
                    0.0
                }
            });
        let wait = waits.fold(0.0, f64::max);
        wait.is_finite().then_some(wait)
    }
}
