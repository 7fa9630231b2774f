//! The responses to clients.

use crate::clock::millis;
use crate::core::{FinalAnswer, RequestError};
use crate::net::http::ParseError;
use marbledeck_dispatcher::Micros;

/// The `Retry-After` of a 503 response: the node is overloaded, shutting down or not ready.
const RETRY_AFTER: Micros = millis(1000);

/// A response that the front end makes itself, without a worker: a status and a text.
#[derive(Debug, PartialEq, Eq)]
pub struct Notice {
    /// The status of the response.
    pub status: u16,
    /// Its body.
    pub text: String,
}

impl Notice {
    /// A notice with this status and text.
    pub fn new(status: u16, text: impl Into<String>) -> Self {
        let text = text.into();
        Notice { status, text }
    }

    /// The response for this notice.
    pub fn reply(&self, keep_alive: bool) -> Reply<'_> {
        Reply {
            status: self.status,
            retry_after: (self.status == 503).then_some(RETRY_AFTER),
            body: self.text.as_bytes(),
            keep_alive,
        }
    }
}

impl From<ParseError> for Notice {
    fn from(error: ParseError) -> Self {
        let status = match error {
            ParseError::Malformed(_) => 400,
            ParseError::HeadTooLong => 431,
            ParseError::BodyTooLong => 413,
        };
        Notice::new(status, error.to_string())
    }
}

impl From<RequestError> for Notice {
    fn from(error: RequestError) -> Self {
        let status = match error {
            // The request has not run, so a retry is safe.
            RequestError::TooMany | RequestError::NoSeat(_) => 503,
            RequestError::IdOpen | RequestError::IdSent => 409,
            _ => 400,
        };
        Notice::new(status, error.to_string())
    }
}

/// A response to a client.
pub struct Reply<'a> {
    status: u16,
    /// The value of the `Retry-After` field, if any.
    retry_after: Option<Micros>,
    body: &'a [u8],
    /// Whether the connection stays open.
    pub keep_alive: bool,
}

impl<'a> Reply<'a> {
    /// The response for a request's final answer.
    pub fn of_answer(answer: &'a FinalAnswer, keep_alive: bool) -> Self {
        let (status, retry_after, body): (_, _, &[u8]) = match answer {
            FinalAnswer::Served(result) => (200, None, result),
            FinalAnswer::Rejected(retry_after) => (429, *retry_after, b"come back later"),
            FinalAnswer::Failed => (502, None, b"failed"),
        };
        Reply {
            status,
            retry_after,
            body,
            keep_alive,
        }
    }

    /// Encodes the response.
    pub fn bytes(&self) -> Vec<u8> {
        let retry_after = self.retry_after.map_or(String::new(), |wait| {
            format!("Retry-After: {}\r\n", wait.as_secs_f64())
        });
        let close = if self.keep_alive {
            ""
        } else {
            "Connection: close\r\n"
        };
        let head = format!(
            "HTTP/1.1 {} {}\r\n{retry_after}{close}Content-Length: {}\r\n\r\n",
            self.status,
            reason_phrase(self.status),
            self.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(self.body);
        bytes
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        405 => "Method Not Allowed",
        409 => "Conflict",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        _ => "Other",
    }
}
