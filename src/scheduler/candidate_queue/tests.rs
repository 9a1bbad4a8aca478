//! Tests of `candidate_queue`.

use super::*;
use crate::scheduler::pricing::tests::choose;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

struct Machine {
    tier: CandidateTier,
    wait_level_once_requested: u8,
    unit_price: f64,
    load: MachineLoad,
}

/// Reference implementation of the selection: scans all machines for each task.
fn choose_exhaustively(
    rule: &PricingRule,
    demand: Resources,
    weight: f64,
    machines: &[Machine],
) -> Option<usize> {
    let fits = |machine: &&Machine| demand.fits(machine.load.free());
    let tiers = machines.iter().filter(fits).map(|machine| machine.tier);
    let tier = tiers.min()?;
    let in_tier = |machine: &&Machine| fits(machine) && machine.tier == tier;
    let in_first_tier = machines.iter().filter(in_tier);
    let unit_prices = in_first_tier.map(|machine| machine.unit_price);
    let cheapest = unit_prices.fold(f64::INFINITY, f64::min);
    let allowed = machines
        .iter()
        .enumerate()
        .filter(|(_, machine)| {
            in_tier(machine) && machine.unit_price <= cheapest * PRICE_TOLERANCE_RATIO
        })
        .map(|(index, machine)| (index, machine.load));
    choose(rule, demand, weight, allowed).map(|(index, _)| index)
}

/// Guards against a queue that selects other machines than a scan of all of them would. This happens if its groups or
/// heaps get out of order, or if the load of a selected machine is not updated.
#[test]
fn selections_equal_those_of_the_exhaustive_search() {
    let mut rng = SmallRng::seed_from_u64(7);
    let rule = PricingRule::new(0.5, 0.5);
    for round in 0..60 {
        let mut machines: Vec<Machine> = (0..40)
            .map(|_| {
                let cpus = [8.0, 16.0, 64.0][rng.random_range(0..3)];
                let capacity = Resources {
                    cpus,
                    gpus: 0.0,
                    memory_gb: cpus * 4.0,
                };
                let used = capacity.times(f64::from(rng.random_range(0..5)) / 4.0);
                let image_wait_level = rng.random_range(0..4);
                Machine {
                    wait_level_once_requested: rng.random_range(0..=image_wait_level),
                    tier: CandidateTier {
                        avoided_spot: rng.random_range(0..4) == 0,
                        image_wait_level,
                        borrowed: rng.random_range(0..3) == 0,
                    },
                    unit_price: [0.01, 0.012, 0.05][rng.random_range(0..3)],
                    load: MachineLoad {
                        capacity,
                        used,
                        price: rule.price_of_load(used.largest_share(capacity)),
                        free_attempts: u32::MAX,
                    },
                }
            })
            .collect();
        let cpus = [1.0, 2.0, 6.0, 30.0][round % 4];
        let demand = Resources {
            cpus,
            gpus: 0.0,
            memory_gb: cpus * 2.0,
        };
        let mut queue = CandidateQueue::new(rule, demand, 2.0);
        for (index, machine) in machines.iter().enumerate() {
            queue.push(
                index,
                machine.tier,
                machine.wait_level_once_requested,
                machine.unit_price,
                machine.load,
            );
        }
        let mut placed = 0;
        loop {
            let expected = choose_exhaustively(&rule, demand, 2.0, &machines);
            let selected = queue.select_next(|_| true);
            assert_eq!(
                selected.map(|selection| selection.candidate_index),
                expected,
                "round {round}"
            );
            let Some(selection) = selected else { break };
            let machine = &mut machines[selection.candidate_index];
            machine.load = selection.load_after;
            machine.tier.image_wait_level = machine.wait_level_once_requested;
            placed += 1;
        }
        assert!(placed > 0);
    }
}
