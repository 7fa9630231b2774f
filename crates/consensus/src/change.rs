//! Changes of records, and the part of their validation that does not depend on the replicated state.

use crate::error::ChangeError;
use crate::record::{Rates, RecordBody};
use marbledeck_licensing::Pool;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Limits of one change: the number of records that it writes, and its length in JSON.
const MAX_RECORDS: usize = 64;
const MAX_CHANGE_BYTES: usize = 1024 * 1024;
/// Maximum number of entries in a list within a record.
const MAX_LIST_ENTRIES: usize = 10_000;
/// Maximum length of a record's name.
pub(crate) const MAX_NAME_BYTES: usize = 128;
/// Limits of a pool of licence seats.
const MAX_SEATS: u32 = 1_000_000;
const MAX_LONGEST_RUN_MS: u64 = 24 * 3600 * 1000;

/// An atomic change of one or several records: all of it is applied, or nothing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The version that each record must have now; 0 for a record that never existed. Contains every written record, and
    /// may contain others.
    pub expect: BTreeMap<String, u64>,
    /// The new content of each written record; `null` removes the record.
    pub put: BTreeMap<String, Option<RecordBody>>,
    /// The written records that are exclusive: no two nodes may act on different versions of one at the same time.
    #[serde(default)]
    pub exclusive: BTreeSet<String>,
}

impl Change {
    /// Validates everything that does not depend on the current records.
    ///
    /// # Errors
    /// The first violation, with its record and key.
    pub fn check(&self) -> Result<(), ChangeError> {
        if self.put.is_empty() || self.put.len() + self.expect.len() > 2 * MAX_RECORDS {
            return Err(ChangeError::InvalidSize("wants 1 to 64 records".to_owned()));
        }
        let bytes = serde_json::to_vec(self).map_or(usize::MAX, |bytes| bytes.len());
        if bytes > MAX_CHANGE_BYTES {
            let message = format!("takes {bytes} bytes; {MAX_CHANGE_BYTES} at most");
            return Err(ChangeError::InvalidSize(message));
        }
        for (record, body) in &self.put {
            if !self.expect.contains_key(record) {
                return Err(ChangeError::MissingExpectedVersion {
                    record: record.clone(),
                });
            }
            check_record(record, body.as_ref())?;
        }
        let mut exclusive = self.exclusive.iter();
        match exclusive.find(|name| !self.put.contains_key(*name)) {
            Some(record) => Err(invalid_record(record, "exclusive, but not written")),
            None => Ok(()),
        }
    }
}

fn invalid_record(record: &str, reason: &str) -> ChangeError {
    ChangeError::InvalidRecord {
        record: record.to_owned(),
        reason: reason.to_owned(),
    }
}

/// An invalid value in a record's body, before the name of the record is added to it.
struct InvalidValue {
    key: String,
    reason: String,
}

impl InvalidValue {
    fn new(key: impl Into<String>, reason: impl Into<String>) -> Self {
        InvalidValue {
            key: key.into(),
            reason: reason.into(),
        }
    }

    fn into_change_error(self, record: &str) -> ChangeError {
        ChangeError::InvalidValue {
            record: record.to_owned(),
            key: self.key,
            reason: self.reason,
        }
    }
}

/// Checks that a record of this name may have this body.
fn check_record(record: &str, body: Option<&RecordBody>) -> Result<(), ChangeError> {
    if record.len() > MAX_NAME_BYTES || !record.bytes().all(|byte| byte.is_ascii_graphic()) {
        let reason = "want a plain name of 128 bytes at most";
        return Err(invalid_record(record, reason));
    }
    let unknown_name = || Err(invalid_record(record, "no records have such a name"));
    let (prefix, name) = record.split_once('/').unwrap_or_default();
    if name.is_empty() {
        return unknown_name();
    }
    let result = match (prefix, name, body) {
        ("settings", "rates", None) | ("workers", "out", None) | ("seats" | "sites", _, None) => {
            Ok(())
        }
        ("settings", "rates", Some(RecordBody::Rates(rates))) => check_rates(rates),
        ("workers", "out", Some(RecordBody::OutOfService(workers))) => check_workers(workers),
        ("seats", _, Some(RecordBody::Pool(pool))) => check_pool(pool),
        ("sites", _, Some(RecordBody::Site(site))) => site
            .catalog
            .validate()
            .map_err(|error| InvalidValue::new(format!("catalog.{}", error.key), error.problem)),
        ("settings" | "workers" | "seats" | "sites", _, Some(_)) => {
            return Err(invalid_record(record, "it cannot hold this"));
        }
        _ => return unknown_name(),
    };
    result.map_err(|invalid| invalid.into_change_error(record))
}

fn check_rates(rates: &Rates) -> Result<(), InvalidValue> {
    let is_invalid = |rate: f64| !rate.is_finite() || rate < 0.0;
    let invalid = rates.per_s.iter().find(|(_, rate)| is_invalid(**rate));
    if let Some((tenant, _)) = invalid {
        let key = format!("per_s.{tenant}");
        return Err(InvalidValue::new(key, "want a number, 0 or more"));
    }
    if rates.per_s.len() > MAX_LIST_ENTRIES {
        return Err(InvalidValue::new("per_s", "too many entries"));
    }
    Ok(())
}

fn check_workers(workers: &BTreeSet<String>) -> Result<(), InvalidValue> {
    if workers.len() > MAX_LIST_ENTRIES {
        return Err(InvalidValue::new("out", "too many entries"));
    }
    Ok(())
}

fn check_pool(pool: &Pool) -> Result<(), InvalidValue> {
    let guaranteed = pool.guaranteed.values();
    let guaranteed: u64 = guaranteed.map(|seats| u64::from(*seats)).sum();
    if pool.seats > MAX_SEATS {
        return Err(InvalidValue::new("seats", "want 1,000,000 at most"));
    }
    if guaranteed > u64::from(pool.seats) {
        let reason = "the parts are more than there are seats";
        return Err(InvalidValue::new("guaranteed", reason));
    }
    if !(1..=MAX_LONGEST_RUN_MS).contains(&pool.longest_run_ms) {
        return Err(InvalidValue::new("longest_run_ms", "want 1 to 86,400,000"));
    }
    Ok(())
}
