//! Bounded HTTP/1.1, server and client. Heads are parsed by httparse; framing and limits are ours.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

use futures_util::future::{Either, select};

use crate::rt::{Listener, Rt, Scope, Signal, Stream, Time};

/// Largest head of a message.
const HEAD_MAX: usize = 16 * 1024;
/// Most headers of a message.
const HEADERS_MAX: usize = 64;
/// Largest body of a request, as the protocol says.
pub const BODY_MAX: usize = 64 * 1024;
const READ_CHUNK: usize = 4 * 1024;

/// A request as the server hands it on.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
}

/// An answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    /// Seconds after which the client may come back.
    pub retry_after: Option<u32>,
}

impl Response {
    /// An answer with a JSON body.
    pub fn json(status: u16, value: &impl serde::Serialize) -> Self {
        Response {
            status,
            body: serde_json::to_vec(value).unwrap_or_default(),
            retry_after: None,
        }
    }

    /// An error with its reason.
    pub fn error(status: u16, reason: &str) -> Self {
        Response::json(status, &serde_json::json!({ "error": reason }))
    }

    /// "Not now, come back in `seconds`."
    pub fn later(status: u16, reason: &str, seconds: u32) -> Self {
        Response {
            retry_after: Some(seconds),
            ..Response::error(status, reason)
        }
    }

    fn encode(&self, close: bool) -> Vec<u8> {
        let mut out = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            self.status,
            reason_phrase(self.status),
            self.body.len()
        )
        .into_bytes();
        if let Some(s) = self.retry_after {
            out.extend_from_slice(format!("Retry-After: {s}\r\n").as_bytes());
        }
        if close {
            out.extend_from_slice(b"Connection: close\r\n");
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&self.body);
        out
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// What was wrong with a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Bad {
    #[error("malformed message")]
    Malformed,
    #[error("head too large")]
    HeadTooLarge,
    #[error("body too large")]
    BodyTooLarge,
    #[error("transfer coding not known")]
    UnknownCoding,
}

impl Bad {
    fn status(self) -> u16 {
        match self {
            Bad::Malformed => 400,
            Bad::HeadTooLarge => 431,
            Bad::BodyTooLarge => 413,
            Bad::UnknownCoding => 501,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

/// How a body is framed, and whether the connection ends after the message.
fn framing(headers: &[httparse::Header<'_>], default: Framing) -> Result<(Framing, bool), Bad> {
    let mut length: Option<usize> = None;
    let mut chunked = false;
    let mut close = false;
    for h in headers {
        if h.name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(h.value)
                .map_err(|_| Bad::Malformed)?
                .trim();
            if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
                return Err(Bad::Malformed);
            }
            let n = text.parse().map_err(|_| Bad::BodyTooLarge)?;
            // Two lengths that differ are an attempt to smuggle a request.
            if length.is_some_and(|l| l != n) {
                return Err(Bad::Malformed);
            }
            length = Some(n);
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            if !h.value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                return Err(Bad::UnknownCoding);
            }
            chunked = true;
        } else if h.name.eq_ignore_ascii_case("connection") {
            close |= h
                .value
                .split(|b| *b == b',')
                .any(|v| v.trim_ascii().eq_ignore_ascii_case(b"close"));
        }
    }
    match (chunked, length) {
        (true, Some(_)) => Err(Bad::Malformed),
        (true, None) => Ok((Framing::Chunked, close)),
        (false, Some(n)) => Ok((Framing::Length(n), close)),
        (false, None) => Ok((default, close)),
    }
}

/// Takes a chunked body from the front of `buf`: the body and the bytes it took, or None if
/// more bytes are needed.
fn take_chunked(buf: &[u8], max: usize) -> Result<Option<(Vec<u8>, usize)>, Bad> {
    let mut body = Vec::new();
    let mut at = 0;
    loop {
        match httparse::parse_chunk_size(&buf[at..]).map_err(|_| Bad::Malformed)? {
            httparse::Status::Partial => {
                return if buf.len() - at > HEAD_MAX {
                    Err(Bad::Malformed)
                } else {
                    Ok(None)
                };
            }
            httparse::Status::Complete((head, size)) => {
                at += head;
                if size == 0 {
                    // Trailers are not used by anyone here: only the empty line is taken.
                    return match buf.get(at..at + 2) {
                        Some(b"\r\n") => Ok(Some((body, at + 2))),
                        Some(_) => Err(Bad::Malformed),
                        None => Ok(None),
                    };
                }
                if size > max as u64 || body.len() + size as usize > max {
                    return Err(Bad::BodyTooLarge);
                }
                let end = at + size as usize;
                match buf.get(end..end + 2) {
                    Some(b"\r\n") => {
                        body.extend_from_slice(&buf[at..end]);
                        at = end + 2;
                    }
                    Some(_) => return Err(Bad::Malformed),
                    None => return Ok(None),
                }
            }
        }
    }
}

/// Takes a body that begins at `start` of `buf`.
fn take_body(
    buf: &[u8],
    start: usize,
    framing: Framing,
    max: usize,
) -> Result<Option<(Vec<u8>, usize)>, Bad> {
    match framing {
        Framing::Length(n) if n > max => Err(Bad::BodyTooLarge),
        Framing::Length(n) => Ok(buf
            .get(start..start + n)
            .map(|body| (body.to_vec(), start + n))),
        Framing::Chunked => {
            Ok(take_chunked(&buf[start..], max)?.map(|(body, used)| (body, start + used)))
        }
        Framing::UntilClose if buf.len() - start > max => Err(Bad::BodyTooLarge),
        Framing::UntilClose => Ok(None),
    }
}

struct ParsedHead {
    method: String,
    path: String,
    framing: Framing,
    close: bool,
    expects_continue: bool,
    len: usize,
}

fn parse_request_head(buf: &[u8]) -> Result<Option<ParsedHead>, Bad> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(buf) {
        Ok(httparse::Status::Complete(len)) if len > HEAD_MAX => Err(Bad::HeadTooLarge),
        Ok(httparse::Status::Complete(len)) => {
            let (framing, close) = framing(request.headers, Framing::Length(0))?;
            Ok(Some(ParsedHead {
                method: request.method.unwrap_or_default().to_owned(),
                path: request.path.unwrap_or_default().to_owned(),
                framing,
                close: close || request.version == Some(0),
                expects_continue: request.headers.iter().any(|h| {
                    h.name.eq_ignore_ascii_case("expect")
                        && h.value.eq_ignore_ascii_case(b"100-continue")
                }),
                len,
            }))
        }
        Ok(httparse::Status::Partial) if buf.len() > HEAD_MAX => Err(Bad::HeadTooLarge),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(Bad::HeadTooLarge),
        Err(_) => Err(Bad::Malformed),
    }
}

/// What answers requests.
pub type Handler = Rc<dyn Fn(Request) -> Pin<Box<dyn Future<Output = Response>>>>;

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Connections served at once; further ones are told to come back.
    pub connections: usize,
    /// How long a whole request may take to arrive.
    pub request_s: f64,
    /// How long a connection may rest between requests.
    pub idle_s: f64,
    /// One that rested for so long makes way for a new one when all are taken.
    pub rest_s: f64,
}

/// From this part of the connections on, each ends with its answer: so many clients can be served
/// that could not all stay connected.
const CROWDED: f64 = 0.95;
/// Connections being told to come back, as a part of those served.
const TURNED_AWAY: f64 = 1.0 / 128.0;
/// When they may come back.
const FULL_RETRY_S: u32 = 2;
/// Longest time for an answer that should take none.
const BRIEF_S: f64 = 0.01;

impl ServerLimits {
    /// The connections that may be served when there are so many sockets in all for clients.
    pub fn connections_within(sockets: usize) -> usize {
        (sockets as f64 / (1.0 + TURNED_AWAY)) as usize
    }

    fn crowded(&self) -> usize {
        (self.connections as f64 * CROWDED).ceil() as usize
    }

    fn turned_away(&self) -> usize {
        (self.connections as f64 * TURNED_AWAY) as usize + 1
    }
}

/// What the connections of a server share.
struct Server {
    rt: Rt,
    limits: ServerLimits,
    handler: Handler,
    live: Cell<usize>,
    next_rest: Cell<u64>,
    /// Connections that rest between requests, the longest first: since when, and what ends them.
    resting: RefCell<BTreeMap<u64, (Time, Rc<Signal>)>>,
}

impl Server {
    /// Whether a connection that has rested for long made way for another.
    fn make_way(&self) -> bool {
        let mut resting = self.resting.borrow_mut();
        match resting.first_entry() {
            Some(first) if self.rt.now() - first.get().0 >= self.limits.rest_s => {
                first.remove().1.set();
                true
            }
            _ => false,
        }
    }

    /// Waits for the first bytes of a request. False if there are none, or others need the
    /// connection more.
    async fn rest(&self, stream: &mut Stream, way: &Rc<Signal>) -> bool {
        let id = self.next_rest.get();
        self.next_rest.set(id + 1);
        let entry = (self.rt.now(), way.clone());
        self.resting.borrow_mut().insert(id, entry);
        let ready = self.rt.timeout(self.limits.idle_s, stream.readable());
        let ready = std::pin::pin!(ready);
        let ended = std::pin::pin!(way.wait());
        let ready = matches!(select(ready, ended).await, Either::Left((Ok(()), _)));
        self.resting.borrow_mut().remove(&id);
        ready
    }

    async fn connection(&self, mut stream: Stream) {
        let limits = &self.limits;
        let way = Rc::new(Signal::default());
        let mut buf = Vec::new();
        loop {
            if buf.is_empty() {
                // Most connections rest most of the time: they hold no buffer meanwhile.
                buf = Vec::new();
                if !self.rest(&mut stream, &way).await {
                    return;
                }
            }
            let arrival = self
                .rt
                .timeout(limits.request_s, read_request(&mut stream, &mut buf))
                .await;
            let (request, close) = match arrival {
                Ok(Ok(Some(arrived))) => arrived,
                Ok(Ok(None)) => return,
                Ok(Err(bad)) => {
                    let answer = Response::error(bad.status(), &bad.to_string());
                    return Box::pin(refuse(&self.rt, &mut stream, answer)).await;
                }
                Err(_) => {
                    let answer = Response::error(408, "request too slow");
                    return Box::pin(refuse(&self.rt, &mut stream, answer)).await;
                }
            };
            let answer = (self.handler)(request).await;
            let close = close || self.live.get() >= limits.crowded();
            let answer = answer.encode(close);
            let sent = self
                .rt
                .timeout(limits.request_s, stream.write_all(&answer))
                .await;
            if close || !matches!(sent, Ok(Ok(()))) {
                return;
            }
        }
    }
}

/// Serves connections until cancelled.
pub async fn serve(rt: Rt, mut listener: Listener, limits: ServerLimits, handler: Handler) {
    let scope = Scope::new(&rt);
    let server = Rc::new(Server {
        rt: rt.clone(),
        limits,
        handler,
        live: Cell::new(0),
        next_rest: Cell::new(0),
        resting: RefCell::default(),
    });
    // All others are told to come back at once. For some there is time to read what they send first,
    // or closing might reset the connection before they see the answer.
    let turned_away = Scope::new(&rt);
    loop {
        match listener.accept().await {
            Ok(stream) if scope.live() < limits.connections || server.make_way() => {
                let server = server.clone();
                server.live.set(scope.live() + 1);
                scope.spawn(async move {
                    server.connection(stream).await;
                    server.live.set(server.live.get().saturating_sub(1));
                });
            }
            Ok(stream) if turned_away.live() < limits.turned_away() => {
                turned_away.spawn(turn_away(rt.clone(), stream));
            }
            Ok(mut stream) => {
                // An empty socket takes so little at once.
                let answer = full().encode(true);
                let _ = rt.timeout(BRIEF_S, stream.write_all(&answer)).await;
            }
            Err(e) => {
                tracing::warn!("accept: {e}");
                rt.sleep(0.1).await;
            }
        }
    }
}

async fn turn_away(rt: Rt, mut stream: Stream) {
    refuse(&rt, &mut stream, full()).await;
}

fn full() -> Response {
    Response::later(503, "too many connections", FULL_RETRY_S)
}

async fn refuse(rt: &Rt, stream: &mut Stream, answer: Response) {
    let bytes = answer.encode(true);
    let _ = rt.timeout(1.0, stream.write_all(&bytes)).await;
    // What the client still sends is read for a moment, or closing would reset the
    // connection and the client might never see the answer.
    let drain = async {
        let mut sink = [0; READ_CHUNK];
        let mut left = 4 * BODY_MAX;
        while let Ok(n @ 1..) = stream.read(&mut sink).await {
            left = left.saturating_sub(n);
            if left == 0 {
                return;
            }
        }
    };
    let _ = rt.timeout(0.5, drain).await;
}

/// Reads more bytes; false at the end of the stream.
async fn fill(stream: &mut Stream, buf: &mut Vec<u8>) -> std::io::Result<bool> {
    let start = buf.len();
    buf.resize(start + READ_CHUNK, 0);
    let got = stream.read(&mut buf[start..]).await;
    buf.truncate(start + *got.as_ref().unwrap_or(&0));
    Ok(got? > 0)
}

async fn read_request(
    stream: &mut Stream,
    buf: &mut Vec<u8>,
) -> Result<Option<(Request, bool)>, Bad> {
    let head = loop {
        if let Some(head) = parse_request_head(buf)? {
            break head;
        }
        if !matches!(fill(stream, buf).await, Ok(true)) {
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
        if let Some((body, used)) = take_body(buf, head.len, head.framing, BODY_MAX)? {
            buf.drain(..used);
            let request = Request {
                method: head.method,
                path: head.path,
                body,
            };
            return Ok(Some((request, head.close)));
        }
        if !matches!(fill(stream, buf).await, Ok(true)) {
            return Ok(None);
        }
    }
}

/// ExitReason a call brought no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Nothing was sent: the request was surely not carried out.
    #[error("no connection: {0}")]
    NotSent(String),
    /// It may have been carried out, or may yet be.
    #[error("no answer: {0}")]
    Unknown(String),
}

/// A client of one address, with a few connections kept open.
pub struct Client {
    rt: Rt,
    to: SocketAddr,
    idle: RefCell<Vec<(Stream, f64)>>,
    body_max: usize,
}

/// Connections a client keeps at rest.
pub const IDLE_MAX: usize = 4;
/// How long a connection may rest before it is not used again.
const IDLE_S: f64 = 20.0;

impl Client {
    /// A client of the service at `to`, whose answers have at most `body_max` bytes.
    pub fn new(rt: &Rt, to: SocketAddr, body_max: usize) -> Self {
        Client {
            rt: rt.clone(),
            to,
            idle: RefCell::default(),
            body_max,
        }
    }

    /// Sends a request and waits for its answer, `limit_s` in all.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
        limit_s: f64,
    ) -> Result<(u16, Vec<u8>), CallError> {
        self.call_if(method, path, body, limit_s, || true).await
    }

    /// As [`Client::call`], but once there is a connection nothing is sent unless `still` says so.
    pub async fn call_if(
        &self,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
        limit_s: f64,
        still: impl Fn() -> bool,
    ) -> Result<(u16, Vec<u8>), CallError> {
        let deadline = self.rt.now() + limit_s;
        let mut stream = match self.take_idle() {
            Some(stream) => stream,
            None => {
                // A connection given up is never completed later.
                match self.rt.timeout(limit_s, self.rt.connect(self.to)).await {
                    Ok(Ok(stream)) => stream,
                    Ok(Err(e)) => return Err(CallError::NotSent(e.to_string())),
                    Err(e) => return Err(CallError::NotSent(e.to_string())),
                }
            }
        };
        if !still() {
            return Err(CallError::NotSent("no longer wanted".into()));
        }
        let mut out = format!("{method} {path} HTTP/1.1\r\nHost: {}\r\n", self.to).into_bytes();
        if let Some(body) = body {
            out.extend_from_slice(
                format!(
                    "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                )
                .as_bytes(),
            );
            out.extend_from_slice(body);
        } else {
            out.extend_from_slice(b"\r\n");
        }
        let exchange = async {
            stream.write_all(&out).await.map_err(|e| e.to_string())?;
            read_response(&mut stream, self.body_max).await
        };
        let left = deadline - self.rt.now();
        match self.rt.timeout(left, exchange).await {
            Ok(Ok((status, body, keep))) => {
                let mut idle = self.idle.borrow_mut();
                if keep && idle.len() < IDLE_MAX {
                    idle.push((stream, self.rt.now()));
                }
                Ok((status, body))
            }
            Ok(Err(e)) => Err(CallError::Unknown(e)),
            Err(e) => {
                // Others may hang at the same cut: begin anew.
                self.idle.borrow_mut().clear();
                Err(CallError::Unknown(e.to_string()))
            }
        }
    }

    fn take_idle(&self) -> Option<Stream> {
        let now = self.rt.now();
        loop {
            let (mut stream, since) = self.idle.borrow_mut().pop()?;
            if now - since < IDLE_S && stream.is_quiet() {
                return Some(stream);
            }
        }
    }
}

async fn read_response(
    stream: &mut Stream,
    body_max: usize,
) -> Result<(u16, Vec<u8>, bool), String> {
    let mut buf = Vec::new();
    let (status, framing, close, start) = loop {
        if !fill(stream, &mut buf).await.map_err(|e| e.to_string())? {
            return Err("closed".into());
        }
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut response = httparse::Response::new(&mut headers);
        match response.parse(&buf).map_err(|e| e.to_string())? {
            httparse::Status::Complete(len) => {
                let status = response.code.unwrap_or(0);
                let (framing, close) =
                    framing(response.headers, Framing::UntilClose).map_err(|e| e.to_string())?;
                break (status, framing, close, len);
            }
            httparse::Status::Partial if buf.len() > HEAD_MAX => return Err("large head".into()),
            httparse::Status::Partial => {}
        }
    };
    loop {
        if let Some((body, used)) =
            take_body(&buf, start, framing, body_max).map_err(|e| e.to_string())?
        {
            return Ok((status, body, !close && used == buf.len()));
        }
        if !fill(stream, &mut buf).await.map_err(|e| e.to_string())? {
            if framing == Framing::UntilClose {
                return Ok((status, buf.split_off(start), false));
            }
            return Err("closed".into());
        }
    }
}

#[cfg(test)]
mod tests;
