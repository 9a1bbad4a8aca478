//! Stand-in for the cloud. It rents machines as long as there is capacity.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use super::{World, host_address};
use crate::http::{Request, Response};
use crate::protocol::cloud::{
    ListedMachine, MachineList, MachineNames, MachineState, MachineTypes, RentRequest,
};
use crate::protocol::paths;
use crate::runtime::Time;
use crate::test_support::types;

/// Seconds from the rental of a machine until its worker runs.
const BOOT_S: f64 = 1.5;

pub fn address() -> SocketAddr {
    host_address(99, 443)
}

#[derive(Default)]
pub struct Cloud {
    /// Number of machines that can still be rented.
    pub room: Cell<u32>,
    /// Until then the cloud rejects all requests.
    pub outage_until: Cell<Time>,
    /// Names of the machines rented by each request, so that a repeated request rents no further machines.
    rented: RefCell<BTreeMap<String, Vec<String>>>,
}

impl World {
    pub(super) fn start_cloud(self: &Rc<Self>) {
        let world = self.clone();
        let handler = Rc::new(move |request: Request| {
            let world = world.clone();
            Box::pin(async move { world.answer_cloud(&request) }) as _
        });
        self.serve(address(), handler);
    }

    fn answer_cloud(self: &Rc<Self>, request: &Request) -> Response {
        if self.now() < self.cloud.outage_until.get() {
            return Response::error(503, "trouble");
        }
        let (path, _) = request.path.split_once('?').unwrap_or((&request.path, ""));
        if path == paths::MACHINE_TYPES {
            return Response::json(200, &MachineTypes { types: types() });
        }
        if path == paths::MACHINES_DELETE {
            let names: MachineNames = serde_json::from_slice(&request.body).unwrap();
            for name in &names.machines {
                if self.remove(name) {
                    self.cloud.room.set(self.cloud.room.get() + 1);
                }
            }
            return Response::json(200, &serde_json::json!({}));
        }
        if request.method == "GET" {
            let workers = self.workers.borrow();
            let machines = workers.values().map(|worker| {
                let heartbeat = &worker.fake.borrow().heartbeat;
                ListedMachine {
                    id: heartbeat.machine.clone(),
                    addr: heartbeat.addr.clone(),
                    type_name: heartbeat.type_name.clone(),
                    zone: heartbeat.zone.clone(),
                    spot: heartbeat.spot,
                    state: MachineState::Running,
                    age_s: self.now(),
                }
            });
            let machines = machines.collect();
            return Response::json(
                200,
                &MachineList {
                    machines,
                    truncated: false,
                },
            );
        }
        let rental: RentRequest = serde_json::from_slice(&request.body).unwrap();
        let earlier_machines = self.cloud.rented.borrow().get(&rental.request).cloned();
        let machines = match earlier_machines {
            Some(machines) => machines,
            None => {
                let count = rental.count.min(self.cloud.room.get());
                if count == 0 || rental.type_name != "small" {
                    return Response::error(503, "no capacity");
                }
                self.cloud.room.set(self.cloud.room.get() - count);
                let boot = |_| self.boot_after(&rental.zone, BOOT_S).name.clone();
                (0..count).map(boot).collect()
            }
        };
        let mut rented = self.cloud.rented.borrow_mut();
        rented.insert(rental.request, machines.clone());
        Response::json(200, &MachineNames { machines })
    }
}
