//! A pool of licence seats, as operators configure it.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The seats of one licence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Total number of seats.
    pub seats: u32,
    /// Number of seats that each of these tenants can always have.
    #[serde(default)]
    pub guaranteed: BTreeMap<String, u32>,
    /// The longest run of an attempt at its worker, in milliseconds. The seat of an attempt whose end is unknown stays in
    /// use for so long.
    pub longest_run_ms: u64,
}

impl Pool {
    /// The number of seats that a tenant can always have; 0 for any that is not named.
    pub(crate) fn guaranteed_to(&self, tenant: &str) -> u32 {
        self.guaranteed.get(tenant).copied().unwrap_or(0)
    }
}
