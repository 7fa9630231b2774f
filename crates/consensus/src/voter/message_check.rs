//! Validation of messages before they reach the consensus library, which panics on some that no correct voter sends.

use crate::error::ConsensusError;
use raft::eraftpb::{Message, MessageType};

/// Checks that a message came from a voter of the group and is for this one.
pub(super) fn check_addresses(
    message: &Message,
    from: u64,
    own_id: u64,
    voters: &[u64],
) -> Result<(), ConsensusError> {
    // A follower forwards reads and proposals to the leader with their original sender.
    let is_forwarded = matches!(
        message.get_msg_type(),
        MessageType::MsgReadIndex | MessageType::MsgPropose
    );
    let is_sender_valid = message.from == from || is_forwarded && voters.contains(&message.from);
    let is_from_peer = voters.contains(&from) && from != own_id;
    if is_from_peer && is_sender_valid && message.to == own_id {
        return Ok(());
    }
    Err(ConsensusError::UnknownSender {
        from: message.from,
        to: message.to,
    })
}

/// Checks the properties that the library assumes. `last_index` is the last index of this voter's log.
pub(super) fn check_content(message: &Message, last_index: u64) -> Result<(), ConsensusError> {
    let entries = &message.entries;
    let violation = match message.get_msg_type() {
        MessageType::MsgHeartbeat if message.commit > last_index => {
            Some("the commit index of a heartbeat is beyond this voter's log")
        }
        MessageType::MsgAppend if !is_contiguous(message) => {
            Some("the entries of an append message are not contiguous")
        }
        MessageType::MsgReadIndexResp if entries.len() != 1 => {
            Some("a read index response without exactly one context")
        }
        MessageType::MsgReadIndex | MessageType::MsgPropose if entries.is_empty() => {
            Some("a read index request or a proposal without entries")
        }
        _ => None,
    };
    match violation {
        Some(reason) => Err(ConsensusError::MalformedMessage(reason.to_owned())),
        None => Ok(()),
    }
}

fn is_contiguous(message: &Message) -> bool {
    let mut entries = message.entries.iter().zip(message.index + 1..);
    entries.all(|(entry, index)| entry.index == index)
}
