//! Simulates schemes that divide a quota limit among controllers. All schemes get the same demand, in rounds of one
//! heartbeat interval. In the escrow scheme, each controller admits jobs from its own allotment. This scheme runs the
//! production code of the `quota` crate against a store without latency; the others are models of their rules.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use quota::supervise::Supervisor;
use quota::{
    AccountId, Admissions, Attempt, AttemptOutcome, Decision, Ledger, Plan, QuotaAmount,
    QuotaSettings, RevisionCondition, transfer,
};

/// A submitted job.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// Index of the controller that receives the submission.
    pub controller: usize,
    /// CPUs that the job uses.
    pub cpus: f64,
    /// Number of rounds from the admission of the job to its end.
    pub rounds: u32,
}

/// Outcome of a simulation of one scheme.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SchemeResult {
    /// Number of jobs admitted.
    pub admitted: u32,
    /// Number of jobs refused although the unused part of the whole limit was large enough for them.
    pub refused_despite_capacity: u32,
    /// Number of jobs refused because the whole limit had too little capacity left.
    pub refused: u32,
    /// Number of writes to the store in addition to those of the jobs' own records.
    pub writes: u32,
    /// Fraction of the limit in use at the end of a round, averaged over all rounds.
    pub used: f64,
}

/// Accounting common to all schemes: the limit, the usage, and the rounds in which jobs end.
struct UsageAccounting {
    limit: f64,
    used: f64,
    /// By round: controller and CPUs of each job that ends in it.
    ends: BTreeMap<u32, Vec<(usize, f64)>>,
    /// Its `used` is the sum over the rounds; [`Self::result`] turns it into the average.
    result: SchemeResult,
    rounds: u32,
}

impl UsageAccounting {
    fn new(limit: f64) -> Self {
        UsageAccounting {
            limit,
            used: 0.0,
            ends: BTreeMap::new(),
            result: SchemeResult::default(),
            rounds: 0,
        }
    }

    /// Releases the jobs that end in a round and returns their controllers and CPUs.
    fn begin_round(&mut self, round: u32) -> Vec<(usize, f64)> {
        let ended = self.ends.remove(&round).unwrap_or_default();
        self.used -= ended.iter().map(|(_, cpus)| cpus).sum::<f64>();
        ended
    }

    fn admit(&mut self, round: u32, demand: Demand) {
        self.used += demand.cpus;
        assert!(
            self.used <= self.limit + 1e-6,
            "the admitted jobs exceed the limit"
        );
        let ends_in_round = self.ends.entry(round + demand.rounds).or_default();
        ends_in_round.push((demand.controller, demand.cpus));
        self.result.admitted += 1;
    }

    fn refuse(&mut self, demand: Demand) {
        if self.used + demand.cpus <= self.limit + 1e-6 {
            self.result.refused_despite_capacity += 1;
        } else {
            self.result.refused += 1;
        }
    }

    fn end_round(&mut self) {
        self.rounds += 1;
        self.result.used += self.used / self.limit;
    }

    fn result(self) -> SchemeResult {
        SchemeResult {
            used: self.result.used / f64::from(self.rounds.max(1)),
            ..self.result
        }
    }
}

/// Gives each controller an equal and constant share of the limit.
pub fn fixed_shares(rounds: &[Vec<Demand>], limit: f64, controllers: usize) -> SchemeResult {
    let mut accounting = UsageAccounting::new(limit);
    let share = limit / controllers as f64;
    let mut used = vec![0.0; controllers];
    for (round, demands) in (0..).zip(rounds) {
        for (controller, cpus) in accounting.begin_round(round) {
            used[controller] -= cpus;
        }
        for demand in demands {
            if used[demand.controller] + demand.cpus <= share + 1e-6 {
                used[demand.controller] += demand.cpus;
                accounting.admit(round, *demand);
            } else {
                accounting.refuse(*demand);
            }
        }
        accounting.end_round();
    }
    accounting.result()
}

/// Keeps the usage in one counter in the store, which is rewritten for each admission and each job that ends. In each
/// round, `writes_per_round` rewrites succeed: of concurrent conditional writes only one succeeds, and the others
/// retry after a round trip. Rewrites for ended jobs come first and all succeed; admissions get the remaining ones.
pub fn shared_counter(rounds: &[Vec<Demand>], limit: f64, writes_per_round: usize) -> SchemeResult {
    let mut accounting = UsageAccounting::new(limit);
    for (round, demands) in (0..).zip(rounds) {
        let ended = accounting.begin_round(round).len();
        accounting.result.writes += ended as u32;
        let mut writes_left = writes_per_round.saturating_sub(ended);
        for demand in demands {
            if writes_left > 0 && accounting.used + demand.cpus <= limit + 1e-6 {
                writes_left -= 1;
                accounting.result.writes += 1;
                accounting.admit(round, *demand);
            } else {
                accounting.refuse(*demand);
            }
        }
        accounting.end_round();
    }
    accounting.result()
}

/// A controller of the escrow scheme.
struct Controller {
    admissions: Admissions,
    supervisor: Supervisor,
}

/// The accounts and controllers of the escrow scheme. Every controller sees a change as soon as it is made.
struct Escrow {
    ledger: Ledger,
    revision: u64,
    /// Revision of the last change of each account.
    revisions: BTreeMap<AccountId, u64>,
    controllers: Vec<Controller>,
    writes: u32,
}

impl Escrow {
    fn new(settings: &Rc<QuotaSettings>, controllers: usize) -> Self {
        let controller = |index: usize| Controller {
            admissions: Admissions::new(
                &format!("n{index}"),
                index as u64 + 1,
                controllers,
                settings.clone(),
            ),
            supervisor: Supervisor::default(),
        };
        let mut escrow = Escrow {
            ledger: Ledger::default(),
            revision: 0,
            revisions: BTreeMap::new(),
            controllers: (0..controllers).map(controller).collect(),
            writes: 0,
        };
        while escrow.supervise() {}
        // The result counts no writes that set up the accounts.
        escrow.writes = 0;
        escrow
    }

    /// Applies a plan as one transaction. Returns false if one of its conditions does not hold.
    fn apply(&mut self, plan: &Plan) -> bool {
        let holds = |condition: &RevisionCondition| {
            let revision = self.revisions.get(&condition.account).copied();
            revision.unwrap_or(0) == condition.revision
        };
        if !plan.conditions.iter().all(holds) {
            return false;
        }
        self.revision += 1;
        for change in &plan.changes {
            self.writes += 1;
            self.revisions.insert(change.account(), self.revision);
            self.ledger.apply(change.clone(), self.revision);
        }
        self.ledger.advance_to(self.revision);
        true
    }

    /// Applies the next plan of the first controller's supervisor. Returns false if there is none or it was rejected.
    fn supervise(&mut self) -> bool {
        let first = &mut self.controllers[0];
        let plan = first
            .supervisor
            .next_plan(&mut self.ledger, &first.admissions, |_| false);
        plan.is_some_and(|plan| self.apply(&plan))
    }

    /// Applies a controller's transfer, if there is one, and marks the transfer as completed.
    fn apply_transfer(&mut self, index: usize, plan: Option<Plan>, team: &str) -> bool {
        let applied = plan.is_some_and(|plan| self.apply(&plan));
        self.controllers[index].admissions.transfer_settled(team);
        applied
    }

    /// Decides on a job at a controller, with one refill of its allotment if necessary. `None`: the job is refused.
    fn decide(&mut self, index: usize, id: &str, charge: QuotaAmount, now: f64) -> Option<Attempt> {
        for _ in 0..2 {
            let admissions = &mut self.controllers[index].admissions;
            match admissions.decide(&self.ledger, id, TEAM, charge, now) {
                Decision::Admitted(attempt) => return Some(attempt),
                Decision::NeedsRefill => {
                    let admissions = &self.controllers[index].admissions;
                    let plan =
                        transfer::refill(&self.ledger, admissions, &TEAM.into(), charge, now);
                    self.apply_transfer(index, plan, TEAM);
                }
                _ => return None,
            }
        }
        None
    }

    /// Announces the shortages of each controller to all controllers. Then each controller grants units to others or
    /// releases unused ones.
    fn heartbeat(&mut self, now: f64) {
        for sender in 0..self.controllers.len() {
            let shortages = self.controllers[sender].admissions.shortages(now);
            let node: Rc<str> = format!("n{sender}").as_str().into();
            for controller in &mut self.controllers {
                for (team, amount) in &shortages {
                    controller.admissions.on_request(&node, team, *amount, now);
                }
            }
        }
        for index in 0..self.controllers.len() {
            let admissions = &mut self.controllers[index].admissions;
            let plan = transfer::grant(&self.ledger, admissions, now)
                .or_else(|| transfer::release_unused(&self.ledger, admissions, now));
            self.apply_transfer(index, plan, TEAM);
        }
        while self.supervise() {}
    }
}

const TEAM: &str = "team";
/// Duration of a round in seconds.
const HEARTBEAT_INTERVAL_S: f64 = 1.2;

/// Divides the limit with the escrow scheme. A controller hands over units at most once in a round.
pub fn escrow(rounds: &[Vec<Demand>], limit: f64, controllers: usize) -> SchemeResult {
    let mut accounting = UsageAccounting::new(limit);
    let text = format!("total = {{ cpus = {limit} }}\n[[teams]]\nname = \"{TEAM}\"\n");
    let section = toml::from_str(&text).expect("the settings are valid TOML for any limit");
    let known_teams = BTreeSet::from([TEAM]);
    let settings = QuotaSettings::check(&section, &known_teams).expect("the limit is positive");
    let mut escrow = Escrow::new(&Rc::new(settings), controllers);
    let team: Rc<str> = TEAM.into();
    let charge = |cpus: f64| QuotaAmount::of_job(1, cpus, 0.0, 0.0);
    let mut job_number = 0;
    for (round, demands) in (0..).zip(rounds) {
        let now = f64::from(round) * HEARTBEAT_INTERVAL_S;
        for (controller, cpus) in accounting.begin_round(round) {
            let node: Rc<str> = format!("n{controller}").as_str().into();
            escrow.ledger.release(&team, Some(&node), charge(cpus), now);
        }
        for demand in demands {
            job_number += 1;
            let id = format!("j-{job_number}");
            let index = demand.controller;
            match escrow.decide(index, &id, charge(demand.cpus), now) {
                Some(attempt) => {
                    let node: Rc<str> = format!("n{index}").as_str().into();
                    escrow
                        .ledger
                        .charge(&team, Some(&node), charge(demand.cpus));
                    let admissions = &mut escrow.controllers[index].admissions;
                    // The charge stays in flight until the ledger includes it, which is already the case.
                    admissions.finish(&attempt, AttemptOutcome::MayBeApplied, now);
                    admissions.prune(&escrow.ledger, |_| true);
                    accounting.admit(round, *demand);
                }
                None => accounting.refuse(*demand),
            }
        }
        escrow.heartbeat(now);
        accounting.end_round();
    }
    accounting.result.writes = escrow.writes;
    accounting.result()
}
