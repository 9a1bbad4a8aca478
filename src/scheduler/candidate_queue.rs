//! Selects machines for the tasks of a job, one after the other, by the pricing rule (bin packing).
//!
//! Looking at all machines for each task takes the leader's whole processor share at some thousand machines. Here they
//! are looked at once for each job, and a task costs no more than updating the machine that it goes to.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};

use crate::resources::Resources;
use crate::scheduler::pricing::{MachineLoad, PricingRule};

/// Which machines come before which, whatever their prices: the lowest first, by the fields in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CandidateTier {
    /// A spot machine, for a job that has no time to lose a task with it.
    pub revocable: bool,
    /// How far the task's image is, in steps of [`ImageDistance`](super::image_locality::ImageDistance).
    pub image_distance: u8,
    /// A machine kept for large work, lent to a small task.
    pub borrowed: bool,
}

/// Machines whose CPU costs at most so many times that of the cheapest of their tier count as equally cheap.
const PRICE_TOLERANCE_RATIO: f64 = 1.6;

/// A machine in the queue.
#[derive(Debug, Clone, Copy)]
struct RankedCandidate {
    /// By the pricing rule: the lowest comes first.
    rank: f64,
    candidate: usize,
    distance_once_requested: u8,
    load: MachineLoad,
}

impl Ord for RankedCandidate {
    /// The reverse of the order of selection, as a `BinaryHeap` yields the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        let lowest_rank_greatest = other.rank.total_cmp(&self.rank);
        lowest_rank_greatest.then(other.candidate.cmp(&self.candidate))
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

/// Machines of one tier at one price of a CPU. The order is that of the tiers, then of the prices.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PriceGroup {
    tier: CandidateTier,
    /// The bits of the price: those of positive numbers are in the order of the numbers.
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

    /// The dearest group that counts as equally cheap, if this is the cheapest of its tier.
    fn dearest_equivalent(&self) -> Self {
        PriceGroup {
            tier: self.tier,
            unit_price_bits: (self.unit_price() * PRICE_TOLERANCE_RATIO).to_bits(),
        }
    }
}

/// The machine chosen for a task.
#[derive(Debug, Clone, Copy)]
pub struct Selection {
    /// The machine, by the number under which it was pushed.
    pub candidate: usize,
    /// Its load and price with the task.
    pub load_after: MachineLoad,
}

/// The machines that a job's tasks may go to, in the order in which they are chosen.
#[derive(Debug)]
pub struct CandidateQueue {
    rule: PricingRule,
    demand: Resources,
    weight: f64,
    groups: BTreeMap<PriceGroup, BinaryHeap<RankedCandidate>>,
    has_omissions: bool,
}

impl CandidateQueue {
    /// An empty queue for tasks of this demand, whose job has this weight.
    pub fn new(rule: PricingRule, demand: Resources, weight: f64) -> Self {
        CandidateQueue {
            rule,
            demand,
            weight,
            groups: BTreeMap::new(),
            has_omissions: false,
        }
    }

    /// Notes that a machine with room was left out, as its image would come too late there.
    pub fn record_omission(&mut self) {
        self.has_omissions = true;
    }

    /// Whether machines with room were left out.
    pub fn has_omissions(&self) -> bool {
        self.has_omissions
    }

    /// Adds a machine, unless the pricing rule refuses it. `unit_price` is what a CPU costs there, and positive;
    /// `distance_once_requested` is how far the image is for further tasks, once the first has requested it.
    pub fn push(
        &mut self,
        candidate: usize,
        tier: CandidateTier,
        distance_once_requested: u8,
        unit_price: f64,
        load: MachineLoad,
    ) {
        let Some(rank) = self.rule.selection_rank(self.demand, self.weight, &load) else {
            return;
        };
        let ranked = RankedCandidate {
            rank,
            candidate,
            distance_once_requested,
            load,
        };
        let group = PriceGroup::new(tier, unit_price);
        self.groups.entry(group).or_default().push(ranked);
    }

    /// Chooses the machine for the next task and puts it back with the load that it then has. What `is_allowed` refuses
    /// once it must refuse from then on.
    pub fn pop(&mut self, is_allowed: impl Fn(usize) -> bool) -> Option<Selection> {
        self.drop_disallowed(is_allowed);
        let group = self.best_group()?;
        let chosen = self.groups.get_mut(&group)?.pop()?;
        let load_after = self.rule.load_with_task(self.demand, &chosen.load);
        let tier = CandidateTier {
            image_distance: chosen.distance_once_requested,
            ..group.tier
        };
        self.push(
            chosen.candidate,
            tier,
            chosen.distance_once_requested,
            group.unit_price(),
            load_after,
        );
        Some(Selection {
            candidate: chosen.candidate,
            load_after,
        })
    }

    /// Removes machines that are no longer allowed from the head of each group, and groups left empty.
    fn drop_disallowed(&mut self, is_allowed: impl Fn(usize) -> bool) {
        self.groups.retain(|_, heap| {
            while heap.peek().is_some_and(|c| !is_allowed(c.candidate)) {
                heap.pop();
            }
            !heap.is_empty()
        });
    }

    /// The group whose head the rule ranks best, among those of the first tier that are about as cheap as its cheapest.
    fn best_group(&self) -> Option<PriceGroup> {
        let (cheapest, _) = self.groups.first_key_value()?;
        let (group, _) = self
            .groups
            .range(*cheapest..=cheapest.dearest_equivalent())
            .filter_map(|(group, heap)| Some((*group, heap.peek()?)))
            .max_by(|a, b| a.1.cmp(b.1))?;
        Some(group)
    }
}

#[cfg(test)]
mod tests;
