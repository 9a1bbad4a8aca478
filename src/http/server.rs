//! HTTP server with bounds on connections and times.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

use futures_util::future::{Either, select};

use super::framing::take_body;
use super::{
    BODY_MAX, Fill, MessageError, READ_CHUNK, Request, Response, fill, parse_request_head,
};
use crate::runtime::{Listener, Runtime, Scope, Signal, Stream, Time};

/// Computes the response to a request.
pub type Handler = Rc<dyn Fn(Request) -> Pin<Box<dyn Future<Output = Response>>>>;

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Connections served at once; further ones are rejected with a time to try again.
    pub connections: usize,
    /// Time in seconds in which a whole request must arrive.
    pub request_s: f64,
    /// Time in seconds after which an idle connection is closed.
    pub idle_s: f64,
    /// Time in seconds after which an idle connection may be closed in favour of a new one when all are taken.
    pub evictable_idle_s: f64,
}

/// Fraction of the connections in use from which on each connection is closed after its response: more clients
/// can be served than could all stay connected.
const CLOSE_AFTER_RESPONSE_FRACTION: f64 = 0.95;

/// Connections being rejected at once, as a fraction of those served.
const REJECTED_FRACTION: f64 = 1.0 / 128.0;

/// Seconds after which rejected clients may try again.
const FULL_RETRY_S: u32 = 2;

/// Longest time in seconds for a write that should not block.
const IMMEDIATE_WRITE_S: f64 = 0.01;

/// Longest time in seconds for writing an error response.
const ERROR_WRITE_S: f64 = 1.0;

/// Longest time in seconds for reading what a client still sends after an error response.
const DRAIN_S: f64 = 0.5;

/// Largest number of bytes read after an error response.
const DRAIN_MAX: usize = 4 * BODY_MAX;

/// Pause in seconds after a connection could not be accepted.
const ACCEPT_RETRY_S: f64 = 0.1;

impl ServerLimits {
    /// The connections that may be served with so many sockets for clients in all.
    pub fn connections_within(sockets: usize) -> usize {
        (sockets as f64 / (1.0 + REJECTED_FRACTION)) as usize
    }

    fn close_after_response_from(&self) -> usize {
        (self.connections as f64 * CLOSE_AFTER_RESPONSE_FRACTION).ceil() as usize
    }

    fn rejected_max(&self) -> usize {
        (self.connections as f64 * REJECTED_FRACTION) as usize + 1
    }
}

/// A connection that waits for its next request.
struct IdleConnection {
    since: Time,
    /// Closes the connection.
    evict: Rc<Signal>,
}

/// State shared by the connections of a server.
struct Server {
    runtime: Runtime,
    limits: ServerLimits,
    handler: Handler,
    live: Cell<usize>,
    next_idle_id: Cell<u64>,
    /// Idle connections, the longest idle first.
    idle: RefCell<BTreeMap<u64, IdleConnection>>,
}

/// A request that has arrived.
struct Arrival {
    request: Request,
    /// Whether the client asks to close the connection after the response.
    close: bool,
}

impl Server {
    /// Closes the longest idle connection in favour of another, if it was idle for long enough; returns whether it
    /// was.
    fn evict_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        match idle.first_entry() {
            Some(first)
                if self.runtime.now() - first.get().since >= self.limits.evictable_idle_s =>
            {
                first.remove().evict.set();
                true
            }
            _ => false,
        }
    }

    /// Waits for the first bytes of a request. False if there are none in time, or the connection is evicted.
    async fn wait_for_request(&self, stream: &mut Stream, evict: &Rc<Signal>) -> bool {
        let id = self.next_idle_id.get();
        self.next_idle_id.set(id + 1);
        let connection = IdleConnection {
            since: self.runtime.now(),
            evict: evict.clone(),
        };
        self.idle.borrow_mut().insert(id, connection);
        let ready = self.runtime.timeout(self.limits.idle_s, stream.readable());
        let ready = std::pin::pin!(ready);
        let evicted = std::pin::pin!(evict.wait());
        let ready = matches!(select(ready, evicted).await, Either::Left((Ok(()), _)));
        self.idle.borrow_mut().remove(&id);
        ready
    }

    async fn connection(&self, mut stream: Stream) {
        let limits = &self.limits;
        let evict = Rc::new(Signal::default());
        let mut buf = Vec::new();
        loop {
            if buf.is_empty() {
                // Most connections are idle most of the time: they hold no buffer meanwhile.
                buf = Vec::new();
                if !self.wait_for_request(&mut stream, &evict).await {
                    return;
                }
            }
            let arrival = self
                .runtime
                .timeout(limits.request_s, read_request(&mut stream, &mut buf))
                .await;
            let arrival = match arrival {
                Ok(Ok(Some(arrival))) => arrival,
                Ok(Ok(None)) => return,
                Ok(Err(bad)) => {
                    let response = Response::error(bad.status(), &bad.to_string());
                    return Box::pin(refuse(&self.runtime, &mut stream, response)).await;
                }
                Err(_) => {
                    let response = Response::error(408, "request too slow");
                    return Box::pin(refuse(&self.runtime, &mut stream, response)).await;
                }
            };
            let response = (self.handler)(arrival.request).await;
            let close = arrival.close || self.live.get() >= limits.close_after_response_from();
            let response = response.encode(close);
            let sent = self
                .runtime
                .timeout(limits.request_s, stream.write_all(&response))
                .await;
            if close || !matches!(sent, Ok(Ok(()))) {
                return;
            }
        }
    }
}

/// Serves connections until cancelled.
pub async fn serve(
    runtime: Runtime,
    mut listener: Listener,
    limits: ServerLimits,
    handler: Handler,
) {
    let scope = Scope::new(&runtime);
    let server = Rc::new(Server {
        runtime: runtime.clone(),
        limits,
        handler,
        live: Cell::new(0),
        next_idle_id: Cell::new(0),
        idle: RefCell::default(),
    });
    // Further connections are rejected at once. For some there is time to read what they send first: closing might
    // reset the connection before the client sees the response.
    let rejected = Scope::new(&runtime);
    loop {
        match listener.accept().await {
            Ok(stream) if scope.live() < limits.connections || server.evict_idle() => {
                let server = server.clone();
                server.live.set(scope.live() + 1);
                scope.spawn(async move {
                    server.connection(stream).await;
                    server.live.set(server.live.get().saturating_sub(1));
                });
            }
            Ok(stream) if rejected.live() < limits.rejected_max() => {
                rejected.spawn(reject(runtime.clone(), stream));
            }
            Ok(mut stream) => {
                // The send buffer of a new socket takes so little at once.
                let response = too_many_connections().encode(true);
                let write = stream.write_all(&response);
                let _ = runtime.timeout(IMMEDIATE_WRITE_S, write).await;
            }
            Err(error) => {
                tracing::warn!(%error, "accepting a connection failed");
                runtime.sleep(ACCEPT_RETRY_S).await;
            }
        }
    }
}

async fn reject(runtime: Runtime, mut stream: Stream) {
    refuse(&runtime, &mut stream, too_many_connections()).await;
}

fn too_many_connections() -> Response {
    Response::retry_later(503, "too many connections", FULL_RETRY_S)
}

/// Sends a response after which the connection is closed.
async fn refuse(runtime: &Runtime, stream: &mut Stream, response: Response) {
    let bytes = response.encode(true);
    let _ = runtime
        .timeout(ERROR_WRITE_S, stream.write_all(&bytes))
        .await;
    // What the client still sends is read for a moment: closing would reset the connection, and the client might
    // never see the response.
    let drain = async {
        let mut sink = [0; READ_CHUNK];
        let mut left = DRAIN_MAX;
        while let Ok(n @ 1..) = stream.read(&mut sink).await {
            left = left.saturating_sub(n);
            if left == 0 {
                return;
            }
        }
    };
    let _ = runtime.timeout(DRAIN_S, drain).await;
}

/// Reads a request; `None` if the connection ends or fails before its end.
async fn read_request(
    stream: &mut Stream,
    buf: &mut Vec<u8>,
) -> Result<Option<Arrival>, MessageError> {
    let head = loop {
        if let Some(head) = parse_request_head(buf)? {
            break head;
        }
        if !matches!(fill(stream, buf).await, Ok(Fill::More)) {
            return Ok(None);
        }
    };
    if head.expects_continue
        && stream
            .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
            .await
            .is_err()
    {
        return Ok(None);
    }
    loop {
        if let Some(taken) = take_body(buf, head.len, head.framing, BODY_MAX)? {
            buf.drain(..taken.used);
            let request = Request {
                method: head.method,
                path: head.path,
                body: taken.body,
            };
            return Ok(Some(Arrival {
                request,
                close: head.close,
            }));
        }
        if !matches!(fill(stream, buf).await, Ok(Fill::More)) {
            return Ok(None);
        }
    }
}
