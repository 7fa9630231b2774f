//! Clients of a soak test, which send one job after another and pass each outcome to the audit.

use super::audit::UnansweredRequest;
use super::{job_class, Audit, JobConnection, JobRequest, Random};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time beyond the latest allowed answer after which a client stops waiting.
const PATIENCE: Duration = Duration::from_secs(5);
/// How long a client waits before it looks again whether it may open a connection.
const CONNECT_INTERVAL: Duration = Duration::from_millis(5);

/// How a client uses its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientKind {
    /// Sends on its connection as long as it seems open, and thinks for up to 0.1 s between two requests.
    Busy,
    /// As [`ClientKind::Busy`], but thinks for up to 3 s.
    Thinking,
    /// Looks before each request whether the node has closed the connection.
    Careful,
    /// Opens a connection for each request, and sends it up to 0.4 s later.
    OneShot,
    /// Opens a connection for each request, and sends it up to 2.4 s later.
    Resting,
    /// As [`ClientKind::Busy`], but sends each request in two pieces, up to 2.3 s apart.
    Slow,
}

impl ClientKind {
    /// Returns the kind of the client with this number.
    pub fn of(number: usize) -> Self {
        match number % 6 {
            0 => ClientKind::Busy,
            1 => ClientKind::Thinking,
            2 => ClientKind::Careful,
            3 => ClientKind::OneShot,
            4 => ClientKind::Resting,
            _ => ClientKind::Slow,
        }
    }
}

/// One client.
pub struct SoakClient {
    /// Its number, the first part of the transaction ids of its requests.
    pub number: usize,
    /// How it uses its connections.
    pub kind: ClientKind,
    /// The address of the node.
    pub address: String,
    /// Its random numbers.
    pub random: Random,
    /// Judges its requests.
    pub audit: Arc<Audit>,
}

/// A connection, and when the client last began to look whether it is open.
struct SeenConnection {
    connection: JobConnection,
    seen_open_at: Instant,
}

impl SoakClient {
    /// Sends jobs until the run is over.
    pub fn run(mut self) {
        let mut connection = None;
        let mut job = 0;
        while !self.audit.node.is_over.load(Ordering::SeqCst) {
            self.think();
            if matches!(self.kind, ClientKind::OneShot | ClientKind::Resting) {
                connection = None;
            }
            let Some(open) = connection.take().or_else(|| self.connect()) else {
                sleep(CONNECT_INTERVAL);
                continue;
            };
            job += 1;
            connection = self.run_job(open, job);
        }
    }

    fn think(&mut self) {
        let span = match self.kind {
            ClientKind::Busy | ClientKind::Careful | ClientKind::Slow => 1..100,
            ClientKind::Thinking => 1..3000,
            ClientKind::OneShot | ClientKind::Resting => 1..50,
        };
        sleep(self.random.millis(span));
    }

    /// Opens a connection if the platform would.
    fn connect(&mut self) -> Option<SeenConnection> {
        if !self.audit.node.accepts_connections.load(Ordering::SeqCst) {
            return None;
        }
        let began = Instant::now();
        match JobConnection::connect(&self.address) {
            Ok(connection) => self.rest_before_first_request(began, connection),
            Err(error) => {
                self.audit.judge_refused(began, &error);
                None
            }
        }
    }

    /// Lets a client wait on its new connection. Returns the connection unless the node has closed it meanwhile.
    fn rest_before_first_request(
        &mut self,
        opened_at: Instant,
        mut connection: JobConnection,
    ) -> Option<SeenConnection> {
        match self.kind {
            ClientKind::OneShot => sleep(self.random.millis(0..400)),
            ClientKind::Resting => sleep(self.random.millis(500..2400)),
            _ => {}
        }
        let seen_open_at = Instant::now();
        if self.is_quiet(&mut connection) {
            return Some(SeenConnection {
                connection,
                seen_open_at,
            });
        }
        if self.kind != ClientKind::Resting {
            self.audit.judge_closed_unused(opened_at);
        }
        None
    }

    /// Sends one job and judges its end. Returns the connection if it can be used again.
    fn run_job(&mut self, seen: SeenConnection, job: usize) -> Option<SeenConnection> {
        let SeenConnection {
            mut connection,
            mut seen_open_at,
        } = seen;
        let looks_before = self.kind == ClientKind::Careful;
        if connection.was_used() && looks_before && !self.is_quiet(&mut connection) {
            return None;
        }
        let request = JobRequest {
            txn: format!("c{}-{job}", self.number),
            class: job_class(job),
            time_left: self.random.millis(300..2500),
        };
        let began = self.send(&request, &mut connection, seen_open_at)?;
        let deadline = began + request.time_left + PATIENCE;
        match connection.receive(deadline) {
            Ok(answer) => {
                self.audit.judge_answer(&request, began, &answer);
                seen_open_at = Instant::now();
                let is_quiet = self.is_quiet(&mut connection);
                let seen = SeenConnection {
                    connection,
                    seen_open_at,
                };
                (is_quiet && !answer.closes).then_some(seen)
            }
            Err(end) => {
                let unanswered = UnansweredRequest {
                    request,
                    began,
                    connection,
                    seen_open_at,
                    has_rested: self.kind == ClientKind::Resting,
                };
                self.audit.judge_unanswered(unanswered, &end);
                None
            }
        }
    }

    /// Sends a request and returns when its last piece began, or none if the connection ended before.
    fn send(
        &mut self,
        request: &JobRequest,
        connection: &mut JobConnection,
        seen_open_at: Instant,
    ) -> Option<Instant> {
        let mut bytes = request.encode();
        let mut began = Instant::now();
        if self.kind == ClientKind::Slow {
            let rest = bytes.split_off(bytes.len() / 2);
            connection.send_bytes(&bytes).ok()?;
            sleep(self.random.millis(1..2300));
            // The node may end a connection on which a request is not complete.
            let (early, is_closed) = connection.check_rest();
            if early > 0 {
                self.judge_early_answer(request, connection);
            }
            if early > 0 || is_closed {
                return None;
            }
            bytes = rest;
            began = Instant::now();
        }
        if connection.send_bytes(&bytes).is_err() {
            self.audit.judge_unsent(request, seen_open_at, connection);
            return None;
        }
        Some(began)
    }

    /// Judges an answer that comes before its request is complete.
    fn judge_early_answer(&self, request: &JobRequest, connection: &mut JobConnection) {
        let began = Instant::now();
        match connection.receive(began + PATIENCE) {
            Ok(answer) => self.audit.judge_answer(request, began, &answer),
            Err(end) => {
                let txn = &request.txn;
                self.audit
                    .fault(format!("lost: an early answer to {txn} was cut: {end}"));
            }
        }
    }

    /// Whether the connection is open and nothing has come without a request. A second answer is a fault.
    fn is_quiet(&self, connection: &mut JobConnection) -> bool {
        let (bytes, is_closed) = connection.check_rest();
        if bytes > 0 {
            let number = self.number;
            self.audit.fault(format!(
                "answered twice: client {number} got {bytes} bytes more"
            ));
        }
        bytes == 0 && !is_closed
    }
}
