//! The kinds of records and their contents.

use marbledeck_federation::Catalog;
use marbledeck_licensing::Pool;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Request rates of the tenants, over all nodes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rates {
    /// Requests per second, by tenant.
    pub per_s: BTreeMap<String, f64>,
}

/// Another site to which jobs may be forwarded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Address of its submission server.
    pub address: std::net::SocketAddr,
    /// The resources that the site offers.
    pub catalog: Catalog,
}

/// The content of a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Body", rename_all = "snake_case")]
pub enum RecordBody {
    /// The content of `settings/rates`.
    Rates(Rates),
    /// The content of `workers/out`: the ids of the workers that are out of service.
    #[serde(rename = "out")]
    OutOfService(BTreeSet<String>),
    /// The content of `seats/NAME`: a pool of licence seats.
    Pool(Pool),
    /// The content of `sites/NAME`.
    Site(Site),
}

/// A record. A removed record keeps its version, so that versions never decrease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Counts the changes of this record, from 1.
    pub version: u64,
    /// No two nodes may act on different versions at the same time.
    #[serde(default)]
    pub exclusive: bool,
    /// The content; `None` once the record is removed.
    pub body: Option<RecordBody>,
    /// The revision of the replicated state at the last change of this record.
    #[serde(rename = "changed")]
    pub changed_revision: u64,
}
