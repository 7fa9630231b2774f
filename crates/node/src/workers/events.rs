//! Handles events on the workers' connections: responses, failures and timeouts.

use super::connection::{self, Purpose};
use super::exchange::{Completion, ReadProgress};
use super::{LastReport, Workers};
use crate::clock::millis;
use crate::core::{AttemptEnd, Core};
use crate::net::{Net, Token};
use marbledeck_dispatcher::{Micros, Outcome, WorkerId};
use marbledeck_membership::HealthEvidence;

/// How long a connection may take to receive the rest of a response after the attempt or probe has ended.
const REMAINDER_TIMEOUT: Micros = millis(1000);

/// After this many progress intervals without a report, a running attempt counts as lost: its machine is gone, or has
/// stalled for longer than any normal pause.
const MISSED_PROGRESS_LIMIT: u64 = 3;

impl Workers {
    /// Handles an event on a worker's connection.
    pub fn handle_ready(&mut self, now: Micros, token: Token, net: &mut Net, core: &mut Core) {
        let (Some(connection), Some(conn)) = (self.pool.get_mut(token), net.get(token)) else {
            return net.close(token);
        };
        if connection.purpose == Purpose::Idle {
            let (worker, has_input) = (connection.worker, !conn.input.is_empty());
            self.pool.remove(token, net);
            if has_input {
                // Data without a request shows a faulty worker and says nothing about the others.
                return self.pool.pause_reuse_of(now, worker, net);
            }
            // The worker closed the connection before its idle timeout. The other idle connections may be dead, too,
            // without an event that shows it.
            return self.pool.pause_reuse(now, net);
        }
        let worker = connection.worker;
        connection.record_written(conn, core);
        connection.reused_without_response &= conn.input.is_empty();
        let failure = connection::failure(conn);
        let reused_was_dead = connection.reused_without_response && failure.is_some();
        let progress = connection.read(conn);
        if !conn.is_connecting() {
            let interval = self.config.progress_interval;
            let progress_timeout =
                interval.map(|interval| Micros(MISSED_PROGRESS_LIMIT * interval.0));
            let deadline = connection.response_deadline(now, &progress, progress_timeout);
            self.pool.set_deadline(token, deadline);
        }
        if reused_was_dead {
            self.pool.pause_reuse(now, net);
        }
        self.handle_progress(now, token, progress, core);
        if !self.pool.may_reuse(now, worker) && self.is_idle(token) {
            self.pool.remove(token, net);
        }
        let Some(outcome) = failure else {
            return;
        };
        if self.is_idle(token) {
            self.pool.remove(token, net);
        } else {
            self.fail(now, token, outcome, net, core);
        }
    }

    fn is_idle(&self, token: Token) -> bool {
        let connection = self.pool.get(token);
        connection.is_some_and(|connection| connection.purpose == Purpose::Idle)
    }

    /// Reports the progress that a read of a connection brought to the core.
    fn handle_progress(
        &mut self,
        now: Micros,
        token: Token,
        progress: ReadProgress,
        core: &mut Core,
    ) {
        let Some(connection) = self.pool.get_mut(token) else {
            return;
        };
        let worker = connection.worker;
        if let (true, Purpose::Attempt(attempt)) = (progress.started, connection.purpose) {
            core.handle_attempt_started(now, attempt.request, attempt.number);
        }
        if let Some(end) = progress.end {
            let purpose = std::mem::replace(&mut connection.purpose, Purpose::Remainder);
            self.pool.set_deadline(token, Some(now + REMAINDER_TIMEOUT));
            self.handle_end(now, worker, purpose, end, core);
        }
        match progress.completion {
            Completion::Partial => {}
            Completion::Reusable => {
                // Expires well before the worker closes it: a request sent while the worker closes would be lost.
                let idle_timeout = Micros(self.config.idle_timeout.0 / 2);
                self.pool.keep_idle(token, now + idle_timeout);
            }
            Completion::Closed => self.pool.set_deadline(token, Some(now)),
        }
    }

    /// Reports the end of an attempt or probe to the core.
    fn handle_end(
        &mut self,
        now: Micros,
        worker: WorkerId,
        purpose: Purpose,
        end: AttemptEnd,
        core: &mut Core,
    ) {
        self.record_evidence(worker, purpose, end.outcome);
        if let Some(report) = end.report {
            let received = now;
            self.load_reports
                .insert(worker, LastReport { received, report });
        }
        match purpose {
            Purpose::Attempt(attempt) => {
                self.pool.end_attempt(attempt);
                core.handle_attempt_ended(now, attempt.request, attempt.number, end);
            }
            Purpose::LoadProbe => core.handle_probe_result(now, worker, end.outcome, end.report),
            Purpose::HealthCheck | Purpose::Remainder | Purpose::Idle => {}
        }
    }

    /// Records whether the end of an attempt, probe or health check shows that a worker is alive or unreachable.
    fn record_evidence(&mut self, worker: WorkerId, purpose: Purpose, outcome: Outcome) {
        if !self.collects_evidence {
            return;
        }
        let evidence = match (purpose, outcome) {
            (Purpose::Remainder | Purpose::Idle, _) | (_, Outcome::NotSent) => return,
            (_, Outcome::Served | Outcome::Rejected | Outcome::Failed) => HealthEvidence::Alive,
            (_, Outcome::ConnectFailed) => HealthEvidence::Unreachable,
            (Purpose::HealthCheck | Purpose::LoadProbe, _) => HealthEvidence::Unreachable,
            // A broken or cancelled attempt has many possible causes and shows neither.
            _ => return,
        };
        self.evidence.push((worker, evidence));
    }

    /// Closes a failed connection and ends its attempt or probe with this outcome.
    pub(super) fn fail(
        &mut self,
        now: Micros,
        token: Token,
        outcome: Outcome,
        net: &mut Net,
        core: &mut Core,
    ) {
        if let Some(connection) = self.pool.remove(token, net) {
            let end = AttemptEnd::new(outcome);
            self.handle_end(now, connection.worker, connection.purpose, end, core);
        }
    }

    /// Closes the connections whose deadline has passed: connecting, waiting for a response or idle for too long.
    pub fn wake(&mut self, now: Micros, net: &mut Net, core: &mut Core) {
        while let Some(token) = self.pool.first_expired(now) {
            let connecting = net.get(token).is_some_and(|conn| conn.is_connecting());
            let outcome = if connecting {
                Outcome::ConnectFailed
            } else {
                Outcome::TimedOut
            };
            self.fail(now, token, outcome, net, core);
        }
    }
}
