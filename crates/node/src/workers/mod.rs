//! The worker connections: a pool in which each connection carries one attempt or probe at a time.

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

/// The log target of all messages from this module and its submodules.
const LOG_TARGET: &str = "marbledeck_node::workers";

/// How long a worker may take to answer a probe before the probe fails.
const PROBE_TIMEOUT: Micros = millis(500);

/// An unsent attempt older than this is re-encoded with the current remaining time. The remaining time that a worker is
/// told may be at most 0.15 s too long.
const MAX_DEADLINE_AGE: Micros = millis(10);

/// Settings of the worker connections.
pub struct WorkersConfig {
    /// How the fields of a load report are interpreted.
    pub report_fields: ReportFields,
    /// Whether workers answer load probes; otherwise they only answer health checks.
    pub has_load_endpoint: bool,
    /// How long workers keep an idle connection open.
    pub idle_timeout: Micros,
    /// How long a connect may take.
    pub connect_timeout: Micros,
    /// The interval at which workers report the progress of a running attempt, if they do.
    pub progress_interval: Option<Micros>,
    /// The maximum number of connections.
    pub max_connections: usize,
    /// The workers that take attempts over the submission protocol.
    pub submission_workers: HashSet<WorkerId>,
}

/// Why an attempt or probe was withdrawn before it was written.
#[derive(Clone, Copy, Debug, thiserror::Error)]
enum WithdrawalReason {
    #[error("its send deadline has passed")]
    TooLate,
    #[error("its request is closed")]
    RequestClosed,
    #[error("its worker has changed since the decision")]
    WorkerChanged,
    #[error("the lease on the licence seats has expired")]
    SeatsExpired,
}

/// A worker's latest load report.
#[derive(Clone, Copy, Debug)]
pub struct LastReport {
    /// When it arrived.
    pub received: Micros,
    /// The report.
    pub report: LoadReport,
}

/// The connections to all workers.
pub struct Workers {
    config: WorkersConfig,
    pool: Pool,
    /// Connections with an attempt or probe that may not be completely written yet.
    sending: Vec<Token>,
    load_reports: HashMap<WorkerId, LastReport>,
    /// Whether to collect evidence of which workers are alive.
    pub collects_evidence: bool,
    /// Which workers were shown alive or unreachable by attempts, probes and health checks.
    pub evidence: Vec<(WorkerId, HealthEvidence)>,
}

impl Workers {
    /// Creates an empty pool with these settings.
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

    /// A worker's latest load report.
    pub fn load_report(&self, worker: WorkerId) -> Option<LastReport> {
        self.load_reports.get(&worker).copied()
    }

    /// How many attempts are in flight at each worker.
    pub fn attempts_in_flight(&self) -> HashMap<WorkerId, usize> {
        self.pool.attempts_in_flight()
    }

    /// Sets the maximum number of connections; idle ones beyond that are closed.
    pub fn set_max_connections(&mut self, max: usize, net: &mut Net) {
        self.pool.set_max_connections(max, net);
    }

    /// When to call [`Workers::wake`] next.
    pub fn next_wake(&self) -> Option<Micros> {
        self.pool.next_deadline()
    }

    /// Starts an attempt at a worker; `target` is its current state, none if it is gone. If no connection is available
    /// or it cannot take the request, the attempt ends as a failed connect.
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

    /// Encodes the request of an attempt, which tells the worker how long the client will still wait.
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

    /// Creates the reader of an attempt's response.
    fn attempt_exchange(&self, command: &AttemptCommand) -> Exchange {
        let id = &command.payload.transaction_id;
        let report_fields = self.config.report_fields;
        if self.config.submission_workers.contains(&command.worker) {
            Exchange::Submission(SubmissionExchange::new(id, report_fields))
        } else {
            Exchange::Http(HttpExchange::attempt(id.clone(), report_fields))
        }
    }

    /// Re-encodes attempts that are about to be written but were encoded too long ago because connecting was slow:
    /// otherwise, the worker would be told too long a remaining time.
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
        let is_about_to_be_written = !conn.is_connecting() && connection.is_unsent(conn);
        let attempt = connection.encoded_attempt.as_ref();
        let attempt = attempt.filter(|attempt| now - attempt.encoded_at > MAX_DEADLINE_AGE);
        let (Some(attempt), Some(target)) = (attempt, &connection.target) else {
            return;
        };
        if !is_about_to_be_written {
            return;
        }
        let bytes = self.encode_attempt(now, &attempt.command, target.address);
        conn.output.consume(usize::MAX);
        let is_written = conn.output.push(&bytes);
        debug_assert!(
            is_written,
            "the re-encoded request does not fit where the longer one did"
        );
        if let Some(connection) = self.pool.get_mut(token) {
            connection.request_bytes = bytes.len();
            if let Some(attempt) = &mut connection.encoded_attempt {
                attempt.encoded_at = now;
            }
        }
    }

    /// Asks a worker for its load. The submission protocol has no load query, so the probe of a worker that uses it
    /// succeeds at once without a report.
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

    /// Checks whether a suspected worker is still up, and adds the answer to [`Workers::evidence`]. A worker that uses
    /// the submission protocol cannot be asked.
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

    /// Puts a request on an idle connection or a new one. Returns false if there is none or its buffer is too small.
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
        // Only a reused connection is in the pool at this point, still as an idle one.
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

    /// Abandons an attempt by closing its connection, which also notifies the worker.
    pub fn cancel_attempt(&mut self, request: RequestId, number: u32, net: &mut Net) {
        if let Some(token) = self.pool.attempt_connection(AttemptId { request, number }) {
            self.pool.remove(token, net);
        }
    }

    /// Counts the attempts that are completely written. To be called after the sockets were flushed.
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

    /// Whether an attempt or probe may not be completely written yet.
    pub fn has_unsent(&self) -> bool {
        !self.sending.is_empty()
    }

    /// The requests whose attempt will be written by the next flush because its connection is established.
    pub fn requests_leaving(&self, net: &mut Net) -> Vec<RequestId> {
        let is_established =
            |token: &&Token| net.get(**token).is_some_and(|conn| !conn.is_connecting());
        let tokens = self.sending.iter().filter(is_established);
        let connections = tokens.filter_map(|token| self.pool.get(*token));
        connections
            .filter_map(WorkerConnection::unwritten_attempt)
            .map(|attempt| attempt.request)
            .collect()
    }

    /// Withdraws attempts and probes that may no longer start, immediately before they would be written.
    ///
    /// Until the first byte is written, an attempt is withdrawn if its worker has changed since the decision (draining,
    /// gone, restarted, out of service, or named only by a worker list that is too old) or if the lease on its licence
    /// seats has expired. Until the last byte is written, it is also withdrawn if its request is closed or its send
    /// deadline has passed. A withdrawn attempt has never run, and says nothing about its worker's health.
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

    /// Drops the load report and the idle connections of a worker that is gone, has moved or was restarted.
    pub fn forget_worker(&mut self, worker: WorkerId, net: &mut Net) {
        self.load_reports.remove(&worker);
        self.pool.forget_worker(worker, net);
    }
}
