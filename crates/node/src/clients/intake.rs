//! A consumer's request as an order for the core, and the checks that need no settings.

use crate::core::{NewRequest, Payload};
use crate::net::http::{ParseError, RequestHead};
use marbledeck_dispatcher::Micros;

/// The longest that a consumer may say it waits.
const LONGEST_MS: u64 = 24 * 3600 * 1000;
/// The longest id, key or target.
const LONGEST_WORD: usize = 2048;

/// An answer of the front's own: a status and a few words.
#[derive(Debug, PartialEq, Eq)]
pub struct Notice(pub u16, pub String);

impl From<ParseError> for Notice {
    fn from(fault: ParseError) -> Self {
        let status = match fault {
            ParseError::Malformed(_) => 400,
            ParseError::HeadTooLong => 431,
            ParseError::BodyTooLong => 413,
        };
        Notice(status, fault.to_string())
    }
}

fn bad(what: &str) -> Notice {
    Notice(400, what.to_owned())
}

/// Whether a word that is passed on can stand in a head: visible characters only, and not too many of them. Any
/// other may be what a worker cannot read, and it would close on this node and not on the one who sent it.
fn passes(word: &str) -> bool {
    (1..=LONGEST_WORD).contains(&word.len()) && word.bytes().all(|b| b.is_ascii_graphic())
}

/// A field that goes into a line of the call to the worker: as it came, once and not empty.
fn named(head: &RequestHead, name: &str) -> Result<Option<String>, Notice> {
    match head.fields.get(name) {
        Some(value) if passes(value) => Ok(Some(value.to_owned())),
        None if !head.fields.has(name) => Ok(None),
        _ => Err(bad(&format!("{name} wants one word"))),
    }
}

/// What is asked for, without its body.
pub fn order(head: &RequestHead) -> Result<NewRequest<'_>, Notice> {
    let txn = named(head, "X-Txn")?.ok_or_else(|| bad("X-Txn is missing"))?;
    if !passes(&head.target) || !head.target.starts_with('/') {
        return Err(bad("the target wants a path"));
    }
    let class = head
        .fields
        .get("X-Lane")
        .ok_or_else(|| bad("X-Lane is missing"))?;
    let remaining = head.fields.get("X-Remaining-Ms");
    let remaining = remaining.filter(|ms| ms.bytes().all(|b| b.is_ascii_digit()));
    let remaining = remaining.and_then(|ms| ms.parse::<u64>().ok());
    let remaining = remaining.filter(|ms| *ms > 0);
    let remaining = remaining.ok_or_else(|| bad("X-Remaining-Ms wants whole milliseconds"))?;
    let (mut slots, mut memory, mut licences) = (0.0, 0.0, Vec::new());
    let labels = head.fields.get("X-Labels").unwrap_or_default();
    for (name, value) in labels.split(',').filter_map(|label| label.split_once('=')) {
        if name.trim() == "licence" {
            licences.push(value.trim());
        }
        let value = value
            .trim()
            .parse()
            .ok()
            .filter(|v: &f64| v.is_finite() && *v >= 0.0);
        match (name.trim(), value) {
            ("slots" | "cores-needed", Some(value)) => slots = value,
            ("memory", Some(value)) => memory = value,
            _ => {}
        }
    }
    let hint = head.fields.get("X-Estimate");
    let hint = hint
        .and_then(|ms| ms.parse::<f64>().ok())
        .filter(|ms| *ms > 0.0);
    Ok(NewRequest {
        class,
        tenant: head.fields.get("X-Org"),
        time_left: Micros(remaining.min(LONGEST_MS) * 1000),
        cost_hint: hint.map(|ms| Micros::from_secs_f64(ms / 1000.0)),
        slots,
        memory,
        licences,
        payload: Payload {
            transaction_id: txn,
            key: named(head, "Idempotency-Key")?,
            method: head.method.clone(),
            target: head.target.clone(),
            body: Vec::new(),
        },
    })
}
