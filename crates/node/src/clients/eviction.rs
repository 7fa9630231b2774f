//! Which connections are closed to make room for others.

use super::connection::{EvictionKey, EvictionRank};
use super::Clients;
use crate::net::{Net, Peer, Token};
use marbledeck_dispatcher::Micros;

/// Whether a connection whose first request may be on the way can be closed, too.
#[derive(Clone, Copy, PartialEq, Eq)]
enum NewConnections {
    Spared,
    Included,
}

impl Clients {
    /// Closes a connection to make room. Returns whether there was one.
    ///
    /// The first to go is one that has its answer already, then one that has sent nothing or only a part for longest,
    /// then the longest idle. One on which something has come meanwhile is left alone, and so is a new one while there
    /// is any other: its request is on the way, and among many that have sent one request and stay, each new client
    /// would else make room for the next before it is served.
    pub(super) fn make_room(&mut self, now: Micros, net: &mut Net) -> bool {
        if net.closing_count(Peer::Client) > 0 {
            net.close_oldest_lingering(Peer::Client);
            return true;
        }
        let token = self.evictable(now, NewConnections::Spared, net);
        let token = token.or_else(|| self.evictable(now, NewConnections::Included, net));
        token
            .map(|token| self.drop_connection(token, net))
            .is_some()
    }

    fn evictable(&self, now: Micros, new: NewConnections, net: &mut Net) -> Option<Token> {
        let mut candidates = self.evictable.iter();
        let found = candidates.find(|(key, token)| {
            let connection = self.open.get(token);
            let is_old = connection.is_some_and(|connection| !connection.is_new(now));
            (is_old || new == NewConnections::Included)
                && (key.rank == EvictionRank::Incomplete || net.is_reusable(**token))
        });
        found.map(|(_, token)| *token)
    }

    /// Makes a connection the last of its rank, or takes it out of those that can be closed.
    pub(super) fn set_eviction_rank(&mut self, token: Token, rank: Option<EvictionRank>) {
        if let Some(connection) = self.open.get_mut(&token) {
            self.eviction_turns += 1;
            let turn = self.eviction_turns;
            let key = rank.map(|rank| EvictionKey { rank, turn });
            if let Some(old) = std::mem::replace(&mut connection.eviction, key) {
                self.evictable.remove(&old);
            }
            self.evictable.extend(key.map(|key| (key, token)));
        }
    }
}
