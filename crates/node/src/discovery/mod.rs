//! The client of discovery: watches the endpoint list, one call after the other, and passes its changes on to the
//! fleet.

mod endpoint_list;
mod staleness;

pub use endpoint_list::{entries_of_other_sources, into_reports, EndpointEntry, EndpointList};
pub use staleness::{Fault, PlannedCall, Query, StalenessTracker};

use crate::core::Core;
use crate::fleet::Fleet;
use crate::net::http::{self, Body};
use crate::net::{Net, Peer, Token};
use marbledeck_dispatcher::{Micros, WorkerListKind};
use marbledeck_membership::{Membership, MembershipChange, SourceId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;

const HTTP_OK: u16 = 200;

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
    /// The answer's head, and what is still to come of its body.
    head: Option<(http::ResponseHead, Body)>,
    content: Vec<u8>,
}

/// A call that has failed.
struct CallError {
    fault: Fault,
    message: String,
}

impl CallError {
    fn broken(error: impl std::fmt::Display) -> Self {
        CallError {
            fault: Fault::Broken,
            message: error.to_string(),
        }
    }
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
    /// The list is too old: its workers count as draining.
    is_distrusted: bool,
    /// An open connection between two calls.
    idle: Option<Token>,
}

impl Discovery {
    /// Watches discovery at this address, which is this source of the fleet.
    pub fn new(address: SocketAddr, source: SourceId, staleness: StalenessTracker) -> Self {
        Discovery {
            address,
            source,
            revision: 0,
            call: None,
            staleness,
            // At once, whatever the settings call the way of the lists.
            next_call: Some(Micros(0)),
            is_distrusted: false,
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
        let notified_at = self.staleness.doubt_for_successor();
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
        if let Some(notified_in) = notified_in_us {
            self.staleness.inherit_doubt(now + Micros(notified_in));
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
        let change = self.update_membership(now, true, list.endpoints, fleet);
        fleet.apply_list(now, WorkerListKind::Cached, change, core);
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
        let trusted_until = self.staleness.trusted_until();
        let trusted_until = trusted_until.filter(|_| !self.is_distrusted);
        let call = self.staleness.call_deadline().or(self.next_call);
        call.into_iter().chain(trusted_until).min()
    }

    /// Stops trusting a list that is too old, gives up a silent call, and makes the next call when it is due.
    pub fn wake(&mut self, now: Micros, fleet: &mut Fleet, net: &mut Net, core: &mut Core) {
        let is_due = |due: Option<Micros>| due.is_some_and(|due| due <= now);
        if is_due(self.staleness.trusted_until()) && !self.is_distrusted {
            self.is_distrusted = true;
            log::warn!(
                "directory: the list is too old to send by; nothing new goes to its workers"
            );
            let change = fleet.members.set_trusted(self.source, false);
            fleet.apply_change(now, change, core);
        }
        match self.call {
            Some(_) if is_due(self.staleness.call_deadline()) => {
                self.handle_failure(now, Fault::Silent, "no answer in time", net);
            }
            None if is_due(self.next_call) => self.watch(now, net),
            _ => {}
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
            head: None,
            content: Vec::new(),
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
        match self.read(token, net) {
            Ok(None) => {}
            Ok(Some(list)) => {
                self.apply_list(now, list, fleet, core);
                // A watch goes on only where the next call comes soon after the answer: now.
                self.watch(now, net);
            }
            Err(error) => self.handle_failure(now, error.fault, &error.message, net),
        }
    }

    /// The list, once it has come completely.
    fn read(&mut self, token: Token, net: &mut Net) -> Result<Option<EndpointList>, CallError> {
        let (Some(call), Some(conn)) = (&mut self.call, net.get(token)) else {
            return Ok(None);
        };
        if call.head.is_none() {
            let head = http::response_head(conn.input.all()).map_err(CallError::broken)?;
            if let Some((head, length)) = head {
                conn.input.consume(length);
                if head.status != HTTP_OK {
                    return Err(CallError {
                        fault: Fault::Refused,
                        message: format!("status {}", head.status),
                    });
                }
                let body = Body::of_response(&head).map_err(CallError::broken)?;
                call.head = Some((head, body));
            }
        }
        if let Some((head, body)) = &mut call.head {
            let taken = body.take(conn.input.all(), &mut call.content);
            conn.input.consume(taken.map_err(CallError::broken)?);
            if body.is_done() || conn.eof && body.ends_with_connection() {
                let is_reusable = head.keep_alive && conn.is_open() && conn.input.is_empty();
                let list = serde_json::from_slice(&call.content).map_err(CallError::broken)?;
                if is_reusable {
                    self.idle = Some(token);
                } else {
                    net.close(token);
                }
                return Ok(Some(list));
            }
        }
        if !conn.eof && !conn.broken {
            Ok(None)
        } else if conn.is_connecting() {
            Err(CallError {
                fault: Fault::Unreachable,
                message: "no connection".to_owned(),
            })
        } else {
            Err(CallError::broken("the connection broke"))
        }
    }

    fn apply_list(&mut self, now: Micros, list: EndpointList, fleet: &mut Fleet, core: &mut Core) {
        let sent_at = self.call.take().map_or(now, |call| call.sent_at);
        let (endpoints, revision) = (list.endpoints.len(), list.revision);
        log::debug!(
            "directory: revision {revision}, {endpoints} lines, after {} us",
            (now - sent_at).0
        );
        self.revision = revision;
        self.staleness.handle_answer();
        let kind = if list.complete {
            WorkerListKind::Full
        } else {
            WorkerListKind::Delta
        };
        let mut change = self.update_membership(now, list.complete, list.endpoints, fleet);
        // After what is new: only those that are still named are trusted again.
        if std::mem::take(&mut self.is_distrusted) {
            log::info!("directory: the list is trusted again");
            change.append(fleet.members.set_trusted(self.source, true));
        }
        fleet.apply_list(now, kind, change, core);
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

    fn update_membership(
        &self,
        now: Micros,
        is_complete: bool,
        endpoints: Vec<EndpointEntry>,
        fleet: &mut Fleet,
    ) -> MembershipChange {
        let reports = endpoints.into_iter().map(EndpointEntry::into_report);
        let reports = reports.collect();
        fleet
            .members
            .apply_discovery_list(now, self.source, is_complete, reports)
    }
}
