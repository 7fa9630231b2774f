//! What is remembered of a worker and of a kind of worker. Nothing is decided here.

use crate::request::Attempt;
use crate::{Micros, Outcome, WorkerEntry};

/// What is known of the workers of one kind: what one dispatcher sees of one worker is too little.
#[derive(Default)]
pub(crate) struct KindStatistics {
    /// How many are ready.
    pub ready: f64,
    /// The most free slots that any has ever reported.
    pub slots: f64,
    /// The part of all slots that other dispatchers use, a running mean.
    pub foreign_load: f64,
    /// How many reports that mean comes from.
    pub reports: f64,
}

/// Free slots that were seen at a moment.
#[derive(Clone, Copy)]
pub(crate) struct SlotsSeen {
    pub slots: f64,
    pub at: Micros,
}

/// How long the last own attempt to start was queued.
#[derive(Clone, Copy, Default)]
pub(crate) struct QueueDelay {
    pub delay: Micros,
    /// When that attempt started.
    pub measured_at: Micros,
}

impl QueueDelay {
    /// Whether it is recent against its own length.
    pub fn is_current(&self, now: Micros) -> bool {
        now - self.measured_at < self.delay
    }
}

/// Work that was sent.
#[derive(Clone, Copy)]
pub(crate) struct SentWork {
    pub at: Micros,
    pub slot_seconds: f64,
}

/// What is known of a worker.
#[derive(Default)]
pub(crate) struct Worker {
    pub entry: WorkerEntry,
    /// Whether it is among those that lately reported or were sent to.
    pub recently_reporting: bool,
    /// Slots that other dispatchers left when it last reported, free or used by own attempts. Not
    /// the slots that they used: how many there are is learned from later reports.
    pub left_by_others: Option<SlotsSeen>,
    /// When that was what all dispatchers together had counted, not what the worker reported.
    pub counted_at: Option<Micros>,
    /// Slots of own attempts in flight.
    pub slots_in_flight: f64,
    /// When own attempts were sent that have not started yet, oldest first.
    pub queued_since: Vec<Micros>,
    pub queue_delay: QueueDelay,
    /// The most memory that it has ever reported.
    pub max_memory: f64,
    /// How long it was last ejected for a failure.
    pub ejection: Micros,
    pub ejected_until: Micros,
    pub probe_in_flight: bool,
    /// What was sent there within the overload window.
    pub recent_work: Vec<SentWork>,
}

impl Worker {
    /// Notes the send of an attempt, and drops what was sent before the window.
    pub fn record_send(
        &mut self,
        slots: f64,
        work: SentWork,
        window: Micros,
        reports_starts: bool,
    ) {
        self.slots_in_flight += slots;
        if reports_starts {
            self.queued_since.push(work.at);
        }
        self.recent_work.retain(|sent| work.at - sent.at <= window);
        self.recent_work.push(work);
    }

    /// Notes the end of an attempt that took so many slots.
    pub fn record_end(&mut self, slots: f64, attempt: &Attempt) {
        self.slots_in_flight -= slots;
        if attempt.outcome == Some(Outcome::Served) {
            self.ejection = Micros(0);
        }
        if attempt.started_at.is_none() {
            self.dequeue(attempt.sent_at);
        }
    }

    /// A restarted process is empty and healthy, but cold: what it was lately sent counts on.
    pub fn reset_after_restart(&mut self) {
        self.left_by_others = None;
        self.queue_delay = QueueDelay::default();
        self.ejected_until = Micros(0);
    }

    /// An attempt that was sent at this moment is no longer queued.
    pub fn dequeue(&mut self, sent_at: Micros) {
        if let Some(i) = self.queued_since.iter().position(|at| *at == sent_at) {
            self.queued_since.remove(i);
        }
    }
}
