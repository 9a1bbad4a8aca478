//! Tests of `pricing`.

use super::*;

/// Chooses a machine for a task of this demand and weight by a scan of the allowed machines. Returns the machine's
/// position and its price with the task on it, or None if no machine has enough free capacity at a cost below 1.
pub fn choose(
    rule: &PricingRule,
    demand: Resources,
    weight: f64,
    allowed: impl Iterator<Item = (usize, MachineLoad)>,
) -> Option<(usize, f64)> {
    let mut best: Option<(f64, usize, MachineLoad)> = None;
    for (position, load) in allowed {
        if let Some(rank) = rule.selection_rank(demand, weight, &load)
            && best
                .as_ref()
                .is_none_or(|(lowest_rank, ..)| rank < *lowest_rank)
        {
            best = Some((rank, position, load));
        }
    }
    best.map(|(_, position, load)| (position, rule.load_with_task(demand, &load).price))
}

fn machine(cpus: f64, used: f64, price: f64) -> MachineLoad {
    let resources = |cpus| Resources {
        cpus,
        gpus: 0.0,
        memory_gb: cpus * 4.0,
    };
    MachineLoad {
        capacity: resources(cpus),
        used: resources(used),
        price,
        free_attempts: u32::MAX,
    }
}

fn task(cpus: f64) -> Resources {
    Resources {
        cpus,
        gpus: 0.0,
        memory_gb: cpus,
    }
}

/// Checks the prices against a calculation by hand with ρ = 0.5, so φ = 2, and two machines of 8 and 16 CPUs. A task of
/// 4 CPUs raises their dominant shares by 1/2 and 1/4.
///
/// 1. Both prices are 0, the first machine is chosen: its price becomes 0 × 1.5 + 0.5/2 = 0.25.
/// 2. The second machine is cheaper: 0 × 1.25 + 0.25/2 = 0.125.
/// 3. The second machine is still cheaper (0.125 < 0.25): 0.125 × 1.25 + 0.125 = 0.28125.
/// 4. The first machine is cheaper: 0.25 × 1.5 + 0.25 = 0.625, and it is full.
#[test]
fn prices_follow_the_worked_example() {
    let rule = PricingRule::new(0.5, 0.5);
    let mut machines = [machine(8.0, 0.0, 0.0), machine(16.0, 0.0, 0.0)];
    let mut choices = Vec::new();
    for _ in 0..4 {
        let all = machines.iter().copied().enumerate();
        let (index, price) = choose(&rule, task(4.0), 1.0, all).unwrap();
        machines[index].price = price;
        machines[index].used = machines[index].used.plus(task(4.0));
        choices.push((index, price));
    }
    assert_eq!(choices, [(0, 0.25), (1, 0.125), (1, 0.28125), (0, 0.625)]);
    assert!((rule.price_of_load(0.5) - (0.5f64.exp() - 1.0) / 2.0).abs() < 1e-12);
}

/// Guards against a ρ at which the rule refuses tasks although machines have free capacity. This happens if a nearly
/// full machine gets a price of 1 or more, the limit for a job of weight 1: 0.579 is low enough, 0.6 is too high. The
/// upper bound `RHO_MAX` of the setting is between the two.
#[test]
fn no_task_is_refused_while_a_machine_has_free_capacity() {
    let rule = PricingRule::new(0.579, 0.5);
    let price_when_full = rule.price_of_load(1.0);
    assert!(price_when_full < 1.0, "{price_when_full}");
    let nearly_full = machine(100.0, 99.0, rule.price_of_load(0.99));
    assert!(choose(&rule, task(1.0), 1.0, [(0, nearly_full)].into_iter()).is_some());
    let too_steep_rule = PricingRule::new(0.6, 0.5);
    assert!(too_steep_rule.price_of_load(1.0) > 1.0);
}

/// Guards against a large task that takes an emptier machine although it fits a fuller one: large tasks are placed by
/// best fit, small tasks by price.
#[test]
fn large_tasks_use_the_fullest_machine_that_they_fit() {
    let rule = PricingRule::new(0.5, 0.5);
    let machines = [
        machine(16.0, 0.0, 0.0),
        machine(16.0, 2.0, 0.1),
        machine(16.0, 8.0, 0.3),
    ];
    let choose = |cpus| choose(&rule, task(cpus), 1.0, machines.iter().copied().enumerate());
    assert_eq!(choose(9.0).unwrap().0, 1);
    assert_eq!(choose(2.0).unwrap().0, 0);
}
