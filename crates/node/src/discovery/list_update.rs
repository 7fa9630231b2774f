//! Takes the entries of a list into the membership, one after the other as they come.

use super::endpoint_list::EndpointEntry;
use super::list_reader::ListError;
use foldhash::quality::RandomState;
use marbledeck_dispatcher::Micros;
use marbledeck_membership::{EntryDigest, Membership, MembershipChange, SourceId};
use std::hash::BuildHasher;

/// The most workers that discovery may name: more than twice as many as the largest fleet has. What a node needs for
/// them fits into the smallest limit on memory.
pub const MAX_WORKERS: usize = 8192;

/// The way of a list's entries into the membership.
pub struct ListUpdate<'a> {
    /// The time of this turn.
    pub now: Micros,
    /// The source that discovery is.
    pub source: SourceId,
    /// The key of the entries' digests, which nobody else knows.
    pub digest_key: &'a RandomState,
    /// The membership.
    pub members: &'a mut Membership,
    /// What has changed.
    pub change: MembershipChange,
}

impl ListUpdate<'_> {
    /// Takes an entry in. One with the same text as before needs no more than its digest.
    ///
    /// # Errors
    /// The text is no entry, or there are too many workers.
    pub fn apply(&mut self, text: &[u8]) -> Result<(), ListError> {
        let digest = EntryDigest(self.digest_key.hash_one(text));
        let (now, source) = (self.now, self.source);
        let members = &mut *self.members;
        if members.confirm_listed(now, source, digest, &mut self.change) {
            return Ok(());
        }
        let text = std::str::from_utf8(text)?;
        // Texts with escapes cannot be borrowed.
        if let Ok(entry) = serde_json::from_str::<EndpointEntry<&str>>(text) {
            self.apply_entry(&entry, Some(digest));
        } else {
            let entry: EndpointEntry = serde_json::from_str(text)?;
            self.apply_entry(&entry, Some(digest));
        }
        if self.members.named_by(self.source) > MAX_WORKERS {
            return Err(ListError::TooManyWorkers(MAX_WORKERS));
        }
        Ok(())
    }

    /// Takes in an entry that was read already, from a text of this digest.
    pub fn apply_entry<Text: AsRef<str>>(
        &mut self,
        entry: &EndpointEntry<Text>,
        digest: Option<EntryDigest>,
    ) {
        let (now, source, change) = (self.now, self.source, &mut self.change);
        if entry.is_removed() {
            let id = entry.id.as_ref();
            self.members.apply_listed_removal(now, source, id, change);
        } else {
            let report = entry.report();
            self.members
                .apply_listed_report(now, source, &report, digest, change);
        }
    }
}
