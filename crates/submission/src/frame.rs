//! Frames of the protocol: one JSON object a line.

use serde::Serialize;

/// A line longer than is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong;

/// Looks for a whole line at the beginning of what has come: tells its length without the end. `full` says that no more
/// can come before some of it is taken.
///
/// # Errors
/// [`TooLong`] where the line is longer than `longest` bytes, or cannot become whole.
pub fn next(held: &[u8], longest: usize, full: bool) -> Result<Option<usize>, TooLong> {
    // No byte beyond the longest line need be looked at.
    let seen = &held[..held.len().min(longest + 1)];
    match seen.iter().position(|b| *b == b'\n') {
        Some(end) => Ok(Some(end)),
        None if held.len() > longest || full => Err(TooLong),
        None => Ok(None),
    }
}

/// A message as a line with its end.
pub fn line(message: &impl Serialize) -> Vec<u8> {
    // The messages are made of strings, numbers and lists: writing them to memory cannot fail.
    let mut bytes = serde_json::to_vec(message).unwrap_or_default();
    bytes.push(b'\n');
    bytes
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_longest_line() {
        assert_eq!(next(b"abc\nd", 3, false), Ok(Some(3)));
        assert_eq!(next(b"abcd\n", 3, false), Err(TooLong));
        assert_eq!(next(b"abc", 3, false), Ok(None));
        assert_eq!(next(b"ab", 3, true), Err(TooLong));
        assert_eq!(next(b"", 3, false), Ok(None));
    }
}
