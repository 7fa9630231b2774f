//! A stand-in for a render worker on the platform's wire: it records the jobs that it has started, and does with each
//! what the test says.

use crate::accept::{listen, serve_connections};
use crate::http::{self, Request};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How often a running job reports progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Longer than any test.
const FOREVER: Duration = Duration::from_secs(3600);

/// A job as a worker sees it.
#[derive(Clone, Debug)]
pub struct ReceivedJob {
    /// The client's id of the request.
    pub txn: String,
    /// The idempotency key.
    pub key: Option<String>,
    /// Path and query.
    pub target: String,
    /// The body.
    pub body: Vec<u8>,
    /// When its last byte had come.
    pub received_at: Instant,
}

/// What a worker does with a job.
#[derive(Clone, Debug)]
pub enum JobBehaviour {
    /// Runs it for so long, then gives this result.
    Serve(Duration, String),
    /// Runs it for so long, and fails.
    Fail(Duration),
    /// Rejects it unseen.
    Reject,
    /// Starts it, and breaks the connection after so long.
    Reset(Duration),
    /// Starts it, runs for so long, and hands it back unstarted.
    HandBack(Duration),
    /// Takes it, and sends nothing more.
    Hang,
}

type Behaviour = Arc<dyn Fn(&ReceivedJob) -> JobBehaviour + Send + Sync>;

/// How a job ends that has started.
struct JobEnd {
    after: Duration,
    /// The last state that is reported; none where the connection breaks instead.
    state: Option<&'static str>,
    result: Option<String>,
}

/// The stand-in; it serves until the program ends.
#[derive(Clone)]
pub struct WorkerStub {
    /// Its id.
    pub id: String,
    /// Where to connect.
    pub address: SocketAddr,
    slots: usize,
    running: Arc<AtomicUsize>,
    max_running: Arc<AtomicUsize>,
    started: Arc<Mutex<Vec<ReceivedJob>>>,
    behaviour: Arc<Mutex<Behaviour>>,
}

impl WorkerStub {
    /// Listens on a free port, and serves jobs in a few milliseconds.
    ///
    /// # Panics
    /// No port is free.
    pub fn start(id: &str, slots: usize) -> Self {
        let (listener, address) = listen();
        let serve_soon = |job: &ReceivedJob| {
            JobBehaviour::Serve(Duration::from_millis(5), format!("made {}", job.target))
        };
        let worker = WorkerStub {
            id: id.to_owned(),
            address,
            slots,
            running: Arc::default(),
            max_running: Arc::default(),
            started: Arc::default(),
            behaviour: Arc::new(Mutex::new(Arc::new(serve_soon))),
        };
        serve_connections(listener, worker.clone(), WorkerStub::serve);
        worker
    }

    /// From now on, jobs are treated like this.
    ///
    /// # Panics
    /// A thread has panicked before.
    pub fn set_behaviour(
        &self,
        behaviour: impl Fn(&ReceivedJob) -> JobBehaviour + Send + Sync + 'static,
    ) {
        *self.behaviour.lock().expect("no panic holds it") = Arc::new(behaviour);
    }

    /// All jobs that it has started.
    ///
    /// # Panics
    /// A thread has panicked before.
    pub fn started_jobs(&self) -> Vec<ReceivedJob> {
        self.started.lock().expect("no panic holds it").clone()
    }

    /// The most jobs that it has run at a time.
    pub fn max_running(&self) -> usize {
        self.max_running.load(Ordering::SeqCst)
    }

    fn load_report(&self) -> String {
        let running = self.running.load(Ordering::SeqCst);
        let free = self.slots.saturating_sub(running);
        format!("{{\"x0\":{free}}}")
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reading = BufReader::new(reading);
        while let Ok(Some(request)) = http::read(&mut reading) {
            if self.answer(&mut stream, request).is_none() {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// None where the connection is to end.
    fn answer(&self, stream: &mut TcpStream, request: Request) -> Option<()> {
        let job = ReceivedJob {
            txn: request.field("X-Txn")?.to_owned(),
            key: request.field("Idempotency-Key").map(str::to_owned),
            target: request.target.clone(),
            received_at: Instant::now(),
            body: request.body,
        };
        let behaviour = self.behaviour.lock().expect("no panic holds it").clone();
        let behaviour = behaviour(&job);
        if let JobBehaviour::Reject = behaviour {
            return self.reject(stream);
        }
        let txn = job.txn.clone();
        self.started.lock().expect("no panic holds it").push(job);
        let end = |after, state, result| JobEnd {
            after,
            state,
            result,
        };
        let end = match behaviour {
            JobBehaviour::Serve(after, result) => end(after, Some("done"), Some(result)),
            JobBehaviour::Fail(after) => end(after, Some("failed"), None),
            JobBehaviour::HandBack(after) => end(after, Some("returned"), None),
            JobBehaviour::Reset(after) => end(after, None, None),
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

    fn run(&self, stream: &mut TcpStream, txn: &str, end: JobEnd) -> Option<()> {
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        self.max_running.fetch_max(running, Ordering::SeqCst);
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let started = head.to_owned() + &self.chunk(txn, "started", "");
        let mut connected = stream.write_all(started.as_bytes()).is_ok();
        let end_at = Instant::now() + end.after;
        loop {
            let left = end_at.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            std::thread::sleep(left.min(PROGRESS_INTERVAL));
            if connected && Instant::now() < end_at {
                let progress = self.chunk(txn, "running", ",\"share\":0.5");
                connected = stream.write_all(progress.as_bytes()).is_ok();
            }
        }
        self.running.fetch_sub(1, Ordering::SeqCst);
        let state = end.state.filter(|_| connected)?;
        let result = end.result.map_or(String::new(), |text| {
            format!(",\"result\":{}", serde_json::Value::from(text))
        });
        let more = format!("{result},\"load\":{}", self.load_report());
        let last = self.chunk(txn, state, &more) + "0\r\n\r\n";
        stream.write_all(last.as_bytes()).ok()
    }

    /// A line of an answer, as a chunk.
    fn chunk(&self, txn: &str, state: &str, more: &str) -> String {
        let from = &self.id;
        let line =
            format!("{{\"id\":\"{txn}\",\"from\":\"{from}\",\"state\":\"{state}\"{more}}}\n");
        format!("{:x}\r\n{line}\r\n", line.len())
    }
}
