//! Polling of the worker list after a call that failed.

use crate::{Action, Dispatcher, Micros, TimerId};

impl Dispatcher {
    /// Schedules the next poll after a failed call. Discovery may be overloaded, so the delay is
    /// random, which keeps dispatchers from polling at the same moment, and at most half of the
    /// poll interval.
    pub(crate) fn schedule_poll(&mut self, now: Micros, out: &mut Vec<Action>) {
        let max_seconds = self.settings.rules.poll_interval.as_secs_f64() / 2.0;
        let at = now + Micros::from_secs_f64(max_seconds * self.random.rand_float());
        self.poll_at = Some(at);
        let timer = TimerId::POLL;
        out.push(Action::SetTimer { at, timer });
    }
}
