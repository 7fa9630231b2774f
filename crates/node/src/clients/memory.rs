//! Bounds the memory that clients take with requests that have not arrived completely and answers that they do not read.

use super::connection::{ClientConnection, EvictionRank, Stage};
use super::reply::Notice;
use super::Clients;
use crate::clock::millis;
use crate::net::{Net, Token};
use marbledeck_dispatcher::Micros;

/// A connection that takes no more memory than this is not closed to free some: two buffers of their initial size.
const MIN_FREED_BYTES: usize = 4 * 1024;
/// How long an answer may be on its way before its connection may be closed to free memory.
const UNREAD_ANSWER_PERIOD: Micros = millis(500);

impl Clients {
    /// The memory that all client connections take, in bytes: their buffers, and the requests that arrive.
    fn connection_bytes(&self, net: &Net) -> usize {
        net.client_buffer_bytes() + self.partial_bytes
    }

    /// Closes connections until all together take no more memory than their budget: the oldest request first that has
    /// not arrived completely, which is rejected, and then the answer that has been left unread for longest. A request
    /// that was accepted keeps its connection. To be called after a flush; the rejections are flushed here.
    pub fn limit_memory(&mut self, now: Micros, net: &mut Net) {
        if self.connection_bytes(net) > self.connection_budget {
            self.free_memory(now, net);
            net.flush(now);
        }
    }

    fn free_memory(&mut self, now: Micros, net: &mut Net) {
        while self.connection_bytes(net) > self.connection_budget {
            let Some((rank, token)) = self.find_memory_holder(now, net) else {
                return;
            };
            log::debug!("clients: closing a connection, as all together take too much memory");
            if rank == EvictionRank::Incomplete {
                let notice = Notice::new(503, "too little memory for incomplete requests");
                self.refuse(token, &notice, net);
            } else {
                self.drop_connection(token, net);
            }
        }
    }

    /// The first connection in the eviction order whose close frees memory.
    fn find_memory_holder(&self, now: Micros, net: &mut Net) -> Option<(EvictionRank, Token)> {
        let mut candidates = self.evictable.iter();
        let found = candidates.find(|(key, token)| {
            let (Some(client), Some(conn)) = (self.connections.get(token), net.get(**token)) else {
                return false;
            };
            let may_close = key.rank == EvictionRank::Incomplete
                || now >= client.answered_at + UNREAD_ANSWER_PERIOD;
            may_close && conn.buffer_bytes() + client.partial_bytes > MIN_FREED_BYTES
        });
        found.map(|(key, token)| (key.rank, *token))
    }

    /// Counts the request that arrives on a connection anew.
    pub(super) fn count_partial_request(&mut self, token: Token) {
        if let Some(client) = self.connections.get_mut(&token) {
            let bytes = partial_request_bytes(client);
            let before = std::mem::replace(&mut client.partial_bytes, bytes);
            self.partial_bytes = self.partial_bytes + bytes - before;
        }
    }
}

/// The memory that the request takes that arrives on a connection, without the connection's buffers.
fn partial_request_bytes(client: &ClientConnection) -> usize {
    match &client.stage {
        Stage::ReadingBody(partial) => partial.head_bytes + partial.content.capacity(),
        Stage::Idle | Stage::ReadingHead | Stage::AwaitingAnswer { .. } => 0,
    }
}
