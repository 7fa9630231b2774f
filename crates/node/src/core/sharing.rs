//! Keeps a request that must not be repeated from running twice under the same id: again after its client has left, or at
//! the other process of an upgrade, which is told of each id before the first attempt is sent.

use super::{Core, FinalAnswer};
use crate::clock::millis;
use marbledeck_dispatcher::{Event, Micros, RequestId};

/// How long an id is remembered after the time for which its client waits.
const ID_RETENTION: Micros = millis(120_000);

impl Core {
    /// Sets whether another process of this node runs, which has to be told of ids.
    pub fn set_shares_ids(&mut self, shares_ids: bool) {
        if !shares_ids {
            self.unshared_ids = None;
        } else if self.unshared_ids.is_none() {
            self.unshared_ids = Some(Vec::new());
        }
    }

    /// Removes and returns the ids that the other process has not been told yet.
    pub fn take_unshared_ids(&mut self) -> Vec<String> {
        let ids = self.unshared_ids.as_mut().map(std::mem::take);
        ids.unwrap_or_default()
    }

    /// The ids that a successor has to know.
    pub fn sent_ids(&self) -> Vec<String> {
        self.sent_ids.iter().map(str::to_owned).collect()
    }

    /// Records ids that the other process of this node sends or has sent to workers. A request here with such an id that
    /// has not been sent fails: it is not rejected, since the client could not repeat it safely.
    pub fn add_foreign_ids(&mut self, now: Micros, ids: &[String]) {
        let until = now + self.names.max_deadline() + ID_RETENTION;
        for id in ids {
            self.sent_ids.insert(id, until);
            let Some(request) = self.table.find(id) else {
                continue;
            };
            if self.table.get(request).is_some_and(|r| !r.may_have_run())
                && self.finish(request, FinalAnswer::Failed)
            {
                log::info!("request {}: the other process sends its id", request.0);
                self.pending.push_back(Event::ClientLeft(request));
                self.decide(now);
            }
        }
    }

    /// Whether the id of a new request must not be sent again.
    pub(super) fn is_sent_id(&mut self, now: Micros, id: &str) -> bool {
        self.sent_ids.contains(id, now)
    }

    /// Remembers the id of a request of which an attempt is about to be sent.
    pub(super) fn remember_id(&mut self, id: RequestId) {
        let request = self.table.get(id).filter(|request| request.has_unique_id);
        let Some(request) = request else {
            return;
        };
        let until = request.deadline + ID_RETENTION;
        let transaction_id = &request.payload.transaction_id;
        if self.sent_ids.insert(transaction_id, until) {
            if let Some(unshared_ids) = &mut self.unshared_ids {
                unshared_ids.push(transaction_id.clone());
            }
        }
    }

    /// Removes a request that is closed and has no attempt in flight. Its id is remembered if it may have run.
    pub(super) fn remove_if_done(&mut self, id: RequestId) {
        let Some(request) = self.table.remove_if_done(id) else {
            return;
        };
        if request.has_unique_id && !request.may_have_run() {
            self.sent_ids.remove(&request.payload.transaction_id);
        }
    }
}
