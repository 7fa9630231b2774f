//! Frames of the submission protocol: one JSON object a line.

use crate::net::ring::Ring;
use serde::Serialize;

/// A line longer than is taken.
#[derive(Debug, PartialEq, Eq)]
pub struct TooLong;

/// The next whole line without its end, if it has come.
pub fn next(input: &mut Ring, longest: usize) -> Result<Option<Vec<u8>>, TooLong> {
    let held = input.all();
    let Some(end) = held.iter().position(|b| *b == b'\n') else {
        let too_long = held.len() > longest || input.is_full();
        return if too_long { Err(TooLong) } else { Ok(None) };
    };
    if end > longest {
        return Err(TooLong);
    }
    let line = held[..end].to_vec();
    input.consume(end + 1);
    Ok(Some(line))
}

/// A message as a line with its end.
pub fn line(message: &impl Serialize) -> Vec<u8> {
    // The messages are made of strings, numbers and lists: writing them to memory cannot fail.
    let mut bytes = serde_json::to_vec(message).unwrap_or_default();
    bytes.push(b'\n');
    bytes
}
