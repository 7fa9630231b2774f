//! Peers that register themselves with the loop: fronts and sources that the node can do without.
//!
//! The loop knows a service by its number only. It hands it what has happened on its sockets and what has become of
//! invocations, asks when it next wants to be woken, and carries its words to the other process of this node while one
//! replaces the other.

use crate::admin;
use crate::core::{Core, Verdict};
use crate::discovery::Directory;
use crate::federation::Outbox;
use crate::fleet::Fleet;
use crate::handover::Side;
use crate::net::{Net, Ready, Token};
use crate::workers::Workers;
use marbledeck_consensus::wire::ReadResponse;
use marbledeck_consensus::LeasedReader;
use marbledeck_dispatcher::{Micros, RequestId, WorkerId};
use serde_json::Value;

/// What services work with.
pub struct Context {
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

/// What the service of the agreement tells the others. Empty where the part is off.
#[derive(Default)]
pub struct Agreed {
    /// What this node may act on; none where the part is off.
    pub reader: Option<LeasedReader>,
    /// Counts the readings.
    pub readings: u64,
    /// What the last one told of this node's own.
    pub answer: ReadResponse,
}

/// One kind of peer. What a service has no use for has a default.
pub trait Service {
    /// By which the service of another process is found.
    fn name(&self) -> &'static str;

    /// The sockets that listen for it and are handed on in an upgrade.
    fn listeners(&self) -> Vec<Token> {
        Vec::new()
    }

    /// Something has happened on one of its sockets.
    fn ready(&mut self, now: Micros, event: Ready, context: &mut Context);

    /// When [`Service::wake`] is next wanted.
    fn next_wake(&self) -> Option<Micros> {
        None
    }

    /// Its time has come.
    fn wake(&mut self, _now: Micros, _hub: &mut Context) {}

    /// The core's commands of this turn are carried out.
    fn settled(&mut self, _now: Micros, _hub: &mut Context) {}

    /// The final answer of an invocation; tells whether it was one of this service's.
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
    fn probes(&mut self, _now: Micros, _worker: WorkerId, _hub: &mut Context) {}

    /// A call goes out to a worker.
    fn called(&mut self, _now: Micros, _worker: WorkerId) {}

    /// A call to a worker has ended, however.
    fn came_back(&mut self, _now: Micros, _worker: WorkerId) {}

    /// A worker has begun to run an invocation.
    fn running(&mut self, _now: Micros, _id: RequestId, _worker: WorkerId, _hub: &Context) {}

    /// An invocation that ran waits to be run once more.
    fn requeued(&mut self, _now: Micros, _id: RequestId) {}

    /// An operator calls. Tells whether the call is this service's; it is answered by one [`Service::reply`] then.
    fn operate(
        &mut self,
        _now: Micros,
        _caller: Token,
        _call: &admin::Call,
        _hub: &mut Context,
    ) -> bool {
        false
    }

    /// The next answer to an operator.
    fn reply(&mut self) -> Option<(Token, String)> {
        None
    }

    /// Leaves new connections to the process that replaces this one, or takes them again where that one is lost.
    fn set_succeeded(&mut self, _succeeded: bool, _hub: &mut Context) {}

    /// SIGTERM has come: nothing new is taken.
    fn end(&mut self, _now: Micros) {}

    /// The node takes nothing any more, and no process takes over what this service holds.
    fn abandon(&mut self, _now: Micros) {}

    /// The process that this one replaces has a service of this name.
    fn met(&mut self, _now: Micros) {}

    /// The process that replaces this one has a service of this name, and serves.
    fn hand_over(&mut self, _now: Micros, _hub: &mut Context) {}

    /// Whether nothing is still to be handed over.
    fn is_handed_over(&self) -> bool {
        true
    }

    /// The next word for a partner.
    fn next_word(&mut self, _side: Side) -> Option<Value> {
        None
    }

    /// A word of a partner's service of this name.
    fn told(&mut self, _now: Micros, _side: Side, _word: Value, _hub: &mut Context) {}

    /// A partner is gone.
    fn lost(&mut self, _now: Micros, _side: Side) {}
}
