//! HTTP client for one server address. It keeps idle connections open and reuses them.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;

use super::framing::{Framing, decode_body, message_framing};
use super::{Fill, HEAD_BYTES_MAX, HEADERS_MAX, MessageError, fill};
use crate::runtime::{Elapsed, Runtime, Stream, Time};

/// Why a call returned no response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No byte of the request was sent, so the server cannot have executed it.
    #[error("request not sent: {0}")]
    NotSent(#[source] NotSentReason),
    /// The server may have executed the request, or may still execute it.
    #[error("no answer: {0}")]
    Unknown(#[source] ExchangeError),
}

/// Why a request was not sent.
#[derive(Debug, thiserror::Error)]
pub enum NotSentReason {
    /// The connection could not be opened.
    #[error(transparent)]
    Connect(#[from] io::Error),
    /// The connection was not established within the time limit.
    #[error(transparent)]
    Timeout(#[from] Elapsed),
    /// The condition passed to [`Client::call_if`] was false once the connection was established.
    #[error("the caller no longer needs the request")]
    NoLongerWanted,
}

/// Why a request that was sent, at least in part, received no usable response.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// Reading from or writing to the connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// No complete response arrived within the time limit.
    #[error(transparent)]
    Timeout(#[from] Elapsed),
    /// The server closed the connection before the end of the response.
    #[error("the server closed the connection before the end of the response")]
    Closed,
    /// The head of the response can't be parsed.
    #[error("malformed response head: {0}")]
    Head(#[from] httparse::Error),
    /// The head of the response exceeds the limit on its bytes.
    #[error("the response head exceeds {HEAD_BYTES_MAX} bytes")]
    HeadTooLarge,
    /// The framing or the body of the response is malformed, or the body is too large.
    #[error(transparent)]
    Message(#[from] MessageError),
}

/// A client for one server address, which keeps up to [`IDLE_MAX`] idle connections open.
pub struct Client {
    runtime: Runtime,
    address: SocketAddr,
    idle: RefCell<Vec<IdleConnection>>,
    /// Maximum size of a response body, in bytes.
    body_max: usize,
}

/// An open connection that a later call may reuse.
struct IdleConnection {
    stream: Stream,
    idle_since: Time,
}

/// Maximum number of idle connections that a client keeps open.
pub const IDLE_MAX: usize = 4;

/// Seconds after which an idle connection is closed instead of reused.
pub(super) const IDLE_S: f64 = 20.0;

/// A response as read from a connection.
struct ReadResponse {
    status: u16,
    body: Vec<u8>,
    /// Whether the connection can be reused: the server keeps it open and no bytes follow the response.
    is_reusable: bool,
}

impl Client {
    /// Creates a client for the server at `address` that accepts response bodies of up to `body_max` bytes.
    pub fn new(runtime: &Runtime, address: SocketAddr, body_max: usize) -> Self {
        Client {
            runtime: runtime.clone(),
            address,
            idle: RefCell::default(),
            body_max,
        }
    }

    /// Sends a request and waits for the response; `timeout_s` covers the whole call. Returns the status and body of
    /// the response.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
        timeout_s: f64,
    ) -> Result<(u16, Vec<u8>), CallError> {
        self.call_if(method, path, body, timeout_s, || true).await
    }

    /// Like [`Client::call`], but evaluates `is_still_wanted` once the connection is established and sends the request
    /// only if it returns true.
    pub async fn call_if(
        &self,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
        timeout_s: f64,
        is_still_wanted: impl Fn() -> bool,
    ) -> Result<(u16, Vec<u8>), CallError> {
        let deadline = self.runtime.now() + timeout_s;
        let mut stream = match self.take_idle() {
            Some(stream) => stream,
            None => {
                // An attempt to connect that times out is dropped, so it cannot complete later.
                match self
                    .runtime
                    .timeout(timeout_s, self.runtime.connect(self.address))
                    .await
                {
                    Ok(Ok(stream)) => stream,
                    Ok(Err(e)) => return Err(CallError::NotSent(e.into())),
                    Err(e) => return Err(CallError::NotSent(e.into())),
                }
            }
        };
        if !is_still_wanted() {
            return Err(CallError::NotSent(NotSentReason::NoLongerWanted));
        }
        let request = encode_request(method, path, self.address, body);
        let exchange = async {
            stream.write_all(&request).await?;
            read_response(&mut stream, self.body_max).await
        };
        let remaining_s = deadline - self.runtime.now();
        match self.runtime.timeout(remaining_s, exchange).await {
            Ok(Ok(response)) => {
                if response.is_reusable {
                    self.keep_idle(stream);
                }
                Ok((response.status, response.body))
            }
            Ok(Err(e)) => Err(CallError::Unknown(e)),
            Err(e) => {
                // The idle connections may be cut off by the same network partition. Without them, later calls open
                // new connections.
                self.idle.borrow_mut().clear();
                Err(CallError::Unknown(e.into()))
            }
        }
    }

    fn keep_idle(&self, stream: Stream) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < IDLE_MAX {
            let idle_since = self.runtime.now();
            idle.push(IdleConnection { stream, idle_since });
        }
    }

    fn take_idle(&self) -> Option<Stream> {
        let now = self.runtime.now();
        loop {
            let mut connection = self.idle.borrow_mut().pop()?;
            if now - connection.idle_since < IDLE_S && connection.stream.is_reusable() {
                return Some(connection.stream);
            }
        }
    }
}

fn encode_request(method: &str, path: &str, host: SocketAddr, body: Option<&[u8]>) -> Vec<u8> {
    let mut out = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n").into_bytes();
    if let Some(body) = body {
        let length = body.len();
        out.extend_from_slice(
            format!("Content-Type: application/json\r\nContent-Length: {length}\r\n").as_bytes(),
        );
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body.unwrap_or_default());
    out
}

async fn read_response(
    stream: &mut Stream,
    body_max: usize,
) -> Result<ReadResponse, ExchangeError> {
    let mut buf = Vec::new();
    let (status, framing, body_start) = loop {
        if fill(stream, &mut buf).await? == Fill::End {
            return Err(ExchangeError::Closed);
        }
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut response = httparse::Response::new(&mut headers);
        match response.parse(&buf)? {
            httparse::Status::Complete(len) => {
                let framing = message_framing(response.headers, Framing::UntilClose)?;
                break (response.code.unwrap_or(0), framing, len);
            }
            httparse::Status::Partial if buf.len() > HEAD_BYTES_MAX => {
                return Err(ExchangeError::HeadTooLarge);
            }
            httparse::Status::Partial => {}
        }
    };
    loop {
        if let Some(decoded) = decode_body(&buf, body_start, framing.body, body_max)? {
            return Ok(ReadResponse {
                status,
                is_reusable: !framing.close && decoded.consumed_bytes == buf.len(),
                body: decoded.body,
            });
        }
        if fill(stream, &mut buf).await? == Fill::End {
            if framing.body == Framing::UntilClose {
                return Ok(ReadResponse {
                    status,
                    body: buf.split_off(body_start),
                    is_reusable: false,
                });
            }
            return Err(ExchangeError::Closed);
        }
    }
}
