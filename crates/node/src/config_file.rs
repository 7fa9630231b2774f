//! Steps that the readers of configuration files share. Every error names the key.

use crate::config_error::{ConfigError, ConfigProblem};
use marbledeck_dispatcher::Micros;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::path::Path;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// One key's value and the range that it must lie in.
pub struct RangeCheck {
    key: &'static str,
    value: usize,
    min: usize,
    max: usize,
}

impl RangeCheck {
    /// Wants `value`, which `key` has, to be `min` to `max`, both included.
    pub const fn new(key: &'static str, value: usize, min: usize, max: usize) -> Self {
        RangeCheck {
            key,
            value,
            min,
            max,
        }
    }
}

/// Checks several values of a part of a file; `source` names the file and the part.
///
/// # Errors
/// The first value that is out of its range.
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

/// Reads an IP address with a port, which `key` has.
///
/// # Errors
/// The text is something else: no names are looked up.
pub fn parse_address(key: impl Into<String>, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse()
        .map_err(|_| ConfigError::new(key, ConfigProblem::NotAnAddress(text.to_owned())))
}

/// The text of a file, with the name that errors give to it.
///
/// # Errors
/// The file cannot be read, or is not UTF-8.
pub fn read_text(path: &Path) -> Result<(String, String), ConfigError> {
    let source = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => Ok((source, text)),
        Err(error) => Err(ConfigError::new(source, error)),
    }
}

/// Reads TOML; `source` names the file.
///
/// # Errors
/// It is no TOML, or does not hold what is wanted.
pub fn parse_toml<T: DeserializeOwned>(source: &str, text: &str) -> Result<T, ConfigError> {
    let toml = toml::Deserializer::parse(text).map_err(|error| ConfigError::new(source, error))?;
    serde_path_to_error::deserialize(toml).map_err(|error| with_path(source, error))
}

/// Reads JSON; `source` names the file.
///
/// # Errors
/// It is no JSON, or does not hold what is wanted.
pub fn parse_json<T: DeserializeOwned>(source: &str, text: &str) -> Result<T, ConfigError> {
    let mut json = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut json).map_err(|error| with_path(source, error))
}

/// Names the key at which reading failed.
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

/// A span of whole seconds, as files have it.
pub fn seconds(seconds: usize) -> Micros {
    Micros(seconds as u64 * MICROS_PER_SECOND)
}

/// A span of milliseconds, as files have it.
pub fn milliseconds(milliseconds: usize) -> Micros {
    Micros(milliseconds as u64 * 1000)
}
