//! Parser of instances in XML.

use crate::error::MalformedResponse;
use crate::instance::{DeltaAction, Instance, InstanceStatus};
use serde::Deserialize;
use std::collections::BTreeMap;

#[derive(Default, Deserialize)]
#[serde(default)]
struct XmlPort {
    #[serde(rename = "@enabled")]
    enabled: String,
    #[serde(rename = "$text")]
    number: String,
}

impl XmlPort {
    fn enabled_port(self) -> Option<u16> {
        let number = self.number.trim().parse().ok();
        number.filter(|n| *n > 0 && self.enabled != "false")
    }
}

#[derive(Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct XmlLease {
    service_up_timestamp: String,
}

/// An instance in XML.
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

/// Parses one instance.
///
/// # Errors
/// The bytes are not XML in UTF-8, or there is no id.
pub(crate) fn parse(bytes: &[u8]) -> Result<Instance, MalformedResponse> {
    let text = std::str::from_utf8(bytes).map_err(MalformedResponse::instance)?;
    let parsed: XmlInstance = quick_xml::de::from_str(text).map_err(MalformedResponse::instance)?;
    // Old Eureka servers identify an instance by its host name.
    let id = if parsed.instance_id.is_empty() {
        parsed.host_name
    } else {
        parsed.instance_id
    };
    if id.is_empty() {
        return Err(MalformedResponse::NoId);
    }
    let number = |text: &str| text.trim().parse().unwrap_or(0);
    Ok(Instance {
        id,
        app: parsed.app,
        status: InstanceStatus::parse(&parsed.status),
        overridden_status: InstanceStatus::parse(&parsed.overridden),
        ip: parsed.ip_addr,
        port: parsed.port.enabled_port(),
        secure_port: parsed.secure_port.enabled_port(),
        vip: parsed.vip_address,
        last_dirty_ms: number(&parsed.last_dirty_timestamp),
        up_since_ms: number(&parsed.lease_info.service_up_timestamp),
        metadata: parsed.metadata,
        action: DeltaAction::parse(&parsed.action_type),
    })
}
