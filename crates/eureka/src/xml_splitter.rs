//! Finds the instances in a registry's XML as its bytes come, without holding more than one of them. What Eureka never
//! sends, document types above all, is refused: entities are not to be had.

use crate::error::{MalformedResponse, ResponseError};

const MAX_DEPTH: usize = 64;
/// The longest tag.
const MAX_TAG: usize = 4096;
/// The longest code that is of interest.
const MAX_TEXT: usize = 4096;

/// A part that was found.
pub(crate) enum RawItem {
    /// All bytes of an instance.
    Instance(Vec<u8>),
    /// The hash code of all that the registry holds.
    Hash(String),
}

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
    /// The quote that an attribute's value has has_begun with.
    quote: Option<u8>,
    /// The last bytes of a comment or of character data, which may be its end.
    tail: [u8; 2],
    depth: usize,
    has_begun: bool,
    capture: Option<(usize, Vec<u8>)>,
    /// The text of the hash code, while it is read.
    hash: Option<Vec<u8>>,
}

impl Splitter {
    /// Whether a complete document has been read.
    pub fn is_complete(&self) -> bool {
        self.has_begun && self.depth == 0 && self.state == State::Text
    }

    /// Takes bytes, and hands out what ends in them.
    ///
    /// # Errors
    /// Input that is not well-formed, nested too deep, or an instance over `max_instance` bytes.
    pub fn push(
        &mut self,
        bytes: &[u8],
        max_instance: usize,
        mut found: impl FnMut(RawItem),
    ) -> Result<(), ResponseError> {
        for byte in bytes {
            if let Some((_, captured)) = &mut self.capture {
                if captured.len() >= max_instance {
                    return Err(ResponseError::TooLong);
                }
                captured.push(*byte);
            }
            match self.state {
                State::Text if *byte == b'<' => {
                    self.state = State::Tag;
                    self.tag.clear();
                }
                State::Text => {
                    let blank = byte.is_ascii_whitespace() || matches!(*byte, 0xef | 0xbb | 0xbf);
                    if self.depth == 0 && !blank {
                        return Err(MalformedResponse::NotXml.into());
                    }
                    if let Some(hash) = self.hash.as_mut().filter(|hash| hash.len() < MAX_TEXT) {
                        hash.push(*byte);
                    }
                }
                State::Tag => self.push_in_tag(*byte, &mut found)?,
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

    fn push_in_tag(
        &mut self,
        byte: u8,
        found: &mut impl FnMut(RawItem),
    ) -> Result<(), ResponseError> {
        if let Some(quote) = self.quote {
            if byte == quote {
                self.quote = None;
            }
        } else if byte == b'>' {
            return self.end_of_tag(found);
        } else if byte == b'<' {
            return Err(MalformedResponse::TagInTag.into());
        } else if (byte == b'"' || byte == b'\'') && !self.tag.starts_with(b"!") {
            self.quote = Some(byte);
        }
        if self.tag.len() >= MAX_TAG {
            return Err(ResponseError::TooLong);
        }
        self.tag.push(byte);
        match self.tag.as_slice() {
            b"!--" => (self.state, self.tail) = (State::Comment, [0; 2]),
            b"![CDATA[" if self.depth > 0 => (self.state, self.tail) = (State::Data, [0; 2]),
            [b'!', b'D' | b'E' | b'A' | b'N', ..] => {
                return Err(MalformedResponse::DocumentType.into())
            }
            _ => {}
        }
        Ok(())
    }

    fn end_of_tag(&mut self, found: &mut impl FnMut(RawItem)) -> Result<(), ResponseError> {
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
            [b'!', ..] | [] => Err(MalformedResponse::UnexpectedTag.into()),
            [b'/', name @ ..] => {
                if self.depth == 0 {
                    return Err(MalformedResponse::UnmatchedTags.into());
                }
                if let Some((depth, captured)) = self.capture.take() {
                    if depth != self.depth {
                        self.capture = Some((depth, captured));
                    } else if name_of(name) == b"instance" {
                        found(RawItem::Instance(captured));
                    } else {
                        return Err(MalformedResponse::UnmatchedTags.into());
                    }
                }
                if let Some(hash) = self.hash.take() {
                    found(RawItem::Hash(
                        String::from_utf8_lossy(&hash).trim().to_owned(),
                    ));
                }
                self.depth -= 1;
                Ok(())
            }
            [.., b'/'] if !tag.starts_with(b"/") => {
                self.has_begun = true;
                Ok(())
            }
            _ => {
                if self.depth >= MAX_DEPTH {
                    return Err(ResponseError::TooDeep);
                }
                if self.depth == 0 && self.has_begun {
                    return Err(MalformedResponse::SeveralDocuments.into());
                }
                self.has_begun = true;
                self.depth += 1;
                match name_of(&tag).as_slice() {
                    b"instance" if self.capture.is_none() => {
                        let mut captured = vec![b'<'];
                        captured.extend_from_slice(&tag);
                        captured.push(b'>');
                        self.capture = Some((self.depth, captured));
                    }
                    b"apps__hashcode" if self.capture.is_none() => self.hash = Some(Vec::new()),
                    _ => {}
                }
                Ok(())
            }
        }
    }
}
