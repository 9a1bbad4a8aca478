//! Tests of the HTTP parser, framing and server.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use super::framing::{DecodedBody, decode_chunked};
use super::*;
use crate::runtime::{Runtime, Scope};

#[test]
fn ambiguous_and_large_request_heads_are_rejected() {
    assert!(parse_request_head(b"GET /ready HTTP/1.1\r\nHo").is_ok_and(|h| h.is_none()));
    let head = parse_request_head(b"POST /x HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc")
        .unwrap()
        .unwrap();
    assert_eq!(head.framing, Framing::Length(3));
    let two_lengths = b"POST /x HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n";
    assert_eq!(
        parse_request_head(two_lengths).err(),
        Some(MessageError::Malformed)
    );
    let negative_length = b"POST /x HTTP/1.1\r\nContent-Length: -3\r\n\r\n";
    assert_eq!(
        parse_request_head(negative_length).err(),
        Some(MessageError::Malformed)
    );
    let length_and_chunked =
        b"POST /x HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(
        parse_request_head(length_and_chunked).err(),
        Some(MessageError::Malformed)
    );
    let long_path = format!("GET /{} HTTP/1.1\r\n", "a".repeat(HEAD_BYTES_MAX));
    assert_eq!(
        parse_request_head(long_path.as_bytes()).err(),
        Some(MessageError::HeadTooLarge)
    );
}

#[test]
fn chunked_bodies_are_decoded_only_when_complete_and_within_the_limit() {
    let whole = b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nrest";
    let decoded = decode_chunked(whole, 100).unwrap().unwrap();
    let expected = DecodedBody {
        body: b"abcde".to_vec(),
        consumed_bytes: whole.len() - 4,
    };
    assert_eq!(decoded, expected);
    assert_eq!(decode_chunked(&whole[..10], 100), Ok(None));
    assert_eq!(decode_chunked(whole, 4), Err(MessageError::BodyTooLarge));
    assert_eq!(
        decode_chunked(b"ffffffffffffff\r\n", 4),
        Err(MessageError::BodyTooLarge)
    );
}

const REQUEST: &[u8] = b"GET /x HTTP/1.1\r\n\r\n";

async fn exchange(stream: &mut Stream) -> String {
    stream.write_all(REQUEST).await.unwrap();
    let mut buf = Vec::new();
    while !buf.ends_with(b"{}") && fill(stream, &mut buf).await.unwrap() == Fill::More {}
    String::from_utf8(buf).unwrap()
}

/// Runs `clients` against a server with up to `connections` connections, until `clients` has finished.
fn with_server<F: Future<Output = ()> + 'static>(
    connections: usize,
    evictable_idle_s: f64,
    clients: impl FnOnce(Runtime, SocketAddr) -> F,
) {
    let finished = Rc::new(Cell::new(false));
    let finished_inside = finished.clone();
    Runtime::run::<calloop::Error>(move |runtime| {
        let mut listener = runtime.listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let addr = listener.addr().unwrap();
        let limits = ServerLimits {
            connections,
            request_s: 60.0,
            idle_s: 60.0,
            evictable_idle_s,
        };
        let handler: Handler =
            Rc::new(|_| Box::pin(async { Response::json(200, &serde_json::json!({})) }));
        let root = Scope::new(runtime);
        root.spawn(serve(runtime.clone(), listener, limits, handler));
        let (runtime, clients) = (runtime.clone(), clients(runtime.clone(), addr));
        root.spawn(async move {
            clients.await;
            finished_inside.set(true);
            runtime.stop();
        });
        Ok(root)
    })
    .unwrap();
    assert!(finished.get());
}

/// A leader may have more workers than sockets. Workers that connected first must not lock out later ones by staying
/// connected, so the server closes connections after their response when nearly all are in use.
#[test]
fn many_more_clients_than_connections_are_all_served() {
    with_server(4, 1e9, |runtime, addr| async move {
        let mut kept = Vec::new();
        let mut closed = 0;
        for _ in 0..40 {
            let mut stream = runtime.connect(addr).await.unwrap();
            let response = exchange(&mut stream).await;
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
            closed += usize::from(response.contains("Connection: close"));
            kept.push(stream);
        }
        assert_eq!(closed, 37);
    });
}

/// Idle connections must not occupy the server: clients that stay connected without sending requests could lock out
/// others for minutes. Only the longest idle connection is closed, and only once `evictable_idle_s` has passed.
#[test]
fn only_the_longest_idle_connection_is_evicted_for_a_new_one() {
    for (evictable_idle_s, status) in [(0.0, "HTTP/1.1 200"), (1e9, "HTTP/1.1 503")] {
        with_server(5, evictable_idle_s, move |runtime, addr| async move {
            let mut idle = Vec::new();
            for _ in 0..4 {
                let mut stream = runtime.connect(addr).await.unwrap();
                exchange(&mut stream).await;
                idle.push(stream);
            }
            let _fifth = runtime.connect(addr).await.unwrap();
            let mut sixth = runtime.connect(addr).await.unwrap();
            let response = exchange(&mut sixth).await;
            assert!(response.starts_with(status), "{response}");
            assert_eq!(response.contains("Retry-After"), evictable_idle_s > 0.0);
            // Only the longest idle connection was closed.
            assert_eq!(idle[0].is_reusable(), evictable_idle_s > 0.0);
            assert!(idle[1..].iter_mut().all(Stream::is_reusable));
        });
    }
}
