//! The connections to other sites: a service that submits jobs there and asks how they end.
//!
//! A job is offered to one site at a time. Which site is next is `marbledeck-federation`'s to say, and which jobs there
//! are is in [`ForwardedJobs`].

mod answers;
mod next_step;

use crate::clock::millis;
use crate::context::Context;
use crate::core::FinalAnswer;
use crate::net::{Net, Peer, Ready, Token};
use crate::placement::Sites;
use crate::service::Service;
use answers::{finish, handle_answer, handle_lost_query, OpenQuery, Query};
use marbledeck_dispatcher::{Micros, RequestId};
use marbledeck_submission::frame;
use marbledeck_submission::message::{Operation, Request};
use next_step::{next_step, NextStep, WAIT_MS};
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Connections to other sites: one for each that is asked, as long as there are no more of them.
pub const MAX_CONNECTIONS: usize = 16;
/// How long a site may take to answer a submission, and how much longer than asked for it may wait for a job's end.
const ANSWER_TIMEOUT: Micros = millis(2000);
/// The pause before a site is asked again that could not be asked, or all sites that had put a job off.
const RETRY_INTERVAL: Micros = millis(250);
/// The longest line of a site, in bytes.
const MAX_LINE: usize = 1024 * 1024;
/// What a connection may hold besides one line.
const INPUT_MARGIN: usize = 4096;
/// While more bytes than this are still to be sent, no query is written.
const MAX_BACKLOG: usize = 256 * 1024;
/// Jobs looked at in one turn.
const JOBS_PER_TURN: usize = 64;

/// A connection to a site.
struct Connection {
    address: SocketAddr,
    /// By the numbers of the queries.
    open: HashMap<u64, OpenQuery>,
}

/// The service for federation.
pub struct Federation {
    peer: Peer,
    connections: HashMap<Token, Connection>,
    /// When an address may be connected to again.
    connect_after: HashMap<SocketAddr, Micros>,
    /// The number of the latest query.
    latest_query: u64,
}

impl Federation {
    /// No connection yet; events of its sockets are for `peer`.
    pub fn new(peer: Peer) -> Self {
        Federation {
            peer,
            connections: HashMap::new(),
            connect_after: HashMap::new(),
            latest_query: 0,
        }
    }

    /// The connection to an address; made where there is none. None while it is too soon after the last try, or when
    /// all connections are in use.
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
            let idle = connections.find(|(_, known)| known.open.is_empty());
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
            open: HashMap::new(),
        };
        self.connections.insert(token, connection);
        Some(token)
    }

    /// A connection is lost: what was asked over it has no answer.
    fn drop_connection(&mut self, now: Micros, token: Token, context: &mut Context) {
        context.net.close(token);
        let Some(connection) = self.connections.remove(&token) else {
            return;
        };
        self.connect_after
            .insert(connection.address, now + RETRY_INTERVAL);
        for open in connection.open.into_values() {
            handle_lost_query(now, &open, context);
        }
    }

    /// Does what is due about a job.
    fn advance(&mut self, now: Micros, id: RequestId, context: &mut Context) {
        let Some(jobs) = &mut context.forwarded_jobs else {
            return;
        };
        jobs.schedule(id, now + RETRY_INTERVAL);
        let own_site = jobs.own_site().to_owned();
        let Some(job) = jobs.get_mut(id) else {
            return;
        };
        let may_be_taken = job.placement.may_be_placed();
        if now >= job.deadline || job.is_abandoned && !may_be_taken {
            // What a site may have may have run.
            let answer = if may_be_taken {
                FinalAnswer::Failed
            } else {
                FinalAnswer::Rejected(Some(RETRY_INTERVAL))
            };
            return finish(id, answer, context);
        }
        if job.open_query.is_some() {
            return;
        }
        let sites = Sites::read(&context.records, now);
        match next_step(job, &sites, &own_site) {
            NextStep::Ask {
                address: Some(address),
                op,
                query,
            } => self.ask(now, id, address, *op, query, context),
            NextStep::Ask { address: None, .. } | NextStep::Nothing => {}
            NextStep::Reject(reason) => {
                log::info!("sites: no site takes a job: {reason}");
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
            let open = OpenQuery {
                job,
                query,
                deadline,
            };
            connection.open.insert(number, open);
        }
        if let Some(jobs) = &mut context.forwarded_jobs {
            // Until there is an answer, or none can be any more.
            jobs.schedule(job, Micros(u64::MAX));
            if let Some(job) = jobs.get_mut(job) {
                job.open_query = Some(number);
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
                log::warn!("sites: a line that makes no sense");
                return self.drop_connection(now, token, context);
            };
            let number = line["seq"].as_u64();
            if let Some(open) = number.and_then(|number| connection.open.remove(&number)) {
                handle_answer(now, &open, line, context);
            }
        }
    }

    fn next_wake(&self) -> Option<Micros> {
        let connections = self.connections.values();
        let open = connections.flat_map(|connection| connection.open.values());
        open.map(|open| open.deadline).min()
    }

    fn wake(&mut self, now: Micros, context: &mut Context) {
        let is_silent = |connection: &Connection| {
            let mut open = connection.open.values();
            open.any(|open| open.deadline <= now)
        };
        let silent: Vec<Token> = self
            .connections
            .iter()
            .filter(|(_, connection)| is_silent(connection))
            .map(|(token, _)| *token)
            .collect();
        for token in silent {
            log::warn!("sites: a site says nothing; it is asked again over another connection");
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
