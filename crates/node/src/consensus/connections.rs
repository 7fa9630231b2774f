//! Opens, accepts and closes the connections between nodes and voters.

use super::voting::Voting;
use super::Consensus;
use crate::clock::millis;
use crate::net::{Net, Token};
use marbledeck_consensus::wire::{self, Frame, NodeMessage};
use marbledeck_dispatcher::Micros;

/// The buffer of a connection to or from a voter, in bytes, for each direction: one frame and the start of the next.
pub(super) const VOTER_BUFFER: usize = wire::MAX_FRAME_BYTES + FRAME_MARGIN;
/// The buffer of a connection from a node that does not vote, in bytes.
pub(super) const NODE_BUFFER: usize = wire::MAX_REQUEST_BYTES + FRAME_MARGIN;
const FRAME_MARGIN: usize = 64 * 1024;
/// Connections accepted per turn.
const ACCEPTS_PER_TURN: usize = 16;
/// How long the listener is paused when no file descriptor is free.
const ACCEPT_RETRY_INTERVAL: Micros = millis(50);
/// The time between attempts to connect to the same voter, and before the next voter is tried.
pub(super) const RECONNECT_INTERVAL: Micros = millis(250);

/// A connection that another node has made.
#[derive(Default)]
pub(super) struct AcceptedConnection {
    /// The number of the node, once it has identified itself.
    pub(super) node: Option<u32>,
    /// The number of the node as a voter, once its store number is recorded durably.
    pub(super) voter: Option<u64>,
}

impl Consensus {
    /// Sends a frame. Closes the connection where its buffer is full, since the peer does not read.
    pub(super) fn send(&mut self, token: Token, frame: &Frame, net: &mut Net) {
        if !net.write(token, &wire::encode(frame)) {
            self.drop_connection(self.now, token, net);
        }
    }

    /// Closes a connection. A query that was pending on it is sent to another voter.
    pub(super) fn drop_connection(&mut self, now: Micros, token: Token, net: &mut Net) {
        net.close(token);
        self.accepted.remove(&token);
        let Some(voter) = self.outgoing.remove(&token) else {
            return;
        };
        self.connect_after.insert(voter, now + RECONNECT_INTERVAL);
        let pending_query = self.pending_query.as_ref();
        if pending_query.is_some_and(|pending| pending.voter == Some(voter)) {
            self.pending_query = None;
            self.next_query = now;
            self.voter_position += 1;
        }
    }

    /// Accepts connections, and pauses the listener where that fails.
    pub(super) fn accept(&mut self, now: Micros, net: &mut Net) {
        let Some(listener) = self.listener else {
            return;
        };
        for _ in 0..ACCEPTS_PER_TURN {
            match net.accept(listener) {
                Ok(None) => return,
                Ok(Some(token)) => self.handle_accepted(now, token, net),
                Err(e) => {
                    log::warn!("consensus: cannot accept a connection: {e}; pausing the listener");
                    net.set_accepting(listener, false);
                    self.accept_paused_until = Some(now + ACCEPT_RETRY_INTERVAL);
                    return;
                }
            }
        }
    }

    fn handle_accepted(&mut self, now: Micros, token: Token, net: &mut Net) {
        let ip = net.peer_addr(token).map(|address| address.ip());
        let is_known = ip.is_some_and(|ip| self.config.from.contains(&ip));
        if is_known && self.is_full() {
            self.close_oldest_unidentified(now, net);
        }
        if !is_known || self.is_full() {
            log::warn!(
                "consensus: closing a connection from {ip:?}: the address is not listed in `from`, or all connections are in use"
            );
            net.close(token);
            return;
        }
        self.accepted.insert(token, AcceptedConnection::default());
    }

    fn is_full(&self) -> bool {
        self.accepted.len() >= self.config.max_accepted()
    }

    /// Closes the oldest connection whose node has not identified itself, to make room for a new one.
    fn close_oldest_unidentified(&mut self, now: Micros, net: &mut Net) {
        let accepted = self.accepted.iter();
        let unidentified = accepted.filter(|(_, connection)| connection.node.is_none());
        let oldest = unidentified.map(|(token, _)| *token).min();
        if let Some(token) = oldest {
            self.drop_connection(now, token, net);
        }
    }

    /// The connection to a voter, which is opened where there is none. `None` within the reconnect interval of the last
    /// attempt.
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
        // Detects a machine that has vanished: the connection ends when sent data is not acknowledged in time.
        net.set_user_timeout(token, self.config.terms.duration);
        self.outgoing.insert(token, voter);
        let own_store_number = self.voting.as_ref().map(Voting::store_number);
        let hello = NodeMessage::Hello {
            fleet: self.config.fleet.clone(),
            node: self.config.node,
            voter: own_store_number.map(|store| (self.own_voter(), store)),
        };
        self.send(token, &Frame::Node(Box::new(hello)), net);
        Some(token)
    }

    /// The open connection to a voter, if any.
    pub(super) fn connection_to(&self, voter: u64) -> Option<Token> {
        let mut outgoing = self.outgoing.iter();
        let found = outgoing.find(|(_, known)| **known == voter);
        found.map(|(token, _)| *token)
    }
}
