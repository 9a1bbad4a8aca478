//! HTTP client of one address, which keeps connections open for later calls.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;

use super::framing::{Framing, message_framing, take_body};
use super::{Fill, HEAD_MAX, HEADERS_MAX, MessageError, fill};
use crate::runtime::{Elapsed, Runtime, Stream, Time};

/// Why a call brought no response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Nothing was sent: the request was surely not carried out.
    #[error("no connection: {0}")]
    NotSent(#[source] NotSentReason),
    /// The request may have been carried out, or may yet be.
    #[error("no answer: {0}")]
    Unknown(#[source] ExchangeError),
}

/// Why no request was sent.
#[derive(Debug, thiserror::Error)]
pub enum NotSentReason {
    /// The connection was refused or failed.
    #[error(transparent)]
    Connect(#[from] io::Error),
    /// No connection within the time limit.
    #[error(transparent)]
    Timeout(#[from] Elapsed),
    /// The caller's condition did not hold any more once there was a connection.
    #[error("no longer wanted")]
    NoLongerWanted,
}

/// Why a request that was sent, at least in part, brought no response.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// No response within the time limit.
    #[error(transparent)]
    Timeout(#[from] Elapsed),
    /// The server closed the connection before the end of the response.
    #[error("closed")]
    Closed,
    /// The head of the response can't be parsed.
    #[error(transparent)]
    Head(#[from] httparse::Error),
    /// The head of the response is too large.
    #[error("large head")]
    HeadTooLarge,
    /// The body of the response is malformed or too large.
    #[error(transparent)]
    Message(#[from] MessageError),
}

/// A client of one address, with a few connections kept open.
pub struct Client {
    runtime: Runtime,
    to: SocketAddr,
    idle: RefCell<Vec<IdleConnection>>,
    body_max: usize,
}

/// A connection that is kept for a later call.
struct IdleConnection {
    stream: Stream,
    since: Time,
}

/// Largest number of idle connections that a client keeps.
pub const IDLE_MAX: usize = 4;

/// Time in seconds after which an idle connection is not used any more.
pub(super) const IDLE_S: f64 = 20.0;

/// A response as read from a connection.
struct ReadResponse {
    status: u16,
    body: Vec<u8>,
    /// Whether the connection can be used again.
    keep: bool,
}

impl Client {
    /// A client of the server at `to`, whose responses have at most `body_max` bytes.
    pub fn new(runtime: &Runtime, to: SocketAddr, body_max: usize) -> Self {
        Client {
            runtime: runtime.clone(),
            to,
            idle: RefCell::default(),
            body_max,
        }
    }

    /// Sends a request and waits for the response, `limit_s` seconds in all. Returns its status and body.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
        limit_s: f64,
    ) -> Result<(u16, Vec<u8>), CallError> {
        self.call_if(method, path, body, limit_s, || true).await
    }

    /// As [`Client::call`], but once there is a connection the request is sent only if `is_still_wanted`.
    pub async fn call_if(
        &self,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
        limit_s: f64,
        is_still_wanted: impl Fn() -> bool,
    ) -> Result<(u16, Vec<u8>), CallError> {
        let deadline = self.runtime.now() + limit_s;
        let mut stream = match self.take_idle() {
            Some(stream) => stream,
            None => {
                // A connection that times out is dropped, so it is never completed later.
                match self
                    .runtime
                    .timeout(limit_s, self.runtime.connect(self.to))
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
        let request = encode_request(method, path, self.to, body);
        let exchange = async {
            stream.write_all(&request).await?;
            read_response(&mut stream, self.body_max).await
        };
        let left = deadline - self.runtime.now();
        match self.runtime.timeout(left, exchange).await {
            Ok(Ok(response)) => {
                if response.keep {
                    self.keep_idle(stream);
                }
                Ok((response.status, response.body))
            }
            Ok(Err(e)) => Err(CallError::Unknown(e)),
            Err(e) => {
                // Other connections may hang in the same network partition: open new ones.
                self.idle.borrow_mut().clear();
                Err(CallError::Unknown(e.into()))
            }
        }
    }

    fn keep_idle(&self, stream: Stream) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < IDLE_MAX {
            let since = self.runtime.now();
            idle.push(IdleConnection { stream, since });
        }
    }

    fn take_idle(&self) -> Option<Stream> {
        let now = self.runtime.now();
        loop {
            let mut connection = self.idle.borrow_mut().pop()?;
            if now - connection.since < IDLE_S && connection.stream.is_reusable() {
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
    let (status, framing, start) = loop {
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
            httparse::Status::Partial if buf.len() > HEAD_MAX => {
                return Err(ExchangeError::HeadTooLarge);
            }
            httparse::Status::Partial => {}
        }
    };
    loop {
        if let Some(taken) = take_body(&buf, start, framing.body, body_max)? {
            return Ok(ReadResponse {
                status,
                keep: !framing.close && taken.used == buf.len(),
                body: taken.body,
            });
        }
        if fill(stream, &mut buf).await? == Fill::End {
            if framing.body == Framing::UntilClose {
                return Ok(ReadResponse {
                    status,
                    body: buf.split_off(start),
                    keep: false,
                });
            }
            return Err(ExchangeError::Closed);
        }
    }
}
