//! The node's own entry in the registry: registers it, renews its lease and cancels it, as `marbledeck-eureka` plans.

use crate::net::http;
use crate::net::{Net, Peer, Token};
use marbledeck_dispatcher::Micros;
use marbledeck_eureka::{Lease, LeaseRequest};
use std::net::SocketAddr;

/// A call to the registry that is not answered yet.
#[derive(Clone, Copy)]
struct Call {
    number: u64,
    token: Token,
}

/// The node's own entry.
pub(super) struct OwnEntry {
    /// What is to be done when.
    pub(super) lease: Lease,
    call: Option<Call>,
}

impl OwnEntry {
    /// An entry that is not registered yet.
    pub(super) fn new(lease: Lease) -> Self {
        OwnEntry { lease, call: None }
    }

    /// Whether this is the connection to the registry.
    pub(super) fn uses(&self, token: Token) -> bool {
        self.call.is_some_and(|call| call.token == token)
    }

    /// Gives up the call that is not answered yet, if there is one.
    pub(super) fn close(&mut self, net: &mut Net) {
        if let Some(call) = self.call.take() {
            net.close(call.token);
        }
    }

    /// Makes the calls that are due.
    pub(super) fn make_calls(
        &mut self,
        now: Micros,
        registries: &[SocketAddr],
        peer: Peer,
        net: &mut Net,
    ) {
        while let Some(ask) = self.lease.next_request(now) {
            self.close(net);
            let registry = registries[ask.registry];
            match net.connect(registry, peer) {
                Ok(token) => {
                    // A new connection holds a request.
                    let _ = net.write(token, &request(&ask, registry));
                    let number = ask.number;
                    self.call = Some(Call { number, token });
                }
                Err(e) => {
                    log::warn!("eureka: {e}");
                    self.lease.handle_failure(now, ask.number);
                }
            }
        }
    }

    /// Something has come from the registry.
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
                    log::warn!("eureka: status {} on the node's own entry", head.status);
                }
                self.lease.handle_answer(now, call.number, head.status);
            }
            _ => self.lease.handle_failure(now, call.number),
        }
        self.close(net);
    }
}

fn request(ask: &LeaseRequest, registry: SocketAddr) -> Vec<u8> {
    let (method, path, body) = (ask.method, &ask.path, &ask.body);
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
