//! The link to a Eureka registry: asks what `marbledeck-eureka` wants asked, hands it the answers as they come, and tells
//! the membership of what it finds, a bounded part of it in each turn.

pub(crate) mod config;

use crate::context::Context;
use crate::fleet::Fleet;
use crate::net::http::{self, Body, ResponseHead};
use crate::net::{Net, Peer, Ready, Token};
use crate::service::Service;
use config::EurekaConfig;
use marbledeck_dispatcher::Micros;
use marbledeck_eureka::{
    AnswerFormat, Change, Encoding, Lease, LeaseRequest, LeaseSettings, Poll, PollSettings,
};
use marbledeck_membership::{MembershipChange, SourceId};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Changes of single workers told in a turn, and workers looked at for being missing.
const CHANGES: usize = 200;
const SWEPT: usize = 500;
/// The longest answer, packed or not.
const MAX_ANSWER: usize = 64 * 1024 * 1024;

/// What is being asked.
struct Call {
    number: u64,
    token: Token,
    head: Option<(ResponseHead, Body)>,
}

/// What is being said of the node itself.
struct Own {
    lease: Lease,
    call: Option<(u64, Token)>,
}

impl Own {
    fn close(&mut self, net: &mut Net) {
        if let Some((_, token)) = self.call.take() {
            net.close(token);
        }
    }

    fn ask(&mut self, now: Micros, registries: &[SocketAddr], peer: Peer, net: &mut Net) {
        while let Some(ask) = self.lease.next_request(now) {
            self.close(net);
            let addr = registries[ask.registry];
            match net.connect(addr, peer) {
                Ok(token) => {
                    // A new connection holds a request.
                    let _ = net.write(token, &said(&ask, addr));
                    self.call = Some((ask.number, token));
                }
                Err(e) => {
                    log::warn!("eureka: {e}");
                    self.lease.handle_failure(now, ask.number);
                }
            }
        }
    }

    fn read(&mut self, now: Micros, token: Token, net: &mut Net) {
        let (Some((number, _)), Some(conn)) = (self.call, net.get(token)) else {
            return;
        };
        match http::response_head(conn.input.all()) {
            Ok(None) if !conn.eof && !conn.broken => {}
            Ok(Some((head, _))) => {
                if !(200..300).contains(&head.status) {
                    log::warn!("eureka: status {} on the node's own entry", head.status);
                }
                self.lease.handle_answer(now, number, head.status);
                self.close(net);
            }
            _ => {
                self.lease.handle_failure(now, number);
                self.close(net);
            }
        }
    }
}

fn said(ask: &LeaseRequest, addr: SocketAddr) -> Vec<u8> {
    let (method, path, body) = (ask.method, &ask.path, &ask.body);
    let kind = match body.is_empty() {
        true => "",
        false => "Content-Type: application/json\r\n",
    };
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\n{kind}Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    )
    .into_bytes()
}

pub struct Eureka {
    own: Option<Own>,
    source: SourceId,
    poll: Poll,
    registries: Vec<SocketAddr>,
    form: AnswerFormat,
    peer: Peer,
    call: Option<Call>,
    /// What the membership is still to be told.
    backlog: VecDeque<Change>,
    /// How far the search for missing workers has come, while it is on.
    sweep: Option<Option<String>>,
    /// What was last said of trouble: each is logged once.
    said: Option<String>,
}

impl Eureka {
    pub fn new(config: EurekaConfig, source: SourceId, peer: Peer, now: Micros, seed: u64) -> Self {
        let registries: Vec<SocketAddr> = config.urls.iter().map(|url| url.addr).collect();
        let settings = PollSettings {
            registries: registries.len(),
            path: config
                .urls
                .first()
                .map_or(String::new(), |url| url.path.clone()),
            apps: config.apps,
            vip: config.vip,
            keys: config.keys,
            interval: config.poll,
            timeout: config.timeout,
            min_full_interval: config.full,
            deltas: config.deltas,
        };
        let own = config.register.map(|own| Own {
            lease: Lease::new(
                LeaseSettings {
                    registries: settings.registries,
                    path: settings.path.clone(),
                    app: own.app,
                    id: own.id,
                    address: own.addr,
                    renewal_interval: own.renew,
                    timeout: settings.timeout,
                },
                now,
            ),
            call: None,
        });
        Eureka {
            own,
            source,
            poll: Poll::new(settings, now, seed),
            registries,
            form: config.form,
            peer,
            call: None,
            backlog: VecDeque::new(),
            sweep: None,
            said: None,
        }
    }

    /// Asks what is to be asked now.
    fn ask(&mut self, now: Micros, net: &mut Net) {
        while let Some(ask) = self.poll.next_request(now) {
            // One that took too long was given up by that.
            if let Some(call) = self.call.take() {
                net.close(call.token);
            }
            let addr = self.registries[ask.registry];
            let token = match net.connect(addr, self.peer) {
                Ok(token) => token,
                Err(e) => {
                    self.poll.handle_failure(now, ask.number, &e.to_string());
                    continue;
                }
            };
            let accept = match self.form {
                AnswerFormat::Json => "application/json",
                AnswerFormat::Xml => "application/xml",
            };
            let request = format!(
                "GET {} HTTP/1.1\r\nHost: {addr}\r\nAccept: {accept}\r\nAccept-Encoding: gzip\r\n\
                 Connection: close\r\n\r\n",
                ask.path
            );
            // A new connection holds a request.
            let _ = net.write(token, request.as_bytes());
            self.call = Some(Call {
                number: ask.number,
                token,
                head: None,
            });
        }
        if self.said != self.poll.last_failure {
            self.said.clone_from(&self.poll.last_failure);
            match &self.said {
                Some(trouble) => log::warn!("eureka: {trouble}"),
                None => log::info!("eureka: {} instances", self.poll.instances()),
            }
        }
    }

    fn read(&mut self, now: Micros, token: Token, net: &mut Net) {
        let (Some(call), Some(conn)) = (&mut self.call, net.get(token)) else {
            return;
        };
        let number = call.number;
        if call.head.is_none() {
            match http::response_head(conn.input.all()) {
                Ok(None) => {}
                Ok(Some((head, used))) => {
                    conn.input.consume(used);
                    let gzip = head.fields.get("Content-Encoding") == Some("gzip");
                    let encoding = if gzip {
                        Encoding::Gzip
                    } else {
                        Encoding::Plain
                    };
                    let form = match head.fields.get("Content-Type") {
                        Some(kind) if kind.contains("xml") => AnswerFormat::Xml,
                        Some(kind) if kind.contains("json") => AnswerFormat::Json,
                        _ => self.form,
                    };
                    self.poll
                        .handle_head(now, number, head.status, form, encoding);
                    match Body::of_long_response(&head, MAX_ANSWER) {
                        Ok(body) => call.head = Some((head, body)),
                        Err(e) => return self.fail(now, &e.to_string(), net),
                    }
                }
                Err(e) => return self.fail(now, &e.to_string(), net),
            }
        }
        let mut over = false;
        if let Some((_, body)) = &mut call.head {
            let mut content = Vec::new();
            match body.take(conn.input.all(), &mut content) {
                Ok(used) => conn.input.consume(used),
                Err(e) => return self.fail(now, &e.to_string(), net),
            }
            self.poll.handle_bytes(now, number, &content);
            over = body.is_done() || conn.eof && body.ends_with_connection();
        }
        let broken = conn.eof || conn.broken;
        if over {
            self.poll.handle_end(now, number);
            self.close(net);
        } else if broken {
            self.fail(now, "the connection broke", net);
        }
        self.backlog.extend(self.poll.take_changes());
    }

    fn fail(&mut self, now: Micros, why: &str, net: &mut Net) {
        if let Some(call) = &self.call {
            self.poll.handle_failure(now, call.number, why);
        }
        self.close(net);
    }

    fn close(&mut self, net: &mut Net) {
        if let Some(call) = self.call.take() {
            net.close(call.token);
        }
    }

    /// Tells the membership some of what was found.
    fn tell(&mut self, now: Micros, fleet: &mut Fleet) -> MembershipChange {
        let (mut told, mut changes) = (MembershipChange::default(), 0);
        if let Some(after) = self.sweep.take() {
            let (missing, next) =
                fleet
                    .members
                    .sweep_missing(now, self.source, after.as_deref(), SWEPT);
            self.sweep = next.map(Some);
            told.append(missing);
            return told;
        }
        while changes < CHANGES {
            let Some(change) = self.backlog.pop_front() else {
                break;
            };
            changes += 1;
            let members = &mut fleet.members;
            told.append(match change {
                Change::Begin => {
                    members.begin_full_list(self.source);
                    MembershipChange::default()
                }
                Change::Part(words) => {
                    // A part is a turn's work.
                    changes = CHANGES;
                    members.apply_list_part(now, self.source, words)
                }
                Change::End => {
                    self.sweep = Some(None);
                    break;
                }
                Change::Named(word) => members.apply_report(now, self.source, *word),
                Change::Removed { id, explicit } => {
                    members.remove_worker(now, self.source, &id, explicit)
                }
            });
        }
        told
    }
}

impl Service for Eureka {
    fn name(&self) -> &'static str {
        "eureka"
    }

    fn handle_event(&mut self, now: Micros, event: Ready, context: &mut Context) {
        let ours = self
            .call
            .as_ref()
            .is_some_and(|call| call.token == event.token);
        let of_own = |own: &&mut Own| own.call.is_some_and(|(_, token)| token == event.token);
        if let Some(own) = self.own.as_mut().filter(of_own) {
            own.read(now, event.token, &mut context.net);
            own.ask(now, &self.registries, self.peer, &mut context.net);
        } else if ours {
            self.read(now, event.token, &mut context.net);
            self.ask(now, &mut context.net);
        } else {
            context.net.close(event.token);
        }
    }

    fn next_wake(&self) -> Option<Micros> {
        let busy = !self.backlog.is_empty() || self.sweep.is_some();
        let own = self.own.as_ref().and_then(|own| own.lease.next_wake());
        match busy {
            true => Some(Micros(0)),
            false => own.into_iter().chain([self.poll.next_wake()]).min(),
        }
    }

    fn wake(&mut self, now: Micros, context: &mut Context) {
        self.ask(now, &mut context.net);
        if let Some(own) = &mut self.own {
            own.ask(now, &self.registries, self.peer, &mut context.net);
        }
        self.backlog.extend(self.poll.take_changes());
        let told = self.tell(now, &mut context.fleet);
        context.fleet.apply_change(now, told, &mut context.core);
    }

    /// Another process renews the node's entry from now on: without a gap, and without a cancel.
    fn set_succeeded(&mut self, succeeded: bool, context: &mut Context) {
        if let Some(own) = &mut self.own {
            own.lease.set_handed_over(context.now, succeeded);
            if succeeded {
                own.close(&mut context.net);
            }
        }
    }

    fn begin_shutdown(&mut self, now: Micros) {
        if let Some(own) = &mut self.own {
            own.lease.deregister(now);
        }
    }
}
