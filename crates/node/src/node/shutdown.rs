//! SIGTERM: the steps of the graceful shutdown.
//!
//! New connections are accepted for a while longer, since the platform's front ends notice with some delay; a successor
//! that serves ends this at once. Then nothing is accepted any more, and what is open is finished. What is still open
//! shortly before SIGKILL is settled: each request gets its final answer.

use super::{signals, Node};
use crate::clock::millis;
use crate::handover::Message;
use marbledeck_dispatcher::Micros;

/// For so long after SIGTERM new connections are accepted.
const ACCEPT_GRACE: Micros = millis(700);
/// SIGKILL comes this long after SIGTERM and the longest deadline of a class.
const KILL_DELAY: Micros = millis(700);
/// No deadline of a class counts for more than this; nor may a successor take longer for what the services pass on.
const MAX_DEADLINE: Micros = millis(3000);
/// So long before SIGKILL all that is open is settled: time for the answers to leave, on a busy machine too.
const SETTLE_MARGIN: Micros = millis(300);
/// So long before SIGKILL the process ends where all is answered, though some have not closed their connections yet.
const EXIT_MARGIN: Micros = millis(100);
/// How much longer a request may take that has begun to come.
const HALF_READ_TIMEOUT: Micros = millis(1000);

/// Where the process is between its start and its end.
pub(super) enum Lifecycle {
    /// It serves.
    Serving,
    /// SIGTERM has come; new connections are still accepted.
    Draining {
        /// When nothing is accepted any more.
        close_at: Micros,
        /// The deadlines of the shutdown.
        deadlines: Deadlines,
    },
    /// Nothing is accepted any more; what is open is being finished.
    Closed {
        /// When requests that have only come in part are next dropped.
        drop_half_read_at: Micros,
        /// Until then the successor may take over what the services pass on; none where that is not waited for.
        successor_timeout: Option<Micros>,
        /// The deadlines of the shutdown.
        deadlines: Deadlines,
    },
}

/// What is due at fixed times after SIGTERM.
#[derive(Clone, Copy)]
pub(super) struct Deadlines {
    /// When what is still open is settled; none once that is done.
    settle_at: Option<Micros>,
    /// From then on connections that others leave open do not keep the process from ending.
    exit_at: Micros,
}

impl Deadlines {
    fn new(now: Micros, longest_deadline: Micros) -> Self {
        let killed_at = now + longest_deadline.min(MAX_DEADLINE) + KILL_DELAY;
        Deadlines {
            settle_at: Some(killed_at - SETTLE_MARGIN),
            exit_at: killed_at - EXIT_MARGIN,
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
                drop_half_read_at,
                successor_timeout,
                ..
            } => (*drop_half_read_at, *successor_timeout),
        };
        let deadlines = self.deadlines()?;
        [
            Some(step_at),
            deadlines.settle_at,
            Some(deadlines.exit_at),
            successor_timeout,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Whether SIGTERM has come.
    pub(super) fn is_shutting_down(&self) -> bool {
        !matches!(self, Lifecycle::Serving)
    }

    /// Whether nothing is accepted any more.
    pub(super) fn is_closed(&self) -> bool {
        matches!(self, Lifecycle::Closed { .. })
    }

    /// Stops waiting for the successor once its time is over.
    pub(super) fn expire_successor_timeout(&mut self, now: Micros) {
        if let Lifecycle::Closed {
            successor_timeout, ..
        } = self
        {
            *successor_timeout = successor_timeout.filter(|timeout| *timeout > now);
        }
    }

    /// Whether what is open is to be settled now; true only once.
    pub(super) fn take_due_settling(&mut self, now: Micros) -> bool {
        let deadlines = match self {
            Lifecycle::Serving => return false,
            Lifecycle::Draining { deadlines, .. } | Lifecycle::Closed { deadlines, .. } => {
                deadlines
            }
        };
        let is_due = deadlines.settle_at.is_some_and(|due| due <= now);
        if is_due {
            deadlines.settle_at = None;
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

    /// Begins to finish what is open.
    fn close(&mut self, now: Micros, successor_timeout: Option<Micros>) {
        if let Some(deadlines) = self.deadlines() {
            *self = Lifecycle::Closed {
                drop_half_read_at: now + HALF_READ_TIMEOUT,
                successor_timeout,
                deadlines,
            };
        }
    }
}

impl Node {
    /// SIGTERM: begins to drain. What is open is finished, and what still comes is served.
    pub(super) fn shut_down(&mut self, now: Micros) {
        signals::drain(&mut self.signals.end);
        if self.lifecycle.is_shutting_down() {
            return;
        }
        log::info!("ending");
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

    /// The successor serves: nothing is accepted any more, and the services have some time to pass on what they hold.
    pub(super) fn close_for_successor(&mut self, now: Micros) {
        self.lifecycle.close(now, Some(now + MAX_DEADLINE));
        self.stop_accepting(now);
    }

    fn stop_accepting(&mut self, now: Micros) {
        self.clients.close_idle(now, &mut self.context.net);
        for service in &mut self.services {
            service.abandon(now);
        }
    }

    /// Takes the steps of the shutdown that are due, and tells whether the process may end.
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
                drop_half_read_at, ..
            } => {
                if *drop_half_read_at <= now {
                    *drop_half_read_at = now + HALF_READ_TIMEOUT;
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
        let may_leave_open = deadlines.exit_at <= now;
        let is_sent = net.all_clients_closed() || may_leave_open && net.is_flushed();
        self.clients.is_idle() && self.context.core.is_idle() && is_sent && is_handed_over
    }
}
