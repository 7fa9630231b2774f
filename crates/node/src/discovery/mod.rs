//! The client of discovery: watches the endpoint list, one call after the other, and passes its changes on to the
//! fleet.

mod answer;
mod endpoint_list;
mod list_reader;
mod list_trust;
mod list_update;
mod staleness;

pub use endpoint_list::{entries_of_other_sources, to_reports, EndpointEntry, EndpointList};
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

/// A wait that took longer was no glance at what had come before.
const MIN_SLEEP: Micros = Micros(5_000);

/// What a successor can start from.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct DiscoveryState {
    /// The ids of the workers that are out of service by hand.
    #[serde(rename = "out")]
    pub out_of_service: BTreeSet<String>,
    /// The endpoint list as discovery sent it last.
    pub list: EndpointList,
    /// In so many microseconds a change that was missed may count as notified; none where nothing is in doubt.
    #[serde(default, rename = "told_in_us")]
    pub notified_in_us: Option<u64>,
}

/// A call that is not answered yet.
struct Call {
    token: Token,
    sent_at: Micros,
    /// What has come of its answer; none where nothing has.
    answer: Option<Answer>,
}

/// What a wait for events has shown of the connection to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitFinding {
    /// Nothing has come there.
    Nothing,
    /// Something has, or may have: the wait was interrupted, or there were more events than one reports.
    Something,
}

/// The client of discovery.
pub struct Discovery {
    address: SocketAddr,
    source: SourceId,
    /// The revision of the list that this node has.
    revision: u64,
    call: Option<Call>,
    staleness: StalenessTracker,
    /// When the next call is due, while there is none.
    next_call: Option<Micros>,
    /// Which lists may be sent by.
    trust: ListTrust,
    /// The list is too old: its workers count as draining.
    is_distrusted: bool,
    /// At this moment nothing that had come from discovery was unread.
    quiet_at: Micros,
    digest_key: RandomState,
    /// The bytes of a body that were taken out of a message; empty between two events, kept for its allocation.
    content: Vec<u8>,
    /// An open connection between two calls.
    idle: Option<Token>,
}

impl Discovery {
    /// Watches discovery at this address, which is this source of the fleet.
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
            // At once, whatever the settings call the way of the lists.
            next_call: Some(Micros(0)),
            trust,
            is_distrusted: false,
            quiet_at: Micros(0),
            digest_key: RandomState::default(),
            content: Vec::new(),
            idle: None,
        }
    }

    /// What a successor can start from: the list as it came last, and who is out of service by hand.
    pub fn state(&self, now: Micros, members: &Membership) -> DiscoveryState {
        // A discovery service that is only being moved to counts its revisions in its own way.
        let revision = if self.staleness.is_moving() {
            0
        } else {
            self.revision
        };
        let endpoints = members.reports(self.source).map(EndpointEntry::from);
        let mut notified_at = self.staleness.doubt_for_successor();
        if self.trust.is_behind() {
            // What discovery has written, and this process has not read, counts as notified already.
            notified_at = Some(now);
        }
        DiscoveryState {
            out_of_service: members.out_of_service().clone(),
            list: EndpointList {
                revision,
                complete: true,
                endpoints: endpoints.collect(),
            },
            notified_in_us: notified_at.map(|notified_at| (notified_at - now).0),
        }
    }

    /// Takes over the doubt of the process that this one replaces.
    pub fn inherit_doubt(&mut self, now: Micros, notified_in_us: Option<u64>) {
        match notified_in_us {
            None => {}
            // Nobody knows for how long it has: the list is of no use before the first answer.
            Some(0) => self.staleness.inherit_doubt(Micros(0)),
            Some(notified_in) => self.staleness.inherit_doubt(now + Micros(notified_in)),
        }
    }

    /// Starts from the list that this node had last; it may be old.
    pub fn load_cached_list(
        &mut self,
        now: Micros,
        list: EndpointList,
        fleet: &mut Fleet,
        core: &mut Core,
    ) {
        self.revision = list.revision;
        fleet.members.begin_full_list(self.source);
        let mut update = self.update(now, fleet);
        for entry in list.endpoints.iter().take(MAX_WORKERS) {
            update.apply_entry(entry, None);
        }
        let change = update.change;
        fleet.apply_change(now, change, core);
    }

    /// The revision of the list that this node has.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The connection on which an answer may come.
    pub fn awaited(&self) -> Option<Token> {
        self.call.as_ref().map(|call| call.token)
    }

    /// When [`Discovery::wake`] is next wanted.
    pub fn next_wake(&self) -> Option<Micros> {
        let call = self.staleness.call_deadline().or(self.next_call);
        let expiry = self.trust.next_expiry();
        [call, self.distrusted_at(), expiry]
            .into_iter()
            .flatten()
            .min()
    }

    /// When the list becomes too old to send by, unless discovery answers before.
    fn distrusted_at(&self) -> Option<Micros> {
        let trusted_until = self.staleness.trusted_until();
        let trusted_until = trusted_until.filter(|_| !self.is_distrusted);
        trusted_until.map(|trusted_until| trusted_until - SEND_MARGIN)
    }

    /// The loop has waited for events from one moment to the other, and `found` tells what it has heard of the awaited
    /// connection.
    pub fn note_wait(&mut self, from: Micros, to: Micros, found: WaitFinding) {
        // What ends a sleep has come just now; what was there when the loop began to wait may have come since it last
        // looked.
        if found == WaitFinding::Nothing || to - from > MIN_SLEEP {
            self.quiet_at = to;
        }
    }

    /// Stops trusting a list that is too old, gives up a silent call, and makes the next call when it is due.
    pub fn wake(&mut self, now: Micros, fleet: &mut Fleet, net: &mut Net, core: &mut Core) {
        let is_due = |due: Option<Micros>| due.is_some_and(|due| due <= now);
        self.limit_trust(now, fleet, core);
        match self.call {
            Some(_) if is_due(self.staleness.call_deadline()) => {
                self.handle_failure(now, Fault::Silent, "no answer in time", net);
                self.limit_trust(now, fleet, core);
            }
            None if is_due(self.next_call) => self.watch(now, net),
            _ => {}
        }
    }

    /// Sees to it that nothing is sent by a list that discovery may have outdated.
    fn limit_trust(&mut self, now: Micros, fleet: &mut Fleet, core: &mut Core) {
        if let Some(since) = self.trust.expire(now) {
            let ms = since.0 / 1000;
            log::warn!(
                "directory: an answer that began {ms} ms ago is not complete in time; the workers that it has not \
                 named get nothing new"
            );
        }
        if self.distrusted_at().is_some_and(|due| due <= now) {
            self.is_distrusted = true;
            log::warn!(
                "directory: the list is too old to send by; nothing new goes to its workers"
            );
        }
        if self.is_distrusted {
            let list_number = fleet.members.list_number(self.source);
            // What an answer names that is just being read is newer than all that is in doubt.
            let is_answering = self.call.as_ref().is_some_and(|call| call.answer.is_some());
            let names_current = is_answering && !self.staleness.lists_are_pushed();
            self.trust.limit(list_number + u64::from(!names_current));
        }
        let trusted_from = self.trust.trusted_from();
        if trusted_from > fleet.members.trusted_from_list(self.source) {
            let change = fleet
                .members
                .set_trusted_from_list(self.source, trusted_from);
            fleet.apply_change(now, change, core);
        }
    }

    /// Moves to another discovery service at once: the old one may be about to end. The list stays until the new one
    /// has sent its own, complete, since its revisions may be others.
    pub fn move_to(&mut self, now: Micros, address: SocketAddr, net: &mut Net) {
        if address == self.address {
            return;
        }
        log::info!("directory: now at {address}");
        let call = self.call.take().map(|call| call.token);
        for token in call.into_iter().chain(self.idle.take()) {
            net.close(token);
        }
        self.address = address;
        self.staleness.handle_move(now);
        self.watch(now, net);
    }

    /// Begins to watch, unless it does already.
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
                    // No descriptor, say: discovery may well be there.
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
            self.handle_failure(now, Fault::Refused, "the request does not fit", net);
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

    /// Something has come from discovery.
    pub fn handle_event(
        &mut self,
        now: Micros,
        token: Token,
        fleet: &mut Fleet,
        net: &mut Net,
        core: &mut Core,
    ) {
        if self.awaited() != Some(token) {
            self.idle = self.idle.filter(|idle| *idle != token);
            return net.close(token);
        }
        let Some(conn) = net.get(token) else {
            return;
        };
        if conn.input.is_empty() && !conn.eof && !conn.broken {
            self.quiet_at = now;
            return;
        }
        match self.read(now, token, fleet, net, core) {
            Ok(None) => {}
            Ok(Some(header)) => {
                self.complete_list(now, header, fleet, core);
                // A watch goes on only where the next call comes soon after the answer: now.
                self.watch(now, net);
            }
            Err(error) => {
                self.handle_failure(now, error.fault, &error.message, net);
                self.limit_trust(now, fleet, core);
            }
        }
    }

    /// The call has failed: the list stays, and is asked for again soon, since the rule's delay may be running.
    fn handle_failure(&mut self, now: Micros, fault: Fault, message: &str, net: &mut Net) {
        if let Some(call) = self.call.take() {
            net.close(call.token);
        }
        let next_call = self.staleness.handle_failure(now, fault);
        let pause_ms = (next_call - now).0 / 1000;
        log::warn!("directory: {message}; asked again in {pause_ms} ms");
        self.next_call = Some(next_call);
    }
}
