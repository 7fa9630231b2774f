//! Federation of sites: what a job needs, what a site offers, whether the one matches the other, and which site a job is
//! forwarded to. No input or output, no clock: the check is a pure function of both, total, and bounded by what they hold
//! (`docs/design/agreement.md`, guarantee 12).
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
