//! State of a worker and of a kind of worker. Holds no policy.

use crate::request::Attempt;
use crate::{Micros, Outcome, WorkerEntry};

/// Statistics of all workers of one kind, since one dispatcher receives too few reports of a single
/// worker.
#[derive(Default)]
pub(crate) struct KindStatistics {
    /// Number of ready workers.
    pub ready: f64,
    /// The most free slots that any worker of the kind has ever reported.
    pub slots: f64,
    /// Running mean of the fraction of slots that other dispatchers use.
    pub load_of_others: f64,
    /// Number of reports in that mean.
    pub reports: f64,
}

/// A number of slots and the time at which it was observed.
#[derive(Clone, Copy)]
pub(crate) struct SlotObservation {
    pub slots: f64,
    pub at: Micros,
}

/// How long the attempt that last started was queued at the worker.
#[derive(Clone, Copy, Default)]
pub(crate) struct QueueDelay {
    pub delay: Micros,
    /// When that attempt started.
    pub measured_at: Micros,
}

impl QueueDelay {
    /// Whether the measurement is younger than the delay that it measured.
    pub fn is_current(&self, now: Micros) -> bool {
        now - self.measured_at < self.delay
    }
}

/// Work of one attempt that was sent.
#[derive(Clone, Copy)]
pub(crate) struct SentWork {
    pub at: Micros,
    pub slot_seconds: f64,
}

/// State of one worker as this dispatcher sees it.
#[derive(Default)]
pub(crate) struct Worker {
    pub entry: WorkerEntry,
    /// Whether it recently reported or was sent an attempt.
    pub recently_active: bool,
    /// Slots that other dispatchers did not use at the time of the last report: free ones and those
    /// used by this dispatcher's attempts. Stored instead of the slots that others used, because the
    /// total number of slots becomes known only from later reports.
    pub slots_left_by_others: Option<SlotObservation>,
    /// When `slots_left_by_others` was last set from a count that the dispatchers keep together; none
    /// if it comes from a report of the worker.
    pub counted_at: Option<Micros>,
    /// Slots of this dispatcher's attempts in flight.
    pub slots_in_flight: f64,
    /// Send times of this dispatcher's attempts that have not started yet, oldest first.
    pub queued_since: Vec<Micros>,
    pub queue_delay: QueueDelay,
    /// The most free memory that it has ever reported.
    pub max_memory: f64,
    /// Duration of its last ejection; zero after a served attempt.
    pub ejection: Micros,
    pub ejected_until: Micros,
    pub probe_in_flight: bool,
    /// Work sent to it within the overload window.
    pub recent_work: Vec<SentWork>,
}

impl Worker {
    /// Records the send of an attempt and drops records older than the overload window.
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

    /// Records the end of an attempt that used this many slots.
    pub fn record_end(&mut self, slots: f64, attempt: &Attempt) {
        self.slots_in_flight -= slots;
        if attempt.outcome == Some(Outcome::Served) {
            self.ejection = Micros(0);
        }
        if attempt.started_at.is_none() {
            self.dequeue(attempt.sent_at);
        }
    }

    /// Resets the state after a restart of the worker: its process is idle and healthy. Recently sent
    /// work still counts, since it limits what a cold worker may be sent.
    pub fn reset_after_restart(&mut self) {
        self.slots_left_by_others = None;
        self.queue_delay = QueueDelay::default();
        self.ejected_until = Micros(0);
    }

    /// Removes one attempt with this send time from the queued ones.
    pub fn dequeue(&mut self, sent_at: Micros) {
        if let Some(i) = self.queued_since.iter().position(|at| *at == sent_at) {
            self.queued_since.remove(i);
        }
    }
}
