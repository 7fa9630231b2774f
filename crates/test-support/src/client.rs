//! A client of the node's HTTP front, which sends one job at a time on a keep-alive connection.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Read timeout; far longer than any answer may take.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// A client with one connection.
pub struct JobClient {
    stream: BufReader<TcpStream>,
    /// Whether an answer had `Connection: close`.
    is_closing: bool,
}

impl JobClient {
    /// Connects to a node.
    ///
    /// # Errors
    /// The connection to the node fails.
    pub fn connect(address: &str) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(JobClient {
            stream: BufReader::new(stream),
            is_closing: false,
        })
    }

    /// Sends a job of the class `preview`, waits for its answer and returns the HTTP status.
    ///
    /// # Errors
    /// The connection fails or is closed before the answer is complete, or the answer has no status.
    pub fn run(&mut self, txn: &str, remaining_ms: u64) -> io::Result<u16> {
        let request = format!(
            "POST /{txn} HTTP/1.1\r\nHost: n\r\nX-Txn: {txn}\r\nX-Lane: preview\r\nX-Org: au\r\n\
             X-Remaining-Ms: {remaining_ms}\r\nContent-Length: 0\r\n\r\n"
        );
        self.stream.get_mut().write_all(request.as_bytes())?;
        self.read_answer()
    }

    /// Returns whether the node has announced that it closes the connection.
    pub fn is_closing(&self) -> bool {
        self.is_closing
    }

    fn read_answer(&mut self) -> io::Result<u16> {
        let mut line = String::new();
        let (mut status, mut length) = (None, 0);
        loop {
            line.clear();
            if self.stream.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if status.is_none() {
                status = line
                    .split(' ')
                    .nth(1)
                    .and_then(|status| status.parse().ok());
            }
            let (name, value) = line.trim_end().split_once(':').unwrap_or_default();
            if name.eq_ignore_ascii_case("Content-Length") {
                length = value.trim().parse().unwrap_or(0);
            }
            let is_close = value.trim().eq_ignore_ascii_case("close");
            self.is_closing |= is_close && name.eq_ignore_ascii_case("Connection");
            if line == "\r\n" {
                break;
            }
        }
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body)?;
        status.ok_or(io::ErrorKind::InvalidData.into())
    }
}
