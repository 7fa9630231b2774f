//! When discovery is called, and until when its endpoint list may be trusted. No input or output: the client in the
//! module above calls when this module says so, and reports what has become of each call.
//!
//! The platform's rule: whatever becomes of a call, a change counts as notified [`NOTIFICATION_DELAY`] after discovery
//! had it and could be reached. So after each call that was not answered there is a moment since when something may
//! have been missed, and the list is trusted for no longer than that, the rule's delay and the drain's grace.
//! `docs/fleet.md` has the table.

use marbledeck_dispatcher::Micros;

/// The platform's rule (protocol page, Figures; standing test): a change counts as notified so long after discovery had
/// it and could be reached.
pub const NOTIFICATION_DELAY: Micros = Micros(6_000_000);
/// What a new discovery service has counts as notified so long after the move to it (SIGHUP).
pub const MOVE_DELAY: Micros = Micros(4_000_000);

/// How much longer than its wait a call may take: discovery handles its calls one after another. A watch that has been
/// open for longer is one that discovery holds.
const QUEUE_TIME: Micros = Micros(1_200_000);
/// How long a call that is to end a doubt may wait for its turn: longer than discovery lets any wait.
const DOUBT_TIMEOUT: Micros = Micros(2 * QUEUE_TIME.0);
/// The longest wait of a watch. One that is silent from its first moment is given up [`QUEUE_TIME`] later, and there is
/// a whole call's time until the rule's delay is over, with the drain's grace to spare.
const MAX_WAIT: Micros = Micros(NOTIFICATION_DELAY.0 - 2 * QUEUE_TIME.0);
/// The shortest wait of a watch is this part of the longest: where all nodes have been answered in one moment, their
/// next calls are spread over the rest.
const MIN_WAIT_PART: f64 = 0.5;
/// How long the complete list may take once the node has moved: two tries fit into [`MOVE_DELAY`].
const COMPLETE_LIST_TIMEOUT: Micros = Micros(2_000_000);
/// The longest pause before a retry, drawn at random; it doubles once. There is none after a silent watch, whose wait
/// was drawn.
const MAX_PAUSE: Micros = Micros(300_000);
/// After so many failures the pause grows no more.
const MAX_BACKOFF_STEPS: u32 = 2;
/// Where lists are pushed, what is there at discovery's return counts at once: so many tries fit into the grace.
const TRIES_IN_GRACE: u64 = 4;
/// There is no more than one try in this time, however short the grace is.
const MIN_TRY_INTERVAL: Micros = Micros(50_000);

/// What to ask discovery for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    /// Changes since the list that the node has.
    Changes {
        /// How long discovery may wait for one; 0 for an answer at once.
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
    /// From then on the call counts as silent.
    pub deadline: Micros,
}

/// How a call has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing has come in time.
    Silent,
    /// A connection that was up has ended, or what came made no sense.
    Broken,
    /// Discovery has said so, or this node could not even ask.
    Refused,
    /// The connection was refused: proof that discovery could not be reached at this moment. No other fault is.
    Unreachable,
}

/// What the node's list is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListState {
    /// The latest call was answered: nothing can have been missed before it.
    Current,
    /// From `notified_at` on, a change that was missed may count as notified.
    Doubtful { notified_at: Micros },
    /// The same, and the node has moved to a discovery service that has not sent its list yet.
    Moving { notified_at: Micros },
}

impl ListState {
    fn notified_at(self) -> Option<Micros> {
        match self {
            ListState::Current => None,
            ListState::Doubtful { notified_at } | ListState::Moving { notified_at } => {
                Some(notified_at)
            }
        }
    }

    /// The same state with another moment of doubt.
    fn with_doubt(self, notified_at: Micros) -> Self {
        match self {
            ListState::Moving { .. } => ListState::Moving { notified_at },
            ListState::Current | ListState::Doubtful { .. } => ListState::Doubtful { notified_at },
        }
    }
}

/// What the failures since the latest answer prove.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outage {
    /// At most a watch broke that discovery had held, and it could not be reached after that: it went down, and had
    /// sent all changes until then.
    NothingMissed,
    /// A change may have been missed.
    MayHaveMissed,
}

/// A call that is not answered yet.
#[derive(Clone, Copy, Debug)]
struct OpenCall {
    sent_at: Micros,
    call: PlannedCall,
    /// Bytes of its answer have come.
    is_answering: bool,
}

impl OpenCall {
    /// Whether discovery has held this call, to answer it at the next change.
    fn is_held(&self, now: Micros) -> bool {
        let waits = matches!(self.call.query, Query::Changes { wait } if wait > Micros(0));
        waits && now - self.sent_at > QUEUE_TIME
    }
}

/// Tracks how stale one node's list may be, and plans its calls.
#[derive(Debug)]
pub struct StalenessTracker {
    /// How long a drain that was notified may be disregarded.
    grace: Micros,
    /// Lists are pushed: what discovery has counts as notified at once.
    lists_are_pushed: bool,
    rng: oorandom::Rand64,
    open_call: Option<OpenCall>,
    list: ListState,
    /// Calls that failed since the latest answer.
    failures: u32,
    outage: Outage,
}

impl StalenessTracker {
    /// For a process that starts now, with this grace of the rule about drains. Where lists are pushed, what discovery
    /// has counts as notified from the first moment.
    pub fn new(now: Micros, grace: Micros, lists_are_pushed: bool, seed: u64) -> Self {
        let (list, outage) = if lists_are_pushed {
            let notified_at = now;
            (ListState::Doubtful { notified_at }, Outage::MayHaveMissed)
        } else {
            (ListState::Current, Outage::NothingMissed)
        };
        StalenessTracker {
            grace,
            lists_are_pushed,
            rng: oorandom::Rand64::new(u128::from(seed)),
            open_call: None,
            list,
            failures: 0,
            outage,
        }
    }

    /// A random part of this span.
    fn draw(&mut self, span: Micros) -> Micros {
        Micros::from_secs_f64(span.as_secs_f64() * self.rng.rand_float())
    }

    /// The next call, which is sent now.
    pub fn next_call(&mut self, now: Micros) -> PlannedCall {
        let (query, timeout) = match self.list {
            ListState::Moving { .. } => (Query::CompleteList, COMPLETE_LIST_TIMEOUT),
            ListState::Doubtful { .. } => {
                // Only an answer ends the doubt: it must not wait for a change.
                (Query::Changes { wait: Micros(0) }, self.doubt_timeout())
            }
            ListState::Current => {
                let min_wait = Micros::from_secs_f64(MAX_WAIT.as_secs_f64() * MIN_WAIT_PART);
                let wait = min_wait + self.draw(MAX_WAIT - min_wait);
                (Query::Changes { wait }, wait + QUEUE_TIME)
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

    /// How long an answer without a wait may take: as long as discovery itself lets a call wait. One with many callers
    /// would never answer a node that gave up before its turn and called again at the end of the queue.
    fn doubt_timeout(&self) -> Micros {
        if self.lists_are_pushed && self.failures > 0 {
            self.try_interval_in_grace()
        } else {
            DOUBT_TIMEOUT
        }
    }

    fn try_interval_in_grace(&self) -> Micros {
        Micros(self.grace.0 / TRIES_IN_GRACE).max(MIN_TRY_INTERVAL)
    }

    /// The answer to the open call has begun; discovery wrote its first bytes at `began_at` at the earliest. Where lists
    /// are pushed, what changes while it is read counts as notified at once.
    pub fn handle_answer_begun(&mut self, began_at: Micros) {
        if self.lists_are_pushed {
            self.doubt_from(began_at);
        }
    }

    /// Bytes of the answer to the open call have come: it is not silent as long as more come, and until what changes
    /// meanwhile counts as notified.
    pub fn handle_progress(&mut self, now: Micros) {
        if let Some(open) = &mut self.open_call {
            open.is_answering = true;
            let latest = open.sent_at + NOTIFICATION_DELAY;
            open.call.deadline = latest.min(now + QUEUE_TIME);
        }
    }

    /// The list, or a part of it, has come.
    pub fn handle_answer(&mut self) {
        self.open_call = None;
        self.list = ListState::Current;
        self.failures = 0;
        self.outage = Outage::NothingMissed;
    }

    /// The list, or a part of it, has come completely, in an answer that was begun at this moment. Where lists are
    /// pushed, what has changed since then counts as notified: after one that took long, it is asked for at once.
    pub fn handle_complete_answer(&mut self, now: Micros, began_at: Micros) {
        self.handle_answer();
        if self.lists_are_pushed && now - began_at > self.try_interval_in_grace() {
            self.doubt_from(began_at);
            self.outage = Outage::MayHaveMissed;
        }
    }

    /// The call has failed. Returns when to call again.
    pub fn handle_failure(&mut self, now: Micros, fault: Fault) -> Micros {
        let call = self.open_call.take();
        let sent_at = call.map_or(now, |call| call.sent_at);
        let is_held = call.is_some_and(|call| call.is_held(now));
        let is_cut_off = call.is_some_and(|call| call.is_answering);
        let is_first = self.failures == 0;
        self.failures += 1;
        let proves_outage = match fault {
            Fault::Broken => is_first && is_held && !is_cut_off,
            Fault::Unreachable => true,
            Fault::Silent | Fault::Refused => false,
        };
        if !proves_outage {
            self.outage = Outage::MayHaveMissed;
        }
        // Since when something may have been missed: a call may have waited for its turn, or been silent, from its
        // first moment. Not one that discovery held, and ended with an answer of its own.
        let missed_since = match fault {
            Fault::Refused if is_held => now,
            _ => sent_at,
        };
        self.doubt_since(missed_since, fault);
        let is_cut_off = is_cut_off && fault == Fault::Broken;
        let max_pause = if is_cut_off && is_first && !self.lists_are_pushed {
            // Discovery answers, and what it has said counts as notified.
            MIN_TRY_INTERVAL
        } else {
            self.max_pause(fault, is_first)
        };
        now + self.draw(max_pause)
    }

    fn doubt_since(&mut self, missed_since: Micros, fault: Fault) {
        let notified_at = missed_since + NOTIFICATION_DELAY;
        let is_down = self.outage == Outage::NothingMissed && fault == Fault::Unreachable;
        if is_down {
            self.list = self.list.with_doubt(notified_at);
        } else {
            self.doubt_from(notified_at);
        }
    }

    /// From then on a change that was missed may count as notified, unless it does already.
    fn doubt_from(&mut self, notified_at: Micros) {
        let earlier = self.list.notified_at();
        let notified_at = earlier.map_or(notified_at, |earlier| earlier.min(notified_at));
        self.list = self.list.with_doubt(notified_at);
    }

    /// The longest pause before the next call, after a failure.
    fn max_pause(&self, fault: Fault, is_first: bool) -> Micros {
        match fault {
            _ if self.lists_are_pushed => self.try_interval_in_grace(),
            Fault::Silent if is_first => Micros(0),
            // A watch that broke is opened anew soon, and not in step with the others.
            Fault::Broken if is_first => QUEUE_TIME,
            _ if self.is_moving() => MAX_PAUSE,
            // Backoff: many callers are what keeps discovery from answering.
            _ => Micros(MAX_PAUSE.0 << (self.failures.min(MAX_BACKOFF_STEPS) - 1)),
        }
    }

    /// From when on a change that was missed may count as notified, should the open call be silent.
    pub fn doubt_for_successor(&self) -> Option<Micros> {
        let silent = self.open_call.map(|open| open.sent_at + NOTIFICATION_DELAY);
        self.list.notified_at().into_iter().chain(silent).min()
    }

    /// Takes over the doubt of the process that this one replaces.
    pub fn inherit_doubt(&mut self, notified_at: Micros) {
        self.doubt_from(notified_at);
        self.outage = Outage::MayHaveMissed;
    }

    /// The node moves to another discovery service.
    pub fn handle_move(&mut self, now: Micros) {
        self.inherit_doubt(now + MOVE_DELAY);
        if let Some(notified_at) = self.list.notified_at() {
            self.list = ListState::Moving { notified_at };
        }
        self.open_call = None;
    }

    /// Whether what discovery has counts as notified at once.
    pub fn lists_are_pushed(&self) -> bool {
        self.lists_are_pushed
    }

    /// Whether the node has moved to a discovery service that has not sent its list yet.
    pub fn is_moving(&self) -> bool {
        matches!(self.list, ListState::Moving { .. })
    }

    /// When the open call counts as silent.
    pub fn call_deadline(&self) -> Option<Micros> {
        self.open_call.map(|open| open.call.deadline)
    }

    /// From when on the list is no longer to be trusted, unless discovery answers before: a worker may be draining, and
    /// the rule counts that as notified.
    pub fn trusted_until(&self) -> Option<Micros> {
        let notified_at = self.list.notified_at();
        notified_at.map(|notified_at| notified_at + self.grace)
    }
}
