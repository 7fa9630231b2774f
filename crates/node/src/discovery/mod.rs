//! The client of the discovery service: watches the endpoint list with one call after another and applies its changes
//! to the fleet.

mod answer;
mod endpoint_list;
mod list_reader;
mod list_trust;
mod list_update;
mod staleness;

pub use endpoint_list::{
    entries_of_other_sources, removed_ids, to_reports, EndpointEntry, EndpointList,
};
pub use list_reader::{ListError, ListHeader, ListReader};
pub use list_trust::ListTrust;
pub use list_update::MAX_WORKERS;
pub use staleness::{Fault, PlannedCall, Query, StalenessTracker};

use crate::core::Core;
use crate::fleet::Fleet;
use crate::net::{Net, Peer, Token};
use answer::Answer;
use foldhash::quality::RandomState;
use list_trust::SEND_MARGIN;
use marbledeck_dispatcher::Micros;
use marbledeck_membership::{Membership, SourceId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;

/// A wait for events that took longer than this did block, so the events that ended it arrived just now.
const MIN_BLOCKING_WAIT: Micros = Micros(5_000);

/// The state of discovery that is handed over to a successor process.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct DiscoveryState {
    /// The ids of the workers that operators have taken out of service.
    #[serde(rename = "out")]
    pub out_of_service: BTreeSet<String>,
    /// The endpoint list as discovery last sent it.
    pub list: EndpointList,
    /// The microseconds until a missed change may count as notified; none if no change can have been missed.
    #[serde(default, rename = "told_in_us")]
    pub notified_in_us: Option<u64>,
}

/// A call that has not been answered completely.
struct Call {
    token: Token,
    sent_at: Micros,
    /// The part of its answer that has arrived; none before the first byte.
    answer: Option<Answer>,
}

/// What a wait for events has shown about the connection to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// No input has arrived there.
    NoInput,
    /// Input has or may have arrived: the wait was interrupted, or there were more events than one wait reports.
    PossibleInput,
}

/// The client of discovery.
pub struct Discovery {
    address: SocketAddr,
    source: SourceId,
    /// The revision of this node's list.
    revision: u64,
    call: Option<Call>,
    staleness: StalenessTracker,
    /// When the next call is due, if none is open.
    next_call: Option<Micros>,
    /// Which lists may be used to route requests.
    trust: ListTrust,
    /// Whether the list is too old, so that its workers count as draining.
    is_distrusted: bool,
    /// The latest moment at which all input from discovery was known to have been read.
    input_empty_at: Micros,
    digest_key: RandomState,
    /// The decoded bytes of an answer's body. Empty between two events; the buffer is kept to reuse its allocation.
    content: Vec<u8>,
    /// The connection that stays open between two calls.
    idle: Option<Token>,
}

impl Discovery {
    /// Creates a client that watches discovery at this address and reports as this source of the fleet.
    pub fn new(
        address: SocketAddr,
        source: SourceId,
        staleness: StalenessTracker,
        trust: ListTrust,
    ) -> Self {
        Discovery {
            address,
            source,
            revision: 0,
            call: None,
            staleness,
            // The first call is due at once, whether lists are pushed or not.
            next_call: Some(Micros(0)),
            trust,
            is_distrusted: false,
            input_empty_at: Micros(0),
            digest_key: RandomState::default(),
            content: Vec::new(),
            idle: None,
        }
    }

    /// The state for a successor process: the latest list and the workers that operators have taken out of service.
    pub fn state(&self, now: Micros, members: &Membership) -> DiscoveryState {
        // Revisions of different discovery services cannot be compared, and during a move the list is the old one's.
        let revision = if self.staleness.is_moving() {
            0
        } else {
            self.revision
        };
        let mut notified_at = self.staleness.notified_at_for_successor();
        if self.trust.is_behind() {
            // Changes that discovery has written already count as notified, even if this process has not read them.
            notified_at = Some(now);
        }
        DiscoveryState {
            out_of_service: members.out_of_service().clone(),
            list: EndpointList {
                revision,
                complete: true,
                endpoints: endpoint_list::entries_of_source(members, self.source),
            },
            notified_in_us: notified_at.map(|notified_at| (notified_at - now).0),
        }
    }

    /// Takes over the staleness of the process that this one replaces.
    pub fn inherit_staleness(&mut self, now: Micros, notified_in_us: Option<u64>) {
        match notified_in_us {
            None => {}
            // It is unknown since when changes have counted as notified, so the list is unusable before the first
            // answer.
            Some(0) => self.staleness.inherit_staleness(Micros(0)),
            Some(notified_in) => self.staleness.inherit_staleness(now + Micros(notified_in)),
        }
    }

    /// Starts from the list that this node had last, which may be outdated.
    pub fn load_cached_list(
        &mut self,
        now: Micros,
        list: EndpointList,
        fleet: &mut Fleet,
        core: &mut Core,
    ) {
        self.revision = list.revision;
        fleet.members.begin_full_list(self.source);
        let mut update = self.new_update(now, fleet);
        let listed = list.endpoints.iter().filter(|entry| !entry.is_removed());
        for entry in listed.take(MAX_WORKERS) {
            update.apply_entry(entry, None);
        }
        let mut change = update.change;
        let departed = endpoint_list::removed_ids(&list.endpoints);
        change.append(fleet.members.restore_departed(now, self.source, departed));
        fleet.apply_change(now, change, core);
    }

    /// The revision of this node's list.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The connection of the open call.
    pub fn awaited_connection(&self) -> Option<Token> {
        self.call.as_ref().map(|call| call.token)
    }

    /// When [`Discovery::wake`] has to be called next.
    pub fn next_wake(&self) -> Option<Micros> {
        let call = self.staleness.call_deadline().or(self.next_call);
        let expiry = self.trust.next_expiry();
        [call, self.distrusted_at(), expiry]
            .into_iter()
            .flatten()
            .min()
    }

    /// When the list becomes too old to route requests by, unless discovery answers before.
    fn distrusted_at(&self) -> Option<Micros> {
        let trusted_until = self.staleness.trusted_until();
        let trusted_until = trusted_until.filter(|_| !self.is_distrusted);
        trusted_until.map(|trusted_until| trusted_until - SEND_MARGIN)
    }

    /// Records that the event loop waited for events between two moments, and whether the connection of the open call
    /// had input.
    pub fn record_wait(&mut self, from: Micros, to: Micros, outcome: WaitOutcome) {
        // Input that ended a blocking wait arrived just now. Input that was already there when the wait began may have
        // arrived at any time since the previous check.
        if outcome == WaitOutcome::NoInput || to - from > MIN_BLOCKING_WAIT {
            self.input_empty_at = to;
        }
    }

    /// Stops trusting a list that is too old, gives up a call that has timed out, and makes the next call when it is
    /// due.
    pub fn wake(&mut self, now: Micros, fleet: &mut Fleet, net: &mut Net, core: &mut Core) {
        let is_due = |due: Option<Micros>| due.is_some_and(|due| due <= now);
        self.enforce_trust(now, fleet, core);
        match self.call {
            Some(_) if is_due(self.staleness.call_deadline()) => {
                self.handle_failure(now, Fault::Silent, "no answer in time", net);
                self.enforce_trust(now, fleet, core);
            }
            None if is_due(self.next_call) => self.watch(now, net),
            _ => {}
        }
    }

    /// Stops routing requests by lists that may be outdated.
    fn enforce_trust(&mut self, now: Micros, fleet: &mut Fleet, core: &mut Core) {
        if let Some(since) = self.trust.expire(now) {
            let ms = since.0 / 1000;
            log::warn!(
                "discovery: an answer that began {ms} ms ago is not complete in time; workers that it has not yet \
                 listed get no new requests"
            );
        }
        if self.distrusted_at().is_some_and(|due| due <= now) {
            self.is_distrusted = true;
            log::warn!(
                "discovery: the list is too old to send by; nothing new goes to its workers"
            );
        }
        if self.is_distrusted {
            let list_number = fleet.members.list_number(self.source);
            // Entries of the answer that is being read are newer than any change that may have been missed.
            let is_answering = self.call.as_ref().is_some_and(|call| call.answer.is_some());
            let is_reading_current_list = is_answering && !self.staleness.lists_are_pushed();
            self.trust
                .distrust_before(list_number + u64::from(!is_reading_current_list));
        }
        let trusted_from = self.trust.trusted_from();
        if trusted_from > fleet.members.trusted_from_list(self.source) {
            let change = fleet
                .members
                .set_trusted_from_list(self.source, trusted_from);
            fleet.apply_change(now, change, core);
        }
    }

    /// Moves to another discovery service at once, since the old one may be about to stop. The node keeps its list
    /// until the new service has sent a complete one; revisions of different services cannot be compared.
    pub fn move_to(&mut self, now: Micros, address: SocketAddr, net: &mut Net) {
        if address == self.address {
            return;
        }
        log::info!("discovery: moved to {address}");
        let call = self.call.take().map(|call| call.token);
        for token in call.into_iter().chain(self.idle.take()) {
            net.close(token);
        }
        self.address = address;
        self.staleness.handle_move(now);
        self.watch(now, net);
    }

    /// Makes the next call, unless one is open.
    pub fn watch(&mut self, now: Micros, net: &mut Net) {
        if self.call.is_some() {
            return;
        }
        self.next_call = None;
        let idle = self.idle.take().filter(|token| net.is_reusable(*token));
        let call = self.staleness.next_call(now);
        let connection = match idle {
            Some(token) => Ok(token),
            None => net.connect(self.address, Peer::Discovery),
        };
        let token = match connection {
            Ok(token) => token,
            Err(e) => {
                let fault = match e.kind() {
                    io::ErrorKind::ConnectionRefused => Fault::Unreachable,
                    // A local failure, such as a lack of descriptors, shows nothing about discovery.
                    _ => Fault::Refused,
                };
                return self.handle_failure(now, fault, &e.to_string(), net);
            }
        };
        let request = self.request(call.query);
        self.call = Some(Call {
            token,
            sent_at: now,
            answer: None,
        });
        if !net.write(token, request.as_bytes()) {
            self.handle_failure(
                now,
                Fault::Refused,
                "the request does not fit into the send buffer",
                net,
            );
        }
    }

    fn request(&self, query: Query) -> String {
        let parameters = match query {
            Query::CompleteList => String::new(),
            Query::Changes { wait } => {
                format!("?after={}&wait_ms={}", self.revision, wait.0 / 1000)
            }
        };
        format!(
            "GET /v1/endpoints{parameters} HTTP/1.1\r\nHost: {}\r\n\r\n",
            self.address
        )
    }

    /// Handles an event on a connection to discovery.
    pub fn handle_event(
        &mut self,
        now: Micros,
        token: Token,
        fleet: &mut Fleet,
        net: &mut Net,
        core: &mut Core,
    ) {
        if self.awaited_connection() != Some(token) {
            self.idle = self.idle.filter(|idle| *idle != token);
            return net.close(token);
        }
        let Some(conn) = net.get(token) else {
            return;
        };
        if conn.input.is_empty() && !conn.eof && !conn.broken {
            self.input_empty_at = now;
            return;
        }
        match self.read_answer(now, token, fleet, net, core) {
            Ok(None) => {}
            Ok(Some(header)) => {
                self.complete_list(now, header, fleet, core);
                // Discovery continues a watch only if the next call follows its answer soon, so it is made now.
                self.watch(now, net);
            }
            Err(error) => {
                self.handle_failure(now, error.fault, &error.message, net);
                self.enforce_trust(now, fleet, core);
            }
        }
    }

    /// Handles a failed call. The node keeps its list and calls again soon, since a missed change may count as notified
    /// shortly.
    fn handle_failure(&mut self, now: Micros, fault: Fault, message: &str, net: &mut Net) {
        if let Some(call) = self.call.take() {
            net.close(call.token);
        }
        let next_call = self.staleness.handle_failure(now, fault);
        let retry_delay_ms = (next_call - now).0 / 1000;
        log::warn!("discovery: {message}; asked again in {retry_delay_ms} ms");
        self.next_call = Some(next_call);
    }
}
