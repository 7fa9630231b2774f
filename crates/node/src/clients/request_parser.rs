//! Parses a client's request head into the core's form, and checks what can be checked without the settings.

use super::reply::Notice;
use crate::core::{NewRequest, Payload};
use crate::net::http::RequestHead;
use marbledeck_dispatcher::Micros;

/// The maximum for a client's remaining time, in milliseconds; larger values are reduced to it.
const MAX_REMAINING_MS: u64 = 24 * 3600 * 1000;
/// The maximum length of a transaction id, key or target.
const MAX_FORWARDED_LENGTH: usize = 2048;

fn bad_request(text: &str) -> Notice {
    Notice::new(400, text)
}

/// Whether a value can be forwarded in the head of an attempt: only visible ASCII characters, and not too many. A
/// worker that can't parse any other value would close the connection of this node, not of the client.
fn is_forwardable(value: &str) -> bool {
    (1..=MAX_FORWARDED_LENGTH).contains(&value.len()) && value.bytes().all(|b| b.is_ascii_graphic())
}

/// A field that is forwarded unchanged in the head of the attempt. It may be absent, but not be empty or repeated.
fn forwarded_field(head: &RequestHead, name: &str) -> Result<Option<String>, Notice> {
    match head.fields.get(name) {
        Some(value) if is_forwardable(value) => Ok(Some(value.to_owned())),
        None if !head.fields.has(name) => Ok(None),
        _ => Err(bad_request(&format!("{name} wants one word"))),
    }
}

/// How long the client will still wait, in milliseconds.
fn remaining_ms(head: &RequestHead) -> Result<u64, Notice> {
    let text = head.fields.get("X-Remaining-Ms");
    let digits = text.filter(|text| text.bytes().all(|b| b.is_ascii_digit()));
    let millis = digits.and_then(|digits| digits.parse::<u64>().ok());
    millis
        .filter(|ms| *ms > 0)
        .ok_or_else(|| bad_request("X-Remaining-Ms wants whole milliseconds"))
}

/// The resources that a request needs, according to its labels.
#[derive(Default)]
struct Resources<'a> {
    slots: f64,
    memory: f64,
    licences: Vec<&'a str>,
}

impl<'a> Resources<'a> {
    /// Parses the labels, which are `name=value` pairs separated by commas. Unknown names and invalid values are
    /// skipped.
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

/// Parses the head of a request. The payload's body is left empty.
///
/// # Errors
/// A field is missing or malformed.
pub fn parse_request(head: &RequestHead) -> Result<NewRequest<'_>, Notice> {
    let transaction_id =
        forwarded_field(head, "X-Txn")?.ok_or_else(|| bad_request("X-Txn is missing"))?;
    if !is_forwardable(&head.target) || !head.target.starts_with('/') {
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
        has_client_id: true,
        payload: Payload {
            transaction_id,
            key: forwarded_field(head, "Idempotency-Key")?,
            method: head.method.clone(),
            target: head.target.clone(),
            body: Vec::new(),
        },
    })
}
