//! Finds the end of one element whose bytes may arrive in any number of pieces.

use crate::byte_class::{ByteClass, CLASSES};
use crate::SplitError;

/// Scans one element. If the element lies in one piece, none of its bytes is copied.
#[derive(Default)]
pub(crate) struct ElementScanner {
    in_string: bool,
    escaped: bool,
    /// The number of open braces and brackets.
    depth: usize,
    /// A bit for each of them, set for a brace; the innermost has the lowest bit.
    braces: u64,
    /// The bytes of earlier pieces.
    buffered: Vec<u8>,
    /// The number of bytes scanned so far.
    scanned: usize,
}

impl ElementScanner {
    /// The length of the part of the element that has been scanned.
    pub fn length(&self) -> usize {
        self.scanned
    }

    /// Scans the next piece. Returns the end of the element in this piece, if it ends there.
    pub fn scan(&mut self, bytes: &[u8], max_depth: usize) -> Result<Option<usize>, SplitError> {
        let has_begun = self.depth > 0;
        if let Some(end) = flat_object_end(bytes).filter(|_| !has_begun && max_depth > 0) {
            self.scanned = end;
            return Ok(Some(end));
        }
        self.scan_bytes(bytes, max_depth)
    }

    fn scan_bytes(&mut self, bytes: &[u8], max_depth: usize) -> Result<Option<usize>, SplitError> {
        let mut at = 0;
        while at < bytes.len() {
            if self.in_string {
                at += self.scan_in_string(&bytes[at..]);
                continue;
            }
            let is_plain = |byte: &u8| CLASSES[usize::from(*byte)] == ByteClass::Plain;
            let rest = &bytes[at..];
            let Some(special) = rest.iter().position(|byte| !is_plain(byte)) else {
                break;
            };
            at += special + 1;
            match CLASSES[usize::from(rest[special])] {
                ByteClass::Plain => {}
                ByteClass::Quote => self.in_string = true,
                ByteClass::OpenBrace => self.open(true, max_depth)?,
                ByteClass::OpenBracket => self.open(false, max_depth)?,
                ByteClass::CloseBrace => self.close(true)?,
                ByteClass::CloseBracket => self.close(false)?,
            }
            if self.depth == 0 {
                self.scanned += at;
                return Ok(Some(at));
            }
        }
        self.scanned += bytes.len();
        Ok(None)
    }

    /// Scans to the end of the string or of the piece. Returns the number of bytes scanned.
    fn scan_in_string(&mut self, bytes: &[u8]) -> usize {
        let mut at = 0;
        while at < bytes.len() {
            if std::mem::take(&mut self.escaped) {
                at += 1;
                continue;
            }
            let rest = &bytes[at..];
            let is_special = |byte: &u8| matches!(byte, b'"' | b'\\');
            let Some(special) = rest.iter().position(is_special) else {
                break;
            };
            at += special + 1;
            if rest[special] == b'"' {
                self.in_string = false;
                return at;
            }
            self.escaped = true;
        }
        bytes.len()
    }

    fn open(&mut self, is_brace: bool, max_depth: usize) -> Result<(), SplitError> {
        if self.depth >= max_depth {
            return Err(SplitError::TooDeep);
        }
        self.depth += 1;
        self.braces = self.braces << 1 | u64::from(is_brace);
        Ok(())
    }

    fn close(&mut self, is_brace: bool) -> Result<(), SplitError> {
        if self.braces & 1 != u64::from(is_brace) {
            return Err(SplitError::UnmatchedBrackets);
        }
        self.depth -= 1;
        self.braces >>= 1;
        Ok(())
    }

    /// Buffers a piece in which the element does not end.
    pub fn buffer(&mut self, bytes: &[u8]) {
        self.buffered.extend_from_slice(bytes);
    }

    /// Returns all bytes of the element, given its last piece.
    pub fn complete<'a>(&'a mut self, last: &'a [u8]) -> &'a [u8] {
        if self.buffered.is_empty() {
            return last;
        }
        self.buffered.extend_from_slice(last);
        &self.buffered
    }
}

/// Returns the end of an object that lies in this piece and has no nested value and no escape. This is the fast path
/// for most elements of long lists, since it only searches for a few bytes with vector instructions.
fn flat_object_end(bytes: &[u8]) -> Option<usize> {
    let end = memchr::memchr(b'}', bytes)? + 1;
    let inside = &bytes[1..end];
    let is_flat = memchr::memchr3(b'{', b'[', b'\\', inside).is_none();
    // After an even number of quotes, all strings have ended.
    let quotes = memchr::memchr_iter(b'"', inside).count();
    (is_flat && quotes.is_multiple_of(2)).then_some(end)
}
