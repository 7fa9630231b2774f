//! A stub of many render workers, for lists of thousands of endpoints. Each worker has its own address and completes
//! each job at once; the arrival time of each request's first byte is recorded.

use crate::http;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Number of workers that share the third byte of their address.
const WORKERS_PER_BLOCK: usize = 250;
/// Maximum number of events returned by one call of `epoll_wait`.
const MAX_EVENTS: usize = 64;
/// Second byte of the workers' addresses. It differs from that of the other stubs, which listen on 127.0.0.1.
const SECOND_BYTE: u8 = 77;

/// A request that a worker has received.
#[derive(Clone, Debug)]
pub struct SeenRequest {
    /// The number of the worker, from 0.
    pub worker: usize,
    /// When the first byte of the request was received.
    pub first_byte_at: Instant,
    /// The address from which it came.
    pub client: SocketAddr,
    /// The request id, from `X-Txn`; `None` if the rest of the request did not arrive, or it is a probe.
    pub txn: Option<String>,
}

/// A stub of many workers, which serves until the program exits.
#[derive(Clone)]
pub struct WorkerCrowd {
    /// The address of each worker, indexed by its number.
    pub addresses: Arc<Vec<SocketAddr>>,
    seen: Arc<Mutex<Vec<SeenRequest>>>,
}

impl WorkerCrowd {
    /// Starts this number of workers on loopback, each with its own address and a free port.
    ///
    /// # Panics
    /// A listener cannot be bound, for example because the file descriptor limit is reached.
    pub fn start(workers: usize) -> Self {
        let listener = |n: usize| {
            let (block, host) = (n / WORKERS_PER_BLOCK, n % WORKERS_PER_BLOCK + 1);
            let address = Ipv4Addr::new(127, SECOND_BYTE, block as u8, host as u8);
            let listener = TcpListener::bind((address, 0)).expect("bind the listener of a worker");
            listener
                .set_nonblocking(true)
                .expect("set the listener of a worker to non-blocking mode");
            listener
        };
        let listeners: Vec<TcpListener> = (0..workers).map(listener).collect();
        let bound = listeners.iter().map(TcpListener::local_addr);
        let crowd = WorkerCrowd {
            addresses: Arc::new(
                bound
                    .map(|address| address.expect("the address of a bound listener"))
                    .collect(),
            ),
            seen: Arc::default(),
        };
        let acceptor = crowd.clone();
        std::thread::spawn(move || acceptor.accept(&listeners));
        crowd
    }

    /// Returns the id of a worker.
    pub fn id(worker: usize) -> String {
        format!("s-{worker:05}")
    }

    /// Returns all requests that were received since the start or the last [`WorkerCrowd::take_seen`].
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn seen(&self) -> Vec<SeenRequest> {
        self.seen.lock().expect("the lock is not poisoned").clone()
    }

    /// Returns the same requests as [`WorkerCrowd::seen`] and clears the record.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn take_seen(&self) -> Vec<SeenRequest> {
        std::mem::take(&mut *self.seen.lock().expect("the lock is not poisoned"))
    }

    /// Accepts connections at all listeners with one epoll instance.
    fn accept(&self, listeners: &[TcpListener]) {
        let epoll = epoll::create(CreateFlags::CLOEXEC).expect("create the epoll instance");
        for (number, listener) in listeners.iter().enumerate() {
            let data = EventData::new_u64(number as u64);
            epoll::add(&epoll, listener, data, EventFlags::IN)
                .expect("add a listener to the epoll instance");
        }
        let mut events = Vec::with_capacity(MAX_EVENTS);
        loop {
            events.clear();
            let buffer = rustix::buffer::spare_capacity(&mut events);
            if epoll::wait(&epoll, buffer, None).is_err() {
                continue;
            }
            for event in &events {
                let number = event.data.u64() as usize;
                while let Ok((stream, client)) = listeners[number].accept() {
                    let crowd = self.clone();
                    std::thread::spawn(move || crowd.serve(number, client, stream));
                }
            }
        }
    }

    fn serve(&self, worker: usize, client: SocketAddr, mut stream: TcpStream) {
        let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
        let Ok(reader) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reader);
        loop {
            match reader.fill_buf() {
                Ok(bytes) if !bytes.is_empty() => {}
                _ => return,
            }
            let first_byte_at = Instant::now();
            let request = http::read(&mut reader).ok().flatten();
            let txn = request.and_then(|request| request.field("X-Txn").map(str::to_owned));
            let answer = txn
                .as_deref()
                .map(|txn| completed_answer(&WorkerCrowd::id(worker), txn));
            let seen = SeenRequest {
                worker,
                first_byte_at,
                client,
                txn,
            };
            self.seen
                .lock()
                .expect("the lock is not poisoned")
                .push(seen);
            let Some(answer) = answer else {
                return;
            };
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// The whole answer to a job that is completed at once.
fn completed_answer(worker: &str, txn: &str) -> String {
    let mut answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
    let end_fields = ",\"result\":\"made\",\"load\":{\"x0\":8}";
    for (state, fields) in [("started", ""), ("done", end_fields)] {
        let line =
            format!("{{\"id\":\"{txn}\",\"from\":\"{worker}\",\"state\":\"{state}\"{fields}}}\n");
        answer += &format!("{:x}\r\n{line}\r\n", line.len());
    }
    answer + "0\r\n\r\n"
}
