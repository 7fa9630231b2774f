//! The part of HTTP/1.1 that the stubs need to read requests.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// An HTTP request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    /// The header fields, in the order of the request.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of a header field; the case of the name is ignored.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the value of a parameter in the query string.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.find(|(other, _)| *other == name);
        found.map(|(_, value)| value)
    }
}

/// Reads the next request of a connection; `None` if the connection was closed.
pub fn read(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut parts = line.split_ascii_whitespace();
    let mut request = Request {
        method: parts.next().unwrap_or_default().to_owned(),
        target: parts.next().unwrap_or_default().to_owned(),
        ..Request::default()
    };
    loop {
        line.clear();
        if stream.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        let field = (name.to_owned(), value.trim().to_owned());
        request.fields.push(field);
    }
    let length = request.field("Content-Length");
    let length = length.and_then(|length| length.parse().ok());
    request.body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut request.body)?;
    Ok(Some(request))
}
