//! Quota settings written by operators: the total of the deployment, and each team's guarantee and limit.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::amount::{QuotaAmount, QuotaDimension, UNBOUNDED};

/// Length in bytes to which the hash is truncated for a digest.
const DIGEST_BYTES: usize = 12;

/// The section `quota` of the features file, before validation.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaSection {
    /// Upper limit of the charges of all teams' unfinished jobs together; unlimited in dimensions that are not set.
    pub total: DimensionFigures,
    /// Teams with a guarantee or a limit of their own.
    #[serde(default)]
    pub teams: Vec<TeamSection>,
}

/// A team's quota in the section, before validation.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSection {
    /// Name of the team, which must exist in the platform's settings.
    pub name: String,
    /// Amounts that other teams cannot use; zero in dimensions that are not set.
    #[serde(default)]
    pub guaranteed: DimensionFigures,
    /// Upper limit of the charges of the team's unfinished jobs; the total in dimensions that are not set.
    #[serde(default)]
    pub limit: DimensionFigures,
}

/// Amounts by dimension as written in the settings; `None` if a dimension is not set.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DimensionFigures {
    /// Number of CPUs of all tasks.
    pub cpus: Option<f64>,
    /// Number of GPUs of all tasks.
    pub gpus: Option<f64>,
    /// Memory of all tasks, in GB.
    pub memory_gb: Option<f64>,
    /// Number of tasks.
    pub tasks: Option<f64>,
    /// Number of jobs.
    pub jobs: Option<f64>,
}

impl DimensionFigures {
    fn get(&self, dimension: QuotaDimension) -> Option<f64> {
        match dimension {
            QuotaDimension::Cpus => self.cpus,
            QuotaDimension::Gpus => self.gpus,
            QuotaDimension::Memory => self.memory_gb,
            QuotaDimension::Tasks => self.tasks,
            QuotaDimension::Jobs => self.jobs,
        }
    }

    /// The amount in units; dimensions that are not set have the units of `default`.
    fn amount_or(&self, default: QuotaAmount) -> QuotaAmount {
        QuotaAmount::from_fn(|dimension| {
            self.get(dimension)
                .map_or(default.get(dimension), |figure| {
                    (figure * dimension.units_per_whole()).round() as i64
                })
        })
    }
}

/// Why quota settings are rejected.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// An amount is zero, negative, not finite, too large, or a fraction of a task or job.
    #[error("{field}: {value} is not a usable amount")]
    InvalidAmount {
        /// Path of the field in the settings.
        field: String,
        /// Value of the field.
        value: f64,
    },
    /// The platform's settings have no team of this name.
    #[error("quota.teams: unknown team {0}")]
    UnknownTeam(String),
    /// More than one section has this team's name.
    #[error("quota.teams: {0} twice")]
    DuplicateTeam(String),
    /// The guarantee exceeds the team's limit, so part of the guarantee could never be used.
    #[error("quota.teams.{team}: guaranteed {dimension} above its limit")]
    GuaranteeAboveLimit {
        /// Name of the team.
        team: String,
        /// Name of the dimension.
        dimension: &'static str,
    },
    /// The limit exceeds the total, so usage could never reach the limit.
    #[error("quota.teams.{team}: limit of {dimension} above the total")]
    LimitAboveTotal {
        /// Name of the team.
        team: String,
        /// Name of the dimension.
        dimension: &'static str,
    },
    /// The sum of all guarantees exceeds the total.
    #[error("quota.total: guarantees of {dimension} sum to more than the total")]
    GuaranteesAboveTotal {
        /// Name of the dimension.
        dimension: &'static str,
    },
    /// The section sets neither an amount of the total nor a team.
    #[error("quota.total: names no amount")]
    NoAmount,
}

/// A team's guarantee and limit. The serialized form is part of the settings digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct TeamQuota {
    /// Units that other teams cannot use.
    #[serde(rename = "guaranteed")]
    pub guaranteed: QuotaAmount,
    /// Upper limit of the units charged to the team.
    #[serde(rename = "limit")]
    pub limit: QuotaAmount,
}

/// Validated quotas of all teams. The serialized form is the input of [`Self::digest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct QuotaSettings {
    #[serde(rename = "total")]
    total: QuotaAmount,
    #[serde(rename = "teams")]
    teams: BTreeMap<String, TeamQuota>,
    /// Sum of all guarantees.
    #[serde(rename = "reserved")]
    reserved: QuotaAmount,
}

impl QuotaSettings {
    /// Validates a section; `known_teams` are the teams of the platform's settings. If any amount is invalid,
    /// returns the errors of all amounts, otherwise all other errors.
    pub fn check(
        section: &QuotaSection,
        known_teams: &BTreeSet<&str>,
    ) -> Result<Self, Vec<SettingsError>> {
        let mut errors = Vec::new();
        check_amounts("quota.total", &section.total, &mut errors);
        for team in &section.teams {
            let field = format!("quota.teams.{}", team.name);
            check_amounts(
                &format!("{field}.guaranteed"),
                &team.guaranteed,
                &mut errors,
            );
            check_amounts(&format!("{field}.limit"), &team.limit, &mut errors);
        }
        if !errors.is_empty() {
            return Err(errors);
        }
        let unbounded = QuotaAmount::from_fn(|_| UNBOUNDED);
        let total = section.total.amount_or(unbounded);
        if total == unbounded && section.teams.is_empty() {
            errors.push(SettingsError::NoAmount);
        }
        let mut settings = QuotaSettings {
            total,
            teams: BTreeMap::new(),
            reserved: QuotaAmount::ZERO,
        };
        for team in &section.teams {
            settings.add_team(team, known_teams, &mut errors);
        }
        for dimension in QuotaDimension::ALL {
            if settings.reserved.get(dimension) > settings.total.get(dimension) {
                let dimension = dimension.name();
                errors.push(SettingsError::GuaranteesAboveTotal { dimension });
            }
        }
        if errors.is_empty() {
            Ok(settings)
        } else {
            Err(errors)
        }
    }

    /// Adds a team's quota, increases `reserved` by its guarantee, and adds an error for each problem.
    fn add_team(
        &mut self,
        team: &TeamSection,
        known_teams: &BTreeSet<&str>,
        errors: &mut Vec<SettingsError>,
    ) {
        let name = team.name.clone();
        if !known_teams.contains(name.as_str()) {
            errors.push(SettingsError::UnknownTeam(name.clone()));
        }
        let quota = TeamQuota {
            guaranteed: team.guaranteed.amount_or(QuotaAmount::ZERO),
            limit: team.limit.amount_or(self.total),
        };
        for dimension in QuotaDimension::ALL {
            let team = name.clone();
            if quota.limit.get(dimension) > self.total.get(dimension) {
                let dimension = dimension.name();
                errors.push(SettingsError::LimitAboveTotal { team, dimension });
            } else if quota.guaranteed.get(dimension) > quota.limit.get(dimension) {
                let dimension = dimension.name();
                errors.push(SettingsError::GuaranteeAboveLimit { team, dimension });
            }
        }
        self.reserved += quota.guaranteed;
        if self.teams.insert(name.clone(), quota).is_some() {
            errors.push(SettingsError::DuplicateTeam(name));
        }
    }

    /// Upper limit of the units charged to all teams together.
    pub fn total(&self) -> QuotaAmount {
        self.total
    }

    /// Teams with a quota of their own, by name.
    pub fn teams(&self) -> impl Iterator<Item = (&str, TeamQuota)> {
        self.teams
            .iter()
            .map(|(name, quota)| (name.as_str(), *quota))
    }

    /// A team's quota. A team without a quota of its own has no guarantee, and may borrow up to the total.
    pub fn team(&self, name: &str) -> TeamQuota {
        let default = TeamQuota {
            guaranteed: QuotaAmount::ZERO,
            limit: self.total,
        };
        self.teams.get(name).copied().unwrap_or(default)
    }

    /// An amount with the dimensions set to zero in which a team has no limit: accounts do not count these.
    pub fn counted(&self, name: &str, amount: QuotaAmount) -> QuotaAmount {
        let limit = self.team(name).limit;
        QuotaAmount::from_fn(|dimension| {
            if limit.get(dimension) < UNBOUNDED {
                amount.get(dimension)
            } else {
                0
            }
        })
    }

    /// The sum of all guarantees.
    pub fn reserved(&self) -> QuotaAmount {
        self.reserved
    }

    /// Units that a team could hold if no other team borrowed any. A job that needs more can never be admitted.
    pub fn obtainable(&self, name: &str) -> QuotaAmount {
        let team = self.team(name);
        team.limit.min(team.guaranteed + self.total - self.reserved)
    }

    /// A hash of these quotas: equal at all controllers with the same quotas, and at no others. Controllers compare
    /// theirs with that of the stored settings.
    pub fn digest(&self) -> String {
        let text = serde_json::to_vec(self).unwrap_or_default();
        let hash = Sha256::digest(&text);
        hash.iter()
            .take(DIGEST_BYTES)
            .map(|byte| format!("{byte:02x}"))
            .collect()
    }
}

/// Adds an error for each amount that is not usable.
fn check_amounts(field: &str, figures: &DimensionFigures, errors: &mut Vec<SettingsError>) {
    for dimension in QuotaDimension::ALL {
        let Some(value) = figures.get(dimension) else {
            continue;
        };
        let units = value * dimension.units_per_whole();
        let whole = dimension.units_per_whole() > 1.0 || value.fract() == 0.0;
        let usable = units.is_finite() && units.round() >= 1.0 && units < UNBOUNDED as f64 / 4.0;
        if !(usable && whole) {
            let field = format!("{field}.{}", dimension.name());
            errors.push(SettingsError::InvalidAmount { field, value });
        }
    }
}
