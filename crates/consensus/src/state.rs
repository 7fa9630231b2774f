//! The replicated state machine. It is deterministic: the same commands in the same order give the same state at every
//! voter, and no clock is read.

use crate::change::{Change, MAX_NAME_BYTES};
use crate::command::{Command, CommandSequence, LastCommand, Operation, Outcome};
use crate::error::ChangeError;
use crate::record::{Record, RecordBody};
use marbledeck_licensing::{Ledger, Pool};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum size of all records together: a voter that lags behind, and a node that has just started, are sent all of them
/// in one frame.
const MAX_STATE_BYTES: usize = 4 * 1024 * 1024;
/// The name of a licence pool's record is this prefix followed by the name of the licence.
const POOL_PREFIX: &str = "seats/";

/// The last applied commands of one node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Node")]
struct NodeProgress {
    /// The latest incarnation that has sent commands.
    #[serde(rename = "boot")]
    incarnation: u64,
    /// Its last command of each sequence.
    last: Vec<LastCommand>,
}

impl NodeProgress {
    fn last(&self, sequence: CommandSequence) -> Option<&LastCommand> {
        self.last.iter().find(|last| last.sequence == sequence)
    }
}

/// The state that all voters replicate: the records, the holders of licence seats, and each node's last commands.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Book")]
pub struct ReplicatedState {
    revision: u64,
    records: BTreeMap<String, Record>,
    seats: Ledger,
    nodes: BTreeMap<u32, NodeProgress>,
}

impl ReplicatedState {
    /// Applies a command. A repeat changes nothing but the revision, and returns the stored outcome of its sequence.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        self.revision += 1;
        if command.number > 0 {
            if let Some(outcome) = self.find_earlier_outcome(command) {
                return outcome;
            }
        }
        let outcome = self.apply_operation(command);
        if command.number > 0 {
            self.record_outcome(command, outcome.clone());
        }
        outcome
    }

    /// The outcome of a command that must not be applied: it is of an earlier incarnation, or a repeat. A command of a
    /// later incarnation resets the node's progress first.
    fn find_earlier_outcome(&mut self, command: &Command) -> Option<Outcome> {
        let node = self.nodes.entry(command.node).or_default();
        if command.incarnation < node.incarnation {
            let node = command.node;
            return Some(Outcome::Rejected(ChangeError::StaleIncarnation { node }));
        }
        if command.incarnation > node.incarnation {
            *node = NodeProgress {
                incarnation: command.incarnation,
                last: Vec::new(),
            };
        }
        let last = node.last(command.sequence());
        last.filter(|last| command.number <= last.number)
            .map(|last| last.outcome.clone())
    }

    fn apply_operation(&mut self, command: &Command) -> Outcome {
        match &command.operation {
            Operation::Change(change) => self.apply_change(change),
            Operation::Seats(operation) => {
                let records = &self.records;
                let find_pool = |name: &str| {
                    let record = records.get(&format!("{POOL_PREFIX}{name}"))?;
                    match &record.body {
                        Some(RecordBody::Pool(pool)) => Some(pool),
                        _ => None,
                    }
                };
                let (node, incarnation) = (command.node, command.incarnation);
                self.seats.apply(node, incarnation, operation, find_pool);
                Outcome::Done
            }
        }
    }

    fn record_outcome(&mut self, command: &Command, outcome: Outcome) {
        let sequence = command.sequence();
        let node = self.nodes.entry(command.node).or_default();
        node.last.retain(|last| last.sequence != sequence);
        node.last.push(LastCommand {
            sequence,
            number: command.number,
            outcome,
        });
    }

    fn apply_change(&mut self, change: &Change) -> Outcome {
        // All checks precede the first write, so that a rejected change has no effect.
        let checked = change.check().and_then(|()| self.check_versions(change));
        if let Err(error) = checked.and_then(|()| self.check_total_size(change)) {
            return Outcome::Rejected(error);
        }
        for (name, body) in &change.put {
            let record = Record {
                version: self.version(name) + 1,
                exclusive: change.exclusive.contains(name),
                body: body.clone(),
                changed_revision: self.revision,
            };
            self.records.insert(name.clone(), record);
        }
        Outcome::Done
    }

    fn check_versions(&self, change: &Change) -> Result<(), ChangeError> {
        for (record, &expected) in &change.expect {
            let actual = self.version(record);
            if actual != expected {
                return Err(ChangeError::VersionMismatch {
                    record: record.clone(),
                    actual,
                    expected,
                });
            }
        }
        Ok(())
    }

    /// Checks that all records together stay within their limit. A change that only removes records is always allowed.
    fn check_total_size(&self, change: &Change) -> Result<(), ChangeError> {
        let unchanged = self.records.iter();
        let unchanged = unchanged.filter(|(name, _)| !change.put.contains_key(*name));
        let unchanged = unchanged.map(|(name, record)| record_size(name, record.body.as_ref()));
        let written = change.put.iter();
        let written = written.map(|(name, body)| record_size(name, body.as_ref()));
        let total = unchanged.sum::<usize>() + written.sum::<usize>();
        if total > MAX_STATE_BYTES && change.put.values().any(Option::is_some) {
            let message =
                format!("makes all records take {total} bytes; {MAX_STATE_BYTES} at most");
            return Err(ChangeError::InvalidSize(message));
        }
        Ok(())
    }

    /// The version of a record; 0 where it never existed.
    pub fn version(&self, name: &str) -> u64 {
        self.records.get(name).map_or(0, |record| record.version)
    }

    /// The number of commands that were applied, repeats and rejected ones included.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The records that were changed after this revision.
    pub fn records_since(&self, revision: u64) -> impl Iterator<Item = (&String, &Record)> {
        let records = self.records.iter();
        records.filter(move |(_, record)| record.changed_revision > revision)
    }

    /// The pools of licence seats, by the name of the licence.
    pub fn pools(&self) -> impl Iterator<Item = (&str, &Pool)> {
        let records = self.records.iter();
        records.filter_map(|(name, record)| match &record.body {
            Some(RecordBody::Pool(pool)) => Some((name.strip_prefix(POOL_PREFIX)?, pool)),
            _ => None,
        })
    }

    /// The holders of licence seats.
    pub fn seats(&self) -> &Ledger {
        &self.seats
    }

    /// The last command of a sequence that was applied for this incarnation of a node.
    pub fn last_command(
        &self,
        node: u32,
        incarnation: u64,
        sequence: CommandSequence,
    ) -> Option<&LastCommand> {
        let node = self.nodes.get(&node);
        let node = node.filter(|node| node.incarnation == incarnation)?;
        node.last(sequence)
    }

    /// Whether a later incarnation of this node has sent commands.
    pub fn is_stale(&self, node: u32, incarnation: u64) -> bool {
        let node = self.nodes.get(&node);
        node.is_some_and(|node| node.incarnation > incarnation)
    }
}

/// The size of a record as it counts towards `MAX_STATE_BYTES`: its name, its encoded body and a fixed overhead.
fn record_size(name: &str, body: Option<&RecordBody>) -> usize {
    let body = serde_json::to_vec(&body).map_or(MAX_STATE_BYTES, |bytes| bytes.len());
    MAX_NAME_BYTES + name.len() + body
}
