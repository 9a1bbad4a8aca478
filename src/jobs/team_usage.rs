//! What the tasks of each team use now, against the limits of the settings.

use crate::config::Team;
use crate::resources::Resources;

/// Rounding errors of sums of decimal amounts.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// What the tasks of each team use: all that are or may be on machines.
#[derive(Debug, Clone)]
pub struct TeamUsage {
    used: Vec<Resources>,
}

impl TeamUsage {
    /// No team uses anything.
    pub fn new(teams: &[Team]) -> Self {
        TeamUsage {
            used: vec![Resources::default(); teams.len()],
        }
    }

    /// A team uses so much more.
    pub fn add(&mut self, team: usize, resources: Resources) {
        let used = &mut self.used[team];
        *used = used.plus(resources);
    }

    /// A team uses so much less.
    pub fn subtract(&mut self, team: usize, resources: Resources) {
        let used = &mut self.used[team];
        *used = used.minus(resources);
    }

    /// Whether a team stays within its limit if it uses so much more. A limit of 0 is none.
    pub fn is_within(&self, team: usize, more: Resources, limit: &Team) -> bool {
        let used = self.used[team].plus(more);
        let within = |used: f64, max: f64| max <= 0.0 || used <= max + ROUNDING_TOLERANCE;
        within(used.cpus, limit.cpus_max) && within(used.gpus, limit.gpus_max)
    }
}
