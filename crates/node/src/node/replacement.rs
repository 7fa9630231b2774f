//! Replacement of a running process of this node without downtime. Contains both sides: the state and sockets that the
//! successor takes over, and the handling of messages between the two processes.

use super::Node;
use crate::discovery::{self, DiscoveryState, EndpointEntry};
use crate::handover::{self, HandoverEvent, Message, Side};
use crate::net::Token;
use marbledeck_dispatcher::Micros;
use rustix::fd::OwnedFd;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::Path;

/// The name under which the processes tell each other the ids of requests. It is that of no service, and a process that
/// does not know it ignores such a message.
const REQUEST_IDS: &str = "request-ids";

/// The state of the running process from which its successor starts.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct HandoverState {
    /// The endpoint list and the workers that operators have taken out of service.
    #[serde(flatten)]
    pub(super) discovery: DiscoveryState,
    /// The names of the services that the process runs.
    #[serde(default, rename = "parties")]
    pub(super) services: Vec<String>,
    /// The reports of all membership sources but discovery, by source name.
    #[serde(default)]
    pub(super) sources: BTreeMap<String, Vec<EndpointEntry>>,
    /// The ids of requests that must not run twice and may have run.
    #[serde(default, rename = "ids", skip_serializing_if = "Vec::is_empty")]
    pub(super) sent_ids: Vec<String>,
}

/// Whether the predecessor was notified that this process can serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Readiness {
    /// This process cannot serve yet.
    Starting,
    /// This process can serve, and the predecessor was notified.
    Announced,
}

/// What a starting process takes over from its predecessor; the default if it starts on its own.
#[derive(Default)]
pub(super) struct Takeover {
    /// The connection to the predecessor, if this process replaces one.
    pub(super) link: Option<UnixStream>,
    /// The predecessor's state; the default if there is no predecessor.
    pub(super) state: HandoverState,
    /// The listening socket for clients.
    pub(super) client_listener: Option<OwnedFd>,
    /// All other listening sockets.
    listeners: Vec<OwnedFd>,
}

impl Takeover {
    /// Requests the state and sockets of the process that listens at this path, if there is one.
    pub(super) fn receive(path: Option<&Path>, client_address: SocketAddr) -> Self {
        let Some(predecessor) = path.and_then(handover::connect::<HandoverState>) else {
            return Takeover::default();
        };
        let mut takeover = Takeover {
            link: None,
            state: predecessor.state,
            client_listener: None,
            listeners: predecessor.listeners,
        };
        takeover.client_listener = takeover.take_listener(client_address);
        // A process that listens at another address belongs to another node; this process starts on its own.
        if takeover.client_listener.is_some() {
            takeover.link = Some(predecessor.stream);
        }
        takeover
    }

    /// Removes and returns the inherited socket that listens at this address.
    pub(super) fn take_listener(&mut self, address: SocketAddr) -> Option<OwnedFd> {
        let listens_there = |listener: &OwnedFd| {
            let bound = rustix::net::getsockname(listener).ok();
            bound.and_then(|bound| SocketAddr::try_from(bound).ok()) == Some(address)
        };
        let position = self.listeners.iter().position(listens_there)?;
        Some(self.listeners.swap_remove(position))
    }

    /// Whether the predecessor, if there is one, runs a service of this name.
    pub(super) fn replaces_service(&self, name: &str) -> bool {
        self.link.is_some() && self.state.services.iter().any(|service| service == name)
    }
}

impl Node {
    /// Notifies the predecessor as soon as this process can serve.
    pub(super) fn announce_readiness(&mut self) {
        if self.readiness == Readiness::Starting && self.check_serving().is_ok() {
            self.readiness = Readiness::Announced;
            self.handover
                .send_to_all(&Message::Serving, &mut self.context.net);
        }
    }

    /// Handles a new connection, a message or the loss of another process of this node.
    pub(super) fn handle_handover_event(&mut self, now: Micros, event: Option<HandoverEvent>) {
        match event {
            Some(HandoverEvent::SuccessorConnected(successor)) => {
                self.accept_successor(now, successor);
            }
            Some(HandoverEvent::Received(side, message)) => {
                self.handle_partner_message(now, side, message);
            }
            Some(HandoverEvent::Lost(side)) => {
                log::info!("lost the connection to the other process ({side:?})");
                self.notify_lost_partner(now, side);
                if side == Side::Successor && !self.lifecycle.is_closed() {
                    self.handover.listen(&mut self.context.net);
                }
            }
            None => {}
        }
        self.share_limits(now);
    }

    fn accept_successor(&mut self, now: Micros, successor: Token) {
        if self.lifecycle.is_closed() {
            // The listening sockets are closed and cannot be handed over, so the other process starts on its own.
            self.handover.drop_link(successor, &mut self.context.net);
            return;
        }
        log::info!("a successor has connected; sending it the state and the listening sockets");
        let listeners = self.listeners();
        let state = self.handover_state(now);
        // The state that an earlier successor had received is sent again to this one.
        self.successor_services.clear();
        self.notify_lost_partner(now, Side::Successor);
        self.handover
            .send_state(successor, &state, &listeners, &mut self.context.net);
    }

    fn handover_state(&self, now: Micros) -> HandoverState {
        let members = &self.context.fleet.members;
        let names = self.services.iter().map(|service| service.name());
        HandoverState {
            discovery: self.context.discovery.state(now, members),
            services: names.map(str::to_owned).collect(),
            sources: discovery::entries_of_other_sources(members),
            sent_ids: self.context.core.sent_ids(),
        }
    }

    fn handle_partner_message(&mut self, now: Micros, side: Side, message: Message) {
        match message {
            Message::WorkerOut(id) => self.apply_out_of_service(now, &id, true),
            Message::WorkerBack(id) => self.apply_out_of_service(now, &id, false),
            Message::Serving => self.handle_serving_successor(now),
            Message::ShuttingDown => log::info!("the other process ({side:?}) is shutting down"),
            Message::Services(names) => {
                if side == Side::Successor {
                    self.successor_services = names;
                }
            }
            Message::Service(name, ids) if name == REQUEST_IDS => {
                self.add_foreign_ids(now, side, ids);
            }
            Message::Service(name, message) => {
                let mut services = self.services.iter_mut();
                if let Some(service) = services.find(|service| service.name() == name) {
                    service.handle_partner_message(now, side, message, &mut self.context);
                }
            }
        }
    }

    /// Records the ids of requests that another process sends to workers, and tells the process on the other side.
    fn add_foreign_ids(&mut self, now: Micros, from: Side, message: Value) {
        match serde_json::from_value::<Vec<String>>(message.clone()) {
            Ok(ids) => self.context.core.add_foreign_ids(now, &ids),
            Err(error) => {
                return log::warn!("handover: ignoring invalid ids of the other process: {error}");
            }
        }
        let message = Message::Service(REQUEST_IDS.to_owned(), message);
        self.handover
            .send_to(from.opposite(), &message, &mut self.context.net);
    }

    /// Tells the other processes which ids of requests are about to be sent to workers.
    fn share_ids(&mut self) {
        let ids = self.context.core.take_unshared_ids();
        if !ids.is_empty() {
            let message = Message::Service(REQUEST_IDS.to_owned(), ids.into());
            self.handover.send_to_all(&message, &mut self.context.net);
        }
    }

    /// Exchanges ids with the other processes right before attempts are sent. Each process writes its own before it reads
    /// those of the other, so that of two processes that got the same id at least one learns of it in time.
    pub(super) fn exchange_ids(&mut self, now: Micros) {
        for side in Side::BOTH {
            let Some(token) = self.handover.token_of(side) else {
                continue;
            };
            self.context.net.flush_connection(token);
            if let Some(event) = self.context.net.poll_connection(token) {
                self.handle_partner_event(now, &event);
            }
        }
    }

    fn handle_serving_successor(&mut self, now: Micros) {
        log::info!("the successor serves; the services hand over their state");
        for service in &mut self.services {
            let mut names = self.successor_services.iter();
            if names.any(|name| name == service.name()) {
                service.begin_handover(now, &mut self.context);
            }
        }
        if self.lifecycle.is_shutting_down() {
            self.close_for_successor(now);
        }
    }

    fn notify_lost_partner(&mut self, now: Micros, side: Side) {
        for service in &mut self.services {
            service.handle_partner_lost(now, side);
        }
    }

    /// Sends the services' messages to the other processes while their connections have room.
    pub(super) fn send_partner_messages(&mut self, now: Micros) {
        self.share_ids();
        for side in Side::BOTH {
            for number in 0..self.services.len() {
                self.send_service_messages(now, side, number);
            }
        }
    }

    fn send_service_messages(&mut self, now: Micros, side: Side, number: usize) {
        while self.handover.has_room(side, &mut self.context.net) {
            let service = &mut self.services[number];
            let Some(message) = service.next_partner_message(side) else {
                return;
            };
            let message = Message::Service(service.name().to_owned(), message);
            if !self.handover.send_to(side, &message, &mut self.context.net) {
                self.notify_lost_partner(now, side);
            }
        }
    }
}
