//! Reads an endpoint list as its bytes come, in any form that JSON allows: nothing of it is held but one entry.

use marbledeck_json_splitter::{Part, SplitError, Splitter};

/// The most bytes of an entry.
const MAX_ENTRY_BYTES: usize = 4 * 1024;
/// The key of the entries.
const ENTRIES: &str = "members";
/// The key of the list's revision.
const REVISION: &str = "revision";
/// The key that tells whether this is the complete list.
const COMPLETE: &str = "complete";

/// Why bytes are no endpoint list.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// They are no JSON, or nested too deep, or an entry is too long.
    #[error("the list cannot be read: {0}")]
    Split(#[from] SplitError),
    /// An entry lacks a field, or has one of another type.
    #[error("an entry cannot be read: {0}")]
    Entry(#[from] serde_json::Error),
    /// An entry is no UTF-8.
    #[error("an entry is no text: {0}")]
    NoText(#[from] std::str::Utf8Error),
    /// An entry is no object, or there is no array of entries.
    #[error("`members` is no array of objects")]
    NoEntries,
    /// The revision is missing, or is no number.
    #[error("the list has no revision")]
    NoRevision,
    /// `complete` is neither true nor false.
    #[error("`complete` is neither true nor false")]
    BadComplete,
    /// The list names more workers than a node can hold.
    #[error("the list names more than {0} workers")]
    TooManyWorkers(usize),
    /// The answer has ended before the list did.
    #[error("the list is cut short")]
    Truncated,
}

/// What a list says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListHeader {
    /// Which state of the list this is; later ones are greater.
    pub revision: u64,
    /// Whether this is the complete list; else the part of it that has changed.
    pub is_complete: bool,
    /// How many entries it has.
    pub entries: usize,
}

/// Reads one list.
pub struct ListReader {
    splitter: Splitter,
    revision: Option<u64>,
    is_complete: bool,
    entries: usize,
}

impl Default for ListReader {
    fn default() -> Self {
        ListReader {
            splitter: Splitter::new(ENTRIES, &[REVISION, COMPLETE], MAX_ENTRY_BYTES),
            revision: None,
            is_complete: false,
            entries: 0,
        }
    }
}

impl ListReader {
    /// Takes the bytes that have come, and hands out the text of each entry that ends in them.
    ///
    /// # Errors
    /// The bytes are no list, or `apply` has failed.
    pub fn push(
        &mut self,
        bytes: &[u8],
        apply: &mut impl FnMut(&[u8]) -> Result<(), ListError>,
    ) -> Result<(), ListError> {
        let (revision, is_complete) = (&mut self.revision, &mut self.is_complete);
        let entries = &mut self.entries;
        self.splitter.push(bytes, &mut |part| match part {
            Part::Element(text) => {
                *entries += 1;
                apply(text)
            }
            Part::Scalar { key, text, .. } if key == REVISION => {
                let digits = std::str::from_utf8(text).unwrap_or_default();
                *revision = Some(digits.parse().map_err(|_| ListError::NoRevision)?);
                Ok(())
            }
            Part::Scalar { text, .. } => {
                *is_complete = match text {
                    b"true" => true,
                    b"false" => false,
                    _ => return Err(ListError::BadComplete),
                };
                Ok(())
            }
            Part::UnexpectedScalar => Err(ListError::NoEntries),
        })
    }

    /// The answer has ended. Returns what the list says of itself.
    ///
    /// # Errors
    /// It is not complete, or has no revision.
    pub fn finish(&self) -> Result<ListHeader, ListError> {
        if !self.splitter.is_complete() {
            return Err(ListError::Truncated);
        }
        Ok(ListHeader {
            revision: self.revision.ok_or(ListError::NoRevision)?,
            is_complete: self.is_complete,
            entries: self.entries,
        })
    }
}
