//! Finds the end of one element, however its bytes are cut.

use crate::byte_class::{ByteClass, CLASSES};
use crate::SplitError;

/// Reads one element. Where it lies in one piece, none of its bytes is copied.
#[derive(Default)]
pub(crate) struct ElementScanner {
    in_string: bool,
    escaped: bool,
    /// How many braces and brackets are open.
    depth: usize,
    /// Which of them are braces: the innermost has the lowest bit.
    braces: u64,
    /// The bytes of earlier pieces.
    kept: Vec<u8>,
    /// How many bytes were scanned.
    scanned: usize,
}

impl ElementScanner {
    /// How many bytes of it have come.
    pub fn length(&self) -> usize {
        self.scanned
    }

    /// Scans the next piece. Returns where the element ends in it, if it does.
    pub fn scan(&mut self, bytes: &[u8], max_depth: usize) -> Result<Option<usize>, SplitError> {
        let is_begun = self.depth > 0;
        if let Some(end) = flat_object_end(bytes).filter(|_| !is_begun && max_depth > 0) {
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
            let Some(plain) = rest.iter().position(|byte| !is_plain(byte)) else {
                break;
            };
            at += plain + 1;
            match CLASSES[usize::from(rest[plain])] {
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

    /// Scans on to the end of the string, or of the piece. Returns how many bytes that are.
    fn scan_in_string(&mut self, bytes: &[u8]) -> usize {
        let mut at = 0;
        while at < bytes.len() {
            if std::mem::take(&mut self.escaped) {
                at += 1;
                continue;
            }
            let rest = &bytes[at..];
            let is_special = |byte: &u8| matches!(byte, b'"' | b'\\');
            let Some(plain) = rest.iter().position(is_special) else {
                break;
            };
            at += plain + 1;
            if rest[plain] == b'"' {
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

    /// Keeps a piece in which the element does not end.
    pub fn keep(&mut self, bytes: &[u8]) {
        self.kept.extend_from_slice(bytes);
    }

    /// All bytes of the element, of which these are the last.
    pub fn complete<'a>(&'a mut self, last: &'a [u8]) -> &'a [u8] {
        if self.kept.is_empty() {
            return last;
        }
        self.kept.extend_from_slice(last);
        &self.kept
    }
}

/// Where an object ends that lies in this piece, has no other in it and no escape, as most elements of long lists are:
/// found by looking for a few bytes only, at many places at once.
fn flat_object_end(bytes: &[u8]) -> Option<usize> {
    let end = memchr::memchr(b'}', bytes)? + 1;
    let inside = &bytes[1..end];
    let is_flat = memchr::memchr3(b'{', b'[', b'\\', inside).is_none();
    // After an even number of quotes, all strings have ended.
    let quotes = memchr::memchr_iter(b'"', inside).count();
    (is_flat && quotes.is_multiple_of(2)).then_some(end)
}
