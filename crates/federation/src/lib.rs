//! What a job needs, what a site offers, and whether the one fits the other. No input or output, no clock: the check is
//! a pure function of both, total, and bounded by what they hold (`docs/design/agreement.md`, guarantee 12).
//!
//! ```
//! use marbledeck_federation::{check, Catalog, Fit, Manifest};
//!
//! let catalog = Catalog { classes: ["preview".into()].into(), codecs: ["av1".into()].into(), ..Catalog::default() };
//! let manifest = Manifest { class: "preview".into(), codecs: ["av1".into()].into(), ..Manifest::default() };
//! assert_eq!(check(&manifest, Some(&catalog)), Fit::Fits);
//! let fit = check(&Manifest { slots: Some(4.0), ..manifest }, Some(&catalog));
//! assert_eq!(fit.to_string(), "slots: 4 wanted, at most 1 a job");
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod errand;

pub use errand::{Errand, Heard, Known, Step};

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// The most entries of one set of a catalog or a manifest, and the longest name in bytes: what others declare is held
/// and compared, so it has bounds.
pub const MOST_ENTRIES: usize = 1000;
/// The longest name, in bytes.
pub const LONGEST_NAME: usize = 128;

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

/// What a job needs, in the same terms. What is left out is not needed. A need of another name is no manifest: it is
/// refused when it is read, and never passed over.
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

/// Why a site does not do for a job.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Misfit {
    /// Something is named that the site does not have.
    #[error("{what}: '{name}' is not offered")]
    Missing {
        /// Which need: `class`, `licences`, `codecs` or `formats`.
        what: &'static str,
        /// The name.
        name: String,
    },
    /// None of the kinds will do that the site has.
    #[error("kinds: none of those wanted is there")]
    NoKind,
    /// More is wanted than a job may take, or no number.
    #[error("{what}: {wanted} wanted, at most {most} a job")]
    TooMuch {
        /// Which need: `slots`, `memory`, `key_window_ms` or `run_ms`.
        what: &'static str,
        /// What the job wants.
        wanted: f64,
        /// What the site gives.
        most: f64,
    },
    /// Its data may come to lie where the job's must not.
    #[error("regions: data may lie in '{0}'")]
    Region(String),
    /// The site does not say where its data lies.
    #[error("regions: the site does not say where data lies")]
    NoRegion,
}

impl Misfit {
    /// What whoever is on call can do.
    pub fn advice(&self) -> &'static str {
        match self {
            Misfit::Missing { .. } => "add it to the site's catalog, if the site has it; else send the job to a site that does",
            Misfit::NoKind => "name further kinds in the manifest, or a worker kind of the site in its catalog",
            Misfit::TooMuch { .. } => "ask for less in the manifest, or raise the site's figure in its catalog",
            Misfit::Region(_) => "allow the region in the manifest, or send the job to a site without it",
            Misfit::NoRegion => "state the regions of the site in its catalog",
        }
    }
}

/// The outcome of a check.
#[derive(Clone, Debug, PartialEq)]
pub enum Fit {
    /// The site can run it.
    Fits,
    /// It cannot, for all of these reasons.
    Misfits(Vec<Misfit>),
    /// What the site offers is not known now.
    Unknown,
}

impl fmt::Display for Fit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fit::Fits => f.write_str("fits"),
            Fit::Unknown => f.write_str("what the site offers is not known now"),
            Fit::Misfits(why) => {
                let words: Vec<String> = why.iter().map(Misfit::to_string).collect();
                f.write_str(&words.join("; "))
            }
        }
    }
}

/// Whether a site with this catalog, or with one that is not known, can run a job. Every reason against it is named.
/// Costs no more than the entries of both.
pub fn check(manifest: &Manifest, catalog: Option<&Catalog>) -> Fit {
    let Some(catalog) = catalog else {
        return Fit::Unknown;
    };
    let mut why = Vec::new();
    let class: BTreeSet<String> = [manifest.class.clone()].into();
    let sets = [
        ("class", &class, &catalog.classes),
        ("licences", &manifest.licences, &catalog.licences),
        ("codecs", &manifest.codecs, &catalog.codecs),
        ("formats", &manifest.formats, &catalog.formats),
    ];
    for (what, wanted, there) in sets {
        let missing = wanted.difference(there).cloned();
        why.extend(missing.map(|name| Misfit::Missing { what, name }));
    }
    if !manifest.kinds.is_empty() && manifest.kinds.is_disjoint(&catalog.kinds) {
        why.push(Misfit::NoKind);
    }
    let ms = |ms: Option<u64>| ms.map(|ms| ms as f64);
    let window = catalog.key_window_ms.unwrap_or(0) as f64;
    let figures = [
        ("slots", manifest.slots, catalog.slots),
        ("memory", manifest.memory, catalog.memory),
        ("key_window_ms", ms(manifest.key_window_ms), window),
        ("run_ms", ms(manifest.run_ms), catalog.longest_run_ms as f64),
    ];
    for (what, wanted, most) in figures {
        // What is no number fits nowhere.
        if let Some(wanted) = wanted.filter(|wanted| !(0.0..=most).contains(wanted)) {
            why.push(Misfit::TooMuch { what, wanted, most });
        }
    }
    if !manifest.regions.is_empty() {
        if catalog.regions.is_empty() {
            why.push(Misfit::NoRegion);
        }
        let elsewhere = catalog.regions.difference(&manifest.regions).cloned();
        why.extend(elsewhere.map(Misfit::Region));
    }
    match why.is_empty() {
        true => Fit::Fits,
        false => Fit::Misfits(why),
    }
}

/// What is wrong with a catalog or manifest itself.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {what}")]
pub struct Malformed {
    /// The key at fault.
    pub key: &'static str,
    /// What is wrong with it.
    pub what: &'static str,
}

fn bounded(sets: &[(&'static str, &BTreeSet<String>)]) -> Result<(), Malformed> {
    for (key, set) in sets {
        if set.len() > MOST_ENTRIES {
            return Err(Malformed {
                key,
                what: "want 1000 entries at most",
            });
        }
        if set
            .iter()
            .any(|name| name.is_empty() || name.len() > LONGEST_NAME)
        {
            return Err(Malformed {
                key,
                what: "want names of 1 to 128 bytes",
            });
        }
    }
    Ok(())
}

impl Catalog {
    /// Whether it keeps within its bounds.
    ///
    /// # Errors
    /// The key that does not.
    pub fn validate(&self) -> Result<(), Malformed> {
        bounded(&[
            ("classes", &self.classes),
            ("kinds", &self.kinds),
            ("licences", &self.licences),
            ("codecs", &self.codecs),
            ("formats", &self.formats),
            ("regions", &self.regions),
        ])?;
        let sound = |figure: f64| figure.is_finite() && figure >= 0.0;
        match (sound(self.slots), sound(self.memory)) {
            (false, _) => Err(Malformed {
                key: "slots",
                what: "want a number, 0 or more",
            }),
            (_, false) => Err(Malformed {
                key: "memory",
                what: "want a number, 0 or more",
            }),
            _ => Ok(()),
        }
    }
}

impl Manifest {
    /// Whether it keeps within its bounds.
    ///
    /// # Errors
    /// The key that does not.
    pub fn validate(&self) -> Result<(), Malformed> {
        if self.class.is_empty() || self.class.len() > LONGEST_NAME {
            return Err(Malformed {
                key: "class",
                what: "want a name of 1 to 128 bytes",
            });
        }
        bounded(&[
            ("kinds", &self.kinds),
            ("licences", &self.licences),
            ("codecs", &self.codecs),
            ("formats", &self.formats),
            ("regions", &self.regions),
        ])
    }
}
