//! Errors in the settings file and the operators' script, and errors of reading and parsing that the features file
//! shares with them. Each is displayed in one line that names the file or field that the operator has to correct.

use std::io;

use super::file::{FILE_BYTES_MAX, first_line};

/// Reason why the settings file or the operators' script can't be used, or the features file can't be read or parsed.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file is far larger than a valid one.
    #[error("{path}: the file is larger than {FILE_BYTES_MAX} bytes")]
    FileTooLarge {
        /// Path of the file.
        path: String,
    },
    /// The file is not valid TOML, a field has the wrong type, or a required field is missing.
    #[error("{path}: {source}")]
    Toml {
        /// Path of the file.
        path: String,
        /// Line and cause.
        source: TomlError,
    },
    /// A field has an invalid value.
    #[error("{field}: {problem}")]
    Value {
        /// Name of the field in the file, prefixed with its sections.
        field: String,
        /// The rule that the value violates.
        problem: ValueProblem,
    },
    /// The operators' script fails, or does not return a table of tunables.
    #[error("script: {0}")]
    Script(#[from] ScriptError),
}

impl ConfigError {
    /// The error for an invalid value of a field.
    pub(super) fn value(field: impl Into<String>, problem: ValueProblem) -> Self {
        ConfigError::Value {
            field: field.into(),
            problem,
        }
    }
}

/// The rule that the value of a field violates. Displayed after the name of the field.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ValueProblem {
    /// A name is empty.
    #[error("must not be empty")]
    Empty,
    /// A count is zero.
    #[error("must not be zero")]
    Zero,
    /// A name that must be unique is used twice.
    #[error("the name {0} is used twice")]
    Duplicate(String),
    /// A rate, interval or limit is zero, negative or not finite.
    #[error("must be finite and above zero, but is {0}")]
    NotPositive(f64),
    /// An amount is negative or not finite.
    #[error("must be finite and not negative, but is {0}")]
    Negative(f64),
    /// A number of an objective is negative or not finite. The error doesn't tell which objective, because objectives
    /// have no names.
    #[error("must be finite and not negative in every objective")]
    NegativeObjective,
    /// The limit on open sockets is lower than a controller needs.
    #[error("must be at least {minimum}, but is {value}")]
    TooFewSockets {
        /// The configured value.
        value: usize,
        /// The smallest accepted value.
        minimum: usize,
    },
    /// The leader's lease, whose duration is derived from the workers' intervals, would be too short to renew in time.
    #[error("lease_s or report_s is too short: the leader's lease could not be renewed in time")]
    LeaderLeaseTooShort,
    /// The time allowed for a cancellation is too short for the worst case, in which first the leader's lease and then
    /// a worker's lease must expire.
    #[error("must be longer than a failover plus the expiry of a worker's lease")]
    CancellationTooShort,
    /// A tunable is outside its range.
    #[error("must be from {low} to {high}, but is {value}")]
    OutOfRange {
        /// The configured value.
        value: f64,
        /// The smallest accepted value.
        low: f64,
        /// The largest accepted value.
        high: f64,
    },
    /// ρ of the pricing rule is outside the open interval from 0 to its upper bound.
    #[error("must be above 0 and below {high}, but is {value}")]
    NotBetween {
        /// The configured value.
        value: f64,
        /// Upper bound, exclusive.
        high: f64,
    },
    /// The weight of the lowest priority is not 1, to which the other weights relate.
    #[error("must be 1: the weight of the lowest priority is fixed")]
    LowestWeightNotOne,
    /// A priority has a smaller weight than a lower priority.
    #[error("must not decrease from a lower to a higher priority")]
    WeightsNotMonotonic,
}

/// Reason why a TOML file can't be parsed. Displayed in one line.
#[derive(Debug, thiserror::Error)]
#[error("{}", self.describe())]
pub struct TomlError {
    /// Line of the error, counted from 1; `None` if the parser reports no position.
    pub line: Option<usize>,
    /// Error of the parser, which would be displayed in several lines.
    pub source: Box<toml::de::Error>,
}

impl TomlError {
    /// Wraps an error that the parser reported for `text`.
    pub(super) fn new(source: toml::de::Error, text: &str) -> Self {
        let text_before = source.span().and_then(|span| text.get(..span.start));
        TomlError {
            line: text_before.map(|before| before.matches('\n').count() + 1),
            source: Box::new(source),
        }
    }

    fn describe(&self) -> String {
        let message = first_line(self.source.message(), "not valid TOML");
        match self.line {
            Some(line) => format!("line {line}: {message}"),
            None => message.to_owned(),
        }
    }
}

/// Reason why the operators' script gives no tunables.
#[derive(Debug, thiserror::Error)]
pub enum ScriptError {
    /// The interpreter reports an error. Only the first line of its text is displayed.
    #[error("{}", first_line(&.0.to_string(), "failed without a message"))]
    Lua(#[from] mlua::Error),
    /// The returned table has a field that is not a tunable.
    #[error("unknown tunable {0}")]
    UnknownTunable(String),
    /// The value of a tunable is not a number.
    #[error("{0} is not a number")]
    NotANumber(String),
    /// `weights` is not a table.
    #[error("weights is not a table")]
    WeightsNotATable,
    /// The table `weights` has a field that is not a priority.
    #[error("unknown priority {0} in weights")]
    UnknownPriority(String),
}
