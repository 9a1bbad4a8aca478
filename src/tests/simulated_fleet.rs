//! A leader with a store, and a cloud that rents machines with limited capacity. Machines are up at once, and each
//! worker runs the tasks that it is sent.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

use crate::autoscaler::arrival_forecast::ArrivalForecast;
use crate::autoscaler::{CloudAnswer, CloudCall};
use crate::config::Config;
use crate::leader::Leader;
use crate::protocol::cloud::RentRequest;
use crate::protocol::users::Submission;
use crate::protocol::workers::TaskState;
use crate::test_support::{FakeStore, FakeWorker};

pub(super) struct SimulatedFleet {
    pub(super) store: FakeStore,
    pub(super) leader: Leader,
    forecast: Rc<RefCell<ArrivalForecast>>,
    pub(super) workers: Vec<FakeWorker>,
    /// How many more machines the cloud rents out, by machine type. It has none of other types.
    pub(super) capacity: Vec<(&'static str, usize)>,
    /// Whether the cloud rents out spot machines.
    pub(super) has_spot_machines: bool,
    /// The tasks of this job are launched, but never get their image.
    pub(super) fetching_job: Option<&'static str>,
    /// Names of the tasks that were started.
    pub(super) started: HashSet<String>,
    pub(super) now: f64,
    rented: usize,
}

impl SimulatedFleet {
    pub(super) fn new(config: Config, capacity: &[(&'static str, usize)]) -> Self {
        let mut store = FakeStore::default();
        let forecast = Rc::new(RefCell::new(ArrivalForecast::new(3.0, 120.0, 0.0)));
        let leader = store.elect_with_forecast(config, forecast.clone(), "n0", 0.0);
        SimulatedFleet {
            store,
            leader,
            forecast,
            workers: Vec::new(),
            capacity: capacity.to_vec(),
            has_spot_machines: true,
            fetching_job: None,
            started: HashSet::new(),
            now: 0.0,
            rented: 0,
        }
    }

    /// Adds an empty on-demand machine that is up.
    pub(super) fn add_machine(&mut self, type_name: &str, zone: &str) {
        self.rented += 1;
        let name = format!("i-{:06}", self.rented);
        self.workers.push(FakeWorker::new(&name, type_name, zone));
    }

    pub(super) fn submit(&mut self, spec: &Submission) {
        self.submit_all([spec.clone()]);
    }

    pub(super) fn submit_all(&mut self, specs: impl IntoIterator<Item = Submission>) {
        let specs: Vec<Submission> = specs.into_iter().collect();
        for spec in &specs {
            self.store.submit(spec);
            self.record_arrival(spec);
        }
        let replica = self.store.replica();
        for spec in &specs {
            let id = spec.id.as_str().into();
            let stored = &replica.jobs[spec.id.as_str()];
            self.leader.add_stored_job(&id, stored, self.now);
        }
    }

    /// Counts an arrival, as every controller does.
    fn record_arrival(&mut self, spec: &Submission) {
        self.forecast.borrow_mut().record_arrival(spec, self.now);
    }

    /// Runs one second: heartbeats of all workers, the leader's periodic work and a scheduling pass, then the calls to
    /// the cloud.
    pub(super) fn run_round(&mut self) {
        self.now += 1.0;
        self.leader.record_worker_contact(self.now);
        for worker in &mut self.workers {
            worker.send_heartbeat(&mut self.leader, self.now);
            for status in &mut worker.heartbeat.tasks {
                if is_task_of(&status.task, self.fetching_job) {
                    status.state = TaskState::Fetching;
                } else if status.state == TaskState::Running {
                    self.started.insert(status.task.clone());
                }
            }
        }
        self.leader.maintain_fleet(self.now);
        self.store.schedule_and_write(&mut self.leader, self.now);
        self.answer_cloud_calls();
    }

    /// Runs rounds until a condition holds; returns false if it doesn't within `limit_s`.
    pub(super) fn run_until(&mut self, limit_s: f64, holds: impl Fn(&Self) -> bool) -> bool {
        let deadline = self.now + limit_s;
        while !holds(self) {
            if self.now >= deadline {
                return false;
            }
            self.run_round();
        }
        true
    }

    /// How many tasks of a job were ever started.
    pub(super) fn started_tasks(&self, id: &str) -> usize {
        let tasks = self.started.iter();
        tasks.filter(|task| is_task_of(task, Some(id))).count()
    }

    /// How many tasks of a job are on machines, whatever their state.
    pub(super) fn launched_tasks(&self, id: &str) -> usize {
        let tasks = self.workers.iter().flat_map(|w| &w.heartbeat.tasks);
        tasks.filter(|t| is_task_of(&t.task, Some(id))).count()
    }

    fn answer_cloud_calls(&mut self) {
        while let Some(call) = self.leader.next_cloud_call(self.now) {
            let answer = match &call {
                CloudCall::Rent(rent, _) => self.rent(rent),
                CloudCall::List { .. } => CloudAnswer::List(Vec::new(), false),
                CloudCall::Delete(names) => {
                    let is_kept = |worker: &FakeWorker| !names.contains(&worker.heartbeat.machine);
                    self.workers.retain(is_kept);
                    CloudAnswer::Deleted
                }
                CloudCall::MachineTypes => CloudAnswer::Failed,
            };
            self.leader.on_cloud_answer(call, answer, self.now);
        }
    }

    fn rent(&mut self, rent: &RentRequest) -> CloudAnswer {
        if rent.spot && !self.has_spot_machines {
            return CloudAnswer::NoCapacity;
        }
        let mut pools = self.capacity.iter_mut();
        let Some((_, left)) = pools.find(|(name, left)| *name == rent.type_name && *left > 0)
        else {
            return CloudAnswer::NoCapacity;
        };
        let count = (rent.count as usize).min(*left);
        *left -= count;
        let first = self.workers.len();
        for _ in 0..count {
            self.add_machine(&rent.type_name, &rent.zone);
        }
        let new = self.workers[first..].iter_mut();
        CloudAnswer::Rented(
            new.map(|worker| {
                worker.heartbeat.spot = rent.spot;
                worker.heartbeat.machine.clone()
            })
            .collect(),
        )
    }
}

fn is_task_of(task: &str, id: Option<&str>) -> bool {
    task.split_once('/').is_some_and(|(job, _)| Some(job) == id)
}
