//! Reads the answers of discovery as their bytes arrive; each entry takes effect as soon as it is complete.

use super::list_reader::{ListHeader, ListReader};
use super::list_update::ListUpdate;
use super::staleness::Fault;
use super::Discovery;
use crate::core::Core;
use crate::fleet::Fleet;
use crate::net::conn::Connection;
use crate::net::http::{self, Body};
use crate::net::{Net, Token};
use marbledeck_dispatcher::Micros;
use marbledeck_membership::MembershipChange;

const HTTP_OK: u16 = 200;
/// The maximum length of a list. It costs no memory, since the bytes are not stored, and a call that takes too long
/// is given up.
const MAX_LIST_BYTES: usize = 32 * 1024 * 1024;

/// An answer that has begun.
pub(super) struct Answer {
    /// The number of its list.
    list_number: u64,
    began_at: Micros,
    /// The response head and the state of the body; none until the head is complete.
    head: Option<(http::ResponseHead, Body)>,
    list: ListReader,
}

/// Why a call has failed.
pub(super) struct CallError {
    pub(super) fault: Fault,
    pub(super) message: String,
}

impl CallError {
    fn broken(error: impl std::fmt::Display) -> Self {
        CallError {
            fault: Fault::Broken,
            message: error.to_string(),
        }
    }
}

impl Discovery {
    /// Reads and applies the part of the answer that has arrived. Returns the list's header once the answer is
    /// complete.
    pub(super) fn read_answer(
        &mut self,
        now: Micros,
        token: Token,
        fleet: &mut Fleet,
        net: &mut Net,
        core: &mut Core,
    ) -> Result<Option<ListHeader>, CallError> {
        let Some(conn) = net.get(token) else {
            return Ok(None);
        };
        if !conn.input.is_empty() {
            self.record_progress(now, fleet);
            self.read_head(conn)?;
        }
        let decoded = self.decode_content(conn);
        self.apply_content(now, fleet, core)?;
        decoded?;
        let answer = self.call.as_ref().and_then(|call| call.answer.as_ref());
        if let Some((answer, (head, body))) = answer.and_then(|a| Some((a, a.head.as_ref()?))) {
            if body.is_done() || conn.eof && body.ends_with_connection() {
                let is_reusable = head.keep_alive && conn.is_open() && conn.input.is_empty();
                let header = answer.list.finish().map_err(CallError::broken)?;
                if is_reusable {
                    self.idle = Some(token);
                } else {
                    net.close(token);
                }
                return Ok(Some(header));
            }
        }
        if !conn.eof && !conn.broken {
            Ok(None)
        } else if conn.is_connecting() {
            Err(CallError {
                fault: Fault::Unreachable,
                message: "no connection".to_owned(),
            })
        } else {
            Err(CallError::broken(
                "the connection ended before the answer was complete",
            ))
        }
    }

    /// Records that bytes of the answer have arrived, and begins a new list with the first of them.
    fn record_progress(&mut self, now: Micros, fleet: &mut Fleet) {
        let Some(call) = &mut self.call else {
            return;
        };
        self.staleness.handle_progress(now);
        if call.answer.is_some() {
            return;
        }
        fleet.members.begin_full_list(self.source);
        let list_number = fleet.members.list_number(self.source);
        let began_at = self.input_empty_at.max(call.sent_at);
        self.trust.begin_answer(list_number, began_at);
        call.answer = Some(Answer {
            list_number,
            began_at,
            head: None,
            list: ListReader::default(),
        });
    }

    /// Parses the response head once it has arrived completely.
    fn read_head(&mut self, conn: &mut Connection) -> Result<(), CallError> {
        let answer = self.call.as_mut().and_then(|call| call.answer.as_mut());
        let Some(answer) = answer.filter(|answer| answer.head.is_none()) else {
            return Ok(());
        };
        let head = http::parse_response_head(conn.input.all()).map_err(CallError::broken)?;
        let Some((head, length)) = head else {
            return Ok(());
        };
        conn.input.consume(length);
        if head.status != HTTP_OK {
            self.trust.cancel_answer(answer.list_number);
            return Err(CallError {
                fault: Fault::Refused,
                message: format!("status {}", head.status),
            });
        }
        self.staleness.handle_answer_begun(answer.began_at);
        let body =
            Body::of_response_with_limit(&head, MAX_LIST_BYTES).map_err(CallError::broken)?;
        answer.head = Some((head, body));
        Ok(())
    }

    /// Decodes the body bytes that have arrived into `self.content`.
    fn decode_content(&mut self, conn: &mut Connection) -> Result<(), CallError> {
        let answer = self.call.as_mut().and_then(|call| call.answer.as_mut());
        if let Some((_, body)) = answer.and_then(|answer| answer.head.as_mut()) {
            let consumed = body.take(conn.input.all(), &mut self.content);
            conn.input.consume(consumed.map_err(CallError::broken)?);
        }
        Ok(())
    }

    /// Applies the entries that have arrived completely. Entries before a malformed one take effect, too.
    fn apply_content(
        &mut self,
        now: Micros,
        fleet: &mut Fleet,
        core: &mut Core,
    ) -> Result<(), CallError> {
        let content = std::mem::take(&mut self.content);
        let Some(mut answer) = self.call.as_mut().and_then(|call| call.answer.take()) else {
            return Ok(());
        };
        let mut update = self.new_update(now, fleet);
        let result = answer.list.push(&content, &mut |text| update.apply(text));
        let change = update.change;
        fleet.apply_change(now, change, core);
        if let Some(call) = &mut self.call {
            call.answer = Some(answer);
        }
        self.content = content;
        self.content.clear();
        result.map_err(CallError::broken)
    }

    pub(super) fn new_update<'a>(&'a self, now: Micros, fleet: &'a mut Fleet) -> ListUpdate<'a> {
        ListUpdate {
            now,
            source: self.source,
            digest_key: &self.digest_key,
            members: &mut fleet.members,
            change: MembershipChange::default(),
        }
    }

    /// Finishes a list whose entries have all been applied: removes the workers that a complete list does not name, and
    /// trusts the list.
    pub(super) fn complete_list(
        &mut self,
        now: Micros,
        header: ListHeader,
        fleet: &mut Fleet,
        core: &mut Core,
    ) {
        let call = self.call.take();
        let sent_at = call.as_ref().map_or(now, |call| call.sent_at);
        let answer = call.and_then(|call| call.answer);
        let began_at = answer.map_or(now, |answer| answer.began_at);
        let ListHeader {
            revision, entries, ..
        } = header;
        log::debug!(
            "discovery: revision {revision}, {entries} entries, after {} us",
            (now - sent_at).0
        );
        self.revision = revision;
        self.staleness.handle_complete_answer(now, began_at);
        fleet.members.record_list_complete(now, self.source);
        let mut change = MembershipChange::default();
        if header.is_complete {
            change.append(fleet.members.sweep_all_missing(now, self.source));
        }
        // Last, so that only workers that are still listed become trusted again.
        change.append(self.restore_trust(now, fleet));
        fleet.apply_change(now, change, core);
    }

    /// Routes requests to all listed workers again, unless the list became too old while it was read.
    fn restore_trust(&mut self, now: Micros, fleet: &mut Fleet) -> MembershipChange {
        let was_limited = self.trust.complete_answer();
        let was_distrusted = std::mem::take(&mut self.is_distrusted);
        if self.distrusted_at().is_some_and(|due| due <= now) {
            self.is_distrusted = true;
            let next_list = fleet.members.list_number(self.source) + 1;
            self.trust.distrust_before(next_list);
            return fleet.members.set_trusted_from_list(self.source, next_list);
        }
        if was_distrusted {
            log::info!("discovery: the list is trusted again");
        }
        if was_limited {
            fleet.members.set_trusted_from_list(self.source, 0)
        } else {
            MembershipChange::default()
        }
    }
}
