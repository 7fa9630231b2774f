//! The interface of services: parts that register with the event loop, and that the node can do without.
//!
//! The event loop knows a service by its number only. It passes on what has happened on its sockets and what has become
//! of requests, asks when it next wants to be woken, and carries its messages to the other process of this node while
//! one replaces the other.

use crate::admin;
use crate::context::Context;
use crate::core::FinalAnswer;
use crate::handover::Side;
use crate::net::{Ready, Token};
use marbledeck_dispatcher::{Micros, RequestId, WorkerId};
use serde_json::Value;

/// One service. What it has no use for has a default that does nothing.
pub trait Service {
    /// The name by which the same service of another process is found.
    fn name(&self) -> &'static str;

    /// The listening sockets that are passed on to a successor.
    fn listeners(&self) -> Vec<Token> {
        Vec::new()
    }

    /// Something has happened on one of its sockets.
    fn handle_event(&mut self, now: Micros, event: Ready, context: &mut Context);

    /// When [`Service::wake`] is next wanted.
    fn next_wake(&self) -> Option<Micros> {
        None
    }

    /// Handles the timers that are due.
    fn wake(&mut self, _now: Micros, _context: &mut Context) {}

    /// Does what is left to do at the end of a turn, when the core's commands are carried out.
    fn finish_turn(&mut self, _now: Micros, _context: &mut Context) {}

    /// Takes the final answer of a request, and tells whether the request was one of this service's.
    fn handle_answer(
        &mut self,
        _now: Micros,
        _id: RequestId,
        _answer: &FinalAnswer,
        _last_attempt_sent_at: Option<Micros>,
    ) -> bool {
        false
    }

    /// A worker is asked for its load.
    fn handle_probe(&mut self, _now: Micros, _worker: WorkerId, _context: &mut Context) {}

    /// An attempt is sent to a worker.
    fn handle_attempt_start(&mut self, _now: Micros, _worker: WorkerId) {}

    /// An attempt at a worker has ended, however.
    fn handle_attempt_end(&mut self, _now: Micros, _worker: WorkerId) {}

    /// A worker has begun to run a request.
    fn handle_run_start(
        &mut self,
        _now: Micros,
        _id: RequestId,
        _worker: WorkerId,
        _context: &Context,
    ) {
    }

    /// A request that ran waits for a retry.
    fn handle_requeue(&mut self, _now: Micros, _id: RequestId) {}

    /// An operator calls. Tells whether the call is this service's; it is then answered by one
    /// [`Service::next_operator_reply`].
    fn handle_operator_call(
        &mut self,
        _now: Micros,
        _caller: Token,
        _call: &admin::Call,
        _context: &mut Context,
    ) -> bool {
        false
    }

    /// The next answer to an operator.
    fn next_operator_reply(&mut self) -> Option<(Token, String)> {
        None
    }

    /// Leaves new connections to a successor that serves, or accepts them again where that one is lost.
    fn set_succeeded(&mut self, _succeeded: bool, _context: &mut Context) {}

    /// SIGTERM has come: nothing new is accepted.
    fn begin_shutdown(&mut self, _now: Micros) {}

    /// The node accepts nothing any more, and no process takes over what this service holds.
    fn abandon(&mut self, _now: Micros) {}

    /// The process that this one replaces has a service of this name.
    fn handle_predecessor(&mut self, _now: Micros) {}

    /// Begins to pass on what it holds: the successor has a service of this name, and serves.
    fn begin_handover(&mut self, _now: Micros, _context: &mut Context) {}

    /// Whether nothing is still to be passed on.
    fn is_handed_over(&self) -> bool {
        true
    }

    /// The next message for the service of this name in another process.
    fn next_partner_message(&mut self, _side: Side) -> Option<Value> {
        None
    }

    /// A message of the service of this name in another process.
    fn handle_partner_message(
        &mut self,
        _now: Micros,
        _side: Side,
        _message: Value,
        _context: &mut Context,
    ) {
    }

    /// Another process is gone.
    fn handle_partner_lost(&mut self, _now: Micros, _side: Side) {}
}
