//! A stub of a render worker. It speaks the platform's worker protocol, records the jobs that it starts, and handles
//! each job as the test chooses.

use crate::accept::{listen, serve_connections};
use crate::http::{self, Request};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Interval between two progress reports of a running job.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Sleep time of a job that hangs; longer than any test runs.
const FOREVER: Duration = Duration::from_secs(3600);

/// A job request that a worker has received.
#[derive(Clone, Debug)]
pub struct ReceivedJob {
    /// The request id, from `X-Txn`.
    pub txn: String,
    /// The idempotency key, from `Idempotency-Key`.
    pub key: Option<String>,
    /// The path and the query of the request.
    pub target: String,
    /// The request body.
    pub body: Vec<u8>,
    /// When the first byte of the request was received.
    pub first_byte_at: Instant,
    /// When the last byte of the request was received.
    pub received_at: Instant,
}

/// How a worker handles a job.
#[derive(Clone, Debug)]
pub enum JobBehaviour {
    /// Runs the job for this time and completes it with this result.
    Serve(Duration, String),
    /// Runs the job for this time and reports that it failed.
    Fail(Duration),
    /// Rejects the job without starting it, with status 503.
    Reject,
    /// Starts the job and closes the connection after this time.
    Reset(Duration),
    /// Starts the job and hands it back after this time, with the state `returned`.
    HandBack(Duration),
    /// Accepts the job and never answers.
    Hang,
}

type Behaviour = Arc<dyn Fn(&ReceivedJob) -> JobBehaviour + Send + Sync>;

/// The end of a started job.
struct JobEnd {
    /// The run time.
    after: Duration,
    /// The final state that is reported; `None` if the connection is closed instead.
    state: Option<&'static str>,
    result: Option<String>,
}

/// A stub of a worker, which serves until the program exits.
#[derive(Clone)]
pub struct WorkerStub {
    /// The id of the worker.
    pub id: String,
    /// The address at which it listens.
    pub address: SocketAddr,
    slots: usize,
    running: Arc<AtomicUsize>,
    max_running: Arc<AtomicUsize>,
    answered: Arc<AtomicUsize>,
    started: Arc<Mutex<Vec<ReceivedJob>>>,
    behaviour: Arc<Mutex<Behaviour>>,
}

impl WorkerStub {
    /// Starts a worker on a free port. Until [`WorkerStub::set_behaviour`] is called, it completes each job in 5 ms.
    ///
    /// # Panics
    /// The listener cannot be bound.
    pub fn start(id: &str, slots: usize) -> Self {
        let (listener, address) = listen();
        let complete_soon = |job: &ReceivedJob| {
            JobBehaviour::Serve(Duration::from_millis(5), format!("made {}", job.target))
        };
        let worker = WorkerStub {
            id: id.to_owned(),
            address,
            slots,
            running: Arc::default(),
            max_running: Arc::default(),
            answered: Arc::default(),
            started: Arc::default(),
            behaviour: Arc::new(Mutex::new(Arc::new(complete_soon))),
        };
        serve_connections(listener, worker.clone(), WorkerStub::serve);
        worker
    }

    /// Sets the function that chooses how later jobs are handled.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn set_behaviour(
        &self,
        behaviour: impl Fn(&ReceivedJob) -> JobBehaviour + Send + Sync + 'static,
    ) {
        *self.behaviour.lock().expect("the lock is not poisoned") = Arc::new(behaviour);
    }

    /// Returns all jobs that the worker has started, in the order of their start.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn started_jobs(&self) -> Vec<ReceivedJob> {
        self.started
            .lock()
            .expect("the lock is not poisoned")
            .clone()
    }

    /// Returns the highest number of jobs that ran at the same time.
    pub fn max_running(&self) -> usize {
        self.max_running.load(Ordering::SeqCst)
    }

    /// Returns the number of started jobs whose last answer is written.
    pub fn answered_jobs(&self) -> usize {
        self.answered.load(Ordering::SeqCst)
    }

    /// The load report: the number of free slots.
    fn load_report(&self) -> String {
        let running = self.running.load(Ordering::SeqCst);
        let free = self.slots.saturating_sub(running);
        format!("{{\"x0\":{free}}}")
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reader) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reader);
        while reader.fill_buf().is_ok_and(|bytes| !bytes.is_empty()) {
            let first_byte_at = Instant::now();
            let Ok(Some(request)) = http::read(&mut reader) else {
                return;
            };
            if self.answer(&mut stream, request, first_byte_at).is_none() {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// Handles one job. Returns `None` if the connection must be closed.
    fn answer(
        &self,
        stream: &mut TcpStream,
        request: Request,
        first_byte_at: Instant,
    ) -> Option<()> {
        let job = ReceivedJob {
            txn: request.field("X-Txn")?.to_owned(),
            key: request.field("Idempotency-Key").map(str::to_owned),
            target: request.target.clone(),
            first_byte_at,
            received_at: Instant::now(),
            body: request.body,
        };
        let behaviour = self
            .behaviour
            .lock()
            .expect("the lock is not poisoned")
            .clone();
        let behaviour = behaviour(&job);
        if let JobBehaviour::Reject = behaviour {
            return self.reject(stream);
        }
        let txn = job.txn.clone();
        self.started
            .lock()
            .expect("the lock is not poisoned")
            .push(job);
        let job_end = |after, state, result| JobEnd {
            after,
            state,
            result,
        };
        let end = match behaviour {
            JobBehaviour::Serve(after, result) => job_end(after, Some("done"), Some(result)),
            JobBehaviour::Fail(after) => job_end(after, Some("failed"), None),
            JobBehaviour::HandBack(after) => job_end(after, Some("returned"), None),
            JobBehaviour::Reset(after) => job_end(after, None, None),
            JobBehaviour::Hang | JobBehaviour::Reject => {
                std::thread::sleep(FOREVER);
                return None;
            }
        };
        self.run(stream, &txn, end)
    }

    fn reject(&self, stream: &mut TcpStream) -> Option<()> {
        let report = self.load_report();
        let head = format!(
            "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nX-Pressure: {report}\r\nContent-Length: 0\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).ok()
    }

    /// Runs a job: reports its start, its progress and its end as chunks of one answer.
    fn run(&self, stream: &mut TcpStream, txn: &str, end: JobEnd) -> Option<()> {
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        self.max_running.fetch_max(running, Ordering::SeqCst);
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let started = head.to_owned() + &self.chunk(txn, "started", "");
        let mut is_connected = stream.write_all(started.as_bytes()).is_ok();
        let end_at = Instant::now() + end.after;
        loop {
            let left = end_at.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            std::thread::sleep(left.min(PROGRESS_INTERVAL));
            if is_connected && Instant::now() < end_at {
                let progress = self.chunk(txn, "running", ",\"share\":0.5");
                is_connected = stream.write_all(progress.as_bytes()).is_ok();
            }
        }
        self.running.fetch_sub(1, Ordering::SeqCst);
        let state = end.state.filter(|_| is_connected)?;
        let result = end.result.map_or(String::new(), |text| {
            format!(",\"result\":{}", serde_json::Value::from(text))
        });
        let fields = format!("{result},\"load\":{}", self.load_report());
        let last = self.chunk(txn, state, &fields) + "0\r\n\r\n";
        let written = stream.write_all(last.as_bytes()).ok();
        self.answered.fetch_add(1, Ordering::SeqCst);
        written
    }

    /// One JSON line of an answer, as a chunk. `fields` holds additional JSON fields.
    fn chunk(&self, txn: &str, state: &str, fields: &str) -> String {
        let from = &self.id;
        let line =
            format!("{{\"id\":\"{txn}\",\"from\":\"{from}\",\"state\":\"{state}\"{fields}}}\n");
        format!("{:x}\r\n{line}\r\n", line.len())
    }
}
