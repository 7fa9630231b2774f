//! Load reports: in a field of the answer, in an object that ends a call, or as the body of a probe's answer.

use marbledeck_dispatcher::LoadReport;
use marbledeck_platform_settings::{RawLoadReport, ReportFields};
use serde_json::Value;

/// Reads a report from text; one that makes no sense is none.
pub fn from_text(reads: ReportFields, text: &str) -> Option<LoadReport> {
    let feedback: RawLoadReport = serde_json::from_str(text).ok()?;
    Some(reads.interpret(feedback))
}

/// Reads a report from a value; one that makes no sense is none.
pub fn from_value(reads: ReportFields, value: &Value) -> Option<LoadReport> {
    let number = |name: &str| value.get(name).and_then(Value::as_f64);
    value.as_object()?;
    Some(reads.interpret(RawLoadReport {
        x0: number("x0"),
        x1: number("x1"),
    }))
}
