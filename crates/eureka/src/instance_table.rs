//! The instances of a registry as this node knows them: applies deltas, and computes the hash code that the registry's
//! is compared with.

use crate::instance::InstanceStatus;
use crate::poll::Change;
use marbledeck_membership::{SourceReport, Status};
use std::collections::{BTreeMap, HashMap};

/// The application and the id of an instance.
pub(crate) type InstanceKey = (String, String);

/// An instance in the registry.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct KnownInstance {
    pub(crate) status: InstanceStatus,
    /// The worker's id; none if the instance is not a worker.
    pub(crate) worker: Option<String>,
}

/// An instance of a delta.
pub(crate) struct DeltaEntry {
    pub(crate) key: InstanceKey,
    pub(crate) status: InstanceStatus,
    /// None if the instance is not a worker.
    pub(crate) report: Option<SourceReport>,
    pub(crate) is_deleted: bool,
}

/// The instances of a registry.
#[derive(Default)]
pub(crate) struct InstanceTable {
    instances: HashMap<InstanceKey, KnownInstance>,
    /// The number of instances in each status, to compute the hash code.
    status_counts: BTreeMap<&'static str, usize>,
}

impl InstanceTable {
    /// Creates a table of the instances of a full list.
    pub(crate) fn new(instances: HashMap<InstanceKey, KnownInstance>) -> Self {
        let mut status_counts: BTreeMap<&'static str, usize> = BTreeMap::new();
        for known in instances.values() {
            *status_counts.entry(known.status.wire_name()).or_default() += 1;
        }
        InstanceTable {
            instances,
            status_counts,
        }
    }

    /// The number of instances.
    pub(crate) fn len(&self) -> usize {
        self.instances.len()
    }

    /// Applies an entry of a delta, and adds the changes of the membership that it causes.
    pub(crate) fn apply(&mut self, entry: DeltaEntry, changes: &mut Vec<Change>) {
        if entry.is_deleted {
            return self.remove(entry, changes);
        }
        let known = KnownInstance {
            status: entry.status,
            worker: entry.report.as_ref().map(|report| report.id.clone()),
        };
        let counts = &mut self.status_counts;
        *counts.entry(entry.status.wire_name()).or_default() += 1;
        let old = self.instances.insert(entry.key, known);
        if let Some(old) = &old {
            self.decrement_count(old.status);
        }
        // The worker id may have changed along with the metadata.
        let old_worker = old.and_then(|old| old.worker);
        let is_same = |id: &String| entry.report.as_ref().is_some_and(|report| report.id == *id);
        if let Some(id) = old_worker.filter(|id| !is_same(id)) {
            changes.push(Change::Renamed { id });
        }
        let reported = entry
            .report
            .map(|report| Change::Reported(Box::new(report)));
        changes.extend(reported);
    }

    fn remove(&mut self, entry: DeltaEntry, changes: &mut Vec<Change>) {
        if let Some(old) = self.instances.remove(&entry.key) {
            self.decrement_count(old.status);
        }
        if let Some(report) = entry.report {
            // An instance that leaves on purpose sets its status first. One whose lease has expired is still `UP`.
            let explicit = report.status != Status::Up;
            changes.push(Change::Removed {
                id: report.id,
                explicit,
            });
        }
    }

    fn decrement_count(&mut self, status: InstanceStatus) {
        if let Some(count) = self.status_counts.get_mut(status.wire_name()) {
            *count -= 1;
            if *count == 0 {
                self.status_counts.remove(status.wire_name());
            }
        }
    }

    /// The hash code of the instances, in the form of the registry's `apps__hashcode`.
    pub(crate) fn hash_code(&self) -> String {
        let counts = self.status_counts.iter();
        counts
            .map(|(status, count)| format!("{status}_{count}_"))
            .collect()
    }
}
