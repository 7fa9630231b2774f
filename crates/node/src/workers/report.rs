//! Parses load reports, which come in a response header, in the object that ends an attempt, or in a probe's response
//! body.

use marbledeck_dispatcher::LoadReport;
use marbledeck_platform_settings::{RawLoadReport, ReportFields};
use serde_json::Value;

/// Parses a report from JSON text; none if it is invalid.
pub fn from_text(fields: ReportFields, text: &str) -> Option<LoadReport> {
    let raw: RawLoadReport = serde_json::from_str(text).ok()?;
    Some(fields.interpret(raw))
}

/// Reads a report from a JSON value; none if it is not an object.
pub fn from_value(fields: ReportFields, value: &Value) -> Option<LoadReport> {
    let number = |name: &str| value.get(name).and_then(Value::as_f64);
    value.as_object()?;
    Some(fields.interpret(RawLoadReport {
        x0: number("x0"),
        x1: number("x1"),
    }))
}
