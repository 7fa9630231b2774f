//! Finds the objects of one array in JSON as its bytes come, without holding more than one of them.
//!
//! A list of thousands of entries need not be complete before its first entries are used, and takes no memory but that
//! of one entry. The splitter finds where an element begins and ends; whoever reads the element checks what is inside.
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

/// How deep a value may be nested.
pub const MAX_DEPTH: usize = 64;
/// The longest key, and the longest scalar that is reported.
const MAX_TEXT: usize = 4096;

/// What is wrong with the bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SplitError {
    /// The value is nested deeper than [`MAX_DEPTH`].
    #[error("nested too deep")]
    TooDeep,
    /// An element is longer than it may be.
    #[error("an element is too long")]
    ElementTooLong,
    /// A byte outside of elements that JSON does not have there.
    #[error("no JSON")]
    NotJson,
    /// A second value follows the first.
    #[error("more than one value")]
    SeveralValues,
    /// Brackets do not match.
    #[error("brackets do not match")]
    UnmatchedBrackets,
}

/// A part that was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part<'a> {
    /// An object of the array: all of its bytes, braces included.
    Element(&'a [u8]),
    /// The value of a key that was asked for, where it is no object or array.
    Scalar {
        /// The key.
        key: &'static str,
        /// Whether it is a string; else it is a number or a word.
        is_string: bool,
        /// Its text; that of a string without quotes and with its escapes as they came.
        text: &'a [u8],
    },
    /// A string, number or word where elements are expected.
    UnexpectedScalar,
}

impl fmt::Display for Part<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Part::Element(bytes) => f.write_str(&String::from_utf8_lossy(bytes)),
            Part::Scalar { key, text, .. } => {
                write!(f, "{key} = {}", String::from_utf8_lossy(text))
            }
            Part::UnexpectedScalar => f.write_str("no element"),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Container {
    Object,
    Array,
}

/// What a key is to the splitter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Key {
    /// Elements are its value, or in the array that is.
    Elements,
    /// Its value is reported.
    Scalar(&'static str),
    #[default]
    Other,
}

struct Level {
    container: Container,
    /// The key whose value this is, or that the array has in which it is.
    key: Key,
}

/// A string, number or word outside of elements that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Token {
    None,
    String { is_key: bool, escaped: bool },
    Word,
}

/// The splitter. What [`Splitter::push`] has refused is not to be followed by more.
pub struct Splitter {
    element_key: &'static str,
    scalar_keys: &'static [&'static str],
    levels: Vec<Level>,
    token: Token,
    /// The text of the token that is being read.
    text: Vec<u8>,
    /// A key is expected next.
    wants_key: bool,
    /// The last key of the innermost object.
    key: Key,
    /// The element that is being read.
    element: Option<ElementScanner>,
    max_element: usize,
    has_begun: bool,
}

impl Splitter {
    /// Finds the objects in the array that `element_key` has, or the one object that it has, of `max_element` bytes
    /// each, and the values of the other keys. Nothing is looked for inside an element.
    pub fn new(
        element_key: &'static str,
        scalar_keys: &'static [&'static str],
        max_element: usize,
    ) -> Self {
        Splitter {
            element_key,
            scalar_keys,
            levels: Vec::new(),
            token: Token::None,
            text: Vec::new(),
            wants_key: false,
            key: Key::Other,
            element: None,
            max_element,
            has_begun: false,
        }
    }

    /// Whether a complete value has been read.
    pub fn is_complete(&self) -> bool {
        self.has_begun && self.levels.is_empty() && self.token == Token::None
    }

    /// Takes the bytes that have come, and hands out the parts that end in them.
    ///
    /// # Errors
    /// The bytes are no JSON, nested too deep, or hold an element that is too long; or `found` has failed.
    pub fn push<E: From<SplitError>>(
        &mut self,
        bytes: &[u8],
        found: &mut impl FnMut(Part) -> Result<(), E>,
    ) -> Result<(), E> {
        let mut at = 0;
        while at < bytes.len() {
            if self.element.is_some() {
                at += self.push_in_element(&bytes[at..], found)?;
            } else {
                self.push_byte(bytes[at], found)?;
                // An element begins with its brace.
                at += usize::from(self.element.is_none());
            }
        }
        Ok(())
    }

    /// Reads on in an element. Returns how many bytes it has read.
    fn push_in_element<E: From<SplitError>>(
        &mut self,
        bytes: &[u8],
        found: &mut impl FnMut(Part) -> Result<(), E>,
    ) -> Result<usize, E> {
        let Some(element) = &mut self.element else {
            return Ok(0);
        };
        let max_depth = MAX_DEPTH - self.levels.len();
        let end = element.scan(bytes, max_depth)?;
        let (used, is_over) = end.map_or((bytes.len(), false), |end| (end, true));
        if element.length() > self.max_element {
            return Err(SplitError::ElementTooLong.into());
        }
        if !is_over {
            element.keep(bytes);
            return Ok(used);
        }
        found(Part::Element(element.complete(&bytes[..used])))?;
        self.element = None;
        self.end_value();
        Ok(used)
    }

    fn push_byte<E: From<SplitError>>(
        &mut self,
        byte: u8,
        found: &mut impl FnMut(Part) -> Result<(), E>,
    ) -> Result<(), E> {
        match self.token {
            Token::String { is_key, escaped } => {
                return self.push_in_string(byte, is_key, escaped, found);
            }
            Token::Word if byte_class::is_in_word(byte) => {
                self.push_text(byte);
                return Ok(());
            }
            Token::Word => {
                self.token = Token::None;
                self.report_scalar(false, found)?;
            }
            Token::None => {}
        }
        match byte {
            b'"' => {
                let is_key = self.wants_key && self.is_in(Container::Object);
                self.begin_token(Token::String {
                    is_key,
                    escaped: false,
                })?;
            }
            b'{' => self.open(Container::Object)?,
            b'[' => self.open(Container::Array)?,
            b'}' => self.close(Container::Object)?,
            b']' => self.close(Container::Array)?,
            b':' if self.is_in(Container::Object) => self.wants_key = false,
            b',' => self.wants_key = self.is_in(Container::Object),
            b' ' | b'\t' | b'\r' | b'\n' => {}
            _ if byte_class::is_in_word(byte) => {
                self.begin_token(Token::Word)?;
                self.push_text(byte);
            }
            _ => return Err(SplitError::NotJson.into()),
        }
        Ok(())
    }

    fn is_in(&self, container: Container) -> bool {
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
        found: &mut impl FnMut(Part) -> Result<(), E>,
    ) -> Result<(), E> {
        if byte != b'"' || escaped {
            let escaped = byte == b'\\' && !escaped;
            self.token = Token::String { is_key, escaped };
            self.push_text(byte);
            return Ok(());
        }
        self.token = Token::None;
        if !is_key {
            return self.report_scalar(true, found);
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

    /// The key of the value that is here: that of the array, where it is in one.
    fn value_key(&self) -> Key {
        match self.levels.last() {
            Some(level) if level.container == Container::Array => level.key,
            Some(_) => self.key,
            None => Key::Other,
        }
    }

    /// A string, number or word has ended.
    fn report_scalar<E>(
        &mut self,
        is_string: bool,
        found: &mut impl FnMut(Part) -> Result<(), E>,
    ) -> Result<(), E> {
        let key = self.value_key();
        let is_in_array = self.is_in(Container::Array);
        let text = self.text.as_slice();
        match key {
            Key::Elements => found(Part::UnexpectedScalar)?,
            Key::Scalar(key) if !is_in_array => found(Part::Scalar {
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
        self.wants_key = false;
        self.key = Key::Other;
    }

    fn open(&mut self, container: Container) -> Result<(), SplitError> {
        if self.levels.len() >= MAX_DEPTH {
            return Err(SplitError::TooDeep);
        }
        if self.levels.is_empty() && self.has_begun {
            return Err(SplitError::SeveralValues);
        }
        let key = self.value_key();
        if container == Container::Object && key == Key::Elements {
            self.element = Some(ElementScanner::default());
            return Ok(());
        }
        self.has_begun = true;
        self.levels.push(Level { container, key });
        self.wants_key = container == Container::Object;
        self.key = Key::Other;
        Ok(())
    }

    fn close(&mut self, container: Container) -> Result<(), SplitError> {
        if !self.is_in(container) {
            return Err(SplitError::UnmatchedBrackets);
        }
        self.levels.pop();
        self.end_value();
        Ok(())
    }
}
