//! The invocations: each is kept until it has its final answer and all of its calls are back.

use super::licensing::Needs;
use super::Payload;
use marbledeck_dispatcher::{ClassId, Micros, RequestId, WorkerId};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

pub struct Call {
    pub worker: WorkerId,
    pub sent: Micros,
    pub out: bool,
    /// When a worker told that it runs.
    pub started: Option<Micros>,
    /// Proved never to have run.
    pub never_ran: bool,
}

pub struct Invocation {
    pub class: ClassId,
    pub payload: Rc<Payload>,
    pub deadline: Micros,
    pub answered: bool,
    /// What each of its calls takes.
    pub needs: Needs,
    pub calls: Vec<Call>,
}

impl Invocation {
    /// Whether a call is out that a worker runs.
    pub fn runs(&self) -> bool {
        self.calls
            .iter()
            .any(|call| call.out && call.started.is_some())
    }

    /// When it was last sent by a call that may have run.
    pub fn last_sent(&self) -> Option<Micros> {
        let may_have_run = self.calls.iter().filter(|c| !c.never_ran);
        may_have_run.map(|c| c.sent).max()
    }
}

#[derive(Default)]
pub struct Table {
    map: HashMap<RequestId, Invocation>,
    next: u64,
    unanswered: usize,
    /// The consumers' ids of all that is held.
    txns: HashSet<String>,
    /// Bytes of all bodies held.
    bytes: usize,
}

impl Table {
    /// Enters an invocation under an id that is never used again.
    pub fn enter(
        &mut self,
        class: ClassId,
        work: Payload,
        deadline: Micros,
        needs: Needs,
    ) -> RequestId {
        let id = RequestId(self.next);
        self.next += 1;
        self.txns.insert(work.transaction_id.clone());
        self.bytes += work.body.len();
        let new = Invocation {
            class,
            payload: Rc::new(work),
            deadline,
            answered: false,
            needs,
            calls: Vec::new(),
        };
        self.map.insert(id, new);
        self.unanswered += 1;
        id
    }

    pub fn get(&mut self, id: RequestId) -> Option<&mut Invocation> {
        self.map.get_mut(&id)
    }

    /// The call of this number, as long as it is out.
    pub fn out(&mut self, id: RequestId, attempt: u32) -> Option<&mut Call> {
        let call = self.map.get_mut(&id)?.calls.get_mut(attempt as usize);
        call.filter(|call| call.out)
    }

    /// Marks an invocation as answered. Tells false where it is unknown or has had its answer: final is once.
    pub fn answer(&mut self, id: RequestId) -> bool {
        let open = self.map.get_mut(&id).filter(|i| !i.answered);
        let Some(invocation) = open else {
            return false;
        };
        invocation.answered = true;
        self.unanswered -= 1;
        true
    }

    /// Whether an invocation has had its answer, or needs none.
    pub fn is_over(&self, id: RequestId) -> bool {
        self.map.get(&id).is_none_or(|i| i.answered)
    }

    /// Drops an invocation that is answered and has no call out.
    pub fn forget(&mut self, id: RequestId) {
        let over = |i: &Invocation| i.answered && i.calls.iter().all(|c| !c.out);
        if !self.map.get(&id).is_some_and(over) {
            return;
        }
        if let Some(old) = self.map.remove(&id) {
            self.txns.remove(&old.payload.transaction_id);
            self.bytes -= old.payload.body.len();
        }
    }

    /// Whether an invocation of this id is held.
    pub fn has(&self, txn: &str) -> bool {
        self.txns.contains(txn)
    }

    /// How many bytes the bodies of all that is held take.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Those without a final answer, in the order in which they came.
    pub fn open(&self) -> Vec<RequestId> {
        let open = self.map.iter().filter(|(_, i)| !i.answered);
        let mut open: Vec<RequestId> = open.map(|(id, _)| *id).collect();
        open.sort();
        open
    }

    pub fn unanswered(&self) -> usize {
        self.unanswered
    }
}
