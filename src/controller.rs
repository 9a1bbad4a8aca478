//! A controller process: asynchronous routines that perform all input and output, around state machines that perform
//! none, such as `Leader` and `StateReplica`.
//!
//! `Controller` only composes the state of its parts; each module owns one part and the routines that serve it.

mod admission;
mod leading;
mod replication;
mod socket_budget;
pub(crate) mod users;
pub(crate) mod workers;

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use rand::RngExt;

use crate::autoscaler::arrival_forecast::ArrivalForecast;
use crate::config::Config;
use crate::http::{ServerLimits, serve};
use crate::peers;
use crate::peers::{HeartbeatReceiver, PeerHeartbeat, Peers};
use crate::runtime::{Listener, Runtime, Scope, Time};
use crate::store::client::StoreClient;
use admission::quota_admission::QuotaAdmission;
use leading::cloud_calls::CloudApi;
use leading::leadership_state::LeadershipState;
use replication::Replication;
use replication::read_barriers::ReadBarriers;
use socket_budget::front_sockets;
use users::memory_admission::MemoryAdmission;
use users::writes::UserWriteBudget;
use workers::contacts::WorkerContacts;
use workers::delegation::DelegationChecks;
use workers::relay::Relays;
use workers::step_down_requests::StepDownRequests;

/// Time in which a whole request from a user or worker must arrive, in heartbeat intervals of the workers.
const REQUEST_TIMEOUT_HEARTBEATS: f64 = 3.0;
/// Time after which an idle connection of a user or worker is closed, in lease durations of the workers.
const IDLE_TIMEOUT_LEASES: f64 = 4.0;
/// Time after which an idle connection may be closed in favor of a new one when all connections are taken, in heartbeat
/// intervals of the workers. Connections of workers that still send heartbeats to this controller are not idle for that
/// long.
const EVICTABLE_IDLE_HEARTBEATS: f64 = 1.5;
/// Value of `Retry-After` in answers to requests that can't be served at the moment, in seconds.
const RETRY_AFTER_S: u32 = 1;
/// Maximum number of requests that wait for the next read barrier, and of heartbeats that wait for the check of a
/// delegation.
const BARRIER_WAITERS_MAX: usize = 256;
/// Time limit of a read barrier, in seconds. Users wait 2 s for the answer to a poll.
const BARRIER_TIMEOUT_S: f64 = 1.2;
/// Pause between two watches of the store, in seconds, so that changes are received in batches.
const WATCH_BATCH_S: f64 = 0.05;
/// Interval at which the leader maintains its fleet, in heartbeat intervals of the workers.
const FLEET_INTERVAL_HEARTBEATS: f64 = 0.15;
/// Upper bound of that interval, in seconds.
const FLEET_INTERVAL_S_MAX: f64 = 0.5;
/// Backoff after the state service rejected a request or didn't answer it, in seconds.
const STORE_BACKOFF_S: f64 = 0.15;
/// Interval of the heartbeats between controllers, in heartbeat intervals of the workers.
const PEER_INTERVAL_HEARTBEATS: f64 = 0.4;
/// Upper bound of that interval, in seconds.
const PEER_INTERVAL_S_MAX: f64 = 1.2;
/// Window of job arrivals from which the forecast is made, in seconds: a few times the boot time of a machine. The
/// window is constant because boot times are unknown until the machine types are loaded.
const FORECAST_WINDOW_S: f64 = 150.0;
/// Length of the intervals into which that window is divided, in seconds.
const FORECAST_INTERVAL_S: f64 = 3.0;
/// Maximum size of an answer from the cloud or a worker, in bytes.
const ANSWER_BYTES_MAX: usize = 1024 * 1024;

/// Why a controller could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The controller can't listen on one of its addresses, for example because another process uses it.
    #[error("cannot listen on {addr} (setting {setting}): {source}")]
    Listen {
        /// Name of the setting that holds the address.
        setting: &'static str,
        /// The address that could not be bound.
        addr: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The event loop can't be created, or it failed.
    #[error(transparent)]
    Loop(#[from] calloop::Error),
}

/// The state of a controller process, each part in a struct of its own.
struct Controller {
    /// Clock, timers and sockets.
    runtime: Runtime,
    /// The settings; they don't change while the process runs.
    config: Rc<Config>,
    /// Random number of this process. It distinguishes the writes of this process from those of earlier processes of the
    /// host.
    incarnation: u64,
    /// Client of the state service.
    store: StoreClient,
    /// Client of the cloud.
    cloud: CloudApi,
    /// The replica of the store, and the time up to which it is current.
    replication: Replication,
    /// The requests that wait until the replica is current.
    read_barriers: ReadBarriers,
    /// Budget of the writes that this controller makes for users.
    user_writes: UserWriteBudget,
    /// Decides whether there is memory for more jobs.
    memory_admission: MemoryAdmission,
    /// The term that this controller holds, if any, and the leader's state machine.
    leadership: LeadershipState,
    /// The workers that sent heartbeats to this controller.
    worker_contacts: WorkerContacts,
    /// Requests to a leader to step down because workers can't reach it.
    step_down_requests: StepDownRequests,
    /// The heartbeats that wait for the check that a delegation is in force.
    delegation_checks: DelegationChecks,
    /// Reports that this controller, as a delegate, writes for the leader.
    relays: Relays,
    /// The other controllers, as known from their heartbeats.
    peers: Rc<Peers>,
    /// Forecast of job arrivals and run times, by class of jobs.
    forecast: Rc<RefCell<ArrivalForecast>>,
    /// Admission quotas; None if the feature is not enabled.
    quota: Option<QuotaAdmission>,
}

/// Runs a controller until its process ends.
pub fn run(config: Config) -> Result<(), StartError> {
    let config = Rc::new(config);
    Runtime::run(|runtime| {
        let (controller, scope) = start(runtime, config)?;
        controller.memory_admission.measure_process();
        Ok(scope)
    })
}

/// Starts a controller's routines; they end when the scope is dropped.
fn start(runtime: &Runtime, config: Rc<Config>) -> Result<(Rc<Controller>, Scope), StartError> {
    let listen = |setting, addr| {
        runtime.listen(addr).map_err(|source| StartError::Listen {
            setting,
            addr,
            source,
        })
    };
    let front_listener = listen("front", config.listen)?;
    let peer_listener = listen("cluster_listen", config.peer_listen)?;
    let controller = Rc::new(Controller::new(runtime, config.clone()));
    let scope = Scope::new(runtime);
    controller.start_front(&scope, front_listener);
    controller.start_peer_links(&scope, peer_listener);
    controller.start_routines(&scope);
    tracing::info!(node = %config.node, address = %config.listen, "serving");
    Ok((controller, scope))
}

impl Controller {
    /// A controller with an empty replica, before its routines are started.
    fn new(runtime: &Runtime, config: Rc<Config>) -> Self {
        let incarnation = rand::rng().random();
        let forecast = ArrivalForecast::new(FORECAST_INTERVAL_S, FORECAST_WINDOW_S, runtime.now());
        Controller {
            runtime: runtime.clone(),
            incarnation,
            store: StoreClient::new(runtime, config.services.state, &config),
            cloud: CloudApi::new(runtime, &config),
            replication: Replication::default(),
            read_barriers: ReadBarriers::default(),
            user_writes: UserWriteBudget::new(&config),
            memory_admission: MemoryAdmission::default(),
            leadership: LeadershipState::default(),
            worker_contacts: WorkerContacts::default(),
            step_down_requests: StepDownRequests::default(),
            delegation_checks: DelegationChecks::default(),
            relays: Relays::default(),
            peers: Rc::default(),
            forecast: Rc::new(RefCell::new(forecast)),
            quota: QuotaAdmission::new(&config, incarnation),
            config,
        }
    }

    /// Serves users, workers and health checks.
    fn start_front(self: &Rc<Self>, scope: &Scope, listener: Listener) {
        let workers = &self.config.deployment.workers;
        let limits = ServerLimits {
            connections: ServerLimits::connections_within(front_sockets(&self.config)),
            request_s: workers.heartbeat_interval_s * REQUEST_TIMEOUT_HEARTBEATS,
            idle_s: workers.lease_s * IDLE_TIMEOUT_LEASES,
            evictable_idle_s: workers.heartbeat_interval_s * EVICTABLE_IDLE_HEARTBEATS,
        };
        let controller = self.clone();
        let handler = Rc::new(move |request| {
            let controller = controller.clone();
            Box::pin(async move { controller.handle_request(request).await }) as _
        });
        scope.spawn(serve(self.runtime.clone(), listener, limits, handler));
    }

    /// Exchanges heartbeats with the other controllers.
    fn start_peer_links(self: &Rc<Self>, scope: &Scope, listener: Listener) {
        let workers = &self.config.deployment.workers;
        let interval_s =
            (workers.heartbeat_interval_s * PEER_INTERVAL_HEARTBEATS).min(PEER_INTERVAL_S_MAX);
        let receiver = HeartbeatReceiver {
            runtime: self.runtime.clone(),
            interval_s,
            peers: self.peers.clone(),
            forecast: self.forecast.clone(),
        };
        scope.spawn(receiver.serve(listener, self.config.peers.len()));
        for peer in &self.config.peers {
            let controller = self.clone();
            let last_reported = RefCell::new(String::new());
            let heartbeat_source =
                Box::new(move || controller.peer_heartbeat(&mut last_reported.borrow_mut()));
            scope.spawn(peers::send_heartbeats(
                self.runtime.clone(),
                peer.clone(),
                interval_s,
                heartbeat_source,
            ));
        }
    }

    /// Starts the routines that don't listen for connections.
    fn start_routines(self: &Rc<Self>, scope: &Scope) {
        scope.spawn(self.clone().watch_state());
        scope.spawn(self.clone().serve_read_barriers());
        scope.spawn(self.clone().load_machine_types());
        scope.spawn(self.clone().write_step_down_requests());
        scope.spawn(self.clone().check_delegations());
        scope.spawn(self.clone().write_relays());
        scope.spawn(self.clone().run_elections());
        scope.spawn(self.clone().run_leader());
        scope.spawn(self.clone().call_cloud());
        if self.config.features.quota.is_some() {
            scope.spawn(self.clone().keep_quota_presence());
            scope.spawn(self.clone().transfer_quota());
        }
    }

    /// The present time on the steady clock, in seconds.
    fn now(&self) -> Time {
        self.runtime.now()
    }

    /// The next heartbeat to another controller. Workers are reported page by page: `last_reported` is the last machine
    /// that was sent to that controller, empty before the first page, and advances to the last one of this heartbeat.
    /// After the last page it is empty again, and the pages start over.
    fn peer_heartbeat(&self, last_reported: &mut String) -> PeerHeartbeat {
        let now = self.now();
        let lease_s = self.config.deployment.workers.lease_s;
        PeerHeartbeat {
            host: self.config.node.clone(),
            store_contact_age_s: self.replication.store_contact_age_s(now),
            workers: self.worker_contacts.next_page(last_reported, now, lease_s),
            run_times: self.forecast.borrow().run_times(),
            shortages: self.shortages(),
        }
    }
}

#[cfg(test)]
mod tests;
