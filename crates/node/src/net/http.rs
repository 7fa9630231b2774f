//! An incremental parser for the subset of HTTP/1.1 that this node uses: heads, and bodies with a length, in chunks or
//! up to the end of the connection. Incomplete input is not an error.

/// The maximum size in bytes of a head: the request or status line and all fields.
pub const MAX_HEAD: usize = 16 * 1024;
/// The maximum size in bytes of the body of a request or result.
pub const MAX_BODY: usize = 64 * 1024;
/// The maximum number of fields in a head.
const MAX_FIELDS: usize = 100;
/// The maximum length of a line between chunks or of a trailer.
const MAX_CHUNK_LINE: usize = 256;

/// Why input is not a valid message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// It violates the syntax.
    #[error("{0}")]
    Malformed(&'static str),
    /// The head is longer than [`MAX_HEAD`], or has too many fields.
    #[error("the head is too long")]
    HeadTooLong,
    /// The body is longer than the limit for its kind of message.
    #[error("the body is too long")]
    BodyTooLong,
}

/// The fields of a head, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields(Vec<(String, String)>);

impl Fields {
    fn all<'a, 'n: 'a>(&'a self, name: &'n str) -> impl Iterator<Item = &'a str> + use<'a, 'n> {
        let named = move |(n, _): &&(String, String)| n.eq_ignore_ascii_case(name);
        self.0.iter().filter(named).map(|(_, value)| value.as_str())
    }

    /// The value of this field, if it occurs exactly once.
    pub fn get(&self, name: &str) -> Option<&str> {
        let named = |(n, _): &&(String, String)| n.eq_ignore_ascii_case(name);
        let mut values = self.0.iter().filter(named);
        let (_, value) = values.next()?;
        values.next().is_none().then_some(value)
    }

    /// Whether this field occurs at all.
    pub fn has(&self, name: &str) -> bool {
        self.all(name).next().is_some()
    }

    /// Whether this value is one of a field's comma-separated values.
    fn has_listed_value(&self, name: &str, wanted: &str) -> bool {
        let mut values = self.all(name).flat_map(|value| value.split(','));
        values.any(|value| value.trim().eq_ignore_ascii_case(wanted))
    }
}

/// The head of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// The method, as received.
    pub method: String,
    /// The target, as received.
    pub target: String,
    /// The fields.
    pub fields: Fields,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
}

impl RequestHead {
    /// The memory that the head takes, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let fields = self.fields.0.iter();
        let texts = fields.map(|(name, value)| name.capacity() + value.capacity());
        let entries = self.fields.0.capacity() * size_of::<(String, String)>();
        self.target.capacity() + entries + texts.sum::<usize>()
    }
}

/// The head of a response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The fields.
    pub fields: Fields,
    /// Whether the connection stays open after the body.
    pub keep_alive: bool,
}

fn is_token(text: &str) -> bool {
    let is_token_byte = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
    !text.is_empty() && text.bytes().all(is_token_byte)
}

/// Splits a complete head into lines. Returns them with the number of bytes that the head takes, or none if it is
/// incomplete.
fn split_head_lines(bytes: &[u8]) -> Result<Option<(Vec<&str>, usize)>, ParseError> {
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
    let is_control = |c: char| c.is_control() && c != '\t';
    if lines.iter().any(|line| line.contains(is_control)) {
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

/// Whether the connection stays open after a message with this version and these fields.
fn keep_alive(version: &str, fields: &Fields) -> Result<bool, ParseError> {
    match version {
        "HTTP/1.1" => Ok(!fields.has_listed_value("Connection", "close")),
        "HTTP/1.0" => Ok(fields.has_listed_value("Connection", "keep-alive")),
        _ => Err(ParseError::Malformed("not HTTP/1.1")),
    }
}

/// Parses the head of a request. Returns it with the number of bytes that it takes, or none if it is incomplete.
///
/// # Errors
/// The head is malformed or too long.
pub fn parse_request_head(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, ParseError> {
    // Skips blank lines that may be left over after the previous body.
    let blank = bytes.iter().take_while(|b| b"\r\n".contains(b)).count();
    let Some((lines, used)) = split_head_lines(&bytes[blank..])? else {
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

/// Parses the head of a response, skipping interim (1xx) ones. Returns it with the number of bytes that it takes
/// including the skipped ones, or none if it is incomplete.
///
/// # Errors
/// The head is malformed or too long.
pub fn parse_response_head(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>, ParseError> {
    let mut skipped = 0;
    loop {
        let Some((lines, used)) = split_head_lines(&bytes[skipped..])? else {
            return Ok(None);
        };
        let (version, rest) = lines[0]
            .split_once(' ')
            .ok_or(ParseError::Malformed("a malformed status line"))?;
        let status = rest
            .get(..3)
            .filter(|digits| digits.bytes().all(|b| b.is_ascii_digit()));
        let status = status.and_then(|digits| digits.parse().ok());
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

/// The part of a body that is expected next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    /// This many bytes up to the end of the body.
    Length(usize),
    /// All bytes until the connection ends.
    UntilClose,
    /// The line with the size of a chunk.
    ChunkSize,
    /// This many bytes up to the end of a chunk.
    Chunk(usize),
    /// The empty line after a chunk.
    ChunkEnd,
    /// The fields after the last chunk.
    Trailer,
    /// Nothing; the body is complete.
    Done,
}

/// Decodes one body incrementally.
#[derive(Debug)]
pub struct Body {
    part: Part,
    /// The bytes of an incomplete line between chunks.
    line: Vec<u8>,
    /// The number of bytes of content and trailers so far.
    length: usize,
    /// The maximum for `length`.
    max_length: usize,
}

impl Body {
    fn new(part: Part, max_length: usize) -> Self {
        Body {
            part,
            line: Vec::new(),
            length: 0,
            max_length,
        }
    }

    /// The body of a request with these fields; empty if they specify no length.
    ///
    /// # Errors
    /// The fields specify the length incorrectly, or it is too long.
    pub fn of_request(fields: &Fields) -> Result<Self, ParseError> {
        Body::of(fields, Part::Length(0), MAX_BODY)
    }

    /// The body of a response with this head. If the head specifies no length, the body ends with the connection.
    ///
    /// # Errors
    /// The head specifies the length incorrectly, or it is too long.
    pub fn of_response(head: &ResponseHead) -> Result<Self, ParseError> {
        Body::of_response_with_limit(head, MAX_BODY)
    }

    /// Like [`Body::of_response`], for a peer whose responses may have up to `max_length` bytes.
    ///
    /// # Errors
    /// The head specifies the length incorrectly, or it is too long.
    pub fn of_response_with_limit(
        head: &ResponseHead,
        max_length: usize,
    ) -> Result<Self, ParseError> {
        if matches!(head.status, 204 | 304) {
            return Ok(Body::new(Part::Done, max_length));
        }
        Body::of(&head.fields, Part::UntilClose, max_length)
    }

    fn of(fields: &Fields, default: Part, max_length: usize) -> Result<Self, ParseError> {
        let encodings = fields.all("Transfer-Encoding").count();
        let mut lengths = fields.all("Content-Length");
        let length = lengths.next();
        // If a head specifies the length twice, two recipients may see different message boundaries (request
        // smuggling), so this is an error even if both values agree here.
        if encodings + usize::from(length.is_some()) + lengths.count() > 1 {
            return Err(ParseError::Malformed("the body's length is told twice"));
        }
        if encodings > 0 {
            let encoding = fields.get("Transfer-Encoding");
            return if encoding.is_some_and(|name| name.eq_ignore_ascii_case("chunked")) {
                Ok(Body::new(Part::ChunkSize, max_length))
            } else {
                Err(ParseError::Malformed("an unknown transfer coding"))
            };
        }
        let Some(length) = length else {
            return Ok(Body::new(default, max_length));
        };
        if length.is_empty() || !length.bytes().all(|b| b.is_ascii_digit()) {
            return Err(ParseError::Malformed("a malformed Content-Length"));
        }
        let length = length.parse().map_err(|_| ParseError::BodyTooLong)?;
        if length > max_length {
            return Err(ParseError::BodyTooLong);
        }
        Ok(Body::new(Part::Length(length), max_length))
    }

    /// The maximum number of content bytes that can still follow.
    pub fn max_remaining(&self) -> usize {
        match self.part {
            Part::Length(n) => n,
            Part::Done => 0,
            _ => self.max_length,
        }
    }

    /// Whether it is complete.
    pub fn is_done(&self) -> bool {
        matches!(self.part, Part::Done | Part::Length(0))
    }

    /// Whether this body ends when the connection ends.
    pub fn ends_with_connection(&self) -> bool {
        self.part == Part::UntilClose
    }

    /// Decodes bytes up to the end of the body and appends its content to `out`. Returns how many bytes it has
    /// consumed.
    ///
    /// # Errors
    /// The body is malformed or too long.
    pub fn take(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, ParseError> {
        let mut used = 0;
        while used < bytes.len() && !self.is_done() {
            let rest = &bytes[used..];
            used += match self.part {
                Part::Length(n) => {
                    let read = self.read_content(&rest[..n.min(rest.len())], out)?;
                    self.part = Part::Length(n - read);
                    read
                }
                Part::Chunk(n) => {
                    let read = self.read_content(&rest[..n.min(rest.len())], out)?;
                    self.part = match n - read {
                        0 => Part::ChunkEnd,
                        left => Part::Chunk(left),
                    };
                    read
                }
                Part::UntilClose => self.read_content(rest, out)?,
                Part::ChunkSize | Part::ChunkEnd | Part::Trailer => self.read_line(rest)?,
                Part::Done => 0,
            };
        }
        Ok(used)
    }

    fn read_content(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, ParseError> {
        self.length += bytes.len();
        if self.length > self.max_length {
            return Err(ParseError::BodyTooLong);
        }
        out.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    /// Reads bytes of a chunk-size line, the end of a chunk or a trailer, and handles the line when it is complete.
    fn read_line(&mut self, bytes: &[u8]) -> Result<usize, ParseError> {
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
                // Trailers are discarded, but count towards the limit.
                self.length += line.len() + 2;
                if self.length > self.max_length {
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
    // A size that overflows is longer than any body may be.
    usize::from_str_radix(size, 16).map_err(|_| ParseError::BodyTooLong)
}
