//! How often jobs of a class come, as seen by every controller, so that a new leader knows it too.

use std::collections::{HashMap, VecDeque};

use crate::rt::Time;
use crate::wire::Submission;

/// A sort of work: jobs of one class that may use the same machines.
pub fn class_name(spec: &Submission) -> String {
    format!(
        "{}|{:?}|{:?}|{}",
        spec.class, spec.types, spec.zone, spec.spot
    )
}

/// Arrivals seen, by class.
///
/// Only whether any job of a class came in an interval is counted, not how many: a crowd that
/// comes at one moment, as at a start or after an outage, says little about the next minutes.
#[derive(Debug)]
pub struct Expected {
    interval_s: f64,
    kept: u64,
    since: Time,
    classes: HashMap<String, VecDeque<u64>>,
}

/// Fullest share of intervals that is believed.
const SHARE_MAX: f64 = 0.95;

impl Expected {
    /// Counts intervals of `interval_s` over the last `window_s`.
    pub fn new(interval_s: f64, window_s: f64, now: Time) -> Self {
        Expected {
            interval_s,
            kept: (window_s / interval_s).ceil().max(1.0) as u64,
            since: now,
            classes: HashMap::new(),
        }
    }

    fn interval(&self, now: Time) -> u64 {
        (now.max(0.0) / self.interval_s) as u64
    }

    /// A job came.
    pub fn note(&mut self, spec: &Submission, now: Time) {
        let at = self.interval(now);
        let kept = self.kept;
        let seen = self.classes.entry(class_name(spec)).or_default();
        if seen.back() != Some(&at) {
            seen.push_back(at);
        }
        while seen.front().is_some_and(|first| first + kept <= at) {
            seen.pop_front();
        }
    }

    /// Jobs of a class per second.
    pub fn rate(&self, class: &str, now: Time) -> f64 {
        let Some(seen) = self.classes.get(class) else {
            return 0.0;
        };
        let at = self.interval(now);
        let recent = seen.iter().filter(|i| **i + self.kept > at).count() as f64;
        let watched = (at - self.interval(self.since) + 1).min(self.kept);
        // A quarter of the window is watched before much is concluded.
        let share = recent / watched.max(self.kept / 4).max(1) as f64;
        -(1.0 - share.min(SHARE_MAX)).ln() / self.interval_s
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::testing::job;

    #[test]
    fn a_crowd_counts_once_and_rates_fade() {
        let mut expected = Expected::new(3.0, 120.0, 0.0);
        let spec = job("j-1", 1);
        let class = class_name(&spec);
        for _ in 0..50 {
            expected.note(&spec, 0.5);
        }
        let crowd = expected.rate(&class, 1.0);
        assert!(crowd < 0.05, "{crowd}");
        for i in 1..40 {
            expected.note(&spec, f64::from(i) * 10.0);
        }
        let steady = expected.rate(&class, 395.0);
        assert!((0.08..0.13).contains(&steady), "{steady}");
        assert!(expected.rate(&class, 600.0) < 1e-9);
    }
}
