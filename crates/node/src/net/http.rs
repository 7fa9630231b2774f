//! HTTP/1.1 as far as this node speaks it: heads, and bodies by length or in chunks. Bytes in, parts out; a part
//! that has not wholly come is no fault.

use std::fmt;

/// The longest head: request or status line and all fields.
pub const MAX_HEAD: usize = 16 * 1024;
/// The longest body of a request or result.
pub const MAX_BODY: usize = 64 * 1024;
/// The most fields of a head.
const MAX_FIELDS: usize = 100;
/// The longest line that gives a chunk's size.
const MAX_CHUNK_LINE: usize = 256;

/// Why bytes are not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParseError {
    Malformed(&'static str),
    HeadTooLong,
    BodyTooLong,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ParseError::Malformed(what) => f.write_str(what),
            ParseError::HeadTooLong => f.write_str("the head is too long"),
            ParseError::BodyTooLong => f.write_str("the body is too long"),
        }
    }
}

/// The fields of a head, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields(Vec<(String, String)>);

impl Fields {
    fn all<'a, 'n: 'a>(&'a self, name: &'n str) -> impl Iterator<Item = &'a str> + use<'a, 'n> {
        let named = move |(n, _): &&(String, String)| n.eq_ignore_ascii_case(name);
        self.0.iter().filter(named).map(|(_, value)| value.as_str())
    }

    /// The value of this field, where it comes once.
    pub fn get(&self, name: &str) -> Option<&str> {
        let named = |(n, _): &&(String, String)| n.eq_ignore_ascii_case(name);
        let mut values = self.0.iter().filter(named);
        let (_, value) = values.next()?;
        values.next().is_none().then_some(value)
    }

    /// Whether this field comes at all.
    pub fn has(&self, name: &str) -> bool {
        self.all(name).next().is_some()
    }

    /// Whether one of a field's comma-separated values is this word.
    fn lists(&self, name: &str, word: &str) -> bool {
        let mut words = self.all(name).flat_map(|value| value.split(','));
        words.any(|w| w.trim().eq_ignore_ascii_case(word))
    }
}

/// The head of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    pub method: String,
    pub target: String,
    pub fields: Fields,
    pub keep_alive: bool,
}

/// The head of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    pub status: u16,
    pub fields: Fields,
    pub keep_alive: bool,
}

fn is_token(word: &str) -> bool {
    let mark = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
    !word.is_empty() && word.bytes().all(mark)
}

/// The lines of a head that has wholly come, and how many bytes it takes.
fn head_lines(bytes: &[u8]) -> Result<Option<(Vec<&str>, usize)>, ParseError> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n");
    let Some(end) = end.filter(|end| *end <= MAX_HEAD) else {
        let waiting = bytes.len() <= MAX_HEAD;
        return if waiting {
            Ok(None)
        } else {
            Err(ParseError::HeadTooLong)
        };
    };
    let text = std::str::from_utf8(&bytes[..end]);
    let text = text.map_err(|_| ParseError::Malformed("the head is not text"))?;
    let lines: Vec<&str> = text.split("\r\n").collect();
    let control = |c: char| c.is_control() && c != '\t';
    if lines.iter().any(|line| line.contains(control)) {
        return Err(ParseError::Malformed("a control character in the head"));
    }
    if lines.len() > MAX_FIELDS + 1 {
        return Err(ParseError::HeadTooLong);
    }
    Ok(Some((lines, end + 4)))
}

fn fields(lines: &[&str]) -> Result<Fields, ParseError> {
    let mut fields = Vec::with_capacity(lines.len());
    for line in lines {
        let (name, value) = line
            .split_once(':')
            .filter(|(name, _)| is_token(name))
            .ok_or(ParseError::Malformed("a malformed field"))?;
        let value = value.trim_matches([' ', '\t']);
        fields.push((name.to_owned(), value.to_owned()));
    }
    Ok(Fields(fields))
}

/// Whether the connection stays open after a message of this version.
fn keep_alive(version: &str, fields: &Fields) -> Result<bool, ParseError> {
    match version {
        "HTTP/1.1" => Ok(!fields.lists("Connection", "close")),
        "HTTP/1.0" => Ok(fields.lists("Connection", "keep-alive")),
        _ => Err(ParseError::Malformed("not HTTP/1.1")),
    }
}

/// The head of a request, if it has come, and how many bytes it takes.
pub fn request_head(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, ParseError> {
    // A line's end left over from the body before is passed over.
    let blank = bytes.iter().take_while(|b| b"\r\n".contains(b)).count();
    let Some((lines, used)) = head_lines(&bytes[blank..])? else {
        return Ok(None);
    };
    let start: Vec<&str> = lines[0].split(' ').collect();
    let [method, target, version] = start[..] else {
        return Err(ParseError::Malformed("a malformed request line"));
    };
    if !is_token(method) || target.is_empty() {
        return Err(ParseError::Malformed("a malformed request line"));
    }
    let fields = fields(&lines[1..])?;
    let head = RequestHead {
        method: method.to_owned(),
        target: target.to_owned(),
        keep_alive: keep_alive(version, &fields)?,
        fields,
    };
    Ok(Some((head, blank + used)))
}

/// The head of an answer, if it has come, and how many bytes it takes. Interim answers are passed over.
pub fn response_head(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>, ParseError> {
    let mut skipped = 0;
    loop {
        let Some((lines, used)) = head_lines(&bytes[skipped..])? else {
            return Ok(None);
        };
        let (version, rest) = lines[0]
            .split_once(' ')
            .ok_or(ParseError::Malformed("a malformed status line"))?;
        let status = rest
            .get(..3)
            .filter(|s| s.bytes().all(|b| b.is_ascii_digit()));
        let status = status.and_then(|s| s.parse().ok());
        let status = status.ok_or(ParseError::Malformed("a malformed status line"))?;
        let fields = fields(&lines[1..])?;
        let keep_alive = keep_alive(version, &fields)?;
        skipped += used;
        if !(100..200).contains(&status) {
            let head = ResponseHead {
                status,
                fields,
                keep_alive,
            };
            return Ok(Some((head, skipped)));
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    Length(usize),
    ToClose,
    ChunkSize,
    Chunk(usize),
    ChunkEnd,
    Trailer,
    Done,
}

/// Reads one body as its bytes come.
#[derive(Debug)]
pub struct Body {
    part: Part,
    /// The bytes of a line that has not wholly come.
    line: Vec<u8>,
    taken: usize,
    /// The most bytes that it may have.
    most: usize,
}

impl Body {
    fn new(part: Part, most: usize) -> Self {
        Body {
            part,
            line: Vec::new(),
            taken: 0,
            most,
        }
    }

    /// The body of a request with these fields.
    pub fn of_request(fields: &Fields) -> Result<Self, ParseError> {
        Body::of(fields, Part::Length(0), MAX_BODY)
    }

    /// The body of an answer with this head.
    pub fn of_response(head: &ResponseHead) -> Result<Self, ParseError> {
        Body::of_long_response(head, MAX_BODY)
    }

    /// The same, of a peer whose answers may be longer, but not than this.
    pub fn of_long_response(head: &ResponseHead, most: usize) -> Result<Self, ParseError> {
        if matches!(head.status, 204 | 304) {
            return Ok(Body::new(Part::Done, most));
        }
        Body::of(&head.fields, Part::ToClose, most)
    }

    fn of(fields: &Fields, otherwise: Part, most: usize) -> Result<Self, ParseError> {
        let coded = fields.all("Transfer-Encoding").count();
        let mut lengths = fields.all("Content-Length");
        let length = lengths.next();
        // Two ways to tell where a body ends let two readers see two different requests, even where they agree
        // to this one.
        if coded + usize::from(length.is_some()) + lengths.count() > 1 {
            return Err(ParseError::Malformed("the body's length is told twice"));
        }
        if coded > 0 {
            let chunked = fields.get("Transfer-Encoding");
            let chunked = chunked.is_some_and(|c| c.eq_ignore_ascii_case("chunked"));
            return match chunked {
                true => Ok(Body::new(Part::ChunkSize, most)),
                false => Err(ParseError::Malformed("an unknown transfer coding")),
            };
        }
        let Some(length) = length else {
            return Ok(Body::new(otherwise, most));
        };
        if length.is_empty() || !length.bytes().all(|b| b.is_ascii_digit()) {
            return Err(ParseError::Malformed("a malformed Content-Length"));
        }
        let length = length.parse().map_err(|_| ParseError::BodyTooLong)?;
        if length > most {
            return Err(ParseError::BodyTooLong);
        }
        Ok(Body::new(Part::Length(length), most))
    }

    /// The most bytes that it can still have.
    pub fn max_remaining(&self) -> usize {
        match self.part {
            Part::Length(n) => n,
            Part::Done => 0,
            _ => self.most,
        }
    }

    pub fn is_done(&self) -> bool {
        matches!(self.part, Part::Done | Part::Length(0))
    }

    /// Whether the end of the connection is the end of this body.
    pub fn ends_with_connection(&self) -> bool {
        self.part == Part::ToClose
    }

    /// Takes bytes as far as they belong to the body, and adds its content to `out`; tells how many it took.
    pub fn take(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, ParseError> {
        let mut used = 0;
        while used < bytes.len() && !self.is_done() {
            let rest = &bytes[used..];
            used += match self.part {
                Part::Length(n) => {
                    let n_taken = self.content(&rest[..n.min(rest.len())], out)?;
                    self.part = Part::Length(n - n_taken);
                    n_taken
                }
                Part::Chunk(n) => {
                    let n_taken = self.content(&rest[..n.min(rest.len())], out)?;
                    self.part = match n - n_taken {
                        0 => Part::ChunkEnd,
                        left => Part::Chunk(left),
                    };
                    n_taken
                }
                Part::ToClose => self.content(rest, out)?,
                Part::ChunkSize | Part::ChunkEnd | Part::Trailer => self.control(rest)?,
                Part::Done => 0,
            };
        }
        Ok(used)
    }

    fn content(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, ParseError> {
        self.taken += bytes.len();
        if self.taken > self.most {
            return Err(ParseError::BodyTooLong);
        }
        out.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    /// Takes bytes of a line between chunks, and acts on it when it is whole.
    fn control(&mut self, bytes: &[u8]) -> Result<usize, ParseError> {
        let end = bytes.iter().position(|b| *b == b'\n');
        let used = end.map_or(bytes.len(), |end| end + 1);
        self.line.extend_from_slice(&bytes[..used]);
        if self.line.len() > MAX_CHUNK_LINE {
            return Err(ParseError::Malformed("a chunk's line is too long"));
        }
        if end.is_none() {
            return Ok(used);
        }
        let line = std::mem::take(&mut self.line);
        let line = line.strip_suffix(b"\r\n");
        let line = line.ok_or(ParseError::Malformed("a chunk's line without its end"))?;
        self.part = match self.part {
            Part::ChunkSize => match chunk_size(line)? {
                0 => Part::Trailer,
                n => Part::Chunk(n),
            },
            Part::ChunkEnd if !line.is_empty() => {
                return Err(ParseError::Malformed("a chunk longer than its size"));
            }
            Part::ChunkEnd => Part::ChunkSize,
            _ if line.is_empty() => Part::Done,
            _ => {
                // Trailers are dropped, but not without end.
                self.taken += line.len() + 2;
                if self.taken > self.most {
                    return Err(ParseError::BodyTooLong);
                }
                Part::Trailer
            }
        };
        Ok(used)
    }
}

fn chunk_size(line: &[u8]) -> Result<usize, ParseError> {
    let size = line.split(|b| *b == b';').next().unwrap_or_default();
    let size = std::str::from_utf8(size).unwrap_or_default().trim();
    if size.is_empty() || !size.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(ParseError::Malformed("a malformed chunk size"));
    }
    // Longer than any body may be, whatever its exact figure.
    usize::from_str_radix(size, 16).map_err(|_| ParseError::BodyTooLong)
}
