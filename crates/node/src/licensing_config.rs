//! The settings of licence seats: the licences of a site, and those that each class of jobs needs.

use crate::config_error::{ConfigError, ConfigProblem};
use crate::config_file::{check_ranges, milliseconds, RangeCheck};
use marbledeck_dispatcher::Micros;
use serde::Deserialize;
use std::collections::BTreeMap;

/// The section `[seats]` of the operator file, before validation.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LicensingSection {
    licences: Vec<String>,
    #[serde(default)]
    classes: BTreeMap<String, Vec<String>>,
    #[serde(default = "default_idle_ms")]
    idle_ms: usize,
}

fn default_idle_ms() -> usize {
    10_000
}

/// The validated settings of licence seats.
#[derive(Clone, Debug, PartialEq)]
pub struct LicensingConfig {
    /// The licences, which are named as the pools in the records.
    pub licences: Vec<String>,
    /// The licences that a job needs, by its class.
    pub classes: BTreeMap<String, Vec<String>>,
    /// A node returns seats that it has not used for this long.
    pub idle: Micros,
}

impl LicensingSection {
    /// Validates the values; `source` names the file and the section.
    ///
    /// # Errors
    /// The first key with an invalid value.
    pub(crate) fn check(self, source: &str) -> Result<LicensingConfig, ConfigError> {
        let checks = [
            RangeCheck::new("idle_ms", self.idle_ms, 100, 3_600_000),
            RangeCheck::new("licences", self.licences.len(), 1, 1000),
        ];
        check_ranges(source, &checks)?;
        for (position, name) in self.licences.iter().enumerate() {
            if !is_licence_name(name) || self.licences[..position].contains(name) {
                let key = format!("{source}: licences[{position}]");
                return Err(ConfigError::new(
                    key,
                    "must be printable ASCII characters without spaces and commas, listed once",
                ));
            }
        }
        for (class, names) in &self.classes {
            if let Some(name) = names.iter().find(|name| !self.licences.contains(name)) {
                let key = format!("{source}: classes.{class}");
                let problem = ConfigProblem::UnknownLicence(name.clone());
                return Err(ConfigError::new(key, problem));
            }
        }
        Ok(LicensingConfig {
            licences: self.licences,
            classes: self.classes,
            idle: milliseconds(self.idle_ms),
        })
    }
}

fn is_licence_name(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(|b| b.is_ascii_graphic() && b != b',')
}
