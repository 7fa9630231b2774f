//! The ids of requests that must not run twice and may have run, here or in the other process of an upgrade. They are
//! remembered for some time after their requests have ended, since a client may send one again.

use marbledeck_dispatcher::Micros;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// The maximum memory that the ids may take, in bytes. Beyond it, the one that would be forgotten next is forgotten early.
const MAX_BYTES: usize = 2 * 1024 * 1024;
/// The memory that an id takes besides its text, in bytes.
const BYTES_PER_ID: usize = 128;

/// When an id is forgotten, and its position among those that are forgotten at the same time.
type Expiry = (Micros, u64);

/// The remembered ids.
#[derive(Default)]
pub(super) struct SentIds {
    expiries: HashMap<Rc<str>, Expiry>,
    by_expiry: BTreeMap<Expiry, Rc<str>>,
    bytes: usize,
    next_sequence: u64,
}

impl SentIds {
    /// Remembers an id until this time. Returns whether it was not remembered before.
    pub fn insert(&mut self, id: &str, until: Micros) -> bool {
        if self.expiries.contains_key(id) {
            return false;
        }
        let id: Rc<str> = Rc::from(id);
        let expiry = (until, self.next_sequence);
        self.next_sequence += 1;
        self.bytes += memory_of(&id);
        self.by_expiry.insert(expiry, Rc::clone(&id));
        self.expiries.insert(id, expiry);
        while self.bytes > MAX_BYTES {
            self.forget_first();
        }
        true
    }

    /// Forgets an id: its request has not run.
    pub fn remove(&mut self, id: &str) {
        if let Some((id, expiry)) = self.expiries.remove_entry(id) {
            self.bytes -= memory_of(&id);
            self.by_expiry.remove(&expiry);
        }
    }

    /// Whether an id is remembered, after those are forgotten whose time has come.
    pub fn contains(&mut self, id: &str, now: Micros) -> bool {
        while self.next_expiry().is_some_and(|until| until <= now) {
            self.forget_first();
        }
        self.expiries.contains_key(id)
    }

    /// All remembered ids, the next one to be forgotten first.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.by_expiry.values().map(|id| &**id)
    }

    fn next_expiry(&self) -> Option<Micros> {
        self.by_expiry
            .first_key_value()
            .map(|((until, _), _)| *until)
    }

    fn forget_first(&mut self) {
        if let Some((_, id)) = self.by_expiry.pop_first() {
            self.expiries.remove(&id);
            self.bytes -= memory_of(&id);
        }
    }
}

fn memory_of(id: &str) -> usize {
    id.len() + BYTES_PER_ID
}
