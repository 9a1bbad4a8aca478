//! Optional features, which operators enable in a separate TOML file. A feature without a section is disabled.

use std::collections::BTreeSet;
use std::fmt;
use std::path::Path;
use std::rc::Rc;

use quota::{QuotaSection, QuotaSettings, SettingsError};
use serde::Deserialize;

use super::file;
use crate::admission_quota::store_mapping::{NAME_BYTES_MAX, escaped};
use crate::config::{Config, ConfigError};

/// Number of changes in the largest quota transaction: an allotment, the record of its team and the shared pool.
const QUOTA_TXN_CHANGES_MAX: usize = 3;

/// Optional features and their settings.
#[derive(Debug, Clone, Default)]
pub struct Features {
    /// Admission quotas of teams; `None` if the feature is disabled.
    pub quota: Option<Rc<QuotaSettings>>,
}

/// The features file. Unknown sections are rejected, because a misspelled name would silently leave its feature
/// disabled.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FeaturesFile {
    quota: Option<QuotaSection>,
}

/// All problems found in a features file, displayed one per line.
#[derive(Debug, thiserror::Error)]
pub struct FeaturesError(pub Vec<FeaturesProblem>);

impl fmt::Display for FeaturesError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        out.write_str(&lines.join("\n"))
    }
}

impl From<ConfigError> for FeaturesError {
    fn from(error: ConfigError) -> Self {
        FeaturesError(vec![FeaturesProblem::File(error)])
    }
}

/// A problem in a features file.
#[derive(Debug, thiserror::Error)]
pub enum FeaturesProblem {
    /// The file can't be read or parsed.
    #[error(transparent)]
    File(ConfigError),
    /// The section `quota` is invalid, or names a team that the settings file doesn't have.
    #[error("{path}: {source}")]
    Quota {
        /// Path of the file.
        path: String,
        /// The field or team at fault, and the rule that it violates.
        source: SettingsError,
    },
    /// The state service allows fewer changes per transaction than quotas need.
    #[error(
        "{path}: quota: needs {QUOTA_TXN_CHANGES_MAX} changes per transaction, the state service allows {txn_ops}"
    )]
    TransactionTooSmall {
        /// Path of the file.
        path: String,
        /// Changes per transaction that the state service allows.
        txn_ops: usize,
    },
    /// The name of a team or controller is too long to be part of a key of the state service.
    #[error("{path}: quota: the name {name} is too long for a key of the state service")]
    NameTooLong {
        /// Path of the file.
        path: String,
        /// The name.
        name: String,
    },
}

impl Features {
    /// Reads a features file and checks it against the settings.
    pub fn load(file: &Path, config: &Config) -> Result<Self, FeaturesError> {
        Self::parse(&file::read_text(file)?, &file.display().to_string(), config)
    }

    /// Parses the text of a features file and checks it against the settings. Errors name `path` as the file.
    pub fn parse(text: &str, path: &str, config: &Config) -> Result<Self, FeaturesError> {
        let file: FeaturesFile = file::parse_toml(text, path)?;
        let quota = match &file.quota {
            Some(section) => Some(Rc::new(quota_settings(section, path, config)?)),
            None => None,
        };
        Ok(Features { quota })
    }
}

/// Validates the section `quota`, and checks that this deployment can enforce it.
fn quota_settings(
    section: &QuotaSection,
    path: &str,
    config: &Config,
) -> Result<QuotaSettings, FeaturesError> {
    let teams = config.deployment.teams.iter();
    let known_teams: BTreeSet<&str> = teams.map(|team| team.name.as_str()).collect();
    let settings = QuotaSettings::check(section, &known_teams).map_err(|errors| {
        let problems = errors.into_iter().map(|source| FeaturesProblem::Quota {
            path: path.to_owned(),
            source,
        });
        FeaturesError(problems.collect())
    })?;
    let problems = deployment_problems(&settings, path, config);
    if problems.is_empty() {
        Ok(settings)
    } else {
        Err(FeaturesError(problems))
    }
}

/// Properties of the deployment that prevent the enforcement of quotas.
fn deployment_problems(
    settings: &QuotaSettings,
    path: &str,
    config: &Config,
) -> Vec<FeaturesProblem> {
    let mut problems = Vec::new();
    let txn_ops = config.deployment.state.txn_ops;
    if txn_ops < QUOTA_TXN_CHANGES_MAX {
        problems.push(FeaturesProblem::TransactionTooSmall {
            path: path.to_owned(),
            txn_ops,
        });
    }
    let teams = settings.teams().map(|(name, _)| name);
    let nodes = config.peers.iter().map(|peer| peer.name.as_str());
    for name in teams.chain(nodes).chain([config.node.as_str()]) {
        if escaped(name).len() > NAME_BYTES_MAX {
            problems.push(FeaturesProblem::NameTooLong {
                path: path.to_owned(),
                name: name.to_owned(),
            });
        }
    }
    problems
}

#[cfg(test)]
mod tests;
