//! Reading of the settings file, the features file and the operators' script.

use std::path::Path;

use serde::de::DeserializeOwned;

use super::error::{ConfigError, TomlError};

/// Maximum size of a file in bytes. Valid files are far smaller, so a larger one was named by mistake.
pub(super) const FILE_BYTES_MAX: u64 = 1024 * 1024;

/// Reads a whole file as text.
pub(super) fn read_text(file: &Path) -> Result<String, ConfigError> {
    let read_error = |source| ConfigError::Read {
        path: file.display().to_string(),
        source,
    };
    let metadata = std::fs::metadata(file).map_err(read_error)?;
    if metadata.len() > FILE_BYTES_MAX {
        return Err(ConfigError::FileTooLarge {
            path: file.display().to_string(),
        });
    }
    std::fs::read_to_string(file).map_err(read_error)
}

/// Parses the text of a TOML file. Errors name `path` as the file.
pub(super) fn parse_toml<T: DeserializeOwned>(text: &str, path: &str) -> Result<T, ConfigError> {
    toml::from_str(text).map_err(|error| ConfigError::Toml {
        path: path.to_owned(),
        source: TomlError::new(error, text),
    })
}

/// The first line of an error's text, or `default` if the text is empty.
pub(super) fn first_line<'a>(text: &'a str, default: &'a str) -> &'a str {
    text.lines().next().unwrap_or(default)
}
