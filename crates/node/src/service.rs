//! The interface of services: optional components of the node, such as batch submission and gossip.
//!
//! The event loop addresses a service by its position in a list. It delivers socket events, timers and the progress of
//! requests, and carries the service's messages to the other process of this node while one replaces the other.

use crate::admin;
use crate::context::Context;
use crate::core::FinalAnswer;
use crate::handover::Side;
use crate::net::{Ready, Token};
use marbledeck_dispatcher::{Micros, RequestId, WorkerId};
use serde_json::Value;

/// An optional component of the node. Callbacks that a service does not need have defaults that do nothing.
pub trait Service {
    /// The name that identifies the same service in another process.
    fn name(&self) -> &'static str;

    /// The listening sockets that are handed over to a successor.
    fn listeners(&self) -> Vec<Token> {
        Vec::new()
    }

    /// Handles an event on one of the service's sockets.
    fn handle_event(&mut self, now: Micros, event: Ready, context: &mut Context);

    /// When [`Service::wake`] must be called next; `None` if no timer is set.
    fn next_wake(&self) -> Option<Micros> {
        None
    }

    /// Runs the timers that are due.
    fn wake(&mut self, _now: Micros, _context: &mut Context) {}

    /// Completes the work of an event-loop iteration, after the core's commands were executed.
    fn finish_turn(&mut self, _now: Micros, _context: &mut Context) {}

    /// Handles the final answer of a request. Returns whether the request belongs to this service.
    fn handle_answer(
        &mut self,
        _now: Micros,
        _id: RequestId,
        _answer: &FinalAnswer,
        _last_attempt_sent_at: Option<Micros>,
    ) -> bool {
        false
    }

    /// Called when a worker is probed for its load.
    fn handle_probe(&mut self, _now: Micros, _worker: WorkerId, _context: &mut Context) {}

    /// Called when an attempt is sent to a worker.
    fn handle_attempt_start(&mut self, _now: Micros, _worker: WorkerId) {}

    /// Called when an attempt at a worker has ended, with any outcome.
    fn handle_attempt_end(&mut self, _now: Micros, _worker: WorkerId) {}

    /// Called when a worker has started to run a request.
    fn handle_run_start(
        &mut self,
        _now: Micros,
        _id: RequestId,
        _worker: WorkerId,
        _context: &Context,
    ) {
    }

    /// Called when a request that had run waits for a retry.
    fn handle_requeue(&mut self, _now: Micros, _id: RequestId) {}

    /// Handles an operator's call. Returns whether the call belongs to this service; the service then answers it with
    /// one [`Service::next_operator_reply`].
    fn handle_operator_call(
        &mut self,
        _now: Micros,
        _caller: Token,
        _call: &admin::Call,
        _context: &mut Context,
    ) -> bool {
        false
    }

    /// Removes and returns the next answer to an operator, with the caller's connection.
    fn next_operator_reply(&mut self) -> Option<(Token, String)> {
        None
    }

    /// Leaves new connections to a successor that serves, or accepts them again if the successor is lost.
    fn set_has_successor(&mut self, _has_successor: bool, _context: &mut Context) {}

    /// Starts the shutdown after SIGTERM: no new work is accepted.
    fn begin_shutdown(&mut self, _now: Micros) {}

    /// Called when the node stops accepting connections. Rejects waiting work unless a successor takes it over.
    fn stop_accepting(&mut self, _now: Micros) {}

    /// Called at the start if the predecessor runs a service of this name.
    fn handle_predecessor(&mut self, _now: Micros) {}

    /// Starts to hand over the service's state to a serving successor that has a service of this name.
    fn begin_handover(&mut self, _now: Micros, _context: &mut Context) {}

    /// Whether the service has nothing left to hand over.
    fn is_handed_over(&self) -> bool {
        true
    }

    /// Whether the successor learns through this process only what becomes of the predecessor's work.
    fn is_relaying(&self) -> bool {
        false
    }

    /// Removes and returns the next message to the service of this name in another process.
    fn next_partner_message(&mut self, _side: Side) -> Option<Value> {
        None
    }

    /// Handles a message from the service of this name in another process.
    fn handle_partner_message(
        &mut self,
        _now: Micros,
        _side: Side,
        _message: Value,
        _context: &mut Context,
    ) {
    }

    /// Called when the connection to another process is lost.
    fn handle_partner_lost(&mut self, _now: Micros, _side: Side) {}
}
