//! `quota-schemes`: the escrow beside two simpler schemes on the same demand, and the cost of a decision at size.

use std::collections::BTreeSet;
use std::hint::black_box;
use std::rc::Rc;
use std::time::Instant;

use loadtest::schemes::{Demand, SchemeResult, escrow, fixed_shares, one_counter};
use quota::{
    AccountChange, Admissions, AllotmentRecord, AttemptOutcome, Decision, Ledger, QuotaAmount,
    QuotaSettings, SettingsRecord, SharedRecord, TeamRecord,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ROUNDS: usize = 500;
const LIMIT: f64 = 400.0;
/// Rewrites of one counter that succeed between two heartbeats of 1.2 s, at a round trip of 10 ms.
const REWRITES: usize = 120;
const DECISIONS: u32 = 200_000;

/// Demand of about `load` times the limit; `skew` of the users reach the first controller, the others any.
fn demand(seed: u64, controllers: usize, load: f64, skew: f64) -> Vec<Vec<Demand>> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mean_rounds = 20.0;
    let mean_cpus = 4.5;
    let per_round = load * LIMIT / (mean_rounds * mean_cpus);
    (0..ROUNDS)
        .map(|_| {
            let count = (per_round * rng.random_range(0.0..2.0)).round() as usize;
            (0..count)
                .map(|_| Demand {
                    controller: if rng.random_bool(skew) {
                        0
                    } else {
                        rng.random_range(0..controllers)
                    },
                    cpus: f64::from(rng.random_range(1..9_u32)),
                    rounds: rng.random_range(10..31),
                })
                .collect()
        })
        .collect()
}

fn print(name: &str, result: SchemeResult) {
    let writes = f64::from(result.writes) / f64::from(result.admitted.max(1));
    println!(
        "{name}: used {:.3}, admitted {}, refused in vain {}, refused {}, other writes a job {writes:.2}",
        result.used, result.admitted, result.refused_despite_room, result.refused
    );
}

/// Nanoseconds of a decision and its settlement, with so many teams and controllers.
fn decision_ns(teams: usize, controllers: usize) -> f64 {
    let section = toml::from_str("total = { cpus = 1000000 }").expect("a constant text");
    let settings = QuotaSettings::check(&section, &BTreeSet::new()).expect("constant figures");
    let settings = Rc::new(settings);
    let mut admissions = Admissions::new("n0", 1, controllers, settings.clone());
    let mut ledger = Ledger::default();
    let record = SettingsRecord {
        digest: settings.digest(),
        generation: 1,
        open: true,
    };
    ledger.apply(AccountChange::Settings(Some(record)), 1);
    let free = QuotaAmount::ZERO;
    ledger.apply(AccountChange::Shared(Some(SharedRecord { free })), 1);
    let size = QuotaAmount::of_job(1, 50.0, 0.0, 0.0);
    for team in 0..teams {
        let name: Rc<str> = format!("team-{team}").as_str().into();
        let record = TeamRecord {
            generation: 1,
            held: size,
            free,
            uncharged: free,
        };
        ledger.apply(AccountChange::Team(name.clone(), Some(record)), 2);
        for node in 0..controllers {
            let change = AccountChange::Allotment {
                team: name.clone(),
                node: format!("n{node}").as_str().into(),
                record: Some(AllotmentRecord {
                    incarnation: node as u64 + 1,
                    size,
                }),
            };
            ledger.apply(change, 2);
        }
    }
    ledger.advance_to(2);
    let names: Vec<String> = (0..teams).map(|team| format!("team-{team}")).collect();
    let charge = QuotaAmount::of_job(1, 2.0, 0.0, 0.0);
    let began = Instant::now();
    for number in 0..DECISIONS {
        // A step that is prime to the number of teams visits them out of order.
        let team = &names[number as usize * 7919 % teams];
        let decision = admissions.decide(&ledger, "j-1", team, charge, 0.0);
        let Decision::Admitted(attempt) = black_box(decision) else {
            panic!("there is room");
        };
        admissions.finish(&attempt, AttemptOutcome::NotApplied, 0.0);
    }
    began.elapsed().as_nanos() as f64 / f64::from(DECISIONS)
}

fn main() {
    for (load, skew) in [(0.8, 0.0), (1.5, 0.0), (1.5, 0.8), (3.0, 0.8)] {
        let rounds = demand(1, 3, load, skew);
        println!("three controllers, demand {load} of the limit, {skew} of it at one of them");
        print("  escrow", escrow(&rounds, LIMIT, 3));
        print("  fixed shares", fixed_shares(&rounds, LIMIT, 3));
        print("  one counter", one_counter(&rounds, LIMIT, REWRITES));
    }
    for (teams, controllers) in [(10, 3), (10_000, 3), (10_000, 100)] {
        let nanos = decision_ns(teams, controllers);
        println!("a decision with {teams} teams and {controllers} controllers: {nanos:.0} ns");
    }
}
