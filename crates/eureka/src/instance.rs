//! An instance as a registry tells it, in either form, and the word on a worker that it comes to.

use marbledeck_dispatcher::{CellId, Micros};
use marbledeck_membership::{SourceReport, Status};
use serde::de::{Deserializer, Error};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{IpAddr, SocketAddr};

/// A status on the wire.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InstanceStatus {
    Up,
    Down,
    Starting,
    OutOfService,
    /// Also for any word that is none of these, as the registry's own client takes it.
    #[default]
    Unknown,
}

impl InstanceStatus {
    /// The word on the wire.
    pub fn word(self) -> &'static str {
        match self {
            InstanceStatus::Up => "UP",
            InstanceStatus::Down => "DOWN",
            InstanceStatus::Starting => "STARTING",
            InstanceStatus::OutOfService => "OUT_OF_SERVICE",
            InstanceStatus::Unknown => "UNKNOWN",
        }
    }

    fn read(word: &str) -> Self {
        let known = [
            InstanceStatus::Up,
            InstanceStatus::Down,
            InstanceStatus::Starting,
            InstanceStatus::OutOfService,
        ];
        let found = known
            .into_iter()
            .find(|s| s.word().eq_ignore_ascii_case(word));
        found.unwrap_or_default()
    }
}

/// What a delta says of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Action {
    Added,
    #[default]
    Modified,
    Deleted,
}

/// An instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Instance {
    /// By which the registry knows it within its application.
    pub id: String,
    pub app: String,
    pub status: InstanceStatus,
    /// Set from outside, over what the instance says of itself.
    pub overridden: InstanceStatus,
    pub ip: String,
    pub port: Option<u16>,
    pub secure_port: Option<u16>,
    pub vip: String,
    /// Unix milliseconds; 0 where it is not told.
    pub dirty_ms: u64,
    pub up_since_ms: u64,
    pub metadata: BTreeMap<String, String>,
    pub action: Action,
}

/// Which metadata name what the node wants to know.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Keys {
    /// The worker's id; the instance's where it is not there.
    pub id: Option<String>,
    pub zone: Option<String>,
    pub kind: Option<String>,
    /// The small group whose workers share which keys they have seen: a number, or any word.
    pub rack: Option<String>,
    /// Whether the secure port is spoken to.
    pub secure: bool,
}

impl Instance {
    /// The status that counts.
    pub fn effective(&self) -> InstanceStatus {
        match self.overridden {
            InstanceStatus::Unknown => self.status,
            set => set,
        }
    }

    /// What this comes to as a word on a worker.
    pub fn word(&self, keys: &Keys) -> SourceReport {
        let of = |key: &Option<String>| key.as_ref().and_then(|key| self.metadata.get(key));
        let port = if keys.secure {
            self.secure_port
        } else {
            self.port
        };
        let ip: Option<IpAddr> = self.ip.parse().ok();
        let rack = of(&keys.rack).filter(|rack| !rack.is_empty());
        SourceReport {
            id: of(&keys.id).unwrap_or(&self.id).clone(),
            address: ip.zip(port).map(|(ip, port)| SocketAddr::new(ip, port)),
            status: match self.effective() {
                InstanceStatus::Up => Status::Up,
                InstanceStatus::Down => Status::Down,
                InstanceStatus::Starting => Status::Starting,
                InstanceStatus::OutOfService => Status::OutOfService,
                InstanceStatus::Unknown => Status::Unknown,
            },
            zone: of(&keys.zone).cloned().unwrap_or_default(),
            kind: of(&keys.kind).cloned().unwrap_or_default(),
            cell: rack.map(|rack| CellId(rack.parse().unwrap_or_else(|_| hashed(rack)))),
            started_at: (self.up_since_ms > 0)
                .then(|| Micros(self.up_since_ms.saturating_mul(1000))),
            version: self.dirty_ms,
        }
    }
}

fn hashed(word: &str) -> u32 {
    let mut hasher = DefaultHasher::new();
    word.hash(&mut hasher);
    hasher.finish() as u32
}

/// The code by which a registry lets its clients check what they hold: each status with how many instances have it,
/// in the order of their words.
pub fn hash_code(statuses: impl Iterator<Item = InstanceStatus>) -> String {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for status in statuses {
        *counts.entry(status.word()).or_default() += 1;
    }
    counts
        .into_iter()
        .fold(String::new(), |mut code, (word, count)| {
            let _ = write!(code, "{word}_{count}_");
            code
        })
}

/// A number, or a text that holds one; anything else is 0.
fn number<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    let value = Value::deserialize(from)?;
    Ok(match &value {
        Value::Number(number) => number.as_u64().unwrap_or(0),
        Value::String(text) => text.trim().parse().unwrap_or(0),
        _ => 0,
    })
}

/// A text; a number or a truth value is taken as its word.
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

fn action(word: &str) -> Action {
    match word {
        "ADDED" => Action::Added,
        "DELETED" => Action::Deleted,
        _ => Action::Modified,
    }
}

/// Reads one instance from JSON.
pub(crate) fn from_json(bytes: &[u8]) -> Result<Instance, String> {
    let read: JsonInstance = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
    // Old servers know an instance by its host.
    let id = if read.instance_id.is_empty() {
        read.host_name
    } else {
        read.instance_id
    };
    if id.is_empty() {
        return Err("an instance without an id".to_owned());
    }
    Ok(Instance {
        id,
        app: read.app,
        status: InstanceStatus::read(&read.status),
        overridden: InstanceStatus::read(&read.overridden),
        ip: read.ip_addr,
        port: read.port,
        secure_port: read.secure_port,
        vip: read.vip_address,
        dirty_ms: read.last_dirty_timestamp,
        up_since_ms: read
            .lease_info
            .map_or(0, |lease| lease.service_up_timestamp),
        metadata: read.metadata,
        action: action(&read.action_type),
    })
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct XmlPort {
    #[serde(rename = "@enabled")]
    enabled: String,
    #[serde(rename = "$text")]
    number: String,
}

impl XmlPort {
    fn read(self) -> Option<u16> {
        let number = self.number.trim().parse().ok();
        number.filter(|n| *n > 0 && self.enabled != "false")
    }
}

#[derive(Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct XmlLease {
    service_up_timestamp: String,
}

/// An instance as XML has it.
#[derive(Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct XmlInstance {
    instance_id: String,
    host_name: String,
    app: String,
    ip_addr: String,
    status: String,
    #[serde(rename = "overriddenstatus", alias = "overriddenStatus")]
    overridden: String,
    port: XmlPort,
    secure_port: XmlPort,
    vip_address: String,
    lease_info: XmlLease,
    metadata: BTreeMap<String, String>,
    last_dirty_timestamp: String,
    action_type: String,
}

/// Reads one instance from XML.
pub(crate) fn from_xml(text: &str) -> Result<Instance, String> {
    let read: XmlInstance = quick_xml::de::from_str(text).map_err(|e| e.to_string())?;
    let id = if read.instance_id.is_empty() {
        read.host_name
    } else {
        read.instance_id
    };
    if id.is_empty() {
        return Err("an instance without an id".to_owned());
    }
    let number = |text: &str| text.trim().parse().unwrap_or(0);
    Ok(Instance {
        id,
        app: read.app,
        status: InstanceStatus::read(&read.status),
        overridden: InstanceStatus::read(&read.overridden),
        ip: read.ip_addr,
        port: read.port.read(),
        secure_port: read.secure_port.read(),
        vip: read.vip_address,
        dirty_ms: number(&read.last_dirty_timestamp),
        up_since_ms: number(&read.lease_info.service_up_timestamp),
        metadata: read.metadata,
        action: action(&read.action_type),
    })
}
