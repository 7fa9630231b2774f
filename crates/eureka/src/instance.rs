//! An instance as a registry reports it, and the report on a worker that it comes to.

use marbledeck_dispatcher::{CellId, Micros};
use marbledeck_membership::{SourceReport, Status};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{IpAddr, SocketAddr};

/// A status on the wire.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InstanceStatus {
    /// It takes work.
    Up,
    /// It does not answer.
    Down,
    /// It does not take work yet.
    Starting,
    /// It was taken out of service.
    OutOfService,
    /// Also for any other name, as the registry's own client takes it.
    #[default]
    Unknown,
}

impl InstanceStatus {
    /// The name on the wire.
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
        let known = [
            InstanceStatus::Up,
            InstanceStatus::Down,
            InstanceStatus::Starting,
            InstanceStatus::OutOfService,
        ];
        let found = known
            .into_iter()
            .find(|status| status.wire_name().eq_ignore_ascii_case(name));
        found.unwrap_or_default()
    }
}

/// What a delta says of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeltaAction {
    /// It is new.
    Added,
    /// It has changed.
    #[default]
    Modified,
    /// It is gone.
    Deleted,
}

/// An instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Instance {
    /// By which the registry knows it within its application.
    pub id: String,
    /// Its application.
    pub app: String,
    /// What it reports of itself.
    pub status: InstanceStatus,
    /// Set from outside, over what it reports of itself.
    pub overridden_status: InstanceStatus,
    /// Its address; empty where it is not reported.
    pub ip: String,
    /// Its port, where that is enabled.
    pub port: Option<u16>,
    /// Its port for HTTPS, where that is enabled.
    pub secure_port: Option<u16>,
    /// Its virtual addresses, separated by commas.
    pub vip: String,
    /// When it last changed, in Unix milliseconds; 0 where it is not reported.
    pub last_dirty_ms: u64,
    /// When it started, in Unix milliseconds; 0 where it is not reported.
    pub up_since_ms: u64,
    /// What else it says of itself.
    pub metadata: BTreeMap<String, String>,
    /// What a delta says of it.
    pub action: DeltaAction,
}

/// Which metadata keys hold what the node needs to know.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MetadataKeys {
    /// The worker's id; the instance's where it is not there.
    pub id: Option<String>,
    /// Its zone.
    pub zone: Option<String>,
    /// Its kind of machine.
    pub kind: Option<String>,
    /// The cell whose workers share which idempotency keys they have seen: a number, or any text.
    pub rack: Option<String>,
    /// Whether the secure port is used.
    pub secure: bool,
}

impl Instance {
    /// The status that counts.
    pub fn effective(&self) -> InstanceStatus {
        match self.overridden_status {
            InstanceStatus::Unknown => self.status,
            set => set,
        }
    }

    /// What this comes to as a report on a worker.
    pub fn source_report(&self, keys: &MetadataKeys) -> SourceReport {
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

/// The code by which a registry lets its clients check what they hold: each status with how many instances have it,
/// in the order of their names.
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
