//! Deserialization of messages from positional arrays: a name, then values in a fixed order. Further values at the end
//! are ignored.

use crate::message::{Completed, ListEntry, Message, Order, Text};
use serde::de::{Error, IgnoredAny, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::fmt;

/// Reads the next value; `None` if it is null or missing.
fn optional<'de, T, A>(values: &mut A) -> Result<Option<T>, A::Error>
where
    T: Deserialize<'de>,
    A: SeqAccess<'de>,
{
    Ok(values.next_element::<Option<T>>()?.flatten())
}

/// Reads the next value, which must be present.
fn required<'de, T, A>(values: &mut A, name: &str) -> Result<T, A::Error>
where
    T: Deserialize<'de>,
    A: SeqAccess<'de>,
{
    let value = optional(values)?;
    value.ok_or_else(|| A::Error::custom(format_args!("missing value '{name}'")))
}

/// Skips a value that the adapter does not use.
fn skip<'de, A: SeqAccess<'de>>(values: &mut A) -> Result<(), A::Error> {
    values.next_element::<IgnoredAny>().map(|_| ())
}

struct MessageVisitor;

impl<'de> Visitor<'de> for MessageVisitor {
    type Value = Message<'de>;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a message: an array that starts with the message name")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut values: A) -> Result<Message<'de>, A::Error> {
        let name: Text = required(&mut values, "message name")?;
        let message = match &*name.0 {
            "attach" => Message::Attach {
                seed: required(&mut values, "nonce64")?,
                settings: required(&mut values, "facts")?,
            },
            "topology" => parse_topology(&mut values)?,
            "order" => Message::Order(parse_order(&mut values)?),
            "status-note" => parse_status_note(&mut values)?,
            "lapsed" => Message::Lapsed(required(&mut values, "txn")?),
            "killed" => Message::Killed,
            "ack-first" => Message::AckFirst {
                txn: required(&mut values, "txn")?,
                attempt: required(&mut values, "go")?,
            },
            "health-result" => parse_health_result(&mut values)?,
            "wakeup" => Message::Wakeup(required(&mut values, "ref")?),
            "completed" => Message::Completed(parse_completed(&mut values)?),
            _ => Message::Unknown,
        };
        while values.next_element::<IgnoredAny>()?.is_some() {}
        Ok(message)
    }
}

fn parse_topology<'de, A: SeqAccess<'de>>(values: &mut A) -> Result<Message<'de>, A::Error> {
    let kind = required(values, "how")?;
    skip(values)?;
    let entries = optional(values)?.unwrap_or_default();
    Ok(Message::Topology { kind, entries })
}

fn parse_order<'de, A: SeqAccess<'de>>(values: &mut A) -> Result<Order<'de>, A::Error> {
    let txn = required(values, "txn")?;
    let class = required(values, "profile")?;
    let tenant = optional(values)?.unwrap_or(0);
    skip(values)?;
    Ok(Order {
        txn,
        class,
        tenant,
        time_left_us: required(values, "time-left-us")?,
        cost_guess_us: optional(values)?,
        slots: optional(values)?.unwrap_or(0.0),
        memory: optional(values)?.unwrap_or(0.0),
    })
}

fn parse_status_note<'de, A: SeqAccess<'de>>(values: &mut A) -> Result<Message<'de>, A::Error> {
    let txn = required(values, "txn")?;
    let attempt = required(values, "go")?;
    skip(values)?;
    let topic = required(values, "topic")?;
    Ok(Message::StatusNote {
        txn,
        attempt,
        topic,
    })
}

fn parse_health_result<'de, A: SeqAccess<'de>>(values: &mut A) -> Result<Message<'de>, A::Error> {
    let worker = required(values, "worker")?;
    let outcome_code = required(values, "outcome")?;
    skip(values)?;
    let report = optional(values)?;
    Ok(Message::HealthResult {
        worker,
        outcome_code,
        report,
    })
}

fn parse_completed<'de, A: SeqAccess<'de>>(values: &mut A) -> Result<Completed<'de>, A::Error> {
    let txn = required(values, "txn")?;
    let outcome_code = required(values, "outcome")?;
    let request_closed = optional(values)?.unwrap_or(false);
    let worker = required(values, "worker")?;
    let attempt = required(values, "go")?;
    skip(values)?;
    Ok(Completed {
        txn,
        outcome_code,
        request_closed,
        worker,
        attempt,
        latency_us: optional(values)?.unwrap_or(0),
        report: optional(values)?,
    })
}

impl<'de: 'a, 'a> Deserialize<'de> for Message<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(MessageVisitor)
    }
}

struct EntryVisitor;

impl<'de> Visitor<'de> for EntryVisitor {
    type Value = ListEntry<'de>;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("an entry of the worker list: an array")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut values: A) -> Result<ListEntry<'de>, A::Error> {
        let state = required(&mut values, "stage-state")?;
        let zone = optional(&mut values)?.unwrap_or(0);
        skip(&mut values)?;
        let entry = ListEntry {
            state,
            zone,
            kind: optional(&mut values)?.unwrap_or(0),
            worker: required(&mut values, "worker")?,
            start_time_us: optional(&mut values)?,
            cell: optional(&mut values)?,
        };
        while values.next_element::<IgnoredAny>()?.is_some() {}
        Ok(entry)
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for ListEntry<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(EntryVisitor)
    }
}
