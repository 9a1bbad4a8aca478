//! `quota-schemes`: compares the escrow scheme with two simpler schemes on the same demand, and measures the time of an
//! admission decision with many teams and controllers.

use std::collections::BTreeSet;
use std::hint::black_box;
use std::rc::Rc;
use std::time::Instant;

use loadtest::schemes::{Demand, SchemeResult, escrow, fixed_shares, shared_counter};
use quota::{
    AccountChange, Admissions, AllotmentRecord, AttemptOutcome, Decision, Ledger, QuotaAmount,
    QuotaSettings, SettingsRecord, SharedRecord, TeamRecord,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ROUNDS: usize = 500;
/// Limit that the schemes divide, in CPUs.
const LIMIT: f64 = 400.0;
/// Number of rewrites of the shared counter that succeed in a heartbeat interval of 1.2 s, with a round trip of 10 ms.
const WRITES_PER_ROUND: usize = 120;
/// Number of decisions in a measurement.
const DECISIONS: u32 = 200_000;

/// Generates a demand of about `load` times the limit. The fraction `skew` of submissions goes to the first controller,
/// the rest to random controllers.
fn demand(seed: u64, controllers: usize, load: f64, skew: f64) -> Vec<Vec<Demand>> {
    let mut rng = StdRng::seed_from_u64(seed);
    // Means of the ranges from which `rounds` and `cpus` are drawn below.
    let mean_rounds = 20.0;
    let mean_cpus = 4.5;
    let jobs_per_round = load * LIMIT / (mean_rounds * mean_cpus);
    (0..ROUNDS)
        .map(|_| {
            let count = (jobs_per_round * rng.random_range(0.0..2.0)).round() as usize;
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

fn print_result(name: &str, result: SchemeResult) {
    let writes = f64::from(result.writes) / f64::from(result.admitted.max(1));
    println!(
        "{name}: used {:.3}, admitted {}, refused in vain {}, refused {}, other writes a job {writes:.2}",
        result.used, result.admitted, result.refused_despite_capacity, result.refused
    );
}

/// Returns the mean time of a decision and the completion of its attempt in nanoseconds.
fn decision_ns(teams: usize, controllers: usize) -> f64 {
    let section =
        toml::from_str("total = { cpus = 1000000 }").expect("the constant settings are valid TOML");
    let settings =
        QuotaSettings::check(&section, &BTreeSet::new()).expect("the constant settings are valid");
    let settings = Rc::new(settings);
    let mut admissions = Admissions::new("n0", 1, controllers, settings.clone());
    let mut ledger = Ledger::default();
    let record = SettingsRecord {
        digest: settings.digest(),
        generation: 1,
        open: true,
    };
    ledger.apply(AccountChange::Settings(Some(record)), 1);
    let zero = QuotaAmount::ZERO;
    ledger.apply(AccountChange::Shared(Some(SharedRecord { free: zero })), 1);
    let size = QuotaAmount::of_job(1, 50.0, 0.0, 0.0);
    for team in 0..teams {
        let name: Rc<str> = format!("team-{team}").as_str().into();
        let record = TeamRecord {
            generation: 1,
            held: size,
            free: zero,
            uncharged: zero,
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
    let started_at = Instant::now();
    for number in 0..DECISIONS {
        // The step is coprime to the number of teams, so it visits all of them, out of order.
        let team = &names[number as usize * 7919 % teams];
        let decision = admissions.decide(&ledger, "j-1", team, charge, 0.0);
        let Decision::Admitted(attempt) = black_box(decision) else {
            panic!("the allotment is large enough for the job");
        };
        admissions.finish(&attempt, AttemptOutcome::NotApplied, 0.0);
    }
    started_at.elapsed().as_nanos() as f64 / f64::from(DECISIONS)
}

fn main() {
    for (load, skew) in [(0.8, 0.0), (1.5, 0.0), (1.5, 0.8), (3.0, 0.8)] {
        let rounds = demand(1, 3, load, skew);
        println!("three controllers, demand {load} of the limit, {skew} of it at one of them");
        print_result("  escrow", escrow(&rounds, LIMIT, 3));
        print_result("  fixed shares", fixed_shares(&rounds, LIMIT, 3));
        print_result(
            "  one counter",
            shared_counter(&rounds, LIMIT, WRITES_PER_ROUND),
        );
    }
    for (teams, controllers) in [(10, 3), (10_000, 3), (10_000, 100)] {
        let nanos = decision_ns(teams, controllers);
        println!("a decision with {teams} teams and {controllers} controllers: {nanos:.0} ns");
    }
}
