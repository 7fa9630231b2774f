//! Load reports: in a field of a response, in an object that ends an attempt, or as the body of a probe's response.

use marbledeck_dispatcher::LoadReport;
use marbledeck_platform_settings::{RawLoadReport, ReportFields};
use serde_json::Value;

/// Reads a report from text; none where it makes no sense.
pub fn from_text(fields: ReportFields, text: &str) -> Option<LoadReport> {
    let raw: RawLoadReport = serde_json::from_str(text).ok()?;
    Some(fields.interpret(raw))
}

/// Reads a report from a value; none where it makes no sense.
pub fn from_value(fields: ReportFields, value: &Value) -> Option<LoadReport> {
    let number = |name: &str| value.get(name).and_then(Value::as_f64);
    value.as_object()?;
    Some(fields.interpret(RawLoadReport {
        x0: number("x0"),
        x1: number("x1"),
    }))
}
