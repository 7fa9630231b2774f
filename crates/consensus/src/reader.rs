//! Leased reads: which records a node may act on, and until when.

use crate::lease::LeaseTerms;
use crate::record::Record;
use crate::wire::ReadResponse;
use marbledeck_dispatcher::Micros;
use std::collections::BTreeMap;

/// Whether a node may act on a record now.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordValidity<'a> {
    /// It may act on this version.
    Active(&'a Record),
    /// It may act on neither the previous version nor the new one: the record is exclusive, and other nodes may still act
    /// on the previous one.
    Pending,
    /// The node has no valid lease: the fallback for this kind of record applies.
    Unconfirmed {
        /// The latest version that the node knows.
        latest: &'a Record,
        /// The version that it knew before.
        previous: Option<&'a Record>,
    },
    /// The node has never read the record.
    Unknown,
}

/// A read request to be sent to a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadTicket {
    /// Number of the request, repeated in the response.
    pub request_id: u64,
    /// The revision up to which the node knows the records.
    pub known_revision: u64,
}

#[derive(Clone, Debug)]
struct KnownRecord {
    record: Record,
    previous: Option<Record>,
    /// The node does not act on the record before this time.
    active_from: Micros,
}

/// The leased reads of one node.
#[derive(Clone, Debug)]
pub struct LeasedReader {
    terms: LeaseTerms,
    records: BTreeMap<String, KnownRecord>,
    revision: u64,
    lease_expiry: Micros,
    /// Number of the last request.
    request_id: u64,
    /// When the outstanding request was sent; `None` if there is none.
    request_sent: Option<Micros>,
    /// A later incarnation of this node exists, so that this one must not act on records any more.
    stale: bool,
}

impl LeasedReader {
    /// Creates a reader that knows no records and has no lease.
    pub fn new(terms: LeaseTerms) -> Self {
        LeasedReader {
            terms,
            records: BTreeMap::new(),
            revision: 0,
            lease_expiry: Micros(0),
            request_id: 0,
            request_sent: None,
            stale: false,
        }
    }

    /// Begins a new request and abandons the outstanding one. `now` must be read before the request is sent: the lease
    /// counts from it.
    pub fn begin_read(&mut self, now: Micros) -> ReadTicket {
        self.request_id += 1;
        self.request_sent = Some(now);
        ReadTicket {
            request_id: self.request_id,
            known_revision: self.revision,
        }
    }

    /// Applies a response and renews the lease. Returns false, and changes nothing, for a response to another request or
    /// of an earlier revision than the known one.
    pub fn apply_response(&mut self, now: Micros, response: &ReadResponse) -> bool {
        let request_sent = self.request_sent;
        let matching = request_sent.filter(|_| response.request_id == self.request_id);
        let Some(request_sent) = matching else {
            return false;
        };
        if response.revision < self.revision {
            return false;
        }
        self.request_sent = None;
        self.stale = response.stale;
        for (name, record) in &response.records {
            self.apply_record(now, name, record);
        }
        self.revision = response.revision;
        // The lease counts from before the request was sent: the response shows the state at some later moment.
        self.lease_expiry = request_sent + self.terms.duration;
        true
    }

    fn apply_record(&mut self, now: Micros, name: &str, record: &Record) {
        let known = self.records.get(name);
        if known.is_some_and(|known| known.record.version >= record.version) {
            return;
        }
        // This includes the first version that a node reads: other nodes may still act on an earlier one.
        let active_from = if record.exclusive {
            now + self.terms.activation_delay()
        } else {
            Micros(0)
        };
        let known = KnownRecord {
            record: record.clone(),
            previous: known.map(|known| known.record.clone()),
            active_from,
        };
        self.records.insert(name.to_owned(), known);
    }

    /// Whether the node may act on a record. `now` must be read just before the node acts.
    pub fn validity(&self, now: Micros, name: &str) -> RecordValidity<'_> {
        let Some(known) = self.records.get(name) else {
            return RecordValidity::Unknown;
        };
        if !self.has_lease(now) {
            return RecordValidity::Unconfirmed {
                latest: &known.record,
                previous: known.previous.as_ref(),
            };
        }
        if now < known.active_from {
            RecordValidity::Pending
        } else {
            RecordValidity::Active(&known.record)
        }
    }

    /// Whether the node has a valid lease.
    pub fn has_lease(&self, now: Micros) -> bool {
        now < self.lease_expiry && !self.stale
    }

    /// When the lease expires; 0 where a later incarnation of the node exists.
    pub fn lease_expiry(&self) -> Micros {
        if self.stale {
            Micros(0)
        } else {
            self.lease_expiry
        }
    }

    /// The revision up to which the records are known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The names of all known records.
    pub fn record_names(&self) -> impl Iterator<Item = &str> {
        self.records.keys().map(String::as_str)
    }

    /// When the next pending record becomes active.
    pub fn next_activation(&self, now: Micros) -> Option<Micros> {
        let activations = self.records.values().map(|known| known.active_from);
        activations.filter(|time| *time > now).min()
    }
}
