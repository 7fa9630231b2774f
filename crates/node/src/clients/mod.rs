//! The platform's front: consumers over HTTP, one request at a time on a connection, and `/ready`.

mod intake;

use crate::clock::millis;
use crate::core::{Core, FinalAnswer, RequestError};
use crate::net::http::{self, Body, RequestHead};
use crate::net::{Net, Peer, Token};
use intake::Notice;
use marbledeck_dispatcher::{Micros, RequestId};
use rustix::fd::OwnedFd;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;

/// Connections taken in one turn.
const ACCEPTS: usize = 32;
/// Connections that make room when no descriptor is free.
const SPARED: usize = 8;
/// An answer is written, and the next request read, only when no more than this is still to be sent.
const BACKLOG: usize = 16 * 1024;
/// A body up to this needs no room in the pot: few are larger, and those must not shut the others out.
const SMALL: usize = 4 * 1024;
/// How long a listener rests when no descriptor is free.
const REST: Micros = millis(50);
/// How long a request may take to come: the first from the accept on, any other once it has begun. Who hands
/// over jobs sends each in one go; who says nothing, or half of something, is not to hold a descriptor.
const SLOW: Micros = millis(2_500);
/// For so long after its accept a connection may be waiting for its first request to arrive.
const YOUNG: Micros = millis(500);

enum Stage {
    /// Nothing has come of the next request.
    Idle,
    Head,
    Body(Box<RequestHead>, Body, Vec<u8>),
    Waiting(RequestId, bool),
}

/// What a connection is worth when another wants its descriptor; the first is closed first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Spare {
    /// It has never said anything.
    Silent,
    /// It has sent a part of a request.
    HalfRead,
    /// It is between two requests.
    Idle,
}

struct Consumer {
    stage: Stage,
    accepted: Micros,
    /// Its place among those that can be spared; none while its request waits for an answer.
    spare: Option<(Spare, u64)>,
    /// Counts its requests, so that an entry of [`Clients::due`] is known to be out of date.
    request: u64,
    /// What its body may take of the pot.
    held: usize,
}

impl Consumer {
    /// Its first request may be on the way.
    fn is_young(&self, now: Micros) -> bool {
        self.request == 0 && now < self.accepted + YOUNG
    }
}

pub struct Clients {
    pub listener: Token,
    pub addr: SocketAddr,
    /// Connections that may be held.
    pub most: usize,
    open: HashMap<Token, Consumer>,
    waiting: HashMap<RequestId, Token>,
    /// The connections that make room for others, in that order.
    spare: BTreeMap<(Spare, u64), Token>,
    turns: u64,
    /// When the request of this number must have come wholly, the earliest first.
    due: VecDeque<(Micros, Token, u64)>,
    /// Bytes that bodies over [`SMALL`] may take together, and what those take that have not wholly come.
    pub body_budget: usize,
    held: usize,
    resting: Option<Micros>,
    /// The process is to end: no connection is kept.
    pub draining: bool,
    /// Another process of this node serves, and takes the connections.
    succeeded: bool,
}

impl Clients {
    /// Listens at this address, on the socket that was handed on for it if there is one.
    pub fn new(
        addr: SocketAddr,
        handed: Option<OwnedFd>,
        most: usize,
        body_budget: usize,
        net: &mut Net,
    ) -> io::Result<Self> {
        let (listener, addr) = net.listen(addr, handed, Peer::Client)?;
        Ok(Clients {
            listener,
            addr,
            most,
            open: HashMap::new(),
            waiting: HashMap::new(),
            spare: BTreeMap::new(),
            turns: 0,
            due: VecDeque::new(),
            body_budget,
            held: 0,
            resting: None,
            draining: false,
            succeeded: false,
        })
    }

    pub fn next_wake(&self) -> Option<Micros> {
        let due = self.due.front().map(|(at, ..)| *at);
        [self.resting, due].into_iter().flatten().min()
    }

    pub fn wake(&mut self, now: Micros, net: &mut Net) {
        if self.resting.is_some_and(|until| until <= now) {
            self.resting = None;
            net.set_accepting(self.listener, !self.succeeded);
        }
        while let Some((_, token, request)) = self.due.pop_front_if(|(at, ..)| *at <= now) {
            match self.open.get(&token) {
                Some(consumer) if consumer.request == request => match consumer.stage {
                    Stage::Idle => self.drop_consumer(token, net),
                    _ => self.turn_down(token, &Notice(408, "the request is too slow".into()), net),
                },
                _ => {}
            }
        }
    }

    /// Takes the connections that wait, as many as may be held.
    pub fn accept(&mut self, now: Micros, net: &mut Net) {
        for _ in 0..ACCEPTS {
            if self.open.len() + net.closing_count(Peer::Client) >= self.most
                && !self.make_room(now, net)
            {
                return self.rest(now, net);
            }
            match net.accept(self.listener) {
                Ok(None) => return,
                Ok(Some(token)) => {
                    let new = Consumer {
                        stage: Stage::Idle,
                        accepted: now,
                        spare: None,
                        request: 0,
                        held: 0,
                    };
                    self.open.insert(token, new);
                    self.set_spare(token, Some(Spare::Silent));
                    self.set_due(now, token);
                }
                Err(e) => {
                    // No descriptor or no memory: those that wait are taken a little later.
                    log::warn!("accept: {e}");
                    for _ in 0..SPARED {
                        self.make_room(now, net);
                    }
                    return self.rest(now, net);
                }
            }
        }
    }

    /// Leaves new connections to the process that replaces this one, or takes them again where that one is lost.
    pub fn set_succeeded(&mut self, succeeded: bool, net: &mut Net) {
        self.succeeded = succeeded;
        net.set_accepting(self.listener, !succeeded && self.resting.is_none());
    }

    /// How many connections may be held from now on; what is idle beyond that is closed.
    pub fn set_max_connections(&mut self, now: Micros, most: usize, net: &mut Net) {
        self.most = most;
        while self.open.len() > most && self.make_room(now, net) {}
    }

    fn rest(&mut self, now: Micros, net: &mut Net) {
        net.set_accepting(self.listener, false);
        self.resting = Some(now + REST);
    }

    /// Closes a connection to make room: one that has its answer already, else one that has said nothing or only
    /// a part for longest, else the longest idle. One on which something has come meanwhile is left alone, and so is
    /// a new one while there is any other: its request is on the way, and among many that have asked once and stay
    /// each new consumer would else make room for the next before it is heard.
    fn make_room(&mut self, now: Micros, net: &mut Net) -> bool {
        if net.closing_count(Peer::Client) > 0 {
            net.close_oldest_lingering(Peer::Client);
            return true;
        }
        let found = self.to_spare(now, false, net);
        let found = found.or_else(|| self.to_spare(now, true, net));
        found.map(|token| self.drop_consumer(token, net)).is_some()
    }

    fn to_spare(&self, now: Micros, young: bool, net: &mut Net) -> Option<Token> {
        let mut spare = self.spare.iter();
        let found = spare.find(|((spare, _), token)| {
            let old = self.open.get(token).is_some_and(|c| !c.is_young(now));
            (old || young) && (*spare == Spare::HalfRead || net.is_reusable(**token))
        });
        found.map(|(_, token)| *token)
    }

    fn set_spare(&mut self, token: Token, spare: Option<Spare>) {
        if let Some(consumer) = self.open.get_mut(&token) {
            self.turns += 1;
            let new = spare.map(|spare| (spare, self.turns));
            if let Some(old) = std::mem::replace(&mut consumer.spare, new) {
                self.spare.remove(&old);
            }
            self.spare.extend(new.map(|new| (new, token)));
        }
    }

    /// The request that is awaited must have come by then.
    fn set_due(&mut self, now: Micros, token: Token) {
        if let Some(consumer) = self.open.get(&token) {
            self.due.push_back((now + SLOW, token, consumer.request));
        }
    }

    fn drop_consumer(&mut self, token: Token, net: &mut Net) {
        self.forget(token);
        net.close(token);
    }

    fn forget(&mut self, token: Token) -> Option<Consumer> {
        let consumer = self.open.remove(&token)?;
        if let Some(spare) = consumer.spare {
            self.spare.remove(&spare);
        }
        self.held -= consumer.held;
        if let Stage::Waiting(id, _) = consumer.stage {
            self.waiting.remove(&id);
        }
        Some(consumer)
    }

    /// Something has come on a consumer's connection, or it is closed.
    pub fn handle_ready(&mut self, now: Micros, token: Token, net: &mut Net, core: &mut Core) {
        let Some(conn) = net.get(token) else {
            return;
        };
        if conn.eof || conn.broken {
            return self.gone(now, token, net, core);
        }
        self.read(now, token, net, core);
    }

    /// A consumer has gone; what it had not wholly sent is nobody's.
    fn gone(&mut self, now: Micros, token: Token, net: &mut Net, core: &mut Core) {
        let gone = self.forget(token);
        net.close(token);
        if let Some(Stage::Waiting(id, _)) = gone.map(|c| c.stage) {
            core.handle_client_left(now, id);
        }
    }

    /// Looks which of the consumers of these invocations have gone.
    pub fn drop_departed(
        &mut self,
        now: Micros,
        ids: Vec<RequestId>,
        net: &mut Net,
        core: &mut Core,
    ) {
        let asked = ids.iter().filter_map(|id| self.waiting.get(id).copied());
        for token in net.closed_by_peer(asked.collect()) {
            self.gone(now, token, net, core);
        }
    }

    /// Reads on until a request is whole, or nothing more has come.
    fn read(&mut self, now: Micros, token: Token, net: &mut Net, core: &mut Core) {
        while let Some(consumer) = self.open.get_mut(&token) {
            if matches!(consumer.stage, Stage::Waiting(..)) || !net.has_room(token, BACKLOG) {
                return;
            }
            let Some(conn) = net.get(token) else {
                return;
            };
            let step = match &mut consumer.stage {
                Stage::Waiting(..) => return,
                Stage::Idle if conn.input.is_empty() => return,
                Stage::Idle => {
                    consumer.stage = Stage::Head;
                    // The time for the first request runs since the accept.
                    let first = matches!(consumer.spare, Some((Spare::Silent, _)));
                    self.set_spare(token, Some(Spare::HalfRead));
                    if !first {
                        self.set_due(now, token);
                    }
                    continue;
                }
                Stage::Head => match http::request_head(conn.input.all()) {
                    Ok(None) => return,
                    Ok(Some((head, used))) => {
                        conn.input.consume(used);
                        Body::of_request(&head.fields).map(|body| {
                            consumer.held = match body.longest() {
                                n if n > SMALL => n,
                                _ => 0,
                            };
                            self.held += consumer.held;
                            let expects = head.fields.get("Expect");
                            let expects =
                                expects.is_some_and(|e| e.eq_ignore_ascii_case("100-continue"));
                            let wanted = expects && !body.is_done() && conn.input.is_empty();
                            consumer.stage = Stage::Body(Box::new(head), body, Vec::new());
                            wanted
                        })
                    }
                    Err(fault) => Err(fault),
                },
                Stage::Body(_, body, content) => {
                    let taken = body.take(conn.input.all(), content);
                    taken.map(|used| {
                        conn.input.consume(used);
                        false
                    })
                }
            };
            net.touch(token);
            match step {
                Ok(true) => {
                    let _ = net.write(token, b"HTTP/1.1 100 Continue\r\n\r\n");
                }
                Ok(false) => {}
                Err(fault) => return self.turn_down(token, &fault.into(), net),
            }
            let large = self.open.get(&token).is_some_and(|c| c.held > 0);
            if large && self.held + core.body_bytes() > self.body_budget {
                let notice = Notice(503, "too many large bodies".into());
                return self.turn_down(token, &notice, net);
            }
            let whole =
                |c: &Consumer| matches!(&c.stage, Stage::Body(_, body, _) if body.is_done());
            if self.open.get(&token).is_some_and(whole) {
                self.whole(now, token, net, core);
            } else if net.get(token).is_none_or(|conn| conn.input.is_empty()) {
                return;
            }
        }
    }

    /// A request has wholly come.
    fn whole(&mut self, now: Micros, token: Token, net: &mut Net, core: &mut Core) {
        let Some(consumer) = self.open.get_mut(&token) else {
            return;
        };
        let stage = std::mem::replace(&mut consumer.stage, Stage::Idle);
        let Stage::Body(head, _, content) = stage else {
            return;
        };
        consumer.request += 1;
        self.held -= std::mem::take(&mut consumer.held);
        let keep = head.keep_alive && !self.draining;
        let path = head.target.split('?').next().unwrap_or_default();
        let taken = match (head.method.as_str(), path) {
            ("GET" | "HEAD", "/ready") => Err(self.readiness(core)),
            (_, "/ready") => Err(Notice(405, "only GET".into())),
            ("POST", _) => intake::order(&head).and_then(|mut order| {
                order.payload.body = content;
                core.accept_request(now, order)
                    .map_err(|malformed| match malformed {
                        // Nothing of it has run: coming back is harmless.
                        RequestError::TooMany | RequestError::NoSeat(_) => {
                            Notice(503, malformed.to_string())
                        }
                        RequestError::IdOpen => Notice(409, malformed.to_string()),
                        _ => Notice(400, malformed.to_string()),
                    })
            }),
            _ => Err(Notice(405, "every job comes by POST".into())),
        };
        match taken {
            Ok(id) => {
                if let Some(consumer) = self.open.get_mut(&token) {
                    consumer.stage = Stage::Waiting(id, head.keep_alive);
                }
                self.set_spare(token, None);
                self.waiting.insert(id, token);
            }
            Err(Notice(status, words)) => {
                let words = if head.method == "HEAD" {
                    String::new()
                } else {
                    words
                };
                let reply = Reply {
                    status,
                    retry: retry(status),
                    body: words.as_bytes(),
                    keep,
                };
                self.say(token, &reply, net);
            }
        }
    }

    fn readiness(&self, core: &Core) -> Notice {
        // Where a successor serves the address, the node is ready: a front must not be turned away from it.
        match (self.draining && !self.succeeded, core.has_workers()) {
            (true, _) => Notice(503, "ending".into()),
            (_, false) => Notice(503, "no worker is known".into()),
            _ => Notice(200, "ready".into()),
        }
    }

    /// The final answer of an invocation; false where it is none of this front's.
    pub fn send_answer(
        &mut self,
        now: Micros,
        id: RequestId,
        verdict: &FinalAnswer,
        net: &mut Net,
        core: &mut Core,
    ) -> bool {
        let Some(token) = self.waiting.remove(&id) else {
            return false;
        };
        let stage = self.open.get(&token).map(|c| &c.stage);
        let keep = matches!(stage, Some(Stage::Waiting(_, true))) && !self.draining;
        let (status, retry, body): (_, _, &[u8]) = match verdict {
            FinalAnswer::Served(result) => (200, None, result),
            FinalAnswer::Rejected(retry) => (429, *retry, b"come back later"),
            FinalAnswer::Failed => (502, None, b"failed"),
        };
        let reply = Reply {
            status,
            retry,
            body,
            keep,
        };
        self.say(token, &reply, net);
        // A request that was sent behind this one waits to be read.
        self.read(now, token, net, core);
        true
    }

    /// Answers, and keeps the connection for the next request or closes it.
    fn say(&mut self, token: Token, reply: &Reply, net: &mut Net) {
        if !net.write(token, &reply.bytes()) {
            return self.drop_consumer(token, net);
        }
        if reply.keep {
            if let Some(consumer) = self.open.get_mut(&token) {
                consumer.stage = Stage::Idle;
            }
            self.set_spare(token, Some(Spare::Idle));
        } else {
            self.forget(token);
            net.finish(token);
        }
    }

    /// Answers what is no request, and closes: where the next one begins is not known.
    fn turn_down(&mut self, token: Token, notice: &Notice, net: &mut Net) {
        let Notice(status, words) = notice;
        let reply = Reply {
            status: *status,
            retry: retry(*status),
            body: words.as_bytes(),
            keep: false,
        };
        self.say(token, &reply, net);
    }

    /// Takes the connections that wait, stops taking any, and closes those between two requests. One on which something
    /// has come meanwhile is left alone: that is read and answered; and so is a new one, whose first request is on its way.
    /// An answer given in this turn is still to be written.
    pub fn close_idle(&mut self, now: Micros, net: &mut Net) {
        let mut before = None;
        // Those that wait were accepted by the system: closing the listener would reset them, with what they brought. Not
        // where a successor listens on the same socket: they are its own.
        while !self.succeeded
            && self.resting.is_none()
            && before.replace(self.open.len()) != Some(self.open.len())
        {
            self.accept(now, net);
        }
        net.close(self.listener);
        self.resting = None;
        let idle = self.open.iter();
        let idle = idle.filter(|(_, c)| matches!(c.stage, Stage::Idle) && !c.is_young(now));
        let idle: Vec<Token> = idle.map(|(token, _)| *token).collect();
        for token in idle {
            if net.is_reusable(token) {
                self.forget(token);
                net.shut_down_idle(token);
            }
        }
    }

    /// Closes the connections on which a request has not wholly come: it was not taken.
    pub fn drop_incomplete(&mut self, net: &mut Net) {
        let unread = |c: &Consumer| !matches!(c.stage, Stage::Waiting(..));
        let all = self.open.iter().filter(|(_, c)| unread(c));
        for token in all.map(|(token, _)| *token).collect::<Vec<_>>() {
            self.forget(token);
            // An earlier answer may still be on its way: it is not to be lost by a reset.
            net.finish(token);
        }
    }

    /// Whether no request is half read or without its answer.
    pub fn is_idle(&self) -> bool {
        self.open.is_empty()
    }
}

/// When to come back after an answer of the front's own: where it is busy, ending or not ready.
fn retry(status: u16) -> Option<Micros> {
    (status == 503).then_some(millis(1000))
}

/// An answer to a consumer.
struct Reply<'a> {
    status: u16,
    /// When to come back.
    retry: Option<Micros>,
    body: &'a [u8],
    /// Whether the connection stays open.
    keep: bool,
}

impl Reply<'_> {
    fn bytes(&self) -> Vec<u8> {
        let retry = self.retry.map_or(String::new(), |wait| {
            format!("Retry-After: {}\r\n", wait.as_secs_f64())
        });
        let close = if self.keep {
            ""
        } else {
            "Connection: close\r\n"
        };
        let head = format!(
            "HTTP/1.1 {} {}\r\n{retry}{close}Content-Length: {}\r\n\r\n",
            self.status,
            reason(self.status),
            self.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(self.body);
        bytes
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        405 => "Method Not Allowed",
        409 => "Conflict",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        _ => "Other",
    }
}
