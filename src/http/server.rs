//! HTTP server with limits on connections and durations.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

use futures_util::future::{Either, select};

use super::framing::decode_body;
use super::{
    BODY_BYTES_MAX, Fill, MessageError, READ_CHUNK_BYTES, Request, Response, fill,
    parse_request_head,
};
use crate::runtime::{Listener, Runtime, Scope, Signal, Stream, Time};

/// Computes the response to a request.
pub type Handler = Rc<dyn Fn(Request) -> Pin<Box<dyn Future<Output = Response>>>>;

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Maximum number of connections served at the same time; further ones receive 503 with `Retry-After`.
    pub connections: usize,
    /// Seconds within which a whole request must arrive, and within which its response must be written.
    pub request_s: f64,
    /// Seconds after which an idle connection is closed.
    pub idle_s: f64,
    /// Seconds after which an idle connection may be closed to accept a new one while all connections are in use.
    pub evictable_idle_s: f64,
}

/// Fraction of [`ServerLimits::connections`] that must be in use for the server to close each connection after its
/// response. The freed connections let the server serve more clients than can stay connected at the same time.
const CLOSE_AFTER_RESPONSE_FRACTION: f64 = 0.95;

/// Maximum number of connections in the process of being rejected, as a fraction of [`ServerLimits::connections`].
const REJECTED_FRACTION: f64 = 1.0 / 128.0;

/// Seconds after which a client that was rejected for lack of connections may retry.
const REJECTED_RETRY_S: u32 = 2;

/// Time limit in seconds for a write that is expected not to block.
const IMMEDIATE_WRITE_S: f64 = 0.01;

/// Time limit in seconds for writing an error response after which the connection is closed.
const ERROR_WRITE_S: f64 = 1.0;

/// Time limit in seconds for reading what a client still sends after such an error response.
const DRAIN_S: f64 = 0.5;

/// Maximum number of bytes read after such an error response.
const DRAIN_BYTES_MAX: usize = 4 * BODY_BYTES_MAX;

/// Delay in seconds before the next accept after a failed one.
const ACCEPT_RETRY_S: f64 = 0.1;

impl ServerLimits {
    /// The value of `connections` for which served and rejected connections together need `sockets` sockets, or
    /// one more because `rejected_max` rounds up.
    pub fn connections_within(sockets: usize) -> usize {
        (sockets as f64 / (1.0 + REJECTED_FRACTION)) as usize
    }

    /// Minimum number of open connections at which the server closes each connection after its response.
    fn close_after_response_threshold(&self) -> usize {
        (self.connections as f64 * CLOSE_AFTER_RESPONSE_FRACTION).ceil() as usize
    }

    /// Maximum number of connections in the process of being rejected.
    fn rejected_max(&self) -> usize {
        (self.connections as f64 * REJECTED_FRACTION) as usize + 1
    }
}

/// A connection that waits for its next request.
struct IdleConnection {
    idle_since: Time,
    /// Set to close the connection.
    evict: Rc<Signal>,
}

/// State shared by the connections of a server.
struct Server {
    runtime: Runtime,
    limits: ServerLimits,
    handler: Handler,
    /// Number of connections being served, including idle ones; connections being rejected do not count.
    open_connections: Cell<usize>,
    next_idle_id: Cell<u64>,
    /// Idle connections in the order in which they became idle.
    idle: RefCell<BTreeMap<u64, IdleConnection>>,
}

/// A request that was received completely.
struct ReceivedRequest {
    request: Request,
    /// Whether the server must close the connection after the response.
    close: bool,
}

impl Server {
    /// Closes the longest idle connection to free its place for a new one, if it has been idle for at least
    /// `evictable_idle_s`. Returns whether a connection was closed.
    fn evict_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        match idle.first_entry() {
            Some(first)
                if self.runtime.now() - first.get().idle_since >= self.limits.evictable_idle_s =>
            {
                first.remove().evict.set();
                true
            }
            _ => false,
        }
    }

    /// Waits until the first bytes of a request arrive or the client closes the connection. Returns false if neither
    /// happens within `idle_s`, or if the connection is evicted.
    async fn wait_for_request(&self, stream: &mut Stream, evict: &Rc<Signal>) -> bool {
        let id = self.next_idle_id.get();
        self.next_idle_id.set(id + 1);
        let connection = IdleConnection {
            idle_since: self.runtime.now(),
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

    /// Serves the requests of one connection until it is closed.
    async fn serve_connection(&self, mut stream: Stream) {
        let limits = &self.limits;
        let evict = Rc::new(Signal::default());
        let mut buf = Vec::new();
        loop {
            if buf.is_empty() {
                // Frees the buffer: most connections are idle most of the time, and idle ones need none.
                buf = Vec::new();
                if !self.wait_for_request(&mut stream, &evict).await {
                    return;
                }
            }
            let received = self
                .runtime
                .timeout(limits.request_s, read_request(&mut stream, &mut buf))
                .await;
            let received = match received {
                Ok(Ok(Some(received))) => received,
                Ok(Ok(None)) => return,
                Ok(Err(error)) => {
                    let response = Response::error(error.status(), &error.to_string());
                    return Box::pin(refuse(&self.runtime, &mut stream, response)).await;
                }
                Err(_) => {
                    let response = Response::error(408, "request too slow");
                    return Box::pin(refuse(&self.runtime, &mut stream, response)).await;
                }
            };
            let response = (self.handler)(received.request).await;
            let close = received.close
                || self.open_connections.get() >= limits.close_after_response_threshold();
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

/// Accepts and serves connections until the routine is cancelled.
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
        open_connections: Cell::new(0),
        next_idle_id: Cell::new(0),
        idle: RefCell::default(),
    });
    // Connections beyond the limit are rejected immediately. For up to `rejected_max` connections at the same time, a
    // routine then reads what the client sends: closing a socket with unread bytes resets the connection, possibly
    // before the client has read the response.
    let rejected = Scope::new(&runtime);
    loop {
        match listener.accept().await {
            Ok(stream) if scope.live() < limits.connections || server.evict_idle() => {
                let server = server.clone();
                server.open_connections.set(scope.live() + 1);
                scope.spawn(async move {
                    server.serve_connection(stream).await;
                    server
                        .open_connections
                        .set(server.open_connections.get().saturating_sub(1));
                });
            }
            Ok(stream) if rejected.live() < limits.rejected_max() => {
                rejected.spawn(reject(runtime.clone(), stream));
            }
            Ok(mut stream) => {
                // The write does not block: the response fits into the empty send buffer of a new socket.
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

/// Rejects a connection that exceeds [`ServerLimits::connections`].
async fn reject(runtime: Runtime, mut stream: Stream) {
    refuse(&runtime, &mut stream, too_many_connections()).await;
}

fn too_many_connections() -> Response {
    Response::retry_later(503, "too many connections", REJECTED_RETRY_S)
}

/// Sends an error response and discards what the client still sends. The caller then closes the connection.
async fn refuse(runtime: &Runtime, stream: &mut Stream, response: Response) {
    let bytes = response.encode(true);
    let _ = runtime
        .timeout(ERROR_WRITE_S, stream.write_all(&bytes))
        .await;
    // Reads what the client still sends, within `DRAIN_S`: closing a socket with unread bytes resets the connection,
    // and the client might never see the response.
    let drain = async {
        let mut discarded = [0; READ_CHUNK_BYTES];
        let mut remaining = DRAIN_BYTES_MAX;
        while let Ok(count @ 1..) = stream.read(&mut discarded).await {
            remaining = remaining.saturating_sub(count);
            if remaining == 0 {
                return;
            }
        }
    };
    let _ = runtime.timeout(DRAIN_S, drain).await;
}

/// Reads a request; returns `None` if the connection is closed or fails before the request is complete.
async fn read_request(
    stream: &mut Stream,
    buf: &mut Vec<u8>,
) -> Result<Option<ReceivedRequest>, MessageError> {
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
        if let Some(decoded) = decode_body(buf, head.len, head.framing, BODY_BYTES_MAX)? {
            buf.drain(..decoded.consumed_bytes);
            let request = Request {
                method: head.method,
                path: head.path,
                body: decoded.body,
            };
            return Ok(Some(ReceivedRequest {
                request,
                close: head.close,
            }));
        }
        if !matches!(fill(stream, buf).await, Ok(Fill::More)) {
            return Ok(None);
        }
    }
}
