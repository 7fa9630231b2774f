//! The platform's front: consumers over HTTP, one request at a time on a connection, and `/ready`.

mod intake;

use crate::clock::millis;
use crate::core::{Core, Malformed, Verdict};
use crate::net::http::{self, Body, RequestHead};
use crate::net::{Net, Peer, Token};
use intake::Notice;
use marbledeck::{Micros, RequestId};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;

/// Connections taken in one turn.
const ACCEPTS: usize = 32;
/// Idle connections that make room when no descriptor is free.
const SPARED: usize = 8;
/// How long a listener rests when no descriptor is free.
const REST: Micros = millis(50);
/// How long a request may take to come once it has begun.
const SLOW: Micros = millis(30_000);

enum Stage {
    /// Nothing has come of the next request, since then.
    Idle,
    Head,
    Body(Box<RequestHead>, Body, Vec<u8>),
    Waiting(RequestId, bool),
}

struct Consumer {
    stage: Stage,
    /// When its stage began.
    since: Micros,
    /// Its place among the idle ones.
    order: u64,
}

pub struct Consumers {
    listener: Token,
    pub addr: SocketAddr,
    /// Connections that may be held.
    pub most: usize,
    open: HashMap<Token, Consumer>,
    waiting: HashMap<RequestId, Token>,
    /// The connections between two requests, the longest idle first.
    idle: BTreeMap<u64, Token>,
    turns: u64,
    resting: Option<Micros>,
    next_sweep: Micros,
    /// The node is to end: no connection is kept.
    pub ending: bool,
}

impl Consumers {
    pub fn new(addr: SocketAddr, most: usize, net: &mut Net) -> io::Result<Self> {
        let (listener, addr) = net.listen(addr, Peer::Consumer)?;
        Ok(Consumers {
            listener,
            addr,
            most,
            open: HashMap::new(),
            waiting: HashMap::new(),
            idle: BTreeMap::new(),
            turns: 0,
            resting: None,
            next_sweep: Micros(0),
            ending: false,
        })
    }

    pub fn next_wake(&self) -> Option<Micros> {
        let sweep = (!self.open.is_empty()).then_some(self.next_sweep);
        [self.resting, sweep].into_iter().flatten().min()
    }

    pub fn wake(&mut self, now: Micros, net: &mut Net) {
        if self.resting.is_some_and(|until| until <= now) {
            self.resting = None;
            net.listening(self.listener, true);
        }
        if now >= self.next_sweep {
            self.next_sweep = now + millis(1000);
            let slow = |c: &Consumer| {
                matches!(c.stage, Stage::Head | Stage::Body(..)) && now - c.since > SLOW
            };
            let slow = self
                .open
                .iter()
                .filter(|(_, c)| slow(c))
                .map(|(token, _)| *token);
            for token in slow.collect::<Vec<_>>() {
                self.turn_down(token, &Notice(408, "the request is too slow".into()), net);
            }
        }
    }

    /// Takes the connections that wait, as many as may be held.
    pub fn accept(&mut self, now: Micros, net: &mut Net) {
        for _ in 0..ACCEPTS {
            if self.open.len() >= self.most && !self.drop_idle(net) {
                return self.rest(now, net);
            }
            match net.accept(self.listener) {
                Ok(None) => return,
                Ok(Some(token)) => {
                    let new = Consumer {
                        stage: Stage::Idle,
                        since: now,
                        order: 0,
                    };
                    self.open.insert(token, new);
                    self.set_idle(now, token);
                }
                Err(e) => {
                    // No descriptor or no memory: those that wait are taken a little later.
                    log::warn!("accept: {e}");
                    for _ in 0..SPARED {
                        self.drop_idle(net);
                    }
                    return self.rest(now, net);
                }
            }
        }
    }

    fn rest(&mut self, now: Micros, net: &mut Net) {
        net.listening(self.listener, false);
        self.resting = Some(now + REST);
    }

    /// Closes the connection that has been idle for longest, to make room.
    fn drop_idle(&mut self, net: &mut Net) -> bool {
        let longest = self.idle.first_key_value().map(|(_, token)| *token);
        longest
            .map(|token| self.drop_consumer(token, net))
            .is_some()
    }

    fn set_idle(&mut self, now: Micros, token: Token) {
        self.turns += 1;
        if let Some(consumer) = self.open.get_mut(&token) {
            (consumer.stage, consumer.since, consumer.order) = (Stage::Idle, now, self.turns);
            self.idle.insert(self.turns, token);
        }
    }

    fn drop_consumer(&mut self, token: Token, net: &mut Net) {
        self.forget(token);
        net.close(token);
    }

    fn forget(&mut self, token: Token) -> Option<Consumer> {
        let consumer = self.open.remove(&token)?;
        self.idle.remove(&consumer.order);
        if let Stage::Waiting(id, _) = consumer.stage {
            self.waiting.remove(&id);
        }
        Some(consumer)
    }

    /// Something has come on a consumer's connection, or it is closed.
    pub fn ready(&mut self, now: Micros, token: Token, net: &mut Net, core: &mut Core) {
        let Some(conn) = net.get(token) else {
            return;
        };
        if conn.eof || conn.broken {
            // It has gone; what it had not wholly sent is nobody's.
            let gone = self.forget(token);
            net.close(token);
            if let Some(Stage::Waiting(id, _)) = gone.map(|c| c.stage) {
                core.gone(now, id);
            }
            return;
        }
        self.read(now, token, net, core);
    }

    /// Reads on until a request is whole, or nothing more has come.
    fn read(&mut self, now: Micros, token: Token, net: &mut Net, core: &mut Core) {
        while let Some(consumer) = self.open.get_mut(&token) {
            let Some(conn) = net.get(token) else {
                return;
            };
            let step = match &mut consumer.stage {
                Stage::Waiting(..) => return,
                Stage::Idle if conn.input.is_empty() => return,
                Stage::Idle => {
                    (consumer.stage, consumer.since) = (Stage::Head, now);
                    self.idle.remove(&consumer.order);
                    continue;
                }
                Stage::Head => match http::request_head(conn.input.all()) {
                    Ok(None) => return,
                    Ok(Some((head, used))) => {
                        conn.input.consume(used);
                        Body::of_request(&head.fields).map(|body| {
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
        let keep = head.keep_alive && !self.ending;
        let path = head.target.split('?').next().unwrap_or_default();
        let taken = match (head.method.as_str(), path) {
            ("GET" | "HEAD", "/ready") => Err(self.readiness(core)),
            (_, "/ready") => Err(Notice(405, "only GET".into())),
            ("POST", _) => intake::order(&head).and_then(|mut order| {
                order.work.body = content;
                core.take_in(now, order)
                    .map_err(|malformed| match malformed {
                        // Nothing of it has run: coming back is harmless.
                        Malformed::TooMany => Notice(503, malformed.to_string()),
                        _ => Notice(400, malformed.to_string()),
                    })
            }),
            _ => Err(Notice(405, "every job comes by POST".into())),
        };
        match taken {
            Ok(id) => {
                if let Some(consumer) = self.open.get_mut(&token) {
                    (consumer.stage, consumer.since) = (Stage::Waiting(id, head.keep_alive), now);
                }
                self.waiting.insert(id, token);
            }
            Err(Notice(status, words)) => {
                let words = if head.method == "HEAD" {
                    String::new()
                } else {
                    words
                };
                let retry = (status == 503).then_some(Micros(1_000_000));
                let reply = Reply {
                    status,
                    retry,
                    body: words.as_bytes(),
                    keep,
                };
                self.say(now, token, &reply, net);
            }
        }
    }

    fn readiness(&self, core: &Core) -> Notice {
        match (self.ending, core.has_workers()) {
            (true, _) => Notice(503, "ending".into()),
            (_, false) => Notice(503, "no worker is known".into()),
            _ => Notice(200, "ready".into()),
        }
    }

    /// The final answer of an invocation; false where it is none of this front's.
    pub fn answer(
        &mut self,
        now: Micros,
        id: RequestId,
        verdict: &Verdict,
        net: &mut Net,
        core: &mut Core,
    ) -> bool {
        let Some(token) = self.waiting.remove(&id) else {
            return false;
        };
        let stage = self.open.get(&token).map(|c| &c.stage);
        let keep = matches!(stage, Some(Stage::Waiting(_, true))) && !self.ending;
        let (status, retry, body): (_, _, &[u8]) = match verdict {
            Verdict::Served(result) => (200, None, result),
            Verdict::Rejected(retry) => (429, *retry, b"come back later"),
            Verdict::Failed => (502, None, b"failed"),
        };
        let reply = Reply {
            status,
            retry,
            body,
            keep,
        };
        self.say(now, token, &reply, net);
        // A request that was sent behind this one waits to be read.
        self.read(now, token, net, core);
        true
    }

    /// Answers, and keeps the connection for the next request or closes it.
    fn say(&mut self, now: Micros, token: Token, reply: &Reply, net: &mut Net) {
        if !net.write(token, &reply.bytes()) {
            return self.drop_consumer(token, net);
        }
        if reply.keep {
            self.set_idle(now, token);
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
            retry: None,
            body: words.as_bytes(),
            keep: false,
        };
        self.say(Micros(0), token, &reply, net);
    }

    /// Stops taking connections and closes those between two requests.
    pub fn close_idle(&mut self, net: &mut Net) {
        net.close(self.listener);
        self.resting = None;
        while self.drop_idle(net) {}
    }

    /// Closes the connections on which a request has not wholly come: it was not taken.
    pub fn drop_half_read(&mut self, net: &mut Net) {
        let half = |c: &Consumer| matches!(c.stage, Stage::Head | Stage::Body(..));
        let half = self
            .open
            .iter()
            .filter(|(_, c)| half(c))
            .map(|(token, _)| *token);
        for token in half.collect::<Vec<_>>() {
            self.drop_consumer(token, net);
        }
    }

    /// Whether no request is half read or without its answer.
    pub fn is_idle(&self) -> bool {
        self.open.len() == self.idle.len()
    }
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
            format!("Retry-After: {}\r\n", wait.secs())
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
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        _ => "Other",
    }
}
