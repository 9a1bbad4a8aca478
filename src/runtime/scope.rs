//! Scopes own routines: a routine is cancelled at the latest when the scope in which it was started is dropped.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;

use futures_util::future::select;

use super::{Runtime, Signal};

/// Owner of routines. Dropping a scope cancels its routines. A cancelled routine is dropped together with the scopes
/// that it owns, which cancels their routines in turn.
pub struct Scope {
    runtime: Runtime,
    shared: Rc<ScopeState>,
}

/// State that a scope shares with its routines. Dropping the scope only wakes them; each is cancelled when it is polled
/// next, so this state can outlive the scope.
#[derive(Default)]
struct ScopeState {
    cancel: Signal,
    /// Number of routines that have not ended.
    live: Cell<usize>,
}

impl Scope {
    /// Creates a scope without routines.
    pub fn new(runtime: &Runtime) -> Self {
        Scope {
            runtime: runtime.clone(),
            shared: Rc::default(),
        }
    }

    /// Starts a routine, which is cancelled when this scope is dropped.
    pub fn spawn(&self, work: impl Future<Output = ()> + 'static) {
        let shared = self.shared.clone();
        shared.live.set(shared.live.get() + 1);
        self.runtime.spawn(async move {
            {
                let work = std::pin::pin!(work);
                let cancel = std::pin::pin!(shared.cancel.wait());
                select(work, cancel).await;
            }
            shared.live.set(shared.live.get() - 1);
        });
    }

    /// Number of routines of this scope that have not ended.
    pub fn live(&self) -> usize {
        self.shared.live.get()
    }
}

impl Drop for Scope {
    fn drop(&mut self) {
        self.shared.cancel.set();
    }
}
