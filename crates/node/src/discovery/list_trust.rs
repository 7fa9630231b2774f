//! Decides which endpoint lists may be used to route requests once a newer answer from discovery has begun.
//!
//! A change counts as notified when discovery writes it. An answer that has begun and has not been read to its end may
//! report any worker as draining, whether its size, its pace, a broken connection or a lack of processor time delays
//! the reading. The lists before it are therefore used for no longer than the drain grace. After that, requests go only
//! to workers that this answer or a later one has reported as up.

use marbledeck_dispatcher::Micros;
use std::collections::VecDeque;

/// The longest stall of the process between reading its clock and writing (standing test).
const MAX_PROCESS_STALL: Micros = Micros(150_000);
/// The longest turn of the event loop, from reading the clock to its end.
const MAX_LOOP_TURN: Micros = Micros(50_000);
/// How far ahead of its deadline a rule about sending is enforced. The deadline applies to the first byte sent, which
/// leaves the process later than the check.
pub const SEND_MARGIN: Micros = Micros(MAX_PROCESS_STALL.0 + MAX_LOOP_TURN.0);

/// An answer that has begun and has not been read to its end.
struct UnreadAnswer {
    /// The number of its list.
    list_number: u64,
    began_at: Micros,
    /// When earlier lists may no longer be used to route requests.
    expires_at: Micros,
}

/// Tracks which endpoint lists may be used to route requests.
pub struct ListTrust {
    /// How long a worker may still be sent to after its drain was notified.
    drain_grace: Micros,
    /// The answers that were not read to their end and have not expired, in the order in which they began.
    unread: VecDeque<UnreadAnswer>,
    /// The first trusted list; reports of earlier lists are not used to route requests.
    trusted_from: u64,
}

impl ListTrust {
    /// Creates a tracker that trusts all lists.
    pub fn new(drain_grace: Micros) -> Self {
        ListTrust {
            drain_grace,
            unread: VecDeque::new(),
            trusted_from: 0,
        }
    }

    /// Records that an answer has begun with the list of this number.
    pub fn begin_answer(&mut self, list_number: u64, began_at: Micros) {
        let expires_at = began_at + (self.drain_grace - SEND_MARGIN);
        self.unread.push_back(UnreadAnswer {
            list_number,
            began_at,
            expires_at,
        });
    }

    /// Forgets an answer that turned out not to contain a list.
    pub fn cancel_answer(&mut self, list_number: u64) {
        self.unread
            .retain(|answer| answer.list_number != list_number);
    }

    /// Records that an answer was read to its end, after which all lists are trusted. Returns whether some list was not
    /// trusted before.
    pub fn complete_answer(&mut self) -> bool {
        self.unread.clear();
        std::mem::take(&mut self.trusted_from) > 0
    }

    /// When [`ListTrust::expire`] has to be called next.
    pub fn next_expiry(&self) -> Option<Micros> {
        self.unread.front().map(|answer| answer.expires_at)
    }

    /// Stops trusting the lists before each answer that has been unread for too long. Returns how long ago the last of
    /// these answers began, if there is one.
    pub fn expire(&mut self, now: Micros) -> Option<Micros> {
        let mut began_at = None;
        while let Some(answer) = self.unread.pop_front_if(|answer| answer.expires_at <= now) {
            self.distrust_before(answer.list_number);
            began_at = Some(answer.began_at);
        }
        began_at.map(|began_at| now - began_at)
    }

    /// Stops trusting the lists before this one.
    pub fn distrust_before(&mut self, list_number: u64) {
        self.trusted_from = self.trusted_from.max(list_number);
    }

    /// The number of the first trusted list; 0 if all are trusted.
    pub fn trusted_from(&self) -> u64 {
        self.trusted_from
    }

    /// Whether discovery has written changes that this node has not read completely.
    pub fn is_behind(&self) -> bool {
        !self.unread.is_empty() || self.trusted_from > 0
    }
}
