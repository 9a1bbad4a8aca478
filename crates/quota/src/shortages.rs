//! Recent shortages of this controller and of others. They determine from which allotments units are taken, and to
//! which they are added.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use crate::Time;
use crate::amount::QuotaAmount;

/// Time in seconds for which a shortage is taken into account and announced to other controllers.
const SHORTAGE_LIFETIME_S: f64 = 5.0;

/// Maximum number of stored requests of other controllers, and of stored teams with a shortage.
const REQUESTS_MAX: usize = 1024;

/// A request of another controller for units.
#[derive(Debug, Clone, Copy)]
struct UnitRequest {
    amount: QuotaAmount,
    received_at: Time,
}

/// A request of another controller, removed from the queue.
pub(crate) struct RequestedUnits {
    /// Name of the team.
    pub team: Rc<str>,
    /// Name of the requesting controller.
    pub node: Rc<str>,
    /// Units that the requesting controller lacks.
    pub amount: QuotaAmount,
}

/// Units that this controller lacked to admit a job.
#[derive(Debug, Clone, Copy)]
struct OwnShortage {
    missing: QuotaAmount,
    occurred_at: Time,
}

/// Recent shortages known to one controller.
#[derive(Debug, Default)]
pub(crate) struct Shortages {
    /// Latest shortage of this controller, by team.
    own_shortages: HashMap<Rc<str>, OwnShortage>,
    /// Requests of other controllers, by team and controller.
    requests: BTreeMap<(Rc<str>, Rc<str>), UnitRequest>,
    /// Teams with a shortage at any controller, and the time until which it is taken into account.
    short_until: BTreeMap<Rc<str>, Time>,
}

impl Shortages {
    /// Records that this controller lacked units to admit a job.
    pub fn record_own_shortage(&mut self, team: &Rc<str>, missing: QuotaAmount, now: Time) {
        self.own_shortages.insert(
            team.clone(),
            OwnShortage {
                missing,
                occurred_at: now,
            },
        );
        self.mark_team_short(team, now);
    }

    /// Records the request of another controller; ignores it if [`REQUESTS_MAX`] requests are stored.
    pub fn record_request(
        &mut self,
        node: &Rc<str>,
        team: &Rc<str>,
        amount: QuotaAmount,
        now: Time,
    ) {
        if self.requests.len() < REQUESTS_MAX {
            let request = UnitRequest {
                amount,
                received_at: now,
            };
            self.requests.insert((team.clone(), node.clone()), request);
            self.mark_team_short(team, now);
        }
    }

    /// Discards requests older than [`SHORTAGE_LIFETIME_S`].
    pub fn discard_old_requests(&mut self, now: Time) {
        self.requests
            .retain(|_, request| now - request.received_at < SHORTAGE_LIFETIME_S);
    }

    /// Takes a shortage of a team into account for [`SHORTAGE_LIFETIME_S`], unless [`REQUESTS_MAX`] teams have one.
    fn mark_team_short(&mut self, team: &Rc<str>, now: Time) {
        self.short_until.retain(|_, until| now < *until);
        if self.short_until.len() < REQUESTS_MAX {
            self.short_until
                .insert(team.clone(), now + SHORTAGE_LIFETIME_S);
        }
    }

    /// Removes and returns the first request in the order of team and controller names.
    pub fn pop_request(&mut self) -> Option<RequestedUnits> {
        let ((team, node), request) = self.requests.pop_first()?;
        Some(RequestedUnits {
            team,
            node,
            amount: request.amount,
        })
    }

    /// Recent shortages of this controller by team, to be announced to other controllers.
    pub fn recent_own_shortages(&self, now: Time) -> Vec<(Rc<str>, QuotaAmount)> {
        let recent = |(team, shortage): (&Rc<str>, &OwnShortage)| {
            (now - shortage.occurred_at < SHORTAGE_LIFETIME_S)
                .then(|| (team.clone(), shortage.missing))
        };
        self.own_shortages.iter().filter_map(recent).collect()
    }

    /// Time at which this controller last lacked units of a team.
    pub fn own_shortage_at(&self, team: &str) -> Option<Time> {
        Some(self.own_shortages.get(team)?.occurred_at)
    }

    /// Whether this controller recently lacked units of a team.
    pub fn has_recent_own_shortage(&self, team: &str, now: Time) -> bool {
        self.own_shortage_at(team)
            .is_some_and(|at| now - at < SHORTAGE_LIFETIME_S)
    }

    /// Whether any controller recently lacked units of a team.
    pub fn is_team_short(&self, team: &str, now: Time) -> bool {
        self.short_until.get(team).is_some_and(|until| now < *until)
    }

    /// Whether any controller recently lacked units of a team other than `team`. That team could borrow units that
    /// `team` borrowed and does not use.
    pub fn is_other_team_short(&self, team: &str, now: Time) -> bool {
        let mut others = self.short_until.iter().filter(|(name, _)| &***name != team);
        others.any(|(_, until)| now < *until)
    }
}
