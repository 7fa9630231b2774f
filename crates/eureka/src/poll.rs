//! The state machine that polls a registry: it sends one request at a time, fails over between registries, and turns
//! full lists and deltas into changes of the membership.

use crate::error::ResponseError;
use crate::instance::{DeltaAction, Instance, MetadataKeys};
use crate::instance_table::{DeltaEntry, InstanceKey, InstanceTable, KnownInstance};
use crate::response::{Encoding, ResponseFormat, ResponseItem, ResponseReader};
use marbledeck_dispatcher::Micros;
use marbledeck_membership::SourceReport;
use std::collections::{HashMap, VecDeque};

/// The settings of a poll.
#[derive(Clone, Debug)]
pub struct PollSettings {
    /// The number of registries. Polling starts with the first.
    pub registries: usize,
    /// The base path of the registry's service, such as `/eureka`.
    pub path: String,
    /// The applications whose instances are workers; empty for all.
    pub apps: Vec<String>,
    /// The virtual address (VIP) whose instances are workers. Its list is fetched in place of the list of applications,
    /// and always in full.
    pub vip: Option<String>,
    /// The metadata keys of a worker's attributes.
    pub keys: MetadataKeys,
    /// The maximum delay between a response and the next request. The minimum is half of it.
    pub interval: Micros,
    /// The time limit of a request.
    pub timeout: Micros,
    /// The minimum interval between full fetches that are caused by a hash code mismatch.
    pub min_full_fetch_interval: Micros,
    /// Whether deltas are fetched between full fetches.
    pub deltas: bool,
}

/// The kind of a fetch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchKind {
    /// All instances.
    Full,
    /// The recent changes.
    Delta,
}

/// A request to a registry. The caller reports the response by [`Poll::handle_head`], [`Poll::handle_bytes`] and
/// [`Poll::handle_end`], in this order, or a failure by [`Poll::handle_failure`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// The number of the request. Responses to earlier requests are ignored.
    pub number: u64,
    /// The index of the registry.
    pub registry: usize,
    /// The absolute path.
    pub path: String,
    /// The kind of the fetch.
    pub kind: FetchKind,
    /// The time at which the request is abandoned.
    pub deadline: Micros,
}

/// A change to apply to the membership, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A full list begins.
    ListBegin,
    /// Some workers of the full list.
    ListPart(Vec<SourceReport>),
    /// The full list is complete: workers that it did not contain are missing.
    ListEnd,
    /// A delta has added or modified a worker.
    Reported(Box<SourceReport>),
    /// A delta has removed a worker.
    Removed {
        /// The worker's id.
        id: String,
        /// Whether the worker has left on purpose. Otherwise, its lease may have expired while it still runs.
        explicit: bool,
    },
    /// The instance that stood for a worker stands for another one now. This says nothing against the first worker.
    Renamed {
        /// The id of the worker that the instance stood for.
        id: String,
    },
}

/// The number of workers of a full list that are collected into one [`Change::ListPart`].
const LIST_PART_SIZE: usize = 200;
/// The maximum number of entries of a delta that one call of [`Poll::next_request`] applies.
const MAX_ENTRIES_PER_TURN: usize = 200;
const HASH_MISMATCH: &str = "the hash code of the instances does not match the registry's";
/// The upper bound of the delay after the first round of failures. It doubles with each further round.
const MIN_BACKOFF: Micros = Micros(500_000);
/// The upper bound of the delay after any failure.
const MAX_BACKOFF: Micros = Micros(30_000_000);

/// A request whose response is not complete.
struct OpenRequest {
    request: PollRequest,
    /// None until the head of a successful response was received.
    reader: Option<ResponseReader>,
    /// The hash code in the response.
    hash_code: Option<String>,
    /// The instances received by a full fetch.
    instances: HashMap<InstanceKey, KnownInstance>,
    /// The workers received by a full fetch that are not yet in a change.
    part: Vec<SourceReport>,
    /// The entries received by a delta fetch. They are applied only once the response is complete.
    delta: VecDeque<DeltaEntry>,
}

/// A complete delta, and the registry's hash code after it.
struct PendingDelta {
    entries: VecDeque<DeltaEntry>,
    hash_code: Option<String>,
}

/// Polls a registry.
pub struct Poll {
    settings: PollSettings,
    open: Option<OpenRequest>,
    /// The time of the next request.
    next_at: Micros,
    /// The number of the last request.
    number: u64,
    /// The index of the registry that is polled.
    registry: usize,
    /// The number of consecutive failures.
    failures: u32,
    /// Whether the next request fetches the full list.
    needs_full_fetch: bool,
    /// The time of the last request for the full list.
    last_full_fetch_at: Option<Micros>,
    instances: InstanceTable,
    /// The complete delta that is being applied.
    applying: Option<PendingDelta>,
    changes: Vec<Change>,
    /// The number of consecutive deltas after which the hash code did not match.
    pub mismatches: u32,
    /// The reason why the last request failed, for operators.
    pub last_failure: Option<String>,
    /// The state of the random number generator for jitter.
    seed: u64,
}

impl Poll {
    /// Creates a poll that fetches the full list first.
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
            instances: InstanceTable::default(),
            applying: None,
            changes: Vec::new(),
            mismatches: 0,
            last_failure: None,
            seed: seed | 1,
        }
    }

    /// The time at which to call [`Poll::next_request`] next.
    pub fn next_wake(&self) -> Micros {
        match self.applying {
            Some(_) => Micros(0),
            None => self
                .open
                .as_ref()
                .map_or(self.next_at, |open| open.request.deadline),
        }
    }

    /// Returns the request to send now, if there is one. Abandons the open request if its deadline has passed. While a
    /// complete delta is pending, each call only applies some of its entries, so that no event loop turn takes long.
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
            self.handle_failure(now, number, "no complete response within the timeout");
        }
        if now < self.next_at {
            return None;
        }
        let use_delta =
            self.settings.deltas && self.settings.vip.is_none() && !self.needs_full_fetch;
        let kind = if use_delta {
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

    /// Handles the head of a response.
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
            // The registry's delta endpoint may be disabled.
            403 | 404 if open.request.kind == FetchKind::Delta => {
                self.needs_full_fetch = true;
                self.handle_failure(now, number, "the registry does not serve deltas");
                self.next_at = now;
            }
            _ => self.handle_failure(
                now,
                number,
                &format!("the registry answered with status {status}"),
            ),
        }
    }

    /// Handles bytes of the body of a response.
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
            Err(error) => self.handle_failure(now, number, &error.to_string()),
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
                    let is_worker = is_worker(&self.settings, &instance);
                    open.delta.push_back(DeltaEntry {
                        status: instance.status,
                        report: is_worker.then(|| instance.source_report(&self.settings.keys)),
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

    /// Handles the end of a response, and schedules the next request.
    pub fn handle_end(&mut self, now: Micros, number: u64) {
        if !self.is_open(number) {
            return;
        }
        let last_items = match self.open.as_mut().and_then(|open| open.reader.as_mut()) {
            Some(reader) => reader.finish(),
            None => Err(ResponseError::Truncated),
        };
        match last_items {
            Ok(items) => self.take_items(items),
            Err(error) => return self.handle_failure(now, number, &error.to_string()),
        }
        let Some(open) = self.open.take() else {
            return;
        };
        (self.failures, self.last_failure) = (0, None);
        self.next_at = now + self.jittered(self.settings.interval);
        let announced = open.hash_code;
        match open.request.kind {
            FetchKind::Full => {
                self.instances = InstanceTable::new(open.instances);
                self.changes.push(Change::ListPart(open.part));
                self.changes.push(Change::ListEnd);
                self.needs_full_fetch = false;
                // A full list that does not match its own hash code is still used. The check after the next delta
                // decides whether to fetch it again.
                if announced.is_none_or(|announced| announced == self.instances.hash_code()) {
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

    /// Applies some entries of the pending delta. After the last one, compares the hash codes and schedules a full
    /// fetch if they differ.
    fn apply_delta(&mut self, now: Micros) {
        let Some(mut delta) = self.applying.take() else {
            return;
        };
        for _ in 0..MAX_ENTRIES_PER_TURN {
            match delta.entries.pop_front() {
                Some(entry) => self.instances.apply(entry, &mut self.changes),
                None => break,
            }
        }
        if !delta.entries.is_empty() {
            self.applying = Some(delta);
            return;
        }
        let announced = delta.hash_code;
        if announced.is_some_and(|announced| announced != self.instances.hash_code()) {
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

    /// Handles the failure of a request: switches to the next registry, and backs off once all have failed.
    pub fn handle_failure(&mut self, now: Micros, number: u64, reason: &str) {
        if !self.is_open(number) {
            return;
        }
        self.open = None;
        self.last_failure = Some(reason.to_owned());
        self.failures += 1;
        self.registry = (self.registry + 1) % self.settings.registries.max(1);
        if self.settings.registries > 1 {
            // The other registry's state may be older or newer than the state that its deltas are relative to.
            self.needs_full_fetch = true;
        }
        // Each registry is tried once without a delay in between.
        let round = (self.failures - 1) / self.settings.registries.max(1) as u32;
        let is_untried = !(self.failures as usize).is_multiple_of(self.settings.registries.max(1));
        let max_delay = Micros((MIN_BACKOFF.0 << round.min(10)).min(MAX_BACKOFF.0));
        self.next_at = if is_untried {
            now
        } else {
            now + self.jittered(max_delay)
        };
    }

    /// Returns a random duration between half of `max` and `max`, so that nodes do not poll in lockstep.
    fn jittered(&mut self, max: Micros) -> Micros {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        Micros(max.0 / 2 + self.seed % (max.0 / 2 + 1))
    }

    /// Returns the changes of the membership since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// The number of instances in the registry, as of the last response.
    pub fn instances(&self) -> usize {
        self.instances.len()
    }

    /// The index of the registry that is polled.
    pub fn registry(&self) -> usize {
        self.registry
    }

    /// The number of consecutive failed requests.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}

/// Whether an instance belongs to the configured applications and virtual address.
fn is_worker(settings: &PollSettings, instance: &Instance) -> bool {
    let apps = &settings.apps;
    let vip = settings.vip.as_ref();
    let app_matches = apps.is_empty()
        || apps
            .iter()
            .any(|app| app.eq_ignore_ascii_case(&instance.app));
    let vips = || instance.vip.split(',').map(str::trim);
    app_matches && vip.is_none_or(|vip| instance.vip.is_empty() || vips().any(|own| own == vip))
}
