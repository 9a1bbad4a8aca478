//! Single-threaded asynchronous runtime on the calloop event loop: routines, timers, cancellation and sockets.
//!
//! A routine is a future without a result that is started in a [`Scope`]. Other runtimes call it a task; in this
//! project a task is a part of a job. Each iteration of the event loop polls the routines that were woken, waits for
//! sockets until the next timer is due, and fires the due timers.

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

/// State shared by all handles to the runtime.
struct Inner {
    handle: LoopHandle<'static, ()>,
    scheduler: Scheduler<()>,
    clock: Box<dyn Clock>,
    /// If set, connections are made in memory instead of over sockets.
    #[cfg(test)]
    network: Option<in_memory_network::Network>,
    timers: RefCell<Timers>,
    is_stopped: Cell<bool>,
    /// The last process pause; the default value, of length 0, if there was none.
    last_pause: Cell<ProcessPause>,
}

/// Handle to the runtime. Clones are cheap and refer to the same event loop.
#[derive(Clone)]
pub struct Runtime(Rc<Inner>);

/// Creates an event loop and the scheduler that starts routines on it.
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
    /// Creates the event loop, calls `setup` to start the first routines, and runs until [`Runtime::stop`] is called.
    /// Returns an error if `setup` or the event loop itself fails. The scope returned by `setup` is dropped at the end.
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
            let max_wait = runtime.until_next_timer();
            let started_at = runtime.now();
            event_loop.dispatch(max_wait, &mut ())?;
            runtime.detect_pause(started_at, max_wait);
            runtime.fire_timers();
        }
        Ok(())
    }

    /// Ends the event loop after its current iteration, and with it all routines.
    pub fn stop(&self) {
        self.0.is_stopped.set(true);
    }

    /// Records a process pause if the iteration that started at `started_at` took much longer than `max_wait`.
    fn detect_pause(&self, started_at: Time, max_wait: Option<Duration>) {
        if let Some(pause) = ProcessPause::detect(started_at, self.now(), max_wait) {
            tracing::info!(pause_s = pause.length_s, "process was paused");
            self.0.last_pause.set(pause);
        }
    }

    /// The last pause of this process; a pause of length 0 at time 0 if there was none.
    pub fn pause(&self) -> ProcessPause {
        self.0.last_pause.get()
    }

    /// The current time on the monotonic clock.
    pub fn now(&self) -> Time {
        self.0.clock.now()
    }

    /// The wall-clock time of this host, in milliseconds since the Unix epoch.
    pub fn unix_ms(&self) -> u64 {
        self.0.clock.unix_ms()
    }

    fn spawn(&self, work: impl Future<Output = ()> + 'static) {
        #[cfg(test)]
        let work = in_memory_network::count_polls(self, work);
        // Scheduling fails only after the event loop was dropped. By then no routine is left that could call this.
        if let Err(error) = self.0.scheduler.schedule(work) {
            tracing::error!(%error, "starting a routine failed");
        }
    }
}

#[cfg(test)]
mod tests;
