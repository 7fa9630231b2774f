//! The links to the workers: a pool of connections, one attempt or probe at a time on each.

mod connection;
mod events;
mod exchange;
mod http_exchange;
mod pool;
mod report;
mod submission_exchange;

use crate::clock::millis;
use crate::core::{AttemptCommand, AttemptEnd, Core};
use crate::fleet::{AttemptTarget, Fleet};
use crate::net::{Net, Token};
use connection::{AttemptId, EncodedAttempt, Purpose, WorkerConnection};
use exchange::Exchange;
use http_exchange::HttpExchange;
use marbledeck_dispatcher::{LoadReport, Micros, Outcome, RequestId, WorkerId};
use marbledeck_membership::{Endpoint, HealthEvidence};
use marbledeck_platform_settings::ReportFields;
use pool::Pool;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use submission_exchange::SubmissionExchange;

/// The module of all log lines about workers.
const LOG_TARGET: &str = "marbledeck_node::workers";

/// A worker that has not answered a probe within this time is not well.
const PROBE_TIMEOUT: Micros = millis(500);

/// An attempt that begins so long after it was encoded is encoded anew. Workers may be told of 0.15 s too much.
const MAX_DEADLINE_AGE: Micros = millis(10);

/// What the links need to know of the workers.
pub struct WorkersConfig {
    /// Which fields of a load report count, and how.
    pub report_fields: ReportFields,
    /// Workers answer a probe of their load; else only one of their health.
    pub has_load_endpoint: bool,
    /// Workers close a connection that has been idle for this long.
    pub idle_timeout: Micros,
    /// How long a connect may take.
    pub connect_timeout: Micros,
    /// How often a worker reports progress of an attempt that runs, if it does.
    pub progress_interval: Option<Micros>,
    /// How many connections there may be.
    pub max_connections: usize,
    /// The workers that take attempts by batch submission.
    pub submission_workers: HashSet<WorkerId>,
}

/// Why an attempt or probe was withdrawn before its first byte left.
#[derive(Clone, Copy, Debug, thiserror::Error)]
enum WithdrawalReason {
    #[error("its time to be sent is over")]
    TooLate,
    #[error("its request is closed")]
    RequestClosed,
    #[error("its worker is not as it was when it was decided")]
    WorkerChanged,
    #[error("the licence seats are no longer valid")]
    SeatsExpired,
}

/// A worker's load as it reported it last.
#[derive(Clone, Copy, Debug)]
pub struct LastReport {
    /// When it came.
    pub received: Micros,
    /// What it says.
    pub report: LoadReport,
}

/// The links to all workers.
pub struct Workers {
    config: WorkersConfig,
    pool: Pool,
    /// Connections with an attempt or probe of which something may still be to be written.
    sending: Vec<Token>,
    load_reports: HashMap<WorkerId, LastReport>,
    /// Whether evidence of which workers are there is wanted.
    pub collects_evidence: bool,
    /// What attempts and health checks have shown of workers.
    pub evidence: Vec<(WorkerId, HealthEvidence)>,
}

impl Workers {
    /// Links without any connection yet.
    pub fn new(config: WorkersConfig) -> Self {
        Workers {
            pool: Pool::new(config.max_connections),
            config,
            sending: Vec::new(),
            load_reports: HashMap::new(),
            collects_evidence: false,
            evidence: Vec::new(),
        }
    }

    /// What a worker reported last of its load.
    pub fn load_report(&self, worker: WorkerId) -> Option<LastReport> {
        self.load_reports.get(&worker).copied()
    }

    /// How many attempts are in flight at each worker.
    pub fn attempts_in_flight(&self) -> HashMap<WorkerId, usize> {
        self.pool.attempts_in_flight()
    }

    /// Sets how many connections there may be; idle ones beyond that are closed.
    pub fn set_max_connections(&mut self, max: usize, net: &mut Net) {
        self.pool.set_max_connections(max, net);
    }

    /// When [`Workers::wake`] is next wanted.
    pub fn next_wake(&self) -> Option<Micros> {
        self.pool.next_deadline()
    }

    /// Starts an attempt at a worker, given as it is now. One that cannot even be begun could not connect.
    pub fn start_attempt(
        &mut self,
        now: Micros,
        command: &AttemptCommand,
        target: Option<(AttemptTarget, &Endpoint)>,
        net: &mut Net,
        core: &mut Core,
    ) {
        let (request, number) = (command.request, command.attempt);
        let sent = target.is_some_and(|(target, endpoint)| {
            let bytes = self.encode_attempt(now, command, endpoint.address);
            let exchange = self.attempt_exchange(command);
            let purpose = Purpose::Attempt(AttemptId { request, number });
            let connection = WorkerConnection {
                target: Some(target),
                send_before: command.send_before,
                encoded_attempt: Some(EncodedAttempt {
                    command: command.clone(),
                    encoded_at: now,
                }),
                ..WorkerConnection::new(command.worker, purpose, exchange, now)
            };
            self.send(now, endpoint, connection, &bytes, net)
        });
        if !sent {
            let end = AttemptEnd::new(Outcome::ConnectFailed);
            core.handle_attempt_ended(now, request, number, end);
        }
    }

    /// The bytes of an attempt, which say how long the client still waits.
    fn encode_attempt(
        &self,
        now: Micros,
        command: &AttemptCommand,
        address: SocketAddr,
    ) -> Vec<u8> {
        let payload = &command.payload;
        let remaining = command.deadline - now;
        if self.config.submission_workers.contains(&command.worker) {
            return submission_exchange::attempt_request(payload, remaining);
        }
        http_exchange::attempt_request(payload, &address.to_string(), remaining)
    }

    /// The response that an attempt leads to.
    fn attempt_exchange(&self, command: &AttemptCommand) -> Exchange {
        let id = &command.payload.transaction_id;
        let report_fields = self.config.report_fields;
        if self.config.submission_workers.contains(&command.worker) {
            Exchange::Submission(SubmissionExchange::new(id, report_fields))
        } else {
            Exchange::Http(HttpExchange::attempt(id.clone(), report_fields))
        }
    }

    /// Encodes the attempts anew that are about to begin and were encoded a while ago, since their connections came up
    /// late: what a worker is told of the time left is then too much.
    pub fn refresh_deadlines(&mut self, now: Micros, net: &mut Net) {
        let sending = std::mem::take(&mut self.sending);
        for token in &sending {
            self.refresh_deadline(now, *token, net);
        }
        self.sending = sending;
    }

    fn refresh_deadline(&mut self, now: Micros, token: Token, net: &mut Net) {
        let (Some(connection), Some(conn)) = (self.pool.get(token), net.get(token)) else {
            return;
        };
        let is_leaving = !conn.is_connecting() && connection.is_unsent(conn);
        let attempt = connection.encoded_attempt.as_ref();
        let attempt = attempt.filter(|attempt| now - attempt.encoded_at > MAX_DEADLINE_AGE);
        let (Some(attempt), Some(target)) = (attempt, &connection.target) else {
            return;
        };
        if !is_leaving {
            return;
        }
        let bytes = self.encode_attempt(now, &attempt.command, target.address);
        conn.output.consume(usize::MAX);
        let is_written = conn.output.push(&bytes);
        debug_assert!(is_written, "no longer than the bytes before");
        if let Some(connection) = self.pool.get_mut(token) {
            connection.request_bytes = bytes.len();
            if let Some(attempt) = &mut connection.encoded_attempt {
                attempt.encoded_at = now;
            }
        }
    }

    /// Asks a worker for its load. One that takes attempts by batch submission has no such query: its probe succeeds
    /// without a report.
    pub fn probe(
        &mut self,
        now: Micros,
        worker: WorkerId,
        target: Option<(AttemptTarget, &Endpoint)>,
        net: &mut Net,
        core: &mut Core,
    ) {
        if self.config.submission_workers.contains(&worker) {
            return core.handle_probe_result(now, worker, Outcome::Served, None);
        }
        let path = if self.config.has_load_endpoint {
            http_exchange::LOAD_PATH
        } else {
            http_exchange::HEALTH_PATH
        };
        let sent = target.is_some_and(|(target, endpoint)| {
            let bytes = http_exchange::probe_request(&endpoint.address.to_string(), path);
            let exchange = Exchange::Http(HttpExchange::probe(self.config.report_fields));
            let connection = WorkerConnection {
                target: Some(target),
                ..WorkerConnection::new(worker, Purpose::LoadProbe, exchange, now)
            };
            self.send(now, endpoint, connection, &bytes, net)
        });
        if !sent {
            core.handle_probe_result(now, worker, Outcome::ConnectFailed, None);
        }
    }

    /// Asks whether a suspected worker is there; the answer is added to [`Workers::evidence`]. One that takes attempts
    /// by batch submission cannot be asked.
    pub fn check_health(
        &mut self,
        now: Micros,
        worker: WorkerId,
        endpoint: Option<&Endpoint>,
        net: &mut Net,
    ) {
        if self.config.submission_workers.contains(&worker) {
            return;
        }
        let sent = endpoint.is_some_and(|endpoint| {
            let host = endpoint.address.to_string();
            let bytes = http_exchange::probe_request(&host, http_exchange::HEALTH_PATH);
            let exchange = Exchange::Http(HttpExchange::probe(self.config.report_fields));
            let connection = WorkerConnection::new(worker, Purpose::HealthCheck, exchange, now);
            self.send(now, endpoint, connection, &bytes, net)
        });
        if !sent {
            self.evidence.push((worker, HealthEvidence::Unreachable));
        }
    }

    /// Puts a request on an idle connection, or on a new one. Returns whether it could.
    fn send(
        &mut self,
        now: Micros,
        endpoint: &Endpoint,
        mut connection: WorkerConnection,
        bytes: &[u8],
        net: &mut Net,
    ) -> bool {
        let Some(token) = self.pool.acquire(now, connection.worker, endpoint, net) else {
            return false;
        };
        // A reused one is still entered as the idle connection that it was.
        connection.reused_without_response = self.pool.get(token).is_some();
        connection.request_bytes = bytes.len();
        if !net.write(token, bytes) {
            self.pool.remove(token, net);
            return false;
        }
        let connecting = net.get(token).is_some_and(|conn| conn.is_connecting());
        let deadline = match connection.purpose {
            _ if connecting => Some(now + self.config.connect_timeout),
            Purpose::LoadProbe | Purpose::HealthCheck => Some(now + PROBE_TIMEOUT),
            _ => None,
        };
        if connection.target.is_some() {
            self.sending.push(token);
        }
        self.pool.insert(token, connection, deadline);
        true
    }

    /// Stops waiting for an attempt: its connection is closed, which tells the worker.
    pub fn cancel_attempt(&mut self, request: RequestId, number: u32, net: &mut Net) {
        if let Some(token) = self.pool.carrier(AttemptId { request, number }) {
            self.pool.remove(token, net);
        }
    }

    /// Counts the attempts that have left completely; to be called when all was written out that the sockets take.
    pub fn record_written(&mut self, net: &mut Net, core: &mut Core) {
        let pool = &mut self.pool;
        self.sending.retain(|token| {
            let connection = pool.get_mut(*token).filter(|connection| {
                matches!(connection.purpose, Purpose::Attempt(_) | Purpose::LoadProbe)
            });
            let (Some(connection), Some(conn)) = (connection, net.get(*token)) else {
                return false;
            };
            connection.record_written(conn, core);
            !connection.written && (conn.is_connecting() || !conn.output.is_empty())
        });
    }

    /// Whether an attempt or probe has not left completely.
    pub fn has_unsent(&self) -> bool {
        !self.sending.is_empty()
    }

    /// The requests of which an attempt leaves when all is written out next: its connection is up.
    pub fn requests_leaving(&self, net: &mut Net) -> Vec<RequestId> {
        let is_up = |token: &&Token| net.get(**token).is_some_and(|conn| !conn.is_connecting());
        let tokens = self.sending.iter().filter(is_up);
        let connections = tokens.filter_map(|token| self.pool.get(*token));
        connections
            .filter_map(WorkerConnection::unwritten_attempt)
            .collect()
    }

    /// Takes back what may no longer start, at the last moment before its first byte leaves.
    ///
    /// An attempt starts with that byte for its worker, which must be as it was when the attempt was decided: not
    /// draining, gone, restarted, out of service, or named by a list that is too old. So it does for its licence seats.
    /// For its request it starts with the last byte: one that is closed makes no further attempt, nor one whose effect
    /// allows none any more. What is taken back has never run, and shows nothing of its worker.
    pub fn withdraw_stale(&mut self, now: Micros, fleet: &Fleet, net: &mut Net, core: &mut Core) {
        let seats_expired = core
            .seats_valid_until()
            .is_some_and(|deadline| deadline <= now);
        let mut stale = Vec::new();
        for token in &self.sending {
            let (Some(connection), Some(conn)) = (self.pool.get(*token), net.get(*token)) else {
                continue;
            };
            let is_unsent = connection.is_unsent(conn);
            let target = connection.target.as_ref();
            let target_is_current = target.is_some_and(|target| fleet.is_current(target));
            let reason = match connection.purpose {
                Purpose::Attempt(AttemptId { request, .. }) if !connection.written => {
                    let send_before = connection.send_before;
                    if send_before.is_some_and(|deadline| deadline <= now) {
                        Some(WithdrawalReason::TooLate)
                    } else if core.is_closed(request) {
                        Some(WithdrawalReason::RequestClosed)
                    } else if is_unsent && !target_is_current {
                        Some(WithdrawalReason::WorkerChanged)
                    } else if is_unsent && seats_expired && core.needs_seats(request) {
                        Some(WithdrawalReason::SeatsExpired)
                    } else {
                        None
                    }
                }
                Purpose::LoadProbe if is_unsent && !target_is_current => {
                    Some(WithdrawalReason::WorkerChanged)
                }
                _ => None,
            };
            if let Some(reason) = reason {
                log::debug!(target: LOG_TARGET, "{}: withdrawn: {reason}", connection.purpose);
                stale.push(*token);
            }
        }
        for token in stale {
            self.fail(now, token, Outcome::NotSent, net, core);
        }
    }

    /// Forgets a worker that is gone, has moved or was restarted: its idle connections are of no use.
    pub fn forget_worker(&mut self, worker: WorkerId, net: &mut Net) {
        self.load_reports.remove(&worker);
        self.pool.close_idle(worker, net);
    }
}
