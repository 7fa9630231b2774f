//! Federation of sites: the manifest of a job states what it needs, and the catalog of a site what it offers. This crate
//! matches the two, and chooses the site that a job is forwarded to.
//!
//! It has no input, output or clock. The check is a pure function that never fails, and its cost is bounded by the size of
//! the manifest and the catalog (`docs/design/agreement.md`, guarantee 12).
//!
//! ```
//! use marbledeck_federation::{check, Catalog, Manifest, MatchResult};
//!
//! let catalog = Catalog { classes: ["preview".into()].into(), codecs: ["av1".into()].into(), ..Catalog::default() };
//! let manifest = Manifest { class: "preview".into(), codecs: ["av1".into()].into(), ..Manifest::default() };
//! assert_eq!(check(&manifest, Some(&catalog)), MatchResult::Matches);
//! let result = check(&Manifest { slots: Some(4.0), ..manifest }, Some(&catalog));
//! assert_eq!(result.to_string(), "slots: 4 wanted, at most 1 a job");
//! ```
#![forbid(unsafe_code)]

mod bounds;
mod catalog;
mod manifest;
mod matching;
mod placement;

pub use bounds::{BoundsError, MAX_ENTRIES, MAX_NAME_LENGTH};
pub use catalog::Catalog;
pub use manifest::Manifest;
pub use matching::{check, MatchResult, Mismatch};
pub use placement::{CandidateSite, Placement, PlacementStep, SiteResponse};
