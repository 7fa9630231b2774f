//! As much HTTP/1.1 as the stand-ins need.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// A request with its body.
#[derive(Clone, Debug, Default)]

pub struct Request {
    pub method: String,
    pub target: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self
            .fields
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// A value of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(n, _)| *n == name).map(|(_, v)| v)
    }
}

/// The next request of a connection; none at its end.
pub fn read(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_ascii_whitespace();
    let mut request = Request {
        method: words.next().unwrap_or_default().to_owned(),
        target: words.next().unwrap_or_default().to_owned(),
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
        request
            .fields
            .push((name.to_owned(), value.trim().to_owned()));
    }
    let length = request.field("Content-Length").and_then(|l| l.parse().ok());
    request.body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut request.body)?;
    Ok(Some(request))
}
