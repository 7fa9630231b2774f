//! A pool of licence seats, as operators configure it.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The seats of one licence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Total number of seats.
    pub seats: u32,
    /// Number of seats that are guaranteed to each of these tenants.
    #[serde(default)]
    pub guaranteed: BTreeMap<String, u32>,
    /// The longest run of an attempt at its worker, in milliseconds. If the end of an attempt is unknown, its seat stays in
    /// use for this long.
    pub longest_run_ms: u64,
}

impl Pool {
    /// The number of seats that are guaranteed to a tenant; 0 if the pool does not name it.
    pub(crate) fn guaranteed_to(&self, tenant: &str) -> u32 {
        self.guaranteed.get(tenant).copied().unwrap_or(0)
    }
}
