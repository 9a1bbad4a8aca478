//! The connections over which controllers send one another heartbeats: each controller opens one to every other.

use std::cell::RefCell;
use std::rc::Rc;

use super::frames::{encode, receive};
use super::{PeerHeartbeat, Peers};
use crate::autoscaler::arrival_forecast::ArrivalForecast;
use crate::config::Peer;
use crate::runtime::{Listener, Runtime, Scope, Stream};

/// Most links from others at once, per known controller.
pub const LINKS_PER_PEER: usize = 4;
/// A link that brings nothing, or takes nothing, for so many heartbeat intervals is closed.
const LINK_TIMEOUT_INTERVALS: f64 = 5.0;

/// Makes the heartbeat to be sent at this moment.
pub type PeerHeartbeatSource = Box<dyn Fn() -> PeerHeartbeat>;

/// Receives heartbeats from the other controllers.
#[derive(Clone)]
pub struct HeartbeatReceiver {
    /// For the clock and time limits.
    pub runtime: Runtime,
    /// Interval at which the others send heartbeats, in seconds.
    pub interval_s: f64,
    /// Takes the contents of heartbeats.
    pub peers: Rc<Peers>,
    /// Takes the run times by class of jobs.
    pub forecast: Rc<RefCell<ArrivalForecast>>,
}

impl HeartbeatReceiver {
    /// Accepts links from the other controllers, `known` in number, and takes in their heartbeats.
    pub async fn serve(self, mut listener: Listener, known: usize) {
        let links = Scope::new(&self.runtime);
        loop {
            match listener.accept().await {
                Ok(stream) if links.live() < known * LINKS_PER_PEER => {
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

    /// Takes in the heartbeats of one link until it fails or stays silent for too long.
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

/// Sends heartbeats to another controller, connecting again whenever the link fails.
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
                tracing::debug!(node = %peer.name, %error, "heartbeat to a controller not sent");
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
