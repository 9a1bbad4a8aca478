//! The cloud: machines boot within two seconds, as long as there is capacity.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use super::{World, addr};
use crate::http::{Request, Response};
use crate::protocol::cloud::{
    ListedMachine, MachineList, MachineNames, MachineState, MachineTypes, RentRequest,
};
use crate::protocol::paths;
use crate::runtime::Time;
use crate::test_support::types;

const BOOT_S: f64 = 1.5;

pub fn at() -> SocketAddr {
    addr(99, 443)
}

#[derive(Default)]
pub struct Cloud {
    /// Remaining capacity, in machines.
    pub room: Cell<u32>,
    pub outage_until: Cell<Time>,
    rented: RefCell<BTreeMap<String, Vec<String>>>,
}

impl World {
    pub(super) fn start_cloud(self: &Rc<Self>) {
        let world = self.clone();
        let handler = Rc::new(move |request: Request| {
            let world = world.clone();
            Box::pin(async move { world.answer_cloud(&request) }) as _
        });
        self.serve(at(), handler);
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
                let r = &worker.fake.borrow().heartbeat;
                ListedMachine {
                    id: r.machine.clone(),
                    addr: r.addr.clone(),
                    type_name: r.type_name.clone(),
                    zone: r.zone.clone(),
                    spot: r.spot,
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
        let rent: RentRequest = serde_json::from_slice(&request.body).unwrap();
        let known = self.cloud.rented.borrow().get(&rent.request).cloned();
        let machines = match known {
            Some(machines) => machines,
            None => {
                let count = rent.count.min(self.cloud.room.get());
                if count == 0 || rent.type_name != "small" {
                    return Response::error(503, "no capacity");
                }
                self.cloud.room.set(self.cloud.room.get() - count);
                let boot = |_| self.boot_after(&rent.zone, BOOT_S).name.clone();
                (0..count).map(boot).collect()
            }
        };
        let mut rented = self.cloud.rented.borrow_mut();
        rented.insert(rent.request, machines.clone());
        Response::json(200, &MachineNames { machines })
    }
}
