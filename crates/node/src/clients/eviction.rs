//! Selects the connections to close when new ones need descriptors.

use super::connection::{EvictionKey, EvictionRank};
use super::Clients;
use crate::net::{Net, Peer, Token};
use marbledeck_dispatcher::Micros;

/// Whether a connection whose first request may still be on its way can be closed, too.
#[derive(Clone, Copy, PartialEq, Eq)]
enum NewConnections {
    Spared,
    Included,
}

impl Clients {
    /// Closes a connection to make room for another. Returns whether there was one to close.
    ///
    /// Prefers a connection that is already being closed, then the oldest that has sent nothing, then the oldest with
    /// an incomplete request, then the one that has been idle longest. A silent or idle connection with unread input is
    /// skipped, and so is any whose answer is not written to its socket yet. A new connection is closed only if there is no other: its request is on its way, and when the
    /// descriptors are held by many clients that keep their connections after a request, each new client would
    /// otherwise be evicted by the next one before it is served.
    pub(super) fn make_room(&mut self, now: Micros, net: &mut Net) -> bool {
        if net.close_oldest_lingering(Peer::Client) {
            return true;
        }
        let token = self.find_evictable(now, NewConnections::Spared, net);
        let token = token.or_else(|| self.find_evictable(now, NewConnections::Included, net));
        token
            .map(|token| self.drop_connection(token, net))
            .is_some()
    }

    fn find_evictable(&self, now: Micros, new: NewConnections, net: &mut Net) -> Option<Token> {
        let mut candidates = self.evictable.iter();
        let found = candidates.find(|(key, token)| {
            let is_flushed = net.get(**token).is_some_and(|conn| conn.output.is_empty());
            let connection = self.connections.get(token);
            let is_old = connection.is_some_and(|connection| !connection.is_new(now));
            is_flushed
                && (is_old || new == NewConnections::Included)
                && (key.rank == EvictionRank::Incomplete || net.is_reusable(**token))
        });
        found.map(|(_, token)| *token)
    }

    /// Moves a connection to the end of this rank, or makes it unevictable if `rank` is none.
    pub(super) fn set_eviction_rank(&mut self, token: Token, rank: Option<EvictionRank>) {
        if let Some(connection) = self.connections.get_mut(&token) {
            self.eviction_sequence += 1;
            let sequence = self.eviction_sequence;
            let key = rank.map(|rank| EvictionKey { rank, sequence });
            if let Some(old) = std::mem::replace(&mut connection.eviction, key) {
                self.evictable.remove(&old);
            }
            self.evictable.extend(key.map(|key| (key, token)));
        }
    }
}
