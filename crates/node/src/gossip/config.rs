//! The settings of gossip: where this node and its peers take datagrams.

use crate::config_error::{ConfigError, ConfigProblem};
use crate::config_file::parse_address;
use std::net::SocketAddr;

/// The nodes that gossip with each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeersConfig {
    /// Where this node takes datagrams.
    pub listen: SocketAddr,
    /// Where each node sends from and takes datagrams, by its number; this one included.
    pub nodes: Vec<SocketAddr>,
    /// The number of this node.
    pub index: usize,
}

impl PeersConfig {
    /// Reads the keys `peer_listen` and `peers` of the node's file. None where there is no other node, or the platform
    /// does not let nodes send to each other.
    ///
    /// # Errors
    /// An address cannot be read, or the list has none for this node.
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
