//! Reads the clients' requests, passes them to the core and sends the answers.

use super::connection::{ClientConnection, EvictionRank, PartialRequest, ReadStep, Stage};
use super::reply::{Notice, Reply};
use super::{request_parser, Clients, REQUEST_TIMEOUT};
use crate::clock::millis;
use crate::core::{Core, FinalAnswer};
use crate::net::http::RequestHead;
use crate::net::{Net, Token};
use marbledeck_dispatcher::{Micros, RequestId};

/// How long an attempt may be sent after the client was last known to be there: one that begins later than this after the
/// client has closed its connection counts as a lost request.
const MAX_HIDDEN_END: Micros = millis(100);
/// The part of the budget for large bodies that jobs with small ones may take, as a divisor: a second process of the node has
/// to fit into the memory too.
const SMALL_BODIES_SHARE: usize = 4;
/// No further request is read from a connection while more than this many bytes are still to be sent on it.
const MAX_BACKLOG: usize = 16 * 1024;

impl Clients {
    /// Handles input on a client's connection, or its end.
    pub fn handle_ready(&mut self, now: Micros, token: Token, net: &mut Net, core: &mut Core) {
        let Some(conn) = net.get(token) else {
            return;
        };
        if conn.eof || conn.broken {
            return self.handle_disconnect(now, token, net, core);
        }
        if let Some(client) = self
            .connections
            .get_mut(&token)
            .filter(|_| conn.was_drained())
        {
            client.known_open_at = now;
        }
        self.read(now, token, net, core);
    }

    /// Reads until a request is accepted or the input is used up.
    fn read(&mut self, now: Micros, token: Token, net: &mut Net, core: &mut Core) {
        self.read_requests(now, token, net, core);
        self.count_partial_request(token);
    }

    fn read_requests(&mut self, now: Micros, token: Token, net: &mut Net, core: &mut Core) {
        while let Some(client) = self.connections.get_mut(&token) {
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
            let client = self.connections.get(&token);
            if client.is_some_and(ClientConnection::has_request) {
                self.handle_request(now, token, net, core);
            } else if net.get(token).is_none_or(|conn| conn.input.is_empty()) {
                return;
            }
        }
    }

    /// Handles the first bytes of a request: sets its deadline and the connection's eviction rank.
    fn begin_request(&mut self, now: Micros, token: Token) {
        let client = self.connections.get(&token);
        let eviction = client.and_then(|client| client.eviction);
        // The deadline of the first request was set at the accept.
        let is_first = eviction.is_some_and(|key| key.rank == EvictionRank::Silent);
        self.set_eviction_rank(token, Some(EvictionRank::Incomplete));
        if !is_first {
            self.set_request_deadline(token, Some(now + REQUEST_TIMEOUT));
        }
    }

    /// Whether the connection's request has a large body that exceeds the budget for large bodies.
    fn exceeds_body_budget(&self, token: Token, core: &Core) -> bool {
        let client = self.connections.get(&token);
        let is_large = client.is_some_and(|client| client.reserved_bytes > 0);
        is_large && self.reserved_bytes + core.body_bytes() > self.body_budget
    }

    /// Handles a request that has been read completely.
    fn handle_request(&mut self, now: Micros, token: Token, net: &mut Net, core: &mut Core) {
        let Some(client) = self.connections.get_mut(&token) else {
            return;
        };
        let stage = std::mem::replace(&mut client.stage, Stage::Idle);
        let Stage::ReadingBody(partial) = stage else {
            return;
        };
        client.request_count += 1;
        self.reserved_bytes -= std::mem::take(&mut client.reserved_bytes);
        self.set_request_deadline(token, None);
        let PartialRequest {
            head, mut content, ..
        } = *partial;
        content.shrink_to_fit();
        match self.accept_request(now, &head, content, core) {
            Ok(request) => {
                if let Some(client) = self.connections.get_mut(&token) {
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

    /// Passes a request to the core.
    ///
    /// # Errors
    /// An immediate answer: the node's readiness, or the reason why the request is not accepted.
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
                let small_bytes = request.payload.small_bytes();
                if core.small_payload_bytes() + small_bytes > self.body_budget / SMALL_BODIES_SHARE
                {
                    return Err(Notice::new(503, "too many requests in progress"));
                }
                Ok(core.accept_request(now, request)?)
            }
            _ => Err(Notice::new(405, "every job comes by POST")),
        }
    }

    fn readiness(&self, core: &Core) -> Notice {
        // If a successor serves at this address, the node is still ready: load balancers must not take it out.
        if self.draining && !self.acceptor.has_successor() {
            Notice::new(503, "ending")
        } else if core.has_workers() {
            Notice::new(200, "ready")
        } else {
            Notice::new(503, "no worker is known")
        }
    }

    /// Sends the final answer of a request. Returns false if the request is not from a client of this front end.
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
        let stage = self.connections.get(&token).map(|client| &client.stage);
        let wants_keep_alive = matches!(
            stage,
            Some(Stage::AwaitingAnswer {
                keep_alive: true,
                ..
            })
        );
        if let Some(client) = self.connections.get_mut(&token) {
            client.answered_at = now;
        }
        let reply = Reply::of_answer(answer, wants_keep_alive && !self.draining);
        self.reply(token, &reply, net);
        // The client may have sent the next request already.
        self.read(now, token, net, core);
        true
    }

    /// Sends a response, and then keeps the connection open for the next request or closes it.
    pub(super) fn reply(&mut self, token: Token, reply: &Reply, net: &mut Net) {
        if !net.write(token, &reply.bytes()) {
            return self.drop_connection(token, net);
        }
        if reply.keep_alive {
            if let Some(client) = self.connections.get_mut(&token) {
                client.stage = Stage::Idle;
            }
            self.set_eviction_rank(token, Some(EvictionRank::Idle));
        } else {
            self.forget(token);
            net.close_after_flush(token);
        }
    }

    /// Answers invalid or incomplete input and closes the connection, since the start of the next request is unknown.
    pub(super) fn refuse(&mut self, token: Token, notice: &Notice, net: &mut Net) {
        self.reply(token, &notice.reply(false), net);
    }

    /// Handles a client's disconnect: drops an incomplete request, and closes one that is waiting for its answer.
    fn handle_disconnect(&mut self, now: Micros, token: Token, net: &mut Net, core: &mut Core) {
        let client = self.forget(token);
        net.close(token);
        if let Some(Stage::AwaitingAnswer { request, .. }) = client.map(|client| client.stage) {
            core.handle_client_left(now, request);
        }
    }

    /// Closes those of these requests, which are about to be sent, whose client has disconnected by now, and ends those of
    /// which this cannot be known.
    pub fn drop_departed(
        &mut self,
        now: Micros,
        requests: &[RequestId],
        net: &mut Net,
        core: &mut Core,
    ) {
        let mut tokens = Vec::with_capacity(requests.len());
        for request in requests {
            let Some(token) = self.awaiting_answer.get(request).copied() else {
                continue;
            };
            let client = self.connections.get(&token);
            let last_known_open = client.map_or(now, |client| client.known_open_at);
            if now > last_known_open + MAX_HIDDEN_END && net.hides_end(token) {
                log::debug!(
                    "clients: ending request {}: its client may have left behind unread input",
                    request.0
                );
                core.end_unsent(now, *request);
            } else {
                tokens.push(token);
            }
        }
        for token in net.closed_by_peer(tokens) {
            self.handle_disconnect(now, token, net, core);
        }
    }
}
