//! Calls to the cloud: which call is made next, and what the leader knows from the answers. One call is made at a time.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::rc::Rc;

use super::MACHINES_PER_RENT_MAX;
use super::pools::{PoolBackoff, PoolKey, RentalPlan, pool_counts};
use crate::config::{Config, Deployment};
use crate::fleet::machine_catalog::MachineCatalog;
use crate::fleet::{Fleet, MachineRole};
use crate::jobs::MachineIndex;
use crate::protocol::cloud::{ListedMachine, MachineType, RentRequest};
use crate::runtime::Time;

/// Interval between reads of the cloud's machine list, as a multiple of the list's lag; at least a heartbeat interval.
const LIST_INTERVAL_LAGS: f64 = 0.8;
/// Interval between reads of the machine types and their prices, in worker leases.
const TYPES_INTERVAL_LEASES: f64 = 3.0;
/// The maximum number of machines returned with one request, set by the cloud's protocol.
const MACHINES_PER_DELETE_MAX: usize = 100;
/// The maximum number of names of returned machines that are remembered: several times the size of a fleet.
const RETURNED_NAMES_MAX: usize = 16 * 1024;
/// The time from the start of a term after which all workers have sent a heartbeat, in heartbeat intervals.
const FLEET_KNOWN_HEARTBEAT_INTERVALS: f64 = 1.5;
/// The fleet counts as known before the time of [`FLEET_KNOWN_HEARTBEAT_INTERVALS`] once the workers of this share of
/// the running machines have made contact.
const CONTACTED_SHARE_MIN: f64 = 0.95;

/// A call to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudCall {
    /// Reads the machine types and their prices.
    MachineTypes,
    /// Reads a page of the machine list.
    List {
        /// The name after which the page starts; empty for the first page.
        after: String,
    },
    /// Rents machines for this role. The role is not sent to the cloud.
    Rent(RentRequest, MachineRole),
    /// Returns the machines with these names.
    Delete(Vec<String>),
}

/// The outcome of a call.
#[derive(Debug, Clone)]
pub enum CloudAnswer {
    /// All types.
    MachineTypes(Vec<MachineType>),
    /// A page of the machine list, and whether more pages follow.
    List(Vec<ListedMachine>, bool),
    /// The names of the rented machines, possibly fewer than requested.
    Rented(Vec<String>),
    /// The machines are returned.
    Deleted,
    /// The pool has no machines left.
    NoCapacity,
    /// The call was not carried out, or was carried out without an answer: the same call must be repeated.
    Failed,
}

/// What the first complete read of the machine list in this term has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FirstListing {
    /// The list has not been read to its end yet.
    Incomplete,
    /// The fleet was empty.
    NoMachines,
    /// The fleet had machines.
    Machines,
}

/// Machines to be rented from one pool for one role, by as many requests as the cloud's limit requires. The requests are
/// made one by one: a plan may be for many more machines than any cloud has.
#[derive(Debug)]
struct QueuedRental {
    /// The fencing token of this term, a part of the requests' names.
    fencing_token: u64,
    /// The number of the next request, a part of its name.
    next_number: u64,
    type_name: String,
    zone: String,
    spot: bool,
    role: MachineRole,
    /// Machines for which no request has been answered.
    remaining: u32,
}

impl QueuedRental {
    fn next_count(&self) -> u32 {
        self.remaining.min(MACHINES_PER_RENT_MAX)
    }

    /// The next request. The same one is returned until [`Self::on_answered`] is called.
    fn next_request(&self) -> RentRequest {
        RentRequest {
            request: format!("r-{}-{}", self.fencing_token, self.next_number),
            type_name: self.type_name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            count: self.next_count(),
        }
    }

    /// Records that the next request has been answered, whether it was served or refused.
    fn on_answered(&mut self) {
        self.remaining -= self.next_count();
        self.next_number += 1;
    }
}

/// The leader's view of the cloud: queued calls, exhausted pools and returned machines.
#[derive(Debug)]
pub struct CloudState {
    /// The backoffs of the pools that have refused machines in this term.
    pub(super) pool_backoffs: BTreeMap<PoolKey, PoolBackoff>,
    /// The number of the last rental request. Names of requests are never reused.
    last_request_number: u64,
    /// Rentals without an answer. The next request of the first one may have been sent already.
    queued_rentals: VecDeque<QueuedRental>,
    /// Machines to be returned.
    queued_returns: Vec<MachineIndex>,
    /// Names of returned machines: a late list page or heartbeat may still show them.
    returned_names: HashSet<Rc<str>>,
    /// The names in `returned_names` in the order of return, the oldest first.
    returned_names_in_order: VecDeque<Rc<str>>,
    /// The name after which the next page of the list starts. None if no further page is due.
    list_continuation: Option<String>,
    next_list_at: Time,
    next_types_at: Time,
    first_listing: FirstListing,
}

impl CloudState {
    /// The state at the start of a term: the list and the types are read at once.
    pub(super) fn new(now: Time) -> Self {
        CloudState {
            pool_backoffs: BTreeMap::new(),
            last_request_number: 0,
            queued_rentals: VecDeque::new(),
            queued_returns: Vec::new(),
            returned_names: HashSet::new(),
            returned_names_in_order: VecDeque::new(),
            list_continuation: None,
            next_list_at: now,
            next_types_at: now,
            first_listing: FirstListing::Incomplete,
        }
    }

    /// The next call to make. None if none is due. Returns come first, then rentals, the list and the types.
    pub(crate) fn next_call(
        &mut self,
        deployment: &Deployment,
        fleet: &Fleet,
        now: Time,
    ) -> Option<CloudCall> {
        if !self.queued_returns.is_empty() {
            let names: Vec<String> = self
                .queued_returns
                .iter()
                .filter_map(|index| fleet.machines.get(index))
                .map(|machine| machine.name.to_string())
                .take(MACHINES_PER_DELETE_MAX)
                .collect();
            if !names.is_empty() {
                return Some(CloudCall::Delete(names));
            }
            self.queued_returns.clear();
        }
        if let Some(rental) = self.queued_rentals.front() {
            return Some(CloudCall::Rent(rental.next_request(), rental.role));
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
            return Some(CloudCall::MachineTypes);
        }
        None
    }

    /// Queues a machine to be returned.
    pub(super) fn queue_return(&mut self, index: MachineIndex) {
        self.queued_returns.push(index);
    }

    /// Removes a machine from the queue of returns.
    pub(crate) fn dequeue_return(&mut self, index: MachineIndex) {
        self.queued_returns.retain(|queued| *queued != index);
    }

    /// Records that the cloud has confirmed a machine's return. Names are forgotten one by one, the oldest first: if
    /// all were forgotten at once, a late heartbeat could add a machine to the fleet that was returned just before.
    pub(crate) fn record_returned(&mut self, name: Rc<str>) {
        if self.returned_names.insert(name.clone()) {
            self.returned_names_in_order.push_back(name);
        }
        if self.returned_names_in_order.len() > RETURNED_NAMES_MAX
            && let Some(oldest) = self.returned_names_in_order.pop_front()
        {
            self.returned_names.remove(&oldest);
        }
    }

    /// Whether the cloud has confirmed a machine's return.
    pub(crate) fn is_returned(&self, name: &str) -> bool {
        self.returned_names.contains(name)
    }

    /// Whether any rental request has no answer yet.
    pub(super) fn has_queued_rentals(&self) -> bool {
        !self.queued_rentals.is_empty()
    }

    /// Queues requests for the planned rentals. Their names contain the fencing token, so that they differ from those
    /// of former leaders.
    pub(super) fn queue_rentals(
        &mut self,
        rentals: RentalPlan,
        catalog: &MachineCatalog,
        fencing_token: u64,
    ) {
        for (rental, machine_count) in rentals {
            let rental = QueuedRental {
                fencing_token,
                next_number: self.last_request_number + 1,
                type_name: catalog[rental.pool.type_index].name.clone(),
                zone: rental.pool.zone.to_string(),
                spot: rental.pool.spot,
                role: rental.role,
                remaining: machine_count,
            };
            if rental.remaining == 0 {
                continue;
            }
            let requests = machine_count.div_ceil(MACHINES_PER_RENT_MAX);
            self.last_request_number += u64::from(requests);
            tracing::info!(
                request = %rental.next_request().request,
                requests,
                machine_type = %rental.type_name,
                zone = %rental.zone,
                spot = rental.spot,
                count = machine_count,
                "renting machines"
            );
            self.queued_rentals.push_back(rental);
        }
    }

    /// Removes the first queued rental request, which has been answered.
    pub(crate) fn dequeue_rental(&mut self) {
        if let Some(rental) = self.queued_rentals.front_mut() {
            rental.on_answered();
            if rental.remaining == 0 {
                self.queued_rentals.pop_front();
            }
        }
    }

    /// Records that a pool refused machines, and drops the other queued requests to the pool. Otherwise several hundred
    /// machines in requests of 50 would use up the few calls that the cloud allows, and all other pools would wait.
    pub(super) fn record_refusal(
        &mut self,
        rent: &RentRequest,
        pool: PoolKey,
        fleet: &Fleet,
        catalog: &MachineCatalog,
        now: Time,
    ) {
        self.queued_rentals.retain(|queued| {
            (&queued.type_name, &queued.zone, queued.spot)
                != (&rent.type_name, &rent.zone, rent.spot)
        });
        let boot_s = catalog[pool.type_index].boot_s;
        let machine_count = pool_counts(fleet).get(&pool).copied().unwrap_or(0);
        let backoff = self.pool_backoffs.entry(pool).or_default();
        backoff.record_refusal(boot_s, machine_count, now);
    }

    /// Records that a pool served a request in full.
    pub(super) fn record_success(&mut self, pool: &PoolKey) {
        if let Some(backoff) = self.pool_backoffs.get_mut(pool) {
            backoff.record_success();
        }
    }

    /// Records that a page of the list was read. If there are more, the next one is read at once.
    pub(super) fn record_page(&mut self, page: &[ListedMachine], more: bool) {
        self.list_continuation = more
            .then(|| page.last().map(|machine| machine.id.clone()))
            .flatten();
    }

    /// Records that a page of the list could not be read: the list is read from its start after the usual interval.
    pub(crate) fn record_list_failure(&mut self) {
        self.list_continuation = None;
    }

    /// Records that the list was read to its end, and whether the first complete list of the term had machines.
    pub(super) fn record_list_end(&mut self, fleet: &Fleet) {
        if self.first_listing == FirstListing::Incomplete {
            self.first_listing = if fleet.machines.is_empty() {
                FirstListing::NoMachines
            } else {
                FirstListing::Machines
            };
        }
    }

    /// Whether this leader knows the fleet well enough to rent machines. A new leader that doesn't wait for the
    /// workers' heartbeats counts the machines as missing and rents a second fleet.
    pub(super) fn is_fleet_known(
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
                now - term_started_at >= settle_s || have_most_workers_made_contact(fleet)
            }
        }
    }
}

/// Whether the workers of nearly all running machines outside of partitioned zones have made contact in this term.
fn have_most_workers_made_contact(fleet: &Fleet) -> bool {
    let machines = fleet.machines.values();
    let running = machines
        .filter(|m| m.last_contact_at.or(m.running_since).is_some() && !fleet.is_partitioned(m));
    let (contacted, total) = running.fold((0, 0), |(contacted, total), machine| {
        (contacted + usize::from(machine.is_up()), total + 1)
    });
    total > 0 && contacted as f64 >= total as f64 * CONTACTED_SHARE_MIN
}
