//! The federation service: submits jobs to other sites, and waits for their outcomes there.
//!
//! A job is offered to one site at a time. `marbledeck-federation` decides which site is next, and [`ForwardedJobs`]
//! holds the jobs.

mod answers;
mod next_step;

use crate::clock::millis;
use crate::context::Context;
use crate::core::FinalAnswer;
use crate::net::{Net, Peer, Ready, Token};
use crate::placement::Sites;
use crate::service::Service;
use answers::{finish, handle_answer, handle_lost_query, PendingQuery, Query};
use marbledeck_dispatcher::{Micros, RequestId};
use marbledeck_submission::frame;
use marbledeck_submission::message::{Operation, Request};
use next_step::{next_step, NextStep, WAIT_MS};
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;

/// The most connections to other sites, one for each site. Beyond that, an idle one is closed before another is opened.
pub const MAX_CONNECTIONS: usize = 16;
/// The timeout of a submission. A wait times out this long after the wait time that the site was asked for.
const ANSWER_TIMEOUT: Micros = millis(2000);
/// The pause before a site is tried again that could not be reached, or before another round of all sites that asked for
/// a later retry.
const RETRY_INTERVAL: Micros = millis(250);
/// The longest line of a site, in bytes.
const MAX_LINE: usize = 1024 * 1024;
/// The input buffer of a connection beyond one line, in bytes.
const INPUT_MARGIN: usize = 4096;
/// No query is written to a connection with more unsent bytes than this.
const MAX_BACKLOG: usize = 256 * 1024;
/// Jobs advanced per turn.
const JOBS_PER_TURN: usize = 64;

/// A connection to a site.
struct Connection {
    address: SocketAddr,
    /// The pending queries by their numbers.
    pending: HashMap<u64, PendingQuery>,
}

/// The federation service.
pub struct Federation {
    peer: Peer,
    connections: HashMap<Token, Connection>,
    /// When an address may be connected to again.
    connect_after: HashMap<SocketAddr, Micros>,
    /// The number of the latest query.
    latest_query: u64,
}

impl Federation {
    /// A service without connections. `peer` is the tag of its sockets, by which their events are routed to it.
    pub fn new(peer: Peer) -> Self {
        Federation {
            peer,
            connections: HashMap::new(),
            connect_after: HashMap::new(),
            latest_query: 0,
        }
    }

    /// The connection to an address, which is opened where there is none. `None` within the retry interval of the last
    /// attempt, or when all connections have pending queries.
    fn connect(&mut self, now: Micros, address: SocketAddr, net: &mut Net) -> Option<Token> {
        let mut connections = self.connections.iter();
        if let Some((token, _)) = connections.find(|(_, known)| known.address == address) {
            return Some(*token);
        }
        if self
            .connect_after
            .get(&address)
            .is_some_and(|due| now < *due)
        {
            return None;
        }
        if self.connections.len() >= MAX_CONNECTIONS {
            let mut connections = self.connections.iter();
            let idle = connections.find(|(_, known)| known.pending.is_empty());
            let token = idle.map(|(token, _)| *token)?;
            net.close(token);
            self.connections.remove(&token);
        }
        self.connect_after.retain(|_, due| now < *due);
        self.connect_after.insert(address, now + RETRY_INTERVAL);
        let token = net.connect(address, self.peer).ok()?;
        net.raise_buffer_limit(token, MAX_LINE + INPUT_MARGIN);
        let connection = Connection {
            address,
            pending: HashMap::new(),
        };
        self.connections.insert(token, connection);
        Some(token)
    }

    /// Closes a connection. Its pending queries get no answer.
    fn drop_connection(&mut self, now: Micros, token: Token, context: &mut Context) {
        context.net.close(token);
        let Some(connection) = self.connections.remove(&token) else {
            return;
        };
        self.connect_after
            .insert(connection.address, now + RETRY_INTERVAL);
        for pending in connection.pending.into_values() {
            handle_lost_query(now, &pending, context);
        }
    }

    /// Takes the next step for a job.
    fn advance(&mut self, now: Micros, id: RequestId, context: &mut Context) {
        let Some(jobs) = &mut context.forwarded_jobs else {
            return;
        };
        jobs.schedule(id, now + RETRY_INTERVAL);
        let own_site = jobs.own_site().to_owned();
        let Some(job) = jobs.get_mut(id) else {
            return;
        };
        let may_be_placed = job.placement.may_be_placed();
        if now >= job.deadline || job.is_abandoned && !may_be_placed {
            // A job that a site may have accepted may have run.
            let answer = if may_be_placed {
                FinalAnswer::Failed
            } else {
                FinalAnswer::Rejected(Some(RETRY_INTERVAL))
            };
            return finish(id, answer, context);
        }
        if job.pending_query.is_some() {
            return;
        }
        let sites = Sites::read(&context.records, now);
        match next_step(job, &sites, &own_site) {
            NextStep::Ask {
                address: Some(address),
                op,
                query,
            } => self.ask(now, id, address, *op, query, context),
            NextStep::Ask { address: None, .. } | NextStep::Wait => {}
            NextStep::Reject(reason) => {
                log::info!("federation: rejecting job {id:?}, since no site accepts it: {reason}");
                finish(id, FinalAnswer::Rejected(Some(RETRY_INTERVAL)), context);
            }
        }
    }

    fn ask(
        &mut self,
        now: Micros,
        job: RequestId,
        address: SocketAddr,
        op: Operation,
        query: Query,
        context: &mut Context,
    ) {
        let Some(token) = self.connect(now, address, &mut context.net) else {
            return;
        };
        if !context.net.has_room(token, MAX_BACKLOG) {
            return;
        }
        self.latest_query += 1;
        let number = self.latest_query;
        let request = Request {
            seq: Value::from(number),
            op,
        };
        if !context.net.write(token, &frame::encode_line(&request)) {
            return self.drop_connection(now, token, context);
        }
        let deadline = match query {
            Query::Submit => now + ANSWER_TIMEOUT,
            Query::Wait => now + millis(WAIT_MS) + ANSWER_TIMEOUT,
        };
        if let Some(connection) = self.connections.get_mut(&token) {
            let pending = PendingQuery {
                job,
                query,
                deadline,
            };
            connection.pending.insert(number, pending);
        }
        if let Some(jobs) = &mut context.forwarded_jobs {
            // An answer, a timeout or the job's deadline reschedules it.
            jobs.schedule(job, Micros(u64::MAX));
            if let Some(job) = jobs.get_mut(job) {
                job.pending_query = Some(number);
            }
        }
    }
}

impl Service for Federation {
    fn name(&self) -> &'static str {
        "sites"
    }

    fn handle_event(&mut self, now: Micros, event: Ready, context: &mut Context) {
        loop {
            let token = event.token;
            let (Some(connection), Some(conn)) =
                (self.connections.get_mut(&token), context.net.get(token))
            else {
                return context.net.close(token);
            };
            let (is_full, is_over) = (conn.input.is_full(), conn.eof || conn.broken);
            let bytes = conn.input.all();
            let line = match frame::find_line(bytes, MAX_LINE, is_full) {
                Ok(Some(length)) => {
                    let line = serde_json::from_slice::<Value>(&bytes[..length]);
                    conn.input.consume(length + 1);
                    line
                }
                Ok(None) if is_over => return self.drop_connection(now, token, context),
                Ok(None) => return,
                Err(_) => return self.drop_connection(now, token, context),
            };
            context.net.touch(token);
            let Ok(line) = line else {
                log::warn!("federation: closing a connection after a line that is not valid JSON");
                return self.drop_connection(now, token, context);
            };
            let number = line["seq"].as_u64();
            if let Some(pending) = number.and_then(|number| connection.pending.remove(&number)) {
                handle_answer(now, &pending, line, context);
            }
        }
    }

    fn next_wake(&self) -> Option<Micros> {
        let connections = self.connections.values();
        let pending = connections.flat_map(|connection| connection.pending.values());
        pending.map(|pending| pending.deadline).min()
    }

    fn wake(&mut self, now: Micros, context: &mut Context) {
        let is_silent = |connection: &Connection| {
            let mut pending = connection.pending.values();
            pending.any(|pending| pending.deadline <= now)
        };
        let silent: Vec<Token> = self
            .connections
            .iter()
            .filter(|(_, connection)| is_silent(connection))
            .map(|(token, _)| *token)
            .collect();
        for token in silent {
            log::warn!(
                "federation: a site has not answered in time; closing its connection and asking again over another one"
            );
            self.drop_connection(now, token, context);
        }
    }

    fn finish_turn(&mut self, now: Micros, context: &mut Context) {
        for _ in 0..JOBS_PER_TURN {
            let jobs = context.forwarded_jobs.as_ref();
            let Some(id) = jobs.and_then(|jobs| jobs.first_due(now)) else {
                return;
            };
            self.advance(now, id, context);
        }
    }
}
