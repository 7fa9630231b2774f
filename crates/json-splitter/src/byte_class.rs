//! Classifies bytes outside of strings.

/// The class of a byte outside of strings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ByteClass {
    /// Irrelevant for the nesting. The parser of the element checks whether it is valid JSON.
    Plain,
    /// Begins or ends a string.
    Quote,
    OpenBrace,
    OpenBracket,
    CloseBrace,
    CloseBracket,
}

/// The class of each byte.
pub(crate) const CLASSES: [ByteClass; 256] = classes();

const fn classes() -> [ByteClass; 256] {
    let mut classes = [ByteClass::Plain; 256];
    let mut byte = 0;
    while byte < classes.len() {
        classes[byte] = class(byte as u8);
        byte += 1;
    }
    classes
}

const fn class(byte: u8) -> ByteClass {
    match byte {
        b'"' => ByteClass::Quote,
        b'{' => ByteClass::OpenBrace,
        b'[' => ByteClass::OpenBracket,
        b'}' => ByteClass::CloseBrace,
        b']' => ByteClass::CloseBracket,
        _ => ByteClass::Plain,
    }
}

/// Whether a byte may be part of a number, `true`, `false` or `null`.
pub(crate) const fn is_in_literal(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'+' | b'-' | b'.')
}
