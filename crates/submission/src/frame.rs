//! Framing of the protocol: one JSON object per line.

use serde::Serialize;

/// A line is longer than the receiver accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong;

/// Returns the length of the line at the beginning of `buffer`, without its line end; `None` if the line is incomplete.
/// `is_full` tells that the buffer cannot take more bytes before some are removed.
///
/// # Errors
/// [`TooLong`] if the line is longer than `max_length` bytes, or is incomplete in a full buffer.
pub fn find_line(
    buffer: &[u8],
    max_length: usize,
    is_full: bool,
) -> Result<Option<usize>, TooLong> {
    // The line end can only be within the longest line and the byte after it.
    let searched = &buffer[..buffer.len().min(max_length + 1)];
    match searched.iter().position(|byte| *byte == b'\n') {
        Some(length) => Ok(Some(length)),
        None if buffer.len() > max_length || is_full => Err(TooLong),
        None => Ok(None),
    }
}

/// Encodes a message as a line, with its line end.
pub fn encode_line(message: &impl Serialize) -> Vec<u8> {
    // Serialization cannot fail: the messages have string keys, and writing to memory has no errors.
    let mut bytes = serde_json::to_vec(message).unwrap_or_default();
    bytes.push(b'\n');
    bytes
}
