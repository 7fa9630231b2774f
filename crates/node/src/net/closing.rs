//! Closes connections: at once, after the output is written, or between two requests.

use super::conn::State;
use super::{Net, Peer, Socket, Token};
use crate::clock::millis;
use marbledeck_dispatcher::Micros;
use rustix::net::Shutdown;

/// How long a connection that is being closed may take to send the rest, and then drops what still comes. A peer that
/// sends on without end, or reads nothing, holds its descriptor no longer.
const LINGER: Micros = millis(3000);

/// A connection that is closed at this time, whatever its peer does.
pub(super) struct Lingering {
    pub(super) deadline: Micros,
    token: Token,
}

/// How many connections are being closed and still hold their descriptors. Those of operators are counted apart:
/// neither group crowds the other out.
#[derive(Default)]
pub(super) struct ClosingCounts {
    operators: usize,
    others: usize,
}

impl ClosingCounts {
    fn of(&self, peer: Peer) -> usize {
        if is_operator(peer) {
            self.operators
        } else {
            self.others
        }
    }

    fn of_mut(&mut self, peer: Peer) -> &mut usize {
        if is_operator(peer) {
            &mut self.operators
        } else {
            &mut self.others
        }
    }
}

fn is_operator(peer: Peer) -> bool {
    peer == Peer::Operator
}

impl Net {
    /// Closes a connection at once.
    pub fn close(&mut self, token: Token) {
        let Some(slot) = self.slot(token) else {
            return;
        };
        let peer = slot.peer;
        let is_closing = matches!(&slot.socket, Socket::Stream(conn) if conn.closing);
        *self.closing.of_mut(peer) -= usize::from(is_closing);
        // Closing the only descriptor takes it out of the epoll.
        self.slots[token.index()] = None;
        self.free.push(token.index());
    }

    /// Closes a connection when all is written. Nothing more is reported of it.
    pub fn finish(&mut self, token: Token) {
        let deadline = self.now + LINGER;
        let Some(slot) = self.slot(token) else {
            return;
        };
        let peer = slot.peer;
        if let Some(conn) = self.get(token).filter(|conn| !conn.closing) {
            conn.closing = true;
            *self.closing.of_mut(peer) += 1;
            self.lingering.push_back(Lingering { deadline, token });
            self.touch(token);
        }
    }

    /// Closes a connection between two requests: nothing is owed on it. What still comes there is not read, so that
    /// who sent it knows that it was not accepted.
    pub fn shut_down_idle(&mut self, token: Token) {
        self.finish(token);
        if let Some(conn) = self.get(token).filter(|conn| conn.output.is_empty()) {
            let _ = rustix::net::shutdown(&conn.fd, Shutdown::Write);
            conn.state = State::LingeringUnread;
        }
    }

    /// How many connections are being closed and still hold their descriptors: those of operators, or all others.
    pub fn closing_count(&self, peer: Peer) -> usize {
        self.closing.of(peer)
    }

    /// Closes the connection of these at once that has been closing for longest, to make room.
    pub fn close_oldest_lingering(&mut self, peer: Peer) {
        let slots = &self.slots;
        let is_wanted = |lingering: &Lingering| {
            let slot = slots[lingering.token.index()].as_ref();
            slot.filter(|slot| slot.token == lingering.token)
                .is_some_and(|slot| is_operator(slot.peer) == is_operator(peer))
        };
        let index = self.lingering.iter().position(is_wanted);
        if let Some(oldest) = index.and_then(|index| self.lingering.remove(index)) {
            self.close(oldest.token);
        }
    }

    /// Closes the connections that have lingered for too long.
    pub(super) fn close_expired(&mut self) {
        let now = self.now;
        while let Some(expired) = self.lingering.pop_front_if(|next| next.deadline <= now) {
            self.close(expired.token);
        }
    }

    /// Whether all that was written last on connections that are being closed has left this process.
    pub fn is_flushed(&self) -> bool {
        !self.slots.iter().flatten().any(|slot| match &slot.socket {
            Socket::Stream(conn) => conn.closing && !conn.output.is_empty(),
            _ => false,
        })
    }

    /// Whether all connections that are being closed are, but for operators': their peers have the last responses.
    /// Were this process to end before, bytes that come meanwhile would reset them, and responses on the way would be
    /// lost, too.
    pub fn is_closed(&self) -> bool {
        self.closing_count(Peer::Client) == 0
    }
}
