//! The connection for the lease of the node's own instance: sends the requests that `marbledeck-eureka` decides on to
//! register the node, renew its lease and cancel it.

use crate::net::http;
use crate::net::{Net, Peer, Token};
use marbledeck_dispatcher::Micros;
use marbledeck_eureka::{Lease, LeaseRequest};
use std::net::SocketAddr;

/// A request to the registry whose response was not received yet.
#[derive(Clone, Copy)]
struct Call {
    number: u64,
    token: Token,
}

/// Keeps the lease of the node's own instance.
pub(super) struct LeaseClient {
    /// Decides which request to send when.
    pub(super) lease: Lease,
    call: Option<Call>,
}

impl LeaseClient {
    /// Creates a client without an open request.
    pub(super) fn new(lease: Lease) -> Self {
        LeaseClient { lease, call: None }
    }

    /// Whether this is the connection of the open request.
    pub(super) fn uses(&self, token: Token) -> bool {
        self.call.is_some_and(|call| call.token == token)
    }

    /// Abandons the open request, if there is one.
    pub(super) fn close(&mut self, net: &mut Net) {
        if let Some(call) = self.call.take() {
            net.close(call.token);
        }
    }

    /// Sends the requests that are due.
    pub(super) fn send_requests(
        &mut self,
        now: Micros,
        registries: &[SocketAddr],
        peer: Peer,
        net: &mut Net,
    ) {
        while let Some(request) = self.lease.next_request(now) {
            self.close(net);
            let registry = registries[request.registry];
            match net.connect(registry, peer) {
                Ok(token) => {
                    // Cannot fail: the empty buffer of a new connection holds a request.
                    let _ = net.write(token, &encode(&request, registry));
                    let number = request.number;
                    self.call = Some(Call { number, token });
                }
                Err(e) => {
                    log::warn!(
                        "eureka: cannot send a lease request: cannot connect to the registry {registry}: {e}; \
                         retrying at the next registry"
                    );
                    self.lease.handle_failure(now, request.number);
                }
            }
        }
    }

    /// Handles an event of the connection to the registry.
    pub(super) fn read(&mut self, now: Micros, net: &mut Net) {
        let Some(call) = self.call else {
            return;
        };
        let Some(conn) = net.get(call.token) else {
            return;
        };
        match http::parse_response_head(conn.input.all()) {
            Ok(None) if !conn.eof && !conn.broken => return,
            Ok(Some((head, _))) => {
                if !(200..300).contains(&head.status) {
                    log::warn!(
                        "eureka: the registry answered with status {} to a lease request of this node",
                        head.status
                    );
                }
                self.lease.handle_response(now, call.number, head.status);
            }
            _ => self.lease.handle_failure(now, call.number),
        }
        self.close(net);
    }
}

fn encode(request: &LeaseRequest, registry: SocketAddr) -> Vec<u8> {
    let (method, path, body) = (request.method, &request.path, &request.body);
    let content_type = if body.is_empty() {
        ""
    } else {
        "Content-Type: application/json\r\n"
    };
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {registry}\r\n{content_type}Content-Length: {length}\r\n\
         Connection: close\r\n\r\n{body}"
    )
    .into_bytes()
}
