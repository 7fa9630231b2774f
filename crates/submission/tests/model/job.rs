//! The model of one job and of one array.

use crate::common::DEDUP_WINDOW;
use crate::{MAX_HOLD, RETENTION};
use marbledeck_dispatcher::Micros;
use marbledeck_submission::{Change, JobState};
use serde_json::Value;

/// A job in the model.
pub struct ModelJob {
    pub id: Value,
    pub key: Option<u8>,
    /// The index of its array in the model's list of arrays.
    pub array: Option<usize>,
    pub state: JobState,
    /// The process whose scheduler had it at the last look: the number of its start.
    pub scheduler: Option<usize>,
    /// When it was submitted or last held.
    pub waiting_since: Micros,
    pub sent: Option<Micros>,
    /// Whether it may have run and was not rejected.
    may_have_run: bool,
    ended: Option<Micros>,
    /// Whether it no longer uses its key, so that a resubmission is a new job.
    released_key: bool,
    pub reaped: bool,
}

impl ModelJob {
    pub fn new(id: Value, key: Option<u8>, held: bool, now: Micros) -> Self {
        ModelJob {
            id,
            key,
            array: None,
            state: if held {
                JobState::QueuedHeld
            } else {
                JobState::Queued
            },
            scheduler: None,
            waiting_since: now,
            sent: None,
            may_have_run: false,
            ended: None,
            released_key: false,
            reaped: false,
        }
    }

    fn expiry(&self) -> Option<Micros> {
        let ended = self.ended?;
        let window = if self.key.is_some() {
            DEDUP_WINDOW
        } else {
            Micros(0)
        };
        let key_expiry = self
            .sent
            .filter(|_| self.may_have_run)
            .map(|sent| sent + window);
        let visible_until = if self.reaped {
            Micros(0)
        } else {
            ended + RETENTION
        };
        Some(key_expiry.map_or(visible_until, |until| until.max(visible_until)))
    }

    fn is_retained(&self, now: Micros) -> bool {
        self.expiry().is_none_or(|until| now < until)
    }

    pub fn is_visible(&self, now: Micros) -> bool {
        !self.reaped && self.is_retained(now)
    }

    pub fn uses_key(&self, now: Micros) -> bool {
        self.is_retained(now) && !self.released_key
    }

    /// When it was last sent to a worker that may still know its key.
    pub fn last_possible_run(&self) -> Option<Micros> {
        self.sent
            .filter(|_| self.may_have_run || self.ended.is_none())
    }

    /// Whether it waits to be passed to a scheduler or is with one.
    pub fn is_runnable(&self) -> bool {
        !self.state.is_final() && self.state != JobState::QueuedHeld
    }

    pub fn change(&mut self, change: Change) -> bool {
        match self.state.after(change) {
            Some(next) => {
                self.state = next;
                true
            }
            None => false,
        }
    }

    pub fn end(&mut self, now: Micros, change: Change, may_have_run: bool) -> bool {
        let changed = self.change(change);
        if changed {
            self.ended = Some(now);
            self.may_have_run = may_have_run && self.sent.is_some();
            self.released_key = self.state == JobState::Failed && !self.may_have_run;
        }
        changed
    }

    /// Ends it if it has waited for longer than the server allows.
    pub fn expire(&mut self, now: Micros) {
        let hold_end = self.waiting_since + MAX_HOLD;
        if !self.state.is_final() && hold_end <= now {
            self.end(hold_end, Change::Fail, false);
        }
    }
}

/// An array in the model.
pub struct ModelArray {
    pub id: Value,
    pub max_parallel: Option<usize>,
    /// Until when no member may be passed to a scheduler, because one was rejected.
    pub paused_until: Micros,
    /// The number of members that were with a scheduler at the last look.
    pub scheduled: usize,
}
