//! Instances of a registry, and their conversion to reports on workers.

use marbledeck_dispatcher::{CellId, Micros};
use marbledeck_membership::{SourceReport, Status};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{IpAddr, SocketAddr};

/// The status of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InstanceStatus {
    /// The instance accepts traffic.
    Up,
    /// The instance does not respond.
    Down,
    /// The instance does not accept traffic yet.
    Starting,
    /// The instance was taken out of service on purpose.
    OutOfService,
    /// Unknown, or any other name on the wire, as Eureka's own client handles it.
    #[default]
    Unknown,
}

impl InstanceStatus {
    /// The status's name on the wire.
    pub fn wire_name(self) -> &'static str {
        match self {
            InstanceStatus::Up => "UP",
            InstanceStatus::Down => "DOWN",
            InstanceStatus::Starting => "STARTING",
            InstanceStatus::OutOfService => "OUT_OF_SERVICE",
            InstanceStatus::Unknown => "UNKNOWN",
        }
    }

    pub(crate) fn parse(name: &str) -> Self {
        let statuses = [
            InstanceStatus::Up,
            InstanceStatus::Down,
            InstanceStatus::Starting,
            InstanceStatus::OutOfService,
        ];
        let found = statuses
            .into_iter()
            .find(|status| status.wire_name().eq_ignore_ascii_case(name));
        found.unwrap_or_default()
    }
}

/// The kind of change that a delta reports of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeltaAction {
    /// The instance was registered.
    Added,
    /// The instance has changed.
    #[default]
    Modified,
    /// The instance was removed from the registry.
    Deleted,
}

/// An instance of an application, as a registry reports it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Instance {
    /// The id, unique within the application.
    pub id: String,
    /// The name of the application.
    pub app: String,
    /// The status that the instance reports.
    pub status: InstanceStatus,
    /// The status set by an operator, which takes precedence; unknown where none is set.
    pub overridden_status: InstanceStatus,
    /// The IP address; empty where it is not reported.
    pub ip: String,
    /// The port, if it is enabled.
    pub port: Option<u16>,
    /// The HTTPS port, if it is enabled.
    pub secure_port: Option<u16>,
    /// The virtual addresses (VIPs), separated by commas.
    pub vip: String,
    /// The time of the last change in Unix milliseconds; 0 where it is not reported.
    pub last_dirty_ms: u64,
    /// The time at which the instance went up in Unix milliseconds; 0 where it is not reported.
    pub up_since_ms: u64,
    /// Additional key-value pairs set by the instance.
    pub metadata: BTreeMap<String, String>,
    /// The kind of change; only meaningful in a delta.
    pub action: DeltaAction,
}

/// The metadata keys of a worker's attributes, and the port to use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MetadataKeys {
    /// The key of the worker's id. Without a value, the instance's id is used.
    pub id: Option<String>,
    /// The key of the worker's zone.
    pub zone: Option<String>,
    /// The key of the worker's kind of machine.
    pub kind: Option<String>,
    /// The key of the worker's cell, whose workers share the record of idempotency keys. The value is a number, or any
    /// other text, which is hashed.
    pub rack: Option<String>,
    /// Whether to use the HTTPS port.
    pub secure: bool,
}

impl Instance {
    /// The effective status: the overridden status if one is set.
    pub fn effective(&self) -> InstanceStatus {
        match self.overridden_status {
            InstanceStatus::Unknown => self.status,
            overridden => overridden,
        }
    }

    /// Converts the instance to a report on a worker.
    pub fn source_report(&self, keys: &MetadataKeys) -> SourceReport {
        let value_of = |key: &Option<String>| key.as_ref().and_then(|key| self.metadata.get(key));
        let port = if keys.secure {
            self.secure_port
        } else {
            self.port
        };
        let ip: Option<IpAddr> = self.ip.parse().ok();
        let rack = value_of(&keys.rack).filter(|rack| !rack.is_empty());
        SourceReport {
            id: value_of(&keys.id).unwrap_or(&self.id).clone(),
            address: ip.zip(port).map(|(ip, port)| SocketAddr::new(ip, port)),
            status: match self.effective() {
                InstanceStatus::Up => Status::Up,
                InstanceStatus::Down => Status::Down,
                InstanceStatus::Starting => Status::Starting,
                InstanceStatus::OutOfService => Status::OutOfService,
                InstanceStatus::Unknown => Status::Unknown,
            },
            zone: value_of(&keys.zone).cloned().unwrap_or_default(),
            kind: value_of(&keys.kind).cloned().unwrap_or_default(),
            cell: rack.map(|rack| CellId(rack.parse().unwrap_or_else(|_| hash_of(rack)))),
            listed_start: None,
            started_at: (self.up_since_ms > 0)
                .then(|| Micros(self.up_since_ms.saturating_mul(1000))),
            version: self.last_dirty_ms,
        }
    }
}

fn hash_of(text: &str) -> u32 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish() as u32
}

/// Computes Eureka's hash code, by which a client checks its copy of the registry: each status and the number of its
/// instances, in alphabetical order.
pub fn hash_code(statuses: impl Iterator<Item = InstanceStatus>) -> String {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for status in statuses {
        *counts.entry(status.wire_name()).or_default() += 1;
    }
    counts
        .into_iter()
        .fold(String::new(), |mut code, (name, count)| {
            let _ = write!(code, "{name}_{count}_");
            code
        })
}

impl DeltaAction {
    pub(crate) fn parse(name: &str) -> Self {
        match name {
            "ADDED" => DeltaAction::Added,
            "DELETED" => DeltaAction::Deleted,
            _ => DeltaAction::Modified,
        }
    }
}
