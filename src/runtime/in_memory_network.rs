//! In-memory connections, and a clock that advances only when no routine can run. With these, tests run whole
//! controllers deterministically, without sockets and without waiting in real time.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::clock::Clock;
use super::{Inner, Runtime, Scope, Signal, Time, event_loop};

/// Maximum number of iterations of the event loop between two advances of the clock. More indicate that routines wake
/// one another endlessly.
const ITERATIONS_MAX: u32 = 100_000;

/// Wall-clock time at which the clock starts, in milliseconds since the Unix epoch.
const START_UNIX_MS: u64 = 1_796_000_000_000;

/// A clock that is set explicitly; the value is its current time.
struct ManualClock(Rc<Cell<Time>>);

impl Clock for ManualClock {
    fn now(&self) -> Time {
        self.0.get()
    }

    fn unix_ms(&self) -> u64 {
        START_UNIX_MS + (self.0.get() * 1000.0) as u64
    }
}

/// Counts the polls of a routine. An iteration of the event loop without any poll shows that no routine can run.
pub fn count_polls(
    runtime: &Runtime,
    work: impl Future<Output = ()> + 'static,
) -> impl Future<Output = ()> + 'static {
    let polls = runtime
        .0
        .network
        .as_ref()
        .map(|network| network.polls.clone());
    let mut work = Box::pin(work);
    std::future::poll_fn(move |cx| {
        if let Some(polls) = &polls {
            polls.set(polls.get() + 1);
        }
        work.as_mut().poll(cx)
    })
}

impl Runtime {
    /// Runs routines on in-memory connections until [`Runtime::stop`] is called, or until no routine can run and no
    /// timer is pending.
    pub fn run_in_memory(setup: impl FnOnce(&Runtime) -> Scope) {
        let (mut event_loop, scheduler) = event_loop().unwrap();
        let clock = Rc::new(Cell::new(0.0));
        let runtime = Runtime(Rc::new(Inner {
            handle: event_loop.handle(),
            scheduler,
            clock: Box::new(ManualClock(clock.clone())),
            network: Some(Network::default()),
            timers: RefCell::default(),
            is_stopped: Cell::new(false),
            last_pause: Cell::default(),
        }));
        let _root = setup(&runtime);
        let polls = runtime.0.network.as_ref().unwrap().polls.clone();
        let mut iterations = 0;
        while !runtime.0.is_stopped.get() {
            let polls_before = polls.get();
            event_loop.dispatch(Some(Duration::ZERO), &mut ()).unwrap();
            iterations += 1;
            assert!(
                iterations < ITERATIONS_MAX,
                "at {} s: routines keep waking one another",
                clock.get()
            );
            if polls.get() != polls_before {
                continue;
            }
            iterations = 0;
            let Some(next) = runtime.0.timers.borrow().first() else {
                return;
            };
            // Half a microsecond is added, so that the timer is due despite the rounding to whole microseconds.
            clock.set(clock.get().max((next.due_us as f64 + 0.5) / 1e6));
            runtime.fire_timers();
        }
    }
}

impl Runtime {
    /// Delays every later connection to the address `to` by `seconds` while it is being opened.
    pub fn slow_connections(&self, to: SocketAddr, seconds: f64) {
        let network = self.0.network.as_ref().unwrap();
        network.delays.borrow_mut().insert(to, seconds);
    }
}

/// The listeners and connection delays of a runtime with in-memory connections.
#[derive(Default)]
pub struct Network {
    polls: Rc<Cell<u64>>,
    listeners: Rc<RefCell<BTreeMap<SocketAddr, Rc<AcceptQueue>>>>,
    /// The last port assigned to a listener that asked for port 0.
    last_port: Cell<u16>,
    /// Delay in seconds until a connection is opened, by address of the listener; 0 if absent.
    delays: RefCell<BTreeMap<SocketAddr, f64>>,
}

/// Server endpoints of the connections that a listener has not yet accepted.
#[derive(Default)]
struct AcceptQueue {
    endpoints: RefCell<VecDeque<Endpoint>>,
    /// Set when a connection is added.
    connection_added: Signal,
}

impl Network {
    pub fn listen(&self, address: SocketAddr) -> io::Result<InMemoryListener> {
        let mut addr = address;
        if addr.port() == 0 {
            self.last_port.set(self.last_port.get() + 1);
            addr.set_port(self.last_port.get());
        }
        let queue: Rc<AcceptQueue> = Rc::default();
        let mut listeners = self.listeners.borrow_mut();
        if listeners.insert(addr, queue.clone()).is_some() {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        Ok(InMemoryListener {
            addr,
            queue,
            listeners: self.listeners.clone(),
        })
    }

    pub fn delay_s(&self, to: SocketAddr) -> f64 {
        self.delays.borrow().get(&to).copied().unwrap_or(0.0)
    }

    pub fn connect(&self, to: SocketAddr) -> io::Result<Endpoint> {
        let listeners = self.listeners.borrow();
        let queue = listeners.get(&to).ok_or(io::ErrorKind::ConnectionRefused)?;
        let (to_server, to_client): (Rc<Direction>, Rc<Direction>) = Default::default();
        queue.endpoints.borrow_mut().push_back(Endpoint {
            incoming: to_server.clone(),
            outgoing: to_client.clone(),
        });
        queue.connection_added.set();
        Ok(Endpoint {
            incoming: to_client,
            outgoing: to_server,
        })
    }
}

/// Listener for in-memory connections. Dropping it frees its address.
pub struct InMemoryListener {
    pub addr: SocketAddr,
    queue: Rc<AcceptQueue>,
    listeners: Rc<RefCell<BTreeMap<SocketAddr, Rc<AcceptQueue>>>>,
}

impl InMemoryListener {
    pub async fn accept(&mut self) -> Endpoint {
        loop {
            if let Some(endpoint) = self.queue.endpoints.borrow_mut().pop_front() {
                return endpoint;
            }
            self.queue.connection_added.take().await;
        }
    }
}

impl Drop for InMemoryListener {
    fn drop(&mut self) {
        self.listeners.borrow_mut().remove(&self.addr);
    }
}

/// One direction of a connection: the bytes that were written but not yet read.
#[derive(Default)]
struct Direction {
    bytes: RefCell<VecDeque<u8>>,
    /// Whether either endpoint was dropped.
    closed: Cell<bool>,
    /// Set when bytes are added or the connection is closed.
    changed: Signal,
}

/// One side of a connection. Dropping it closes both directions.
pub struct Endpoint {
    incoming: Rc<Direction>,
    outgoing: Rc<Direction>,
}

impl Endpoint {
    pub async fn readable(&self) {
        while self.is_reusable() {
            self.incoming.changed.clear();
            self.incoming.changed.wait().await;
        }
    }

    pub async fn read(&mut self, buf: &mut [u8]) -> usize {
        self.readable().await;
        let mut bytes = self.incoming.bytes.borrow_mut();
        let count = buf.len().min(bytes.len());
        for (target, byte) in buf.iter_mut().zip(bytes.drain(..count)) {
            *target = byte;
        }
        count
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.outgoing.closed.get() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        self.outgoing.bytes.borrow_mut().extend(bytes);
        self.outgoing.changed.set();
        Ok(())
    }

    pub fn is_reusable(&self) -> bool {
        self.incoming.bytes.borrow().is_empty() && !self.incoming.closed.get()
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        for direction in [&self.incoming, &self.outgoing] {
            direction.closed.set(true);
            direction.changed.set();
        }
    }
}
