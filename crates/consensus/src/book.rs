//! The records, and the commands that change them: alike at every voter, without a clock.

use crate::error::Refusal;
use marbledeck_federation::Catalog;
use marbledeck_licensing::{Ledger, Move, Pool};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Records of one change, and bytes that it may take.
const MOST_RECORDS: usize = 64;
const MOST_BYTES: usize = 1024 * 1024;
/// Bytes that all records may take together: a voter that is behind, and a node that has just started, are sent all of
/// them in one frame.
const MOST_OF_ALL: usize = 4 * 1024 * 1024;
/// Entries of a list.
const MOST_ENTRIES: usize = 10_000;
/// The longest name of a record, in bytes.
const LONGEST_NAME: usize = 128;
/// Seats of a pool, and the longest run of a call.
const MOST_SEATS: u32 = 1_000_000;
const LONGEST_RUN_MS: u64 = 24 * 3600 * 1000;

/// Jobs a second that each tenant may ask for, over all nodes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rates {
    /// By tenant.
    pub per_s: BTreeMap<String, f64>,
}

/// Another site, and what it offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Where its submission front takes connections.
    pub address: std::net::SocketAddr,
    /// What it offers.
    pub catalog: Catalog,
}

/// What a record holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// `settings/rates`.
    Rates(Rates),
    /// `workers/out`: the ids of workers out of service.
    Out(BTreeSet<String>),
    /// `seats/NAME`.
    Pool(Pool),
    /// `sites/NAME`.
    Site(Site),
}

/// A record. One that was removed keeps its version, so that versions never go back.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Counts its changes, from 1 on.
    pub version: u64,
    /// No two versions of it may act at a time.
    #[serde(default)]
    pub exclusive: bool,
    /// None where it was removed.
    pub body: Option<Body>,
    /// The revision of the book in which it was last changed.
    pub changed: u64,
}

/// A change of one record or several: all of it holds, or none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The version that each record must have; 0 for one that there never was. Records that are only read may be named.
    pub expect: BTreeMap<String, u64>,
    /// What is written; `null` removes.
    pub put: BTreeMap<String, Option<Body>>,
    /// Those of them of which no two versions may act at a time.
    #[serde(default)]
    pub exclusive: BTreeSet<String>,
}

/// What a node may have under way at a time, each counted by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stream {
    /// The moves of its seats.
    Seats,
    /// The changes of its operators.
    Changes,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum What {
    /// Records change.
    Change(Change),
    /// Seats move.
    Seats(Move),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// The node that wants it.
    pub node: u32,
    /// Its start. Later starts have greater numbers.
    pub boot: u64,
    /// Counts the commands of the stream from 1 on; a repeat changes nothing. 0 for what may be repeated.
    pub number: u64,
    /// What is to be done.
    pub what: What,
}

impl Command {
    /// Whether a node may want this: the seats of others, and those that ebb, are the leader's to see to.
    pub fn is_a_nodes(&self) -> bool {
        match &self.what {
            What::Change(change) => change.check().is_ok(),
            What::Seats(Move::Want { .. } | Move::Return { .. }) => true,
            What::Seats(Move::Reclaim { .. } | Move::Free { .. }) => false,
        }
    }

    /// By which stream it is counted.
    pub fn stream(&self) -> Stream {
        match self.what {
            What::Change(_) => Stream::Changes,
            What::Seats(_) => Stream::Seats,
        }
    }
}

/// What has become of a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// All of it holds.
    Done,
    /// Nothing of it does.
    Refused(Refusal),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Last {
    stream: Stream,
    number: u64,
    outcome: Outcome,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Node {
    boot: u64,
    last: Vec<Last>,
}

/// All that the fleet has agreed on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Book {
    revision: u64,
    records: BTreeMap<String, Record>,
    seats: Ledger,
    nodes: BTreeMap<u32, Node>,
}

impl Book {
    /// Carries out a command. The same commands in the same order give the same book everywhere.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        self.revision += 1;
        let (stream, number) = (command.stream(), command.number);
        if number > 0 {
            let node = self.nodes.entry(command.node).or_default();
            if command.boot < node.boot {
                return Outcome::Refused(Refusal::Stale { node: command.node });
            }
            if command.boot > node.boot {
                *node = Node {
                    boot: command.boot,
                    last: Vec::new(),
                };
            }
            let last = node.last.iter().find(|last| last.stream == stream);
            if let Some(last) = last.filter(|last| number <= last.number) {
                return last.outcome.clone();
            }
        }
        let outcome = match &command.what {
            What::Change(change) => self.change(change),
            What::Seats(what) => {
                let records = &self.records;
                let pool = |name: &str| match &records.get(&format!("seats/{name}"))?.body {
                    Some(Body::Pool(pool)) => Some(pool),
                    _ => None,
                };
                self.seats.apply(command.node, command.boot, what, pool);
                Outcome::Done
            }
        };
        if number > 0 {
            let node = self.nodes.entry(command.node).or_default();
            node.last.retain(|last| last.stream != stream);
            node.last.push(Last {
                stream,
                number,
                outcome: outcome.clone(),
            });
        }
        outcome
    }

    fn change(&mut self, change: &Change) -> Outcome {
        // All is checked before anything is written.
        let checked = change.check().and_then(|()| self.expects(change));
        if let Err(refusal) = checked.and_then(|()| self.fits(change)) {
            return Outcome::Refused(refusal);
        }
        for (name, body) in &change.put {
            let version = self.version(name) + 1;
            let exclusive = change.exclusive.contains(name);
            let (body, changed) = (body.clone(), self.revision);
            self.records.insert(
                name.clone(),
                Record {
                    version,
                    exclusive,
                    body,
                    changed,
                },
            );
        }
        Outcome::Done
    }

    fn expects(&self, change: &Change) -> Result<(), Refusal> {
        for (record, &expected) in &change.expect {
            let has = self.version(record);
            if has != expected {
                return Err(Refusal::Version {
                    record: record.clone(),
                    has,
                    expected,
                });
            }
        }
        Ok(())
    }

    /// Whether all records together stay within their bound.
    fn fits(&self, change: &Change) -> Result<(), Refusal> {
        let size =
            |body: &Option<Body>| serde_json::to_vec(body).map_or(MOST_OF_ALL, |bytes| bytes.len());
        let kept = self
            .records
            .iter()
            .filter(|(name, _)| !change.put.contains_key(*name));
        let kept: usize = kept
            .map(|(name, record)| LONGEST_NAME + name.len() + size(&record.body))
            .sum();
        let put: usize = change
            .put
            .iter()
            .map(|(name, body)| LONGEST_NAME + name.len() + size(body))
            .sum();
        match kept + put > MOST_OF_ALL && change.put.values().any(Option::is_some) {
            true => Err(Refusal::Size(format!(
                "makes all records take {} bytes; {MOST_OF_ALL} at most",
                kept + put
            ))),
            false => Ok(()),
        }
    }

    /// The version of a record; 0 where there never was one.
    pub fn version(&self, name: &str) -> u64 {
        self.records.get(name).map_or(0, |record| record.version)
    }

    /// Counts all commands that were carried out.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The records that have changed after this revision.
    pub fn since(&self, revision: u64) -> impl Iterator<Item = (&String, &Record)> {
        self.records
            .iter()
            .filter(move |(_, record)| record.changed > revision)
    }

    /// The pools that there are, by name.
    pub fn pools(&self) -> impl Iterator<Item = (&str, &Pool)> {
        self.records
            .iter()
            .filter_map(|(name, record)| match &record.body {
                Some(Body::Pool(pool)) => Some((name.strip_prefix("seats/")?, pool)),
                _ => None,
            })
    }

    /// Who holds which seats.
    pub fn seats(&self) -> &Ledger {
        &self.seats
    }

    /// The number and the outcome of the last command of a stream of this start of a node.
    pub fn last(&self, node: u32, boot: u64, stream: Stream) -> Option<(u64, &Outcome)> {
        let node = self.nodes.get(&node).filter(|node| node.boot == boot)?;
        let last = node.last.iter().find(|last| last.stream == stream)?;
        Some((last.number, &last.outcome))
    }

    /// Whether a later start of this node has sent commands.
    pub fn is_stale(&self, node: u32, boot: u64) -> bool {
        self.nodes.get(&node).is_some_and(|node| node.boot > boot)
    }
}

impl Change {
    /// What can be said of a change without the book.
    ///
    /// # Errors
    /// The first thing that is wrong, with its record and key.
    pub fn check(&self) -> Result<(), Refusal> {
        if self.put.is_empty() || self.put.len() + self.expect.len() > 2 * MOST_RECORDS {
            return Err(Refusal::Size("wants 1 to 64 records".to_owned()));
        }
        let bytes = serde_json::to_vec(self).map_or(usize::MAX, |bytes| bytes.len());
        if bytes > MOST_BYTES {
            return Err(Refusal::Size(format!(
                "takes {bytes} bytes; {MOST_BYTES} at most"
            )));
        }
        for (record, body) in &self.put {
            if !self.expect.contains_key(record) {
                return Err(Refusal::Unnamed {
                    record: record.clone(),
                });
            }
            check(record, body.as_ref())?;
        }
        match self
            .exclusive
            .iter()
            .find(|name| !self.put.contains_key(*name))
        {
            Some(record) => Err(Refusal::Name {
                record: record.clone(),
                what: "exclusive, but not written".to_owned(),
            }),
            None => Ok(()),
        }
    }
}

/// Whether a record of this name may hold this.
fn check(record: &str, body: Option<&Body>) -> Result<(), Refusal> {
    let name = |what: &str| {
        Err(Refusal::Name {
            record: record.to_owned(),
            what: what.to_owned(),
        })
    };
    let value = |key: &str, what: &str| {
        let (record, key, what) = (record.to_owned(), key.to_owned(), what.to_owned());
        Err(Refusal::Value { record, key, what })
    };
    if record.len() > LONGEST_NAME || !record.bytes().all(|b| b.is_ascii_graphic()) {
        return name("want a plain name of 128 bytes at most");
    }
    let (folder, rest) = record.split_once('/').unwrap_or_default();
    if rest.is_empty() {
        return name("no records have such a name");
    }
    match (folder, rest, body) {
        ("settings", "rates", None) | ("workers", "out", None) | ("seats" | "sites", _, None) => {
            Ok(())
        }
        ("settings", "rates", Some(Body::Rates(rates))) => {
            let bad = |rate: &&f64| !rate.is_finite() || **rate < 0.0;
            match rates.per_s.iter().find(|(_, rate)| bad(rate)) {
                Some((tenant, _)) => value(&format!("per_s.{tenant}"), "want a number, 0 or more"),
                None if rates.per_s.len() > MOST_ENTRIES => value("per_s", "too many entries"),
                None => Ok(()),
            }
        }
        ("workers", "out", Some(Body::Out(out))) => match out.len() > MOST_ENTRIES {
            true => value("out", "too many entries"),
            false => Ok(()),
        },
        ("seats", _, Some(Body::Pool(pool))) => {
            let parts: u64 = pool.guaranteed.values().map(|part| u64::from(*part)).sum();
            if pool.seats > MOST_SEATS {
                value("seats", "want 1,000,000 at most")
            } else if parts > u64::from(pool.seats) {
                value("guaranteed", "the parts are more than there are seats")
            } else if !(1..=LONGEST_RUN_MS).contains(&pool.longest_run_ms) {
                value("longest_run_ms", "want 1 to 86,400,000")
            } else {
                Ok(())
            }
        }
        ("sites", _, Some(Body::Site(site))) => match site.catalog.validate() {
            Err(wrong) => value(&format!("catalog.{}", wrong.key), wrong.problem),
            Ok(()) => Ok(()),
        },
        ("settings" | "workers" | "seats" | "sites", _, Some(_)) => name("it cannot hold this"),
        _ => name("no records have such a name"),
    }
}
