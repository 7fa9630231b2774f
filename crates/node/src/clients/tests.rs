//! Tests of the client front end with one client connection on loopback, and without workers.

use super::reply::Notice;
use super::Clients;
use crate::core::{Core, NameRegistry};
use crate::net::{Net, Peer, Token};
use marbledeck_dispatcher::{Micros, RequestId, WorkerEntry, WorkerListKind};
use marbledeck_platform_settings::{worker_id, PlatformSettings};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Much longer than any step takes.
const TIMEOUT: Duration = Duration::from_secs(20);

/// The number of client connections that the front end accepts.
const MAX_CONNECTIONS: usize = 8;
/// Memory for the heads of two requests that have not arrived completely.
const CONNECTION_BUDGET: usize = 48 * 1024;
/// A budget for large bodies, of which small requests may take a quarter: room for one job with a long path.
const BODY_BUDGET: usize = 4 * 1024;
/// The settings of the exchanges, with the classes and tenants of the requests.
const CONFIG: &str = include_str!("../../tests/exchanges/config.json");

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
        let clients = Clients::new(
            address,
            None,
            MAX_CONNECTIONS,
            BODY_BUDGET,
            CONNECTION_BUDGET,
            &mut net,
        );
        let now = Micros(1_000_000);
        let config = CONFIG.replace("\"MEMBERS\"", "");
        let config: serde_json::Value = serde_json::from_str(&config).expect("JSON");
        let platform: PlatformSettings =
            serde_json::from_value(config["settings"].clone()).expect("settings");
        let settings = platform.dispatcher_settings().expect("valid settings");
        let names = NameRegistry::new(&platform, &settings);
        let core = Core::new(settings, names, 7, now);
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
        self.clients.limit_memory(self.now, &mut self.net);
    }

    /// Opens a connection and waits until it is accepted.
    fn connect(&mut self) -> TcpStream {
        let before = self.clients.connections.len();
        let client = TcpStream::connect(self.clients.addr).expect("a connection");
        client.set_read_timeout(Some(TIMEOUT)).expect("a socket");
        while self.clients.connections.len() == before {
            self.turn();
        }
        client
    }

    fn add_worker(&mut self) {
        let worker = WorkerEntry {
            worker: worker_id("w1"),
            ..WorkerEntry::default()
        };
        self.core
            .apply_worker_list(self.now, WorkerListKind::Full, vec![worker]);
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
    let mut client = front_end.connect();
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

fn job(transaction_id: &str, path: &str) -> String {
    format!(
        "POST /{path} HTTP/1.1\r\nX-Txn: {transaction_id}\r\nX-Lane: preview\r\nX-Org: au\r\nX-Remaining-Ms: 7000\r\n\r\n"
    )
}

fn read_status(client: &mut TcpStream) -> String {
    let mut status = [0; 12];
    client.read_exact(&mut status).expect("an answer");
    String::from_utf8_lossy(&status[9..]).into_owned()
}

/// Guards against memory beyond the limit that is held by many clients with heads that do not end: the oldest is rejected,
/// and a small request that arrives slowly stays.
#[test]
fn incomplete_requests_beyond_the_memory_are_rejected_from_the_oldest_on() {
    let mut front_end = FrontEnd::new();
    let mut small = front_end.connect();
    small.write_all(b"GET /rea").expect("a written part");
    let head = format!("POST /x HTTP/1.1\r\n{}", "ab:\r\n".repeat(3000));
    let mut large = Vec::new();
    for _ in 0..4 {
        let mut client = front_end.connect();
        client.write_all(head.as_bytes()).expect("a written part");
        large.push(client);
        let accepted = front_end.clients.connections.len();
        while accepted == front_end.clients.connections.len()
            && front_end.net.client_buffer_bytes() < large.len().min(3) * head.len()
        {
            front_end.turn();
        }
    }
    assert!(front_end.net.client_buffer_bytes() <= CONNECTION_BUDGET);
    assert_eq!(read_status(&mut large[0]), "503");
    assert_eq!(read_status(&mut large[1]), "503");
    small.write_all(b"dy HTTP/1.1\r\n\r\n").expect("the rest");
    while front_end.answered() == 0 {
        front_end.turn();
    }
    assert_eq!(read_status(&mut small), "503", "no worker is known");
}

/// Guards against memory beyond the limit that is held by answers which their clients do not read.
#[test]
fn an_answer_that_is_left_unread_is_dropped_when_memory_is_short() {
    let mut front_end = FrontEnd::new();
    let _client = front_end.connect();
    let tokens: Vec<Token> = front_end.clients.connections.keys().copied().collect();
    let answer = Notice::new(200, "x".repeat(60_000));
    while front_end.net.client_buffer_bytes() <= CONNECTION_BUDGET {
        front_end
            .clients
            .reply(tokens[0], &answer.reply(true), &mut front_end.net);
        front_end.net.flush(front_end.now);
    }
    front_end
        .clients
        .limit_memory(front_end.now, &mut front_end.net);
    assert!(!front_end.clients.is_idle(), "the answer is on its way");
    front_end.now = Micros(2_000_000);
    front_end
        .clients
        .limit_memory(front_end.now, &mut front_end.net);
    assert!(front_end.clients.is_idle());
    assert_eq!(front_end.net.client_buffer_bytes(), 0);
}

/// Guards against memory beyond the limit that is held by small jobs in progress, also after their clients have left.
#[test]
fn small_jobs_beyond_their_share_of_the_memory_are_rejected() {
    let mut front_end = FrontEnd::new();
    front_end.add_worker();
    for (number, expected) in [(1, 1), (2, 0)] {
        let mut client = front_end.connect();
        let request = job(&format!("t{number}"), &"p".repeat(700));
        client
            .write_all(request.as_bytes())
            .expect("a written request");
        let answered = front_end.answered();
        while front_end.answered() == answered {
            front_end.turn();
        }
        assert_eq!(front_end.core.unanswered(), expected);
        if number == 2 {
            assert_eq!(read_status(&mut client), "503");
        } else {
            // The job stays in progress at its worker after its client has left.
            drop(client);
            while !front_end.clients.is_idle() {
                front_end.turn();
            }
            assert!(front_end.core.small_payload_bytes() > 700);
        }
    }
}

/// Guards against an attempt for a client that has left: where more of its input is unread than has room, its end cannot be
/// seen, and after 0.1 s a request of it is rejected instead of sent. A next request that has room changes nothing.
#[test]
fn a_request_behind_which_the_clients_end_is_hidden_is_not_sent() {
    for (jobs, is_sent) in [(1, true), (3, true), (1_000, false)] {
        let mut front_end = FrontEnd::new();
        front_end.add_worker();
        let mut client = front_end.connect();
        let pipeline: String = (0..jobs)
            .map(|n| job(&format!("t{n}"), &"p".repeat(20)))
            .collect();
        client.set_nonblocking(true).expect("a socket");
        let written = client.write(pipeline.as_bytes());
        let read_whole = written.expect("written requests") < 20 * 1024;
        assert_eq!(read_whole, is_sent, "the input buffer holds 20 KB");
        while front_end.core.unanswered() == 0 {
            front_end.turn();
        }
        let request = RequestId(0);
        for (after_ms, is_sent) in [(100, true), (101, is_sent)] {
            let now = Micros(front_end.now.0 + after_ms * 1000);
            let (net, core) = (&mut front_end.net, &mut front_end.core);
            front_end.clients.drop_departed(now, &[request], net, core);
            assert_eq!(!core.is_closed(request), is_sent, "{jobs} jobs");
        }
    }
}
