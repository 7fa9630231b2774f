//! Finds the instances in a registry's JSON as its bytes come, without holding more than one of them.

use crate::error::{AnswerError, MalformedAnswer};

/// How deep an answer may be nested; the registry's own are not half as deep.
const MAX_DEPTH: usize = 64;
/// The longest key or code that is of interest.
const MAX_TEXT: usize = 4096;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Object,
    Array,
}

struct Level {
    kind: Kind,
    /// The key whose value this is, or that the array has in which it is.
    key_name: KeyName,
}

/// The keys that matter.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum KeyName {
    Instance,
    Hash,
    #[default]
    Other,
}

/// What was found.
pub(crate) enum Found {
    Instance(Vec<u8>),
    Hash(String),
}

/// The scanner.
#[derive(Default)]
pub(crate) struct Splitter {
    levels: Vec<Level>,
    in_string: bool,
    escaped: bool,
    /// The text of the string that is being read, where it may matter.
    text: Vec<u8>,
    /// The string that is being read is a key.
    is_key: bool,
    /// A key is expected next.
    wants_key: bool,
    /// The last key of the innermost object.
    key: KeyName,
    /// The bytes of the instance that is being read, and the depth at which it began.
    capture: Option<(usize, Vec<u8>)>,
    has_begun: bool,
}

impl Splitter {
    /// Whether a complete value has been read.
    pub fn is_complete(&self) -> bool {
        self.has_begun && self.levels.is_empty() && !self.in_string
    }

    /// Takes bytes, and hands out what ends in them.
    ///
    /// # Errors
    /// Input that is not well-formed, nested too deep, or an instance over `max_instance` bytes.
    pub fn push(
        &mut self,
        bytes: &[u8],
        max_instance: usize,
        mut found: impl FnMut(Found),
    ) -> Result<(), AnswerError> {
        for byte in bytes {
            if let Some((_, captured)) = &mut self.capture {
                if captured.len() >= max_instance {
                    return Err(AnswerError::TooLong);
                }
                captured.push(*byte);
            }
            if self.in_string {
                self.push_in_string(*byte, &mut found);
                continue;
            }
            match byte {
                b'"' => {
                    self.in_string = true;
                    self.is_key = self.wants_key && self.is_in(Kind::Object);
                    self.text.clear();
                }
                b'{' => self.open(Kind::Object)?,
                b'[' => self.open(Kind::Array)?,
                b'}' => self.close(Kind::Object, &mut found)?,
                b']' => self.close(Kind::Array, &mut found)?,
                b':' if self.is_in(Kind::Object) => self.wants_key = false,
                b',' => self.wants_key = self.is_in(Kind::Object),
                b' ' | b'\t' | b'\r' | b'\n' => {}
                // Numbers and words: whoever reads an instance checks them.
                b'0'..=b'9' | b'a'..=b'z' | b'A'..=b'Z' | b'+' | b'-' | b'.'
                    if !self.levels.is_empty() => {}
                _ => return Err(MalformedAnswer::NotJson.into()),
            }
        }
        Ok(())
    }

    fn is_in(&self, kind: Kind) -> bool {
        self.levels.last().is_some_and(|level| level.kind == kind)
    }

    fn push_in_string(&mut self, byte: u8, found: &mut impl FnMut(Found)) {
        if self.escaped {
            self.escaped = false;
        } else if byte == b'\\' {
            self.escaped = true;
        } else if byte == b'"' {
            self.in_string = false;
            if self.is_key {
                self.key = match self.text.as_slice() {
                    b"instance" => KeyName::Instance,
                    b"apps__hashcode" => KeyName::Hash,
                    _ => KeyName::Other,
                };
            } else if self.key == KeyName::Hash
                && self.capture.is_none()
                && self.is_in(Kind::Object)
            {
                found(Found::Hash(
                    String::from_utf8_lossy(&self.text).into_owned(),
                ));
            }
            return;
        }
        if self.capture.is_none() && self.text.len() < MAX_TEXT {
            self.text.push(byte);
        }
    }

    fn open(&mut self, kind: Kind) -> Result<(), AnswerError> {
        if self.levels.len() >= MAX_DEPTH {
            return Err(AnswerError::TooDeep);
        }
        if self.levels.is_empty() && self.has_begun {
            return Err(MalformedAnswer::SeveralValues.into());
        }
        let key_name = match self.levels.last() {
            Some(level) if level.kind == Kind::Array => level.key_name,
            Some(_) => self.key,
            None => KeyName::Other,
        };
        self.has_begun = true;
        self.levels.push(Level { kind, key_name });
        if kind == Kind::Object && key_name == KeyName::Instance && self.capture.is_none() {
            self.capture = Some((self.levels.len(), vec![b'{']));
        }
        self.wants_key = kind == Kind::Object;
        self.key = KeyName::Other;
        Ok(())
    }

    fn close(&mut self, kind: Kind, found: &mut impl FnMut(Found)) -> Result<(), AnswerError> {
        if !self.is_in(kind) {
            return Err(MalformedAnswer::UnmatchedBrackets.into());
        }
        if let Some((depth, captured)) = self.capture.take() {
            if depth == self.levels.len() {
                found(Found::Instance(captured));
            } else {
                self.capture = Some((depth, captured));
            }
        }
        self.levels.pop();
        self.wants_key = false;
        self.key = KeyName::Other;
        Ok(())
    }
}
