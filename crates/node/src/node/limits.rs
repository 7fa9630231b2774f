//! Resource limits of the node, and how its two processes share them while one replaces the other.

use super::Node;
use crate::admin;
use crate::config::{ConsensusConfig, OperatorConfig, ResourceLimits};
use crate::federation;
use marbledeck_dispatcher::Micros;

/// The resource limits of the node and the number of processes that share its rate limits.
pub(super) struct SharedLimits {
    /// File descriptors that are reserved for the services.
    reserved_descriptors: usize,
    /// Limits for all processes of the node together, without the reserved descriptors.
    resources: ResourceLimits,
    /// Number of processes that share the rate limits.
    rate_sharers: u32,
}

impl SharedLimits {
    /// The limits of a node with a single process.
    pub(super) fn new(resources: ResourceLimits, operator_config: &OperatorConfig) -> Self {
        let reserved_descriptors = reserved_descriptors(operator_config);
        SharedLimits {
            reserved_descriptors,
            resources: without_reserved(resources, reserved_descriptors),
            rate_sharers: 1,
        }
    }

    /// Limits for all processes of the node together.
    pub(super) fn resources(&self) -> ResourceLimits {
        self.resources
    }

    /// Replaces the limits by those of a reloaded configuration.
    pub(super) fn replace(&mut self, resources: ResourceLimits) {
        self.resources = without_reserved(resources, self.reserved_descriptors);
    }
}

/// Deducts the descriptors of the services from those for client connections, of which at least one stays.
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
    /// Halves resource and rate limits while another process of this node runs, and leaves new connections to a
    /// successor once it serves.
    pub(super) fn share_limits(&mut self, now: Micros) {
        let processes = 1 + usize::from(self.handover.has_partner());
        let resources = self.limits.resources;
        let net = &mut self.context.net;
        self.clients.body_budget = resources.body_bytes / processes;
        self.clients.connection_budget = resources.connection_bytes / processes;
        self.clients
            .set_max_connections(now, resources.client_connections / processes, net);
        self.context
            .workers
            .set_max_connections(resources.worker_connections / processes, net);
        if let Some(operators) = &mut self.operators {
            operators.set_max_callers(admin::MAX_CALLERS / processes);
        }
        self.context
            .core
            .set_shares_ids(self.handover.has_partner());
        let rate_sharers = 1 + u32::from(self.handover.shares_jobs());
        if self.limits.rate_sharers != rate_sharers {
            self.limits.rate_sharers = rate_sharers;
            self.context.core.set_processes(now, rate_sharers);
        }
        if !self.lifecycle.is_closed() {
            let has_successor = self.handover.has_serving_successor();
            self.clients
                .set_has_successor(has_successor, &mut self.context.net);
            for service in &mut self.services {
                service.set_has_successor(has_successor, &mut self.context);
            }
        }
    }
}
