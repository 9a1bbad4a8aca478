//! Tests of `pricing`.

use super::*;

/// Chooses for a task of this demand and weight among the allowed machines, looking at each: the position
/// of the machine and its price afterwards. None if no machine has room at a cost below 1.
pub fn choose(
    rule: &PricingRule,
    demand: Resources,
    weight: f64,
    allowed: impl Iterator<Item = (usize, MachineLoad)>,
) -> Option<(usize, f64)> {
    let mut best: Option<(f64, usize, MachineLoad)> = None;
    for (position, load) in allowed {
        if let Some(rank) = rule.selection_rank(demand, weight, &load)
            && best.as_ref().is_none_or(|(least, ..)| rank < *least)
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
    }
}

fn task(cpus: f64) -> Resources {
    Resources {
        cpus,
        gpus: 0.0,
        memory_gb: cpus,
    }
}

/// Worked by hand with ρ = 0.5, so φ = 2, and two machines of 8 and 16 CPUs. A task of 4 CPUs:
/// rises 1/2 and 1/4. First both prices are 0 and the first machine is taken: its price
/// becomes 0 × 1.5 + 0.5/2 = 0.25. The next goes to the second: 0 × 1.25 + 0.25/2 = 0.125.
/// The next again, as 0.125 < 0.25: 0.125 × 1.25 + 0.125 = 0.28125. Then the first:
/// 0.25 × 1.5 + 0.25 = 0.625, and it is full.
#[test]
fn prices_follow_the_worked_example() {
    let rule = PricingRule::new(0.5, 0.5);
    let mut machines = [machine(8.0, 0.0, 0.0), machine(16.0, 0.0, 0.0)];
    let mut taken = Vec::new();
    for _ in 0..4 {
        let all = machines.iter().copied().enumerate();
        let (at, price) = choose(&rule, task(4.0), 1.0, all).unwrap();
        machines[at].price = price;
        machines[at].used = machines[at].used.plus(task(4.0));
        taken.push((at, price));
    }
    assert_eq!(taken, [(0, 0.25), (1, 0.125), (1, 0.28125), (0, 0.625)]);
    assert!((rule.price_of_load(0.5) - (0.5f64.exp() - 1.0) / 2.0).abs() < 1e-12);
}

#[test]
fn no_task_is_refused_while_a_machine_has_room() {
    let rule = PricingRule::new(0.579, 0.5);
    let full = rule.price_of_load(1.0);
    assert!(full < 1.0, "{full}");
    let nearly = machine(100.0, 99.0, rule.price_of_load(0.99));
    assert!(choose(&rule, task(1.0), 1.0, [(0, nearly)].into_iter()).is_some());
    let over = PricingRule::new(0.6, 0.5);
    assert!(over.price_of_load(1.0) > 1.0);
}

#[test]
fn large_tasks_take_the_fullest_machine_they_fit() {
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
