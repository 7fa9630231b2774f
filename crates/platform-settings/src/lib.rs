//! The settings object that the platform gives a dispatcher, and what it means to the decision
//! module. The adapter and the node read the same object through this one place.
//!
//! Field names are those of the project; `serde` keeps the platform's names on the wire
//! (`kebab-case`, or the name in the attribute where the platform has another word). Keys that are
//! not known are ignored.
#![forbid(unsafe_code)]

mod load_report;
mod settings;

pub use load_report::{RawLoadReport, ReportFields};
pub use settings::{
    ClassSettings, DeploymentLimits, LoadReportSettings, PlatformSettings, PlatformSettingsError,
    RuleParameters, TenantSettings, WorkerFamily,
};

use marbledeck_dispatcher::WorkerId;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

/// A worker's id: a hash of its name, so that it is the same at every dispatcher and every restart.
pub fn worker_id(name: &str) -> WorkerId {
    WorkerId(BuildHasherDefault::<DefaultHasher>::default().hash_one(name))
}
