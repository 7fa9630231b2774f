//! Framing of the protocol: one JSON object per line.

use serde::Serialize;

/// A line is longer than the receiver accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong;

/// Looks for a complete line at the beginning of `buffer` and returns its length without the line end. `full` says
/// that the buffer cannot take more bytes before some are removed.
///
/// # Errors
/// [`TooLong`] if the line is longer than `max_length` bytes, or can never become complete.
pub fn next(buffer: &[u8], max_length: usize, full: bool) -> Result<Option<usize>, TooLong> {
    // The line end can only be within the longest line and the byte after it.
    let searched = &buffer[..buffer.len().min(max_length + 1)];
    match searched.iter().position(|byte| *byte == b'\n') {
        Some(length) => Ok(Some(length)),
        None if buffer.len() > max_length || full => Err(TooLong),
        None => Ok(None),
    }
}

/// Encodes a message as a line, with its line end.
pub fn line(message: &impl Serialize) -> Vec<u8> {
    // The messages consist of strings, numbers and lists: writing them to memory cannot fail.
    let mut bytes = serde_json::to_vec(message).unwrap_or_default();
    bytes.push(b'\n');
    bytes
}
