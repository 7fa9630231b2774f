//! Load reports: in a field of the answer, in an object that ends a call, or as the body of a probe's answer.

use marbledeck_dispatcher::Report;
use marbledeck_platform_settings::{Feedback, Reads};
use serde_json::Value;

/// Reads a report from text; one that makes no sense is none.
pub fn from_text(reads: Reads, text: &str) -> Option<Report> {
    let feedback: Feedback = serde_json::from_str(text).ok()?;
    Some(reads.report(feedback))
}

/// Reads a report from a value; one that makes no sense is none.
pub fn from_value(reads: Reads, value: &Value) -> Option<Report> {
    let number = |name: &str| value.get(name).and_then(Value::as_f64);
    value.as_object()?;
    Some(reads.report(Feedback {
        x0: number("x0"),
        x1: number("x1"),
    }))
}
