//! Load reports as workers write them.

use marbledeck_dispatcher::LoadReport;
use serde::Deserialize;

/// A load report as it is written: the deployment names what each value means.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct RawLoadReport {
    /// The first value.
    pub x0: Option<f64>,
    /// The second value.
    pub x1: Option<f64>,
}

/// Which values of a load report carry a meaning that the decision module knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportFields {
    /// The value `x0` is free slots.
    pub free_slots: bool,
    /// The value `x1` is free memory.
    pub free_memory: bool,
}

impl ReportFields {
    /// The values of a load report that the decision module knows.
    pub fn interpret(self, report: RawLoadReport) -> LoadReport {
        LoadReport {
            free_slots: report.x0.filter(|_| self.free_slots),
            free_memory: report.x1.filter(|_| self.free_memory),
            in_flight: None,
        }
    }
}
