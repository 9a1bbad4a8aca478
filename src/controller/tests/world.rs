//! Whole controllers in memory: their real routines, against a state service, a cloud, workers and users that follow
//! the protocol and into which a test can inject every fault that it allows. The rules are checked by what workers do
//! and users are answered, not by anything the controllers know.

mod checks;
mod cloud;
mod gangs;
mod production_view;
mod state;
mod users;
mod workers;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::config::{Config, Peer};
use crate::controller::{Controller, start};
use crate::http::{Handler, ServerLimits, serve};
use crate::runtime::{Runtime, Scope, Time};

pub use checks::Checks;
pub use cloud::Cloud;
use gangs::Gangs;
pub use state::State;
pub use workers::Worker;

pub const ZONES: [&str; 3] = ["north", "south", "north"];
pub const NODES: usize = ZONES.len();
/// Seconds between two steps of workers and checks.
const TICK_S: f64 = 0.25;
const LIMITS: ServerLimits = ServerLimits {
    connections: 400,
    request_s: 5.0,
    idle_s: 60.0,
    evictable_idle_s: 30.0,
};

/// The address of a simulated host.
fn addr(host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], port))
}

pub fn front_address(node: usize) -> SocketAddr {
    addr(node as u8, 80)
}

/// A controller's process; dropping it kills it.
type Process = (Rc<Controller>, Scope);

pub struct World {
    pub runtime: Runtime,
    pub config: Config,
    /// Settings that processes are started with in place of `config`, if set.
    pub config_override: RefCell<Option<Config>>,
    pub state: Rc<State>,
    pub cloud: Rc<Cloud>,
    pub checks: Rc<Checks>,
    gangs: Gangs,
    pub workers: RefCell<BTreeMap<String, Rc<Worker>>>,
    nodes: RefCell<Vec<Option<Process>>>,
    /// A zone, and until when it is partitioned from the others.
    pub partition: Cell<(&'static str, Time)>,
    pub services: Scope,
}

/// Leaves the sample settings unchanged.
pub fn default_settings(_: &mut Config) {}

/// Boots machines alternating between the zones, and starts controllers led by the first.
pub async fn start_cluster(world: &Rc<World>, machines: usize) {
    for i in 0..machines {
        world.boot(["north", "south"][i % 2]);
    }
    world.start_led_by(0).await;
}

/// Runs a script; when it ends, all rules must have held, and every accepted job must have ended or be known.
pub fn run_scenario<F: Future<Output = ()> + 'static>(
    configure: impl FnOnce(&mut Config),
    script: impl FnOnce(Rc<World>) -> F,
) {
    let finished = Rc::new(Cell::new(false));
    let end = finished.clone();
    Runtime::run_in_memory(|runtime| {
        let mut config = crate::config::tests::sample();
        config.deployment.nodes = NODES;
        configure(&mut config);
        let world = World::new(runtime, config);
        let root = Scope::new(runtime);
        let runtime = runtime.clone();
        let work = script(world.clone());
        root.spawn(async move {
            work.await;
            world.checks.assert_no_violations();
            end.set(true);
            world.shut_down();
            runtime.stop();
        });
        root
    });
    assert!(finished.get(), "the script never ended");
}

impl World {
    fn new(runtime: &Runtime, config: Config) -> Rc<Self> {
        let checks = Rc::new(Checks::new(&config));
        let services = Scope::new(runtime);
        let state = State::start(runtime, &services);
        let cloud = Rc::new(Cloud::default());
        let world = Rc::new(World {
            runtime: runtime.clone(),
            config,
            config_override: RefCell::default(),
            state,
            cloud,
            checks,
            gangs: Gangs::default(),
            workers: RefCell::default(),
            nodes: RefCell::new((0..NODES).map(|_| None).collect()),
            partition: Cell::new(("", 0.0)),
            services,
        });
        world.start_cloud();
        let watch = world.clone();
        world.services.spawn(async move {
            loop {
                watch.runtime.sleep(TICK_S).await;
                watch.step_gangs();
                watch
                    .checks
                    .check_all(watch.runtime.now(), &watch.workers.borrow());
            }
        });
        world
    }

    /// Drops everything that holds references to this world.
    fn shut_down(&self) {
        for node in 0..NODES {
            self.kill(node);
        }
        self.workers.borrow_mut().clear();
    }

    fn serve(&self, at: SocketAddr, handler: Handler) {
        let listener = self.runtime.listen(at).unwrap();
        let served = serve(self.runtime.clone(), listener, LIMITS, handler);
        self.services.spawn(served);
    }

    pub fn now(&self) -> Time {
        self.runtime.now()
    }

    pub async fn run(&self, seconds: f64) {
        self.runtime.sleep(seconds).await;
    }

    /// Waits until a condition holds; panics after `limit_s`.
    pub async fn wait_until(&self, what: &str, limit_s: f64, holds: impl Fn() -> bool) {
        let deadline = self.now() + limit_s;
        while !holds() {
            assert!(self.now() < deadline, "at {:.1}: not {what}", self.now());
            self.run(0.02).await;
        }
    }

    /// Starts a controller's process.
    pub fn start(&self, at: usize) {
        let other = self.config_override.borrow().clone();
        let mut config = other.unwrap_or_else(|| self.config.clone());
        config.node = format!("n{at}");
        config.zone = ZONES[at].into();
        config.listen = front_address(at);
        config.peer_listen = addr(at as u8, 81);
        let others = (0..NODES).filter(|other| *other != at);
        config.peers = others
            .map(|other| Peer {
                name: format!("n{other}"),
                zone: ZONES[other].into(),
                addr: addr(other as u8, 81),
            })
            .collect();
        config.services.state = state::link_address(at);
        config.services.cloud = cloud::at();
        let started = start(&self.runtime, Rc::new(config)).unwrap();
        self.nodes.borrow_mut()[at] = Some(started);
    }

    /// Kills a controller's process.
    pub fn kill(&self, at: usize) {
        self.nodes.borrow_mut()[at] = None;
    }

    /// Starts all controllers, this one first, so that it becomes the leader.
    pub async fn start_led_by(&self, first: usize) {
        self.start(first);
        self.wait_until("led", 10.0, || self.leader() == Some(first))
            .await;
        for at in (0..NODES).filter(|at| *at != first) {
            self.start(at);
        }
        self.wait_until("ready", 10.0, || (0..NODES).all(|at| self.is_ready(at)))
            .await;
    }

    pub fn node(&self, at: usize) -> Option<Rc<Controller>> {
        self.nodes.borrow()[at].as_ref().map(|(n, _)| n.clone())
    }

    fn is_ready(&self, at: usize) -> bool {
        self.node(at).is_some_and(|n| n.readiness().status == 200)
    }

    /// The node that may act as the leader.
    pub fn leader(&self) -> Option<usize> {
        (0..NODES).find(|at| self.is_acting_leader(*at))
    }

    pub fn is_acting_leader(&self, at: usize) -> bool {
        self.node(at).is_some_and(|n| {
            n.trusted_fencing_token().is_some() && n.leadership.leader.borrow().is_some()
        })
    }

    /// Whether a zone and a node are partitioned from each other.
    fn is_partitioned(&self, zone: &str, node: usize) -> bool {
        let (cut, until) = self.partition.get();
        self.now() < until && (zone == cut) != (ZONES[node] == cut)
    }

    pub fn all_workers(&self) -> Vec<Rc<Worker>> {
        self.workers.borrow().values().cloned().collect()
    }

    /// How many tasks of a job are on machines.
    pub fn tasks_on_machines(&self, id: &str) -> usize {
        let workers = self.workers.borrow();
        workers
            .values()
            .map(|worker| worker.tasks_of(id).len())
            .sum()
    }
}
