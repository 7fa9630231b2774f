//! The connections between nodes and voters.

use super::voting::Voting;
use super::Consensus;
use crate::clock::millis;
use crate::net::{Net, Token};
use marbledeck_consensus::wire::{self, Frame, NodeMessage};
use marbledeck_dispatcher::Micros;

/// What a connection to or from a voter may hold each way, in bytes: a frame, and the beginning of the next.
pub(super) const VOTER_BUFFER: usize = wire::MAX_FRAME_BYTES + FRAME_MARGIN;
/// What a connection that a node has made may hold.
pub(super) const NODE_BUFFER: usize = wire::MAX_REQUEST_BYTES + FRAME_MARGIN;
const FRAME_MARGIN: usize = 64 * 1024;
/// Connections accepted in one turn.
const ACCEPTS_PER_TURN: usize = 16;
/// How long no connection is accepted when no descriptor is free.
const ACCEPT_PAUSE: Micros = millis(50);
/// How long a voter that takes no connection is left alone, and how often another one is tried.
pub(super) const RECONNECT_INTERVAL: Micros = millis(250);

/// A connection that somebody else has made.
#[derive(Default)]
pub(super) struct AcceptedConnection {
    /// Its number as a node, once it has sent it.
    pub(super) node: Option<u32>,
    /// Its number as a voter, once that is durably noted.
    pub(super) voter: Option<u64>,
}

impl Consensus {
    /// Sends a frame; a connection whose other end does not read is dropped.
    pub(super) fn send(&mut self, token: Token, frame: &Frame, net: &mut Net) {
        if !net.write(token, &wire::encode(frame)) {
            self.drop_connection(self.now, token, net);
        }
    }

    /// Closes a connection. A query that was asked over it is asked of another voter.
    pub(super) fn drop_connection(&mut self, now: Micros, token: Token, net: &mut Net) {
        net.close(token);
        self.accepted.remove(&token);
        let Some(voter) = self.outgoing.remove(&token) else {
            return;
        };
        self.connect_after.insert(voter, now + RECONNECT_INTERVAL);
        let open_query = self.open_query.as_ref();
        if open_query.is_some_and(|open| open.voter == Some(voter)) {
            self.open_query = None;
            self.next_query = now;
            self.voter_position += 1;
        }
    }

    /// Accepts connections of nodes.
    pub(super) fn accept(&mut self, now: Micros, net: &mut Net) {
        let Some(listener) = self.listener else {
            return;
        };
        for _ in 0..ACCEPTS_PER_TURN {
            match net.accept(listener) {
                Ok(None) => return,
                Ok(Some(token)) => self.handle_accepted(now, token, net),
                Err(e) => {
                    log::warn!("agreement: accept: {e}");
                    net.set_accepting(listener, false);
                    self.accept_paused_until = Some(now + ACCEPT_PAUSE);
                    return;
                }
            }
        }
    }

    fn handle_accepted(&mut self, now: Micros, token: Token, net: &mut Net) {
        let ip = net.peer_addr(token).map(|address| address.ip());
        let is_known = ip.is_some_and(|ip| self.config.from.contains(&ip));
        if is_known && self.is_full() {
            self.drop_oldest_anonymous(now, net);
        }
        if !is_known || self.is_full() {
            log::warn!("agreement: a connection from {ip:?} is not heeded");
            net.close(token);
            return;
        }
        self.accepted.insert(token, AcceptedConnection::default());
    }

    fn is_full(&self) -> bool {
        self.accepted.len() >= self.config.max_accepted()
    }

    /// A connection that has not sent who it is makes room for one that may.
    fn drop_oldest_anonymous(&mut self, now: Micros, net: &mut Net) {
        let accepted = self.accepted.iter();
        let anonymous = accepted.filter(|(_, connection)| connection.node.is_none());
        let oldest = anonymous.map(|(token, _)| *token).min();
        if let Some(token) = oldest {
            self.drop_connection(now, token, net);
        }
    }

    /// The connection to a voter; made where there is none. None while it is too soon after the last try.
    pub(super) fn connect(&mut self, now: Micros, voter: u64, net: &mut Net) -> Option<Token> {
        if let Some(token) = self.connection_to(voter) {
            return Some(token);
        }
        if self.connect_after.get(&voter).is_some_and(|due| now < *due) {
            return None;
        }
        self.connect_after.insert(voter, now + RECONNECT_INTERVAL);
        let mut voters = self.config.voters.iter();
        let address = voters.find(|known| known.number == voter)?.address;
        let token = net.connect(address, self.peer).ok()?;
        net.raise_buffer_limit(token, VOTER_BUFFER);
        // What a machine that has vanished never acknowledges: the connection ends, and another is tried.
        net.set_user_timeout(token, self.config.terms.duration);
        self.outgoing.insert(token, voter);
        let own_store = self.voting.as_ref().map(Voting::store_number);
        let hello = NodeMessage::Hello {
            fleet: self.config.fleet.clone(),
            node: self.config.node,
            voter: own_store.map(|store| (self.own_voter(), store)),
        };
        self.send(token, &Frame::Node(Box::new(hello)), net);
        Some(token)
    }

    /// The connection to a voter, if there is one.
    pub(super) fn connection_to(&self, voter: u64) -> Option<Token> {
        let mut outgoing = self.outgoing.iter();
        let found = outgoing.find(|(_, known)| **known == voter);
        found.map(|(token, _)| *token)
    }
}
