//! Matches the manifest of a job against the catalog of a site.

use crate::{Catalog, Manifest};
use std::collections::BTreeSet;
use std::fmt;
use thiserror::Error;

/// Why a site cannot run a job.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Mismatch {
    /// The job needs something that the site does not have.
    #[error("{need}: '{name}' is not offered")]
    Missing {
        /// The manifest's key: `class`, `licences`, `codecs` or `formats`.
        need: &'static str,
        /// The name that the catalog lacks.
        name: String,
    },
    /// The site has none of the kinds that the job accepts.
    #[error("kinds: none of those wanted is there")]
    NoKind,
    /// The job needs more than the site's limit for one job, or the manifest's value is negative or not a number.
    #[error("{need}: {wanted} wanted, at most {limit} a job")]
    ExceedsLimit {
        /// The manifest's key: `slots`, `memory`, `key_window_ms` or `run_ms`.
        need: &'static str,
        /// The manifest's value.
        wanted: f64,
        /// The site's limit.
        limit: f64,
    },
    /// The site may store data in a region that the job does not allow.
    #[error("regions: data may lie in '{0}'")]
    Region(String),
    /// The job limits the regions, but the site does not state any.
    #[error("regions: the site does not say where data lies")]
    NoRegion,
}

impl Mismatch {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            Mismatch::Missing { .. } => "add it to the site's catalog, if the site has it; else send the job to a site that does",
            Mismatch::NoKind => "name further kinds in the manifest, or a worker kind of the site in its catalog",
            Mismatch::ExceedsLimit { .. } => "ask for less in the manifest, or raise the site's figure in its catalog",
            Mismatch::Region(_) => "allow the region in the manifest, or send the job to a site without it",
            Mismatch::NoRegion => "state the regions of the site in its catalog",
        }
    }
}

/// The result of matching a manifest against a catalog.
#[derive(Clone, Debug, PartialEq)]
pub enum MatchResult {
    /// The site can run the job.
    Matches,
    /// The site cannot run the job, for all of these reasons.
    Mismatches(Vec<Mismatch>),
    /// The site's catalog is not known now.
    Unknown,
}

impl fmt::Display for MatchResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MatchResult::Matches => f.write_str("fits"),
            MatchResult::Unknown => f.write_str("what the site offers is not known now"),
            MatchResult::Mismatches(mismatches) => {
                let mismatches: Vec<String> = mismatches.iter().map(Mismatch::to_string).collect();
                f.write_str(&mismatches.join("; "))
            }
        }
    }
}

/// Checks whether a site with this catalog can run a job; `catalog` is `None` where it is not known. The result names every
/// mismatch. The cost grows with the number of entries of both.
pub fn check(manifest: &Manifest, catalog: Option<&Catalog>) -> MatchResult {
    let Some(catalog) = catalog else {
        return MatchResult::Unknown;
    };
    let mut mismatches = Vec::new();
    check_names(manifest, catalog, &mut mismatches);
    check_numbers(manifest, catalog, &mut mismatches);
    check_regions(manifest, catalog, &mut mismatches);
    if mismatches.is_empty() {
        MatchResult::Matches
    } else {
        MatchResult::Mismatches(mismatches)
    }
}

fn check_names(manifest: &Manifest, catalog: &Catalog, mismatches: &mut Vec<Mismatch>) {
    let class: BTreeSet<String> = [manifest.class.clone()].into();
    let sets = [
        ("class", &class, &catalog.classes),
        ("licences", &manifest.licences, &catalog.licences),
        ("codecs", &manifest.codecs, &catalog.codecs),
        ("formats", &manifest.formats, &catalog.formats),
    ];
    for (need, wanted, offered) in sets {
        let missing = wanted.difference(offered).cloned();
        mismatches.extend(missing.map(|name| Mismatch::Missing { need, name }));
    }
    if !manifest.kinds.is_empty() && manifest.kinds.is_disjoint(&catalog.kinds) {
        mismatches.push(Mismatch::NoKind);
    }
}

fn check_numbers(manifest: &Manifest, catalog: &Catalog, mismatches: &mut Vec<Mismatch>) {
    let as_number = |ms: Option<u64>| ms.map(|ms| ms as f64);
    let key_window = catalog.key_window_ms.unwrap_or(0) as f64;
    let longest_run = catalog.longest_run_ms as f64;
    let limits = [
        ("slots", manifest.slots, catalog.slots),
        ("memory", manifest.memory, catalog.memory),
        (
            "key_window_ms",
            as_number(manifest.key_window_ms),
            key_window,
        ),
        ("run_ms", as_number(manifest.run_ms), longest_run),
    ];
    for (need, wanted, limit) in limits {
        // NaN lies outside any range, so it is a mismatch.
        if let Some(wanted) = wanted.filter(|wanted| !(0.0..=limit).contains(wanted)) {
            mismatches.push(Mismatch::ExceedsLimit {
                need,
                wanted,
                limit,
            });
        }
    }
}

fn check_regions(manifest: &Manifest, catalog: &Catalog, mismatches: &mut Vec<Mismatch>) {
    if manifest.regions.is_empty() {
        return;
    }
    if catalog.regions.is_empty() {
        mismatches.push(Mismatch::NoRegion);
    }
    let forbidden = catalog.regions.difference(&manifest.regions).cloned();
    mismatches.extend(forbidden.map(Mismatch::Region));
}
