//! SIGTERM: the steps of the graceful shutdown.
//!
//! The node first drains: it still accepts connections for [`ACCEPT_GRACE`], because the platform's front ends notice
//! the shutdown with some delay, or until a successor serves. Then it stops accepting and finishes the open requests.
//! Requests that are still open shortly before SIGKILL are ended with a final answer.

use super::{signals, Node};
use crate::clock::millis;
use crate::handover::Message;
use marbledeck_dispatcher::Micros;

/// How long new connections are accepted after SIGTERM.
const ACCEPT_GRACE: Micros = millis(700);
/// Time from SIGTERM to SIGKILL, beyond the longest deadline of any class.
const KILL_DELAY: Micros = millis(700);
/// Upper bound on a class deadline in the shutdown schedule, and on the time in which a successor must take over the
/// state of the services.
const MAX_DEADLINE: Micros = millis(3000);
/// How long before SIGKILL all open requests are ended. This leaves time to send their answers even on a busy machine.
const END_REQUESTS_MARGIN: Micros = millis(300);
/// How long before SIGKILL the process exits once everything is answered, even if clients keep connections open.
const EXIT_MARGIN: Micros = millis(100);
/// How long a request that was received only in part may take to arrive completely.
const INCOMPLETE_REQUEST_TIMEOUT: Micros = millis(1000);

/// Stage of the process between start and exit.
pub(super) enum Lifecycle {
    /// Accepts and serves requests.
    Serving,
    /// SIGTERM was received; new connections are still accepted.
    Draining {
        /// When the node stops accepting connections.
        close_at: Micros,
        /// The deadlines of the shutdown.
        deadlines: Deadlines,
    },
    /// No connections are accepted; open requests are being finished.
    Closed {
        /// When requests that were received only in part are next dropped.
        drop_incomplete_at: Micros,
        /// Until when the process waits for a successor to take over the state of the services; `None` if it does not
        /// wait.
        successor_timeout: Option<Micros>,
        /// The deadlines of the shutdown.
        deadlines: Deadlines,
    },
}

/// Steps of the shutdown at fixed times after SIGTERM.
#[derive(Clone, Copy)]
pub(super) struct Deadlines {
    /// When the requests that are still open are ended; `None` once that is done.
    end_requests_at: Option<Micros>,
    /// From when the process may exit even if clients or workers keep connections open.
    exit_at: Micros,
}

impl Deadlines {
    fn new(now: Micros, longest_deadline: Micros) -> Self {
        let sigkill_at = now + longest_deadline.min(MAX_DEADLINE) + KILL_DELAY;
        Deadlines {
            end_requests_at: Some(sigkill_at - END_REQUESTS_MARGIN),
            exit_at: sigkill_at - EXIT_MARGIN,
        }
    }
}

impl Lifecycle {
    /// When the next step of the shutdown is due.
    pub(super) fn next_wake(&self) -> Option<Micros> {
        let (step_at, successor_timeout) = match self {
            Lifecycle::Serving => return None,
            Lifecycle::Draining { close_at, .. } => (*close_at, None),
            Lifecycle::Closed {
                drop_incomplete_at,
                successor_timeout,
                ..
            } => (*drop_incomplete_at, *successor_timeout),
        };
        let deadlines = self.deadlines()?;
        [
            Some(step_at),
            deadlines.end_requests_at,
            Some(deadlines.exit_at),
            successor_timeout,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Whether SIGTERM was received.
    pub(super) fn is_shutting_down(&self) -> bool {
        !matches!(self, Lifecycle::Serving)
    }

    /// Whether the node has stopped accepting connections.
    pub(super) fn is_closed(&self) -> bool {
        matches!(self, Lifecycle::Closed { .. })
    }

    /// Stops waiting for the successor when its timeout has expired.
    pub(super) fn expire_successor_timeout(&mut self, now: Micros) {
        if let Lifecycle::Closed {
            successor_timeout, ..
        } = self
        {
            *successor_timeout = successor_timeout.filter(|timeout| *timeout > now);
        }
    }

    /// Whether the open requests must be ended now. Returns true only once.
    pub(super) fn take_end_requests_due(&mut self, now: Micros) -> bool {
        let deadlines = match self {
            Lifecycle::Serving => return false,
            Lifecycle::Draining { deadlines, .. } | Lifecycle::Closed { deadlines, .. } => {
                deadlines
            }
        };
        let is_due = deadlines.end_requests_at.is_some_and(|due| due <= now);
        if is_due {
            deadlines.end_requests_at = None;
        }
        is_due
    }

    fn deadlines(&self) -> Option<Deadlines> {
        match self {
            Lifecycle::Serving => None,
            Lifecycle::Draining { deadlines, .. } | Lifecycle::Closed { deadlines, .. } => {
                Some(*deadlines)
            }
        }
    }

    /// Stops accepting connections and starts to finish the open requests.
    fn close(&mut self, now: Micros, successor_timeout: Option<Micros>) {
        if let Some(deadlines) = self.deadlines() {
            *self = Lifecycle::Closed {
                drop_incomplete_at: now + INCOMPLETE_REQUEST_TIMEOUT,
                successor_timeout,
                deadlines,
            };
        }
    }
}

impl Node {
    /// Starts to drain on SIGTERM: open requests are finished, and new ones are still served for a while.
    pub(super) fn shut_down(&mut self, now: Micros) {
        signals::drain(&mut self.signals.terminate);
        if self.lifecycle.is_shutting_down() {
            return;
        }
        log::info!("ending: received SIGTERM; draining");
        let longest_deadline = self.context.core.names().max_deadline();
        self.lifecycle = Lifecycle::Draining {
            close_at: now + ACCEPT_GRACE,
            deadlines: Deadlines::new(now, longest_deadline),
        };
        self.clients.draining = true;
        for service in &mut self.services {
            service.begin_shutdown(now);
        }
        self.handover
            .send_to_all(&Message::ShuttingDown, &mut self.context.net);
        if self.handover.has_serving_successor() {
            self.close_for_successor(now);
        }
    }

    /// Stops accepting connections because the successor serves. The services get up to [`MAX_DEADLINE`] to hand over
    /// their state.
    pub(super) fn close_for_successor(&mut self, now: Micros) {
        self.lifecycle.close(now, Some(now + MAX_DEADLINE));
        self.stop_accepting(now);
    }

    fn stop_accepting(&mut self, now: Micros) {
        self.clients.close_idle(now, &mut self.context.net);
        for service in &mut self.services {
            service.stop_accepting(now);
        }
    }

    /// Performs the shutdown steps that are due. Returns whether the process may exit.
    pub(super) fn is_finished(&mut self, now: Micros) -> bool {
        match &mut self.lifecycle {
            Lifecycle::Serving => return false,
            Lifecycle::Draining { close_at, .. } => {
                if *close_at <= now {
                    self.lifecycle.close(now, None);
                    self.stop_accepting(now);
                }
            }
            Lifecycle::Closed {
                drop_incomplete_at, ..
            } => {
                if *drop_incomplete_at <= now {
                    *drop_incomplete_at = now + INCOMPLETE_REQUEST_TIMEOUT;
                    self.clients.drop_incomplete(&mut self.context.net);
                }
            }
        }
        let Lifecycle::Closed {
            successor_timeout,
            deadlines,
            ..
        } = &self.lifecycle
        else {
            return false;
        };
        let net = &mut self.context.net;
        let is_handed_over = successor_timeout.is_none()
            || self.services.iter().all(|service| service.is_handed_over())
                && self.handover.is_flushed(net);
        let may_exit_with_open_connections = deadlines.exit_at <= now;
        // A predecessor that was told to end before this process has ended by the time of the exit.
        let must_relay =
            deadlines.exit_at > now && self.services.iter().any(|service| service.is_relaying());
        let is_sent =
            net.all_clients_closed() || may_exit_with_open_connections && net.is_flushed();
        let is_idle = self.clients.is_idle() && self.context.core.is_idle();
        is_idle && is_sent && is_handed_over && !must_relay
    }
}
