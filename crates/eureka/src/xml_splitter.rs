//! An incremental splitter that finds the instances in a registry's XML and buffers at most one of them. It rejects
//! constructs that Eureka never sends. Rejecting document types rules out entity expansion.

use crate::error::{MalformedResponse, ResponseError};

const MAX_DEPTH: usize = 64;
/// The longest tag in bytes.
const MAX_TAG_BYTES: usize = 4096;
/// The bytes kept of a hash code; the rest is ignored.
const MAX_HASH_BYTES: usize = 4096;

/// An item of a response before it is parsed.
pub(crate) enum RawItem {
    /// The bytes of an instance, in the format of the response.
    Instance(Vec<u8>),
    /// The hash code of all instances in the registry.
    Hash(String),
}

#[derive(Default, PartialEq, Eq)]
enum State {
    #[default]
    Text,
    /// Inside a tag, after its `<`.
    Tag,
    Comment,
    Cdata,
}

/// Splits one XML document.
#[derive(Default)]
pub(crate) struct Splitter {
    state: State,
    /// The bytes of the current tag, without its angle brackets.
    tag: Vec<u8>,
    /// The quote that opened the current attribute value.
    quote: Option<u8>,
    /// The last two bytes of a comment or of character data, to detect its end.
    tail: [u8; 2],
    /// The number of open elements.
    depth: usize,
    has_begun: bool,
    /// The depth and the bytes of the current instance.
    capture: Option<(usize, Vec<u8>)>,
    /// The text of the hash code, while its element is open.
    hash: Option<Vec<u8>>,
}

impl Splitter {
    /// Whether a complete document has been read.
    pub fn is_complete(&self) -> bool {
        self.has_begun && self.depth == 0 && self.state == State::Text
    }

    /// Reads the next bytes, and passes each item that they complete to `on_item`.
    ///
    /// # Errors
    /// The input is not well-formed or nested too deeply, or an instance is longer than `max_instance` bytes.
    pub fn push(
        &mut self,
        bytes: &[u8],
        max_instance: usize,
        mut on_item: impl FnMut(RawItem),
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
                    let is_blank_or_bom =
                        byte.is_ascii_whitespace() || matches!(*byte, 0xef | 0xbb | 0xbf);
                    if self.depth == 0 && !is_blank_or_bom {
                        return Err(MalformedResponse::NotXml.into());
                    }
                    if let Some(hash) = self
                        .hash
                        .as_mut()
                        .filter(|hash| hash.len() < MAX_HASH_BYTES)
                    {
                        hash.push(*byte);
                    }
                }
                State::Tag => self.push_in_tag(*byte, &mut on_item)?,
                State::Comment | State::Cdata => {
                    let delimiter = if self.state == State::Comment {
                        b'-'
                    } else {
                        b']'
                    };
                    if *byte == b'>' && self.tail == [delimiter, delimiter] {
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
        on_item: &mut impl FnMut(RawItem),
    ) -> Result<(), ResponseError> {
        if let Some(quote) = self.quote {
            if byte == quote {
                self.quote = None;
            }
        } else if byte == b'>' {
            return self.end_tag(on_item);
        } else if byte == b'<' {
            return Err(MalformedResponse::TagInTag.into());
        } else if (byte == b'"' || byte == b'\'') && !self.tag.starts_with(b"!") {
            self.quote = Some(byte);
        }
        if self.tag.len() >= MAX_TAG_BYTES {
            return Err(ResponseError::TooLong);
        }
        self.tag.push(byte);
        match self.tag.as_slice() {
            b"!--" => (self.state, self.tail) = (State::Comment, [0; 2]),
            b"![CDATA[" if self.depth > 0 => (self.state, self.tail) = (State::Cdata, [0; 2]),
            [b'!', b'D' | b'E' | b'A' | b'N', ..] => {
                return Err(MalformedResponse::DocumentType.into())
            }
            _ => {}
        }
        Ok(())
    }

    fn end_tag(&mut self, on_item: &mut impl FnMut(RawItem)) -> Result<(), ResponseError> {
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
                        on_item(RawItem::Instance(captured));
                    } else {
                        return Err(MalformedResponse::UnmatchedTags.into());
                    }
                }
                if let Some(hash) = self.hash.take() {
                    on_item(RawItem::Hash(
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
