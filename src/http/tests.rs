//! Tests of `http`.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use super::framing::{TakenBody, take_chunked};
use super::*;
use crate::runtime::{Runtime, Scope};

#[test]
fn request_heads_are_bounded_and_strict() {
    assert!(parse_request_head(b"GET /ready HTTP/1.1\r\nHo").is_ok_and(|h| h.is_none()));
    let head = parse_request_head(b"POST /x HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc")
        .unwrap()
        .unwrap();
    assert_eq!(head.framing, Framing::Length(3));
    let two = b"POST /x HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n";
    assert_eq!(parse_request_head(two).err(), Some(MessageError::Malformed));
    let negative = b"POST /x HTTP/1.1\r\nContent-Length: -3\r\n\r\n";
    assert_eq!(
        parse_request_head(negative).err(),
        Some(MessageError::Malformed)
    );
    let both = b"POST /x HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(
        parse_request_head(both).err(),
        Some(MessageError::Malformed)
    );
    let long = format!("GET /{} HTTP/1.1\r\n", "a".repeat(HEAD_MAX));
    assert_eq!(
        parse_request_head(long.as_bytes()).err(),
        Some(MessageError::HeadTooLarge)
    );
}

#[test]
fn chunked_bodies_are_taken_whole_or_refused() {
    let whole = b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nrest";
    let taken = take_chunked(whole, 100).unwrap().unwrap();
    let expected = TakenBody {
        body: b"abcde".to_vec(),
        used: whole.len() - 4,
    };
    assert_eq!(taken, expected);
    assert_eq!(take_chunked(&whole[..10], 100), Ok(None));
    assert_eq!(take_chunked(whole, 4), Err(MessageError::BodyTooLarge));
    assert_eq!(
        take_chunked(b"ffffffffffffff\r\n", 4),
        Err(MessageError::BodyTooLarge)
    );
}

const ASK: &[u8] = b"GET /x HTTP/1.1\r\n\r\n";

async fn exchange(stream: &mut Stream) -> String {
    stream.write_all(ASK).await.unwrap();
    let mut buf = Vec::new();
    while !buf.ends_with(b"{}") && fill(stream, &mut buf).await.unwrap() == Fill::More {}
    String::from_utf8(buf).unwrap()
}

/// Serves up to `connections` and lets `clients` loose on them.
fn with_server<F: Future<Output = ()> + 'static>(
    connections: usize,
    evictable_idle_s: f64,
    clients: impl FnOnce(Runtime, SocketAddr) -> F,
) {
    let finished = Rc::new(Cell::new(false));
    let end = finished.clone();
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
            end.set(true);
            runtime.stop();
        });
        Ok(root)
    })
    .unwrap();
    assert!(finished.get());
}

/// A leader may have more workers than sockets: none of them is kept out by those that came first.
#[test]
fn many_more_clients_than_connections_are_all_served() {
    with_server(4, 1e9, |runtime, addr| async move {
        let mut kept = Vec::new();
        let mut closed = 0;
        for _ in 0..40 {
            let mut stream = runtime.connect(addr).await.unwrap();
            let answer = exchange(&mut stream).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
            closed += usize::from(answer.contains("Connection: close"));
            kept.push(stream);
        }
        assert_eq!(closed, 37);
    });
}

/// Idle connections once kept others out for minutes.
#[test]
fn a_connection_idle_for_too_long_is_evicted_and_others_are_not() {
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
            let answer = exchange(&mut sixth).await;
            assert!(answer.starts_with(status), "{answer}");
            assert_eq!(answer.contains("Retry-After"), evictable_idle_s > 0.0);
            // The longest idle one was closed, and no other.
            assert_eq!(idle[0].is_reusable(), evictable_idle_s > 0.0);
            assert!(idle[1..].iter_mut().all(Stream::is_reusable));
        });
    }
}
