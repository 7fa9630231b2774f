//! The client of a Eureka registry: makes the calls that `marbledeck-eureka` plans, passes the answers on to it as they
//! come, and tells the membership of what it finds, a bounded part of it in each turn.

pub(crate) mod config;
mod own_entry;

use crate::context::Context;
use crate::fleet::Fleet;
use crate::net::http::{self, Body, ResponseHead};
use crate::net::{Net, Peer, Ready, Token};
use crate::service::Service;
use config::EurekaConfig;
use marbledeck_dispatcher::Micros;
use marbledeck_eureka::{AnswerFormat, Change, Encoding, Lease, LeaseSettings, Poll, PollSettings};
use marbledeck_membership::{MembershipChange, SourceId};
use own_entry::OwnEntry;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Changes of single workers that are applied in one turn.
const CHANGES_PER_TURN: usize = 200;
/// Workers that are looked at in one turn for being missing from a list.
const SWEPT_PER_TURN: usize = 500;
/// The longest answer, packed or not, in bytes.
const MAX_ANSWER: usize = 64 * 1024 * 1024;

/// A call to the registry that is not answered yet.
struct Call {
    number: u64,
    token: Token,
    /// The answer's head, and what is still to come of its body.
    head: Option<(ResponseHead, Body)>,
}

/// The search for workers that a complete list did not name.
enum Sweep {
    /// None is under way.
    Idle,
    /// It goes on after the worker of this id, or at the first.
    After(Option<String>),
}

/// The service for a Eureka registry.
pub struct Eureka {
    /// The node's own entry; none where it is not to register.
    own_entry: Option<OwnEntry>,
    source: SourceId,
    poll: Poll,
    /// The replicas of the registry.
    registries: Vec<SocketAddr>,
    /// The encoding that is asked for.
    form: AnswerFormat,
    /// For whom events of its sockets are.
    peer: Peer,
    call: Option<Call>,
    /// Changes that the membership does not have yet.
    backlog: VecDeque<Change>,
    sweep: Sweep,
    /// The fault that was logged last: each is logged once.
    logged_fault: Option<String>,
}

impl Eureka {
    /// Polls the registry as the configuration says, as this source of the membership.
    pub fn new(config: EurekaConfig, source: SourceId, peer: Peer, now: Micros, seed: u64) -> Self {
        let registries: Vec<SocketAddr> = config.urls.iter().map(|url| url.addr).collect();
        let path = config.urls.first().map(|url| url.path.clone());
        let settings = PollSettings {
            registries: registries.len(),
            path: path.unwrap_or_default(),
            apps: config.apps,
            vip: config.vip,
            keys: config.keys,
            interval: config.poll,
            timeout: config.timeout,
            min_full_interval: config.full,
            deltas: config.deltas,
        };
        let own_entry = config.register.map(|entry| {
            let lease_settings = LeaseSettings {
                registries: settings.registries,
                path: settings.path.clone(),
                app: entry.app,
                id: entry.id,
                address: entry.addr,
                renewal_interval: entry.renew,
                timeout: settings.timeout,
            };
            OwnEntry::new(Lease::new(lease_settings, now))
        });
        Eureka {
            own_entry,
            source,
            poll: Poll::new(settings, now, seed),
            registries,
            form: config.form,
            peer,
            call: None,
            backlog: VecDeque::new(),
            sweep: Sweep::Idle,
            logged_fault: None,
        }
    }

    /// Makes the calls that are due.
    fn make_calls(&mut self, now: Micros, net: &mut Net) {
        while let Some(ask) = self.poll.next_request(now) {
            // One that took too long was given up by that.
            if let Some(call) = self.call.take() {
                net.close(call.token);
            }
            let registry = self.registries[ask.registry];
            let token = match net.connect(registry, self.peer) {
                Ok(token) => token,
                Err(e) => {
                    self.poll.handle_failure(now, ask.number, &e.to_string());
                    continue;
                }
            };
            // A new connection holds a request.
            let _ = net.write(token, &self.request(&ask.path, registry));
            self.call = Some(Call {
                number: ask.number,
                token,
                head: None,
            });
        }
        self.log_fault();
    }

    fn request(&self, path: &str, registry: SocketAddr) -> Vec<u8> {
        let accept = match self.form {
            AnswerFormat::Json => "application/json",
            AnswerFormat::Xml => "application/xml",
        };
        format!(
            "GET {path} HTTP/1.1\r\nHost: {registry}\r\nAccept: {accept}\r\nAccept-Encoding: gzip\r\n\
             Connection: close\r\n\r\n"
        )
        .into_bytes()
    }

    fn log_fault(&mut self) {
        if self.logged_fault == self.poll.last_failure {
            return;
        }
        self.logged_fault.clone_from(&self.poll.last_failure);
        match &self.logged_fault {
            Some(fault) => log::warn!("eureka: {fault}"),
            None => log::info!("eureka: {} instances", self.poll.instances()),
        }
    }

    /// Something has come from the registry.
    fn read(&mut self, now: Micros, net: &mut Net) {
        let Some(call) = &self.call else {
            return;
        };
        let number = call.number;
        if net.get(call.token).is_none() {
            return;
        }
        match self.read_answer(now, net) {
            Ok(Progress::Incomplete) => {}
            Ok(Progress::Complete) => {
                self.poll.handle_end(now, number);
                self.close(net);
            }
            Ok(Progress::Broken) => self.fail(now, "the connection broke", net),
            Err(fault) => return self.fail(now, &fault.to_string(), net),
        }
        self.backlog.extend(self.poll.take_changes());
    }

    /// Passes on what has come of the answer.
    fn read_answer(&mut self, now: Micros, net: &mut Net) -> Result<Progress, http::ParseError> {
        let Some(call) = &mut self.call else {
            return Ok(Progress::Incomplete);
        };
        let Some(conn) = net.get(call.token) else {
            return Ok(Progress::Incomplete);
        };
        if call.head.is_none() {
            if let Some((head, length)) = http::parse_response_head(conn.input.all())? {
                conn.input.consume(length);
                let form = answer_form(&head).unwrap_or(self.form);
                self.poll
                    .handle_head(now, call.number, head.status, form, encoding(&head));
                let body = Body::of_response_with_limit(&head, MAX_ANSWER)?;
                call.head = Some((head, body));
            }
        }
        if let Some((_, body)) = &mut call.head {
            let mut content = Vec::new();
            let length = body.take(conn.input.all(), &mut content)?;
            conn.input.consume(length);
            self.poll.handle_bytes(now, call.number, &content);
            if body.is_done() || conn.eof && body.ends_with_connection() {
                return Ok(Progress::Complete);
            }
        }
        if conn.eof || conn.broken {
            Ok(Progress::Broken)
        } else {
            Ok(Progress::Incomplete)
        }
    }

    fn fail(&mut self, now: Micros, reason: &str, net: &mut Net) {
        if let Some(call) = &self.call {
            self.poll.handle_failure(now, call.number, reason);
        }
        self.close(net);
    }

    fn close(&mut self, net: &mut Net) {
        if let Some(call) = self.call.take() {
            net.close(call.token);
        }
    }

    /// Tells the membership some of what was found.
    fn update_membership(&mut self, now: Micros, fleet: &mut Fleet) -> MembershipChange {
        if let Sweep::After(id) = std::mem::replace(&mut self.sweep, Sweep::Idle) {
            let members = &mut fleet.members;
            let (missing, next) =
                members.sweep_missing(now, self.source, id.as_deref(), SWEPT_PER_TURN);
            if next.is_some() {
                self.sweep = Sweep::After(next);
            }
            return missing;
        }
        let mut update = MembershipChange::default();
        let mut applied = 0;
        while applied < CHANGES_PER_TURN {
            let Some(change) = self.backlog.pop_front() else {
                break;
            };
            applied += 1;
            let members = &mut fleet.members;
            match change {
                Change::Begin => members.begin_full_list(self.source),
                Change::Part(reports) => {
                    // A part is a turn's work.
                    applied = CHANGES_PER_TURN;
                    update.append(members.apply_list_part(now, self.source, reports));
                }
                Change::End => {
                    self.sweep = Sweep::After(None);
                    break;
                }
                Change::Named(report) => {
                    update.append(members.apply_report(now, self.source, *report));
                }
                Change::Removed { id, explicit } => {
                    update.append(members.remove_worker(now, self.source, &id, explicit));
                }
            }
        }
        update
    }
}

/// How far an answer has come.
enum Progress {
    /// More is to come.
    Incomplete,
    /// It is complete.
    Complete,
    /// The connection ended before that.
    Broken,
}

fn encoding(head: &ResponseHead) -> Encoding {
    if head.fields.get("Content-Encoding") == Some("gzip") {
        Encoding::Gzip
    } else {
        Encoding::Plain
    }
}

/// The form that an answer states.
fn answer_form(head: &ResponseHead) -> Option<AnswerFormat> {
    let content_type = head.fields.get("Content-Type")?;
    if content_type.contains("xml") {
        Some(AnswerFormat::Xml)
    } else if content_type.contains("json") {
        Some(AnswerFormat::Json)
    } else {
        None
    }
}

impl Service for Eureka {
    fn name(&self) -> &'static str {
        "eureka"
    }

    fn handle_event(&mut self, now: Micros, event: Ready, context: &mut Context) {
        let net = &mut context.net;
        let token = event.token;
        let own_entry = self.own_entry.as_mut();
        if let Some(own_entry) = own_entry.filter(|own_entry| own_entry.uses(token)) {
            own_entry.read(now, net);
            own_entry.make_calls(now, &self.registries, self.peer, net);
        } else if self.call.as_ref().is_some_and(|call| call.token == token) {
            self.read(now, net);
            self.make_calls(now, net);
        } else {
            net.close(token);
        }
    }

    fn next_wake(&self) -> Option<Micros> {
        if !self.backlog.is_empty() || matches!(self.sweep, Sweep::After(_)) {
            return Some(Micros(0));
        }
        let own_entry = self.own_entry.as_ref();
        let lease = own_entry.and_then(|own_entry| own_entry.lease.next_wake());
        lease.into_iter().chain([self.poll.next_wake()]).min()
    }

    fn wake(&mut self, now: Micros, context: &mut Context) {
        self.make_calls(now, &mut context.net);
        if let Some(own_entry) = &mut self.own_entry {
            own_entry.make_calls(now, &self.registries, self.peer, &mut context.net);
        }
        self.backlog.extend(self.poll.take_changes());
        let change = self.update_membership(now, &mut context.fleet);
        context.fleet.apply_change(now, change, &mut context.core);
    }

    /// Another process renews the node's entry from now on: without a gap, and without a cancel.
    fn set_succeeded(&mut self, succeeded: bool, context: &mut Context) {
        if let Some(own_entry) = &mut self.own_entry {
            own_entry.lease.set_handed_over(context.now, succeeded);
            if succeeded {
                own_entry.close(&mut context.net);
            }
        }
    }

    fn begin_shutdown(&mut self, now: Micros) {
        if let Some(own_entry) = &mut self.own_entry {
            own_entry.lease.deregister(now);
        }
    }
}
