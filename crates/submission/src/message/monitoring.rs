//! Queues and machines, as DRMAA's monitoring session reports them.

use serde::{Deserialize, Serialize};

/// A queue, which is a request class (GFD.231, section 5.1).
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "camelCase")]
pub struct Queue {
    /// The class's name.
    pub name: String,
    /// The deadline of its jobs if the template sets none, in milliseconds from the start.
    pub deadline_ms: u64,
    /// How long workers drop repeats of an idempotency key, in milliseconds; 0 if the class has no keys.
    pub dedup_window_ms: u64,
    /// Whether its jobs need a submission key.
    pub keyed: bool,
}

/// A machine, which is a worker (GFD.231, section 5.3).
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub struct Machine {
    /// The worker's id.
    pub name: String,
    /// Whether it accepts new jobs.
    pub available: bool,
    /// Its state as set by the worker itself or by operators, such as `up`, `draining` or `out`.
    pub state: String,
    /// Its availability zone.
    pub zone: String,
    /// Its kind of hardware.
    pub kind: String,
    /// Its address and port.
    pub address: String,
    /// The number of attempts in flight from this node.
    pub calls: usize,
    /// The free slots in its last load report.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub free_slots: Option<f64>,
    /// The age of that report, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub report_age_ms: Option<u64>,
}
