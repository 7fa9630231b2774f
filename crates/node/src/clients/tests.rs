//! Tests of the client front end with one client connection on loopback, and without workers.

use super::Clients;
use crate::core::{Core, NameRegistry};
use crate::net::{Net, Peer};
use marbledeck_dispatcher::{Class, Micros, Settings};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};

/// The number of client connections that the front end accepts.
const MAX_CONNECTIONS: usize = 8;

struct FrontEnd {
    net: Net,
    core: Core,
    clients: Clients,
    now: Micros,
}

impl FrontEnd {
    fn new() -> Self {
        let mut net = Net::new().expect("an epoll instance");
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let clients = Clients::new(address, None, MAX_CONNECTIONS, 0, &mut net);
        let now = Micros(1_000_000);
        let settings = Settings {
            dispatchers: 1,
            classes: vec![Class::default()],
            ..Settings::default()
        };
        let core = Core::new(settings, NameRegistry::default(), 7, now);
        FrontEnd {
            net,
            core: core.expect("valid settings"),
            clients: clients.expect("a listener"),
            now,
        }
    }

    /// Waits for events, until the front end's next deadline at the latest, and handles them.
    fn turn(&mut self) {
        let mut events = Vec::new();
        let deadline = self.clients.next_wake();
        self.net.wait(self.now, deadline, &mut events);
        for event in events {
            let Some(ready) = self.net.process_event(event) else {
                continue;
            };
            assert_eq!(ready.peer, Peer::Client);
            if ready.listener {
                self.clients.accept(self.now, &mut self.net);
            } else {
                let (net, core) = (&mut self.net, &mut self.core);
                self.clients.handle_ready(self.now, ready.token, net, core);
            }
        }
        self.net.flush(self.now);
    }

    fn answered(&self) -> u64 {
        let counts = self.clients.connections.values();
        counts.map(|client| client.request_count).sum()
    }
}

/// Guards against memory that grows with each request that a client sends within a request timeout: only a request that
/// has not arrived completely has a deadline.
#[test]
fn a_complete_request_leaves_no_deadline_behind() {
    let mut front_end = FrontEnd::new();
    let mut client = TcpStream::connect(front_end.clients.addr).expect("a connection");
    while front_end.clients.connections.is_empty() {
        front_end.turn();
    }
    let first_deadline = front_end.clients.next_wake();
    assert!(first_deadline.is_some(), "the first request may not come");
    let requests = b"GET /ready HTTP/1.1\r\n\r\nPOST /unsound HTTP/1.1\r\n\r\n".repeat(50);
    client.write_all(&requests).expect("written requests");
    while front_end.answered() < 100 {
        front_end.turn();
    }
    assert_eq!(front_end.clients.next_wake(), None);
    client.write_all(b"GET /rea").expect("a written part");
    front_end.now = Micros(9_000_000);
    while front_end.clients.next_wake().is_none() {
        front_end.turn();
    }
    assert_eq!(front_end.clients.deadlines.len(), 1);
}
