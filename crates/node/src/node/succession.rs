//! Replacing a running process of this node without a gap, seen from both: what the successor takes over, and how the
//! messages between the two are handled.

use super::Node;
use crate::discovery::{self, DiscoveryState, EndpointEntry};
use crate::handover::{self, HandoverEvent, Message, Side};
use crate::net::Token;
use marbledeck_dispatcher::Micros;
use rustix::fd::OwnedFd;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::Path;

/// What the running process knows that its successor is to start from.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct HandoverState {
    /// What discovery and operators have stated.
    #[serde(flatten)]
    pub(super) discovery: DiscoveryState,
    /// The names of its services.
    #[serde(default, rename = "parties")]
    pub(super) services: Vec<String>,
    /// The reports of its other sources, by their names.
    #[serde(default)]
    pub(super) sources: BTreeMap<String, Vec<EndpointEntry>>,
}

/// Whether the predecessor knows that this process can serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Readiness {
    /// It cannot serve yet.
    Starting,
    /// It can, and the predecessor was notified.
    Announced,
}

/// What a starting process takes over.
#[derive(Default)]
pub(super) struct Inheritance {
    /// The link to the predecessor, if this process replaces one.
    pub(super) link: Option<UnixStream>,
    /// The predecessor's state; the default one where there is none.
    pub(super) state: HandoverState,
    /// The listening socket for clients.
    pub(super) client_listener: Option<OwnedFd>,
    /// All other listening sockets.
    listeners: Vec<OwnedFd>,
}

impl Inheritance {
    /// Asks the running process of this node, if there is one at this path.
    pub(super) fn receive(path: Option<&Path>, client_address: SocketAddr) -> Self {
        let Some(predecessor) = path.and_then(handover::connect::<HandoverState>) else {
            return Inheritance::default();
        };
        let mut inheritance = Inheritance {
            link: None,
            state: predecessor.state,
            client_listener: None,
            listeners: predecessor.listeners,
        };
        inheritance.client_listener = inheritance.take_listener(client_address);
        // One that listens elsewhere is another node's: this one starts on its own.
        if inheritance.client_listener.is_some() {
            inheritance.link = Some(predecessor.stream);
        }
        inheritance
    }

    /// The socket that listens at this address, if it was passed on.
    pub(super) fn take_listener(&mut self, address: SocketAddr) -> Option<OwnedFd> {
        let listens_there = |listener: &OwnedFd| {
            let bound = rustix::net::getsockname(listener).ok();
            bound.and_then(|bound| SocketAddr::try_from(bound).ok()) == Some(address)
        };
        let position = self.listeners.iter().position(listens_there)?;
        Some(self.listeners.swap_remove(position))
    }

    /// Whether this process replaces one that has a service of this name.
    pub(super) fn has_service(&self, name: &str) -> bool {
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

    /// Another process of this node has connected, has sent something, or is gone.
    pub(super) fn handle_handover_event(&mut self, now: Micros, event: Option<HandoverEvent>) {
        match event {
            Some(HandoverEvent::SuccessorConnected(successor)) => {
                self.accept_successor(now, successor);
            }
            Some(HandoverEvent::Received(side, message)) => {
                self.handle_partner_message(now, side, message);
            }
            Some(HandoverEvent::Lost(side)) => {
                log::info!("the other process is gone");
                self.notify_lost_partner(now, side);
            }
            None => {}
        }
        self.share_limits(now);
    }

    fn accept_successor(&mut self, now: Micros, successor: Token) {
        if self.lifecycle.is_closed() {
            // What this one has closed cannot be passed on: the other starts by itself.
            self.handover.drop_link(successor, &mut self.context.net);
            return;
        }
        log::info!("another process comes to replace this one");
        let listeners = self.listeners();
        let state = self.handover_state(now);
        // What was passed on to one that came before is passed on to this one anew.
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
        }
    }

    fn handle_partner_message(&mut self, now: Micros, side: Side, message: Message) {
        match message {
            Message::WorkerOut(id) => self.apply_out_of_service(now, &id, true),
            Message::WorkerBack(id) => self.apply_out_of_service(now, &id, false),
            Message::Serving => self.handle_serving_successor(now),
            Message::ShuttingDown => log::info!("the other process ends"),
            Message::Services(names) => {
                if side == Side::Successor {
                    self.successor_services = names;
                }
            }
            Message::Service(name, message) => {
                let mut services = self.services.iter_mut();
                if let Some(service) = services.find(|service| service.name() == name) {
                    service.handle_partner_message(now, side, message, &mut self.context);
                }
            }
        }
    }

    fn handle_serving_successor(&mut self, now: Micros) {
        log::info!("the other process serves");
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

    /// Sends the services' messages to the other processes, as far as those read.
    pub(super) fn send_partner_messages(&mut self, now: Micros) {
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
