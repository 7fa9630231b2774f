//! Batch submission in DRMAA terms, as `docs/submission.md` describes it: carries lines between submitters'
//! connections and the protocol's server, which `marbledeck-submission` has without sockets.

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

/// Connections accepted in one turn.
const MAX_ACCEPTS: usize = 16;
/// Lines of one connection handled in one turn.
const MAX_LINES: usize = 64;
/// A line is written only when no more than this is still to be sent.
const MAX_BACKLOG: usize = 16 * 1024;
/// When a submitter is to come back that is one too many.
const RETRY_AFTER_MS: u64 = 1000;

/// One submitter's connection.
struct Submitter {
    token: Token,
    /// It has lines that were not handled yet.
    has_more: bool,
}

/// The front for batch submission.
pub struct Submissions {
    server: Server,
    /// The longest line that a submitter may send, in bytes.
    max_line: usize,
    max_submitters: usize,
    acceptor: Acceptor,
    /// The address that it listens at.
    pub addr: SocketAddr,
    /// The submitters, by the numbers of their tokens.
    submitters: HashMap<u64, Submitter>,
    /// Those with lines that have come and were not handled in their turn.
    deferred: Vec<u64>,
}

impl Submissions {
    /// Listens where the file says, on the socket that was handed on for it if there is one. `prefix` begins the ids
    /// of this process's jobs, so that they differ from those of any other.
    ///
    /// # Errors
    /// The address cannot be listened at.
    pub fn new(
        config: SubmissionConfig,
        handed: Option<OwnedFd>,
        prefix: String,
        peer: Peer,
        net: &mut Net,
    ) -> io::Result<Self> {
        let (listener, addr) = net.listen(config.listen, handed, peer)?;
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

    fn accept(&mut self, now: Micros, context: &mut Context) {
        let net = &mut context.net;
        for _ in 0..MAX_ACCEPTS {
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
                    net.finish(token);
                }
                Err(error) => return log::warn!("accept: {error}"),
            }
        }
    }

    fn forget(&mut self, now: Micros, peer: u64) -> Option<Submitter> {
        self.server.handle_disconnect(now, peer);
        self.submitters.remove(&peer)
    }

    /// Handles the lines that have come, as long as their answers leave.
    fn read(&mut self, now: Micros, peer: u64, context: &mut Context) {
        for _ in 0..MAX_LINES {
            self.flush(now, peer, context);
            let Some(submitter) = self.submitters.get_mut(&peer) else {
                return;
            };
            let Some(conn) = context.net.get(submitter.token) else {
                return;
            };
            if !self.server.accepts_line(peer) {
                // Goes on once it has been answered, or has read.
                submitter.has_more = !conn.input.is_empty();
                return;
            }
            let (full, eof) = (conn.input.is_full(), conn.eof);
            let held = conn.input.all();
            match frame::find_line(held, self.max_line, full) {
                Ok(None) => {
                    if eof {
                        // A last line without its end is none.
                        conn.input.consume(usize::MAX);
                    }
                    submitter.has_more = false;
                    return self.close_if_done(now, peer, context);
                }
                Ok(Some(length)) => {
                    let line = held[..length].trim_ascii().to_vec();
                    conn.input.consume(length + 1);
                    context.net.touch(submitter.token);
                    if !line.is_empty() {
                        self.server
                            .handle_line(now, peer, &line, &mut NodeScheduler(context));
                    }
                }
                Err(TooLong) => {
                    // Where the next line begins is not known.
                    let problem = Problem::invalid_argument("the line is too long");
                    let token = submitter.token;
                    let _ = context.net.write(token, &frame::encode_line(&problem));
                    self.forget(now, peer);
                    return context.net.finish(token);
                }
            }
        }
        if let Some(submitter) = self.submitters.get_mut(&peer) {
            submitter.has_more = true;
        }
        self.deferred.push(peer);
    }

    /// Writes what the submitter is to be sent, as far as it takes it.
    fn flush(&mut self, now: Micros, peer: u64, context: &mut Context) {
        let submitter = self.submitters.get(&peer);
        let Some(token) = submitter.map(|submitter| submitter.token) else {
            return;
        };
        while context.net.has_room(token, MAX_BACKLOG) {
            let Some(line) = self.server.next_line(peer) else {
                return;
            };
            if !context.net.write(token, &line) {
                log::warn!("a response to a submitter does not fit");
                self.forget(now, peer);
                return context.net.close(token);
            }
        }
    }

    /// Closes on a submitter that sends nothing more and is owed nothing more.
    fn close_if_done(&mut self, now: Micros, peer: u64, context: &mut Context) {
        let Some(submitter) = self.submitters.get(&peer) else {
            return;
        };
        let token = submitter.token;
        let conn = context.net.get(token);
        let has_ended = conn.is_some_and(|conn| conn.eof && conn.input.is_empty());
        if has_ended && self.server.is_done_with(peer) {
            self.forget(now, peer);
            context.net.finish(token);
        }
    }

    /// Writes to all submitters that have something to read, and goes on with their lines.
    fn flush_all(&mut self, now: Micros, context: &mut Context) {
        for peer in self.server.take_readable_clients() {
            self.flush(now, peer, context);
            if !self.server.accepts_line(peer) {
                continue;
            }
            let Some(submitter) = self.submitters.get_mut(&peer) else {
                continue;
            };
            if std::mem::take(&mut submitter.has_more) {
                self.deferred.push(peer);
            } else {
                self.close_if_done(now, peer, context);
            }
        }
    }
}

/// The other process, as the server names it.
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

    /// Something has come from a submitter, or can be sent to it, or it is lost. Its jobs go on all the same.
    fn handle_event(&mut self, now: Micros, event: Ready, context: &mut Context) {
        if event.listener {
            return self.accept(now, context);
        }
        let peer = event.token.number();
        let known = self.submitters.contains_key(&peer);
        match context.net.get(event.token) {
            Some(conn) if known && !conn.broken => self.read(now, peer, context),
            _ => {
                self.forget(now, peer);
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
        for peer in std::mem::take(&mut self.deferred) {
            self.read(now, peer, context);
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
        let place = context.fleet.endpoint(worker);
        let name = place.map(|place| Rc::from(place.name.as_str()));
        self.server.handle_started(now, id, name);
    }

    fn handle_requeue(&mut self, now: Micros, id: RequestId) {
        self.server.handle_requeued(now, id);
    }

    fn set_succeeded(&mut self, succeeded: bool, context: &mut Context) {
        self.acceptor.set_succeeded(succeeded, &mut context.net);
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
        log::info!("submissions: handed over to the other process");
        self.flush_all(now, context);
        self.server.begin_handover();
        // Their jobs go on there: the submitters are to connect again.
        for peer in self.submitters.keys().copied().collect::<Vec<_>>() {
            self.flush(now, peer, context);
            if let Some(submitter) = self.forget(now, peer) {
                context.net.finish(submitter.token);
            }
        }
    }

    fn is_handed_over(&self) -> bool {
        self.server.is_handover_complete()
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
                let scheduler = &mut NodeScheduler(context);
                self.server
                    .handle_transfer(now, partner(side), transfer, scheduler);
                if was_paused && !self.server.is_paused() {
                    self.deferred.extend(self.submitters.keys());
                }
            }
            Err(error) => log::warn!("submissions: a message of the other process: {error}"),
        }
    }

    fn handle_partner_lost(&mut self, now: Micros, side: handover::Side) {
        self.server.handle_partner_lost(now, partner(side));
        self.deferred.extend(self.submitters.keys());
    }
}
