//! The end of each event-loop iteration: executes the core's commands and writes all buffered output.

use super::Node;
use crate::context::Context;
use crate::core::Command;
use marbledeck_dispatcher::{Micros, WorkerId};

impl Node {
    /// Executes the core's commands and flushes all connections.
    pub(super) fn finish_turn(&mut self, now: Micros) {
        self.carry_out(now);
        if self.context.workers.has_unsent() {
            self.recheck_before_sending();
        }
        let Context {
            net, core, workers, ..
        } = &mut self.context;
        net.flush(now);
        workers.record_written(net, core);
        self.clients.limit_memory(now, net);
    }

    /// Checks again, right before the flush, whether the attempts that were decided may still be sent. The process may
    /// have been suspended or busy since the decision, and in the meantime a new list, a client's departure or a
    /// deadline may have made an attempt invalid.
    fn recheck_before_sending(&mut self) {
        let now = self.clock.now();
        self.exchange_ids(now);
        let context = &mut self.context;
        context.now = now;
        let (fleet, net, core) = (&mut context.fleet, &mut context.net, &mut context.core);
        context.discovery.wake(now, fleet, net, core);
        let awaited = context.discovery.awaited_connection();
        if let Some(ready) = awaited.and_then(|token| net.poll_connection(token)) {
            context
                .discovery
                .handle_event(now, ready.token, fleet, net, core);
        }
        // The answer just read may be old and incomplete, so the age of the list is checked again.
        let now = self.clock.now();
        context.now = now;
        context.discovery.wake(now, fleet, net, core);
        let unsent = context.workers.requests_leaving(net);
        let revision = context.discovery.revision();
        log::trace!(
            "{} unsent calls may be sent by revision {revision} of the worker list",
            unsent.len()
        );
        self.clients.drop_departed(now, &unsent, net, core);
        context.workers.withdraw_stale(now, fleet, net, core);
        context.workers.refresh_deadlines(now, net);
        // Requests whose attempts were withdrawn are retried or answered in this iteration.
        self.carry_out(now);
    }

    /// Executes the core's commands, then the remaining work of the services.
    pub(super) fn carry_out(&mut self, now: Micros) {
        // Sent first, so that the other process learns of a handed-over job before any worker does.
        self.send_partner_messages(now);
        self.carry_out_commands(now);
        for number in 0..self.services.len() {
            self.services[number].finish_turn(now, &mut self.context);
            self.send_operator_replies(number);
        }
        self.send_partner_messages(now);
    }

    fn send_operator_replies(&mut self, number: usize) {
        while self.operators.is_some() {
            let Some((caller, text)) = self.services[number].next_operator_reply() else {
                return;
            };
            self.send_to_operator(caller, &text);
        }
    }

    fn carry_out_commands(&mut self, now: Micros) {
        loop {
            let Context {
                net,
                core,
                workers,
                fleet,
                ..
            } = &mut self.context;
            for worker in std::mem::take(&mut fleet.stale_workers) {
                workers.forget_worker(worker, net);
            }
            let Some(command) = core.next_command() else {
                return;
            };
            self.carry_out_command(now, command);
        }
    }

    fn carry_out_command(&mut self, now: Micros, command: Command) {
        let Context {
            net,
            core,
            workers,
            discovery,
            fleet,
            ..
        } = &mut self.context;
        match command {
            Command::StartAttempt(attempt) => {
                for service in &mut self.services {
                    service.handle_attempt_start(now, attempt.worker);
                }
                let target = fleet.target(attempt.worker);
                workers.start_attempt(now, &attempt, target, net, core);
            }
            Command::CancelAttempt { request, attempt } => {
                workers.cancel_attempt(request, attempt, net);
            }
            Command::ProbeWorker(worker) => self.probe(now, worker),
            Command::AttemptEnded(worker) => {
                for service in &mut self.services {
                    service.handle_attempt_end(now, worker);
                }
            }
            Command::WatchWorkers => discovery.watch(now, net),
            Command::Answer {
                request,
                answer,
                last_attempt_sent_at,
            } => {
                if !self.clients.send_answer(now, request, &answer, net, core) {
                    let mut services = self.services.iter_mut();
                    services.any(|service| {
                        service.handle_answer(now, request, &answer, last_attempt_sent_at)
                    });
                }
            }
            Command::RequestRunning(request, worker) => {
                for service in &mut self.services {
                    service.handle_run_start(now, request, worker, &self.context);
                }
            }
            Command::RequestRequeued(request) => {
                for service in &mut self.services {
                    service.handle_requeue(now, request);
                }
            }
        }
    }

    /// Probes a worker for its load, and asks the services for what they know about it.
    fn probe(&mut self, now: Micros, worker: WorkerId) {
        for service in &mut self.services {
            service.handle_probe(now, worker, &mut self.context);
        }
        let Context {
            net,
            core,
            workers,
            fleet,
            ..
        } = &mut self.context;
        let target = fleet.target(worker);
        workers.probe(now, worker, target, net, core);
    }
}
