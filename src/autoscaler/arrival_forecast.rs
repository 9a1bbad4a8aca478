//! Arrival rates and run times by class of jobs, as every controller observes them, so that a new leader knows them too.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::jobs::class_key::class_key;
use crate::protocol::users::Submission;
use crate::runtime::Time;

/// Arrival rates and run times, by class.
///
/// Arrivals are counted in intervals of equal length over a sliding window. A burst at one moment, as at a start or
/// after an outage, says little about the next minutes: what is far above the usual of an interval is not counted.
#[derive(Debug)]
pub struct ArrivalForecast {
    /// Length of an interval, in seconds.
    interval_s: f64,
    /// Length of the window, in intervals.
    window_intervals: u64,
    /// When this controller began to observe arrivals.
    observed_since: Time,
    /// Intervals of the window with arrivals, the oldest first.
    arrivals: HashMap<String, VecDeque<IntervalArrivals>>,
    /// Run times of tasks in seconds: observed by the leader, sent to the other controllers.
    run_times: HashMap<String, DecayingMean>,
    /// Tasks of a job.
    tasks_per_job: HashMap<String, DecayingMean>,
}

/// The jobs that arrived in one interval.
#[derive(Debug, Clone, Copy)]
struct IntervalArrivals {
    /// Number of the interval, counted from moment 0.
    interval: u64,
    jobs: u32,
}

/// Jobs of a class that its means are made of: about so many of the last.
pub const MEAN_JOBS: f64 = 40.0;
/// Classes of which run times are sent to other controllers, at most.
const SENT_CLASSES_MAX: usize = 64;
/// Arrivals of one interval that are counted, at most: so many jobs, and `BURST_MEDIAN_RATIO` times the median of the
/// intervals.
const BURST_JOBS: u32 = 3;
/// See [`BURST_JOBS`].
const BURST_MEDIAN_RATIO: u32 = 2;
/// The last intervals alone show that arrivals have ended or become more frequent: the window divided by this.
const RECENT_WINDOW_DIVISOR: u64 = 8;
/// Rates are known once the window divided by this was observed.
const YOUNG_WINDOW_DIVISOR: u64 = 4;
/// How far the rate over the whole window may be from that of the recent intervals, in standard deviations.
const RATE_DEVIATIONS_MAX: f64 = 2.5;

impl ArrivalForecast {
    /// Counts arrivals in intervals of `interval_s` over the last `window_s`.
    pub fn new(interval_s: f64, window_s: f64, now: Time) -> Self {
        ArrivalForecast {
            interval_s,
            window_intervals: (window_s / interval_s).ceil().max(1.0) as u64,
            observed_since: now,
            arrivals: HashMap::new(),
            run_times: HashMap::new(),
            tasks_per_job: HashMap::new(),
        }
    }

    fn interval_at(&self, now: Time) -> u64 {
        (now.max(0.0) / self.interval_s) as u64
    }

    /// Records the arrival of a job.
    pub fn record_arrival(&mut self, spec: &Submission, now: Time) {
        let interval = self.interval_at(now);
        let window = self.window_intervals;
        let tasks = self.tasks_per_job.entry(class_key(spec)).or_default();
        tasks.add(f64::from(spec.tasks), MEAN_JOBS);
        let observed = self.arrivals.entry(class_key(spec)).or_default();
        match observed.back_mut() {
            Some(last) if last.interval == interval => last.jobs += 1,
            _ => observed.push_back(IntervalArrivals { interval, jobs: 1 }),
        }
        while observed
            .front()
            .is_some_and(|first| first.interval + window <= interval)
        {
            observed.pop_front();
        }
    }

    /// Records the run time of a task, in seconds.
    pub fn record_run_time(&mut self, class_key: &str, run_s: f64) {
        let tasks_per_job = self.tasks_per_job.get(class_key);
        let tasks_per_job = tasks_per_job.and_then(DecayingMean::get).unwrap_or(1.0);
        let run_times = self.run_times.entry(class_key.to_owned()).or_default();
        run_times.add(run_s, MEAN_JOBS * tasks_per_job);
    }

    /// The mean run time of a class's tasks, in seconds.
    pub fn run_time(&self, class_key: &str) -> DecayingMean {
        self.run_times.get(class_key).copied().unwrap_or_default()
    }

    /// The run times to send to other controllers, by class key.
    pub fn runs(&self) -> Vec<(String, DecayingMean)> {
        let mut run_times: Vec<_> = self
            .run_times
            .iter()
            .map(|(class_key, mean)| (class_key.clone(), *mean))
            .collect();
        run_times.sort_by(|a, b| a.0.cmp(&b.0));
        run_times.truncate(SENT_CLASSES_MAX);
        run_times
    }

    /// Adopts the run times of another controller where these are made of more samples.
    pub fn learn(&mut self, run_times: &[(String, DecayingMean)]) {
        for (class_key, mean) in run_times {
            let own = self.run_times.entry(class_key.clone()).or_default();
            if mean.is_valid() && mean.samples > own.samples {
                *own = *mean;
            }
        }
    }

    /// Whether too little was observed for rates to be known.
    pub fn is_young(&self, now: Time) -> bool {
        self.interval_at(now) - self.interval_at(self.observed_since)
            < self.window_intervals / YOUNG_WINDOW_DIVISOR
    }

    /// Expected arrivals of a class, in jobs per second: those of the whole window, within what those of the recent
    /// intervals allow.
    pub fn rate(&self, class_key: &str, now: Time) -> f64 {
        let Some(counts) = self.counts(class_key, now) else {
            return 0.0;
        };
        let recent = counts.recent_jobs;
        let spread = RATE_DEVIATIONS_MAX * recent.sqrt();
        let recent_s = counts.recent_intervals as f64 * self.interval_s;
        (counts.jobs / (counts.intervals as f64 * self.interval_s))
            .min((recent + spread + RATE_DEVIATIONS_MAX) / recent_s)
            .max((recent - spread) / recent_s)
    }

    /// Arrivals of a class in the recent intervals, in jobs per second.
    pub fn recent_rate(&self, class_key: &str, now: Time) -> f64 {
        let counts = self.counts(class_key, now);
        counts.map_or(0.0, |c| {
            c.recent_jobs / (c.recent_intervals as f64 * self.interval_s)
        })
    }

    fn counts(&self, class_key: &str, now: Time) -> Option<ArrivalCounts> {
        let arrivals = self.arrivals.get(class_key)?;
        let interval = self.interval_at(now);
        let observed =
            (interval - self.interval_at(self.observed_since) + 1).min(self.window_intervals);
        // A part of the window is observed before much is concluded.
        let intervals = observed
            .max(self.window_intervals / YOUNG_WINDOW_DIVISOR)
            .max(1);
        let mut jobs: Vec<u32> = arrivals
            .iter()
            .filter(|a| a.interval + self.window_intervals > interval)
            .map(|a| a.jobs)
            .collect();
        // Intervals without arrivals count for the median.
        jobs.resize(jobs.len().max(intervals as usize), 0);
        jobs.sort_unstable();
        let most = BURST_JOBS + BURST_MEDIAN_RATIO * jobs[jobs.len() / 2];
        let counted = |n: u32| f64::from(n.min(most));
        let recent_intervals = (self.window_intervals / RECENT_WINDOW_DIVISOR).max(1);
        let recent = arrivals
            .iter()
            .filter(|a| a.interval + recent_intervals > interval);
        Some(ArrivalCounts {
            jobs: jobs.iter().map(|n| counted(*n)).sum(),
            intervals,
            recent_jobs: recent.map(|a| counted(a.jobs)).sum(),
            recent_intervals,
        })
    }
}

/// Arrivals of a class, bursts cut off.
struct ArrivalCounts {
    /// Jobs within the window.
    jobs: f64,
    /// Length of the window as far as observed, in intervals.
    intervals: u64,
    /// Jobs in the recent intervals.
    recent_jobs: f64,
    /// How many intervals count as recent.
    recent_intervals: u64,
}

/// A mean that is arithmetic at first and exponentially decaying later.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct DecayingMean {
    #[serde(rename = "value")]
    value: f64,
    /// How many values the mean is made of, up to those kept.
    #[serde(rename = "seen")]
    samples: f64,
}

impl DecayingMean {
    /// Adds a value; about the last `kept` of them count.
    pub fn add(&mut self, value: f64, kept: f64) {
        self.samples = (self.samples + 1.0).min(kept);
        self.value += (value - self.value) / self.samples;
    }

    /// The mean, if there is any value.
    pub fn get(&self) -> Option<f64> {
        (self.samples > 0.0).then_some(self.value)
    }

    /// This mean and that of a prior, which counts for as much as `weight` values.
    pub fn with_prior(&self, prior: f64, weight: f64) -> f64 {
        (self.value * self.samples + prior * weight) / (self.samples + weight)
    }

    /// Whether another controller may have sent this.
    fn is_valid(&self) -> bool {
        self.value.is_finite() && self.samples.is_finite() && self.value >= 0.0
    }
}

#[cfg(test)]
mod tests;
