//! An instance as JSON has it. Registries of different versions write numbers as texts and texts as numbers.

use crate::error::MalformedResponse;
use crate::instance::{DeltaAction, Instance, InstanceStatus};
use serde::de::{Deserializer, Error};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;

/// A number, or a text that holds one; anything else is 0.
fn number<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    let value = Value::deserialize(from)?;
    Ok(match &value {
        Value::Number(number) => number.as_u64().unwrap_or(0),
        Value::String(text) => text.trim().parse().unwrap_or(0),
        _ => 0,
    })
}

/// A text; a number or a truth value is taken as text.
fn text<'de, D: Deserializer<'de>>(from: D) -> Result<String, D::Error> {
    match Value::deserialize(from)? {
        Value::String(text) => Ok(text),
        Value::Number(number) => Ok(number.to_string()),
        Value::Bool(truth) => Ok(truth.to_string()),
        Value::Null => Ok(String::new()),
        _ => Err(D::Error::custom("want a text")),
    }
}

/// A port with whether it is enabled, as JSON has it: `{"$": 8080, "@enabled": "true"}`, or the number alone.
fn port<'de, D: Deserializer<'de>>(from: D) -> Result<Option<u16>, D::Error> {
    let value = Value::deserialize(from)?;
    let enabled = match value.get("@enabled") {
        None => true,
        Some(Value::Bool(truth)) => *truth,
        Some(Value::String(text)) => text == "true",
        Some(_) => false,
    };
    let number = value.get("$").unwrap_or(&value);
    let number = match number {
        Value::Number(number) => number.as_u64(),
        Value::String(text) => text.trim().parse().ok(),
        _ => None,
    };
    Ok(number
        .and_then(|n| u16::try_from(n).ok())
        .filter(|n| enabled && *n > 0))
}

fn metadata<'de, D: Deserializer<'de>>(from: D) -> Result<BTreeMap<String, String>, D::Error> {
    let Value::Object(map) = Value::deserialize(from)? else {
        return Ok(BTreeMap::new());
    };
    let plain = |(name, value): (String, Value)| match value {
        Value::String(text) => Some((name, text)),
        Value::Number(number) => Some((name, number.to_string())),
        Value::Bool(truth) => Some((name, truth.to_string())),
        _ => None,
    };
    Ok(map.into_iter().filter_map(plain).collect())
}

#[derive(Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct JsonLease {
    #[serde(deserialize_with = "number")]
    service_up_timestamp: u64,
}

/// An instance as JSON has it.
#[derive(Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct JsonInstance {
    #[serde(deserialize_with = "text")]
    instance_id: String,
    #[serde(deserialize_with = "text")]
    host_name: String,
    #[serde(deserialize_with = "text")]
    app: String,
    #[serde(deserialize_with = "text")]
    ip_addr: String,
    #[serde(deserialize_with = "text")]
    status: String,
    #[serde(
        deserialize_with = "text",
        rename = "overriddenstatus",
        alias = "overriddenStatus"
    )]
    overridden: String,
    #[serde(deserialize_with = "port")]
    port: Option<u16>,
    #[serde(deserialize_with = "port")]
    secure_port: Option<u16>,
    #[serde(deserialize_with = "text")]
    vip_address: String,
    lease_info: Option<JsonLease>,
    #[serde(deserialize_with = "metadata")]
    metadata: BTreeMap<String, String>,
    #[serde(deserialize_with = "number")]
    last_dirty_timestamp: u64,
    #[serde(deserialize_with = "text")]
    action_type: String,
}

/// Reads one instance from JSON.
///
/// # Errors
/// It is not JSON, a value has another type, or there is no id.
pub(crate) fn parse(bytes: &[u8]) -> Result<Instance, MalformedResponse> {
    let parsed: JsonInstance =
        serde_json::from_slice(bytes).map_err(MalformedResponse::instance)?;
    // Old servers know an instance by its host.
    let id = if parsed.instance_id.is_empty() {
        parsed.host_name
    } else {
        parsed.instance_id
    };
    if id.is_empty() {
        return Err(MalformedResponse::NoId);
    }
    Ok(Instance {
        id,
        app: parsed.app,
        status: InstanceStatus::parse(&parsed.status),
        overridden_status: InstanceStatus::parse(&parsed.overridden),
        ip: parsed.ip_addr,
        port: parsed.port,
        secure_port: parsed.secure_port,
        vip: parsed.vip_address,
        last_dirty_ms: parsed.last_dirty_timestamp,
        up_since_ms: parsed
            .lease_info
            .map_or(0, |lease| lease.service_up_timestamp),
        metadata: parsed.metadata,
        action: DeltaAction::parse(&parsed.action_type),
    })
}
