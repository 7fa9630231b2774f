//! A stand-in for a render worker on the platform's wire: it notes what it has begun, and does with each job what the
//! test says.

use crate::http::{self, Request};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A job as a worker sees it.
#[derive(Clone, Debug)]
pub struct Job {
    pub txn: String,
    pub key: Option<String>,
    pub target: String,
    pub body: Vec<u8>,
    /// When its last byte had come.
    pub at: Instant,
}

/// What a worker does with a job.
#[derive(Clone, Debug)]
pub enum Act {
    /// Runs it for so long, then gives this result.
    Serve(Duration, String),
    /// Runs it for so long, and fails.
    Fail(Duration),
    /// Turns it away unseen.
    TurnAway,
    /// Begins it, and breaks the connection after so long.
    Break(Duration),
    /// Begins it, runs for so long, and hands it back unstarted.
    Return(Duration),
    /// Takes it, and says nothing more.
    Silent,
}

type Behaviour = Arc<dyn Fn(&Job) -> Act + Send + Sync>;

/// The stand-in; it serves until the program ends.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub addr: SocketAddr,
    slots: usize,
    busy: Arc<AtomicUsize>,
    most: Arc<AtomicUsize>,
    begun: Arc<Mutex<Vec<Job>>>,
    behaviour: Arc<Mutex<Behaviour>>,
}

impl Worker {
    /// Listens on a free port.
    pub fn start(id: &str, slots: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Worker {
            id: id.to_owned(),
            addr: listener.local_addr().expect("bound"),
            slots,
            busy: Arc::default(),
            most: Arc::default(),
            begun: Arc::default(),
            behaviour: Arc::new(Mutex::new(Arc::new(|job: &Job| {
                Act::Serve(Duration::from_millis(5), format!("made {}", job.target))
            }))),
        };
        let own = worker.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                std::thread::spawn(move || own.serve(stream));
            }
        });
        worker
    }

    /// From now on, jobs are treated like this.
    pub fn behave(&self, how: impl Fn(&Job) -> Act + Send + Sync + 'static) {
        *self.behaviour.lock().expect("no panic holds it") = Arc::new(how);
    }

    /// All jobs that it has begun.
    pub fn begun(&self) -> Vec<Job> {
        self.begun.lock().expect("no panic holds it").clone()
    }

    /// The most jobs that it has had at a time.
    pub fn most(&self) -> usize {
        self.most.load(Ordering::SeqCst)
    }

    fn report(&self) -> String {
        let free = self.slots.saturating_sub(self.busy.load(Ordering::SeqCst));
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
        let job = Job {
            txn: request.field("X-Txn")?.to_owned(),
            key: request.field("Idempotency-Key").map(str::to_owned),
            target: request.target.clone(),
            at: Instant::now(),
            body: request.body,
        };
        let behaviour = self.behaviour.lock().expect("no panic holds it").clone();
        let act = behaviour(&job);
        if let Act::TurnAway = act {
            let head = format!(
                "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nX-Pressure: {}\r\nContent-Length: 0\r\n\r\n",
                self.report()
            );
            return stream.write_all(head.as_bytes()).ok();
        }
        let txn = job.txn.clone();
        self.begun.lock().expect("no panic holds it").push(job);
        if let Act::Silent = act {
            std::thread::sleep(Duration::from_secs(3600));
            return None;
        }
        let busy = self.busy.fetch_add(1, Ordering::SeqCst) + 1;
        self.most.fetch_max(busy, Ordering::SeqCst);
        let line = |state: &str, more: &str| {
            let from = &self.id;
            let line =
                format!("{{\"id\":\"{txn}\",\"from\":\"{from}\",\"state\":\"{state}\"{more}}}\n");
            format!("{:x}\r\n{line}\r\n", line.len())
        };
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let started = stream.write_all((head.to_owned() + &line("started", "")).as_bytes());
        let (span, last, result) = match act {
            Act::Serve(span, result) => (span, "done", Some(result)),
            Act::Fail(span) => (span, "failed", None),
            Act::Return(span) => (span, "returned", None),
            Act::Break(span) => (span, "", None),
            Act::TurnAway | Act::Silent => unreachable!("answered above"),
        };
        // A word a second, as workers do.
        let until = Instant::now() + span;
        let mut alive = started.is_ok();
        while let Some(left) = until
            .checked_duration_since(Instant::now())
            .filter(|l| !l.is_zero())
        {
            std::thread::sleep(left.min(Duration::from_secs(1)));
            if alive && Instant::now() < until {
                alive = stream
                    .write_all(line("running", ",\"share\":0.5").as_bytes())
                    .is_ok();
            }
        }
        self.busy.fetch_sub(1, Ordering::SeqCst);
        if last.is_empty() || !alive {
            return None;
        }
        let result = result.map_or(String::new(), |text| {
            format!(",\"result\":{}", serde_json::Value::from(text))
        });
        let more = format!("{result},\"load\":{}", self.report());
        stream
            .write_all((line(last, &more) + "0\r\n\r\n").as_bytes())
            .ok()
    }
}
