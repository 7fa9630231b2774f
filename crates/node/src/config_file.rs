//! Helpers for reading configuration files. Every error names the key.

use crate::config_error::{ConfigError, ConfigProblem};
use marbledeck_dispatcher::Micros;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::path::Path;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// The value of a key and the range in which it must be.
pub struct RangeCheck {
    key: &'static str,
    value: usize,
    min: usize,
    max: usize,
}

impl RangeCheck {
    /// Requires the value of `key` to be between `min` and `max`, inclusive.
    pub const fn new(key: &'static str, value: usize, min: usize, max: usize) -> Self {
        RangeCheck {
            key,
            value,
            min,
            max,
        }
    }
}

/// Checks several values of a section; `source` names the file and the section in errors.
///
/// # Errors
/// If a value is out of range; the first such value is reported.
pub fn check_ranges(source: &str, checks: &[RangeCheck]) -> Result<(), ConfigError> {
    for check in checks {
        let RangeCheck { min, max, .. } = *check;
        if !(min..=max).contains(&check.value) {
            let key = format!("{source}: {}", check.key);
            return Err(ConfigError::new(
                key,
                ConfigProblem::OutOfRange { min, max },
            ));
        }
    }
    Ok(())
}

/// Parses the value of `key` as an IP address with a port.
///
/// # Errors
/// If the text is anything else; host names are not resolved.
pub fn parse_address(key: impl Into<String>, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse()
        .map_err(|_| ConfigError::new(key, ConfigProblem::NotAnAddress(text.to_owned())))
}

/// Reads a file. Returns its name for errors, and its text.
///
/// # Errors
/// If the file cannot be read, or is not UTF-8.
pub fn read_text(path: &Path) -> Result<(String, String), ConfigError> {
    let source = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => Ok((source, text)),
        Err(error) => Err(ConfigError::new(source, error)),
    }
}

/// Parses TOML; `source` names the file in errors.
///
/// # Errors
/// If the text is not valid TOML, or does not have the expected structure.
pub fn parse_toml<T: DeserializeOwned>(source: &str, text: &str) -> Result<T, ConfigError> {
    let toml = toml::Deserializer::parse(text).map_err(|error| ConfigError::new(source, error))?;
    serde_path_to_error::deserialize(toml).map_err(|error| with_path(source, error))
}

/// Parses JSON; `source` names the file in errors.
///
/// # Errors
/// If the text is not valid JSON, or does not have the expected structure.
pub fn parse_json<T: DeserializeOwned>(source: &str, text: &str) -> Result<T, ConfigError> {
    let mut json = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut json).map_err(|error| with_path(source, error))
}

/// Adds the key at which parsing failed to the error.
fn with_path<E: Into<ConfigProblem>>(
    source: &str,
    error: serde_path_to_error::Error<E>,
) -> ConfigError {
    let path = error.path().to_string();
    let key = match path.as_str() {
        "." | "?" => source.to_owned(),
        path => format!("{source}: {path}"),
    };
    ConfigError::new(key, error.into_inner())
}

/// Converts a duration in seconds.
pub fn seconds(seconds: usize) -> Micros {
    Micros(seconds as u64 * MICROS_PER_SECOND)
}

/// Converts a duration in milliseconds.
pub fn milliseconds(milliseconds: usize) -> Micros {
    Micros(milliseconds as u64 * 1000)
}
