//! The manifest of a job.

use crate::bounds::{check_sets, has_valid_length, BoundsError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What a job needs, in the terms of a [`Catalog`](crate::Catalog). A job does not need what is left out. A manifest with an
/// unknown key is rejected, since ignoring a need could place the job at a site that cannot run it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Manifest {
    /// The job's class.
    pub class: String,
    /// The kinds of worker of which the site must have at least one. Any kind will do if this is empty.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub kinds: BTreeSet<String>,
    /// The slots that the job uses.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slots: Option<f64>,
    /// The memory that the job uses, in the workers' units.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory: Option<f64>,
    /// Licences that the job needs, all of them.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub licences: BTreeSet<String>,
    /// Codecs that the job needs, all of them.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub codecs: BTreeSet<String>,
    /// Formats that the job needs, all of them.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub formats: BTreeSet<String>,
    /// Regions that the job's data must not leave: those of the site must all be among them. Any region will do if this is
    /// empty.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub regions: BTreeSet<String>,
    /// For how long requests that repeat the job's key must be dropped, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key_window_ms: Option<u64>,
    /// How long the job may run, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub run_ms: Option<u64>,
}

impl Manifest {
    /// Checks the manifest's size.
    ///
    /// # Errors
    /// The first key with an invalid value.
    pub fn validate(&self) -> Result<(), BoundsError> {
        if !has_valid_length(&self.class) {
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
