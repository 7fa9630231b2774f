//! The links to the workers: a pool of connections, one call or probe at a time on each.

pub mod outcomes;
mod report;
mod submitted;

use crate::clock::millis;
use crate::core::{AttemptCommand, AttemptEnd, Core};
use crate::fleet::{Aim, Fleet};
use crate::net::conn::Connection;
use crate::net::{Net, Peer, Token};
use marbledeck_dispatcher::{LoadReport, Micros, Outcome, RequestId, WorkerId};
use marbledeck_membership::{Endpoint, HealthEvidence};
use marbledeck_platform_settings::ReportFields;
use outcomes::{Answer, News};
use std::collections::{BTreeSet, HashMap, HashSet};
use submitted::Submitted;

/// A worker that has not answered a probe by then is not well.
const PROBE: Micros = millis(500);
/// How long a connection may take to carry the rest of an answer that has been decided.
const TAIL: Micros = millis(1000);
/// For so long no connection is kept once a kept one was found dead. A call that meets a dead one may have run, so it
/// costs an attempt, its worker a rest and a keyed job its choice; a new connection costs a millisecond or two.
const DISTRUST: Micros = millis(30_000);

/// A running job of which nothing was heard for so many times the usual span is lost: its machine has vanished, or
/// stands still for longer than any pause.
const SILENT: u64 = 3;

/// What a connection is carrying.
#[derive(Clone, Copy)]
enum Errand {
    Call(RequestId, u32),
    Probe,
    /// Asks whether a doubtful worker is there.
    Look,
    /// Decided, but not wholly read.
    Tail,
    Idle,
}

/// How a worker is spoken to.
enum Speech {
    Http(Answer),
    Submission(Submitted),
}

impl Speech {
    fn read(&mut self, conn: &mut Connection) -> News {
        match self {
            Speech::Http(answer) => answer.read(conn),
            Speech::Submission(submitted) => submitted.read(conn),
        }
    }
}

struct Link {
    worker: WorkerId,
    errand: Errand,
    /// What its call or probe was decided by.
    aim: Option<Aim>,
    /// The last byte of its call has to leave before.
    latest: Option<Micros>,
    speech: Option<Speech>,
    /// When its request was handed over.
    sent: Micros,
    /// It had carried an earlier request, and nothing has come since this one.
    untried: bool,
    /// The last byte of its request has left.
    written: bool,
    /// Bytes of its request.
    size: usize,
    /// The job that it carries runs.
    started: bool,
    /// When something is to be done about it: connected, probed or idle for too long.
    due: Option<Micros>,
}

impl Link {
    fn new(worker: WorkerId, errand: Errand, speech: Speech, sent: Micros) -> Self {
        Link {
            worker,
            errand,
            aim: None,
            latest: None,
            speech: Some(speech),
            sent,
            untried: false,
            written: false,
            size: 0,
            started: false,
            due: None,
        }
    }

    /// Whether no byte of its request has left.
    fn is_unsent(&self, conn: &Connection) -> bool {
        conn.is_connecting() || conn.output.len() >= self.size
    }

    /// Counts a call once its last byte has left. Guards against counting one that was given up, or whose connection
    /// never came up: no worker has it.
    fn note_written(&mut self, conn: &Connection, core: &mut Core) {
        if let Errand::Call(id, _) = self.errand {
            let left = !conn.is_connecting() && conn.output.is_empty();
            if left && !std::mem::replace(&mut self.written, left) {
                core.handle_attempt_written(id);
            }
        }
    }
}

pub struct WorkersConfig {
    pub report_fields: ReportFields,
    /// Workers answer `/status/load`; else only `/health`.
    pub has_load_endpoint: bool,
    /// Workers close a connection that has been idle for so long.
    pub idle_timeout: Micros,
    pub connect_timeout: Micros,
    /// How often a worker tells of a job that runs, if it does.
    pub progress_interval: Option<Micros>,
    pub max_connections: usize,
    /// The workers that are spoken to by submission.
    pub submission_workers: HashSet<WorkerId>,
}

pub struct Workers {
    config: WorkersConfig,
    links: HashMap<Token, Link>,
    calls: HashMap<(RequestId, u32), Token>,
    /// Calls and probes of which something may still be to be written.
    writing: Vec<Token>,
    /// Idle connections, the last used at the end.
    idle: HashMap<WorkerId, Vec<Token>>,
    due: BTreeSet<(Micros, Token)>,
    /// No connection is kept until then.
    distrust: Micros,
    /// What each worker told last of its load.
    told: HashMap<WorkerId, (Micros, LoadReport)>,
    /// Whether anybody wants to know which workers are there, and what shows it.
    pub collects_evidence: bool,
    pub evidence: Vec<(WorkerId, HealthEvidence)>,
}

impl Workers {
    pub fn new(config: WorkersConfig) -> Self {
        Workers {
            config,
            links: HashMap::new(),
            calls: HashMap::new(),
            writing: Vec::new(),
            idle: HashMap::new(),
            due: BTreeSet::new(),
            distrust: Micros(0),
            told: HashMap::new(),
            collects_evidence: false,
            evidence: Vec::new(),
        }
    }

    /// Asks whether a doubtful worker is there; the answer is a [sign](Workers::evidence). One that is spoken to by
    /// submission cannot be asked.
    pub fn check_health(
        &mut self,
        now: Micros,
        worker: WorkerId,
        place: Option<&Endpoint>,
        net: &mut Net,
    ) {
        if self.config.submission_workers.contains(&worker) {
            return;
        }
        let sent = place.is_some_and(|place| {
            let bytes = outcomes::probe(&place.address.to_string(), false);
            let speech = Speech::Http(Answer::new(None, self.config.report_fields));
            let link = Link::new(worker, Errand::Look, speech, now);
            self.say(now, place, link, &bytes, net)
        });
        if !sent {
            self.evidence.push((worker, HealthEvidence::Unreachable));
        }
    }

    /// Notes what the end of a call or of a look shows of a worker.
    fn note_sign(&mut self, worker: WorkerId, errand: Errand, outcome: Outcome) {
        if !self.collects_evidence {
            return;
        }
        let sign = match (errand, outcome) {
            (Errand::Tail | Errand::Idle, _) | (_, Outcome::NotSent) => return,
            (_, Outcome::Served | Outcome::Rejected | Outcome::Failed) => HealthEvidence::Alive,
            (_, Outcome::ConnectFailed) => HealthEvidence::Unreachable,
            (Errand::Look | Errand::Probe, _) => HealthEvidence::Unreachable,
            // What broke or was given up may have many reasons.
            _ => return,
        };
        self.evidence.push((worker, sign));
    }

    /// What a worker told last of its load, and when.
    pub fn load_report(&self, worker: WorkerId) -> Option<(Micros, LoadReport)> {
        self.told.get(&worker).copied()
    }

    /// How many calls are out to each worker.
    pub fn attempts_in_flight(&self) -> HashMap<WorkerId, usize> {
        let mut out = HashMap::new();
        for link in self
            .calls
            .values()
            .filter_map(|token| self.links.get(token))
        {
            *out.entry(link.worker).or_default() += 1;
        }
        out
    }

    /// How many connections may be held from now on; what is idle beyond that is closed.
    pub fn set_max_connections(&mut self, most: usize, net: &mut Net) {
        self.config.max_connections = most;
        while self.links.len() > most && self.make_room(net) {}
    }

    /// Closes the connection that has been idle for longest.
    fn make_room(&mut self, net: &mut Net) -> bool {
        let links = self.links.iter();
        let idle = links.filter(|(_, l)| matches!(l.errand, Errand::Idle));
        let oldest = idle.min_by_key(|(_, l)| l.due).map(|(token, _)| *token);
        oldest.map(|token| self.drop_link(token, net)).is_some()
    }

    pub fn next_wake(&self) -> Option<Micros> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Makes an invoker call. One that cannot even be begun could not connect.
    pub fn start_attempt(
        &mut self,
        now: Micros,
        call: &AttemptCommand,
        aim: Option<(Aim, &Endpoint)>,
        net: &mut Net,
        core: &mut Core,
    ) {
        let (id, attempt, work) = (call.request, call.attempt, &call.payload);
        let remaining = call.deadline - now;
        let sent = aim.is_some_and(|(aim, place)| {
            let (bytes, speech) = if self.config.submission_workers.contains(&call.worker) {
                let submitted = Submitted::new(&work.transaction_id, self.config.report_fields);
                (
                    submitted::request(work, remaining),
                    Speech::Submission(submitted),
                )
            } else {
                let answer =
                    Answer::new(Some(work.transaction_id.clone()), self.config.report_fields);
                let bytes = outcomes::request(work, &place.address.to_string(), remaining);
                (bytes, Speech::Http(answer))
            };
            let mut link = Link::new(call.worker, Errand::Call(id, attempt), speech, now);
            (link.aim, link.latest) = (Some(aim), call.send_before);
            self.say(now, place, link, &bytes, net)
        });
        if !sent {
            core.handle_attempt_ended(now, id, attempt, AttemptEnd::new(Outcome::ConnectFailed));
        }
    }

    /// Asks a worker for its load. One spoken to by submission has no such question and is told as well.
    pub fn probe(
        &mut self,
        now: Micros,
        worker: WorkerId,
        aim: Option<(Aim, &Endpoint)>,
        net: &mut Net,
        core: &mut Core,
    ) {
        if self.config.submission_workers.contains(&worker) {
            return core.handle_probe_result(now, worker, Outcome::Served, None);
        }
        let sent = aim.is_some_and(|(aim, place)| {
            let bytes = outcomes::probe(&place.address.to_string(), self.config.has_load_endpoint);
            let speech = Speech::Http(Answer::new(None, self.config.report_fields));
            let mut link = Link::new(worker, Errand::Probe, speech, now);
            link.aim = Some(aim);
            self.say(now, place, link, &bytes, net)
        });
        if !sent {
            core.handle_probe_result(now, worker, Outcome::ConnectFailed, None);
        }
    }

    /// Puts a request on an idle connection, or on a new one.
    fn say(
        &mut self,
        now: Micros,
        place: &Endpoint,
        mut link: Link,
        bytes: &[u8],
        net: &mut Net,
    ) -> bool {
        let Some(token) = self.connection(now, link.worker, place, net) else {
            return false;
        };
        // Still entered as the idle link that it was.
        link.untried = self.links.contains_key(&token);
        link.size = bytes.len();
        if !net.write(token, bytes) {
            self.drop_link(token, net);
            return false;
        }
        let connecting = net.get(token).is_some_and(|conn| conn.is_connecting());
        let due = match link.errand {
            _ if connecting => Some(now + self.config.connect_timeout),
            Errand::Probe | Errand::Look => Some(now + PROBE),
            _ => None,
        };
        if let Errand::Call(id, attempt) = link.errand {
            self.calls.insert((id, attempt), token);
        }
        if link.aim.is_some() {
            self.writing.push(token);
        }
        self.links.insert(token, link);
        self.set_due(token, due);
        true
    }

    fn connection(
        &mut self,
        now: Micros,
        worker: WorkerId,
        place: &Endpoint,
        net: &mut Net,
    ) -> Option<Token> {
        while let Some(token) = self.idle.get_mut(&worker).and_then(Vec::pop) {
            // It may be due to be closed, or closed by the worker a moment ago.
            let fresh = self
                .links
                .get(&token)
                .is_some_and(|l| l.due.is_some_and(|due| now < due));
            self.set_due(token, None);
            if fresh && net.is_reusable(token) {
                return Some(token);
            }
            self.drop_link(token, net);
        }
        if self.links.len() >= self.config.max_connections && !self.make_room(net) {
            return None;
        }
        let token = net.connect(place.address, Peer::Worker);
        token
            .inspect_err(|e| log::debug!("{}: {e}", place.name))
            .ok()
    }

    fn set_due(&mut self, token: Token, due: Option<Micros>) {
        let Some(link) = self.links.get_mut(&token) else {
            return;
        };
        if let Some(old) = std::mem::replace(&mut link.due, due) {
            self.due.remove(&(old, token));
        }
        self.due.extend(due.map(|due| (due, token)));
    }

    fn drop_link(&mut self, token: Token, net: &mut Net) -> Option<Link> {
        self.set_due(token, None);
        let link = self.links.remove(&token);
        if let Some(link) = &link {
            match link.errand {
                Errand::Call(id, attempt) => drop(self.calls.remove(&(id, attempt))),
                Errand::Idle => {
                    if let Some(idle) = self.idle.get_mut(&link.worker) {
                        idle.retain(|t| *t != token);
                    }
                }
                Errand::Probe | Errand::Look | Errand::Tail => {}
            }
        }
        net.close(token);
        link
    }

    /// Stops waiting for a call: its connection is closed, which tells the worker.
    pub fn cancel_attempt(&mut self, id: RequestId, attempt: u32, net: &mut Net) {
        if let Some(token) = self.calls.get(&(id, attempt)).copied() {
            self.drop_link(token, net);
        }
    }

    /// To be called when all was written out that the sockets take: counts the calls that have wholly left.
    pub fn record_written(&mut self, net: &mut Net, core: &mut Core) {
        let links = &mut self.links;
        self.writing.retain(|token| {
            let link = links.get_mut(token);
            let link = link.filter(|l| matches!(l.errand, Errand::Call(..) | Errand::Probe));
            let (Some(link), Some(conn)) = (link, net.get(*token)) else {
                return false;
            };
            link.note_written(conn, core);
            !link.written && (conn.is_connecting() || !conn.output.is_empty())
        });
    }

    /// Whether a call or probe has not wholly left.
    pub fn has_unsent(&self) -> bool {
        !self.writing.is_empty()
    }

    /// The invocations of which a call leaves when all is written out next: its connection is up.
    pub fn requests_leaving(&self, net: &mut Net) -> Vec<RequestId> {
        let up = |token: &&Token| net.get(**token).is_some_and(|conn| !conn.is_connecting());
        let links = self.writing.iter().filter(up);
        let links = links.filter_map(|token| self.links.get(token));
        let calls = links.filter_map(|link| match link.errand {
            Errand::Call(id, _) if !link.written => Some(id),
            _ => None,
        });
        calls.collect()
    }

    /// Takes back what may no longer begin, at the last moment before its first byte leaves. A call begins with that
    /// byte for its worker, which must be as it was when the call was decided: not draining, gone, started anew, out by
    /// hand, or told by a list that is too old. So it does for its seats. For its invocation it begins with the last
    /// byte: one that is over makes no further attempt, nor one whose effect allows none any more. What is taken back
    /// has never run, and shows nothing of its worker.
    pub fn withdraw_stale(&mut self, now: Micros, fleet: &Fleet, net: &mut Net, core: &mut Core) {
        let unseated = core.seats_valid_until().is_some_and(|until| until <= now);
        let mut late = Vec::new();
        for token in &self.writing {
            let (Some(link), Some(conn)) = (self.links.get(token), net.get(*token)) else {
                continue;
            };
            let stands = link.aim.as_ref().is_some_and(|aim| fleet.stands(aim));
            let over = match link.errand {
                Errand::Call(id, _) if !link.written => {
                    let seatless = unseated && core.needs_seats(id);
                    let late = link.latest.is_some_and(|latest| latest <= now);
                    late || core.is_closed(id) || link.is_unsent(conn) && (!stands || seatless)
                }
                Errand::Probe => link.is_unsent(conn) && !stands,
                _ => false,
            };
            if over {
                late.push(*token);
            }
        }
        for token in late {
            self.broke(now, token, Outcome::NotSent, net, core);
        }
    }

    /// Closes all idle connections, and keeps none for a while.
    fn stop_keeping(&mut self, now: Micros, net: &mut Net) {
        if now >= self.distrust {
            log::info!("workers: a kept connection was dead; none is kept for a while");
        }
        self.distrust = now + DISTRUST;
        for token in std::mem::take(&mut self.idle).into_values().flatten() {
            self.drop_link(token, net);
        }
    }

    /// The worker is gone, has moved or was started anew: its idle connections are of no use.
    pub fn forget_worker(&mut self, worker: WorkerId, net: &mut Net) {
        self.told.remove(&worker);
        for token in self.idle.remove(&worker).unwrap_or_default() {
            self.drop_link(token, net);
        }
    }

    /// Something has happened on a worker's connection.
    pub fn handle_ready(&mut self, now: Micros, token: Token, net: &mut Net, core: &mut Core) {
        let (Some(link), Some(conn)) = (self.links.get_mut(&token), net.get(token)) else {
            return net.close(token);
        };
        if let Errand::Idle = link.errand {
            // Closed by the worker long before it said it would, or speaking unasked: of no use either way, and
            // the others may be dead without a word.
            self.drop_link(token, net);
            return self.stop_keeping(now, net);
        }
        link.note_written(conn, core);
        link.untried &= conn.input.is_empty();
        let found_dead = link.untried && (conn.broken || conn.eof);
        let connected = !conn.is_connecting();
        let news = match &mut link.speech {
            Some(speech) => speech.read(conn),
            None => News::default(),
        };
        let broken = conn.broken || conn.eof;
        let unsent = !conn.output.is_empty();
        if connected {
            let due = match link.errand {
                // Only a job that has begun is told of, and each word of it counts anew.
                Errand::Call(..) if news.started || link.started => {
                    link.started = true;
                    self.config
                        .progress_interval
                        .map(|span| now + Micros(SILENT * span.0))
                }
                Errand::Call(..) => None,
                Errand::Probe | Errand::Look => Some(link.sent + PROBE),
                Errand::Tail | Errand::Idle => link.due,
            };
            self.set_due(token, due);
        }
        if found_dead {
            self.stop_keeping(now, net);
        }
        self.take(now, token, news, core);
        if now < self.distrust
            && self
                .links
                .get(&token)
                .is_some_and(|l| matches!(l.errand, Errand::Idle))
        {
            self.drop_link(token, net);
        }
        let Some(link) = self.links.get(&token) else {
            return;
        };
        if broken && !matches!(link.errand, Errand::Idle) {
            // A request that did not wholly leave has not been taken up; one that did may have run.
            let outcome = if unsent {
                Outcome::ConnectFailed
            } else {
                Outcome::Reset
            };
            self.broke(now, token, outcome, net, core);
        } else if broken {
            self.drop_link(token, net);
        }
    }

    fn take(&mut self, now: Micros, token: Token, news: News, core: &mut Core) {
        let Some(link) = self.links.get_mut(&token) else {
            return;
        };
        let (worker, errand) = (link.worker, &link.errand);
        if let (true, Errand::Call(id, attempt)) = (news.started, errand) {
            core.handle_attempt_started(now, *id, *attempt);
        }
        if let Some(end) = news.end {
            let errand = std::mem::replace(&mut link.errand, Errand::Tail);
            self.set_due(token, Some(now + TAIL));
            self.end(now, worker, errand, end, core);
        }
        match news.over {
            Some(true) => {
                // Well before the worker closes it: a request that crosses that would be lost.
                let idle = self.config.idle_timeout.0 / 2;
                self.set_due(token, Some(now + Micros(idle)));
                if let Some(link) = self.links.get_mut(&token) {
                    (link.errand, link.speech) = (Errand::Idle, None);
                }
                self.idle.entry(worker).or_default().push(token);
            }
            Some(false) => self.set_due(token, Some(now)),
            None => {}
        }
    }

    fn end(
        &mut self,
        now: Micros,
        worker: WorkerId,
        errand: Errand,
        end: AttemptEnd,
        core: &mut Core,
    ) {
        self.note_sign(worker, errand, end.outcome);
        if let Some(report) = end.report {
            self.told.insert(worker, (now, report));
        }
        match errand {
            Errand::Call(id, attempt) => {
                self.calls.remove(&(id, attempt));
                core.handle_attempt_ended(now, id, attempt, end);
            }
            Errand::Probe => core.handle_probe_result(now, worker, end.outcome, end.report),
            Errand::Look | Errand::Tail | Errand::Idle => {}
        }
    }

    fn broke(
        &mut self,
        now: Micros,
        token: Token,
        outcome: Outcome,
        net: &mut Net,
        core: &mut Core,
    ) {
        if let Some(link) = self.drop_link(token, net) {
            self.end(
                now,
                link.worker,
                link.errand,
                AttemptEnd::new(outcome),
                core,
            );
        }
    }

    /// Handles what is due: connects and probes that took too long, and connections idle for too long.
    pub fn wake(&mut self, now: Micros, net: &mut Net, core: &mut Core) {
        while let Some((_, token)) = self.due.first().copied().filter(|(at, _)| *at <= now) {
            let connecting = net.get(token).is_some_and(|conn| conn.is_connecting());
            let outcome = if connecting {
                Outcome::ConnectFailed
            } else {
                Outcome::TimedOut
            };
            self.broke(now, token, outcome, net, core);
        }
    }
}
