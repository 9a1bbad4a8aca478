//! A minimal HTTP/1.1 server and client on blocking sockets, for the fake services and the users.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const MAX_HEADERS: usize = 32;
/// Maximum number of bytes in one read from a socket.
const READ_BYTES: usize = 8192;

/// A received request.
pub struct Request {
    /// HTTP method, such as `GET`.
    pub method: String,
    /// Path, including the query string.
    pub path: String,
    /// Body; empty if the request has none.
    pub body: Vec<u8>,
}

/// The status and the body of a response.
pub type Response = (u16, String);

/// The parsed head of a message. Lengths are in bytes; `value` is the request line or the response status.
struct MessageHead<T> {
    head_length: usize,
    body_length: usize,
    value: T,
}

/// The method and the path of a request.
struct RequestLine {
    method: String,
    path: String,
}

fn malformed(reason: impl ToString) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason.to_string())
}

fn content_length(headers: &[httparse::Header<'_>]) -> io::Result<usize> {
    let header = headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case("content-length"));
    match header {
        None => Ok(0),
        Some(header) => std::str::from_utf8(header.value)
            .map_err(malformed)?
            .trim()
            .parse()
            .map_err(malformed),
    }
}

/// Reads a message: a head that `parse` recognizes, and its body. Returns `None` if the peer closes the connection
/// first. `buffer` keeps bytes beyond the message for the next call.
fn read_message<T>(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    parse: impl Fn(&[u8]) -> io::Result<Option<MessageHead<T>>>,
) -> io::Result<Option<(T, Vec<u8>)>> {
    loop {
        if let Some(head) = parse(buffer)?
            && buffer.len() >= head.head_length + head.body_length
        {
            let end = head.head_length + head.body_length;
            let body = buffer[head.head_length..end].to_vec();
            buffer.drain(..end);
            return Ok(Some((head.value, body)));
        }
        let mut chunk = [0; READ_BYTES];
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&chunk[..count]);
    }
}

fn parse_request(bytes: &[u8]) -> io::Result<Option<MessageHead<RequestLine>>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(head_length) = request.parse(bytes).map_err(malformed)? else {
        return Ok(None);
    };
    let method = request.method.unwrap_or_default().to_owned();
    let path = request.path.unwrap_or_default().to_owned();
    Ok(Some(MessageHead {
        head_length,
        body_length: content_length(request.headers)?,
        value: RequestLine { method, path },
    }))
}

fn parse_response(bytes: &[u8]) -> io::Result<Option<MessageHead<u16>>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(head_length) = response.parse(bytes).map_err(malformed)? else {
        return Ok(None);
    };
    let status = response.code.unwrap_or_default();
    Ok(Some(MessageHead {
        head_length,
        body_length: content_length(response.headers)?,
        value: status,
    }))
}

/// Serves requests on a free port of 127.0.0.1 until the process ends, with one thread per connection.
pub fn serve(
    handler: impl Fn(Request) -> Response + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    Ok(addr)
}

fn serve_connection(mut stream: TcpStream, handler: &dyn Fn(Request) -> Response) {
    let mut buffer = Vec::new();
    let _ = stream.set_nodelay(true);
    while let Ok(Some((RequestLine { method, path }, body))) =
        read_message(&mut stream, &mut buffer, parse_request)
    {
        let (status, text) = handler(Request { method, path, body });
        let head = format!(
            "HTTP/1.1 {status} -\r\nContent-Length: {}\r\n\r\n",
            text.len()
        );
        if stream.write_all((head + &text).as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends a request over a new connection. The timeout applies to connecting and to each read.
pub fn send_request(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes())?;
    let message = read_message(&mut stream, &mut Vec::new(), parse_response)?;
    let (status, body) =
        message.ok_or_else(|| malformed("connection closed before a complete response"))?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
