//! Size limits of catalogs and manifests. Both come from others and are stored and compared, so their size must be bounded.

use std::collections::BTreeSet;
use thiserror::Error;

/// The most entries in one set of a catalog or a manifest.
pub const MAX_ENTRIES: usize = 1000;
/// The longest name, in bytes.
pub const MAX_NAME_LENGTH: usize = 128;

/// A catalog or a manifest exceeds its limits.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{key}: {problem}")]
pub struct BoundsError {
    /// The key with the invalid value.
    pub key: &'static str,
    /// What is expected of the value.
    pub problem: &'static str,
}

/// A key and its set of names.
pub(crate) type NamedSet<'a> = (&'static str, &'a BTreeSet<String>);

/// Checks the number of entries of each set, and the length of each name.
pub(crate) fn check_sets(sets: &[NamedSet]) -> Result<(), BoundsError> {
    for (key, set) in sets {
        if set.len() > MAX_ENTRIES {
            let problem = "want 1000 entries at most";
            return Err(BoundsError { key, problem });
        }
        if !set.iter().all(|name| has_valid_length(name)) {
            let problem = "want names of 1 to 128 bytes";
            return Err(BoundsError { key, problem });
        }
    }
    Ok(())
}

/// Checks that a value is a finite number of 0 or more.
pub(crate) fn check_number(key: &'static str, value: f64) -> Result<(), BoundsError> {
    if value.is_finite() && value >= 0.0 {
        Ok(())
    } else {
        let problem = "want a number, 0 or more";
        Err(BoundsError { key, problem })
    }
}

/// Whether a text has a valid length for a name.
pub(crate) fn has_valid_length(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_NAME_LENGTH
}
