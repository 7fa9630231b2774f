//! The platform's front: clients over HTTP, one request at a time on a connection, and `/ready`.

mod connection;
mod eviction;
mod reply;
mod request_parser;
mod requests;

use crate::clock::millis;
use crate::net::{Acceptor, Net, Peer, Token};
use connection::{ClientConnection, EvictionKey, EvictionRank, Stage};
use marbledeck_dispatcher::{Micros, RequestId};
use reply::Notice;
use rustix::fd::OwnedFd;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;

/// Connections accepted in one turn.
const MAX_ACCEPTS: usize = 32;
/// Connections that make room when no descriptor is free.
const EVICTED_WITHOUT_DESCRIPTOR: usize = 8;
/// How long a request may take to come: the first from the accept on, any other once it has begun. Who hands over jobs
/// sends each in one go; who sends nothing, or a part of a request, is not to hold a descriptor.
const REQUEST_TIMEOUT: Micros = millis(2_500);

/// When a request must have come completely.
struct RequestDeadline {
    at: Micros,
    token: Token,
    /// The number of the request on its connection.
    request_number: u64,
}

/// The connections of all clients.
pub struct Clients {
    /// The listener.
    pub acceptor: Acceptor,
    /// The address that it listens at.
    pub addr: SocketAddr,
    /// Connections that may be held.
    max_connections: usize,
    open: HashMap<Token, ClientConnection>,
    awaiting_answer: HashMap<RequestId, Token>,
    /// The connections that make room for others, in that order.
    evictable: BTreeMap<EvictionKey, Token>,
    /// Counts the changes of [`Clients::evictable`].
    eviction_turns: u64,
    /// The deadlines of requests to come, the earliest first.
    deadlines: VecDeque<RequestDeadline>,
    /// Bytes that large bodies may take together.
    pub body_budget: usize,
    /// What those of them may take that have not come completely.
    reserved_bytes: usize,
    /// The process is to end: no connection is kept.
    pub draining: bool,
}

impl Clients {
    /// Listens at this address, on the socket that was handed on for it if there is one.
    ///
    /// # Errors
    /// The address cannot be listened at.
    pub fn new(
        addr: SocketAddr,
        handed: Option<OwnedFd>,
        max_connections: usize,
        body_budget: usize,
        net: &mut Net,
    ) -> io::Result<Self> {
        let (listener, addr) = net.listen(addr, handed, Peer::Client)?;
        Ok(Clients {
            acceptor: Acceptor::new(listener),
            addr,
            max_connections,
            open: HashMap::new(),
            awaiting_answer: HashMap::new(),
            evictable: BTreeMap::new(),
            eviction_turns: 0,
            deadlines: VecDeque::new(),
            body_budget,
            reserved_bytes: 0,
            draining: false,
        })
    }

    /// When [`Clients::wake`] is next wanted.
    pub fn next_wake(&self) -> Option<Micros> {
        let deadline = self.deadlines.front().map(|deadline| deadline.at);
        let wakes = [self.acceptor.next_wake(), deadline];
        wakes.into_iter().flatten().min()
    }

    /// Ends the listener's pause, and closes on clients whose request takes too long.
    pub fn wake(&mut self, now: Micros, net: &mut Net) {
        self.acceptor.wake(now, net);
        while let Some(deadline) = self.deadlines.pop_front_if(|deadline| deadline.at <= now) {
            let RequestDeadline {
                token,
                request_number,
                ..
            } = deadline;
            let client = self.open.get(&token);
            let Some(client) = client.filter(|client| client.request_number == request_number)
            else {
                continue;
            };
            match client.stage {
                Stage::Idle => self.drop_connection(token, net),
                _ => self.refuse(token, &Notice::new(408, "the request is too slow"), net),
            }
        }
    }

    /// Accepts the connections that wait, as many as may be held.
    pub fn accept(&mut self, now: Micros, net: &mut Net) {
        for _ in 0..MAX_ACCEPTS {
            let held = self.open.len() + net.closing_count(Peer::Client);
            if held >= self.max_connections && !self.make_room(now, net) {
                return self.acceptor.pause(now, net);
            }
            match self.acceptor.accept(now, net) {
                Ok(None) => return,
                Ok(Some(token)) => {
                    self.open.insert(token, ClientConnection::new(now));
                    self.set_eviction_rank(token, Some(EvictionRank::Silent));
                    self.set_request_deadline(now, token);
                }
                Err(error) => {
                    // No descriptor or no memory: those that wait are accepted a little later.
                    log::warn!("accept: {error}");
                    for _ in 0..EVICTED_WITHOUT_DESCRIPTOR {
                        self.make_room(now, net);
                    }
                    return;
                }
            }
        }
    }

    /// Leaves new connections to the process that replaces this one, or accepts them again where that one is lost.
    pub fn set_succeeded(&mut self, succeeded: bool, net: &mut Net) {
        self.acceptor.set_succeeded(succeeded, net);
    }

    /// Sets how many connections may be held; idle ones beyond that are closed.
    pub fn set_max_connections(&mut self, now: Micros, max: usize, net: &mut Net) {
        self.max_connections = max;
        while self.open.len() > max && self.make_room(now, net) {}
    }

    /// The request that is awaited on a connection must come within [`REQUEST_TIMEOUT`].
    fn set_request_deadline(&mut self, now: Micros, token: Token) {
        if let Some(client) = self.open.get(&token) {
            self.deadlines.push_back(RequestDeadline {
                at: now + REQUEST_TIMEOUT,
                token,
                request_number: client.request_number,
            });
        }
    }

    fn drop_connection(&mut self, token: Token, net: &mut Net) {
        self.forget(token);
        net.close(token);
    }

    fn forget(&mut self, token: Token) -> Option<ClientConnection> {
        let client = self.open.remove(&token)?;
        if let Some(key) = client.eviction {
            self.evictable.remove(&key);
        }
        self.reserved_bytes -= client.reserved_bytes;
        if let Stage::AwaitingAnswer { request, .. } = client.stage {
            self.awaiting_answer.remove(&request);
        }
        Some(client)
    }

    /// Accepts the connections that wait, closes the listener, and closes the connections between two requests.
    ///
    /// One on which something has come meanwhile is left alone: that is read and answered; and so is a new one, whose
    /// first request is on its way. An answer given in this turn is still to be written.
    pub fn close_idle(&mut self, now: Micros, net: &mut Net) {
        let mut before = None;
        // Those that wait were accepted by the system: closing the listener would reset them, with what they brought.
        // Not where a successor listens on the same socket: they are its own.
        while !self.acceptor.is_succeeded()
            && !self.acceptor.is_paused()
            && before.replace(self.open.len()) != Some(self.open.len())
        {
            self.accept(now, net);
        }
        self.acceptor.close(net);
        let is_idle = |client: &ClientConnection| matches!(client.stage, Stage::Idle);
        let idle = self.open.iter();
        let idle = idle.filter(|(_, client)| is_idle(client) && !client.is_new(now));
        let idle: Vec<Token> = idle.map(|(token, _)| *token).collect();
        for token in idle {
            if net.is_reusable(token) {
                self.forget(token);
                net.shut_down_idle(token);
            }
        }
    }

    /// Closes the connections on which a request has not come completely: it was not accepted.
    pub fn drop_incomplete(&mut self, net: &mut Net) {
        let clients = self.open.iter();
        let incomplete = clients.filter(|(_, client)| !client.awaits_answer());
        for token in incomplete.map(|(token, _)| *token).collect::<Vec<_>>() {
            self.forget(token);
            // An earlier answer may still be on its way: it is not to be lost by a reset.
            net.finish(token);
        }
    }

    /// Whether no connection is open: no request is incomplete or without its answer.
    pub fn is_idle(&self) -> bool {
        self.open.is_empty()
    }
}
