//! The settings object that the platform gives a dispatcher, and its conversion to the settings of
//! the dispatcher crate. The simulator adapter and the node both read it with this crate.
//!
//! Fields have this project's names; `serde` attributes map them to the platform's names on the wire
//! (`kebab-case`, or the name in the attribute if the platform uses another word). Unknown keys are
//! ignored.
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

/// The id of a worker: a hash of its name, so that it is the same at every dispatcher and after every
/// restart.
pub fn worker_id(name: &str) -> WorkerId {
    WorkerId(BuildHasherDefault::<DefaultHasher>::default().hash_one(name))
}
