//! Decides when discovery is called and until when its endpoint list may be trusted.
//!
//! The module does no I/O: [`Discovery`](super::Discovery) calls when this module says so and reports the outcome of
//! each call.
//!
//! The platform's rule: a change counts as notified [`NOTIFICATION_DELAY`] after discovery had it and could be reached,
//! whatever becomes of the node's calls. After an unanswered call, a change may therefore have been missed since some
//! moment, and the list is trusted until that moment plus the notification delay and the drain grace. `docs/fleet.md`
//! has the table.

use marbledeck_dispatcher::Micros;

/// The time after which a change counts as notified, from the moment when discovery had it and could be reached
/// (platform rule: protocol page, Figures; standing test).
pub const NOTIFICATION_DELAY: Micros = Micros(6_000_000);
/// The time after which the list of a new discovery service counts as notified, from the move to it (SIGHUP).
pub const MOVE_DELAY: Micros = Micros(4_000_000);

/// How much longer than its requested wait a call may take, since discovery handles its calls one after another. A
/// watch that has been open for longer has left that queue: discovery holds it until the next change.
const MAX_QUEUE_TIME: Micros = Micros(1_200_000);
/// The timeout of a call without a wait. It is longer than discovery lets any call queue.
const IMMEDIATE_CALL_TIMEOUT: Micros = Micros(2 * MAX_QUEUE_TIME.0);
/// The longest wait of a watch. A watch that gets no answer is given up [`MAX_QUEUE_TIME`] after its wait, which leaves
/// enough time for one more call within the notification delay, and the drain grace as a reserve.
const MAX_WAIT: Micros = Micros(NOTIFICATION_DELAY.0 - 2 * MAX_QUEUE_TIME.0);
/// The shortest wait of a watch, as a fraction of the longest. Random waits spread the next calls of nodes that were
/// all answered at the same time.
const MIN_WAIT_FRACTION: f64 = 0.5;
/// The timeout of a call for the complete list after a move. Two calls fit into [`MOVE_DELAY`].
const COMPLETE_LIST_TIMEOUT: Micros = Micros(2_000_000);
/// The upper limit of the random delay before a retry; it doubles once. After a watch that got no answer there is no
/// delay, since its wait was already random.
const MAX_RETRY_DELAY: Micros = Micros(300_000);
/// The number of failures after which the retry delay stops growing.
const MAX_BACKOFF_STEPS: u32 = 2;
/// The number of calls within the drain grace where lists are pushed: whatever discovery has when it returns counts as
/// notified at once.
const CALLS_IN_GRACE: u64 = 4;
/// The lower limit of the interval between calls, however short the drain grace is.
const MIN_CALL_INTERVAL: Micros = Micros(50_000);

/// What to ask discovery for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    /// The changes since the revision that the node has.
    Changes {
        /// How long discovery may wait for a change; 0 asks for an immediate answer.
        wait: Micros,
    },
    /// The complete list.
    CompleteList,
}

/// A call to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedCall {
    /// What to ask for.
    pub query: Query,
    /// When the call times out.
    pub deadline: Micros,
}

/// How a call has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No answer came before the deadline.
    Silent,
    /// An established connection ended, or the answer was malformed.
    Broken,
    /// Discovery answered with an error status, or this node could not send the call.
    Refused,
    /// The connection was refused. Only this fault proves that discovery could not be reached at this moment.
    Unreachable,
}

/// How current the node's list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListState {
    /// The latest call was answered, so no earlier change can have been missed.
    Current,
    /// A change may have been missed; it counts as notified from `notified_at` on.
    PossiblyStale { notified_at: Micros },
    /// As `PossiblyStale`, and the node has moved to a discovery service that has not sent its list yet.
    Moving { notified_at: Micros },
}

impl ListState {
    fn notified_at(self) -> Option<Micros> {
        match self {
            ListState::Current => None,
            ListState::PossiblyStale { notified_at } | ListState::Moving { notified_at } => {
                Some(notified_at)
            }
        }
    }

    /// Returns this state with a new `notified_at`; a current list becomes possibly stale.
    fn with_notified_at(self, notified_at: Micros) -> Self {
        match self {
            ListState::Moving { .. } => ListState::Moving { notified_at },
            ListState::Current | ListState::PossiblyStale { .. } => {
                ListState::PossiblyStale { notified_at }
            }
        }
    }
}

/// What the failures since the latest answer show about missed changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FailureEvidence {
    /// At most, a watch broke that discovery held, and discovery could not be reached afterwards. It went down, and had
    /// sent all changes until then.
    NothingMissed,
    /// A change may have been missed.
    MayHaveMissed,
}

/// A call that has not been answered yet.
#[derive(Clone, Copy, Debug)]
struct OpenCall {
    sent_at: Micros,
    call: PlannedCall,
    /// Whether bytes of its answer have arrived.
    is_answering: bool,
}

impl OpenCall {
    /// Whether discovery holds this call in order to answer it at the next change.
    fn is_held(&self, now: Micros) -> bool {
        let waits = matches!(self.call.query, Query::Changes { wait } if wait > Micros(0));
        waits && now - self.sent_at > MAX_QUEUE_TIME
    }
}

/// Tracks how stale this node's list may be and plans its calls to discovery.
#[derive(Debug)]
pub struct StalenessTracker {
    /// How long a worker may still be sent to after its drain was notified.
    drain_grace: Micros,
    /// Whether lists are pushed, so that a change counts as notified as soon as discovery has it.
    lists_are_pushed: bool,
    rng: oorandom::Rand64,
    open_call: Option<OpenCall>,
    list: ListState,
    /// The number of calls that failed since the latest answer.
    failures: u32,
    failure_evidence: FailureEvidence,
}

impl StalenessTracker {
    /// Creates the tracker of a process that starts now. Where lists are pushed, what discovery has counts as notified
    /// from the start.
    pub fn new(now: Micros, drain_grace: Micros, lists_are_pushed: bool, seed: u64) -> Self {
        let (list, failure_evidence) = if lists_are_pushed {
            let notified_at = now;
            (
                ListState::PossiblyStale { notified_at },
                FailureEvidence::MayHaveMissed,
            )
        } else {
            (ListState::Current, FailureEvidence::NothingMissed)
        };
        StalenessTracker {
            drain_grace,
            lists_are_pushed,
            rng: oorandom::Rand64::new(u128::from(seed)),
            open_call: None,
            list,
            failures: 0,
            failure_evidence,
        }
    }

    /// A random duration below `max`.
    fn random_duration(&mut self, max: Micros) -> Micros {
        Micros::from_secs_f64(max.as_secs_f64() * self.rng.rand_float())
    }

    /// Plans the next call and records it as sent now.
    pub fn next_call(&mut self, now: Micros) -> PlannedCall {
        let (query, timeout) = match self.list {
            ListState::Moving { .. } => (Query::CompleteList, COMPLETE_LIST_TIMEOUT),
            ListState::PossiblyStale { .. } => {
                // Only an answer makes the list current again, so the call must not wait for a change.
                (
                    Query::Changes { wait: Micros(0) },
                    self.immediate_call_timeout(),
                )
            }
            ListState::Current => {
                let min_wait = Micros::from_secs_f64(MAX_WAIT.as_secs_f64() * MIN_WAIT_FRACTION);
                let wait = min_wait + self.random_duration(MAX_WAIT - min_wait);
                (Query::Changes { wait }, wait + MAX_QUEUE_TIME)
            }
        };
        let deadline = now + timeout;
        let call = PlannedCall { query, deadline };
        self.open_call = Some(OpenCall {
            sent_at: now,
            call,
            is_answering: false,
        });
        call
    }

    /// The timeout of a call without a wait: as long as discovery lets a call queue. A node that gave up earlier and
    /// called again would rejoin at the end of the queue, and a discovery service with many callers would never answer
    /// it.
    fn immediate_call_timeout(&self) -> Micros {
        if self.lists_are_pushed && self.failures > 0 {
            self.call_interval_in_grace()
        } else {
            IMMEDIATE_CALL_TIMEOUT
        }
    }

    fn call_interval_in_grace(&self) -> Micros {
        Micros(self.drain_grace.0 / CALLS_IN_GRACE).max(MIN_CALL_INTERVAL)
    }

    /// Records that the answer to the open call has begun; discovery wrote its first bytes at `began_at` at the
    /// earliest. Where lists are pushed, a change that happens while it is read counts as notified at once.
    pub fn handle_answer_begun(&mut self, began_at: Micros) {
        if self.lists_are_pushed {
            self.limit_notified_at(began_at);
        }
    }

    /// Records that bytes of the answer to the open call have arrived. Each arrival extends the deadline, at most until
    /// a change since the call counts as notified.
    pub fn handle_progress(&mut self, now: Micros) {
        if let Some(open) = &mut self.open_call {
            open.is_answering = true;
            let latest = open.sent_at + NOTIFICATION_DELAY;
            open.call.deadline = latest.min(now + MAX_QUEUE_TIME);
        }
    }

    /// Records an answer: the list is current.
    pub fn handle_answer(&mut self) {
        self.open_call = None;
        self.list = ListState::Current;
        self.failures = 0;
        self.failure_evidence = FailureEvidence::NothingMissed;
    }

    /// Records an answer that began at `began_at` and has been read completely. Where lists are pushed, changes since
    /// `began_at` count as notified, so the list stays possibly stale after an answer that took long.
    pub fn handle_complete_answer(&mut self, now: Micros, began_at: Micros) {
        self.handle_answer();
        if self.lists_are_pushed && now - began_at > self.call_interval_in_grace() {
            self.limit_notified_at(began_at);
            self.failure_evidence = FailureEvidence::MayHaveMissed;
        }
    }

    /// Records that the call has failed. Returns when to call again.
    pub fn handle_failure(&mut self, now: Micros, fault: Fault) -> Micros {
        let call = self.open_call.take();
        let sent_at = call.map_or(now, |call| call.sent_at);
        let is_held = call.is_some_and(|call| call.is_held(now));
        let had_begun_answer = call.is_some_and(|call| call.is_answering);
        let is_first_failure = self.failures == 0;
        self.failures += 1;
        let rules_out_missed_changes = match fault {
            Fault::Broken => is_first_failure && is_held && !had_begun_answer,
            Fault::Unreachable => true,
            Fault::Silent | Fault::Refused => false,
        };
        if !rules_out_missed_changes {
            self.failure_evidence = FailureEvidence::MayHaveMissed;
        }
        // The call may have been queued or lost from the start, so a change may have been missed since then. A call
        // that discovery held, and ended with an error status, missed nothing before its end.
        let missed_since = match fault {
            Fault::Refused if is_held => now,
            _ => sent_at,
        };
        self.record_missed_since(missed_since, fault);
        let is_cut_off = had_begun_answer && fault == Fault::Broken;
        let max_retry_delay = if is_cut_off && is_first_failure && !self.lists_are_pushed {
            // Discovery is answering, and what it has written counts as notified.
            MIN_CALL_INTERVAL
        } else {
            self.max_retry_delay(fault, is_first_failure)
        };
        now + self.random_duration(max_retry_delay)
    }

    /// Records that a change may have been missed since this moment. Where discovery went down after it had sent all
    /// changes, the moment moves forward with each call that proves it unreachable.
    fn record_missed_since(&mut self, missed_since: Micros, fault: Fault) {
        let notified_at = missed_since + NOTIFICATION_DELAY;
        let is_down =
            self.failure_evidence == FailureEvidence::NothingMissed && fault == Fault::Unreachable;
        if is_down {
            self.list = self.list.with_notified_at(notified_at);
        } else {
            self.limit_notified_at(notified_at);
        }
    }

    /// Records that a missed change may count as notified from this moment on, unless it already does earlier.
    fn limit_notified_at(&mut self, notified_at: Micros) {
        let earlier = self.list.notified_at();
        let notified_at = earlier.map_or(notified_at, |earlier| earlier.min(notified_at));
        self.list = self.list.with_notified_at(notified_at);
    }

    /// The longest delay before the next call after a failure.
    fn max_retry_delay(&self, fault: Fault, is_first_failure: bool) -> Micros {
        match fault {
            _ if self.lists_are_pushed => self.call_interval_in_grace(),
            Fault::Silent if is_first_failure => Micros(0),
            // Spreads the new watches of nodes whose watches broke at the same time.
            Fault::Broken if is_first_failure => MAX_QUEUE_TIME,
            _ if self.is_moving() => MAX_RETRY_DELAY,
            // Backs off, since discovery may be failing to answer because of too many callers.
            _ => Micros(MAX_RETRY_DELAY.0 << (self.failures.min(MAX_BACKOFF_STEPS) - 1)),
        }
    }

    /// When a missed change may count as notified, assuming that the open call gets no answer; for a successor process.
    pub fn notified_at_for_successor(&self) -> Option<Micros> {
        let silent = self.open_call.map(|open| open.sent_at + NOTIFICATION_DELAY);
        self.list.notified_at().into_iter().chain(silent).min()
    }

    /// Takes over the staleness of the process that this one replaces.
    pub fn inherit_staleness(&mut self, notified_at: Micros) {
        self.limit_notified_at(notified_at);
        self.failure_evidence = FailureEvidence::MayHaveMissed;
    }

    /// Records that the node moves to another discovery service.
    pub fn handle_move(&mut self, now: Micros) {
        self.inherit_staleness(now + MOVE_DELAY);
        if let Some(notified_at) = self.list.notified_at() {
            self.list = ListState::Moving { notified_at };
        }
        self.open_call = None;
    }

    /// Whether a change counts as notified as soon as discovery has it.
    pub fn lists_are_pushed(&self) -> bool {
        self.lists_are_pushed
    }

    /// Whether the node has moved to a discovery service that has not sent its list yet.
    pub fn is_moving(&self) -> bool {
        matches!(self.list, ListState::Moving { .. })
    }

    /// When the open call times out.
    pub fn call_deadline(&self) -> Option<Micros> {
        self.open_call.map(|open| open.call.deadline)
    }

    /// Until when the list may be trusted unless discovery answers before: from then on, a worker may be draining whose
    /// drain counts as notified.
    pub fn trusted_until(&self) -> Option<Micros> {
        let notified_at = self.list.notified_at();
        notified_at.map(|notified_at| notified_at + self.drain_grace)
    }
}
