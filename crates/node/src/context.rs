//! The shared components that services use besides their own state.

use crate::core::Core;
use crate::discovery::Discovery;
use crate::fleet::Fleet;
use crate::net::Net;
use crate::placement::ForwardedJobs;
use crate::records::AgreedRecords;
use crate::workers::Workers;
use marbledeck_dispatcher::Micros;

/// The components of the node that all services may use.
pub struct Context {
    /// The time of this iteration of the event loop.
    pub now: Micros,
    /// The sockets.
    pub net: Net,
    /// The requests, and the dispatcher that decides about them.
    pub core: Core,
    /// The connections to the workers.
    pub workers: Workers,
    /// The discovery client.
    pub discovery: Discovery,
    /// The known workers.
    pub fleet: Fleet,
    /// The agreed records, as far as they are known to this node.
    pub records: AgreedRecords,
    /// Jobs that are forwarded to other sites; `None` if federation is off.
    pub forwarded_jobs: Option<ForwardedJobs>,
}
