//! Parser of instances in JSON. It accepts numbers as strings and strings as numbers, because versions of Eureka differ
//! in how they write them.

use crate::error::MalformedResponse;
use crate::instance::{DeltaAction, Instance, InstanceStatus};
use serde::de::{Deserializer, Error};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;

/// Reads a number or a string that contains one; anything else is 0.
fn number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let value = Value::deserialize(deserializer)?;
    Ok(match &value {
        Value::Number(number) => number.as_u64().unwrap_or(0),
        Value::String(text) => text.trim().parse().unwrap_or(0),
        _ => 0,
    })
}

/// Reads a string. Numbers and booleans are converted, null is empty.
fn text<'de, D: Deserializer<'de>>(deserializer: D) -> Result<String, D::Error> {
    match Value::deserialize(deserializer)? {
        Value::String(text) => Ok(text),
        Value::Number(number) => Ok(number.to_string()),
        Value::Bool(value) => Ok(value.to_string()),
        Value::Null => Ok(String::new()),
        _ => Err(D::Error::custom("expected a string, a number or a boolean")),
    }
}

/// Reads a port: `{"$": 8080, "@enabled": "true"}` or the number alone. None if the port is disabled or not valid.
fn port<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<u16>, D::Error> {
    let value = Value::deserialize(deserializer)?;
    let enabled = match value.get("@enabled") {
        None => true,
        Some(Value::Bool(value)) => *value,
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

/// Reads the metadata; values that are lists, objects or null are left out.
fn metadata<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<BTreeMap<String, String>, D::Error> {
    let Value::Object(map) = Value::deserialize(deserializer)? else {
        return Ok(BTreeMap::new());
    };
    let entry = |(name, value): (String, Value)| match value {
        Value::String(text) => Some((name, text)),
        Value::Number(number) => Some((name, number.to_string())),
        Value::Bool(value) => Some((name, value.to_string())),
        _ => None,
    };
    Ok(map.into_iter().filter_map(entry).collect())
}

#[derive(Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct JsonLease {
    #[serde(deserialize_with = "number")]
    service_up_timestamp: u64,
}

/// An instance in JSON.
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

/// Parses one instance.
///
/// # Errors
/// The bytes are not JSON, a value has the wrong type, or there is no id.
pub(crate) fn parse(bytes: &[u8]) -> Result<Instance, MalformedResponse> {
    let parsed: JsonInstance =
        serde_json::from_slice(bytes).map_err(MalformedResponse::instance)?;
    // Old Eureka servers identify an instance by its host name.
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
