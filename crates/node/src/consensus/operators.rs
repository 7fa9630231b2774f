//! Operators' calls: `records` shows the records, and `change` changes one.

use super::voting::Voting;
use super::Consensus;
use crate::context::Context;
use crate::net::Token;
use marbledeck_consensus::{Change, Command, LeasedReader, Operation, RecordValidity};
use marbledeck_dispatcher::Micros;
use std::fmt::Write as _;

/// The most changes of operators that may wait for their outcomes.
const MAX_PENDING_CHANGES: usize = 8;

/// A change of a record whose outcome an operator waits for.
pub(super) struct PendingChange {
    /// The operator's connection.
    pub(super) caller: Token,
    /// The change.
    pub(super) command: Command,
}

impl Consensus {
    /// One line for each record and each pool of seats, and a last line with the revision, the rest of the lease and the
    /// state of the voter.
    pub(super) fn describe_records(&self, now: Micros, context: &Context) -> String {
        let mut text = String::new();
        let Some(reader) = &context.records.reader else {
            return text;
        };
        for name in reader.record_names() {
            describe_record(now, name, reader, &mut text);
        }
        if let Some(licensing) = &context.core.licensing {
            for usage in licensing.allocator.usage() {
                let (pool, tenant) = (usage.pool, usage.tenant);
                let _ = writeln!(
                    text,
                    "seats {pool} {tenant:?}: {} of {} in use here",
                    usage.in_use, usage.held
                );
            }
        }
        let left_ms = (reader.lease_expiry() - now).0 / 1000;
        let voting = self.voting.as_ref();
        let voter = voting.map_or("no voter".to_owned(), Voting::describe);
        let _ = writeln!(
            text,
            "-- revision {}, reading for {left_ms} ms more; {voter}",
            reader.revision()
        );
        text
    }

    /// Takes a change of a record as JSON. A valid change is answered once its outcome is known, an invalid one at once.
    pub(super) fn handle_change(&mut self, caller: Token, json: &str) {
        if let Err(reason) = self.enqueue_change(caller, json) {
            self.replies.push_back((caller, format!("NAK {reason}\n")));
        }
    }

    /// # Errors
    /// Why the change is rejected.
    fn enqueue_change(&mut self, caller: Token, json: &str) -> Result<(), ChangeError> {
        let mut json = serde_json::Deserializer::from_str(json);
        let change: Change = serde_path_to_error::deserialize(&mut json)?;
        if self.pending_changes.len() >= MAX_PENDING_CHANGES {
            return Err(ChangeError::TooMany);
        }
        change
            .check()
            .map_err(|error| ChangeError::Invalid(format!("{error}: {}", error.advice())))?;
        self.latest_change += 1;
        let command = self.command(self.latest_change, Operation::Change(change));
        self.pending_changes
            .push_back(PendingChange { caller, command });
        Ok(())
    }
}

/// Why a change of an operator is rejected before it is proposed.
#[derive(Debug, thiserror::Error)]
enum ChangeError {
    #[error("{}: {}", .0.path(), .0.inner())]
    Unreadable(#[from] serde_path_to_error::Error<serde_json::Error>),
    #[error("too many changes wait; come back in a second")]
    TooMany,
    #[error("{0}")]
    Invalid(String),
}

fn describe_record(now: Micros, name: &str, reader: &LeasedReader, text: &mut String) {
    let (state, record) = match reader.validity(now, name) {
        RecordValidity::Active(record) => ("in force", Some(record)),
        RecordValidity::Pending => ("not yet in force", None),
        RecordValidity::Unconfirmed { latest: record, .. } => ("as last known", Some(record)),
        RecordValidity::Unknown => ("unknown", None),
    };
    let version = record.map_or(0, |record| record.version);
    let body = record.map(|record| serde_json::to_string(&record.body).unwrap_or_default());
    let body = body.unwrap_or_default();
    let _ = writeln!(text, "{name} {version} {state} {body}");
}
