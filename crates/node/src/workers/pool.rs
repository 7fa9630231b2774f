//! The connections to all workers: those in use, those kept for the next request, and when each has waited too long.

use super::connection::{AttemptId, Purpose, WorkerConnection};
use super::LOG_TARGET;
use crate::clock::millis;
use crate::net::{Net, Peer, Token};
use marbledeck_dispatcher::{Micros, WorkerId};
use marbledeck_membership::Endpoint;
use std::collections::{BTreeSet, HashMap};

/// For so long no connection is kept once a kept one was found dead. An attempt that meets a dead one may have run, so
/// it costs a retry, may eject its worker and binds a keyed request to it; a new connection costs a millisecond or two.
const NO_REUSE: Micros = millis(30_000);

/// All connections to workers.
pub struct Pool {
    /// How many there may be.
    max_connections: usize,
    connections: HashMap<Token, WorkerConnection>,
    attempts: HashMap<AttemptId, Token>,
    /// Idle connections of each worker, the last used at the end.
    idle: HashMap<WorkerId, Vec<Token>>,
    deadlines: BTreeSet<(Micros, Token)>,
    /// No connection is kept before this time.
    reuse_after: Micros,
}

impl Pool {
    /// An empty pool that holds at most this many connections.
    pub fn new(max_connections: usize) -> Self {
        Pool {
            max_connections,
            connections: HashMap::new(),
            attempts: HashMap::new(),
            idle: HashMap::new(),
            deadlines: BTreeSet::new(),
            reuse_after: Micros(0),
        }
    }

    /// The connection of this token.
    pub fn get(&self, token: Token) -> Option<&WorkerConnection> {
        self.connections.get(&token)
    }

    /// The connection of this token.
    pub fn get_mut(&mut self, token: Token) -> Option<&mut WorkerConnection> {
        self.connections.get_mut(&token)
    }

    /// The connection that carries this attempt.
    pub fn carrier(&self, attempt: AttemptId) -> Option<Token> {
        self.attempts.get(&attempt).copied()
    }

    /// How many attempts are in flight at each worker.
    pub fn attempts_in_flight(&self) -> HashMap<WorkerId, usize> {
        let mut counts = HashMap::new();
        let tokens = self.attempts.values();
        for connection in tokens.filter_map(|token| self.connections.get(token)) {
            *counts.entry(connection.worker).or_default() += 1;
        }
        counts
    }

    /// When the first connection will have waited too long.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// A connection that has waited too long.
    pub fn overdue(&self, now: Micros) -> Option<Token> {
        let (deadline, token) = self.deadlines.first().copied()?;
        (deadline <= now).then_some(token)
    }

    /// Sets when a connection will have waited too long.
    pub fn set_deadline(&mut self, token: Token, deadline: Option<Micros>) {
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        if let Some(old) = std::mem::replace(&mut connection.deadline, deadline) {
            self.deadlines.remove(&(old, token));
        }
        self.deadlines
            .extend(deadline.map(|deadline| (deadline, token)));
    }

    /// Sets how many connections there may be; idle ones beyond that are closed.
    pub fn set_max_connections(&mut self, max: usize, net: &mut Net) {
        self.max_connections = max;
        while self.connections.len() > max && self.evict_idle(net) {}
    }

    /// An idle connection to this worker, or a new one; none where there may be no more or it cannot be opened.
    pub fn acquire(
        &mut self,
        now: Micros,
        worker: WorkerId,
        endpoint: &Endpoint,
        net: &mut Net,
    ) -> Option<Token> {
        while let Some(token) = self.idle.get_mut(&worker).and_then(Vec::pop) {
            // It may have been idle for too long, or been closed by the worker a moment ago.
            let connection = self.connections.get(&token);
            let deadline = connection.and_then(|connection| connection.deadline);
            let is_fresh = deadline.is_some_and(|deadline| now < deadline);
            self.set_deadline(token, None);
            if is_fresh && net.is_reusable(token) {
                return Some(token);
            }
            self.remove(token, net);
        }
        if self.connections.len() >= self.max_connections && !self.evict_idle(net) {
            return None;
        }
        let token = net.connect(endpoint.address, Peer::Worker);
        token
            .inspect_err(|error| log::debug!(target: LOG_TARGET, "{}: {error}", endpoint.name))
            .ok()
    }

    /// Enters a connection that carries a new request.
    pub fn insert(&mut self, token: Token, connection: WorkerConnection, deadline: Option<Micros>) {
        if let Purpose::Attempt(attempt) = connection.purpose {
            self.attempts.insert(attempt, token);
        }
        self.connections.insert(token, connection);
        self.set_deadline(token, deadline);
    }

    /// Forgets which connection carries an attempt that has ended.
    pub fn end_attempt(&mut self, attempt: AttemptId) {
        self.attempts.remove(&attempt);
    }

    /// Keeps a connection for the next request, until this time.
    pub fn keep_idle(&mut self, token: Token, deadline: Micros) {
        self.set_deadline(token, Some(deadline));
        if let Some(connection) = self.connections.get_mut(&token) {
            connection.purpose = Purpose::Idle;
            connection.exchange = None;
            connection.encoded_attempt = None;
            self.idle.entry(connection.worker).or_default().push(token);
        }
    }

    /// Whether connections may be kept for the next request.
    pub fn may_reuse(&self, now: Micros) -> bool {
        now >= self.reuse_after
    }

    /// Closes all idle connections, and keeps none for a while.
    pub fn stop_reuse(&mut self, now: Micros, net: &mut Net) {
        if self.may_reuse(now) {
            log::info!(
                target: LOG_TARGET,
                "workers: a kept connection was dead; none is kept for a while"
            );
        }
        self.reuse_after = now + NO_REUSE;
        for token in std::mem::take(&mut self.idle).into_values().flatten() {
            self.remove(token, net);
        }
    }

    /// Closes the idle connections of a worker.
    pub fn close_idle(&mut self, worker: WorkerId, net: &mut Net) {
        for token in self.idle.remove(&worker).unwrap_or_default() {
            self.remove(token, net);
        }
    }

    /// Removes and closes a connection.
    pub fn remove(&mut self, token: Token, net: &mut Net) -> Option<WorkerConnection> {
        self.set_deadline(token, None);
        let connection = self.connections.remove(&token);
        if let Some(connection) = &connection {
            match connection.purpose {
                Purpose::Attempt(attempt) => self.end_attempt(attempt),
                Purpose::Idle => {
                    if let Some(idle) = self.idle.get_mut(&connection.worker) {
                        idle.retain(|other| *other != token);
                    }
                }
                Purpose::LoadProbe | Purpose::HealthCheck | Purpose::Remainder => {}
            }
        }
        net.close(token);
        connection
    }

    /// Closes the connection that has been idle for longest. Returns whether there was one.
    fn evict_idle(&mut self, net: &mut Net) -> bool {
        let connections = self.connections.iter();
        let idle = connections.filter(|(_, connection)| connection.purpose == Purpose::Idle);
        let oldest = idle.min_by_key(|(_, connection)| connection.deadline);
        let token = oldest.map(|(token, _)| *token);
        token.and_then(|token| self.remove(token, net)).is_some()
    }
}
