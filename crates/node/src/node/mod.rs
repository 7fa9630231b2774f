//! One process of a node: the core, the services and all connections, run by a single-threaded event loop.
//!
//! `builder` creates the components and this module runs the event loop. `commands` executes the commands of the core,
//! `operators` the calls of operators. `shutdown` handles SIGTERM, `reload` handles SIGHUP, `replacement` replaces a
//! running process, and `limits` divides the resource limits between the processes of the node.

mod builder;
mod commands;
mod limits;
mod operators;
mod reload;
mod replacement;
mod shutdown;
mod signals;

pub use builder::StartError;
pub use signals::Signals;

use crate::admin::Admin;
use crate::clients::Clients;
use crate::clock::{millis, Clock};
use crate::config::{ConfigError, NodeConfig};
use crate::context::Context;
use crate::discovery::WaitOutcome;
use crate::handover::Handover;
use crate::net::{Peer, Ready, SocketEvent, Token};
use crate::placement::ForwardedJobs;
use crate::service::Service;
use limits::SharedLimits;
use marbledeck_dispatcher::Micros;
use marbledeck_platform_settings::PlatformSettings;
use replacement::Readiness;
use shutdown::Lifecycle;
use std::net::SocketAddr;

/// Interval at which the request counts are logged.
const LOG_INTERVAL: Micros = millis(10_000);

/// Reads the current configuration; called on SIGHUP.
pub type ReadConfig = Box<dyn Fn() -> Result<NodeConfig, ConfigError>>;

/// One process of the node.
pub struct Node {
    clock: Clock,
    context: Context,
    clients: Clients,
    /// The services. [`Peer::Service`] holds a position in this list.
    services: Vec<Box<dyn Service>>,
    operators: Option<Admin>,
    handover: Handover,
    limits: SharedLimits,
    signals: Signals,
    read_config: ReadConfig,
    /// The discovery address in the file when it was last read. A reload only applies a change of it, since the address
    /// in use may come from the environment.
    discovery_in_file: Option<SocketAddr>,
    /// The platform settings at the start. A reload does not apply changes to them.
    platform_settings: PlatformSettings,
    lifecycle: Lifecycle,
    /// Whether the predecessor was notified that this process can serve.
    readiness: Readiness,
    /// The names of the services that the successor runs.
    successor_services: Vec<String>,
    next_log: Micros,
}

impl Node {
    /// Runs the event loop until SIGTERM was received and all open requests have ended.
    pub fn run(&mut self) {
        let mut events = Vec::new();
        loop {
            let now = self.clock.now();
            self.announce_readiness();
            self.finish_turn(now);
            if self.is_finished(now) {
                log::info!("{}", self.context.core.class_summary());
                log::info!("ended: {}", self.context.core.counts());
                return;
            }
            self.wait(&mut events);
            // Timers run first, so that a large batch of events does not delay them.
            self.wake(self.clock.now());
            for event in events.drain(..) {
                if let Some(ready) = self.context.net.process_event(event) {
                    self.handle_event(ready);
                }
            }
        }
    }

    /// Waits for socket events until the next timer is due, and tells discovery whether its connection was quiet.
    fn wait(&mut self, events: &mut Vec<SocketEvent>) {
        let from = self.clock.now();
        let next_wake = self.next_wake();
        let Context { net, discovery, .. } = &mut self.context;
        let is_complete = net.wait(from, next_wake, events);
        let awaited = discovery.awaited_connection();
        let is_awaited = |event: &SocketEvent| Some(event.token()) == awaited;
        let outcome = if is_complete && !events.iter().any(is_awaited) {
            WaitOutcome::NoInput
        } else {
            WaitOutcome::PossibleInput
        };
        discovery.record_wait(from, self.clock.now(), outcome);
    }

    fn next_wake(&self) -> Option<Micros> {
        let timers = [
            self.context.core.next_wake(),
            self.context.workers.next_wake(),
            self.context.discovery.next_wake(),
            self.context
                .forwarded_jobs
                .as_ref()
                .and_then(ForwardedJobs::next_wake),
            self.context.fleet.members.next_wake(),
            self.clients.next_wake(),
            self.operators.as_ref().and_then(Admin::next_wake),
            self.lifecycle.next_wake(),
            Some(self.next_log),
        ];
        let services = self.services.iter().map(|service| service.next_wake());
        timers.into_iter().chain(services).flatten().min()
    }

    /// Runs all timers that are due.
    fn wake(&mut self, now: Micros) {
        self.context.now = now;
        let Context {
            net,
            core,
            workers,
            discovery,
            fleet,
            ..
        } = &mut self.context;
        // Discovery runs first: if its list has become too old, no other timer may send a job by it.
        discovery.wake(now, fleet, net, core);
        core.wake(now);
        workers.wake(now, net, core);
        let evidence = std::mem::take(&mut workers.evidence);
        for worker in fleet.wake(now, evidence, core) {
            workers.check_health(now, worker, fleet.endpoint(worker), net);
        }
        self.clients.wake(now, net);
        for service in &mut self.services {
            service.wake(now, &mut self.context);
        }
        self.lifecycle.expire_successor_timeout(now);
        if let Some(operators) = &mut self.operators {
            operators.wake(now, &mut self.context.net);
        }
        if self.lifecycle.take_end_requests_due(now) {
            log::info!(
                "settling: ending {} open requests before SIGKILL",
                self.context.core.unanswered()
            );
            self.context.core.end_open_requests(now);
        }
        if now >= self.next_log {
            self.next_log = now + LOG_INTERVAL;
            log::info!("{}", self.context.core.counts());
            log::info!("{}", self.context.core.class_summary());
        }
    }

    fn handle_event(&mut self, event: Ready) {
        let (now, token) = (self.clock.now(), event.token);
        self.context.now = now;
        match event.peer {
            Peer::Client if event.listener => self.clients.accept(now, &mut self.context.net),
            Peer::Client => {
                let Context { net, core, .. } = &mut self.context;
                self.clients.handle_ready(now, token, net, core);
            }
            Peer::Worker => {
                let Context {
                    net, core, workers, ..
                } = &mut self.context;
                workers.handle_ready(now, token, net, core);
            }
            Peer::Discovery => {
                let Context {
                    net,
                    core,
                    discovery,
                    fleet,
                    ..
                } = &mut self.context;
                discovery.handle_event(now, token, fleet, net, core);
            }
            Peer::Service(number) => {
                if let Some(service) = self.services.get_mut(usize::from(number)) {
                    service.handle_event(now, event, &mut self.context);
                }
            }
            Peer::Operator => self.handle_operator_event(now, &event),
            Peer::Partner => self.handle_partner_event(now, &event),
            Peer::TerminateSignal => self.shut_down(now),
            Peer::ReloadSignal => self.reload(now),
        }
        self.carry_out(now);
    }

    fn handle_operator_event(&mut self, now: Micros, event: &Ready) {
        let Some(operators) = &mut self.operators else {
            return;
        };
        let net = &mut self.context.net;
        if event.listener {
            operators.accept(now, net);
        } else if let Some(call) = operators.read_call(event.token, net) {
            self.handle_operator_call(now, event.token, call);
        }
    }

    pub(super) fn handle_partner_event(&mut self, now: Micros, event: &Ready) {
        if event.listener {
            let accepted = self.handover.accept(&mut self.context.net);
            self.handle_handover_event(now, accepted);
            return;
        }
        while let Some(received) = self.handover.next_event(event.token, &mut self.context.net) {
            self.handle_handover_event(now, Some(received));
        }
    }

    /// All listening sockets that a successor takes over.
    fn listeners(&self) -> Vec<Token> {
        let of_services = self.services.iter().flat_map(|service| service.listeners());
        [self.clients.acceptor.listener()]
            .into_iter()
            .chain(of_services)
            .collect()
    }
}
