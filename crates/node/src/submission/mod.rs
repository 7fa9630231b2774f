//! The service for batch submission by the DRMAA protocol that `docs/submission.md` describes. It passes lines between
//! the submitters' connections and the protocol's server, which the crate `marbledeck-submission` implements without
//! I/O.

pub(crate) mod config;
mod scheduler;

use crate::context::Context;
use crate::core::FinalAnswer;
use crate::handover;
use crate::net::{Acceptor, Net, Peer, Ready, Token};
use crate::service::Service;
use config::SubmissionConfig;
use marbledeck_dispatcher::{Micros, RequestId, WorkerId};
use marbledeck_submission::frame::{self, TooLong};
use marbledeck_submission::message::Problem;
use marbledeck_submission::{Limits, Partner, Server, Transfer};
use rustix::fd::OwnedFd;
use scheduler::NodeScheduler;
use serde_json::Value;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// The maximum number of connections that are accepted in one turn.
const MAX_ACCEPTS_PER_TURN: usize = 16;
/// The maximum number of lines of one connection that are handled in one turn.
const MAX_LINES_PER_TURN: usize = 64;
/// A line is written to a connection only if at most this many bytes are still to be sent.
const MAX_BACKLOG: usize = 16 * 1024;
/// The delay in milliseconds after which a submitter may connect again that was rejected because there are too many.
const RETRY_AFTER_MS: u64 = 1000;

/// One submitter's connection.
struct Submitter {
    token: Token,
    /// Whether received lines may be waiting to be handled.
    has_more: bool,
}

/// Accepts submitters and runs the server for batch submission.
pub struct Submissions {
    server: Server,
    /// The longest line that a submitter may send, in bytes.
    max_line: usize,
    max_submitters: usize,
    acceptor: Acceptor,
    /// The listening address.
    pub addr: SocketAddr,
    /// The submitters by the numbers of their tokens.
    submitters: HashMap<u64, Submitter>,
    /// The submitters whose lines are to be handled in the next turn.
    deferred: Vec<u64>,
}

impl Submissions {
    /// Listens at the configured address, or on `inherited`, the predecessor's listening socket for it. `prefix` is the
    /// prefix of the ids of this process's jobs, which makes them unique among all processes.
    ///
    /// # Errors
    /// The node cannot listen at the address.
    pub fn new(
        config: SubmissionConfig,
        inherited: Option<OwnedFd>,
        prefix: String,
        peer: Peer,
        net: &mut Net,
    ) -> io::Result<Self> {
        let (listener, addr) = net.listen(config.listen, inherited, peer)?;
        let secs = |s: u64| Micros(s * 1_000_000);
        let limits = Limits {
            max_jobs: config.max_jobs,
            max_bytes: config.max_bytes,
            max_bulk: config.max_bulk,
            max_sessions: config.max_sessions,
            max_session_events: config.history,
            retention: secs(config.retain_s),
            max_hold: secs(config.hold_s),
            session_idle_timeout: secs(config.session_s),
        };
        Ok(Submissions {
            server: Server::new(limits, prefix),
            max_line: config.max_line,
            max_submitters: config.max_submitters,
            acceptor: Acceptor::new(listener),
            addr,
            submitters: HashMap::new(),
            deferred: Vec::new(),
        })
    }

    /// Accepts the waiting connections, and rejects those above the limit.
    fn accept(&mut self, now: Micros, context: &mut Context) {
        let net = &mut context.net;
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            match self.acceptor.accept(now, net) {
                Ok(None) => return,
                Ok(Some(token)) if self.submitters.len() < self.max_submitters => {
                    let submitter = Submitter {
                        token,
                        has_more: false,
                    };
                    self.submitters.insert(token.number(), submitter);
                    self.server.handle_connect(token.number());
                }
                Ok(Some(token)) => {
                    let problem = Problem::try_later("too many submitters", RETRY_AFTER_MS);
                    let _ = net.write(token, &frame::encode_line(&problem));
                    net.close_after_flush(token);
                }
                Err(error) => {
                    return log::warn!(
                        "submission: cannot accept a connection: {error}; pausing the listener"
                    )
                }
            }
        }
    }

    /// Removes a submitter whose connection is closed or about to be closed. Its jobs continue.
    fn remove_submitter(&mut self, now: Micros, client: u64) -> Option<Submitter> {
        self.server.handle_disconnect(now, client);
        self.submitters.remove(&client)
    }

    /// Handles received lines as long as the server accepts more from this submitter. Lines beyond the limit per turn
    /// are deferred to the next one.
    fn read(&mut self, now: Micros, client: u64, context: &mut Context) {
        for _ in 0..MAX_LINES_PER_TURN {
            self.flush(now, client, context);
            let Some(submitter) = self.submitters.get_mut(&client) else {
                return;
            };
            let Some(conn) = context.net.get(submitter.token) else {
                return;
            };
            if !self.server.accepts_line(client) {
                // Continues once earlier lines are answered, or the submitter has read its responses.
                submitter.has_more = !conn.input.is_empty();
                return;
            }
            let (is_full, eof) = (conn.input.is_full(), conn.eof);
            let received = conn.input.all();
            match frame::find_line(received, self.max_line, is_full) {
                Ok(None) => {
                    if eof {
                        // Drops an incomplete last line.
                        conn.input.consume(usize::MAX);
                    }
                    submitter.has_more = false;
                    return self.close_if_done(now, client, context);
                }
                Ok(Some(length)) => {
                    let line = received[..length].trim_ascii().to_vec();
                    conn.input.consume(length + 1);
                    context.net.touch(submitter.token);
                    if !line.is_empty() {
                        self.server
                            .handle_line(now, client, &line, &mut NodeScheduler(context));
                    }
                }
                Err(TooLong) => {
                    // The connection is closed: the start of the next line is unknown.
                    let problem = Problem::invalid_argument("the line is too long");
                    let token = submitter.token;
                    let _ = context.net.write(token, &frame::encode_line(&problem));
                    self.remove_submitter(now, client);
                    return context.net.close_after_flush(token);
                }
            }
        }
        if let Some(submitter) = self.submitters.get_mut(&client) {
            submitter.has_more = true;
        }
        self.deferred.push(client);
    }

    /// Writes lines to a submitter as long as it reads them.
    fn flush(&mut self, now: Micros, client: u64, context: &mut Context) {
        let submitter = self.submitters.get(&client);
        let Some(token) = submitter.map(|submitter| submitter.token) else {
            return;
        };
        while context.net.has_room(token, MAX_BACKLOG) {
            let Some(line) = self.server.next_line(client) else {
                return;
            };
            if !context.net.write(token, &line) {
                log::warn!("submission: a line to a submitter does not fit its buffer; closing its connection");
                self.remove_submitter(now, client);
                return context.net.close(token);
            }
        }
    }

    /// Closes the connection of a submitter that has sent its last line and has received all responses.
    fn close_if_done(&mut self, now: Micros, client: u64, context: &mut Context) {
        let Some(submitter) = self.submitters.get(&client) else {
            return;
        };
        let token = submitter.token;
        let conn = context.net.get(token);
        let has_ended = conn.is_some_and(|conn| conn.eof && conn.input.is_empty());
        if has_ended && self.server.is_done_with(client) {
            self.remove_submitter(now, client);
            context.net.close_after_flush(token);
        }
    }

    /// Writes to all submitters for which there are lines, and continues to handle their own.
    fn flush_all(&mut self, now: Micros, context: &mut Context) {
        for client in self.server.take_readable_clients() {
            self.flush(now, client, context);
            if !self.server.accepts_line(client) {
                continue;
            }
            let Some(submitter) = self.submitters.get_mut(&client) else {
                continue;
            };
            if std::mem::take(&mut submitter.has_more) {
                self.deferred.push(client);
            } else {
                self.close_if_done(now, client, context);
            }
        }
    }
}

/// Logs how much of the state was sent to the successor, or taken over from the predecessor.
fn log_transfer_counts(side: handover::Side, server: &Server) {
    match side {
        handover::Side::Successor => {
            let sent = server.sent_counts();
            log::info!(
                "submission: the successor has taken over the state: {} sessions, {} arrays and {} jobs were sent",
                sent.sessions, sent.arrays, sent.jobs
            );
        }
        handover::Side::Predecessor => {
            let taken_over = server.taken_over_counts();
            log::info!(
                "submission: took over {} sessions, {} arrays and {} jobs from the predecessor",
                taken_over.sessions,
                taken_over.arrays,
                taken_over.jobs
            );
            if taken_over.dropped_jobs > 0 {
                log::warn!(
                    "submission: dropped {} jobs of the predecessor, which sent neither their template nor their \
                     array; these jobs and their submission keys are unknown from now on",
                    taken_over.dropped_jobs
                );
            }
        }
    }
}

/// The submission server's name for the role of the other process.
fn partner(side: handover::Side) -> Partner {
    match side {
        handover::Side::Predecessor => Partner::Predecessor,
        handover::Side::Successor => Partner::Successor,
    }
}

impl Service for Submissions {
    fn name(&self) -> &'static str {
        "submission"
    }

    fn listeners(&self) -> Vec<Token> {
        vec![self.acceptor.listener()]
    }

    /// Reads from and writes to a submitter, or removes it if its connection is lost.
    fn handle_event(&mut self, now: Micros, event: Ready, context: &mut Context) {
        if event.listener {
            return self.accept(now, context);
        }
        let client = event.token.number();
        let known = self.submitters.contains_key(&client);
        match context.net.get(event.token) {
            Some(conn) if known && !conn.broken => self.read(now, client, context),
            _ => {
                self.remove_submitter(now, client);
                context.net.close(event.token);
            }
        }
    }

    fn next_wake(&self) -> Option<Micros> {
        let deferred = (!self.deferred.is_empty()).then_some(Micros(0));
        let wakes = [self.server.next_wake(), deferred, self.acceptor.next_wake()];
        wakes.into_iter().flatten().min()
    }

    fn wake(&mut self, now: Micros, context: &mut Context) {
        self.acceptor.wake(now, &mut context.net);
        let was_paused = self.server.is_paused();
        self.server.wake(now, &mut NodeScheduler(context));
        if was_paused && !self.server.is_paused() {
            self.deferred.extend(self.submitters.keys());
        }
        for client in std::mem::take(&mut self.deferred) {
            self.read(now, client, context);
        }
    }

    fn finish_turn(&mut self, now: Micros, context: &mut Context) {
        self.server.answer_submissions(now);
        self.flush_all(now, context);
    }

    fn handle_answer(
        &mut self,
        now: Micros,
        id: RequestId,
        answer: &FinalAnswer,
        last_attempt_sent_at: Option<Micros>,
    ) -> bool {
        let verdict = match answer {
            FinalAnswer::Served(result) => marbledeck_submission::Verdict::Served(result.clone()),
            FinalAnswer::Rejected(wait) => {
                marbledeck_submission::Verdict::Rejected { retry_after: *wait }
            }
            FinalAnswer::Failed => marbledeck_submission::Verdict::Failed,
        };
        self.server
            .handle_verdict(now, id, verdict, last_attempt_sent_at)
    }

    fn handle_run_start(
        &mut self,
        now: Micros,
        id: RequestId,
        worker: WorkerId,
        context: &Context,
    ) {
        let endpoint = context.fleet.endpoint(worker);
        let name = endpoint.map(|endpoint| Rc::from(endpoint.name.as_str()));
        self.server.handle_started(now, id, name);
    }

    fn handle_requeue(&mut self, now: Micros, id: RequestId) {
        self.server.handle_requeued(now, id);
    }

    fn set_has_successor(&mut self, has_successor: bool, context: &mut Context) {
        self.acceptor
            .set_has_successor(has_successor, &mut context.net);
    }

    fn begin_shutdown(&mut self, _now: Micros) {
        self.server.begin_shutdown();
    }

    fn stop_accepting(&mut self, now: Micros) {
        if !self.server.is_sending_handover() {
            self.server.reject_waiting(now);
        }
    }

    fn handle_predecessor(&mut self, now: Micros) {
        self.server.expect_predecessor(now);
    }

    fn begin_handover(&mut self, now: Micros, context: &mut Context) {
        if self.server.is_sending_handover() {
            return;
        }
        log::info!("submission: handing the jobs over to the successor and closing the submitters' connections");
        self.flush_all(now, context);
        self.server.begin_handover();
        // The jobs continue at the successor, to which the submitters connect again.
        for client in self.submitters.keys().copied().collect::<Vec<_>>() {
            self.flush(now, client, context);
            if let Some(submitter) = self.remove_submitter(now, client) {
                context.net.close_after_flush(submitter.token);
            }
        }
    }

    fn is_handed_over(&self) -> bool {
        self.server.is_handover_complete()
    }

    fn is_relaying(&self) -> bool {
        self.server.is_relaying()
    }

    fn next_partner_message(&mut self, side: handover::Side) -> Option<Value> {
        let transfer = self.server.next_transfer(partner(side))?;
        serde_json::to_value(transfer).ok()
    }

    fn handle_partner_message(
        &mut self,
        now: Micros,
        side: handover::Side,
        message: Value,
        context: &mut Context,
    ) {
        match serde_json::from_value::<Transfer>(message) {
            Ok(transfer) => {
                let was_paused = self.server.is_paused();
                let ends_transfer = matches!(
                    (&transfer, side),
                    (Transfer::End, handover::Side::Predecessor)
                        | (Transfer::Taken, handover::Side::Successor)
                );
                let scheduler = &mut NodeScheduler(context);
                self.server
                    .handle_transfer(now, partner(side), transfer, scheduler);
                if ends_transfer {
                    log_transfer_counts(side, &self.server);
                }
                if was_paused && !self.server.is_paused() {
                    self.deferred.extend(self.submitters.keys());
                }
            }
            Err(error) => log::warn!(
                "submission: ignoring an invalid message from the other process: {error}"
            ),
        }
    }

    fn handle_partner_lost(&mut self, now: Micros, side: handover::Side) {
        self.server.handle_partner_lost(now, partner(side));
        self.deferred.extend(self.submitters.keys());
    }
}
