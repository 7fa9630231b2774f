//! The pool of connections to all workers, in use or idle, and their deadlines.

use super::connection::{AttemptId, Purpose, WorkerConnection};
use super::LOG_TARGET;
use crate::clock::millis;
use crate::net::{Net, Peer, Token};
use marbledeck_dispatcher::{Micros, WorkerId};
use marbledeck_membership::Endpoint;
use std::collections::{BTreeSet, HashMap};

/// How long no connection is reused after an idle one was found dead or had stray input. An attempt on a dead connection may have run as
/// far as the node knows: it costs a retry, may eject its worker and binds a keyed request to that worker. A new
/// connection costs only a millisecond or two.
const REUSE_PAUSE: Micros = millis(30_000);

/// All connections to workers.
pub struct Pool {
    /// The maximum number of connections.
    max_connections: usize,
    connections: HashMap<Token, WorkerConnection>,
    attempts: HashMap<AttemptId, Token>,
    /// The idle connections of each worker, most recently used last.
    idle: HashMap<WorkerId, Vec<Token>>,
    deadlines: BTreeSet<(Micros, Token)>,
    /// No connection is kept for reuse before this time.
    reuse_after: Micros,
    /// Workers to which no connection is kept for reuse before this time.
    worker_reuse_after: HashMap<WorkerId, Micros>,
}

impl Pool {
    /// Creates an empty pool with at most this many connections.
    pub fn new(max_connections: usize) -> Self {
        Pool {
            max_connections,
            connections: HashMap::new(),
            attempts: HashMap::new(),
            idle: HashMap::new(),
            deadlines: BTreeSet::new(),
            reuse_after: Micros(0),
            worker_reuse_after: HashMap::new(),
        }
    }

    /// The connection with this token.
    pub fn get(&self, token: Token) -> Option<&WorkerConnection> {
        self.connections.get(&token)
    }

    /// The connection with this token, to change it.
    pub fn get_mut(&mut self, token: Token) -> Option<&mut WorkerConnection> {
        self.connections.get_mut(&token)
    }

    /// The connection that carries this attempt.
    pub fn attempt_connection(&self, attempt: AttemptId) -> Option<Token> {
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

    /// The earliest deadline of any connection.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// The connection with the earliest deadline, if that has passed.
    pub fn first_expired(&self, now: Micros) -> Option<Token> {
        let (deadline, token) = self.deadlines.first().copied()?;
        (deadline <= now).then_some(token)
    }

    /// Sets or clears the deadline of a connection.
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

    /// Sets the maximum number of connections; idle ones beyond that are closed.
    pub fn set_max_connections(&mut self, max: usize, net: &mut Net) {
        self.max_connections = max;
        while self.connections.len() > max && self.evict_idle(net) {}
    }

    /// Returns an idle connection to this worker or opens a new one; none if there is no room or opening fails.
    pub fn acquire(
        &mut self,
        now: Micros,
        worker: WorkerId,
        endpoint: &Endpoint,
        net: &mut Net,
    ) -> Option<Token> {
        while let Some(token) = self.idle.get_mut(&worker).and_then(Vec::pop) {
            // It may have been idle for too long, or the worker may have just closed it.
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
            .inspect_err(
                |error| log::debug!(target: LOG_TARGET, "{}: cannot connect: {error}", endpoint.name),
            )
            .ok()
    }

    /// Adds or replaces the state of a connection that carries a new request.
    pub fn insert(&mut self, token: Token, connection: WorkerConnection, deadline: Option<Micros>) {
        if let Purpose::Attempt(attempt) = connection.purpose {
            self.attempts.insert(attempt, token);
        }
        self.connections.insert(token, connection);
        self.set_deadline(token, deadline);
    }

    /// Removes the link from an attempt that has ended to its connection.
    pub fn end_attempt(&mut self, attempt: AttemptId) {
        self.attempts.remove(&attempt);
    }

    /// Keeps a connection for reuse until this time.
    pub fn keep_idle(&mut self, token: Token, deadline: Micros) {
        self.set_deadline(token, Some(deadline));
        if let Some(connection) = self.connections.get_mut(&token) {
            connection.purpose = Purpose::Idle;
            connection.exchange = None;
            connection.encoded_attempt = None;
            self.idle.entry(connection.worker).or_default().push(token);
        }
    }

    /// Whether connections to this worker may be kept for reuse.
    pub fn may_reuse(&self, now: Micros, worker: WorkerId) -> bool {
        let worker_reuse_after = self.worker_reuse_after.get(&worker);
        now >= self.reuse_after && worker_reuse_after.is_none_or(|after| now >= *after)
    }

    /// Closes the idle connections to a worker and keeps none for reuse during `REUSE_PAUSE`.
    pub fn pause_reuse_of(&mut self, now: Micros, worker: WorkerId, net: &mut Net) {
        if self.may_reuse(now, worker) {
            log::info!(
                target: LOG_TARGET,
                "worker {:016x} sent data without a request; closing its idle connections and pausing their reuse",
                worker.0
            );
        }
        self.worker_reuse_after.insert(worker, now + REUSE_PAUSE);
        self.close_idle(worker, net);
    }

    /// Closes all idle connections and keeps none for reuse during `REUSE_PAUSE`.
    pub fn pause_reuse(&mut self, now: Micros, net: &mut Net) {
        if now >= self.reuse_after {
            log::info!(
                target: LOG_TARGET,
                "an idle or reused worker connection was dead; closing all idle ones and pausing connection reuse"
            );
        }
        self.reuse_after = now + REUSE_PAUSE;
        for token in std::mem::take(&mut self.idle).into_values().flatten() {
            self.remove(token, net);
        }
    }

    /// Closes the idle connections of a worker that is gone, has moved or was restarted, and forgets that it was faulty.
    pub fn forget_worker(&mut self, worker: WorkerId, net: &mut Net) {
        self.worker_reuse_after.remove(&worker);
        self.close_idle(worker, net);
    }

    /// Closes the idle connections of a worker.
    fn close_idle(&mut self, worker: WorkerId, net: &mut Net) {
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

    /// Closes the connection that has been idle longest. Returns whether there was one.
    fn evict_idle(&mut self, net: &mut Net) -> bool {
        let connections = self.connections.iter();
        let idle = connections.filter(|(_, connection)| connection.purpose == Purpose::Idle);
        let oldest = idle.min_by_key(|(_, connection)| connection.deadline);
        let token = oldest.map(|(token, _)| *token);
        token.and_then(|token| self.remove(token, net)).is_some()
    }
}
