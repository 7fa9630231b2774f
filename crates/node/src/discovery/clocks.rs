//! When the directory is asked, and until when what it has told may be trusted. No input or output: the link in the
//! module above asks as it is told here, and tells what has become of it.
//!
//! The rule: whatever becomes of a call, a change counts as told [`SILENCE`] after the directory had it and could be
//! reached. So after each call that was not answered there is a moment since when something may have been missed, and
//! the list is trusted for no longer than that, the rule's span and the drain's grace. `docs/fleet.md` has the table.

use marbledeck_dispatcher::Micros;

/// The rule's clocks (protocol page, Figures; standing test): a change counts as told so long after the directory had it
/// and could be reached.
pub const SILENCE: Micros = Micros(6_000_000);
/// What a new directory has counts as told so long after the move (SIGHUP).
pub const MOVED: Micros = Micros(4_000_000);

/// How much longer than its wait a call may take: a directory works its calls off in turn. A watch that has been out for
/// longer is one that the directory holds.
const TURN: Micros = Micros(1_200_000);
/// How long a call in doubt may wait for its turn: longer than a directory lets any wait.
const QUEUED: Micros = Micros(2 * TURN.0);
/// A watch waits at most for so long: one that is silent from its first moment is asked after [`TURN`] more, and there
/// is a whole call's time until the rule's clock runs out, with the drain's grace to spare.
const LONGEST: Micros = Micros(SILENCE.0 - 2 * TURN.0);
/// ... and at least for this part of it: where all nodes have been answered in one moment, they ask again over the rest.
const SHORTEST: f64 = 0.5;
/// How long a directory may take for the whole list once the node has moved to it: two tries fit into [`MOVED`].
const WHOLE: Micros = Micros(2_000_000);
/// The longest pause before a directory is asked once more that does not answer, drawn at random; it doubles once.
/// None after a silent watch: its wait was drawn.
const PAUSE: Micros = Micros(300_000);
/// Where lists are pushed, what is there at the directory's return counts at once: so many tries fit into the grace. No
/// more often than this, however short that is.
const TRIES_IN_GRACE: u64 = 4;
const SHORTEST_TRY: Micros = Micros(50_000);

/// What to ask the directory for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// Changes, for as long as it may wait for one. No wait: whatever there is.
    Changes { wait: Micros },
    /// The whole list.
    Whole,
}

/// A call to the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    pub ask: Ask,
    /// From then on it counts as silent.
    pub until: Micros,
}

/// How a call has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing has come in time.
    Silent,
    /// A connection that was up has ended, or what came made no sense.
    Broken,
    /// The directory has said so, or this node could not even ask.
    Refused,
    /// The connection was refused: proof that the directory could not be reached at this moment. No other fault is.
    Unreachable,
}

/// The clocks of one node's list.
#[derive(Debug)]
pub struct Clocks {
    /// How long a drain that was told may be disregarded.
    grace: Micros,
    /// Lists are pushed: what the directory has counts as told at once.
    pushed: bool,
    rng: oorandom::Rand64,
    /// The call that is out, and when it was asked.
    asked: Option<(Micros, Call)>,
    /// From when on something that was not heard may count as told.
    deemed: Option<Micros>,
    /// The node has moved to a directory that has not told its list yet.
    moving: bool,
    /// Calls since the last that was answered.
    failures: u32,
    /// All that has gone wrong since the last answer is that a watch broke that the directory had held, and that it could
    /// not be reached after that: it went down, and had told all until then.
    down: bool,
}

impl Clocks {
    /// For a process that starts now, with this grace of the rule about drains. Where lists are pushed, what the
    /// directory has counts as told from the first moment.
    pub fn new(now: Micros, grace: Micros, pushed: bool, seed: u64) -> Self {
        Clocks {
            grace,
            pushed,
            rng: oorandom::Rand64::new(u128::from(seed)),
            asked: None,
            deemed: pushed.then_some(now),
            moving: false,
            failures: 0,
            down: !pushed,
        }
    }

    /// A random part of this span.
    fn drawn(&mut self, span: Micros) -> Micros {
        Micros::from_secs_f64(span.as_secs_f64() * self.rng.rand_float())
    }

    /// The next call, which goes out now.
    pub fn ask(&mut self, now: Micros) -> Call {
        let (ask, patience) = if self.moving {
            (Ask::Whole, WHOLE)
        } else if self.deemed.is_some() {
            // Only an answer ends the doubt: it must not wait for a change.
            (Ask::Changes { wait: Micros(0) }, self.patience())
        } else {
            let least = Micros::from_secs_f64(LONGEST.as_secs_f64() * SHORTEST);
            let wait = least + self.drawn(LONGEST - least);
            (Ask::Changes { wait }, wait + TURN)
        };
        let call = Call {
            ask,
            until: now + patience,
        };
        self.asked = Some((now, call));
        call
    }

    /// How long an answer without a wait may take: as long as the directory itself lets a call wait. One with many callers
    /// would never be heard by a node that gave up before its turn and asked again at the end of the queue.
    fn patience(&self) -> Micros {
        match self.pushed && self.failures > 0 {
            true => self.in_grace(),
            false => QUEUED,
        }
    }

    fn in_grace(&self) -> Micros {
        Micros(self.grace.0 / TRIES_IN_GRACE).max(SHORTEST_TRY)
    }

    /// The list, or a part of it, has come.
    pub fn answered(&mut self) {
        (self.asked, self.deemed) = (None, None);
        (self.moving, self.failures, self.down) = (false, 0, true);
    }

    /// The call has failed: when to ask again.
    pub fn failed(&mut self, now: Micros, fault: Fault) -> Micros {
        let (asked, held) = match self.asked.take() {
            Some((asked, Call { ask, .. })) => {
                let waits = matches!(ask, Ask::Changes { wait } if wait > Micros(0));
                (asked, waits && now - asked > TURN)
            }
            None => (now, false),
        };
        let first = self.failures == 0;
        self.failures += 1;
        self.down &= match fault {
            Fault::Broken => first && held,
            Fault::Unreachable => true,
            Fault::Silent | Fault::Refused => false,
        };
        // Since when something may have been missed: a call may have waited for its turn, or been silent, from its first
        // moment. Not one that the directory held, and ended with a word of its own.
        let missed = match fault {
            Fault::Refused if held => now,
            _ => asked,
        };
        let told = missed + SILENCE;
        self.deemed = Some(match self.deemed {
            Some(before) if !(self.down && fault == Fault::Unreachable) => before.min(told),
            _ => told,
        });
        // A watch that broke is opened anew soon, and not in step with the others.
        let pause = match fault {
            _ if self.pushed => self.in_grace(),
            Fault::Silent if first => Micros(0),
            Fault::Broken if first => TURN,
            _ if self.moving => PAUSE,
            // Backoff: many callers are what keeps a directory from answering.
            _ => Micros(PAUSE.0 << (self.failures.min(2) - 1)),
        };
        now + self.drawn(pause)
    }

    /// From when on something that was not heard may count as told, should the call that is out be silent.
    pub fn bequest(&self) -> Option<Micros> {
        let silent = self.asked.map(|(asked, _)| asked + SILENCE);
        self.deemed.into_iter().chain(silent).min()
    }

    /// Takes over another process's doubt.
    pub fn inherit(&mut self, told: Micros) {
        self.deemed = Some(self.deemed.map_or(told, |before| before.min(told)));
        self.down = false;
    }

    /// The node goes over to another directory.
    pub fn moved(&mut self, now: Micros) {
        let told = now + MOVED;
        self.inherit(told);
        (self.asked, self.moving) = (None, true);
    }

    /// Whether the node has moved to a directory that has not told its list yet.
    pub fn is_moving(&self) -> bool {
        self.moving
    }

    /// When the call that is out counts as silent.
    pub fn until(&self) -> Option<Micros> {
        self.asked.map(|(_, call)| call.until)
    }

    /// From when on the list is no longer to be trusted, unless the directory tells something before: a worker may have
    /// drained, and the rule counts that as told.
    pub fn trusted_until(&self) -> Option<Micros> {
        self.deemed.map(|told| told + self.grace)
    }
}
