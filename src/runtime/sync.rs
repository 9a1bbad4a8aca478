//! Synchronization between the routines of a runtime, all on one thread.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

/// Wakers of the waiting routines, ordered by the creation of their wait futures.
#[derive(Default)]
struct Waiters {
    next_id: Cell<u64>,
    wakers: RefCell<BTreeMap<u64, Waker>>,
}

impl Waiters {
    fn new_id(&self) -> u64 {
        self.next_id.set(self.next_id.get() + 1);
        self.next_id.get()
    }

    fn insert(&self, id: u64, waker: &Waker) {
        self.wakers.borrow_mut().insert(id, waker.clone());
    }

    fn remove(&self, id: u64) {
        self.wakers.borrow_mut().remove(&id);
    }

    fn wake_all(&self) {
        for waker in self.wakers.take().into_values() {
            waker.wake();
        }
    }
}

/// A flag that routines can wait for. The flag stays set until it is cleared.
#[derive(Default)]
pub struct Signal {
    is_set: Cell<bool>,
    waiters: Waiters,
}

impl Signal {
    /// Sets the flag and wakes all waiting routines.
    pub fn set(&self) {
        self.is_set.set(true);
        self.waiters.wake_all();
    }

    /// Clears the flag.
    pub fn clear(&self) {
        self.is_set.set(false);
    }

    /// Waits until the flag is set, and clears it.
    pub async fn take(&self) {
        self.wait().await;
        self.clear();
    }

    /// Waits until the flag is set.
    pub fn wait(&self) -> SignalWait<'_> {
        SignalWait {
            signal: self,
            id: self.waiters.new_id(),
        }
    }
}

/// Future of [`Signal::wait`].
pub struct SignalWait<'a> {
    signal: &'a Signal,
    id: u64,
}

impl Future for SignalWait<'_> {
    type Output = ();
    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.signal.is_set.get() {
            return Poll::Ready(());
        }
        self.signal.waiters.insert(self.id, cx.waker());
        Poll::Pending
    }
}

impl Drop for SignalWait<'_> {
    fn drop(&mut self) {
        self.signal.waiters.remove(self.id);
    }
}

/// Wakes all routines that are waiting when [`Notify::notify_all`] is called. Unlike a set [`Signal`], a notification
/// has no effect on waits that start later.
#[derive(Default)]
pub struct Notify {
    /// Number of notifications so far.
    count: Cell<u64>,
    waiters: Waiters,
}

impl Notify {
    /// Wakes all waiting routines.
    pub fn notify_all(&self) {
        self.count.set(self.count.get() + 1);
        self.waiters.wake_all();
    }

    /// Waits for the next notification after this call, even if it is sent before the returned future is first polled.
    pub fn notified(&self) -> Notified<'_> {
        Notified {
            notify: self,
            count_before: self.count.get(),
            id: self.waiters.new_id(),
        }
    }
}

/// Future of [`Notify::notified`].
pub struct Notified<'a> {
    notify: &'a Notify,
    /// Number of notifications when the wait was created.
    count_before: u64,
    id: u64,
}

impl Future for Notified<'_> {
    type Output = ();
    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.notify.count.get() != self.count_before {
            return Poll::Ready(());
        }
        self.notify.waiters.insert(self.id, cx.waker());
        Poll::Pending
    }
}

impl Drop for Notified<'_> {
    fn drop(&mut self) {
        self.notify.waiters.remove(self.id);
    }
}
