//! Clocks, and detection of process pauses.

use std::time::{Duration, Instant, SystemTime};

/// Seconds on the monotonic clock since the start of the runtime.
pub type Time = f64;

/// Source of the current time. Tests replace the system clock by one that they control.
pub trait Clock {
    /// The current time on the monotonic clock.
    fn now(&self) -> Time;

    /// The wall-clock time, in milliseconds since the Unix epoch.
    fn unix_ms(&self) -> u64;
}

/// The monotonic and wall clocks of the operating system; the value is the instant at which [`Time`] is 0.
pub struct SystemClock(Instant);

impl SystemClock {
    /// Creates a clock whose monotonic time starts at 0 now.
    pub fn start() -> Self {
        SystemClock(Instant::now())
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Time {
        self.0.elapsed().as_secs_f64()
    }

    fn unix_ms(&self) -> u64 {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        since_epoch.map_or(0, |duration| duration.as_millis() as u64)
    }
}

/// Minimum time in seconds by which an iteration of the event loop must exceed its maximum wait to count as a process
/// pause.
const PAUSE_MIN_S: f64 = 0.7;

/// A period in which this process apparently did not run, for example because its machine was suspended.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ProcessPause {
    /// End of the pause, on the monotonic clock.
    pub until: Time,
    /// Length of the pause, in seconds: the duration of the whole iteration of the event loop, including its wait.
    pub length_s: f64,
}

impl ProcessPause {
    /// Returns the pause during an iteration of the event loop that started at `started_at` and exceeded its maximum
    /// wait by more than [`PAUSE_MIN_S`]. An iteration without a maximum wait is never a pause.
    pub(super) fn detect(
        started_at: Time,
        now: Time,
        max_wait: Option<Duration>,
    ) -> Option<ProcessPause> {
        let length_s = now - started_at;
        let is_pause = max_wait.is_some_and(|wait| length_s > wait.as_secs_f64() + PAUSE_MIN_S);
        is_pause.then_some(ProcessPause {
            until: now,
            length_s,
        })
    }
}
