//! Calls to the cloud, one at a time, and what comes of them.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::rc::Rc;

use super::MACHINES_PER_RENT_MAX;
use super::pools::{Pool, PoolKey, RentalPlan, pool_counts};
use crate::config::{Config, Deployment};
use crate::fleet::machine_catalog::MachineCatalog;
use crate::fleet::{Fleet, MachineRole};
use crate::jobs::MachineIndex;
use crate::protocol::cloud::{ListedMachine, MachineType, RentRequest};
use crate::runtime::Time;

/// Interval of reading the list, as a multiple of the list's lag; at least a heartbeat interval.
const LIST_INTERVAL_LAGS: f64 = 0.8;
/// Interval of asking for prices, in leases of the workers.
const TYPES_INTERVAL_LEASES: f64 = 3.0;
/// Machines returned with one request, at most, as the protocol says.
const MACHINES_PER_DELETE_MAX: usize = 100;
/// Names remembered of returned machines, at most: several times as many as a fleet has.
const RETURNED_NAMES_MAX: usize = 16 * 1024;
/// All workers have reported after so many heartbeat intervals of a term.
const FLEET_KNOWN_HEARTBEAT_INTERVALS: f64 = 1.5;
/// Or earlier, once this share of the machines has reported.
const REPORTED_SHARE_MIN: f64 = 0.95;

/// A call to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudCall {
    /// Which types there are, at which prices.
    Types,
    /// Which machines there are, those after this name.
    List { after: String },
    /// Rent machines for this role.
    Rent(RentRequest, MachineRole),
    /// Return machines, by their names.
    Delete(Vec<String>),
}

/// What came of a call.
#[derive(Debug, Clone)]
pub enum CloudAnswer {
    /// All types.
    Types(Vec<MachineType>),
    /// A page of the list, and whether there are more.
    List(Vec<ListedMachine>, bool),
    /// The names of the machines rented, perhaps fewer than requested.
    Rented(Vec<String>),
    /// The machines are gone.
    Deleted,
    /// The pool has no machine now.
    NoCapacity,
    /// Surely not carried out, or carried out without an answer: the same is to be requested again.
    Failed,
}

/// What the list showed when it was first read to its end in this term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FirstListing {
    /// It was not read to its end yet.
    Incomplete,
    /// No machine was there before this term.
    NoMachines,
    /// Machines were there.
    Machines,
}

/// The leader's dealings with the cloud.
#[derive(Debug)]
pub struct CloudState {
    /// Pools that have refused machines.
    pub(super) pools: BTreeMap<PoolKey, Pool>,
    /// Number of the last rental request; names of requests are never used twice.
    last_request: u64,
    /// Requests to be made, the first one perhaps made already.
    rentals: VecDeque<(RentRequest, MachineRole)>,
    /// Machines to be returned.
    returns: Vec<MachineIndex>,
    /// Names of machines that were returned: a late list or heartbeat may still show them.
    returned: HashSet<Rc<str>>,
    /// The same, the first returned first.
    returned_order: VecDeque<Rc<str>>,
    /// The name after which the list is to be read on, if it is longer than a page.
    list_continuation: Option<String>,
    next_list_at: Time,
    next_types_at: Time,
    first_listing: FirstListing,
}

impl CloudState {
    /// Nothing is known of the cloud; list and types are to be read at once.
    pub(super) fn new(now: Time) -> Self {
        CloudState {
            pools: BTreeMap::new(),
            last_request: 0,
            rentals: VecDeque::new(),
            returns: Vec::new(),
            returned: HashSet::new(),
            returned_order: VecDeque::new(),
            list_continuation: None,
            next_list_at: now,
            next_types_at: now,
            first_listing: FirstListing::Incomplete,
        }
    }

    /// The next call to make, if one is due.
    pub(crate) fn next_call(
        &mut self,
        deployment: &Deployment,
        fleet: &Fleet,
        now: Time,
    ) -> Option<CloudCall> {
        if !self.returns.is_empty() {
            let names: Vec<String> = self
                .returns
                .iter()
                .filter_map(|index| fleet.machines.get(index))
                .map(|machine| machine.name.to_string())
                .take(MACHINES_PER_DELETE_MAX)
                .collect();
            if !names.is_empty() {
                return Some(CloudCall::Delete(names));
            }
            self.returns.clear();
        }
        if let Some((rent, role)) = self.rentals.front() {
            return Some(CloudCall::Rent(rent.clone(), *role));
        }
        if let Some(after) = &self.list_continuation {
            return Some(CloudCall::List {
                after: after.clone(),
            });
        }
        let workers = &deployment.workers;
        if now >= self.next_list_at {
            let interval_s = deployment.cloud.list_lag_s * LIST_INTERVAL_LAGS;
            self.next_list_at = now + interval_s.max(workers.heartbeat_interval_s);
            return Some(CloudCall::List {
                after: String::new(),
            });
        }
        if now >= self.next_types_at {
            self.next_types_at = now + workers.lease_s * TYPES_INTERVAL_LEASES;
            return Some(CloudCall::Types);
        }
        None
    }

    /// A machine is to be returned.
    pub(super) fn queue_return(&mut self, index: MachineIndex) {
        self.returns.push(index);
    }

    /// A machine needs no return any more.
    pub(crate) fn dequeue_return(&mut self, index: MachineIndex) {
        self.returns.retain(|queued| *queued != index);
    }

    /// Notes that the cloud has confirmed a machine's return. The oldest are forgotten one by one: all
    /// at once would let a late heartbeat bring one back that went a moment ago.
    pub(crate) fn record_returned(&mut self, name: Rc<str>) {
        if self.returned.insert(name.clone()) {
            self.returned_order.push_back(name);
        }
        if self.returned_order.len() > RETURNED_NAMES_MAX
            && let Some(oldest) = self.returned_order.pop_front()
        {
            self.returned.remove(&oldest);
        }
    }

    /// Whether the cloud has confirmed a machine's return.
    pub(crate) fn is_returned(&self, name: &str) -> bool {
        self.returned.contains(name)
    }

    /// Whether rental requests wait to be made.
    pub(super) fn has_queued_rentals(&self) -> bool {
        !self.rentals.is_empty()
    }

    /// Queues the requests for what is to be rented, under names that contain the fencing token.
    pub(super) fn queue_rentals(
        &mut self,
        rentals: RentalPlan,
        catalog: &MachineCatalog,
        fencing_token: u64,
    ) {
        for (rental, count) in rentals {
            let mut left = count;
            while left > 0 {
                let count = left.min(MACHINES_PER_RENT_MAX);
                left -= count;
                self.last_request += 1;
                let rent = RentRequest {
                    request: format!("r-{fencing_token}-{}", self.last_request),
                    type_name: catalog[rental.pool.type_index].name.clone(),
                    zone: rental.pool.zone.to_string(),
                    spot: rental.pool.spot,
                    count,
                };
                tracing::info!(
                    request = %rent.request,
                    machine_type = %rent.type_name,
                    zone = %rent.zone,
                    spot = rent.spot,
                    count,
                    "renting machines"
                );
                self.rentals.push_back((rent, rental.role));
            }
        }
    }

    /// The first of the queued rental requests has its answer.
    pub(crate) fn dequeue_rental(&mut self) {
        self.rentals.pop_front();
    }

    /// A pool has no more machines now. Further requests to it are dropped: at some hundred machines
    /// in requests of 50 they once kept the cloud's few calls from all other pools.
    pub(super) fn record_refusal(
        &mut self,
        rent: &RentRequest,
        pool: PoolKey,
        fleet: &Fleet,
        catalog: &MachineCatalog,
        now: Time,
    ) {
        self.rentals.retain(|(queued, _)| {
            (&queued.type_name, &queued.zone, queued.spot)
                != (&rent.type_name, &rent.zone, rent.spot)
        });
        let boot_s = catalog[pool.type_index].boot_s;
        let machines = pool_counts(fleet).get(&pool).copied().unwrap_or(0);
        let pool = self.pools.entry(pool).or_default();
        pool.record_refusal(boot_s, machines, now);
    }

    /// A pool served a request in full.
    pub(super) fn record_success(&mut self, pool: &PoolKey) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.record_success();
        }
    }

    /// A page of the list was read; the next one is read at once.
    pub(super) fn record_page(&mut self, page: &[ListedMachine], more: bool) {
        self.list_continuation = more
            .then(|| page.last().map(|machine| machine.id.clone()))
            .flatten();
    }

    /// The list could not be read: it is read from its start at the next interval.
    pub(crate) fn record_list_failure(&mut self) {
        self.list_continuation = None;
    }

    /// The list was read to its end.
    pub(super) fn record_list_end(&mut self, fleet: &Fleet) {
        if self.first_listing == FirstListing::Incomplete {
            self.first_listing = if fleet.machines.is_empty() {
                FirstListing::NoMachines
            } else {
                FirstListing::Machines
            };
        }
    }

    /// Whether a new leader knows the fleet well enough to rent more: it once rented a second
    /// fleet before the first had reported.
    pub(super) fn knows_fleet(
        &self,
        config: &Config,
        fleet: &Fleet,
        term_started_at: Time,
        now: Time,
    ) -> bool {
        let deployment = &config.deployment;
        let settle_s = (deployment.workers.heartbeat_interval_s * FLEET_KNOWN_HEARTBEAT_INTERVALS)
            .max(deployment.cloud.list_lag_s);
        match self.first_listing {
            FirstListing::Incomplete => false,
            FirstListing::NoMachines => true,
            FirstListing::Machines => {
                now - term_started_at >= settle_s || most_have_reported(fleet)
            }
        }
    }
}

/// Whether nearly all machines that are up have reported, but for zones that are partitioned.
fn most_have_reported(fleet: &Fleet) -> bool {
    let machines = fleet.machines.values();
    let up = machines
        .filter(|m| m.last_contact_at.or(m.running_since).is_some() && !fleet.is_partitioned(m));
    let (reported, all) = up.fold((0, 0), |(reported, all), m| {
        (reported + usize::from(m.is_up()), all + 1)
    });
    all > 0 && reported as f64 >= all as f64 * REPORTED_SHARE_MIN
}
