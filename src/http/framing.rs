//! Framing of message bodies: by length, in chunks, or up to the end of the connection.

use super::{HEAD_BYTES_MAX, MessageError};

/// How the receiver finds the end of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Framing {
    /// The body has this number of bytes (`Content-Length`).
    Length(usize),
    /// The body ends with the chunk of size zero (`Transfer-Encoding: chunked`).
    Chunked,
    /// The body ends where the sender closes the connection; only responses may use this.
    UntilClose,
}

/// Framing of the body and handling of the connection, as the headers of a message specify them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct MessageFraming {
    pub body: Framing,
    /// Whether the sender asks to close the connection (`Connection: close`).
    pub close: bool,
}

/// A body that was received completely and decoded.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct DecodedBody {
    pub body: Vec<u8>,
    /// Bytes to remove from the buffer: up to the end of the body, from the start of the message in [`decode_body`]
    /// and from the start of the body in [`decode_chunked`].
    pub consumed_bytes: usize,
}

/// Determines the framing from the headers; a message that specifies none has a body framed as `default`.
pub(super) fn message_framing(
    headers: &[httparse::Header<'_>],
    default: Framing,
) -> Result<MessageFraming, MessageError> {
    let mut length: Option<usize> = None;
    let mut chunked = false;
    let mut close = false;
    for header in headers {
        if header.name.eq_ignore_ascii_case("content-length") {
            let value = content_length(header.value)?;
            // Two different lengths indicate request smuggling: receivers on the path can disagree about where the
            // message ends.
            if length.is_some_and(|previous| previous != value) {
                return Err(MessageError::Malformed);
            }
            length = Some(value);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if !header.value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                return Err(MessageError::UnknownCoding);
            }
            chunked = true;
        } else if header.name.eq_ignore_ascii_case("connection") {
            close |= header
                .value
                .split(|b| *b == b',')
                .any(|v| v.trim_ascii().eq_ignore_ascii_case(b"close"));
        }
    }
    let body = match (chunked, length) {
        (true, Some(_)) => return Err(MessageError::Malformed),
        (true, None) => Framing::Chunked,
        (false, Some(length)) => Framing::Length(length),
        (false, None) => default,
    };
    Ok(MessageFraming { body, close })
}

fn content_length(value: &[u8]) -> Result<usize, MessageError> {
    let text = std::str::from_utf8(value)
        .map_err(|_| MessageError::Malformed)?
        .trim();
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
        return Err(MessageError::Malformed);
    }
    text.parse().map_err(|_| MessageError::BodyTooLarge)
}

/// Decodes a chunked body of at most `max` bytes at the start of `buf`; returns `None` if more bytes are needed.
pub(super) fn decode_chunked(buf: &[u8], max: usize) -> Result<Option<DecodedBody>, MessageError> {
    let mut body = Vec::new();
    let mut position = 0;
    loop {
        match httparse::parse_chunk_size(&buf[position..]).map_err(|_| MessageError::Malformed)? {
            httparse::Status::Partial => {
                return if buf.len() - position > HEAD_BYTES_MAX {
                    Err(MessageError::Malformed)
                } else {
                    Ok(None)
                };
            }
            httparse::Status::Complete((size_line_bytes, size)) => {
                position += size_line_bytes;
                if size == 0 {
                    // No client or service of this system sends trailers: only the empty line is accepted.
                    return match buf.get(position..position + 2) {
                        Some(b"\r\n") => Ok(Some(DecodedBody {
                            body,
                            consumed_bytes: position + 2,
                        })),
                        Some(_) => Err(MessageError::Malformed),
                        None => Ok(None),
                    };
                }
                if size > max as u64 || body.len() + size as usize > max {
                    return Err(MessageError::BodyTooLarge);
                }
                let end = position + size as usize;
                match buf.get(end..end + 2) {
                    Some(b"\r\n") => {
                        body.extend_from_slice(&buf[position..end]);
                        position = end + 2;
                    }
                    Some(_) => return Err(MessageError::Malformed),
                    None => return Ok(None),
                }
            }
        }
    }
}

/// Decodes a body of at most `max` bytes that begins at `start` in `buf`; returns `None` if more bytes are needed.
/// A body framed as [`Framing::UntilClose`] is never decoded here, only checked against `max`: the caller takes the
/// rest of `buf` once the connection is closed.
pub(super) fn decode_body(
    buf: &[u8],
    start: usize,
    framing: Framing,
    max: usize,
) -> Result<Option<DecodedBody>, MessageError> {
    match framing {
        Framing::Length(length) if length > max => Err(MessageError::BodyTooLarge),
        Framing::Length(length) => Ok(buf.get(start..start + length).map(|body| DecodedBody {
            body: body.to_vec(),
            consumed_bytes: start + length,
        })),
        Framing::Chunked => Ok(
            decode_chunked(&buf[start..], max)?.map(|decoded| DecodedBody {
                consumed_bytes: start + decoded.consumed_bytes,
                ..decoded
            }),
        ),
        Framing::UntilClose if buf.len() - start > max => Err(MessageError::BodyTooLarge),
        Framing::UntilClose => Ok(None),
    }
}
