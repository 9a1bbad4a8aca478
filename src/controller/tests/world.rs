//! An in-memory world in which tests run whole controllers. The controllers run their real code. The state service, the
//! cloud, the workers and the users are stand-ins that follow the protocol, and tests can inject into them every fault
//! that the protocol allows. The rules are checked against what workers do and which replies users get, never against
//! the controllers' own records.

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

/// The zone of each controller.
pub const ZONES: [&str; 3] = ["north", "south", "north"];
pub const NODES: usize = ZONES.len();
/// Seconds between two steps of tasks, gangs and checks.
const TICK_S: f64 = 0.25;
/// Limits of the stand-ins' HTTP servers.
const LIMITS: ServerLimits = ServerLimits {
    connections: 400,
    request_s: 5.0,
    idle_s: 60.0,
    evictable_idle_s: 30.0,
};

/// The address of a port on a simulated host.
fn host_address(host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], port))
}

/// The address at which a controller answers users and workers.
pub fn front_address(node: usize) -> SocketAddr {
    host_address(node as u8, 80)
}

/// The address at which a controller answers other controllers.
pub fn peer_address(node: usize) -> SocketAddr {
    host_address(node as u8, 81)
}

/// The process of a controller. Dropping it kills the process.
type ControllerProcess = (Rc<Controller>, Scope);

pub struct World {
    pub runtime: Runtime,
    pub config: Config,
    /// If set, new controller processes start with these settings instead of `config`.
    pub config_override: RefCell<Option<Config>>,
    pub state: Rc<State>,
    pub cloud: Rc<Cloud>,
    pub checks: Rc<Checks>,
    gangs: Gangs,
    /// The workers of all existing machines, by machine name.
    pub workers: RefCell<BTreeMap<String, Rc<Worker>>>,
    /// The controllers' processes by node number; None if a controller isn't running.
    nodes: RefCell<Vec<Option<ControllerProcess>>>,
    /// A zone, and the end of its network partition from the other zones.
    pub partition: Cell<(&'static str, Time)>,
    /// Runs the stand-ins, the checks and the background work of tests.
    pub services: Scope,
}

/// Leaves the sample settings unchanged.
pub fn default_settings(_: &mut Config) {}

/// Boots machines alternately in the two zones, and starts all controllers with node 0 as the leader.
pub async fn start_cluster(world: &Rc<World>, machines: usize) {
    for i in 0..machines {
        world.boot(["north", "south"][i % 2]);
    }
    world.start_led_by(0).await;
}

/// Runs a test script in a new world. Panics if the script doesn't finish, or if a rule of `Checks` was violated. A
/// script that calls `World::wait_for_all_jobs` also checks that every accepted job ends.
pub fn run_scenario<F: Future<Output = ()> + 'static>(
    configure: impl FnOnce(&mut Config),
    script: impl FnOnce(Rc<World>) -> F,
) {
    let finished = Rc::new(Cell::new(false));
    let script_finished = finished.clone();
    Runtime::run_in_memory(|runtime| {
        let mut config = crate::config::tests::sample();
        config.deployment.nodes = NODES;
        configure(&mut config);
        let world = World::new(runtime, config);
        let root = Scope::new(runtime);
        let runtime = runtime.clone();
        let script_run = script(world.clone());
        root.spawn(async move {
            script_run.await;
            world.checks.assert_no_violations();
            script_finished.set(true);
            world.shut_down();
            runtime.stop();
        });
        root
    });
    assert!(finished.get(), "the test script did not finish");
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
        let checked_world = world.clone();
        world.services.spawn(async move {
            loop {
                checked_world.runtime.sleep(TICK_S).await;
                checked_world.step_gangs();
                checked_world
                    .checks
                    .check_all(checked_world.runtime.now(), &checked_world.workers.borrow());
            }
        });
        world
    }

    /// Drops the controllers and workers, so that nothing that they hold keeps this world alive.
    fn shut_down(&self) {
        for node in 0..NODES {
            self.kill(node);
        }
        self.workers.borrow_mut().clear();
    }

    fn serve(&self, address: SocketAddr, handler: Handler) {
        let listener = self.runtime.listen(address).unwrap();
        let server = serve(self.runtime.clone(), listener, LIMITS, handler);
        self.services.spawn(server);
    }

    pub fn now(&self) -> Time {
        self.runtime.now()
    }

    pub async fn run(&self, seconds: f64) {
        self.runtime.sleep(seconds).await;
    }

    /// Waits until a condition holds. Panics after `limit_s` seconds.
    pub async fn wait_until(&self, condition: &str, limit_s: f64, holds: impl Fn() -> bool) {
        let deadline = self.now() + limit_s;
        while !holds() {
            assert!(
                self.now() < deadline,
                "at {:.1} s: not {condition}",
                self.now()
            );
            self.run(0.02).await;
        }
    }

    /// Starts the process of a controller that isn't running.
    pub fn start(&self, node: usize) {
        let config_override = self.config_override.borrow().clone();
        let mut config = config_override.unwrap_or_else(|| self.config.clone());
        config.node = format!("n{node}");
        config.zone = ZONES[node].into();
        config.listen = front_address(node);
        config.peer_listen = peer_address(node);
        let other_nodes = (0..NODES).filter(|other| *other != node);
        config.peers = other_nodes
            .map(|other| Peer {
                name: format!("n{other}"),
                zone: ZONES[other].into(),
                addr: peer_address(other),
            })
            .collect();
        config.services.state = state::link_address(node);
        config.services.cloud = cloud::address();
        let process = start(&self.runtime, Rc::new(config)).unwrap();
        self.nodes.borrow_mut()[node] = Some(process);
    }

    /// Kills the process of a controller, if it is running.
    pub fn kill(&self, node: usize) {
        self.nodes.borrow_mut()[node] = None;
    }

    /// Starts all controllers with `first` as the leader: the others start after its election.
    pub async fn start_led_by(&self, first: usize) {
        self.start(first);
        self.wait_until("led", 10.0, || self.leader() == Some(first))
            .await;
        for node in (0..NODES).filter(|node| *node != first) {
            self.start(node);
        }
        self.wait_until("ready", 10.0, || (0..NODES).all(|node| self.is_ready(node)))
            .await;
    }

    /// The controller of a node, or None if it isn't running.
    pub fn node(&self, node: usize) -> Option<Rc<Controller>> {
        self.nodes.borrow()[node]
            .as_ref()
            .map(|(controller, _)| controller.clone())
    }

    fn is_ready(&self, node: usize) -> bool {
        self.node(node)
            .is_some_and(|controller| controller.readiness().status == 200)
    }

    /// The first node that acts as the leader.
    pub fn leader(&self) -> Option<usize> {
        (0..NODES).find(|node| self.is_acting_leader(*node))
    }

    /// Returns whether a controller has built the leader's state and holds a fencing token that it still trusts.
    pub fn is_acting_leader(&self, node: usize) -> bool {
        self.node(node).is_some_and(|controller| {
            controller.trusted_fencing_token().is_some()
                && controller.leadership.leader.borrow().is_some()
        })
    }

    /// Returns whether the network between a zone and a controller is partitioned now.
    fn is_partitioned(&self, zone: &str, node: usize) -> bool {
        let (partitioned_zone, until) = self.partition.get();
        self.now() < until && (zone == partitioned_zone) != (ZONES[node] == partitioned_zone)
    }

    pub fn all_workers(&self) -> Vec<Rc<Worker>> {
        self.workers.borrow().values().cloned().collect()
    }

    /// Counts the tasks of a job that are on machines and haven't exited.
    pub fn tasks_on_machines(&self, id: &str) -> usize {
        let workers = self.workers.borrow();
        workers
            .values()
            .map(|worker| worker.tasks_of(id).len())
            .sum()
    }
}
