//! The gossip settings: the addresses of this node and its peers.

use crate::config_error::{ConfigError, ConfigProblem};
use crate::config_file::parse_address;
use std::net::SocketAddr;

/// The nodes that gossip with each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeersConfig {
    /// The address at which this node receives datagrams.
    pub listen: SocketAddr,
    /// The address of each node, by its number, including this one. A node sends from its address and receives there.
    pub nodes: Vec<SocketAddr>,
    /// The number of this node.
    pub index: usize,
}

impl PeersConfig {
    /// Parses the keys `peer_listen` and `peers` of the node's file. Returns none if there is no other node, or the
    /// platform does not allow gossip between nodes.
    ///
    /// # Errors
    /// An address cannot be parsed, or the list has none for this node.
    pub fn parse(
        listen: &str,
        peers: &[String],
        index: usize,
        gossip_is_allowed: bool,
    ) -> Result<Option<Self>, ConfigError> {
        let listen = parse_address("LB_CONFIG: peer_listen", listen)?;
        let mut nodes = Vec::new();
        for (position, peer) in peers.iter().enumerate() {
            let key = format!("LB_CONFIG: peers[{position}]");
            nodes.push(parse_address(key, peer)?);
        }
        if nodes.len() < 2 || !gossip_is_allowed {
            return Ok(None);
        }
        if index >= nodes.len() {
            let problem = ConfigProblem::NoPeerForNode(index);
            return Err(ConfigError::new("LB_CONFIG: peers", problem));
        }
        Ok(Some(PeersConfig {
            listen,
            nodes,
            index,
        }))
    }
}
