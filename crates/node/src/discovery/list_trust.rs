//! Which entries of the endpoint list may still be sent by, once discovery has begun to say something newer.
//!
//! A change counts as notified when discovery writes it. An answer that has begun, and is not read to its end, may say
//! of any worker that it drains: whatever keeps it from being read, its size or pace, a break or this node's processor
//! time. So the list before it is used for no longer than the grace. From then on only those workers are sent to that
//! the answer itself, or one after it, has named as up.

use marbledeck_dispatcher::Micros;
use std::collections::VecDeque;

/// How long a process may be held up between reading its clock and writing (standing test).
const MAX_HOLD_UP: Micros = Micros(150_000);
/// How long a turn of the event loop may take after it has looked at the time.
const MAX_TURN: Micros = Micros(50_000);
/// A rule whose moment is the first byte that leaves is enforced so long before: what is checked leaves later.
pub const SEND_MARGIN: Micros = Micros(MAX_HOLD_UP.0 + MAX_TURN.0);

/// An answer that has begun and was not read to its end.
struct UnreadAnswer {
    /// The number of its list.
    list_number: u64,
    began_at: Micros,
    /// From then on an earlier list is not to be sent by.
    expires_at: Micros,
}

/// Which lists may be sent by.
pub struct ListTrust {
    /// How long a drain that was notified may be disregarded.
    grace: Micros,
    /// Answers that were not read to their end, the first to begin first; those that have expired are taken off.
    unread: VecDeque<UnreadAnswer>,
    /// Reports of lists before this one are not sent by.
    trusted_from: u64,
}

impl ListTrust {
    /// All lists are trusted at first.
    pub fn new(grace: Micros) -> Self {
        ListTrust {
            grace,
            unread: VecDeque::new(),
            trusted_from: 0,
        }
    }

    /// An answer has begun, with a list of this number.
    pub fn begin_answer(&mut self, list_number: u64, began_at: Micros) {
        let expires_at = began_at + (self.grace - SEND_MARGIN);
        self.unread.push_back(UnreadAnswer {
            list_number,
            began_at,
            expires_at,
        });
    }

    /// What has begun last is no list.
    pub fn cancel_answer(&mut self, list_number: u64) {
        self.unread
            .retain(|answer| answer.list_number != list_number);
    }

    /// An answer was read to its end: nothing newer is known of. Returns whether any list was not trusted.
    pub fn complete_answer(&mut self) -> bool {
        self.unread.clear();
        std::mem::take(&mut self.trusted_from) > 0
    }

    /// When [`ListTrust::expire`] is next wanted.
    pub fn next_expiry(&self) -> Option<Micros> {
        self.unread.front().map(|answer| answer.expires_at)
    }

    /// Takes off the answers whose time is over. Returns how long ago the last of them began, where there is one.
    pub fn expire(&mut self, now: Micros) -> Option<Micros> {
        let mut began_at = None;
        while let Some(answer) = self.unread.pop_front_if(|answer| answer.expires_at <= now) {
            self.limit(answer.list_number);
            began_at = Some(answer.began_at);
        }
        began_at.map(|began_at| now - began_at)
    }

    /// Trusts no list before this one.
    pub fn limit(&mut self, list_number: u64) {
        self.trusted_from = self.trusted_from.max(list_number);
    }

    /// The first list that is trusted; 0 where all are.
    pub fn trusted_from(&self) -> u64 {
        self.trusted_from
    }

    /// Whether discovery has written something that this node has not read.
    pub fn is_behind(&self) -> bool {
        !self.unread.is_empty() || self.trusted_from > 0
    }
}
