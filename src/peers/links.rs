//! Links: the connections over which controllers send one another heartbeats. Each controller opens one to every other
//! controller and sends its own heartbeats over it.

use std::cell::RefCell;
use std::rc::Rc;

use super::frames::{encode, receive};
use super::{PeerHeartbeat, Peers};
use crate::autoscaler::arrival_forecast::ArrivalForecast;
use crate::config::Peer;
use crate::runtime::{Listener, Runtime, Scope, Stream};

/// Maximum number of incoming links at the same time, per configured peer.
pub const LINKS_PER_PEER: usize = 4;
/// Time limit, in heartbeat intervals, for opening a link, for sending one heartbeat and for receiving the next one.
/// A link that exceeds it is closed.
const LINK_TIMEOUT_INTERVALS: f64 = 5.0;

/// Creates the heartbeat to send now.
pub type PeerHeartbeatSource = Box<dyn Fn() -> PeerHeartbeat>;

/// Receives heartbeats from the other controllers.
#[derive(Clone)]
pub struct HeartbeatReceiver {
    /// Runtime of this controller.
    pub runtime: Runtime,
    /// Interval in seconds at which the other controllers send heartbeats.
    pub interval_s: f64,
    /// Directory in which received heartbeats are recorded.
    pub peers: Rc<Peers>,
    /// Forecast that learns from the run times in received heartbeats.
    pub forecast: Rc<RefCell<ArrivalForecast>>,
}

impl HeartbeatReceiver {
    /// Accepts links from the other controllers, of which there are `peer_count`, and records their heartbeats. Closes
    /// a new link at once if [`LINKS_PER_PEER`] links per peer are open.
    pub async fn serve(self, mut listener: Listener, peer_count: usize) {
        let links = Scope::new(&self.runtime);
        loop {
            match listener.accept().await {
                Ok(stream) if links.live() < peer_count * LINKS_PER_PEER => {
                    links.spawn(self.clone().receive_from(stream));
                }
                Ok(_) => {}
                Err(error) => {
                    tracing::warn!(%error, "accepting a link from a controller failed");
                    self.runtime.sleep(self.interval_s).await;
                }
            }
        }
    }

    /// Records the heartbeats received over one link until the link fails or times out.
    async fn receive_from(self, mut stream: Stream) {
        let timeout_s = self.interval_s * LINK_TIMEOUT_INTERVALS;
        let mut host = None;
        loop {
            let received = self.runtime.timeout(timeout_s, receive(&mut stream)).await;
            let heartbeat = match received {
                Ok(Ok(heartbeat)) => heartbeat,
                Ok(Err(error)) => {
                    tracing::debug!(node = host, %error, "link from a controller ended");
                    return;
                }
                Err(_) => {
                    tracing::debug!(node = host, "link from a controller timed out");
                    return;
                }
            };
            host = Some(heartbeat.host.clone());
            self.forecast
                .borrow_mut()
                .adopt_run_times(&heartbeat.run_times);
            self.peers.record(heartbeat, self.runtime.now());
        }
    }
}

/// Sends a heartbeat to another controller every `interval_s` seconds, and reconnects when the link fails.
pub async fn send_heartbeats(
    runtime: Runtime,
    peer: Peer,
    interval_s: f64,
    source: PeerHeartbeatSource,
) {
    let timeout_s = interval_s * LINK_TIMEOUT_INTERVALS;
    loop {
        if let Ok(Ok(stream)) = runtime.timeout(timeout_s, runtime.connect(peer.addr)).await {
            send_over(&runtime, stream, &peer, interval_s, &source).await;
        }
        runtime.sleep(interval_s).await;
    }
}

/// Sends heartbeats over one link until it fails.
async fn send_over(
    runtime: &Runtime,
    mut stream: Stream,
    peer: &Peer,
    interval_s: f64,
    source: &PeerHeartbeatSource,
) {
    let timeout_s = interval_s * LINK_TIMEOUT_INTERVALS;
    loop {
        let frame = match encode(&source()) {
            Ok(frame) => frame,
            Err(error) => {
                tracing::debug!(node = %peer.name, %error, "encoding a heartbeat failed");
                return;
            }
        };
        let sent = runtime.timeout(timeout_s, stream.write_all(&frame)).await;
        match sent {
            Ok(Ok(())) => {}
            Ok(Err(error)) => {
                tracing::debug!(node = %peer.name, %error, "link to a controller failed");
                return;
            }
            Err(_) => {
                tracing::debug!(node = %peer.name, "link to a controller timed out");
                return;
            }
        }
        runtime.sleep(interval_s).await;
    }
}
