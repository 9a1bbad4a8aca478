//! Requests that are malformed, half sent or slowly sent, at the port for users and workers and at the one for controllers.

use super::super::world::{front_address, peer_address};
use super::*;
use crate::runtime::Stream;

/// The longest time that a sound request may take beside them, in seconds.
const SOUND_REQUEST_S_MAX: f64 = 0.8;
/// Half-sent and slow requests at each port.
const CONNECTIONS: usize = 60;

const MALFORMED: [&[u8]; 10] = [
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    b"GET\r\n\r\n",
    b"POST /v1/jobs HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
    b"POST /v1/jobs HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
    b"POST /v1/jobs HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"POST /v1/jobs HTTP/1.1\r\nContent-Length: 4\r\n\r\n\xff\xfe\xfd\xfc",
    b"POST /checkin HTTP/1.1\r\nContent-Length: 2\r\n\r\n[]",
    b"POST /checkin HTTP/1.1\r\nContent-Length: 12\r\n\r\n{\"Host\":null",
    b"GET /v1/jobs/%ff%00 HTTP/1.1\r\n\r\n",
    b"\xff\xff\xff\xff\xff\xff\xff\xff",
];
const HALF_SENT: [&[u8]; 3] = [
    b"POST /v1/jobs HT",
    b"POST /v1/jobs HTTP/1.1\r\nContent-Length: 400\r\n\r\n{\"Uid\":\"j-77",
    b"POST /checkin HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n{\"Ho",
];

/// Sends a byte a second until the other side closes the connection.
async fn send_slowly(world: Rc<World>, mut stream: Stream) {
    while stream.write_all(b"G").await.is_ok() {
        world.run(1.0).await;
    }
}

/// Opens connections to both ports of a controller and sends `bytes` of each of the given kinds.
async fn send_to_both_ports(world: &World, node: usize, bytes: &[u8]) -> Vec<Stream> {
    let mut streams = Vec::new();
    for address in [front_address(node), peer_address(node)] {
        let Ok(mut stream) = world.runtime.connect(address).await else {
            continue;
        };
        let _ = stream.write_all(bytes).await;
        streams.push(stream);
    }
    streams
}

#[test]
fn malformed_half_sent_and_slow_requests_neither_end_nor_block_a_controller() {
    run_scenario(default_settings, async |world: Rc<World>| {
        start_cluster(&world, 4).await;
        world.run(4.0).await;
        let mut kept = Vec::new();
        for node in 0..NODES {
            for bytes in MALFORMED {
                send_to_both_ports(&world, node, bytes).await;
            }
            for number in 0..CONNECTIONS {
                let bytes = HALF_SENT[number % HALF_SENT.len()];
                kept.extend(send_to_both_ports(&world, node, bytes).await);
            }
            for stream in send_to_both_ports(&world, node, b"P").await {
                world.services.spawn(send_slowly(world.clone(), stream));
            }
        }
        for number in 0..12 {
            let sent_at = world.now();
            let spec = long_job(&format!("j-{number}"), 2, 5.0);
            world.submit_until_accepted(number % NODES, &spec).await;
            let took_s = world.now() - sent_at;
            assert!(took_s < SOUND_REQUEST_S_MAX, "{took_s:.2} s");
            world.run(1.0).await;
        }
        assert!((0..NODES).all(|node| world.node(node).is_some()));
        drop(kept);
        world.wait_for_all_jobs(100.0).await;
    });
}
