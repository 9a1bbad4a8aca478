//! Schemes that share a limit among controllers, simulated with the same demand in rounds of one heartbeat. The
//! escrow is the real one on a store that answers at once; the others are models of their rules.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use quota::supervise::Supervisor;
use quota::{
    AccountId, Admissions, Attempt, AttemptOutcome, Decision, Ledger, Plan, QuotaAmount,
    QuotaSettings, RevisionCondition, transfer,
};

/// A job that is submitted: where, how large, and how many rounds it lasts.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// The controller that its user reaches.
    pub controller: usize,
    /// CPUs.
    pub cpus: f64,
    /// Rounds until it is over.
    pub rounds: u32,
}

/// Outcome of a scheme for a demand.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SchemeResult {
    /// Jobs admitted.
    pub admitted: u32,
    /// Jobs refused though a perfect allocator had had room for them.
    pub refused_despite_room: u32,
    /// Jobs refused as there was no room anywhere.
    pub refused: u32,
    /// Writes beside the jobs' own.
    pub writes: u32,
    /// Mean share of the limit in use, at the end of each round.
    pub used: f64,
}

/// Accounting common to all schemes: the limit, the use, and when charges end.
struct UsageAccounting {
    limit: f64,
    used: f64,
    ends: BTreeMap<u32, Vec<(usize, f64)>>,
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

    fn begin_round(&mut self, round: u32) -> Vec<(usize, f64)> {
        let over = self.ends.remove(&round).unwrap_or_default();
        self.used -= over.iter().map(|(_, cpus)| cpus).sum::<f64>();
        over
    }

    fn admit(&mut self, round: u32, demand: Demand) {
        self.used += demand.cpus;
        assert!(self.used <= self.limit + 1e-6, "the limit is crossed");
        let ended = self.ends.entry(round + demand.rounds).or_default();
        ended.push((demand.controller, demand.cpus));
        self.result.admitted += 1;
    }

    fn refuse(&mut self, demand: Demand) {
        if self.used + demand.cpus <= self.limit + 1e-6 {
            self.result.refused_despite_room += 1;
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

/// Each controller has an equal part of the limit for ever.
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

/// One counter in the store, rewritten with each admission and each end. `attempts` rewrites succeed in a round:
/// of those that meet, all but one must begin anew with a round trip.
pub fn one_counter(rounds: &[Vec<Demand>], limit: f64, attempts: usize) -> SchemeResult {
    let mut accounting = UsageAccounting::new(limit);
    for (round, demands) in (0..).zip(rounds) {
        let over = accounting.begin_round(round).len();
        accounting.result.writes += over as u32;
        let mut left = attempts.saturating_sub(over);
        for demand in demands {
            if left > 0 && accounting.used + demand.cpus <= limit + 1e-6 {
                left -= 1;
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

/// A controller of the escrow.
struct Controller {
    admissions: Admissions,
    supervisor: Supervisor,
}

/// The escrow's accounts, which all controllers see at once.
struct Escrow {
    ledger: Ledger,
    revision: u64,
    revisions: BTreeMap<AccountId, u64>,
    controllers: Vec<Controller>,
    writes: u32,
}

impl Escrow {
    fn new(settings: &Rc<QuotaSettings>, controllers: usize) -> Self {
        let controller = |at: usize| Controller {
            admissions: Admissions::new(
                &format!("n{at}"),
                at as u64 + 1,
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
        escrow.writes = 0;
        escrow
    }

    fn apply(&mut self, plan: &Plan) -> bool {
        let holds = |required: &RevisionCondition| {
            let revision = self.revisions.get(&required.account).copied();
            revision.unwrap_or(0) == required.revision
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

    fn supervise(&mut self) -> bool {
        let first = &mut self.controllers[0];
        let plan = first
            .supervisor
            .next_plan(&mut self.ledger, &first.admissions, |_| false);
        plan.is_some_and(|plan| self.apply(&plan))
    }

    fn settle(&mut self, at: usize, plan: Option<Plan>, team: &str) -> bool {
        let applied = plan.is_some_and(|plan| self.apply(&plan));
        self.controllers[at].admissions.transfer_settled(team);
        applied
    }

    fn decide(&mut self, at: usize, id: &str, charge: QuotaAmount, now: f64) -> Option<Attempt> {
        for _ in 0..2 {
            let admissions = &mut self.controllers[at].admissions;
            match admissions.decide(&self.ledger, id, TEAM, charge, now) {
                Decision::Admitted(attempt) => return Some(attempt),
                Decision::NeedsRefill => {
                    let admissions = &self.controllers[at].admissions;
                    let plan =
                        transfer::refill(&self.ledger, admissions, &TEAM.into(), charge, now);
                    self.settle(at, plan, TEAM);
                }
                _ => return None,
            }
        }
        None
    }

    /// Controllers announce their shortages, and hand over units that they don't need.
    fn heartbeat(&mut self, now: f64) {
        for from in 0..self.controllers.len() {
            let shortages = self.controllers[from].admissions.shortages(now);
            let node: Rc<str> = format!("n{from}").as_str().into();
            for controller in &mut self.controllers {
                for (team, amount) in &shortages {
                    controller.admissions.on_request(&node, team, *amount, now);
                }
            }
        }
        for at in 0..self.controllers.len() {
            let admissions = &mut self.controllers[at].admissions;
            let plan = transfer::grant(&self.ledger, admissions, now)
                .or_else(|| transfer::release_unused(&self.ledger, admissions, now));
            self.settle(at, plan, TEAM);
        }
        while self.supervise() {}
    }
}

const TEAM: &str = "team";
/// Seconds between two heartbeats.
const HEARTBEAT_INTERVAL_S: f64 = 1.2;

/// The escrow. Nothing is handed over more often than once in a round.
pub fn escrow(rounds: &[Vec<Demand>], limit: f64, controllers: usize) -> SchemeResult {
    let mut accounting = UsageAccounting::new(limit);
    let text = format!("total = {{ cpus = {limit} }}\n[[teams]]\nname = \"{TEAM}\"\n");
    let section = toml::from_str(&text).expect("a text that is constant but for a figure");
    let known = BTreeSet::from([TEAM]);
    let settings = QuotaSettings::check(&section, &known).expect("figures above zero");
    let mut escrow = Escrow::new(&Rc::new(settings), controllers);
    let team: Rc<str> = TEAM.into();
    let charge = |cpus: f64| QuotaAmount::of_job(1, cpus, 0.0, 0.0);
    let mut number = 0;
    for (round, demands) in (0..).zip(rounds) {
        let now = f64::from(round) * HEARTBEAT_INTERVAL_S;
        for (controller, cpus) in accounting.begin_round(round) {
            let node: Rc<str> = format!("n{controller}").as_str().into();
            escrow.ledger.release(&team, Some(&node), charge(cpus), now);
        }
        for demand in demands {
            number += 1;
            let id = format!("j-{number}");
            let at = demand.controller;
            match escrow.decide(at, &id, charge(demand.cpus), now) {
                Some(attempt) => {
                    let node: Rc<str> = format!("n{at}").as_str().into();
                    escrow
                        .ledger
                        .charge(&team, Some(&node), charge(demand.cpus));
                    let admissions = &mut escrow.controllers[at].admissions;
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
