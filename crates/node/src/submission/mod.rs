//! Batch submission in DRMAA terms, as `docs/submission.md` describes it: carries lines between submitters'
//! connections and the protocol's server, which `marbledeck-submission` has without sockets.

mod scheduler;

use crate::clock::millis;
use crate::config::SubmissionConfig;
use crate::core::Verdict;
use crate::handover;
use crate::net::{Net, Peer, Ready, Token};
use crate::service::{Context, Service};
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

/// Connections taken in one turn, and lines of one connection handled in one turn.
const ACCEPTS: usize = 16;
const LINES: usize = 64;
/// How long the listener rests when no descriptor is free.
const REST: Micros = millis(50);
/// A line is written only when no more than this is still to be sent.
const BACKLOG: usize = 16 * 1024;

/// One submitter's connection.
struct Link {
    token: Token,
    /// It has lines that were not handled yet.
    more: bool,
}

pub struct Submissions {
    server: Server,
    max_line: usize,
    max_submitters: usize,
    listener: Token,
    pub addr: SocketAddr,
    links: HashMap<u64, Link>,
    /// Those with lines that have come and were not handled in their turn.
    waiting: Vec<u64>,
    /// When connections are taken again.
    resting: Option<Micros>,
    /// Another process of this node serves, and takes the connections.
    succeeded: bool,
}

impl Submissions {
    /// Listens where the file says, on the socket that was handed on for it if there is one. `prefix` begins the ids
    /// of this start's jobs, so that they differ from those of any other.
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
            listener,
            addr,
            links: HashMap::new(),
            waiting: Vec::new(),
            resting: None,
            succeeded: false,
        })
    }

    fn accept(&mut self, now: Micros, context: &mut Context) {
        let net = &mut context.net;
        for _ in 0..ACCEPTS {
            match net.accept(self.listener) {
                Ok(None) => return,
                Ok(Some(token)) if self.links.len() < self.max_submitters => {
                    let link = Link { token, more: false };
                    self.links.insert(token.number(), link);
                    self.server.handle_connect(token.number());
                }
                Ok(Some(token)) => {
                    let problem = Problem::later("too many submitters", 1000);
                    let _ = net.write(token, &frame::line(&problem));
                    net.finish(token);
                }
                Err(e) => {
                    // No descriptor is free: without a rest, the loop would turn until one is.
                    log::warn!("accept: {e}");
                    net.listening(self.listener, false);
                    self.resting = Some(now + REST);
                    return;
                }
            }
        }
    }

    fn forget(&mut self, now: Micros, peer: u64) -> Option<Link> {
        self.server.handle_disconnect(now, peer);
        self.links.remove(&peer)
    }

    /// Handles the lines that have come, as long as their answers leave.
    fn read(&mut self, now: Micros, peer: u64, context: &mut Context) {
        for _ in 0..LINES {
            self.flush(now, peer, context);
            let Some(link) = self.links.get_mut(&peer) else {
                return;
            };
            let Some(conn) = context.net.get(link.token) else {
                return;
            };
            if !self.server.accepts_line(peer) {
                // Goes on once it has been answered, or has read.
                link.more = !conn.input.is_empty();
                return;
            }
            let (full, eof) = (conn.input.is_full(), conn.eof);
            let held = conn.input.all();
            match frame::next(held, self.max_line, full) {
                Ok(None) => {
                    if eof {
                        // A last line without its end is none.
                        conn.input.consume(usize::MAX);
                    }
                    link.more = false;
                    return self.let_go(now, peer, context);
                }
                Ok(Some(length)) => {
                    let line = held[..length].trim_ascii().to_vec();
                    conn.input.consume(length + 1);
                    context.net.touch(link.token);
                    if !line.is_empty() {
                        self.server
                            .handle_line(now, peer, &line, &mut NodeScheduler(context));
                    }
                }
                Err(TooLong) => {
                    // Where the next line begins is not known.
                    let problem = Problem::invalid("the line is too long");
                    let token = link.token;
                    let _ = context.net.write(token, &frame::line(&problem));
                    self.forget(now, peer);
                    return context.net.finish(token);
                }
            }
        }
        if let Some(link) = self.links.get_mut(&peer) {
            link.more = true;
        }
        self.waiting.push(peer);
    }

    /// Writes what the submitter is to be told, as far as it takes it.
    fn flush(&mut self, now: Micros, peer: u64, context: &mut Context) {
        let Some(token) = self.links.get(&peer).map(|link| link.token) else {
            return;
        };
        while context.net.has_room(token, BACKLOG) {
            let Some(line) = self.server.next_line(peer) else {
                return;
            };
            if !context.net.write(token, &line) {
                log::warn!("an answer to a submitter does not fit");
                self.forget(now, peer);
                return context.net.close(token);
            }
        }
    }

    /// Closes on a submitter that sends nothing more and is owed nothing more.
    fn let_go(&mut self, now: Micros, peer: u64, context: &mut Context) {
        let Some(link) = self.links.get(&peer) else {
            return;
        };
        let token = link.token;
        let silent = context
            .net
            .get(token)
            .is_some_and(|c| c.eof && c.input.is_empty());
        if silent && self.server.is_done_with(peer) {
            self.forget(now, peer);
            context.net.finish(token);
        }
    }

    /// Writes to all who have something to read, and goes on with their lines.
    fn speak(&mut self, now: Micros, context: &mut Context) {
        for peer in self.server.take_readable_clients() {
            self.flush(now, peer, context);
            if !self.server.accepts_line(peer) {
                continue;
            }
            let link = self.links.get_mut(&peer);
            match link.map(|link| std::mem::take(&mut link.more)) {
                Some(true) => self.waiting.push(peer),
                Some(false) => self.let_go(now, peer, context),
                None => {}
            }
        }
    }
}

/// The other process, in the server's words.
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
        vec![self.listener]
    }

    /// Something has come from a submitter, or can be sent to it, or it is lost. Its jobs go on all the same.
    fn ready(&mut self, now: Micros, event: Ready, context: &mut Context) {
        if event.listener {
            return self.accept(now, context);
        }
        let peer = event.token.number();
        let known = self.links.contains_key(&peer);
        match context.net.get(event.token) {
            Some(conn) if known && !conn.broken => self.read(now, peer, context),
            _ => {
                self.forget(now, peer);
                context.net.close(event.token);
            }
        }
    }

    fn next_wake(&self) -> Option<Micros> {
        let more = (!self.waiting.is_empty()).then_some(Micros(0));
        let wakes = [self.server.next_wake(), more, self.resting];
        wakes.into_iter().flatten().min()
    }

    fn wake(&mut self, now: Micros, context: &mut Context) {
        if self.resting.is_some_and(|until| until <= now) {
            self.resting = None;
            context.net.listening(self.listener, !self.succeeded);
        }
        let was_deaf = self.server.is_paused();
        self.server.wake(now, &mut NodeScheduler(context));
        if was_deaf && !self.server.is_paused() {
            self.waiting.extend(self.links.keys());
        }
        for peer in std::mem::take(&mut self.waiting) {
            self.read(now, peer, context);
        }
    }

    fn settled(&mut self, now: Micros, context: &mut Context) {
        self.server.answer_submissions(now);
        self.speak(now, context);
    }

    fn answer(
        &mut self,
        now: Micros,
        id: RequestId,
        verdict: &Verdict,
        sent: Option<Micros>,
    ) -> bool {
        let verdict = match verdict {
            Verdict::Served(result) => marbledeck_submission::Verdict::Served(result.clone()),
            Verdict::Rejected(wait) => {
                marbledeck_submission::Verdict::Rejected { retry_after: *wait }
            }
            Verdict::Failed => marbledeck_submission::Verdict::Failed,
        };
        self.server.handle_verdict(now, id, verdict, sent)
    }

    fn running(&mut self, now: Micros, id: RequestId, worker: WorkerId, context: &Context) {
        let place = context.fleet.place(worker);
        let name = place.map(|place| Rc::from(place.name.as_str()));
        self.server.handle_started(now, id, name);
    }

    fn requeued(&mut self, now: Micros, id: RequestId) {
        self.server.handle_requeued(now, id);
    }

    fn set_succeeded(&mut self, succeeded: bool, context: &mut Context) {
        self.succeeded = succeeded;
        context
            .net
            .listening(self.listener, !succeeded && self.resting.is_none());
    }

    fn end(&mut self, _now: Micros) {
        self.server.begin_shutdown();
    }

    fn abandon(&mut self, now: Micros) {
        if !self.server.is_sending_handover() {
            self.server.reject_waiting(now);
        }
    }

    fn met(&mut self, now: Micros) {
        self.server.expect_predecessor(now);
    }

    fn hand_over(&mut self, now: Micros, context: &mut Context) {
        if self.server.is_sending_handover() {
            return;
        }
        log::info!("submissions: handed over to the other process");
        self.speak(now, context);
        self.server.begin_handover();
        // Their jobs go on there: what they hear next is that they are to connect anew.
        for peer in self.links.keys().copied().collect::<Vec<_>>() {
            self.flush(now, peer, context);
            if let Some(link) = self.forget(now, peer) {
                context.net.finish(link.token);
            }
        }
    }

    fn is_handed_over(&self) -> bool {
        self.server.is_handover_complete()
    }

    fn next_word(&mut self, side: handover::Side) -> Option<Value> {
        let told = self.server.next_transfer(partner(side))?;
        serde_json::to_value(told).ok()
    }

    fn told(&mut self, now: Micros, side: handover::Side, word: Value, context: &mut Context) {
        match serde_json::from_value::<Transfer>(word) {
            Ok(told) => {
                let was_deaf = self.server.is_paused();
                let scheduler = &mut NodeScheduler(context);
                self.server
                    .handle_transfer(now, partner(side), told, scheduler);
                if was_deaf && !self.server.is_paused() {
                    self.waiting.extend(self.links.keys());
                }
            }
            Err(e) => log::warn!("submissions: a word of the other process: {e}"),
        }
    }

    fn lost(&mut self, now: Micros, side: handover::Side) {
        self.server.handle_partner_lost(now, partner(side));
        self.waiting.extend(self.links.keys());
    }
}
