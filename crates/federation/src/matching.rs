//! Whether a site can run a job.

use crate::{Catalog, Manifest};
use std::collections::BTreeSet;
use std::fmt;
use thiserror::Error;

/// Why a site cannot run a job.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Mismatch {
    /// Something is named that the site does not have.
    #[error("{need}: '{name}' is not offered")]
    Missing {
        /// Which need: `class`, `licences`, `codecs` or `formats`.
        need: &'static str,
        /// The name.
        name: String,
    },
    /// The site has none of the kinds that the job accepts.
    #[error("kinds: none of those wanted is there")]
    NoKind,
    /// More is wanted than a job may take, or a value that is not a number.
    #[error("{need}: {wanted} wanted, at most {limit} a job")]
    ExceedsLimit {
        /// Which need: `slots`, `memory`, `key_window_ms` or `run_ms`.
        need: &'static str,
        /// What the job wants.
        wanted: f64,
        /// What the site gives.
        limit: f64,
    },
    /// The site may store data where the job's must not be.
    #[error("regions: data may lie in '{0}'")]
    Region(String),
    /// The site does not state where it stores data.
    #[error("regions: the site does not say where data lies")]
    NoRegion,
}

impl Mismatch {
    /// What an operator can do.
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

/// The outcome of a check.
#[derive(Clone, Debug, PartialEq)]
pub enum MatchResult {
    /// The site can run it.
    Matches,
    /// It cannot, for all of these reasons.
    Mismatches(Vec<Mismatch>),
    /// What the site offers is not known now.
    Unknown,
}

impl fmt::Display for MatchResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MatchResult::Matches => f.write_str("fits"),
            MatchResult::Unknown => f.write_str("what the site offers is not known now"),
            MatchResult::Mismatches(reasons) => {
                let reasons: Vec<String> = reasons.iter().map(Mismatch::to_string).collect();
                f.write_str(&reasons.join("; "))
            }
        }
    }
}

/// Whether a site with this catalog, or with one that is not known, can run a job. Every reason against it is named.
/// Costs no more than the entries of both.
pub fn check(manifest: &Manifest, catalog: Option<&Catalog>) -> MatchResult {
    let Some(catalog) = catalog else {
        return MatchResult::Unknown;
    };
    let mut reasons = Vec::new();
    check_names(manifest, catalog, &mut reasons);
    check_figures(manifest, catalog, &mut reasons);
    check_regions(manifest, catalog, &mut reasons);
    if reasons.is_empty() {
        MatchResult::Matches
    } else {
        MatchResult::Mismatches(reasons)
    }
}

fn check_names(manifest: &Manifest, catalog: &Catalog, reasons: &mut Vec<Mismatch>) {
    let class: BTreeSet<String> = [manifest.class.clone()].into();
    let sets = [
        ("class", &class, &catalog.classes),
        ("licences", &manifest.licences, &catalog.licences),
        ("codecs", &manifest.codecs, &catalog.codecs),
        ("formats", &manifest.formats, &catalog.formats),
    ];
    for (need, wanted, offered) in sets {
        let missing = wanted.difference(offered).cloned();
        reasons.extend(missing.map(|name| Mismatch::Missing { need, name }));
    }
    if !manifest.kinds.is_empty() && manifest.kinds.is_disjoint(&catalog.kinds) {
        reasons.push(Mismatch::NoKind);
    }
}

fn check_figures(manifest: &Manifest, catalog: &Catalog, reasons: &mut Vec<Mismatch>) {
    let as_figure = |ms: Option<u64>| ms.map(|ms| ms as f64);
    let key_window = catalog.key_window_ms.unwrap_or(0) as f64;
    let longest_run = catalog.longest_run_ms as f64;
    let figures = [
        ("slots", manifest.slots, catalog.slots),
        ("memory", manifest.memory, catalog.memory),
        (
            "key_window_ms",
            as_figure(manifest.key_window_ms),
            key_window,
        ),
        ("run_ms", as_figure(manifest.run_ms), longest_run),
    ];
    for (need, wanted, limit) in figures {
        // A value that is not a number is within no limit.
        if let Some(wanted) = wanted.filter(|wanted| !(0.0..=limit).contains(wanted)) {
            reasons.push(Mismatch::ExceedsLimit {
                need,
                wanted,
                limit,
            });
        }
    }
}

fn check_regions(manifest: &Manifest, catalog: &Catalog, reasons: &mut Vec<Mismatch>) {
    if manifest.regions.is_empty() {
        return;
    }
    if catalog.regions.is_empty() {
        reasons.push(Mismatch::NoRegion);
    }
    let forbidden = catalog.regions.difference(&manifest.regions).cloned();
    reasons.extend(forbidden.map(Mismatch::Region));
}
