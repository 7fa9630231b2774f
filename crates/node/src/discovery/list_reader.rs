//! Reads an endpoint list as its bytes arrive, in any form that JSON allows. No more than one entry is held in memory.

use marbledeck_json_splitter::{Part, SplitError, Splitter};

/// The maximum length of an entry.
const MAX_ENTRY_BYTES: usize = 4 * 1024;
/// The key of the entries.
const ENTRIES: &str = "members";
/// The key of the list's revision.
const REVISION: &str = "revision";
/// The key of the flag that marks a complete list.
const COMPLETE: &str = "complete";

/// Why an endpoint list cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// The bytes are not JSON, nested too deep, or hold an entry that is too long.
    #[error("the list cannot be read: {0}")]
    Split(#[from] SplitError),
    /// An entry lacks a field or has one of the wrong type.
    #[error("an entry cannot be read: {0}")]
    Entry(#[from] serde_json::Error),
    /// An entry is not UTF-8.
    #[error("an entry is not valid UTF-8: {0}")]
    InvalidUtf8(#[from] std::str::Utf8Error),
    /// `members` holds a scalar where an object is expected.
    #[error("`members` is no array of objects")]
    InvalidEntries,
    /// The revision is missing or is not an unsigned integer.
    #[error("the list has no revision that is an unsigned integer")]
    InvalidRevision,
    /// `complete` is neither true nor false.
    #[error("`complete` is neither true nor false")]
    InvalidComplete,
    /// The list names more workers than a node supports.
    #[error("the list names more than {0} workers")]
    TooManyWorkers(usize),
    /// The answer ended before the list did.
    #[error("the list is cut short")]
    Truncated,
}

/// The fields of a list beside its entries, and the number of entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListHeader {
    /// The revision of the list, which grows with each change.
    pub revision: u64,
    /// Whether this is the complete list; otherwise it holds only what has changed.
    pub is_complete: bool,
    /// The number of entries.
    pub entries: usize,
}

/// An incremental reader of one list.
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
    /// Reads the next bytes and calls `on_entry` with the text of each entry that ends in them.
    ///
    /// # Errors
    /// The bytes are no list, or `on_entry` has failed.
    pub fn push(
        &mut self,
        bytes: &[u8],
        on_entry: &mut impl FnMut(&[u8]) -> Result<(), ListError>,
    ) -> Result<(), ListError> {
        let (revision, is_complete) = (&mut self.revision, &mut self.is_complete);
        let entries = &mut self.entries;
        self.splitter.push(bytes, &mut |part| match part {
            Part::Element(text) => {
                *entries += 1;
                on_entry(text)
            }
            Part::Scalar { key, text, .. } if key == REVISION => {
                let digits = std::str::from_utf8(text).unwrap_or_default();
                *revision = Some(digits.parse().map_err(|_| ListError::InvalidRevision)?);
                Ok(())
            }
            Part::Scalar { text, .. } => {
                *is_complete = match text {
                    b"true" => true,
                    b"false" => false,
                    _ => return Err(ListError::InvalidComplete),
                };
                Ok(())
            }
            Part::UnexpectedScalar => Err(ListError::InvalidEntries),
        })
    }

    /// Ends the list and returns its header.
    ///
    /// # Errors
    /// The JSON is cut short, or the list has no revision.
    pub fn finish(&self) -> Result<ListHeader, ListError> {
        if !self.splitter.is_complete() {
            return Err(ListError::Truncated);
        }
        Ok(ListHeader {
            revision: self.revision.ok_or(ListError::InvalidRevision)?,
            is_complete: self.is_complete,
            entries: self.entries,
        })
    }
}
