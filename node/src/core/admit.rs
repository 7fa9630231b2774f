//! Stage 2, admit: the dispatcher's word on an invocation that it does not serve, carried out at once. The node
//! neither overrides nor delays it.

use super::{Core, Verdict};
use marbledeck::{Event, Micros, RequestId};

impl Core {
    pub(super) fn reject(&mut self, id: RequestId, come_back: Option<Micros>) {
        self.finish(id, Verdict::Rejected(come_back));
    }

    pub(super) fn fail(&mut self, id: RequestId) {
        self.finish(id, Verdict::Failed);
    }

    /// The consumer has left: no answer is owed any more. Calls that are out come back as they will. Tells the
    /// last send that may have run.
    pub fn gone(&mut self, now: Micros, id: RequestId) -> Option<Micros> {
        let sent = self.table.get(id).and_then(|i| i.last_sent());
        if self.table.answer(id) {
            self.counts.gone += 1;
            self.pending.push_back(Event::Gone(id));
            self.table.forget(id);
            self.decide(now);
        }
        sent
    }

    /// Guards the rule that nothing taken is lost: the attempts' time-outs, due before, have let the dispatcher
    /// answer; one that has said nothing by now is answered for it.
    pub(super) fn overdue(&mut self, id: RequestId) {
        if self.finish(id, Verdict::Failed) {
            log::error!("invocation {} had no answer at its deadline", id.0);
            self.pending.push_back(Event::Gone(id));
        }
    }
}
