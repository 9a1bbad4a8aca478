//! Connections in memory, and a clock that advances only when no routine can run: whole controllers run on them
//! without sockets or waits, and deterministically.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::clock::Clock;
use super::{Inner, Runtime, Scope, Signal, Time, event_loop};

/// Turns of the loop without an advance of the clock after which a routine is taken to loop forever.
const TURNS_MAX: u32 = 100_000;

/// The time of day when the clock starts.
const UNIX_MS: u64 = 1_796_000_000_000;

/// A clock that is set explicitly.
struct ManualClock(Rc<Cell<Time>>);

impl Clock for ManualClock {
    fn now(&self) -> Time {
        self.0.get()
    }

    fn unix_ms(&self) -> u64 {
        UNIX_MS + (self.0.get() * 1000.0) as u64
    }
}

/// Counts the polls of a routine: after a turn of the loop without any, no routine can run.
pub fn count_polls(
    runtime: &Runtime,
    work: impl Future<Output = ()> + 'static,
) -> impl Future<Output = ()> + 'static {
    let polls = runtime.0.network.as_ref().map(|n| n.polls.clone());
    let mut work = Box::pin(work);
    std::future::poll_fn(move |cx| {
        if let Some(polls) = &polls {
            polls.set(polls.get() + 1);
        }
        work.as_mut().poll(cx)
    })
}

impl Runtime {
    /// Runs routines on connections in memory until [`Runtime::stop`], or until nothing is left to wait for.
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
        let mut turns = 0;
        while !runtime.0.is_stopped.get() {
            let before = polls.get();
            event_loop.dispatch(Some(Duration::ZERO), &mut ()).unwrap();
            turns += 1;
            assert!(turns < TURNS_MAX, "at {}: never at rest", clock.get());
            if polls.get() != before {
                continue;
            }
            turns = 0;
            let Some(next) = runtime.0.timers.borrow().first() else {
                return;
            };
            // Half a microsecond further: after rounding the timer must be due.
            clock.set(clock.get().max((next.at_us as f64 + 0.5) / 1e6));
            runtime.fire_timers();
        }
    }
}

impl Runtime {
    /// Delays the opening of connections to an address.
    pub fn slow_connections(&self, to: SocketAddr, seconds: f64) {
        let network = self.0.network.as_ref().unwrap();
        network.delays.borrow_mut().insert(to, seconds);
    }
}

/// All listeners.
#[derive(Default)]
pub struct Network {
    polls: Rc<Cell<u64>>,
    listeners: Rc<RefCell<BTreeMap<SocketAddr, Rc<AcceptQueue>>>>,
    ports: Cell<u16>,
    /// Time in seconds to open a connection, by address.
    delays: RefCell<BTreeMap<SocketAddr, f64>>,
}

#[derive(Default)]
struct AcceptQueue {
    endpoints: RefCell<VecDeque<Endpoint>>,
    is_filled: Signal,
}

impl Network {
    pub fn listen(&self, at: SocketAddr) -> io::Result<Backlog> {
        let mut addr = at;
        if addr.port() == 0 {
            self.ports.set(self.ports.get() + 1);
            addr.set_port(self.ports.get());
        }
        let queue: Rc<AcceptQueue> = Rc::default();
        let mut listeners = self.listeners.borrow_mut();
        if listeners.insert(addr, queue.clone()).is_some() {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        Ok(Backlog {
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
        let (one, other): (Rc<Direction>, Rc<Direction>) = Default::default();
        queue.endpoints.borrow_mut().push_back(Endpoint {
            from: one.clone(),
            to: other.clone(),
        });
        queue.is_filled.set();
        Ok(Endpoint {
            from: other,
            to: one,
        })
    }
}

/// Connections that wait to be accepted.
pub struct Backlog {
    pub addr: SocketAddr,
    queue: Rc<AcceptQueue>,
    listeners: Rc<RefCell<BTreeMap<SocketAddr, Rc<AcceptQueue>>>>,
}

impl Backlog {
    pub async fn accept(&mut self) -> Endpoint {
        loop {
            if let Some(end) = self.queue.endpoints.borrow_mut().pop_front() {
                return end;
            }
            self.queue.is_filled.take().await;
        }
    }
}

impl Drop for Backlog {
    fn drop(&mut self) {
        self.listeners.borrow_mut().remove(&self.addr);
    }
}

/// Bytes in flight in one direction.
#[derive(Default)]
struct Direction {
    bytes: RefCell<VecDeque<u8>>,
    closed: Cell<bool>,
    changed: Signal,
}

/// One side of a connection.
pub struct Endpoint {
    from: Rc<Direction>,
    to: Rc<Direction>,
}

impl Endpoint {
    pub async fn readable(&self) {
        while self.is_reusable() {
            self.from.changed.clear();
            self.from.changed.wait().await;
        }
    }

    pub async fn read(&mut self, buf: &mut [u8]) -> usize {
        self.readable().await;
        let mut bytes = self.from.bytes.borrow_mut();
        let n = buf.len().min(bytes.len());
        for (to, byte) in buf.iter_mut().zip(bytes.drain(..n)) {
            *to = byte;
        }
        n
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.to.closed.get() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        self.to.bytes.borrow_mut().extend(bytes);
        self.to.changed.set();
        Ok(())
    }

    pub fn is_reusable(&self) -> bool {
        self.from.bytes.borrow().is_empty() && !self.from.closed.get()
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        for direction in [&self.from, &self.to] {
            direction.closed.set(true);
            direction.changed.set();
        }
    }
}
