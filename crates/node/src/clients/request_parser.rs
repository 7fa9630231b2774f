//! A client's request as the core takes it, and the checks that need no settings.

use super::reply::Notice;
use crate::core::{NewRequest, Payload};
use crate::net::http::RequestHead;
use marbledeck_dispatcher::Micros;

/// The longest that a client may say it waits, in milliseconds.
const MAX_REMAINING_MS: u64 = 24 * 3600 * 1000;
/// The longest transaction id, key or target.
const MAX_PASSED_ON: usize = 2048;

fn bad_request(text: &str) -> Notice {
    Notice::new(400, text)
}

/// Whether a value that is passed on to a worker can stand in a head: visible characters only, and not too many of
/// them. Any other may be what a worker cannot read, and it would close on this node and not on the client.
fn can_be_passed_on(value: &str) -> bool {
    (1..=MAX_PASSED_ON).contains(&value.len()) && value.bytes().all(|b| b.is_ascii_graphic())
}

/// A field that goes into the head of the attempt: as it came, once and not empty.
fn passed_on_field(head: &RequestHead, name: &str) -> Result<Option<String>, Notice> {
    match head.fields.get(name) {
        Some(value) if can_be_passed_on(value) => Ok(Some(value.to_owned())),
        None if !head.fields.has(name) => Ok(None),
        _ => Err(bad_request(&format!("{name} wants one word"))),
    }
}

/// How long the client still waits, in milliseconds.
fn remaining_ms(head: &RequestHead) -> Result<u64, Notice> {
    let text = head.fields.get("X-Remaining-Ms");
    let digits = text.filter(|text| text.bytes().all(|b| b.is_ascii_digit()));
    let millis = digits.and_then(|digits| digits.parse::<u64>().ok());
    millis
        .filter(|ms| *ms > 0)
        .ok_or_else(|| bad_request("X-Remaining-Ms wants whole milliseconds"))
}

/// What a request's labels say that it needs.
#[derive(Default)]
struct Resources<'a> {
    slots: f64,
    memory: f64,
    licences: Vec<&'a str>,
}

impl<'a> Resources<'a> {
    /// Reads the labels: `name=value`, separated by commas. Unknown ones and values that make no sense are skipped.
    fn parse(labels: &'a str) -> Self {
        let mut resources = Resources::default();
        for (name, value) in labels.split(',').filter_map(|label| label.split_once('=')) {
            if name.trim() == "licence" {
                resources.licences.push(value.trim());
            }
            let amount = value.trim().parse().ok();
            let amount = amount.filter(|amount: &f64| amount.is_finite() && *amount >= 0.0);
            match (name.trim(), amount) {
                ("slots" | "cores-needed", Some(amount)) => resources.slots = amount,
                ("memory", Some(amount)) => resources.memory = amount,
                _ => {}
            }
        }
        resources
    }
}

/// The request that a head asks for, without its body.
///
/// # Errors
/// A field is missing or malformed.
pub fn parse_request(head: &RequestHead) -> Result<NewRequest<'_>, Notice> {
    let transaction_id =
        passed_on_field(head, "X-Txn")?.ok_or_else(|| bad_request("X-Txn is missing"))?;
    if !can_be_passed_on(&head.target) || !head.target.starts_with('/') {
        return Err(bad_request("the target wants a path"));
    }
    let class = head.fields.get("X-Lane");
    let class = class.ok_or_else(|| bad_request("X-Lane is missing"))?;
    let remaining = remaining_ms(head)?;
    let resources = Resources::parse(head.fields.get("X-Labels").unwrap_or_default());
    let estimate = head.fields.get("X-Estimate");
    let estimate = estimate.and_then(|ms| ms.parse::<f64>().ok());
    let estimate = estimate.filter(|ms| *ms > 0.0);
    Ok(NewRequest {
        class,
        tenant: head.fields.get("X-Org"),
        time_left: Micros(remaining.min(MAX_REMAINING_MS) * 1000),
        cost_hint: estimate.map(|ms| Micros::from_secs_f64(ms / 1000.0)),
        slots: resources.slots,
        memory: resources.memory,
        licences: resources.licences,
        payload: Payload {
            transaction_id,
            key: passed_on_field(head, "Idempotency-Key")?,
            method: head.method.clone(),
            target: head.target.clone(),
            body: Vec::new(),
        },
    })
}
