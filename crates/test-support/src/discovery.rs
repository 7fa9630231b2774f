//! A stand-in for the platform's discovery: the whole list, and watches on its changes.

use crate::accept::{listen, serve_connections};
use crate::http;
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// The longest that a watch waits.
const MAX_WAIT_MS: u64 = 60_000;

struct ListedWorker {
    /// The revision of its last change.
    revision: u64,
    member: Value,
}

#[derive(Default)]
struct EndpointList {
    revision: u64,
    workers: Vec<ListedWorker>,
}

/// The stand-in; it serves until the program ends.
#[derive(Clone)]
pub struct DiscoveryStub {
    /// Where to connect.
    pub address: SocketAddr,
    list: Arc<(Mutex<EndpointList>, Condvar)>,
}

impl DiscoveryStub {
    /// Listens on a free port, with an empty list.
    ///
    /// # Panics
    /// No port is free.
    pub fn start() -> Self {
        let (listener, address) = listen();
        let discovery = DiscoveryStub {
            address,
            list: Arc::default(),
        };
        serve_connections(listener, discovery.clone(), DiscoveryStub::serve);
        discovery
    }

    /// Sets a worker's entry; `phase` is `up`, `draining` or `removed`.
    ///
    /// # Panics
    /// A thread has panicked before.
    pub fn set_worker(&self, id: &str, address: SocketAddr, phase: &str) {
        let mut list = self.list.0.lock().expect("no panic holds it");
        list.revision += 1;
        let revision = list.revision;
        let cell = list.workers.len() / 3;
        let member = json!({"id": id, "host_port": address.to_string(), "locality": "east", "flavor": "std",
            "cell": cell, "phase": phase, "size": 1.0, "up_since_ms": 0});
        list.workers.retain(|worker| worker.member["id"] != id);
        list.workers.push(ListedWorker { revision, member });
        self.list.1.notify_all();
    }

    /// The whole list in discovery's form.
    ///
    /// # Panics
    /// A thread has panicked before.
    pub fn endpoint_list(&self) -> Value {
        let list = self.list.0.lock().expect("no panic holds it");
        let workers = list.workers.iter();
        let present = workers.filter(|worker| worker.member["phase"] != "removed");
        let members: Vec<&Value> = present.map(|worker| &worker.member).collect();
        json!({"revision": list.revision, "complete": true, "members": members})
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reading = BufReader::new(reading);
        while let Ok(Some(request)) = http::read(&mut reading) {
            let number = |name| request.query(name)?.parse::<u64>().ok();
            let answer = match number("after") {
                None => self.endpoint_list(),
                Some(after) => self.changes(after, number("wait_ms").unwrap_or(0)),
            };
            let body = answer.to_string();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Waits for changes after this revision.
    fn changes(&self, after: u64, wait_ms: u64) -> Value {
        let end = Instant::now() + Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
        let mut list = self.list.0.lock().expect("no panic holds it");
        while list.revision <= after {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.list.1.wait_timeout(list, left);
            list = waited.expect("no panic holds it").0;
        }
        let workers = list.workers.iter();
        let newer = workers.filter(|worker| worker.revision > after);
        let members: Vec<&Value> = newer.map(|worker| &worker.member).collect();
        json!({"revision": list.revision, "complete": false, "members": members})
    }
}
