//! Extracts the objects of one JSON array while its bytes arrive, with no more than one of them in memory.
//!
//! A list of thousands of entries can be used before it is complete, and needs only the memory of one entry. The
//! splitter finds the beginning and the end of each element; the parser of the element checks its content.
//!
//! ```
//! use marbledeck_json_splitter::{Part, SplitError, Splitter};
//!
//! let mut splitter = Splitter::new("members", &["revision"], 1024);
//! let mut found = Vec::new();
//! for piece in [r#"{"revision":41,"members":[{"id":"#, r#""a"},{"id":"b"}]}"#] {
//!     splitter.push(piece.as_bytes(), &mut |part| -> Result<(), SplitError> {
//!         found.push(format!("{part}"));
//!         Ok(())
//!     })?;
//! }
//! assert_eq!(found, ["revision = 41", r#"{"id":"a"}"#, r#"{"id":"b"}"#]);
//! assert!(splitter.is_complete());
//! # Ok::<(), SplitError>(())
//! ```
#![forbid(unsafe_code)]

mod byte_class;
mod element;

use element::ElementScanner;
use std::fmt;
use thiserror::Error;

/// The maximum nesting depth.
pub const MAX_DEPTH: usize = 64;
/// The maximum length of a key or scalar; further bytes are cut off.
const MAX_TEXT: usize = 4096;

/// Why the bytes were rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SplitError {
    /// The value is nested deeper than [`MAX_DEPTH`].
    #[error("nested too deep")]
    TooDeep,
    /// An element exceeds the maximum length.
    #[error("an element is too long")]
    ElementTooLong,
    /// A byte outside of elements is not valid JSON there, or the top-level value is a scalar.
    #[error("no JSON")]
    NotJson,
    /// A second top-level value follows the first.
    #[error("more than one top-level value")]
    SeveralValues,
    /// Brackets do not match.
    #[error("brackets do not match")]
    UnmatchedBrackets,
}

/// A part of the JSON value that the splitter reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part<'a> {
    /// The bytes of an object of the array, braces included.
    Element(&'a [u8]),
    /// The value of one of the requested keys, if it is not an object or array.
    Scalar {
        /// The key.
        key: &'static str,
        /// Whether it is a string; otherwise it is a number, `true`, `false` or `null`.
        is_string: bool,
        /// The text of the value; that of a string is without quotes, with its escapes unchanged.
        text: &'a [u8],
    },
    /// A scalar where an element is expected.
    UnexpectedScalar,
}

impl fmt::Display for Part<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Part::Element(bytes) => f.write_str(&String::from_utf8_lossy(bytes)),
            Part::Scalar { key, text, .. } => {
                write!(f, "{key} = {}", String::from_utf8_lossy(text))
            }
            Part::UnexpectedScalar => f.write_str("unexpected scalar"),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Container {
    Object,
    Array,
}

/// The role of a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Key {
    /// Its value is an element or an array of elements.
    Elements,
    /// Its value is reported if it is a scalar.
    Scalar(&'static str),
    /// Its value is skipped.
    #[default]
    Other,
}

/// An open object or array.
struct Level {
    container: Container,
    /// The key whose value this is, directly or through enclosing arrays.
    key: Key,
}

/// The scalar or key outside of elements that is being read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Token {
    None,
    String { is_key: bool, escaped: bool },
    Literal,
}

/// The incremental splitter. It must not be used any more after [`Splitter::push`] has returned an error.
pub struct Splitter {
    element_key: &'static str,
    scalar_keys: &'static [&'static str],
    levels: Vec<Level>,
    token: Token,
    /// The text of the token that is being read.
    text: Vec<u8>,
    /// Whether a key is expected next.
    expects_key: bool,
    /// The last key of the innermost object.
    key: Key,
    /// The element that is being read.
    element: Option<ElementScanner>,
    max_element_bytes: usize,
    has_started: bool,
}

impl Splitter {
    /// Creates a splitter that reports the objects in the array under `element_key`, or the one object there, of at
    /// most `max_element_bytes` each, and the scalars under `scalar_keys`. Keys inside an element are ignored.
    pub fn new(
        element_key: &'static str,
        scalar_keys: &'static [&'static str],
        max_element_bytes: usize,
    ) -> Self {
        Splitter {
            element_key,
            scalar_keys,
            levels: Vec::new(),
            token: Token::None,
            text: Vec::new(),
            expects_key: false,
            key: Key::Other,
            element: None,
            max_element_bytes,
            has_started: false,
        }
    }

    /// Whether a complete value has been read.
    pub fn is_complete(&self) -> bool {
        self.has_started && self.levels.is_empty() && self.token == Token::None
    }

    /// Reads the next bytes and calls `on_part` with each part that ends in them.
    ///
    /// # Errors
    /// The bytes are not JSON, nested too deep, or hold an element that is too long; or `on_part` has failed.
    pub fn push<E: From<SplitError>>(
        &mut self,
        bytes: &[u8],
        on_part: &mut impl FnMut(Part) -> Result<(), E>,
    ) -> Result<(), E> {
        let mut at = 0;
        while at < bytes.len() {
            if self.element.is_some() {
                at += self.push_in_element(&bytes[at..], on_part)?;
            } else {
                self.push_byte(bytes[at], on_part)?;
                // The opening brace of an element is scanned again as a part of the element.
                at += usize::from(self.element.is_none());
            }
        }
        Ok(())
    }

    /// Scans the current element. Returns the number of bytes read.
    fn push_in_element<E: From<SplitError>>(
        &mut self,
        bytes: &[u8],
        on_part: &mut impl FnMut(Part) -> Result<(), E>,
    ) -> Result<usize, E> {
        let Some(element) = &mut self.element else {
            return Ok(0);
        };
        let max_depth = MAX_DEPTH - self.levels.len();
        let end = element.scan(bytes, max_depth)?;
        let (used, is_complete) = end.map_or((bytes.len(), false), |end| (end, true));
        if element.length() > self.max_element_bytes {
            return Err(SplitError::ElementTooLong.into());
        }
        if !is_complete {
            element.buffer(bytes);
            return Ok(used);
        }
        on_part(Part::Element(element.complete(&bytes[..used])))?;
        self.element = None;
        self.end_value();
        Ok(used)
    }

    fn push_byte<E: From<SplitError>>(
        &mut self,
        byte: u8,
        on_part: &mut impl FnMut(Part) -> Result<(), E>,
    ) -> Result<(), E> {
        match self.token {
            Token::String { is_key, escaped } => {
                return self.push_in_string(byte, is_key, escaped, on_part);
            }
            Token::Literal if byte_class::is_in_literal(byte) => {
                self.push_text(byte);
                return Ok(());
            }
            Token::Literal => {
                self.token = Token::None;
                self.report_scalar(false, on_part)?;
            }
            Token::None => {}
        }
        match byte {
            b'"' => {
                let is_key = self.expects_key && self.is_inside(Container::Object);
                self.begin_token(Token::String {
                    is_key,
                    escaped: false,
                })?;
            }
            b'{' => self.open_container(Container::Object)?,
            b'[' => self.open_container(Container::Array)?,
            b'}' => self.close_container(Container::Object)?,
            b']' => self.close_container(Container::Array)?,
            b':' if self.is_inside(Container::Object) => self.expects_key = false,
            b',' => self.expects_key = self.is_inside(Container::Object),
            b' ' | b'\t' | b'\r' | b'\n' => {}
            _ if byte_class::is_in_literal(byte) => {
                self.begin_token(Token::Literal)?;
                self.push_text(byte);
            }
            _ => return Err(SplitError::NotJson.into()),
        }
        Ok(())
    }

    fn is_inside(&self, container: Container) -> bool {
        let innermost = self.levels.last();
        innermost.is_some_and(|level| level.container == container)
    }

    fn begin_token(&mut self, token: Token) -> Result<(), SplitError> {
        if self.levels.is_empty() {
            return Err(SplitError::NotJson);
        }
        self.token = token;
        self.text.clear();
        Ok(())
    }

    fn push_text(&mut self, byte: u8) {
        if self.text.len() < MAX_TEXT {
            self.text.push(byte);
        }
    }

    fn push_in_string<E: From<SplitError>>(
        &mut self,
        byte: u8,
        is_key: bool,
        escaped: bool,
        on_part: &mut impl FnMut(Part) -> Result<(), E>,
    ) -> Result<(), E> {
        if byte != b'"' || escaped {
            let escaped = byte == b'\\' && !escaped;
            self.token = Token::String { is_key, escaped };
            self.push_text(byte);
            return Ok(());
        }
        self.token = Token::None;
        if !is_key {
            return self.report_scalar(true, on_part);
        }
        self.key = self.key_of(&self.text);
        Ok(())
    }

    fn key_of(&self, text: &[u8]) -> Key {
        if text == self.element_key.as_bytes() {
            return Key::Elements;
        }
        let mut keys = self.scalar_keys.iter();
        let known = keys.find(|key| key.as_bytes() == text);
        known.map_or(Key::Other, |key| Key::Scalar(key))
    }

    /// The key of the value at this position; inside an array, that of the array.
    fn value_key(&self) -> Key {
        match self.levels.last() {
            Some(level) if level.container == Container::Array => level.key,
            Some(_) => self.key,
            None => Key::Other,
        }
    }

    /// Reports a scalar that has ended, if its key is requested or an element is expected.
    fn report_scalar<E>(
        &mut self,
        is_string: bool,
        on_part: &mut impl FnMut(Part) -> Result<(), E>,
    ) -> Result<(), E> {
        let key = self.value_key();
        let is_in_array = self.is_inside(Container::Array);
        let text = self.text.as_slice();
        match key {
            Key::Elements => on_part(Part::UnexpectedScalar)?,
            Key::Scalar(key) if !is_in_array => on_part(Part::Scalar {
                key,
                is_string,
                text,
            })?,
            Key::Scalar(_) | Key::Other => {}
        }
        self.end_value();
        Ok(())
    }

    fn end_value(&mut self) {
        self.expects_key = false;
        self.key = Key::Other;
    }

    fn open_container(&mut self, container: Container) -> Result<(), SplitError> {
        if self.levels.len() >= MAX_DEPTH {
            return Err(SplitError::TooDeep);
        }
        if self.levels.is_empty() && self.has_started {
            return Err(SplitError::SeveralValues);
        }
        let key = self.value_key();
        if container == Container::Object && key == Key::Elements {
            self.element = Some(ElementScanner::default());
            return Ok(());
        }
        self.has_started = true;
        self.levels.push(Level { container, key });
        self.expects_key = container == Container::Object;
        self.key = Key::Other;
        Ok(())
    }

    fn close_container(&mut self, container: Container) -> Result<(), SplitError> {
        if !self.is_inside(container) {
            return Err(SplitError::UnmatchedBrackets);
        }
        self.levels.pop();
        self.end_value();
        Ok(())
    }
}
