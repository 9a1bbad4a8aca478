//! Timers: waits for a time, and time limits.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use futures_util::future::{Either, select};

use super::{Runtime, Time};

/// When a timer fires, in microseconds on the steady clock; the id tells timers of the same time apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TimerKey {
    pub at_us: u64,
    id: u64,
}

/// The timers that are waited for.
#[derive(Default)]
pub(super) struct Timers {
    next_id: u64,
    waiting: BTreeMap<TimerKey, Waker>,
}

impl Timers {
    /// The timer that fires first.
    pub fn first(&self) -> Option<TimerKey> {
        self.waiting.keys().next().copied()
    }

    fn new_key(&mut self, at: Time) -> TimerKey {
        self.next_id += 1;
        TimerKey {
            // Rounded up, so that the timer never fires before that time.
            at_us: micros(at) + 1,
            id: self.next_id,
        }
    }

    /// Removes the first timer if it is due.
    fn pop_due(&mut self, now_us: u64) -> Option<Waker> {
        let first = self.waiting.first_entry()?;
        (first.key().at_us <= now_us).then(|| first.remove())
    }
}

fn micros(at: Time) -> u64 {
    (at.max(0.0) * 1e6) as u64
}

/// The time limit passed first.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("time limit passed")]
pub struct Elapsed;

impl Runtime {
    /// Time until the first timer fires; `None` without timers.
    pub(super) fn until_next_timer(&self) -> Option<Duration> {
        let timers = self.0.timers.borrow();
        let first = timers.first()?;
        let now = micros(self.now());
        // The event loop waits for whole milliseconds: rounded up, as a timer never fires early.
        Some(Duration::from_millis(
            first.at_us.saturating_sub(now).div_ceil(1000),
        ))
    }

    /// Wakes the routines whose timers are due.
    pub(super) fn fire_timers(&self) {
        let now = micros(self.now());
        loop {
            // A woken routine may use the timers itself: they aren't borrowed while it is woken.
            let due = self.0.timers.borrow_mut().pop_due(now);
            match due {
                Some(waker) => waker.wake(),
                None => return,
            }
        }
    }

    /// Waits for `seconds`.
    pub fn sleep(&self, seconds: f64) -> Sleep {
        Sleep {
            runtime: self.clone(),
            at: self.now() + seconds.max(0.0),
            key: None,
        }
    }

    /// Runs `work` for at most `seconds`; it is dropped at the limit.
    pub async fn timeout<T>(
        &self,
        seconds: f64,
        work: impl Future<Output = T>,
    ) -> Result<T, Elapsed> {
        let work = std::pin::pin!(work);
        match select(work, self.sleep(seconds)).await {
            Either::Left((value, _)) => Ok(value),
            Either::Right(_) => Err(Elapsed),
        }
    }
}

/// A wait for a time; dropping it removes the timer.
pub struct Sleep {
    runtime: Runtime,
    at: Time,
    key: Option<TimerKey>,
}

impl Future for Sleep {
    type Output = ();
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.runtime.now() >= self.at {
            return Poll::Ready(());
        }
        let runtime = self.runtime.clone();
        let mut timers = runtime.0.timers.borrow_mut();
        let at = self.at;
        let key = *self.key.get_or_insert_with(|| timers.new_key(at));
        timers.waiting.insert(key, cx.waker().clone());
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.runtime.0.timers.borrow_mut().waiting.remove(&key);
        }
    }
}
