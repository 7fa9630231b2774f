//! Reads the clients' requests, hands them to the core and sends the answers.

use super::connection::{ClientConnection, EvictionRank, PartialRequest, ReadStep, Stage};
use super::reply::{Notice, Reply};
use super::{request_parser, Clients};
use crate::core::{Core, FinalAnswer};
use crate::net::http::RequestHead;
use crate::net::{Net, Token};
use marbledeck_dispatcher::{Micros, RequestId};

/// An answer is written, and the next request read, only when no more than this is still to be sent.
const MAX_BACKLOG: usize = 16 * 1024;

impl Clients {
    /// Something has come on a client's connection, or it is closed.
    pub fn handle_ready(&mut self, now: Micros, token: Token, net: &mut Net, core: &mut Core) {
        let Some(conn) = net.get(token) else {
            return;
        };
        if conn.eof || conn.broken {
            return self.handle_departure(now, token, net, core);
        }
        self.read(now, token, net, core);
    }

    /// Reads on until a request is complete, or nothing more has come.
    fn read(&mut self, now: Micros, token: Token, net: &mut Net, core: &mut Core) {
        while let Some(client) = self.open.get_mut(&token) {
            if client.awaits_answer() || !net.has_room(token, MAX_BACKLOG) {
                return;
            }
            let Some(conn) = net.get(token) else {
                return;
            };
            match client.advance(conn) {
                ReadStep::Blocked => return,
                ReadStep::RequestBegun => {
                    self.begin_request(now, token);
                    continue;
                }
                ReadStep::HeadRead { wants_continue } => {
                    self.reserved_bytes += client.reserved_bytes;
                    net.touch(token);
                    if wants_continue {
                        let _ = net.write(token, b"HTTP/1.1 100 Continue\r\n\r\n");
                    }
                }
                ReadStep::BodyRead => net.touch(token),
                ReadStep::Failed(error) => {
                    net.touch(token);
                    return self.refuse(token, &error.into(), net);
                }
            }
            if self.exceeds_body_budget(token, core) {
                let notice = Notice::new(503, "too many large bodies");
                return self.refuse(token, &notice, net);
            }
            let client = self.open.get(&token);
            if client.is_some_and(ClientConnection::has_request) {
                self.handle_request(now, token, net, core);
            } else if net.get(token).is_none_or(|conn| conn.input.is_empty()) {
                return;
            }
        }
    }

    /// The first bytes of a request have come.
    fn begin_request(&mut self, now: Micros, token: Token) {
        let client = self.open.get(&token);
        let eviction = client.and_then(|client| client.eviction);
        // The time for the first request runs since the accept.
        let is_first = eviction.is_some_and(|key| key.rank == EvictionRank::Silent);
        self.set_eviction_rank(token, Some(EvictionRank::Incomplete));
        if !is_first {
            self.set_request_deadline(now, token);
        }
    }

    /// Whether a large body has come, or is to come, for which there is no memory now.
    fn exceeds_body_budget(&self, token: Token, core: &Core) -> bool {
        let client = self.open.get(&token);
        let is_large = client.is_some_and(|client| client.reserved_bytes > 0);
        is_large && self.reserved_bytes + core.body_bytes() > self.body_budget
    }

    /// A request is complete.
    fn handle_request(&mut self, now: Micros, token: Token, net: &mut Net, core: &mut Core) {
        let Some(client) = self.open.get_mut(&token) else {
            return;
        };
        let stage = std::mem::replace(&mut client.stage, Stage::Idle);
        let Stage::ReadingBody(partial) = stage else {
            return;
        };
        client.request_number += 1;
        self.reserved_bytes -= std::mem::take(&mut client.reserved_bytes);
        let PartialRequest { head, content, .. } = *partial;
        match self.accept_request(now, &head, content, core) {
            Ok(request) => {
                if let Some(client) = self.open.get_mut(&token) {
                    client.stage = Stage::AwaitingAnswer {
                        request,
                        keep_alive: head.keep_alive,
                    };
                }
                self.set_eviction_rank(token, None);
                self.awaiting_answer.insert(request, token);
            }
            Err(mut notice) => {
                if head.method == "HEAD" {
                    notice.text = String::new();
                }
                let keep_alive = head.keep_alive && !self.draining;
                self.reply(token, &notice.reply(keep_alive), net);
            }
        }
    }

    /// Hands a request to the core.
    ///
    /// # Errors
    /// What is answered at once: the node's readiness, or why the request is not accepted.
    fn accept_request(
        &self,
        now: Micros,
        head: &RequestHead,
        content: Vec<u8>,
        core: &mut Core,
    ) -> Result<RequestId, Notice> {
        let path = head.target.split('?').next().unwrap_or_default();
        match (head.method.as_str(), path) {
            ("GET" | "HEAD", "/ready") => Err(self.readiness(core)),
            (_, "/ready") => Err(Notice::new(405, "only GET")),
            ("POST", _) => {
                let mut request = request_parser::parse_request(head)?;
                request.payload.body = content;
                Ok(core.accept_request(now, request)?)
            }
            _ => Err(Notice::new(405, "every job comes by POST")),
        }
    }

    fn readiness(&self, core: &Core) -> Notice {
        // Where a successor serves the address, the node is ready: a front must not be sent away from it.
        if self.draining && !self.acceptor.is_succeeded() {
            Notice::new(503, "ending")
        } else if core.has_workers() {
            Notice::new(200, "ready")
        } else {
            Notice::new(503, "no worker is known")
        }
    }

    /// Sends the final answer of a request. Returns false where it is none of this front's.
    pub fn send_answer(
        &mut self,
        now: Micros,
        request: RequestId,
        answer: &FinalAnswer,
        net: &mut Net,
        core: &mut Core,
    ) -> bool {
        let Some(token) = self.awaiting_answer.remove(&request) else {
            return false;
        };
        let stage = self.open.get(&token).map(|client| &client.stage);
        let wants_keep_alive = matches!(
            stage,
            Some(Stage::AwaitingAnswer {
                keep_alive: true,
                ..
            })
        );
        let reply = Reply::of_answer(answer, wants_keep_alive && !self.draining);
        self.reply(token, &reply, net);
        // A request that was sent behind this one waits to be read.
        self.read(now, token, net, core);
        true
    }

    /// Sends a response, and keeps the connection for the next request or closes it.
    fn reply(&mut self, token: Token, reply: &Reply, net: &mut Net) {
        if !net.write(token, &reply.bytes()) {
            return self.drop_connection(token, net);
        }
        if reply.keep_alive {
            if let Some(client) = self.open.get_mut(&token) {
                client.stage = Stage::Idle;
            }
            self.set_eviction_rank(token, Some(EvictionRank::Idle));
        } else {
            self.forget(token);
            net.finish(token);
        }
    }

    /// Answers what is no request, and closes: where the next one begins is not known.
    pub(super) fn refuse(&mut self, token: Token, notice: &Notice, net: &mut Net) {
        self.reply(token, &notice.reply(false), net);
    }

    /// A client has left; what it had not sent completely is dropped.
    fn handle_departure(&mut self, now: Micros, token: Token, net: &mut Net, core: &mut Core) {
        let client = self.forget(token);
        net.close(token);
        if let Some(Stage::AwaitingAnswer { request, .. }) = client.map(|client| client.stage) {
            core.handle_client_left(now, request);
        }
    }

    /// Drops those of these requests whose client has left by now.
    pub fn drop_departed(
        &mut self,
        now: Micros,
        requests: Vec<RequestId>,
        net: &mut Net,
        core: &mut Core,
    ) {
        let tokens = requests
            .iter()
            .filter_map(|request| self.awaiting_answer.get(request).copied());
        for token in net.closed_by_peer(tokens.collect()) {
            self.handle_departure(now, token, net, core);
        }
    }
}
