//! Finding the end of a line within a bounded buffer.

use marbledeck_submission::frame::{find_line, TooLong};

#[test]
fn a_line_longer_than_the_maximum_is_an_error() {
    assert_eq!(find_line(b"abc\nd", 3, false), Ok(Some(3)));
    assert_eq!(find_line(b"abcd\n", 3, false), Err(TooLong));
    assert_eq!(find_line(b"abc", 3, false), Ok(None));
    assert_eq!(find_line(b"ab", 3, true), Err(TooLong));
    assert_eq!(find_line(b"", 3, false), Ok(None));
}
