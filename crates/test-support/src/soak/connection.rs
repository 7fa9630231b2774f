//! A client's connection that tells apart all ways in which an exchange can end.

use super::JobClass;
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Interval between two looks at a connection that may be reset.
const RESET_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A job for the node.
#[derive(Clone, Debug)]
pub struct JobRequest {
    /// The value of `X-Txn`.
    pub txn: String,
    /// The class of the job.
    pub class: JobClass,
    /// How long the client waits for the answer.
    pub time_left: Duration,
}

impl JobRequest {
    /// The request target, which is different for each job.
    pub fn target(&self) -> String {
        format!("/{}", self.txn)
    }

    /// Encodes the request.
    pub fn encode(&self) -> Vec<u8> {
        let JobRequest { txn, class, .. } = self;
        let key = match class {
            JobClass::Keyed => format!("Idempotency-Key: key-{txn}\r\n"),
            JobClass::Safe | JobClass::Unsafe => String::new(),
        };
        let (target, class) = (self.target(), class.name());
        let remaining = self.time_left.as_millis();
        let text = format!(
            "POST {target} HTTP/1.1\r\nHost: n\r\nX-Txn: {txn}\r\nX-Lane: {class}\r\nX-Org: au\r\n{key}\
             X-Remaining-Ms: {remaining}\r\nContent-Length: 0\r\n\r\n"
        );
        text.into_bytes()
    }
}

/// A complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The value of `Retry-After`.
    pub retry_after: Option<String>,
    /// Whether the node announces that it closes the connection.
    pub closes: bool,
    /// The body.
    pub body: Vec<u8>,
}

/// Why there is no complete answer. `received` is the number of bytes of it that came.
#[derive(Debug, thiserror::Error)]
pub enum ReceiveError {
    /// The node has ended its sending.
    #[error("the connection ended after {received} bytes")]
    Ended {
        /// See [`ReceiveError`].
        received: usize,
    },
    /// The connection was reset.
    #[error("the connection was reset after {received} bytes: {source}")]
    Reset {
        /// See [`ReceiveError`].
        received: usize,
        /// The error of the read.
        source: io::Error,
    },
    /// Nothing more came in time.
    #[error("nothing more came after {received} bytes")]
    TimedOut {
        /// See [`ReceiveError`].
        received: usize,
    },
    /// The bytes are no HTTP response.
    #[error("malformed: {0}")]
    Malformed(String),
}

/// A client's connection to the node.
pub struct JobConnection {
    stream: TcpStream,
    received: Vec<u8>,
    /// Number of complete answers.
    answers: usize,
}

/// The head of an answer.
struct Head {
    /// Its length in bytes.
    length: usize,
    body_length: usize,
    answer: JobAnswer,
}

impl JobConnection {
    /// Connects to the node.
    ///
    /// # Errors
    /// The connection fails.
    pub fn connect(address: &str) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        Ok(JobConnection {
            stream,
            received: Vec::new(),
            answers: 0,
        })
    }

    /// Returns whether a request was answered on this connection.
    pub fn was_used(&self) -> bool {
        self.answers > 0
    }

    /// Sends bytes as they are, for example a part of a request.
    ///
    /// # Errors
    /// The connection fails.
    pub fn send_bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends a request.
    ///
    /// # Errors
    /// The connection fails before the last byte is written.
    pub fn send(&mut self, request: &JobRequest) -> io::Result<()> {
        self.send_bytes(&request.encode())
    }

    /// Waits for the answer until a deadline.
    ///
    /// # Errors
    /// There is no complete answer.
    pub fn receive(&mut self, deadline: Instant) -> Result<JobAnswer, ReceiveError> {
        loop {
            if let Some(answer) = self.take_answer()? {
                self.answers += 1;
                return Ok(answer);
            }
            self.read(deadline)?;
        }
    }

    /// Returns the bytes that have come without a request, and whether the node has closed the connection.
    pub fn check_rest(&mut self) -> (usize, bool) {
        let no_wait = Instant::now();
        let is_closed = loop {
            match self.read(no_wait) {
                Ok(()) => {}
                Err(ReceiveError::TimedOut { .. }) => break false,
                Err(_) => break true,
            }
        };
        (self.received.len(), is_closed)
    }

    /// Waits until the connection, which the node has ended, is reset, too: that shows that the node has left bytes
    /// unread. Returns whether that happens within this time.
    pub fn is_reset_within(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if matches!(self.stream.take_error(), Ok(Some(_)) | Err(_)) {
                return true;
            }
            std::thread::sleep(RESET_POLL_INTERVAL);
        }
        false
    }

    fn read(&mut self, deadline: Instant) -> Result<(), ReceiveError> {
        let received = self.received.len();
        let left = deadline.saturating_duration_since(Instant::now());
        // A timeout of zero would wait without end.
        let timeout = left.max(Duration::from_micros(1));
        let mut buffer = [0; 4096];
        let read = self.stream.set_read_timeout(Some(timeout));
        match read.and_then(|()| self.stream.read(&mut buffer)) {
            Ok(0) => Err(ReceiveError::Ended { received }),
            Ok(length) => {
                self.received.extend_from_slice(&buffer[..length]);
                Ok(())
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => Ok(()),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                Err(ReceiveError::TimedOut { received })
            }
            Err(source) => Err(ReceiveError::Reset { received, source }),
        }
    }

    fn take_answer(&mut self) -> Result<Option<JobAnswer>, ReceiveError> {
        let Some(head) = parse_head(&self.received)? else {
            return Ok(None);
        };
        let length = head.length + head.body_length;
        if self.received.len() < length {
            return Ok(None);
        }
        let mut answer = head.answer;
        answer.body = self.received[head.length..length].to_vec();
        self.received.drain(..length);
        Ok(Some(answer))
    }
}

/// Parses the head of an answer; `None` if it is not complete.
fn parse_head(bytes: &[u8]) -> Result<Option<Head>, ReceiveError> {
    const END: &[u8] = b"\r\n\r\n";
    let Some(end) = bytes.windows(END.len()).position(|window| window == END) else {
        return Ok(None);
    };
    let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let malformed = || ReceiveError::Malformed(text.clone());
    let mut lines = text.split("\r\n");
    let status = lines.next().and_then(|line| line.strip_prefix("HTTP/1.1 "));
    let status = status.and_then(|rest| rest.get(..3)?.parse().ok());
    let mut answer = JobAnswer {
        status: status.ok_or_else(malformed)?,
        retry_after: None,
        closes: false,
        body: Vec::new(),
    };
    let mut body_length = None;
    for line in lines {
        let (name, value) = line.split_once(": ").ok_or_else(malformed)?;
        match name.to_ascii_lowercase().as_str() {
            "content-length" => body_length = value.parse().ok(),
            "connection" => answer.closes = value.eq_ignore_ascii_case("close"),
            "retry-after" => answer.retry_after = Some(value.to_owned()),
            _ => {}
        }
    }
    Ok(Some(Head {
        length: end + END.len(),
        body_length: body_length.ok_or_else(malformed)?,
        answer,
    }))
}
