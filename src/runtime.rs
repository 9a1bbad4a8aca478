//! Runtime around the calloop event loop: routines of one thread, timers, cancellation, sockets.
//!
//! A routine is a future without a result, started in a [`Scope`]. The loop polls routines that were woken, waits
//! for sockets until the next timer is due, and fires timers.

mod clock;
#[cfg(test)]
pub(crate) mod in_memory_network;
mod scope;
mod sockets;
mod sync;
mod timers;
mod token_bucket;

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use calloop::futures::{Scheduler, executor};
use calloop::{EventLoop, LoopHandle};

use clock::{Clock, SystemClock};
pub use clock::{ProcessPause, Time};
pub use scope::Scope;
pub use sockets::{Listener, Stream};
pub use sync::{Notify, Signal};
pub use timers::Elapsed;
use timers::Timers;
pub use token_bucket::TokenBucket;

struct Inner {
    handle: LoopHandle<'static, ()>,
    scheduler: Scheduler<()>,
    clock: Box<dyn Clock>,
    /// Connections in memory in place of sockets.
    #[cfg(test)]
    network: Option<in_memory_network::Network>,
    timers: RefCell<Timers>,
    is_stopped: Cell<bool>,
    last_pause: Cell<ProcessPause>,
}

/// Handle to the runtime, cheap to clone.
#[derive(Clone)]
pub struct Runtime(Rc<Inner>);

/// An event loop that polls the routines of a scheduler.
fn event_loop() -> Result<(EventLoop<'static, ()>, Scheduler<()>), calloop::Error> {
    let event_loop: EventLoop<'static, ()> = EventLoop::try_new()?;
    let (source, scheduler) = executor::<()>()?;
    event_loop
        .handle()
        .insert_source(source, |(), _, _| {})
        .map_err(|e| e.error)?;
    Ok((event_loop, scheduler))
}

impl Runtime {
    /// Creates the event loop, has `setup` start the first routines, and runs until [`Runtime::stop`] or an error
    /// of the event loop itself.
    pub fn run<E: From<calloop::Error>>(
        setup: impl FnOnce(&Runtime) -> Result<Scope, E>,
    ) -> Result<(), E> {
        let (mut event_loop, scheduler) = event_loop()?;
        let runtime = Runtime(Rc::new(Inner {
            handle: event_loop.handle(),
            scheduler,
            clock: Box::new(SystemClock::start()),
            #[cfg(test)]
            network: None,
            timers: RefCell::default(),
            is_stopped: Cell::new(false),
            last_pause: Cell::default(),
        }));
        let _root = setup(&runtime)?;
        while !runtime.0.is_stopped.get() {
            let wait = runtime.until_next_timer();
            let before = runtime.now();
            event_loop.dispatch(wait, &mut ())?;
            runtime.detect_pause(before, wait);
            runtime.fire_timers();
        }
        Ok(())
    }

    /// Ends the event loop, and with it all routines, after the present turn.
    pub fn stop(&self) {
        self.0.is_stopped.set(true);
    }

    fn detect_pause(&self, before: Time, wait: Option<Duration>) {
        if let Some(pause) = ProcessPause::detect(before, self.now(), wait) {
            tracing::info!(pause_s = pause.length_s, "process was paused");
            self.0.last_pause.set(pause);
        }
    }

    /// The last pause of this process; one of length 0 at time 0 if there was none.
    pub fn pause(&self) -> ProcessPause {
        self.0.last_pause.get()
    }

    /// The present time on the steady clock.
    pub fn now(&self) -> Time {
        self.0.clock.now()
    }

    /// The time of day in milliseconds since the Unix epoch, by this machine's clock.
    pub fn unix_ms(&self) -> u64 {
        self.0.clock.unix_ms()
    }

    fn spawn(&self, work: impl Future<Output = ()> + 'static) {
        #[cfg(test)]
        let work = in_memory_network::count_polls(self, work);
        // The scheduler outlives every routine: it ends with the loop that polls them.
        if let Err(error) = self.0.scheduler.schedule(work) {
            tracing::error!(%error, "routine could not be started");
        }
    }
}

#[cfg(test)]
mod tests;
