//! What services work with, besides their own state.

use crate::core::Core;
use crate::discovery::Discovery;
use crate::fleet::Fleet;
use crate::net::Net;
use crate::placement::ForwardedJobs;
use crate::records::AgreedRecords;
use crate::workers::Workers;
use marbledeck_dispatcher::Micros;

/// The parts of the node that all services may use.
pub struct Context {
    /// The time of this turn of the event loop.
    pub now: Micros,
    /// The sockets.
    pub net: Net,
    /// The requests, and the dispatcher that decides about them.
    pub core: Core,
    /// The connections to the workers.
    pub workers: Workers,
    /// The client of discovery.
    pub discovery: Discovery,
    /// Which workers there are.
    pub fleet: Fleet,
    /// The records that the nodes have agreed on, as far as this one knows.
    pub records: AgreedRecords,
    /// Jobs that other sites are to run; none where federation is off.
    pub forwarded_jobs: Option<ForwardedJobs>,
}
