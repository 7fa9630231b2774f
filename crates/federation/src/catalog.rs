//! The catalog of a site.

use crate::bounds::{check_number, check_sets, BoundsError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What a site offers to jobs. Each set is complete: the site does not have what its sets do not name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Catalog {
    /// The version, which the site raises with each change.
    pub version: u64,
    /// Classes of jobs that the site runs.
    pub classes: BTreeSet<String>,
    /// Kinds of worker that the site has.
    pub kinds: BTreeSet<String>,
    /// The most slots that one job may use.
    pub slots: f64,
    /// The most memory that one job may use, in the workers' units.
    pub memory: f64,
    /// Licences of which the site has seats.
    pub licences: BTreeSet<String>,
    /// Codecs that the site supports.
    pub codecs: BTreeSet<String>,
    /// Formats that the site supports.
    pub formats: BTreeSet<String>,
    /// Regions in which the site may store data.
    pub regions: BTreeSet<String>,
    /// For how long the site's workers drop requests that repeat a key, in milliseconds; `None` where they do not.
    pub key_window_ms: Option<u64>,
    /// The longest run of a job, in milliseconds.
    pub longest_run_ms: u64,
}

impl Default for Catalog {
    fn default() -> Self {
        Catalog {
            version: 0,
            classes: BTreeSet::new(),
            kinds: BTreeSet::new(),
            slots: 1.0,
            memory: 0.0,
            licences: BTreeSet::new(),
            codecs: BTreeSet::new(),
            formats: BTreeSet::new(),
            regions: BTreeSet::new(),
            key_window_ms: None,
            longest_run_ms: 0,
        }
    }
}

impl Catalog {
    /// Checks the catalog's size and numbers.
    ///
    /// # Errors
    /// The first key with an invalid value.
    pub fn validate(&self) -> Result<(), BoundsError> {
        check_sets(&[
            ("classes", &self.classes),
            ("kinds", &self.kinds),
            ("licences", &self.licences),
            ("codecs", &self.codecs),
            ("formats", &self.formats),
            ("regions", &self.regions),
        ])?;
        check_number("slots", self.slots)?;
        check_number("memory", self.memory)
    }
}
