//! Selects machines for the tasks of a job, one after the other, by the pricing rule (bin packing).
//!
//! With a few thousand machines, a scan of all of them for each task would use up the leader's CPU share. The queue
//! scans them once for each job; each task then costs little more than the update of the machine that it goes to.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};

use crate::resources::Resources;
use crate::scheduler::pricing::{MachineLoad, PricingRule};

/// The tier of a machine. Tiers take precedence over prices. The lowest tier comes first; fields are compared in this
/// order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CandidateTier {
    /// Whether the machine is a spot machine that the job avoids: a step of a chain with a deadline has no time to
    /// repeat a task that is lost with the machine.
    pub avoided_spot: bool,
    /// How long the next task waits for its image, see [`ImageWaitLevels`](super::image_locality::ImageWaitLevels).
    pub image_wait_level: u8,
    /// Whether the machine is kept for large tasks and lent to a small one.
    pub borrowed: bool,
}

/// Machines count as equally cheap if their rental price per CPU is at most this multiple of the lowest in their tier.
const PRICE_TOLERANCE_RATIO: f64 = 1.6;

/// A machine in the queue.
#[derive(Debug, Clone, Copy)]
struct RankedCandidate {
    /// Rank by the pricing rule: the lowest is selected first.
    rank: f64,
    candidate_index: usize,
    wait_level_once_requested: u8,
    load: MachineLoad,
}

impl Ord for RankedCandidate {
    /// Reverses the order of selection, because a `BinaryHeap` yields the greatest element first.
    fn cmp(&self, other: &Self) -> Ordering {
        let lowest_rank_greatest = other.rank.total_cmp(&self.rank);
        lowest_rank_greatest.then(other.candidate_index.cmp(&self.candidate_index))
    }
}

impl PartialOrd for RankedCandidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for RankedCandidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for RankedCandidate {}

/// The key of a group of machines with the same tier and rental price per CPU, ordered by tier, then by price.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PriceGroup {
    tier: CandidateTier,
    /// The bits of the rental price per CPU as an `f64`: the bits of positive numbers have the order of the numbers.
    unit_price_bits: u64,
}

impl PriceGroup {
    fn new(tier: CandidateTier, unit_price: f64) -> Self {
        PriceGroup {
            tier,
            unit_price_bits: unit_price.max(0.0).to_bits(),
        }
    }

    fn unit_price(&self) -> f64 {
        f64::from_bits(self.unit_price_bits)
    }

    /// The upper bound of the groups that count as equally cheap if this group is the cheapest of its tier.
    fn most_expensive_equivalent(&self) -> Self {
        PriceGroup {
            tier: self.tier,
            unit_price_bits: (self.unit_price() * PRICE_TOLERANCE_RATIO).to_bits(),
        }
    }
}

/// The machine chosen for a task.
#[derive(Debug, Clone, Copy)]
pub struct Selection {
    /// The index under which the machine was pushed.
    pub candidate_index: usize,
    /// The load and dual price of the machine with the task on it.
    pub load_after: MachineLoad,
}

/// The machines that a job's tasks may use, in the order of selection.
#[derive(Debug)]
pub struct CandidateQueue {
    rule: PricingRule,
    demand: Resources,
    weight: f64,
    groups: BTreeMap<PriceGroup, BinaryHeap<RankedCandidate>>,
    /// Whether a machine was left out because of [`CandidateQueue::record_slow_fetch`].
    has_slow_fetch: bool,
}

impl CandidateQueue {
    /// Creates an empty queue for tasks of this demand. `weight` is the weight of their job's priority.
    pub fn new(pricing_rule: PricingRule, demand: Resources, weight: f64) -> Self {
        CandidateQueue {
            rule: pricing_rule,
            demand,
            weight,
            groups: BTreeMap::new(),
            has_slow_fetch: false,
        }
    }

    /// Records that a machine with enough free capacity was left out because it would take too long to fetch the image.
    pub fn record_slow_fetch(&mut self) {
        self.has_slow_fetch = true;
    }

    /// Whether [`CandidateQueue::record_slow_fetch`] was called.
    pub fn has_slow_fetch(&self) -> bool {
        self.has_slow_fetch
    }

    /// Adds a machine unless it may hold no more tasks of this demand, or the pricing rule refuses it. `unit_price` is its rental price per CPU and must be
    /// positive. `wait_level_once_requested` replaces [`CandidateTier::image_wait_level`] after the first task is
    /// placed there, since that task has then requested the image.
    pub fn push(
        &mut self,
        candidate_index: usize,
        tier: CandidateTier,
        wait_level_once_requested: u8,
        unit_price: f64,
        load: MachineLoad,
    ) {
        if load.tasks_that_may_be_added(self.demand) < 1.0 {
            return;
        }
        let Some(rank) = self.rule.selection_rank(self.demand, self.weight, &load) else {
            return;
        };
        let ranked = RankedCandidate {
            rank,
            candidate_index,
            wait_level_once_requested,
            load,
        };
        let group = PriceGroup::new(tier, unit_price);
        self.groups.entry(group).or_default().push(ranked);
    }

    /// Selects the machine for the next task and updates its load in the queue. Returns None if no machine is left.
    ///
    /// `is_allowed` is called with the index of a machine. Once it refuses a machine, it must refuse it on all later
    /// calls: the queue may have removed it.
    pub fn select_next(&mut self, is_allowed: impl Fn(usize) -> bool) -> Option<Selection> {
        self.drop_disallowed(is_allowed);
        let group = self.best_group()?;
        let chosen = self.groups.get_mut(&group)?.pop()?;
        let load_after = self.rule.load_with_task(self.demand, &chosen.load);
        let tier = CandidateTier {
            image_wait_level: chosen.wait_level_once_requested,
            ..group.tier
        };
        self.push(
            chosen.candidate_index,
            tier,
            chosen.wait_level_once_requested,
            group.unit_price(),
            load_after,
        );
        Some(Selection {
            candidate_index: chosen.candidate_index,
            load_after,
        })
    }

    /// Removes machines that are no longer allowed from the head of each group, and then empty groups.
    fn drop_disallowed(&mut self, is_allowed: impl Fn(usize) -> bool) {
        self.groups.retain(|_, heap| {
            while heap
                .peek()
                .is_some_and(|head| !is_allowed(head.candidate_index))
            {
                heap.pop();
            }
            !heap.is_empty()
        });
    }

    /// Returns the group whose head has the best rank, among the groups of the first tier that count as equally cheap
    /// as its cheapest one.
    fn best_group(&self) -> Option<PriceGroup> {
        let (cheapest, _) = self.groups.first_key_value()?;
        let (group, _) = self
            .groups
            .range(*cheapest..=cheapest.most_expensive_equivalent())
            .filter_map(|(group, heap)| Some((*group, heap.peek()?)))
            .max_by(|a, b| a.1.cmp(b.1))?;
        Some(group)
    }
}

#[cfg(test)]
mod tests;
