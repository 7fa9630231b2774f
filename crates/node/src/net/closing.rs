//! Closes connections: immediately, after their output is written, or between two requests.

use super::conn::{Closing, Connection};
use super::{Net, Peer, Socket, Token};
use crate::clock::millis;
use marbledeck_dispatcher::Micros;

/// How long a connection that is being closed may take to send its output and wait for the peer's close. After this, a
/// peer that keeps sending or reads nothing no longer holds a descriptor.
const LINGER_TIMEOUT: Micros = millis(3000);

/// How many connections that are being closed are tried at most to free a descriptor.
const MAX_CLOSE_ATTEMPTS: usize = 8;

/// A connection that is being closed, and the time at which it is closed whatever its peer does.
pub(super) struct Lingering {
    pub(super) deadline: Micros,
    token: Token,
}

/// The number of connections that are being closed and still hold their descriptors. Operators' connections are counted
/// separately, so that neither group takes the other's descriptors.
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
    /// Closes a socket immediately.
    pub fn close(&mut self, token: Token) {
        let Some(slot) = self.slot(token) else {
            return;
        };
        let peer = slot.peer;
        let is_closing = matches!(&slot.socket, Socket::Stream(conn) if conn.closing.is_some());
        if let Socket::Stream(conn) = &slot.socket {
            self.client_buffer_bytes -= conn.counted_bytes;
        }
        *self.closing.of_mut(peer) -= usize::from(is_closing);
        // Closing the only descriptor also removes it from the epoll instance.
        self.slots[token.index()] = None;
        self.free.push(token.index());
    }

    /// Closes a connection after its output is written. No further events are reported for it.
    pub fn close_after_flush(&mut self, token: Token) {
        self.begin_closing(token, Closing::DiscardInput);
    }

    /// Closes a connection between two requests, when no response is outstanding. Later input is left unread, so that
    /// the sender gets a reset and knows that it was not accepted.
    pub fn shut_down_idle(&mut self, token: Token) {
        self.begin_closing(token, Closing::LeaveUnread);
        if let Some(conn) = self.get(token).filter(|conn| conn.output.is_empty()) {
            conn.shut_down(Closing::LeaveUnread);
        }
    }

    fn begin_closing(&mut self, token: Token, closing: Closing) {
        let deadline = self.now + LINGER_TIMEOUT;
        let Some(slot) = self.slot(token) else {
            return;
        };
        let peer = slot.peer;
        if let Some(conn) = self.get(token).filter(|conn| conn.closing.is_none()) {
            conn.closing = Some(closing);
            if closing == Closing::DiscardInput {
                conn.input.consume(usize::MAX);
            }
            *self.closing.of_mut(peer) += 1;
            self.lingering.push_back(Lingering { deadline, token });
            self.count_buffers(token);
            self.touch(token);
        }
    }

    /// The number of connections that are being closed and still hold their descriptors: operators' connections if
    /// `peer` is an operator, else all others.
    pub fn closing_count(&self, peer: Peer) -> usize {
        self.closing.of(peer)
    }

    /// Immediately closes the one of these connections that has been closing longest and has no output left, to free
    /// its descriptor. Returns whether there was one; only the first few are tried.
    pub fn close_oldest_lingering(&mut self, peer: Peer) -> bool {
        let candidates: Vec<Token> = self.lingering_of(peer).take(MAX_CLOSE_ATTEMPTS).collect();
        let can_end = |token: &Token| {
            let conn = self.get(*token);
            conn.is_some_and(Connection::finish_closing)
        };
        let Some(token) = candidates.into_iter().find(can_end) else {
            return false;
        };
        self.lingering.retain(|lingering| lingering.token != token);
        self.close(token);
        true
    }

    /// The connections that are being closed, the longest first: operators' connections if `peer` is an operator, else
    /// all others.
    fn lingering_of(&self, peer: Peer) -> impl Iterator<Item = Token> + '_ {
        let tokens = self.lingering.iter().map(|lingering| lingering.token);
        tokens.filter(move |token| {
            let slot = self.slots[token.index()].as_ref();
            slot.filter(|slot| slot.token == *token)
                .is_some_and(|slot| is_operator(slot.peer) == is_operator(peer))
        })
    }

    /// Closes the connections whose linger timeout has passed.
    pub(super) fn close_expired(&mut self) {
        let now = self.now;
        while let Some(expired) = self.lingering.pop_front_if(|next| next.deadline <= now) {
            self.close(expired.token);
        }
    }

    /// Whether the output of all connections that are being closed was written to their sockets.
    pub fn is_flushed(&self) -> bool {
        !self.slots.iter().flatten().any(|slot| match &slot.socket {
            Socket::Stream(conn) => conn.closing.is_some() && !conn.output.is_empty(),
            _ => false,
        })
    }

    /// Whether no connection is being closed any more, except operators': all peers have received their last responses.
    /// If the process exited before that, input that arrives later would reset the connections, and responses on their
    /// way would be lost.
    pub fn all_clients_closed(&self) -> bool {
        self.closing_count(Peer::Client) == 0
    }
}
