//! The gossip service: exchanges the datagrams of `marbledeck-gossip` with the other nodes.

pub(crate) mod config;

use crate::clock::millis;
use crate::context::Context;
use crate::net::{Net, Peer, Ready, Token};
use crate::service::Service;
use config::PeersConfig;
use marbledeck_dispatcher::{Micros, WorkerId};
use marbledeck_gossip::{message, InFlightGossip, PendingQueries, QueryOutcome};
use std::collections::HashMap;
use std::net::SocketAddr;

/// How long a probe's result waits for the answer of the worker's owner: a little more than twice the time that
/// datagrams take on the platform.
const ANSWER_TIMEOUT: Micros = millis(30);
/// The maximum number of datagrams read in one turn of the event loop.
const DATAGRAMS_PER_TURN: usize = 64;
/// The interval between attempts to bind an address that another process of this node still holds.
const BIND_RETRY_INTERVAL: Micros = millis(1000);

/// The gossip service.
pub struct Gossip {
    config: PeersConfig,
    /// The numbers of the nodes by address. Datagrams from other addresses are dropped.
    node_numbers: HashMap<SocketAddr, usize>,
    in_flight: InFlightGossip,
    /// The owner under which the socket's events are registered.
    peer: Peer,
    socket: Option<Token>,
    /// When the next attempt to bind the socket is due.
    bind_at: Micros,
    /// The queries to the owners of workers that have not been answered yet.
    queries: PendingQueries,
}

impl Gossip {
    /// Binds the socket. If that fails, it is retried until it succeeds.
    pub fn new(config: PeersConfig, peer: Peer, now: Micros, net: &mut Net) -> Self {
        let numbers = config.nodes.iter().enumerate();
        let mut gossip = Gossip {
            node_numbers: numbers
                .map(|(number, address)| (*address, number))
                .collect(),
            in_flight: InFlightGossip::new(config.index, config.nodes.len(), now),
            peer,
            socket: None,
            bind_at: now,
            queries: PendingQueries::default(),
            config,
        };
        gossip.bind(now, net);
        gossip
    }

    fn bind(&mut self, now: Micros, net: &mut Net) {
        self.bind_at = now + BIND_RETRY_INTERVAL;
        match net.bind_datagrams(self.config.listen, self.peer) {
            Ok(token) => self.socket = Some(token),
            Err(e) => log::warn!(
                "gossip: cannot bind {}: {e}; binding is retried",
                self.config.listen
            ),
        }
    }

    fn send_pending(&mut self, net: &mut Net) {
        while let Some((to, bytes)) = self.in_flight.next_datagram() {
            if let (Some(socket), Some(address)) = (self.socket, self.config.nodes.get(to)) {
                net.send_datagram(socket, &bytes, *address);
            }
        }
    }
}

impl Service for Gossip {
    fn name(&self) -> &'static str {
        "peers"
    }

    fn handle_event(&mut self, now: Micros, event: Ready, context: &mut Context) {
        let mut bytes = [0; message::MAX_LENGTH + 1];
        for _ in 0..DATAGRAMS_PER_TURN {
            let Some((length, sender)) = context.net.receive_datagram(event.token, &mut bytes)
            else {
                return;
            };
            let Some(&node) = self.node_numbers.get(&sender) else {
                continue;
            };
            let Some(answer) = self.in_flight.receive(now, node, &bytes[..length]) else {
                continue;
            };
            if let Some(worker) = self.queries.take_answered(answer.worker) {
                context
                    .core
                    .set_fleet_in_flight(now, worker, answer.in_flight);
            }
        }
    }

    fn next_wake(&self) -> Option<Micros> {
        let bind_at = self.socket.is_none().then_some(self.bind_at);
        [
            self.queries.next_deadline(),
            bind_at,
            self.in_flight.next_wake(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    fn wake(&mut self, now: Micros, context: &mut Context) {
        if self.socket.is_none() && self.bind_at <= now {
            self.bind(now, &mut context.net);
        }
        while let Some(worker) = self.queries.take_overdue(now) {
            self.in_flight.mark_owner_silent(worker);
            context.core.set_fleet_in_flight(now, worker, None);
        }
        self.in_flight.wake(now);
    }

    fn finish_turn(&mut self, _now: Micros, context: &mut Context) {
        self.send_pending(&mut context.net);
    }

    fn handle_probe(&mut self, now: Micros, worker: WorkerId, context: &mut Context) {
        match self.in_flight.query(now, worker) {
            QueryOutcome::Known(attempts) => {
                context.core.await_fleet_in_flight(worker);
                context
                    .core
                    .set_fleet_in_flight(now, worker, Some(attempts));
            }
            QueryOutcome::Sent if self.socket.is_some() => {
                context.core.await_fleet_in_flight(worker);
                let deadline = now + ANSWER_TIMEOUT;
                if let Some(dropped) = self.queries.insert(worker, deadline) {
                    context.core.set_fleet_in_flight(now, dropped, None);
                }
            }
            QueryOutcome::Sent | QueryOutcome::Unavailable => {}
        }
    }

    fn handle_attempt_start(&mut self, now: Micros, worker: WorkerId) {
        self.in_flight.record_send(now, worker);
    }

    fn handle_attempt_end(&mut self, now: Micros, worker: WorkerId) {
        self.in_flight.record_end(now, worker);
    }
}
