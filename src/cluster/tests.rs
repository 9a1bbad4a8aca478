//! Tests of `cluster`.

use super::*;

#[test]
fn greetings_survive_the_wire_and_grow_old() {
    let heartbeat = Heartbeat {
        host: "n1".into(),
        state_s: Some(0.5),
        workers: vec![WorkerSeen {
            machine: "i-1".into(),
            zone: "a".into(),
            addr: "10.0.0.1:9".into(),
            session: 3,
        }],
        runs: Vec::new(),
        shortages: Vec::new(),
    };
    let frame = encode(&heartbeat).unwrap();
    let back: Heartbeat = ciborium::from_reader(&frame[4..]).unwrap();
    assert_eq!(back, heartbeat);
    let peers = Peers::default();
    peers.note(heartbeat, 10.0);
    assert!(peers.any_has_state(11.0, 3.0));
    assert!(!peers.any_has_state(12.9, 3.0));
    assert_eq!(peers.workers(11.0, 3.0).len(), 1);
    assert!(peers.workers(14.0, 3.0).is_empty());
}
