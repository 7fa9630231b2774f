//! Linearizable reads by read index: many read requests share one round of the leader's quorum.

use super::HEARTBEAT_TICKS;

/// Ticks after which an unanswered read index request is replaced by a new one, since a message may have been lost.
const READ_INDEX_TIMEOUT_TICKS: u64 = 2 * HEARTBEAT_TICKS as u64;

/// A read index request that was sent.
struct ReadIndexRequest {
    /// Identifies it in the library.
    context: Vec<u8>,
    /// The last read request that it serves.
    last_request: u64,
    sent_tick: u64,
}

/// Reads that may be answered once the log is applied up to `index`.
struct WaitingReads {
    index: u64,
    last_request: u64,
}

/// The read requests of one voter. Only the number of the last one is stored, since any number of them may arrive while
/// there is no quorum.
pub(super) struct PendingReads {
    voter: u64,
    incarnation: u64,
    /// Number of the last read index request.
    serial: u64,
    /// The last read request.
    last_request: u64,
    /// The last read request for which a read index is known.
    last_indexed: u64,
    outstanding: Option<ReadIndexRequest>,
    waiting: Vec<WaitingReads>,
}

impl PendingReads {
    pub(super) fn new(voter: u64, incarnation: u64) -> Self {
        PendingReads {
            voter,
            incarnation,
            serial: 0,
            last_request: 0,
            last_indexed: 0,
            outstanding: None,
            waiting: Vec::new(),
        }
    }

    pub(super) fn add_request(&mut self, request: u64) {
        self.last_request = self.last_request.max(request);
    }

    /// The context of the read index request to send now, if one is due.
    pub(super) fn poll_read_index(&mut self, tick: u64) -> Option<Vec<u8>> {
        self.outstanding
            .take_if(|request| tick - request.sent_tick > READ_INDEX_TIMEOUT_TICKS);
        if self.outstanding.is_some() || self.last_request <= self.last_indexed {
            return None;
        }
        self.serial += 1;
        // Unique across voters and incarnations, so that the response to another request is not taken for this one's.
        let mut context = self.voter.to_be_bytes().to_vec();
        context.extend(self.incarnation.to_be_bytes());
        context.extend(self.serial.to_be_bytes());
        self.outstanding = Some(ReadIndexRequest {
            context: context.clone(),
            last_request: self.last_request,
            sent_tick: tick,
        });
        Some(context)
    }

    /// Handles a read index that the leader has confirmed.
    pub(super) fn handle_read_index(&mut self, context: &[u8], index: u64) {
        let answered = self
            .outstanding
            .take_if(|request| request.context == context);
        if let Some(request) = answered {
            let last_request = request.last_request;
            self.last_indexed = last_request;
            self.waiting.push(WaitingReads {
                index,
                last_request,
            });
        }
    }

    /// The last read request that may be answered now, if any has become answerable since the last call.
    pub(super) fn take_confirmed(&mut self, applied_index: u64) -> Option<u64> {
        let is_confirmed = |reads: &mut WaitingReads| reads.index <= applied_index;
        let confirmed = self.waiting.extract_if(.., is_confirmed);
        confirmed.map(|reads| reads.last_request).max()
    }
}
