//! What a site offers.

use crate::bounds::{check_figure, check_sets, BoundsError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What a site offers. Sets name what there is; what they do not name there is not.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Catalog {
    /// Counts its changes; the site sets it.
    pub version: u64,
    /// Classes of jobs that it runs.
    pub classes: BTreeSet<String>,
    /// Kinds of worker.
    pub kinds: BTreeSet<String>,
    /// Slots that one job may take.
    pub slots: f64,
    /// Memory that one job may take, in the workers' units.
    pub memory: f64,
    /// Licences of which it has seats.
    pub licences: BTreeSet<String>,
    /// Codecs.
    pub codecs: BTreeSet<String>,
    /// Formats.
    pub formats: BTreeSet<String>,
    /// Where its data may lie.
    pub regions: BTreeSet<String>,
    /// For how long its workers drop repeats of a key, in milliseconds; none where they do not.
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
    /// Checks that it keeps within its bounds.
    ///
    /// # Errors
    /// The key that does not.
    pub fn validate(&self) -> Result<(), BoundsError> {
        check_sets(&[
            ("classes", &self.classes),
            ("kinds", &self.kinds),
            ("licences", &self.licences),
            ("codecs", &self.codecs),
            ("formats", &self.formats),
            ("regions", &self.regions),
        ])?;
        check_figure("slots", self.slots)?;
        check_figure("memory", self.memory)
    }
}
