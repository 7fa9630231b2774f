//! Detects what the database's own checks cannot: a valid value that is stored under another key.

use super::{seal, unseal};

#[test]
fn a_value_counts_under_its_own_name_only() {
    let bytes = seal(b"hard", b"vote");
    assert_eq!(unseal(b"hard", &bytes).expect("its own"), b"vote");
    assert!(unseal(b"snapshot", &bytes).is_err());
    for index in 0..bytes.len() {
        let mut flipped = bytes.clone();
        flipped[index] ^= 1;
        assert!(unseal(b"hard", &flipped).is_err(), "byte {index}");
    }
    assert!(unseal(b"hard", &bytes[..3]).is_err());
}
