//! Finds the instances in a registry's JSON as its bytes come, without holding more than one of them.

use crate::read::Fault;

/// How deep an answer may be nested; the registry's own are not half as deep.
const MAX_DEPTH: usize = 64;
/// The longest key or code that is of interest.
const MAX_WORD: usize = 4096;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Object,
    Array,
}

struct Level {
    kind: Kind,
    /// The key whose value this is, or that the array has in which it is.
    named: Named,
}

/// The keys that matter.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Named {
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
    word: Vec<u8>,
    /// The string that is being read is a key.
    is_key: bool,
    /// A key is expected next.
    wants_key: bool,
    /// The last key of the innermost object.
    key: Named,
    /// The bytes of the instance that is being read, and the depth at which it began.
    capture: Option<(usize, Vec<u8>)>,
    begun: bool,
}

impl Splitter {
    /// Whether a whole value has been read.
    pub fn is_whole(&self) -> bool {
        self.begun && self.levels.is_empty() && !self.in_string
    }

    /// Takes bytes; tells what ends in them.
    pub fn push(
        &mut self,
        bytes: &[u8],
        longest: usize,
        mut found: impl FnMut(Found),
    ) -> Result<(), Fault> {
        for byte in bytes {
            if let Some((_, held)) = &mut self.capture {
                if held.len() >= longest {
                    return Err(Fault::TooLong);
                }
                held.push(*byte);
            }
            if self.in_string {
                self.in_a_string(*byte, &mut found);
                continue;
            }
            match byte {
                b'"' => {
                    self.in_string = true;
                    self.is_key = self.wants_key && self.is_in(Kind::Object);
                    self.word.clear();
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
                _ => return Err(Fault::Malformed("no JSON".to_owned())),
            }
        }
        Ok(())
    }

    fn is_in(&self, kind: Kind) -> bool {
        self.levels.last().is_some_and(|level| level.kind == kind)
    }

    fn in_a_string(&mut self, byte: u8, found: &mut impl FnMut(Found)) {
        if self.escaped {
            self.escaped = false;
        } else if byte == b'\\' {
            self.escaped = true;
        } else if byte == b'"' {
            self.in_string = false;
            if self.is_key {
                self.key = match self.word.as_slice() {
                    b"instance" => Named::Instance,
                    b"apps__hashcode" => Named::Hash,
                    _ => Named::Other,
                };
            } else if self.key == Named::Hash && self.capture.is_none() && self.is_in(Kind::Object)
            {
                found(Found::Hash(
                    String::from_utf8_lossy(&self.word).into_owned(),
                ));
            }
            return;
        }
        if self.capture.is_none() && self.word.len() < MAX_WORD {
            self.word.push(byte);
        }
    }

    fn open(&mut self, kind: Kind) -> Result<(), Fault> {
        if self.levels.len() >= MAX_DEPTH {
            return Err(Fault::TooDeep);
        }
        if self.levels.is_empty() && self.begun {
            return Err(Fault::Malformed("more than one value".to_owned()));
        }
        let named = match self.levels.last() {
            Some(level) if level.kind == Kind::Array => level.named,
            Some(_) => self.key,
            None => Named::Other,
        };
        self.begun = true;
        self.levels.push(Level { kind, named });
        if kind == Kind::Object && named == Named::Instance && self.capture.is_none() {
            self.capture = Some((self.levels.len(), vec![b'{']));
        }
        self.wants_key = kind == Kind::Object;
        self.key = Named::Other;
        Ok(())
    }

    fn close(&mut self, kind: Kind, found: &mut impl FnMut(Found)) -> Result<(), Fault> {
        if !self.is_in(kind) {
            return Err(Fault::Malformed("brackets do not match".to_owned()));
        }
        if let Some((depth, held)) = self.capture.take() {
            match depth == self.levels.len() {
                true => found(Found::Instance(held)),
                false => self.capture = Some((depth, held)),
            }
        }
        self.levels.pop();
        self.wants_key = false;
        self.key = Named::Other;
        Ok(())
    }
}
