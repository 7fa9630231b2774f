//! A stand-in for the platform's directory: the whole list, and watches on its changes.

use crate::http;
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Default)]
struct Listed {
    revision: u64,
    /// Each worker with the revision of its last change.
    members: Vec<(u64, Value)>,
}

/// The stand-in; it serves until the program ends.
#[derive(Clone)]
pub struct Directory {
    pub addr: SocketAddr,
    listed: Arc<(Mutex<Listed>, Condvar)>,
}

impl Directory {
    /// Listens on a free port.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let directory = Directory {
            addr: listener.local_addr().expect("bound"),
            listed: Arc::default(),
        };
        let own = directory.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                std::thread::spawn(move || own.serve(stream));
            }
        });
        directory
    }

    /// Sets what is told of a worker.
    pub fn set(&self, id: &str, addr: SocketAddr, phase: &str) {
        let mut listed = self.listed.0.lock().expect("no panic holds it");
        listed.revision += 1;
        let revision = listed.revision;
        let cell = listed.members.len() / 3;
        let member = json!({"id": id, "host_port": addr.to_string(), "locality": "east", "flavor": "std",
            "cell": cell, "phase": phase, "size": 1.0, "up_since_ms": 0});
        listed.members.retain(|(_, m)| m["id"] != id);
        listed.members.push((revision, member));
        self.listed.1.notify_all();
    }

    /// The whole list in the directory's form.
    pub fn list(&self) -> Value {
        let listed = self.listed.0.lock().expect("no panic holds it");
        let there = listed
            .members
            .iter()
            .filter(|(_, m)| m["phase"] != "removed");
        let members: Vec<&Value> = there.map(|(_, m)| m).collect();
        json!({"revision": listed.revision, "complete": true, "members": members})
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reading = BufReader::new(reading);
        while let Ok(Some(request)) = http::read(&mut reading) {
            let number = |name| {
                request
                    .query(name)
                    .and_then(|text| text.parse::<u64>().ok())
            };
            let answer = match number("after") {
                None => self.list(),
                Some(after) => self.changes(after, number("wait_ms").unwrap_or(0)),
            };
            let body = answer.to_string();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn changes(&self, after: u64, wait_ms: u64) -> Value {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(60_000));
        let mut listed = self.listed.0.lock().expect("no panic holds it");
        while listed.revision <= after {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.listed.1.wait_timeout(listed, left);
            listed = waited.expect("no panic holds it").0;
        }
        let newer = listed
            .members
            .iter()
            .filter(|(revision, _)| *revision > after);
        let members: Vec<&Value> = newer.map(|(_, m)| m).collect();
        json!({"revision": listed.revision, "complete": false, "members": members})
    }
}
