//! Tests of heartbeats between controllers.

use super::frames::encode;
use super::*;

#[test]
fn heartbeats_survive_encoding_and_their_reports_expire() {
    let peer_heartbeat = PeerHeartbeat {
        host: "n1".into(),
        store_contact_age_s: Some(0.5),
        workers: vec![WorkerLocation {
            machine: "i-1".into(),
            zone: "a".into(),
            addr: "10.0.0.1:9".into(),
            agent_epoch: 3,
        }],
        run_times: Vec::new(),
        shortages: Vec::new(),
    };
    let frame = encode(&peer_heartbeat).unwrap();
    let decoded: PeerHeartbeat = ciborium::from_reader(&frame[4..]).unwrap();
    assert_eq!(decoded, peer_heartbeat);
    let peers = Peers::default();
    peers.record(peer_heartbeat, 10.0);
    assert!(peers.any_has_store(11.0, 3.0));
    assert!(!peers.any_has_store(12.9, 3.0));
    assert_eq!(peers.workers(11.0, 3.0).len(), 1);
    assert!(peers.workers(14.0, 3.0).is_empty());
}
