//! What the node may hold, and how its two processes share it while one replaces the other.

use super::Node;
use crate::admin;
use crate::config::{ConsensusConfig, OperatorConfig, ResourceLimits};
use crate::federation;
use marbledeck_dispatcher::Micros;

/// The limits of the node, and the part of them that is this process's.
pub(super) struct SharedLimits {
    /// The descriptors that the services may hold.
    reserved_descriptors: usize,
    /// What all processes may hold together, without those descriptors.
    resources: ResourceLimits,
    /// How many processes share the rate limits.
    rate_sharers: u32,
}

impl SharedLimits {
    /// The limits of a process that does not share them yet.
    pub(super) fn new(resources: ResourceLimits, operator_config: &OperatorConfig) -> Self {
        let reserved_descriptors = reserved_descriptors(operator_config);
        SharedLimits {
            reserved_descriptors,
            resources: without_reserved(resources, reserved_descriptors),
            rate_sharers: 1,
        }
    }

    /// What all processes may hold together.
    pub(super) fn resources(&self) -> ResourceLimits {
        self.resources
    }

    /// Takes other limits over from the configuration.
    pub(super) fn replace(&mut self, resources: ResourceLimits) {
        self.resources = without_reserved(resources, self.reserved_descriptors);
    }
}

/// The descriptors of the services come off the clients'.
fn without_reserved(resources: ResourceLimits, reserved_descriptors: usize) -> ResourceLimits {
    let client_connections = resources
        .client_connections
        .saturating_sub(reserved_descriptors)
        .max(1);
    ResourceLimits {
        client_connections,
        ..resources
    }
}

fn reserved_descriptors(config: &OperatorConfig) -> usize {
    let submission = config.submission.as_ref();
    let consensus = config.consensus.as_ref();
    submission.map_or(0, |submission| submission.max_submitters)
        + consensus.map_or(0, ConsensusConfig::descriptors)
        + config
            .site
            .as_ref()
            .map_or(0, |_| federation::MAX_CONNECTIONS)
}

impl Node {
    /// Shares what the node may hold and do with the other process of it, as long as there is one, and leaves new
    /// connections to a successor that serves.
    pub(super) fn share_limits(&mut self, now: Micros) {
        let processes = 1 + usize::from(self.handover.has_partner());
        let resources = self.limits.resources;
        let net = &mut self.context.net;
        self.clients.body_budget = resources.body_bytes / processes;
        self.clients
            .set_max_connections(now, resources.client_connections / processes, net);
        self.context
            .workers
            .set_max_connections(resources.worker_connections / processes, net);
        if let Some(operators) = &mut self.operators {
            operators.set_max_callers(admin::MAX_CALLERS / processes);
        }
        let rate_sharers = 1 + u32::from(self.handover.shares_jobs());
        if self.limits.rate_sharers != rate_sharers {
            self.limits.rate_sharers = rate_sharers;
            self.context.core.set_processes(now, rate_sharers);
        }
        if !self.lifecycle.is_closed() {
            let succeeded = self.handover.has_serving_successor();
            self.clients
                .set_has_successor(succeeded, &mut self.context.net);
            for service in &mut self.services {
                service.set_succeeded(succeeded, &mut self.context);
            }
        }
    }
}
