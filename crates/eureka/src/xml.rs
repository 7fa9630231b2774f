//! Finds the instances in a registry's XML as its bytes come, without holding more than one of them. What Eureka never
//! sends, document types above all, is refused: entities are not to be had.

use crate::json::Found;
use crate::read::Fault;

const MAX_DEPTH: usize = 64;
/// The longest tag.
const MAX_TAG: usize = 4096;
/// The longest code that is of interest.
const MAX_WORD: usize = 4096;

#[derive(Default, PartialEq, Eq)]
enum State {
    #[default]
    Text,
    /// In a tag, from its `<` on.
    Tag,
    Comment,
    Data,
}

/// The scanner.
#[derive(Default)]
pub(crate) struct Splitter {
    state: State,
    /// The tag that is being read, without its brackets.
    tag: Vec<u8>,
    /// The quote that an attribute's value has begun with.
    quote: Option<u8>,
    /// The last bytes of a comment or of character data, which may be its end.
    tail: [u8; 2],
    depth: usize,
    begun: bool,
    capture: Option<(usize, Vec<u8>)>,
    /// The text of the hash code, while it is read.
    hash: Option<Vec<u8>>,
}

impl Splitter {
    /// Whether a whole document has been read.
    pub fn is_whole(&self) -> bool {
        self.begun && self.depth == 0 && self.state == State::Text
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
            match self.state {
                State::Text if *byte == b'<' => {
                    self.state = State::Tag;
                    self.tag.clear();
                }
                State::Text => {
                    let blank = byte.is_ascii_whitespace() || matches!(*byte, 0xef | 0xbb | 0xbf);
                    if self.depth == 0 && !blank {
                        return Err(Fault::Malformed("no XML".to_owned()));
                    }
                    if let Some(hash) = self.hash.as_mut().filter(|hash| hash.len() < MAX_WORD) {
                        hash.push(*byte);
                    }
                }
                State::Tag => self.in_a_tag(*byte, &mut found)?,
                State::Comment | State::Data => {
                    let end = if self.state == State::Comment {
                        b'-'
                    } else {
                        b']'
                    };
                    if *byte == b'>' && self.tail == [end, end] {
                        self.state = State::Text;
                    }
                    self.tail = [self.tail[1], *byte];
                }
            }
        }
        Ok(())
    }

    fn in_a_tag(&mut self, byte: u8, found: &mut impl FnMut(Found)) -> Result<(), Fault> {
        if let Some(quote) = self.quote {
            if byte == quote {
                self.quote = None;
            }
        } else if byte == b'>' {
            return self.end_of_tag(found);
        } else if byte == b'<' {
            return Err(Fault::Malformed("a tag in a tag".to_owned()));
        } else if (byte == b'"' || byte == b'\'') && !self.tag.starts_with(b"!") {
            self.quote = Some(byte);
        }
        if self.tag.len() >= MAX_TAG {
            return Err(Fault::TooLong);
        }
        self.tag.push(byte);
        match self.tag.as_slice() {
            b"!--" => (self.state, self.tail) = (State::Comment, [0; 2]),
            b"![CDATA[" if self.depth > 0 => (self.state, self.tail) = (State::Data, [0; 2]),
            [b'!', b'D' | b'E' | b'A' | b'N', ..] => {
                return Err(Fault::Malformed("a document type".to_owned()))
            }
            _ => {}
        }
        Ok(())
    }

    fn end_of_tag(&mut self, found: &mut impl FnMut(Found)) -> Result<(), Fault> {
        self.state = State::Text;
        let tag = std::mem::take(&mut self.tag);
        let name_of = |tag: &[u8]| {
            let end = tag
                .iter()
                .position(|b| b.is_ascii_whitespace() || *b == b'/');
            tag[..end.unwrap_or(tag.len())].to_vec()
        };
        match tag.as_slice() {
            [b'?', ..] => Ok(()),
            [b'!', ..] | [] => Err(Fault::Malformed("an odd tag".to_owned())),
            [b'/', name @ ..] => {
                if self.depth == 0 {
                    return Err(Fault::Malformed("tags do not match".to_owned()));
                }
                if let Some((depth, held)) = self.capture.take() {
                    if depth != self.depth {
                        self.capture = Some((depth, held));
                    } else if name_of(name) == b"instance" {
                        found(Found::Instance(held));
                    } else {
                        return Err(Fault::Malformed("tags do not match".to_owned()));
                    }
                }
                if let Some(hash) = self.hash.take() {
                    found(Found::Hash(
                        String::from_utf8_lossy(&hash).trim().to_owned(),
                    ));
                }
                self.depth -= 1;
                Ok(())
            }
            [.., b'/'] if !tag.starts_with(b"/") => {
                self.begun = true;
                Ok(())
            }
            _ => {
                if self.depth >= MAX_DEPTH {
                    return Err(Fault::TooDeep);
                }
                if self.depth == 0 && self.begun {
                    return Err(Fault::Malformed("more than one document".to_owned()));
                }
                self.begun = true;
                self.depth += 1;
                match name_of(&tag).as_slice() {
                    b"instance" if self.capture.is_none() => {
                        let mut held = vec![b'<'];
                        held.extend_from_slice(&tag);
                        held.push(b'>');
                        self.capture = Some((self.depth, held));
                    }
                    b"apps__hashcode" if self.capture.is_none() => self.hash = Some(Vec::new()),
                    _ => {}
                }
                Ok(())
            }
        }
    }
}
