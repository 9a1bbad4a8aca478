//! Picks machines for the tasks of a job, one after the other, by the pricing rule. Looking at all
//! machines for each task takes the leader's whole processor share at some thousand machines; here
//! they are looked at once for each job, and a task costs no more than the place it takes.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};

use crate::pricing::{Amount, Candidate, Rule};

/// Which machines come before which, whatever their prices.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Tier {
    /// How far the task's image is, where that matters: 0 is near enough.
    pub far: u8,
    /// Meant for other work.
    pub borrowed: bool,
}

/// Machines that cost at most this much more than the cheapest of their tier count like it.
const CHEAP: f64 = 1.6;

/// A machine that may be picked.
#[derive(Debug, Clone, Copy)]
struct Offer {
    /// The rule's order: the least comes first.
    key: f64,
    at: usize,
    /// How far the image is once the machine was asked for it.
    asked: u8,
    now: Candidate,
}

impl Ord for Offer {
    fn cmp(&self, other: &Self) -> Ordering {
        let least_first = other.key.total_cmp(&self.key);
        least_first.then(other.at.cmp(&self.at))
    }
}

impl PartialOrd for Offer {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Offer {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Offer {}

/// The machines that a job's tasks may go to, in the order in which they would be picked.
#[derive(Debug)]
pub struct Picker {
    rule: Rule,
    demand: Amount,
    weight: f64,
    /// By tier and by what a CPU costs there.
    offers: BTreeMap<(Tier, u64), BinaryHeap<Offer>>,
    partial: bool,
}

impl Picker {
    /// For tasks of size `demand`, worth `weight`.
    pub fn new(rule: Rule, demand: Amount, weight: f64) -> Self {
        Picker {
            rule,
            demand,
            weight,
            offers: BTreeMap::new(),
            partial: false,
        }
    }

    /// A machine with room is not offered for now.
    pub fn leave_out(&mut self) {
        self.partial = true;
    }

    /// Whether machines with room were left out.
    pub fn is_partial(&self) -> bool {
        self.partial
    }

    /// Offers a machine; what a CPU costs there is positive. `asked` is how far the image is for
    /// further tasks, once the first has asked for it.
    pub fn offer(&mut self, at: usize, tier: Tier, asked: u8, cost: f64, now: Candidate) {
        if let Some(key) = self.rule.key(self.demand, self.weight, &now) {
            let offer = Offer {
                key,
                at,
                asked,
                now,
            };
            // Positive numbers are in the order of their bits.
            let place = (tier, cost.max(0.0).to_bits());
            self.offers.entry(place).or_default().push(offer);
        }
    }

    /// The machine for the next task, and how it is afterwards. What `allow` refuses once it must
    /// refuse from then on.
    pub fn pick(&mut self, allow: impl Fn(usize) -> bool) -> Option<(usize, Candidate)> {
        self.offers.retain(|_, heap| {
            while heap.peek().is_some_and(|o| !allow(o.at)) {
                heap.pop();
            }
            !heap.is_empty()
        });
        let ((tier, cheapest), _) = self.offers.first_key_value()?;
        let limit = f64::from_bits(*cheapest) * CHEAP;
        let range = (*tier, *cheapest)..=(*tier, limit.to_bits());
        let (place, _) = self
            .offers
            .range(range)
            .filter_map(|(place, heap)| Some((*place, heap.peek()?)))
            .max_by(|a, b| a.1.cmp(b.1))?;
        let offer = self.offers.get_mut(&place)?.pop()?;
        let now = self.rule.placed(self.demand, &offer.now);
        let (tier, cost) = place;
        let far = offer.asked;
        let tier = Tier { far, ..tier };
        self.offer(offer.at, tier, far, f64::from_bits(cost), now);
        Some((offer.at, now))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::rngs::SmallRng;
    use rand::{RngExt, SeedableRng};

    struct Plain {
        tier: Tier,
        asked: u8,
        cost: f64,
        now: Candidate,
    }

    /// The same choice with all machines looked at for each task.
    fn plain(rule: &Rule, demand: Amount, weight: f64, all: &[Plain]) -> Option<usize> {
        let fits = |p: &&Plain| demand.fits(p.now.capacity.minus(p.now.used));
        let tier = all.iter().filter(fits).map(|p| p.tier).min()?;
        let in_tier = |p: &&Plain| fits(p) && p.tier == tier;
        let costs = all.iter().filter(in_tier).map(|p| p.cost);
        let cheapest = costs.fold(f64::INFINITY, f64::min);
        let allowed = all
            .iter()
            .enumerate()
            .filter(|(_, p)| in_tier(p) && p.cost <= cheapest * CHEAP);
        let chosen = rule.choose(demand, weight, allowed.map(|(at, p)| (at, p.now)));
        chosen.map(|(at, _)| at)
    }

    #[test]
    fn picks_are_those_of_the_plain_form() {
        let mut rng = SmallRng::seed_from_u64(7);
        let rule = Rule::new(0.5, 0.5);
        for round in 0..60 {
            let mut all: Vec<Plain> = (0..40)
                .map(|_| {
                    let cpus = [8.0, 16.0, 64.0][rng.random_range(0..3)];
                    let capacity = Amount {
                        cpus,
                        gpus: 0.0,
                        memory_gb: cpus * 4.0,
                    };
                    let used = capacity.times(f64::from(rng.random_range(0..5)) / 4.0);
                    let far = rng.random_range(0..4);
                    Plain {
                        asked: rng.random_range(0..=far),
                        tier: Tier {
                            far,
                            borrowed: rng.random_range(0..3) == 0,
                        },
                        cost: [0.01, 0.012, 0.05][rng.random_range(0..3)],
                        now: Candidate {
                            capacity,
                            used,
                            price: rule.price_of_load(used.largest_share(capacity)),
                        },
                    }
                })
                .collect();
            let cpus = [1.0, 2.0, 6.0, 30.0][round % 4];
            let demand = Amount {
                cpus,
                gpus: 0.0,
                memory_gb: cpus * 2.0,
            };
            let mut picker = Picker::new(rule, demand, 2.0);
            for (at, p) in all.iter().enumerate() {
                picker.offer(at, p.tier, p.asked, p.cost, p.now);
            }
            let mut placed = 0;
            loop {
                let expected = plain(&rule, demand, 2.0, &all);
                let picked = picker.pick(|_| true);
                assert_eq!(picked.map(|(at, _)| at), expected, "round {round}");
                let Some((at, now)) = picked else { break };
                all[at].now = now;
                all[at].tier.far = all[at].asked;
                placed += 1;
            }
            assert!(placed > 0);
        }
    }
}
