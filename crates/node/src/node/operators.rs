//! Execution of operator calls.

use super::Node;
use crate::admin::{self, Call};
use crate::context::Context;
use crate::handover::Message;
use crate::net::Token;
use marbledeck_dispatcher::Micros;

impl Node {
    /// Executes an operator's call and sends the answer. Calls about records are passed to the services.
    pub(super) fn handle_operator_call(&mut self, now: Micros, caller: Token, call: Call) {
        let answer = match call {
            Call::Check => self.check_serving(),
            Call::Vars => {
                let Context { core, fleet, .. } = &self.context;
                let counts = fleet.count(|worker| core.is_ejected(now, worker));
                let text = admin::describe_metrics(core, counts);
                return self.send_to_operator(caller, &text);
            }
            Call::Members(after) => {
                let members = &self.context.fleet.members;
                let text = admin::describe_members(now, members, after.as_deref());
                return self.send_to_operator(caller, &text);
            }
            Call::SetDown(id) => self.set_out_of_service(now, id, true),
            Call::SetUp(id) => self.set_out_of_service(now, id, false),
            call @ (Call::Records | Call::Change(_)) => {
                let mut services = self.services.iter_mut();
                if services.any(|service| {
                    service.handle_operator_call(now, caller, &call, &mut self.context)
                }) {
                    return;
                }
                Err("the operator file has no section [agreement]".into())
            }
        };
        if let Some(operators) = &mut self.operators {
            operators.answer(caller, answer, &mut self.context.net);
        }
    }

    /// Sends an answer of several lines to an operator.
    pub(super) fn send_to_operator(&mut self, caller: Token, text: &str) {
        if let Some(operators) = &mut self.operators {
            operators.send(caller, text, &mut self.context.net);
        }
    }

    /// Checks whether this process can serve requests; the error is the reason why not.
    pub(super) fn check_serving(&self) -> admin::Answer {
        if self.lifecycle.is_shutting_down() {
            Err("ending".into())
        } else if self.context.core.has_workers() {
            Ok("serving".into())
        } else {
            Err("no worker is known".into())
        }
    }

    /// Takes a worker out of service or puts it back, and informs the other process of this node.
    fn set_out_of_service(&mut self, now: Micros, id: String, is_out: bool) -> admin::Answer {
        if !self.context.fleet.members.is_known(&id) {
            return Err("unknown render worker".into());
        }
        let answer = describe_service_state(&id, is_out);
        self.apply_out_of_service(now, &id, is_out);
        let message = if is_out {
            Message::WorkerOut(id)
        } else {
            Message::WorkerBack(id)
        };
        self.handover.send_to_all(&message, &mut self.context.net);
        Ok(answer)
    }

    /// Applies a worker's service state, whether the operator has called this process or the other one.
    pub(super) fn apply_out_of_service(&mut self, now: Micros, id: &str, is_out: bool) {
        log::info!("operators: {}", describe_service_state(id, is_out));
        let Context { core, fleet, .. } = &mut self.context;
        fleet.set_out_of_service(now, id, is_out, core);
    }
}

fn describe_service_state(id: &str, is_out: bool) -> String {
    let state = if is_out { "out" } else { "may serve" };
    format!("{id} {state}")
}
