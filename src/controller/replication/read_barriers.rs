//! Read barriers: a request whose answer may still change waits until the replica holds all that was stored when the
//! request arrived. Waiting requests share one read of the store's revision.

use std::cell::RefCell;
use std::rc::Rc;

use futures_channel::oneshot;

use crate::controller::{BARRIER_TIMEOUT_S, BARRIER_WAITERS_MAX, Controller};
use crate::runtime::Signal;
use crate::store::keys;

/// Time after which a watch is restarted if it has not reported a revision that is known to exist, in seconds.
pub(crate) const STALE_WATCH_S: f64 = 0.4;

/// Why a read barrier was not passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ReadBarrierError {
    /// [`BARRIER_WAITERS_MAX`] requests already wait for the next read barrier.
    #[error("too many requests wait for a read barrier")]
    TooManyWaiting,
    /// The revision of the store could not be read.
    #[error("the revision of the state service could not be read")]
    StoreUnavailable,
    /// The replica did not reach the revision within [`BARRIER_TIMEOUT_S`].
    #[error("the replica has not reached the revision in time")]
    ReplicaBehind,
    /// The barrier took longer than [`BARRIER_TIMEOUT_S`], for example because the process was paused.
    #[error("the read barrier timed out")]
    TimedOut,
}

/// `Ok` if a read barrier was passed.
pub(crate) type ReadBarrierResult = Result<(), ReadBarrierError>;

/// The requests that wait for a read barrier.
#[derive(Default)]
pub(crate) struct ReadBarriers {
    /// Set to start a read barrier: for waiting requests, or for the leader, whose term is trusted only while its
    /// replica is known to be current.
    pub requested: Signal,
    /// The requests that arrived since the last read barrier started.
    waiting: RefCell<Vec<oneshot::Sender<ReadBarrierResult>>>,
}

impl Controller {
    /// Waits until the replica holds all that was stored when this call began.
    pub(crate) async fn read_barrier(&self) -> ReadBarrierResult {
        if self.read_barriers.waiting.borrow().len() >= BARRIER_WAITERS_MAX {
            return Err(ReadBarrierError::TooManyWaiting);
        }
        let started_at = self.now();
        let (sender, receiver) = oneshot::channel();
        self.read_barriers.waiting.borrow_mut().push(sender);
        self.read_barriers.requested.set();
        let Ok(Ok(result)) = self.runtime.timeout(BARRIER_TIMEOUT_S, receiver).await else {
            return Err(ReadBarrierError::TimedOut);
        };
        result?;
        // If this process was paused after the read, the result is too old for an answer that is sent now.
        if self.now() - started_at <= BARRIER_TIMEOUT_S {
            Ok(())
        } else {
            Err(ReadBarrierError::TimedOut)
        }
    }

    /// Runs read barriers: each read of the store's revision serves all requests that arrived before it.
    pub(crate) async fn serve_read_barriers(self: Rc<Self>) {
        loop {
            self.read_barriers.requested.take().await;
            let waiting = self.read_barriers.waiting.take();
            let started_at = self.now();
            let result = self.catch_up_with_store().await;
            if result.is_ok() {
                self.replication.record_current_at(started_at);
            }
            for sender in waiting {
                let _ = sender.send(result);
            }
        }
    }

    /// Reads the store's revision, and waits until the replica has reached it.
    async fn catch_up_with_store(&self) -> ReadBarrierResult {
        match self.store.current_revision(&keys::revision_probe()).await {
            Ok(revision) => {
                self.replication.record_store_contact(self.now());
                self.wait_for_revision(revision).await
            }
            Err(error) => {
                tracing::debug!(%error, "read barrier failed");
                Err(ReadBarrierError::StoreUnavailable)
            }
        }
    }

    /// Waits until the replica has reached a revision, but at most for [`BARRIER_TIMEOUT_S`].
    pub(crate) async fn wait_for_revision(&self, revision: u64) -> ReadBarrierResult {
        let deadline = self.now() + BARRIER_TIMEOUT_S;
        loop {
            if self.replication.has_reached(revision) {
                return Ok(());
            }
            let now = self.now();
            if now >= deadline {
                return Err(ReadBarrierError::ReplicaBehind);
            }
            let advanced = self.replication.advanced.notified();
            self.replication.end_batching.set();
            let timeout_s = STALE_WATCH_S.min(deadline - now);
            if self.runtime.timeout(timeout_s, advanced).await.is_err() {
                // During a network partition a watch may hang without an error.
                self.replication.restart_watch.set();
            }
        }
    }
}
