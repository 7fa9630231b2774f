//! Load reports in the form in which workers send them.

use marbledeck_dispatcher::LoadReport;
use serde::Deserialize;

/// A load report as received. The settings of the deployment give the meaning of each value.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct RawLoadReport {
    /// The first value.
    pub x0: Option<f64>,
    /// The second value.
    pub x1: Option<f64>,
}

/// Which values of a load report have a meaning that the dispatcher crate uses.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportFields {
    /// Whether the value `x0` is the number of free slots.
    pub free_slots: bool,
    /// Whether the value `x1` is the free memory.
    pub free_memory: bool,
}

impl ReportFields {
    /// Converts a load report to that of the dispatcher crate, without values of other meaning.
    pub fn interpret(self, report: RawLoadReport) -> LoadReport {
        LoadReport {
            free_slots: report.x0.filter(|_| self.free_slots),
            free_memory: report.x1.filter(|_| self.free_memory),
            in_flight: None,
        }
    }
}
