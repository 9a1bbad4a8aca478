//! Ownership of routines: a routine never outlives the scope that it was started in.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;

use futures_util::future::select;

use super::{Runtime, Signal};

/// Owner of routines. Dropping it cancels them, and with each of them the scopes that it owns itself.
pub struct Scope {
    runtime: Runtime,
    shared: Rc<ScopeState>,
}

#[derive(Default)]
struct ScopeState {
    cancel: Signal,
    live: Cell<usize>,
}

impl Scope {
    /// A scope without routines.
    pub fn new(runtime: &Runtime) -> Self {
        Scope {
            runtime: runtime.clone(),
            shared: Rc::default(),
        }
    }

    /// Starts a routine that ends with this scope at the latest.
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

    /// Number of routines that have not ended.
    pub fn live(&self) -> usize {
        self.shared.live.get()
    }
}

impl Drop for Scope {
    fn drop(&mut self) {
        self.shared.cancel.set();
    }
}
