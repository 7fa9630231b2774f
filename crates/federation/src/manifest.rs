//! What a job needs.

use crate::bounds::{check_sets, is_name, BoundsError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What a job needs, in the same terms. What is left out is not needed. A manifest with another key is
/// rejected when it is read, never ignored.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Manifest {
    /// Its class.
    pub class: String,
    /// The kinds of worker of which one will do; any where it is empty.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub kinds: BTreeSet<String>,
    /// Slots.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slots: Option<f64>,
    /// Memory, in the workers' units.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory: Option<f64>,
    /// Licences, all of them.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub licences: BTreeSet<String>,
    /// Codecs, all of them.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub codecs: BTreeSet<String>,
    /// Formats, all of them.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub formats: BTreeSet<String>,
    /// Regions of which the data must not leave; the site's must all be among them. Any where it is empty.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub regions: BTreeSet<String>,
    /// For how long repeats of its key must be dropped, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key_window_ms: Option<u64>,
    /// How long it may run, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub run_ms: Option<u64>,
}

impl Manifest {
    /// Checks that it keeps within its bounds.
    ///
    /// # Errors
    /// The key that does not.
    pub fn validate(&self) -> Result<(), BoundsError> {
        if !is_name(&self.class) {
            return Err(BoundsError {
                key: "class",
                problem: "want a name of 1 to 128 bytes",
            });
        }
        check_sets(&[
            ("kinds", &self.kinds),
            ("licences", &self.licences),
            ("codecs", &self.codecs),
            ("formats", &self.formats),
            ("regions", &self.regions),
        ])
    }
}
