//! HTTP/1.1 server and client with limits on all sizes. `httparse` parses the message heads; `framing` finds the
//! ends of the bodies.

mod client;
mod framing;
mod server;

pub use client::*;
pub use server::*;

use crate::runtime::Stream;
use framing::{Framing, message_framing};

/// Maximum size of a message head, in bytes.
const HEAD_BYTES_MAX: usize = 16 * 1024;
/// Maximum number of headers in a message.
const HEADERS_MAX: usize = 64;
/// Maximum size of a request body, in bytes, as defined by the protocol.
pub const BODY_BYTES_MAX: usize = 64 * 1024;
/// Maximum number of bytes requested in one read from a connection.
const READ_CHUNK_BYTES: usize = 4 * 1024;

/// A request as the server passes it to its [`Handler`].
#[derive(Debug)]
pub struct Request {
    /// The method, such as `GET`.
    pub method: String,
    /// The request target: the path, including the query if there is one.
    pub path: String,
    /// The decoded body; empty if the request has none.
    pub body: Vec<u8>,
}

/// A response to a request, with a JSON body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Body, encoded as JSON.
    pub body: Vec<u8>,
    /// Seconds after which the client may retry, sent as `Retry-After`; `None` omits the header.
    pub retry_after: Option<u32>,
}

impl Response {
    /// Creates a response with `value` as its JSON body.
    pub fn json(status: u16, value: &impl serde::Serialize) -> Self {
        Response {
            status,
            body: serde_json::to_vec(value).unwrap_or_default(),
            retry_after: None,
        }
    }

    /// Creates an error response with the body `{"error": reason}`.
    pub fn error(status: u16, reason: &str) -> Self {
        Response::json(status, &serde_json::json!({ "error": reason }))
    }

    /// Creates the response for a temporary error: the client may retry after `seconds`.
    pub fn retry_later(status: u16, reason: &str, seconds: u32) -> Self {
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
        if let Some(seconds) = self.retry_after {
            out.extend_from_slice(format!("Retry-After: {seconds}\r\n").as_bytes());
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

/// Why a request or response is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The message violates the HTTP/1.1 syntax, or its headers contradict each other.
    #[error("malformed message")]
    Malformed,
    /// The head exceeds the limit on its bytes or on the number of headers.
    #[error("head too large")]
    HeadTooLarge,
    /// The body exceeds the limit on its bytes.
    #[error("body too large")]
    BodyTooLarge,
    /// The message uses a transfer coding other than `chunked`.
    #[error("transfer coding not known")]
    UnknownCoding,
}

impl MessageError {
    /// The status code with which the server rejects a request that has this error.
    fn status(self) -> u16 {
        match self {
            MessageError::Malformed => 400,
            MessageError::HeadTooLarge => 431,
            MessageError::BodyTooLarge => 413,
            MessageError::UnknownCoding => 501,
        }
    }
}

/// The parsed head of a request.
struct ParsedHead {
    method: String,
    path: String,
    framing: Framing,
    /// Whether the server must close the connection after the response.
    close: bool,
    /// Whether the client waits for the interim response `100 Continue` before it sends the body.
    expects_continue: bool,
    /// Length of the head in bytes; the body starts there.
    len: usize,
}

/// Parses the request head at the start of `buf`; returns `None` if more bytes are needed.
fn parse_request_head(buf: &[u8]) -> Result<Option<ParsedHead>, MessageError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(buf) {
        Ok(httparse::Status::Complete(len)) if len > HEAD_BYTES_MAX => {
            Err(MessageError::HeadTooLarge)
        }
        Ok(httparse::Status::Complete(len)) => {
            let framing = message_framing(request.headers, Framing::Length(0))?;
            Ok(Some(ParsedHead {
                method: request.method.unwrap_or_default().to_owned(),
                path: request.path.unwrap_or_default().to_owned(),
                framing: framing.body,
                close: framing.close || request.version == Some(0),
                expects_continue: request.headers.iter().any(|h| {
                    h.name.eq_ignore_ascii_case("expect")
                        && h.value.eq_ignore_ascii_case(b"100-continue")
                }),
                len,
            }))
        }
        Ok(httparse::Status::Partial) if buf.len() > HEAD_BYTES_MAX => {
            Err(MessageError::HeadTooLarge)
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(MessageError::HeadTooLarge),
        Err(_) => Err(MessageError::Malformed),
    }
}

/// Result of [`fill`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fill {
    /// At least one byte was appended to the buffer.
    More,
    /// The peer closed the connection.
    End,
}

/// Reads once from `stream` and appends the bytes to `buf`.
async fn fill(stream: &mut Stream, buf: &mut Vec<u8>) -> std::io::Result<Fill> {
    let start = buf.len();
    buf.resize(start + READ_CHUNK_BYTES, 0);
    let count = stream.read(&mut buf[start..]).await;
    buf.truncate(start + *count.as_ref().unwrap_or(&0));
    Ok(if count? > 0 { Fill::More } else { Fill::End })
}

#[cfg(test)]
mod tests;
