//! Bounds of catalogs and manifests: what others declare is stored and compared, so it must not grow without end.

use std::collections::BTreeSet;
use thiserror::Error;

/// The most entries of one set of a catalog or a manifest.
pub const MAX_ENTRIES: usize = 1000;
/// The longest name, in bytes.
pub const MAX_NAME_LENGTH: usize = 128;

/// What is wrong with a catalog or manifest itself.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{key}: {problem}")]
pub struct BoundsError {
    /// The key at fault.
    pub key: &'static str,
    /// What is wrong with it, and what is wanted.
    pub problem: &'static str,
}

/// A set of names, with its key.
pub(crate) type NamedSet<'a> = (&'static str, &'a BTreeSet<String>);

/// Checks the number of entries of each set, and the length of each name.
pub(crate) fn check_sets(sets: &[NamedSet]) -> Result<(), BoundsError> {
    for (key, set) in sets {
        if set.len() > MAX_ENTRIES {
            let problem = "want 1000 entries at most";
            return Err(BoundsError { key, problem });
        }
        if !set.iter().all(|name| is_name(name)) {
            let problem = "want names of 1 to 128 bytes";
            return Err(BoundsError { key, problem });
        }
    }
    Ok(())
}

/// Checks a figure that must be a number, 0 or more.
pub(crate) fn check_figure(key: &'static str, figure: f64) -> Result<(), BoundsError> {
    if figure.is_finite() && figure >= 0.0 {
        Ok(())
    } else {
        let problem = "want a number, 0 or more";
        Err(BoundsError { key, problem })
    }
}

/// Whether a text has the length of a name.
pub(crate) fn is_name(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_NAME_LENGTH
}
