//! What to request from a registry and when: one request at a time, over several registries with failover, each answer
//! taken in the order of the requests.

use crate::error::ResponseError;
use crate::instance::{DeltaAction, Instance, InstanceStatus, MetadataKeys};
use crate::response::{Encoding, ResponseFormat, ResponseItem, ResponseReader};
use marbledeck_dispatcher::Micros;
use marbledeck_membership::{SourceReport, Status};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// What to poll, and how often.
#[derive(Clone, Debug)]
pub struct PollSettings {
    /// How many registries there are; the first is polled first.
    pub registries: usize,
    /// The service path under which a registry answers, as `/eureka`.
    pub path: String,
    /// The applications whose instances are workers; none for all.
    pub apps: Vec<String>,
    /// The virtual address whose instances are workers, read in place of the applications: without deltas.
    pub vip: Option<String>,
    /// Which metadata keys hold what the node needs to know.
    pub keys: MetadataKeys,
    /// How often the registry is polled.
    pub interval: Micros,
    /// How long an answer may take.
    pub timeout: Micros,
    /// The least time between two whole reads that a wrong hash code asks for.
    pub min_full_fetch_interval: Micros,
    /// Whole reads only.
    pub deltas: bool,
}

/// What is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchKind {
    /// The whole list.
    Full,
    /// What has changed lately.
    Delta,
}

/// A request. It is answered by [`Poll::handle_head`], then [`Poll::handle_bytes`], then [`Poll::handle_end`]; or by
/// [`Poll::handle_failure`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// Answers to an earlier request are dropped by this.
    pub number: u64,
    /// Which registry.
    pub registry: usize,
    /// The path, from the root.
    pub path: String,
    /// What is read.
    pub kind: FetchKind,
    /// When it is to be given up.
    pub deadline: Micros,
}

/// A change for the membership; they come in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A whole list begins,
    ListBegin,
    /// names these,
    ListPart(Vec<SourceReport>),
    /// and has ended: who was not named is missing.
    ListEnd,
    /// A worker is named.
    Reported(Box<SourceReport>),
    /// A worker is no longer named.
    Removed {
        /// The worker.
        id: String,
        /// Whether the registry says so on purpose; else the worker may only have been lost.
        explicit: bool,
    },
}

/// Instances of a list that are handed on together.
const LIST_PART_SIZE: usize = 200;
/// Changes of a delta that are taken in a turn.
const MAX_ENTRIES_PER_TURN: usize = 200;
const HASH_MISMATCH: &str = "the hash code does not match";
/// Backoff after failures, from the first to the longest.
const MIN_BACKOFF: Micros = Micros(500_000);
const MAX_BACKOFF: Micros = Micros(30_000_000);

struct OpenRequest {
    request: PollRequest,
    reader: Option<ResponseReader>,
    hash_code: Option<String>,
    /// What a whole read has found.
    instances: HashMap<InstanceKey, KnownInstance>,
    part: Vec<SourceReport>,
    /// What a delta has found: nothing of it counts before its end.
    delta: VecDeque<DeltaEntry>,
}

/// What a delta says of an instance, as far as it matters.
struct DeltaEntry {
    key: InstanceKey,
    status: InstanceStatus,
    report: Option<SourceReport>,
    is_deleted: bool,
}

/// A delta that has come, and the hash code that holds after it.
struct PendingDelta {
    entries: VecDeque<DeltaEntry>,
    hash_code: Option<String>,
}

/// An application and an instance of it.
type InstanceKey = (String, String);

#[derive(Clone, Debug, PartialEq)]
struct KnownInstance {
    status: InstanceStatus,
    /// The worker that it is, where it is one.
    worker: Option<String>,
}

/// Follows a registry.
pub struct Poll {
    settings: PollSettings,
    open: Option<OpenRequest>,
    next_at: Micros,
    number: u64,
    registry: usize,
    /// Failures in a row.
    failures: u32,
    /// A whole read is needed.
    needs_full_fetch: bool,
    /// When the last whole read was requested.
    last_full_fetch_at: Option<Micros>,
    instances: HashMap<InstanceKey, KnownInstance>,
    /// How many of them have each status.
    status_counts: BTreeMap<&'static str, usize>,
    /// A complete delta that is being applied, some entries a turn.
    applying: Option<PendingDelta>,
    changes: Vec<Change>,
    /// Whole reads requested because of a wrong hash code, in a row.
    pub mismatches: u32,
    /// Why the last request failed, for operators.
    pub last_failure: Option<String>,
    /// Draws jitter.
    seed: u64,
}

impl Poll {
    /// A poll that reads the whole list first.
    pub fn new(settings: PollSettings, now: Micros, seed: u64) -> Self {
        Poll {
            settings,
            open: None,
            next_at: now,
            number: 0,
            registry: 0,
            failures: 0,
            needs_full_fetch: true,
            last_full_fetch_at: None,
            instances: HashMap::new(),
            status_counts: BTreeMap::new(),
            applying: None,
            changes: Vec::new(),
            mismatches: 0,
            last_failure: None,
            seed: seed | 1,
        }
    }

    /// When [`Poll::next_request`] is next wanted, or the open request is to be given up.
    pub fn next_wake(&self) -> Micros {
        match self.applying {
            Some(_) => Micros(0),
            None => self
                .open
                .as_ref()
                .map_or(self.next_at, |open| open.request.deadline),
        }
    }

    /// The request to send now, if there is one. One that took too long is given up. A delta that has come is applied a
    /// bit at a time first.
    pub fn next_request(&mut self, now: Micros) -> Option<PollRequest> {
        if self.applying.is_some() {
            self.apply_delta(now);
            return None;
        }
        if let Some(open) = &self.open {
            if now < open.request.deadline {
                return None;
            }
            let number = open.request.number;
            self.handle_failure(now, number, "no answer in time");
        }
        if now < self.next_at {
            return None;
        }
        let delta = self.settings.deltas && self.settings.vip.is_none() && !self.needs_full_fetch;
        let kind = if delta {
            FetchKind::Delta
        } else {
            FetchKind::Full
        };
        if kind == FetchKind::Full {
            self.last_full_fetch_at = Some(now);
        }
        self.number += 1;
        let base = &self.settings.path;
        let path = match (&self.settings.vip, kind) {
            (Some(vip), _) => format!("{base}/vips/{vip}"),
            (None, FetchKind::Delta) => format!("{base}/apps/delta"),
            (None, FetchKind::Full) => format!("{base}/apps"),
        };
        let request = PollRequest {
            number: self.number,
            registry: self.registry,
            path,
            kind,
            deadline: now + self.settings.timeout,
        };
        self.open = Some(OpenRequest {
            request: request.clone(),
            reader: None,
            hash_code: None,
            instances: HashMap::new(),
            part: Vec::new(),
            delta: VecDeque::new(),
        });
        Some(request)
    }

    fn is_open(&self, number: u64) -> bool {
        self.open
            .as_ref()
            .is_some_and(|open| open.request.number == number)
    }

    /// The head of an answer has come.
    pub fn handle_head(
        &mut self,
        now: Micros,
        number: u64,
        status: u16,
        format: ResponseFormat,
        encoding: Encoding,
    ) {
        let Some(open) = self
            .open
            .as_mut()
            .filter(|open| open.request.number == number)
        else {
            return;
        };
        match status {
            200 => {
                open.reader = Some(ResponseReader::new(format, encoding));
                if open.request.kind == FetchKind::Full {
                    self.changes.push(Change::ListBegin);
                }
            }
            // Deltas may be switched off.
            403 | 404 if open.request.kind == FetchKind::Delta => {
                self.needs_full_fetch = true;
                self.handle_failure(now, number, "no deltas");
                self.next_at = now;
            }
            _ => self.handle_failure(now, number, &format!("status {status}")),
        }
    }

    /// Bytes of an answer have come.
    pub fn handle_bytes(&mut self, now: Micros, number: u64, bytes: &[u8]) {
        let Some(open) = self
            .open
            .as_mut()
            .filter(|open| open.request.number == number)
        else {
            return;
        };
        let Some(reader) = &mut open.reader else {
            return;
        };
        match reader.push(bytes) {
            Ok(items) => self.take_items(items),
            Err(fault) => self.handle_failure(now, number, &fault.to_string()),
        }
    }

    fn take_items(&mut self, items: Vec<ResponseItem>) {
        let Some(open) = &mut self.open else {
            return;
        };
        for item in items {
            match item {
                ResponseItem::Hash(hash) => open.hash_code = Some(hash),
                ResponseItem::Instance(instance) if open.request.kind == FetchKind::Delta => {
                    let worker = is_worker(&self.settings, &instance);
                    open.delta.push_back(DeltaEntry {
                        status: instance.status,
                        report: worker.then(|| instance.source_report(&self.settings.keys)),
                        is_deleted: instance.action == DeltaAction::Deleted,
                        key: (instance.app, instance.id),
                    });
                }
                ResponseItem::Instance(instance) => {
                    let key = (instance.app.clone(), instance.id.clone());
                    let report = is_worker(&self.settings, &instance)
                        .then(|| instance.source_report(&self.settings.keys));
                    let known = KnownInstance {
                        status: instance.status,
                        worker: report.as_ref().map(|report| report.id.clone()),
                    };
                    open.instances.insert(key, known);
                    open.part.extend(report);
                    if open.part.len() >= LIST_PART_SIZE {
                        self.changes
                            .push(Change::ListPart(std::mem::take(&mut open.part)));
                    }
                }
            }
        }
    }

    /// An answer has ended.
    pub fn handle_end(&mut self, now: Micros, number: u64) {
        if !self.is_open(number) {
            return;
        }
        let rest = match self.open.as_mut().and_then(|open| open.reader.as_mut()) {
            Some(reader) => reader.finish(),
            None => Err(ResponseError::Truncated),
        };
        match rest {
            Ok(items) => self.take_items(items),
            Err(fault) => return self.handle_failure(now, number, &fault.to_string()),
        }
        let Some(open) = self.open.take() else {
            return;
        };
        (self.failures, self.last_failure) = (0, None);
        self.next_at = now + self.jittered(self.settings.interval);
        let announced = open.hash_code;
        match open.request.kind {
            FetchKind::Full => {
                self.instances = open.instances;
                self.status_counts.clear();
                for known in self.instances.values() {
                    *self
                        .status_counts
                        .entry(known.status.wire_name())
                        .or_default() += 1;
                }
                self.changes.push(Change::ListPart(open.part));
                self.changes.push(Change::ListEnd);
                self.needs_full_fetch = false;
                // A list that does not match its own code is taken all the same; the next delta shows whether it is right.
                if announced.is_none_or(|announced| announced == self.hash_code()) {
                    self.mismatches = 0;
                } else {
                    self.last_failure = Some(HASH_MISMATCH.to_owned());
                }
            }
            FetchKind::Delta => {
                self.applying = Some(PendingDelta {
                    entries: open.delta,
                    hash_code: announced,
                });
            }
        }
    }

    /// Takes some of a delta; at its end its code is checked.
    fn apply_delta(&mut self, now: Micros) {
        let Some(mut delta) = self.applying.take() else {
            return;
        };
        for _ in 0..MAX_ENTRIES_PER_TURN {
            match delta.entries.pop_front() {
                Some(entry) => self.apply_entry(entry),
                None => break,
            }
        }
        if !delta.entries.is_empty() {
            self.applying = Some(delta);
            return;
        }
        let announced = delta.hash_code;
        if announced.is_some_and(|announced| announced != self.hash_code()) {
            self.mismatches += 1;
            self.needs_full_fetch = true;
            self.last_failure = Some(HASH_MISMATCH.to_owned());
            let earliest = self
                .last_full_fetch_at
                .map_or(now, |last| last + self.settings.min_full_fetch_interval);
            self.next_at = earliest.max(now);
        } else {
            self.mismatches = 0;
        }
    }

    fn apply_entry(&mut self, entry: DeltaEntry) {
        if entry.is_deleted {
            if let Some(old) = self.instances.remove(&entry.key) {
                self.uncount(old.status);
            }
            if let Some(report) = entry.report {
                // Who leaves on purpose says so before; a lease that ran out leaves it up.
                let explicit = report.status != Status::Up;
                self.changes.push(Change::Removed {
                    id: report.id,
                    explicit,
                });
            }
            return;
        }
        let known = KnownInstance {
            status: entry.status,
            worker: entry.report.as_ref().map(|report| report.id.clone()),
        };
        *self
            .status_counts
            .entry(entry.status.wire_name())
            .or_default() += 1;
        let old = self.instances.insert(entry.key, known);
        if let Some(old) = &old {
            self.uncount(old.status);
        }
        // Its id among the workers may have changed with its metadata.
        let left = old.and_then(|old| old.worker);
        let same = |id: &String| entry.report.as_ref().is_some_and(|report| report.id == *id);
        if let Some(id) = left.filter(|id| !same(id)) {
            self.changes.push(Change::Removed { id, explicit: true });
        }
        let named = entry
            .report
            .map(|report| Change::Reported(Box::new(report)));
        self.changes.extend(named);
    }

    fn uncount(&mut self, status: InstanceStatus) {
        if let Some(count) = self.status_counts.get_mut(status.wire_name()) {
            *count -= 1;
            if *count == 0 {
                self.status_counts.remove(status.wire_name());
            }
        }
    }

    fn hash_code(&self) -> String {
        let each = self.status_counts.iter();
        each.map(|(report, count)| format!("{report}_{count}_"))
            .collect()
    }

    /// A request has failed: the next registry is polled, with backoff.
    pub fn handle_failure(&mut self, now: Micros, number: u64, reason: &str) {
        if !self.is_open(number) {
            return;
        }
        self.open = None;
        self.last_failure = Some(reason.to_owned());
        self.failures += 1;
        self.registry = (self.registry + 1) % self.settings.registries.max(1);
        if self.settings.registries > 1 {
            // What another registry reports may be older or newer than a delta of this one says.
            self.needs_full_fetch = true;
        }
        // All registries are tried at once before it waits.
        let round = (self.failures - 1) / self.settings.registries.max(1) as u32;
        let is_untried = !(self.failures as usize).is_multiple_of(self.settings.registries.max(1));
        let bound = Micros((MIN_BACKOFF.0 << round.min(10)).min(MAX_BACKOFF.0));
        self.next_at = if is_untried {
            now
        } else {
            now + self.jittered(bound)
        };
    }

    /// Half of a span and up to as much again, so that nodes do not poll in step.
    fn jittered(&mut self, span: Micros) -> Micros {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        Micros(span.0 / 2 + self.seed % (span.0 / 2 + 1))
    }

    /// The changes for the membership since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// How many instances the registry holds.
    pub fn instances(&self) -> usize {
        self.instances.len()
    }

    /// Which registry is polled.
    pub fn registry(&self) -> usize {
        self.registry
    }

    /// How many requests have failed in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}

fn is_worker(settings: &PollSettings, instance: &Instance) -> bool {
    let apps = &settings.apps;
    let vip = settings.vip.as_ref();
    let named = apps.is_empty()
        || apps
            .iter()
            .any(|app| app.eq_ignore_ascii_case(&instance.app));
    let vips = || instance.vip.split(',').map(str::trim);
    named && vip.is_none_or(|vip| instance.vip.is_empty() || vips().any(|own| own == vip))
}
