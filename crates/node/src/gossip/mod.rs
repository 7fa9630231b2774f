//! The link to the other nodes of the tier: a service that carries the datagrams of `marbledeck-gossip`.

use crate::clock::millis;
use crate::config::PeersConfig;
use crate::net::{Net, Peer, Ready, Token};
use crate::service::{Context, Service};
use marbledeck_dispatcher::{Micros, WorkerId};
use marbledeck_gossip::{message, Asked, Peers, Questions};
use std::collections::HashMap;
use std::net::SocketAddr;

/// How long a probe's result waits for the keeper's answer: twice what datagrams take on the platform, and a little.
const WAITS: Micros = millis(30);
/// Datagrams read in one turn.
const TURN: usize = 64;
/// How often an address that another process of this node still has is tried again.
const AGAIN: Micros = millis(1000);

pub struct Tier {
    config: PeersConfig,
    /// The numbers of the nodes, by their addresses: what comes from elsewhere is dropped.
    numbers: HashMap<SocketAddr, usize>,
    peers: Peers,
    peer: Peer,
    socket: Option<Token>,
    again: Micros,
    asked: Questions,
}

impl Tier {
    pub fn new(config: PeersConfig, peer: Peer, now: Micros, net: &mut Net) -> Self {
        let numbers = config.nodes.iter().enumerate();
        let mut tier = Tier {
            numbers: numbers.map(|(n, addr)| (*addr, n)).collect(),
            peers: Peers::new(config.index, config.nodes.len(), now),
            peer,
            socket: None,
            again: now,
            asked: Questions::default(),
            config,
        };
        tier.open(now, net);
        tier
    }

    fn open(&mut self, now: Micros, net: &mut Net) {
        self.again = now + AGAIN;
        match net.datagrams(self.config.listen, self.peer) {
            Ok(token) => self.socket = Some(token),
            Err(e) => log::warn!("peers: {}: {e}; tried again", self.config.listen),
        }
    }

    fn flush(&mut self, net: &mut Net) {
        while let Some((to, bytes)) = self.peers.datagram() {
            if let (Some(socket), Some(addr)) = (self.socket, self.config.nodes.get(to)) {
                net.send_to(socket, &bytes, *addr);
            }
        }
    }
}

impl Service for Tier {
    fn name(&self) -> &'static str {
        "peers"
    }

    fn ready(&mut self, now: Micros, event: Ready, context: &mut Context) {
        let mut bytes = [0; message::LONGEST + 1];
        for _ in 0..TURN {
            let Some((len, from)) = context.net.receive(event.token, &mut bytes) else {
                return;
            };
            let Some(&from) = self.numbers.get(&from) else {
                continue;
            };
            let told = self.peers.receive(now, from, &bytes[..len]);
            let asked = told.and_then(|told| self.asked.answered(told.worker).zip(Some(told)));
            if let Some((worker, told)) = asked {
                context.core.set_fleet_in_flight(now, worker, told.calls);
            }
        }
    }

    fn next_wake(&self) -> Option<Micros> {
        let again = self.socket.is_none().then_some(self.again);
        [self.asked.next(), again, self.peers.next_wake()]
            .into_iter()
            .flatten()
            .min()
    }

    fn wake(&mut self, now: Micros, context: &mut Context) {
        if self.socket.is_none() && self.again <= now {
            self.open(now, &mut context.net);
        }
        while let Some(worker) = self.asked.overdue(now) {
            self.peers.unanswered(worker);
            context.core.set_fleet_in_flight(now, worker, None);
        }
        self.peers.wake(now);
    }

    fn settled(&mut self, _now: Micros, context: &mut Context) {
        self.flush(&mut context.net);
    }

    fn probes(&mut self, now: Micros, worker: WorkerId, context: &mut Context) {
        match self.peers.ask(now, worker) {
            Asked::Known(calls) => {
                context.core.await_fleet_in_flight(worker);
                context.core.set_fleet_in_flight(now, worker, Some(calls));
            }
            Asked::Sent if self.socket.is_some() => {
                context.core.await_fleet_in_flight(worker);
                if let Some(other) = self.asked.open(worker, now + WAITS) {
                    context.core.set_fleet_in_flight(now, other, None);
                }
            }
            Asked::Sent | Asked::Nothing => {}
        }
    }

    fn called(&mut self, now: Micros, worker: WorkerId) {
        self.peers.called(now, worker);
    }

    fn came_back(&mut self, now: Micros, worker: WorkerId) {
        self.peers.ended(now, worker);
    }
}
