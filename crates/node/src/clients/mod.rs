//! The HTTP front end for clients, with one request at a time on a connection, and the readiness check at `/ready`.

mod connection;
mod eviction;
mod memory;
mod reply;
mod request_parser;
mod requests;
#[cfg(test)]
mod tests;

use crate::clock::millis;
use crate::net::{Acceptor, Net, Peer, Token};
use connection::{ClientConnection, EvictionKey, EvictionRank, Stage};
use marbledeck_dispatcher::{Micros, RequestId};
use reply::Notice;
use rustix::fd::OwnedFd;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;

/// The maximum number of connections accepted in one turn of the event loop.
const MAX_ACCEPTS: usize = 32;
/// The maximum number of connections closed when accepting fails because no descriptor is free.
const MAX_EVICTIONS_ON_ACCEPT_ERROR: usize = 8;
/// How long a request may take to arrive: the first one from the accept on, a later one from its first byte. Clients
/// send each request at once; one that sends nothing or only a part of a request must not hold a descriptor.
const REQUEST_TIMEOUT: Micros = millis(2_500);

/// The connections of all clients.
pub struct Clients {
    /// The listener.
    pub acceptor: Acceptor,
    /// The address that it listens at.
    pub addr: SocketAddr,
    /// The maximum number of connections.
    max_connections: usize,
    connections: HashMap<Token, ClientConnection>,
    awaiting_answer: HashMap<RequestId, Token>,
    /// The connections that can be closed to make room for others, in that order.
    evictable: BTreeMap<EvictionKey, Token>,
    /// The last sequence number used in [`Clients::evictable`].
    eviction_sequence: u64,
    /// The deadlines of the requests that have not arrived completely, at most one of each connection.
    deadlines: BTreeSet<(Micros, Token)>,
    /// The maximum total size of large bodies in bytes.
    pub body_budget: usize,
    /// The maximum memory that all connections may take, in bytes: their buffers, and the requests that arrive.
    pub connection_budget: usize,
    /// The memory that the requests take that have not arrived completely, without the connections' buffers.
    partial_bytes: usize,
    /// The part of the budget that is reserved for large bodies that have not arrived completely.
    reserved_bytes: usize,
    /// Whether the process is shutting down, so that connections are closed after the next answer.
    pub draining: bool,
}

impl Clients {
    /// Listens at this address, on the socket inherited from the predecessor process if there is one.
    ///
    /// # Errors
    /// The address cannot be listened at.
    pub fn new(
        addr: SocketAddr,
        inherited: Option<OwnedFd>,
        max_connections: usize,
        body_budget: usize,
        connection_budget: usize,
        net: &mut Net,
    ) -> io::Result<Self> {
        let (listener, addr) = net.listen(addr, inherited, Peer::Client)?;
        Ok(Clients {
            acceptor: Acceptor::new(listener),
            addr,
            max_connections,
            connections: HashMap::new(),
            awaiting_answer: HashMap::new(),
            evictable: BTreeMap::new(),
            eviction_sequence: 0,
            deadlines: BTreeSet::new(),
            body_budget,
            connection_budget,
            partial_bytes: 0,
            reserved_bytes: 0,
            draining: false,
        })
    }

    /// When to call [`Clients::wake`] next.
    pub fn next_wake(&self) -> Option<Micros> {
        let deadline = self.deadlines.first().map(|(deadline, _)| *deadline);
        let wakes = [self.acceptor.next_wake(), deadline];
        wakes.into_iter().flatten().min()
    }

    /// Resumes a paused listener if it is due, and closes connections whose request takes too long to arrive.
    pub fn wake(&mut self, now: Micros, net: &mut Net) {
        self.acceptor.wake(now, net);
        while let Some(token) = self.first_overdue(now) {
            let client = self.connections.get(&token);
            match client.map(|client| &client.stage) {
                None | Some(Stage::Idle) => self.drop_connection(token, net),
                Some(_) => self.refuse(token, &Notice::new(408, "the request is too slow"), net),
            }
        }
    }

    /// Removes the earliest deadline if it has passed, and returns its connection.
    fn first_overdue(&mut self, now: Micros) -> Option<Token> {
        let (deadline, token) = self.deadlines.first().copied()?;
        if deadline > now {
            return None;
        }
        self.deadlines.pop_first();
        Some(token)
    }

    /// Accepts pending connections up to the limits of this turn and of connections in total.
    pub fn accept(&mut self, now: Micros, net: &mut Net) {
        for _ in 0..MAX_ACCEPTS {
            let open_count = self.connections.len() + net.closing_count(Peer::Client);
            if open_count >= self.max_connections && !self.make_room(now, net) {
                return self.acceptor.pause(now, net);
            }
            match self.acceptor.accept(now, net) {
                Ok(None) => return,
                Ok(Some(token)) => {
                    self.connections.insert(token, ClientConnection::new(now));
                    self.set_eviction_rank(token, Some(EvictionRank::Silent));
                    self.set_request_deadline(token, Some(now + REQUEST_TIMEOUT));
                }
                Err(error) => {
                    // No descriptor or no memory is free: the pending ones are accepted after the listener's pause.
                    log::warn!(
                        "cannot accept a connection; pausing the listener and closing some connections: {error}"
                    );
                    for _ in 0..MAX_EVICTIONS_ON_ACCEPT_ERROR {
                        self.make_room(now, net);
                    }
                    return;
                }
            }
        }
    }

    /// Leaves new connections to the successor process, or accepts them again if the successor is lost.
    pub fn set_has_successor(&mut self, has_successor: bool, net: &mut Net) {
        self.acceptor.set_has_successor(has_successor, net);
    }

    /// Sets the maximum number of connections; those beyond it that can be evicted are closed.
    pub fn set_max_connections(&mut self, now: Micros, max: usize, net: &mut Net) {
        self.max_connections = max;
        while self.connections.len() > max && self.make_room(now, net) {}
    }

    /// Sets or clears the time by which the current request on a connection must have arrived.
    fn set_request_deadline(&mut self, token: Token, deadline: Option<Micros>) {
        let Some(client) = self.connections.get_mut(&token) else {
            return;
        };
        if let Some(old) = std::mem::replace(&mut client.request_deadline, deadline) {
            self.deadlines.remove(&(old, token));
        }
        self.deadlines
            .extend(deadline.map(|deadline| (deadline, token)));
    }

    fn drop_connection(&mut self, token: Token, net: &mut Net) {
        self.forget(token);
        net.close(token);
    }

    fn forget(&mut self, token: Token) -> Option<ClientConnection> {
        let client = self.connections.remove(&token)?;
        if let Some(key) = client.eviction {
            self.evictable.remove(&key);
        }
        if let Some(deadline) = client.request_deadline {
            self.deadlines.remove(&(deadline, token));
        }
        self.reserved_bytes -= client.reserved_bytes;
        self.partial_bytes -= client.partial_bytes;
        if let Stage::AwaitingAnswer { request, .. } = client.stage {
            self.awaiting_answer.remove(&request);
        }
        Some(client)
    }

    /// Accepts the pending connections, closes the listener, and closes the connections that are between two requests.
    ///
    /// A connection with unread input is kept until that is read and answered, and a new one because its first request
    /// may be on its way. Answers given in this turn are still written before their connections are closed.
    pub fn close_idle(&mut self, now: Micros, net: &mut Net) {
        let mut previous_count = None;
        // The kernel has already accepted the pending connections: closing the listener would reset them and lose their
        // requests. A successor that listens on the same socket accepts them itself.
        while !self.acceptor.has_successor()
            && !self.acceptor.is_paused()
            && previous_count.replace(self.connections.len()) != Some(self.connections.len())
        {
            self.accept(now, net);
        }
        self.acceptor.close(net);
        let is_idle = |client: &ClientConnection| matches!(client.stage, Stage::Idle);
        let idle = self.connections.iter();
        let idle = idle.filter(|(_, client)| is_idle(client) && !client.is_new(now));
        let idle: Vec<Token> = idle.map(|(token, _)| *token).collect();
        for token in idle {
            if net.is_reusable(token) {
                self.forget(token);
                net.shut_down_idle(token);
            }
        }
    }

    /// Ends the connections on which no complete request has arrived. A request of which a part has come is rejected; one
    /// that comes later is left unread, so that its client may send it again.
    pub fn drop_incomplete(&mut self, net: &mut Net) {
        let clients = self.connections.iter();
        let incomplete = clients.filter(|(_, client)| !client.awaits_answer());
        for token in incomplete.map(|(token, _)| *token).collect::<Vec<_>>() {
            let stage = self.connections.get(&token).map(|client| &client.stage);
            if !matches!(stage, Some(Stage::Idle)) {
                self.refuse(token, &Notice::new(503, "ending"), net);
            } else if net.is_reusable(token) {
                self.forget(token);
                net.shut_down_idle(token);
            }
        }
    }

    /// Whether no connection is open, so that no request is incomplete or waiting for its answer.
    pub fn is_idle(&self) -> bool {
        self.connections.is_empty()
    }
}
