//! Applies the entries of an endpoint list to the membership one by one as they arrive.

use super::endpoint_list::EndpointEntry;
use super::list_reader::ListError;
use foldhash::quality::RandomState;
use marbledeck_dispatcher::Micros;
use marbledeck_membership::{EntryDigest, Membership, MembershipChange, SourceId};
use std::hash::BuildHasher;

/// The maximum number of workers that discovery may name: more than twice the size of the largest fleet. The memory
/// that a node needs for them fits into the smallest memory limit.
pub const MAX_WORKERS: usize = 8192;

/// A batch of entries that is applied to the membership.
pub struct ListUpdate<'a> {
    /// The time of this turn of the event loop.
    pub now: Micros,
    /// The source under which discovery reports.
    pub source: SourceId,
    /// The secret hash key of the entries' digests.
    pub digest_key: &'a RandomState,
    /// The membership.
    pub members: &'a mut Membership,
    /// The changes so far.
    pub change: MembershipChange,
}

impl ListUpdate<'_> {
    /// Applies the text of an entry. An entry with the same text as before is recognised by its digest and not parsed.
    ///
    /// # Errors
    /// The text is not an entry, or there are too many workers.
    pub fn apply(&mut self, text: &[u8]) -> Result<(), ListError> {
        let digest = EntryDigest(self.digest_key.hash_one(text));
        let (now, source) = (self.now, self.source);
        let members = &mut *self.members;
        if members.confirm_unchanged(now, source, digest, &mut self.change) {
            return Ok(());
        }
        let text = std::str::from_utf8(text)?;
        // Strings with escapes cannot be borrowed from the text, so they need an owned entry.
        if let Ok(entry) = serde_json::from_str::<EndpointEntry<&str>>(text) {
            self.apply_within_bound(&entry, digest)
        } else {
            let entry: EndpointEntry = serde_json::from_str(text)?;
            self.apply_within_bound(&entry, digest)
        }
    }

    /// Applies an entry unless it names one worker too many.
    fn apply_within_bound<Text: AsRef<str>>(
        &mut self,
        entry: &EndpointEntry<Text>,
        digest: EntryDigest,
    ) -> Result<(), ListError> {
        let is_known = self.members.is_reported_by(self.source, entry.id.as_ref());
        let adds_worker = !is_known && !entry.is_removed();
        if adds_worker && self.members.worker_count(self.source) >= MAX_WORKERS {
            return Err(ListError::TooManyWorkers(MAX_WORKERS));
        }
        self.apply_entry(entry, Some(digest));
        Ok(())
    }

    /// Applies a parsed entry; `digest` is that of its text.
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
