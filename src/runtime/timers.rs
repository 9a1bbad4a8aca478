//! Timers: sleeps and time limits.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use futures_util::future::{Either, select};

use super::{Runtime, Time};

/// Due time of a timer, in microseconds on the monotonic clock. The id distinguishes timers that are due at the same
/// time, and orders them by creation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TimerKey {
    pub due_us: u64,
    id: u64,
}

/// The pending timers, in the order in which they are due.
#[derive(Default)]
pub(super) struct Timers {
    next_id: u64,
    waiting: BTreeMap<TimerKey, Waker>,
}

impl Timers {
    /// The timer that is due first.
    pub fn first(&self) -> Option<TimerKey> {
        self.waiting.keys().next().copied()
    }

    fn new_key(&mut self, due_at: Time) -> TimerKey {
        self.next_id += 1;
        TimerKey {
            // Rounded up, so that the timer never fires before `due_at`.
            due_us: to_micros(due_at) + 1,
            id: self.next_id,
        }
    }

    /// Removes the first timer if it is due, and returns the waker of its routine.
    fn pop_due(&mut self, now_us: u64) -> Option<Waker> {
        let first = self.waiting.first_entry()?;
        (first.key().due_us <= now_us).then(|| first.remove())
    }
}

fn to_micros(time: Time) -> u64 {
    (time.max(0.0) * 1e6) as u64
}

/// Error of [`Runtime::timeout`]: the time limit was reached before the work completed.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("the time limit was reached")]
pub struct Elapsed;

impl Runtime {
    /// Time until the first timer is due; `None` if there are no timers.
    pub(super) fn until_next_timer(&self) -> Option<Duration> {
        let timers = self.0.timers.borrow();
        let first = timers.first()?;
        let now = to_micros(self.now());
        // The event loop waits for whole milliseconds. The time is rounded up, so that the timer is due after the wait.
        Some(Duration::from_millis(
            first.due_us.saturating_sub(now).div_ceil(1000),
        ))
    }

    /// Wakes the routines whose timers are due.
    pub(super) fn fire_timers(&self) {
        let now = to_micros(self.now());
        loop {
            // Waking a routine may run code that uses the timers, so they are not borrowed during the call.
            let due = self.0.timers.borrow_mut().pop_due(now);
            match due {
                Some(waker) => waker.wake(),
                None => return,
            }
        }
    }

    /// Returns a future that completes after `seconds`; a negative value counts as 0.
    pub fn sleep(&self, seconds: f64) -> Sleep {
        Sleep {
            runtime: self.clone(),
            due_at: self.now() + seconds.max(0.0),
            key: None,
        }
    }

    /// Runs `work` for at most `seconds`, then drops it and returns [`Elapsed`].
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

/// Future of [`Runtime::sleep`]. Dropping it removes the timer.
pub struct Sleep {
    runtime: Runtime,
    due_at: Time,
    /// Key of the timer; `None` before the first poll.
    key: Option<TimerKey>,
}

impl Future for Sleep {
    type Output = ();
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.runtime.now() >= self.due_at {
            return Poll::Ready(());
        }
        let runtime = self.runtime.clone();
        let mut timers = runtime.0.timers.borrow_mut();
        let due_at = self.due_at;
        let key = *self.key.get_or_insert_with(|| timers.new_key(due_at));
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
