//! Forecast of arrival rates and run times by class of jobs. Every controller keeps one, so that a new leader has it
//! from the start of its term.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::jobs::class_key::class_key;
use crate::protocol::users::Submission;
use crate::runtime::Time;

/// Arrival rates and run times, by class key.
///
/// Arrivals are counted in intervals of equal length over a sliding window. An arrival burst, as at a cluster start or
/// after an outage, doesn't predict the rate of the next minutes: arrivals far above the median of the intervals are
/// not counted.
#[derive(Debug)]
pub struct ArrivalForecast {
    /// The length of an interval, in seconds.
    interval_s: f64,
    /// The length of the window, in intervals.
    window_intervals: u64,
    /// When this controller began to observe arrivals.
    observed_since: Time,
    /// Intervals of the window with arrivals, the oldest first.
    arrivals: HashMap<String, VecDeque<IntervalArrivals>>,
    /// Run times of tasks, in seconds. The leader observes them and sends them to the other controllers.
    run_times: HashMap<String, DecayingMean>,
    /// The number of tasks per job.
    tasks_per_job: HashMap<String, DecayingMean>,
}

/// The number of jobs that arrived in one interval.
#[derive(Debug, Clone, Copy)]
struct IntervalArrivals {
    /// The number of the interval, counted from time 0.
    interval: u64,
    jobs: u32,
}

/// The approximate number of recent jobs that each mean of a class covers.
pub const MEAN_JOBS: f64 = 40.0;
/// The maximum number of classes whose run times are sent to other controllers.
const SENT_CLASSES_MAX: usize = 64;
/// Arrivals in one interval are counted up to this many jobs plus `BURST_MEDIAN_RATIO` times the median of the
/// intervals. Arrivals above that are an arrival burst.
const BURST_JOBS: u32 = 3;
/// See [`BURST_JOBS`].
const BURST_MEDIAN_RATIO: u32 = 2;
/// The number of recent intervals is that of the window divided by this. Their rate shows early that arrivals have
/// ended or become more frequent.
const RECENT_WINDOW_DIVISOR: u64 = 8;
/// Rates are reliable once arrivals have been observed for the length of the window divided by this.
const YOUNG_WINDOW_DIVISOR: u64 = 4;
/// The maximum difference between the rate over the window and that of the recent intervals, in standard deviations.
const RATE_DEVIATIONS_MAX: f64 = 2.5;

impl ArrivalForecast {
    /// An empty forecast that counts arrivals in intervals of `interval_s` over the last `window_s`.
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

    /// Counts the arrival of a job, and forgets the intervals of its class that have left the window.
    pub fn record_arrival(&mut self, spec: &Submission, now: Time) {
        let interval = self.interval_at(now);
        let window = self.window_intervals;
        let tasks = self.tasks_per_job.entry(class_key(spec)).or_default();
        tasks.add(f64::from(spec.tasks), MEAN_JOBS);
        let arrivals = self.arrivals.entry(class_key(spec)).or_default();
        match arrivals.back_mut() {
            Some(last) if last.interval == interval => last.jobs += 1,
            _ => arrivals.push_back(IntervalArrivals { interval, jobs: 1 }),
        }
        while arrivals
            .front()
            .is_some_and(|first| first.interval + window <= interval)
        {
            arrivals.pop_front();
        }
    }

    /// Adds the run time of a task to the mean of its class. The mean covers the tasks of about [`MEAN_JOBS`] jobs.
    pub fn record_run_time(&mut self, class_key: &str, run_s: f64) {
        let tasks_per_job = self.tasks_per_job.get(class_key);
        let tasks_per_job = tasks_per_job.and_then(DecayingMean::get).unwrap_or(1.0);
        let run_times = self.run_times.entry(class_key.to_owned()).or_default();
        run_times.add(run_s, MEAN_JOBS * tasks_per_job);
    }

    /// The mean run time of the tasks of a class, in seconds. It has no samples if no run time is known.
    pub fn run_time(&self, class_key: &str) -> DecayingMean {
        self.run_times.get(class_key).copied().unwrap_or_default()
    }

    /// The run times to send to other controllers: the first [`SENT_CLASSES_MAX`] classes in the order of their keys.
    pub fn run_times(&self) -> Vec<(String, DecayingMean)> {
        let mut run_times: Vec<_> = self
            .run_times
            .iter()
            .map(|(class_key, mean)| (class_key.clone(), *mean))
            .collect();
        run_times.sort_by(|a, b| a.0.cmp(&b.0));
        run_times.truncate(SENT_CLASSES_MAX);
        run_times
    }

    /// Adopts the run times that another controller sent, for each class where they are based on more samples.
    pub fn adopt_run_times(&mut self, run_times: &[(String, DecayingMean)]) {
        for (class_key, received) in run_times {
            let own = self.run_times.entry(class_key.clone()).or_default();
            if received.is_valid() && received.samples > own.samples {
                *own = *received;
            }
        }
    }

    /// Whether arrivals have been observed for too short a time for reliable rates.
    pub fn is_young(&self, now: Time) -> bool {
        self.interval_at(now) - self.interval_at(self.observed_since)
            < self.window_intervals / YOUNG_WINDOW_DIVISOR
    }

    /// The expected arrival rate of a class, in jobs per second: that of the whole window, bounded by the confidence
    /// interval around the rate of the recent intervals.
    pub fn expected_rate(&self, class_key: &str, now: Time) -> f64 {
        let Some(counts) = self.arrival_counts(class_key, now) else {
            return 0.0;
        };
        let recent = counts.recent_jobs;
        let deviation = RATE_DEVIATIONS_MAX * recent.sqrt();
        let recent_s = counts.recent_intervals as f64 * self.interval_s;
        (counts.jobs / (counts.intervals as f64 * self.interval_s))
            .min((recent + deviation + RATE_DEVIATIONS_MAX) / recent_s)
            .max((recent - deviation) / recent_s)
    }

    /// The arrival rate of a class in the recent intervals, in jobs per second.
    pub fn recent_rate(&self, class_key: &str, now: Time) -> f64 {
        let counts = self.arrival_counts(class_key, now);
        counts.map_or(0.0, |counts| {
            counts.recent_jobs / (counts.recent_intervals as f64 * self.interval_s)
        })
    }

    fn arrival_counts(&self, class_key: &str, now: Time) -> Option<ArrivalCounts> {
        let arrivals = self.arrivals.get(class_key)?;
        let interval = self.interval_at(now);
        let observed_intervals =
            (interval - self.interval_at(self.observed_since) + 1).min(self.window_intervals);
        // A short observation is treated as a longer one, so that a few early arrivals don't give a high rate.
        let intervals = observed_intervals
            .max(self.window_intervals / YOUNG_WINDOW_DIVISOR)
            .max(1);
        let mut jobs: Vec<u32> = arrivals
            .iter()
            .filter(|a| a.interval + self.window_intervals > interval)
            .map(|a| a.jobs)
            .collect();
        // The median includes intervals without arrivals.
        jobs.resize(jobs.len().max(intervals as usize), 0);
        jobs.sort_unstable();
        let jobs_max = BURST_JOBS + BURST_MEDIAN_RATIO * jobs[jobs.len() / 2];
        let counted = |jobs: u32| f64::from(jobs.min(jobs_max));
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

/// Arrivals of a class, without arrival bursts.
struct ArrivalCounts {
    /// The number of jobs in the window.
    jobs: f64,
    /// The length of the observed part of the window, in intervals; at least the window divided by
    /// [`YOUNG_WINDOW_DIVISOR`].
    intervals: u64,
    /// The number of jobs in the recent intervals.
    recent_jobs: f64,
    /// The number of intervals that count as recent.
    recent_intervals: u64,
}

/// A running mean: arithmetic for the first samples, then exponentially decaying.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct DecayingMean {
    #[serde(rename = "value")]
    value: f64,
    /// The number of samples added, up to the maximum that [`DecayingMean::add`] is given.
    #[serde(rename = "seen")]
    samples: f64,
}

impl DecayingMean {
    /// Adds a sample. The mean covers about the last `samples_max` samples.
    pub fn add(&mut self, value: f64, samples_max: f64) {
        self.samples = (self.samples + 1.0).min(samples_max);
        self.value += (value - self.value) / self.samples;
    }

    /// The mean. None without samples.
    pub fn get(&self) -> Option<f64> {
        (self.samples > 0.0).then_some(self.value)
    }

    /// The weighted mean of this one and a prior, which weighs as much as `weight` samples.
    pub fn with_prior(&self, prior: f64, weight: f64) -> f64 {
        (self.value * self.samples + prior * weight) / (self.samples + weight)
    }

    /// Whether a mean received from another controller is usable: both numbers are finite, and the mean is not
    /// negative.
    fn is_valid(&self) -> bool {
        self.value.is_finite() && self.samples.is_finite() && self.value >= 0.0
    }
}

#[cfg(test)]
mod tests;
