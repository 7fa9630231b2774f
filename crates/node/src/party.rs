//! Peers that register themselves with the loop: fronts and sources that the node can do without.
//!
//! The loop knows a party by its number only. It hands it what has happened on its sockets and what has become of
//! invocations, asks when it next wants to be woken, and carries its words to the other process of this node while one
//! replaces the other.

use crate::core::{Core, Verdict};
use crate::directory::Directory;
use crate::fleet::Fleet;
use crate::handover::Side;
use crate::net::{Net, Ready, Token};
use crate::ops;
use crate::sites::Outbox;
use crate::workers::Workers;
use marbledeck_consensus::wire::Answer;
use marbledeck_consensus::Reader;
use marbledeck_dispatcher::{Micros, RequestId, WorkerId};
use serde_json::Value;

/// What parties work with.
pub struct Hub {
    /// The time of this turn.
    pub now: Micros,
    pub net: Net,
    pub core: Core,
    pub workers: Workers,
    pub directory: Directory,
    pub fleet: Fleet,
    /// What the nodes of the fleet have agreed on, as far as this one knows.
    pub agreed: Agreed,
    /// Jobs that other sites are to run; none where the part is off.
    pub outbox: Option<Outbox>,
}

/// What the party of the agreement tells the others. Empty where the part is off.
#[derive(Default)]
pub struct Agreed {
    /// What this node may act on; none where the part is off.
    pub reader: Option<Reader>,
    /// Counts the readings.
    pub readings: u64,
    /// What the last one told of this node's own.
    pub answer: Answer,
}

/// One kind of peer. What a party has no use for has a default.
pub trait Party {
    /// By which the party of another process is found.
    fn name(&self) -> &'static str;

    /// The sockets that listen for it and are handed on in an upgrade.
    fn listeners(&self) -> Vec<Token> {
        Vec::new()
    }

    /// Something has happened on one of its sockets.
    fn ready(&mut self, now: Micros, event: Ready, hub: &mut Hub);

    /// When [`Party::wake`] is next wanted.
    fn next_wake(&self) -> Option<Micros> {
        None
    }

    /// Its time has come.
    fn wake(&mut self, _now: Micros, _hub: &mut Hub) {}

    /// The core's commands of this turn are carried out.
    fn settled(&mut self, _now: Micros, _hub: &mut Hub) {}

    /// The final answer of an invocation; tells whether it was one of this party's.
    fn answer(
        &mut self,
        _now: Micros,
        _id: RequestId,
        _verdict: &Verdict,
        _sent: Option<Micros>,
    ) -> bool {
        false
    }

    /// A worker is asked for its load.
    fn probes(&mut self, _now: Micros, _worker: WorkerId, _hub: &mut Hub) {}

    /// A call goes out to a worker.
    fn called(&mut self, _now: Micros, _worker: WorkerId) {}

    /// A call to a worker has ended, however.
    fn came_back(&mut self, _now: Micros, _worker: WorkerId) {}

    /// A worker has begun to run an invocation.
    fn running(&mut self, _now: Micros, _id: RequestId, _worker: WorkerId, _hub: &Hub) {}

    /// An invocation that ran waits to be run once more.
    fn requeued(&mut self, _now: Micros, _id: RequestId) {}

    /// An operator calls. Tells whether the call is this party's; it is answered by one [`Party::reply`] then.
    fn operate(&mut self, _now: Micros, _caller: Token, _call: &ops::Call, _hub: &mut Hub) -> bool {
        false
    }

    /// The next answer to an operator.
    fn reply(&mut self) -> Option<(Token, String)> {
        None
    }

    /// Leaves new connections to the process that replaces this one, or takes them again where that one is lost.
    fn set_succeeded(&mut self, _succeeded: bool, _hub: &mut Hub) {}

    /// SIGTERM has come: nothing new is taken.
    fn end(&mut self, _now: Micros) {}

    /// The node takes nothing any more, and no process takes over what this party holds.
    fn abandon(&mut self, _now: Micros) {}

    /// The process that this one replaces has a party of this name.
    fn met(&mut self, _now: Micros) {}

    /// The process that replaces this one has a party of this name, and serves.
    fn hand_over(&mut self, _now: Micros, _hub: &mut Hub) {}

    /// Whether nothing is still to be handed over.
    fn is_handed_over(&self) -> bool {
        true
    }

    /// The next word for a partner.
    fn next_word(&mut self, _side: Side) -> Option<Value> {
        None
    }

    /// A word of a partner's party of this name.
    fn told(&mut self, _now: Micros, _side: Side, _word: Value, _hub: &mut Hub) {}

    /// A partner is gone.
    fn lost(&mut self, _now: Micros, _side: Side) {}
}
