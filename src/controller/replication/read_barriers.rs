//! Read barriers: an answer that is not final waits until the replica shows all that the store held when the request
//! came. Requests that wait share one read of the store's revision.

use std::cell::RefCell;
use std::rc::Rc;

use futures_channel::oneshot;

use crate::controller::{Controller, READ_TIMEOUT_S, READ_WAITERS_MAX};
use crate::runtime::Signal;
use crate::store::keys;

/// A watch that has not shown a revision known to exist for so long, in seconds, is restarted.
pub(crate) const STALE_WATCH_S: f64 = 0.4;

/// Why a read barrier was not passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ReadBarrierError {
    /// Too many requests wait already.
    #[error("too many requests wait for a read barrier")]
    TooManyWaiting,
    /// The revision of the store could not be read.
    #[error("the revision of the state service could not be read")]
    StoreUnavailable,
    /// The replica has not reached the revision in time.
    #[error("the replica has not reached the revision in time")]
    ReplicaBehind,
    /// The barrier took longer than a request may wait, perhaps as the process was paused.
    #[error("the read barrier timed out")]
    TimedOut,
}

/// Whether a read barrier was passed.
pub(crate) type ReadBarrierResult = Result<(), ReadBarrierError>;

/// The requests that wait for a read barrier.
#[derive(Default)]
pub(crate) struct ReadBarriers {
    /// Begins a read barrier, for those that wait or for the leader's proof that its replica is current.
    pub requested: Signal,
    /// Those that came since the last barrier began.
    waiting: RefCell<Vec<oneshot::Sender<ReadBarrierResult>>>,
}

impl Controller {
    /// Waits until the replica shows all that was in the store when this call began.
    pub(crate) async fn read_barrier(&self) -> ReadBarrierResult {
        if self.read_barriers.waiting.borrow().len() >= READ_WAITERS_MAX {
            return Err(ReadBarrierError::TooManyWaiting);
        }
        let began = self.now();
        let (sender, receiver) = oneshot::channel();
        self.read_barriers.waiting.borrow_mut().push(sender);
        self.read_barriers.requested.set();
        let Ok(Ok(result)) = self.runtime.timeout(READ_TIMEOUT_S, receiver).await else {
            return Err(ReadBarrierError::TimedOut);
        };
        result?;
        // A result from before a pause of this process is too old for an answer sent after it.
        if self.now() - began <= READ_TIMEOUT_S {
            Ok(())
        } else {
            Err(ReadBarrierError::TimedOut)
        }
    }

    /// Serves the requests that wait, all that came before a read of the store's revision by that read.
    pub(crate) async fn serve_read_barriers(self: Rc<Self>) {
        loop {
            self.read_barriers.requested.take().await;
            let waiting = self.read_barriers.waiting.take();
            let began = self.now();
            let result = self.catch_up_with_store().await;
            if result.is_ok() {
                self.replication.record_current_at(began);
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

    /// Waits until the replica has reached a revision.
    pub(crate) async fn wait_for_revision(&self, revision: u64) -> ReadBarrierResult {
        let deadline = self.now() + READ_TIMEOUT_S;
        loop {
            if self.replication.has_reached(revision) {
                return Ok(());
            }
            let now = self.now();
            if now >= deadline {
                return Err(ReadBarrierError::ReplicaBehind);
            }
            let next = self.replication.advanced.notified();
            self.replication.end_batching.set();
            let timeout_s = STALE_WATCH_S.min(deadline - now);
            if self.runtime.timeout(timeout_s, next).await.is_err() {
                // The watch may hang in a partition without an error.
                self.replication.restart_watch.set();
            }
        }
    }
}
