//! Many render workers in one stand-in: each has an address of its own, all serve what they get at once, and the time of
//! each request's first byte is recorded.

use crate::http;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Workers with one value of the address's third byte.
const WORKERS_PER_BLOCK: usize = 250;
/// Listeners that are looked at in one turn.
const EVENTS_PER_TURN: usize = 64;
/// The second byte of the workers' addresses: far from that of other stand-ins.
const NETWORK: u8 = 77;

/// A request as a worker has seen it.
#[derive(Clone, Debug)]
pub struct SeenRequest {
    /// The worker's number.
    pub worker: usize,
    /// When its first byte had come.
    pub first_byte_at: Instant,
    /// The client's id of the request.
    pub txn: String,
}

/// The stand-in; it serves until the program ends.
#[derive(Clone)]
pub struct WorkerCrowd {
    /// Where each worker listens, by its number.
    pub addresses: Arc<Vec<SocketAddr>>,
    seen: Arc<Mutex<Vec<SeenRequest>>>,
}

impl WorkerCrowd {
    /// Has so many workers listen on loopback, each at a free port.
    ///
    /// # Panics
    /// There are too few descriptors or ports.
    pub fn start(workers: usize) -> Self {
        let listener = |n: usize| {
            let (block, host) = (n / WORKERS_PER_BLOCK, n % WORKERS_PER_BLOCK + 1);
            let address = Ipv4Addr::new(127, NETWORK, block as u8, host as u8);
            let listener = TcpListener::bind((address, 0)).expect("a free port");
            listener.set_nonblocking(true).expect("a listener");
            listener
        };
        let listeners: Vec<TcpListener> = (0..workers).map(listener).collect();
        let bound = listeners.iter().map(TcpListener::local_addr);
        let crowd = WorkerCrowd {
            addresses: Arc::new(bound.map(|address| address.expect("bound")).collect()),
            seen: Arc::default(),
        };
        let accepting = crowd.clone();
        std::thread::spawn(move || accepting.accept(&listeners));
        crowd
    }

    /// The id of a worker.
    pub fn id(worker: usize) -> String {
        format!("s-{worker:05}")
    }

    /// All requests that were seen.
    ///
    /// # Panics
    /// A thread has panicked before.
    pub fn seen(&self) -> Vec<SeenRequest> {
        self.seen.lock().expect("no panic holds it").clone()
    }

    /// The requests that were seen since the last call of this.
    ///
    /// # Panics
    /// A thread has panicked before.
    pub fn take_seen(&self) -> Vec<SeenRequest> {
        std::mem::take(&mut *self.seen.lock().expect("no panic holds it"))
    }

    fn accept(&self, listeners: &[TcpListener]) {
        let epoll = epoll::create(CreateFlags::CLOEXEC).expect("an epoll");
        for (number, listener) in listeners.iter().enumerate() {
            let data = EventData::new_u64(number as u64);
            epoll::add(&epoll, listener, data, EventFlags::IN).expect("added");
        }
        let mut events = Vec::with_capacity(EVENTS_PER_TURN);
        loop {
            events.clear();
            let buffer = rustix::buffer::spare_capacity(&mut events);
            if epoll::wait(&epoll, buffer, None).is_err() {
                continue;
            }
            for event in &events {
                let number = event.data.u64() as usize;
                while let Ok((stream, _)) = listeners[number].accept() {
                    let crowd = self.clone();
                    std::thread::spawn(move || crowd.serve(number, stream));
                }
            }
        }
    }

    fn serve(&self, worker: usize, mut stream: TcpStream) {
        let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reading = BufReader::new(reading);
        loop {
            match reading.fill_buf() {
                Ok(bytes) if !bytes.is_empty() => {}
                _ => return,
            }
            let first_byte_at = Instant::now();
            let Ok(Some(request)) = http::read(&mut reading) else {
                return;
            };
            let Some(txn) = request.field("X-Txn") else {
                return;
            };
            let answer = served(&WorkerCrowd::id(worker), txn);
            let txn = txn.to_owned();
            let seen = SeenRequest {
                worker,
                first_byte_at,
                txn,
            };
            self.seen.lock().expect("no panic holds it").push(seen);
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// The answer to a job that was served at once.
fn served(worker: &str, txn: &str) -> String {
    let mut answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
    let last = ",\"result\":\"made\",\"load\":{\"x0\":8}";
    for (state, more) in [("started", ""), ("done", last)] {
        let line =
            format!("{{\"id\":\"{txn}\",\"from\":\"{worker}\",\"state\":\"{state}\"{more}}}\n");
        answer += &format!("{:x}\r\n{line}\r\n", line.len());
    }
    answer + "0\r\n\r\n"
}
