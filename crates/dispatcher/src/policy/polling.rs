//! Polling of the worker list after a call that failed.

use crate::{Action, Dispatcher, Micros, TimerId};

impl Dispatcher {
    /// Discovery may be overloaded: polls again, and not in step with the others.
    pub(crate) fn schedule_poll(&mut self, now: Micros, out: &mut Vec<Action>) {
        let max = self.settings.rules.poll_interval.as_secs_f64() / 2.0;
        let at = now + Micros::from_secs_f64(max * self.random.rand_float());
        self.poll_at = Some(at);
        let timer = TimerId::POLL;
        out.push(Action::SetTimer { at, timer });
    }
}
