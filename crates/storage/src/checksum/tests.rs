//! The checksum detects what the database's own checks cannot: a valid value that is stored under another key.

use super::{append_checksum, verify_checksum};

#[test]
fn a_checksum_matches_only_its_own_key_and_value() {
    let stored = append_checksum(b"hard", b"vote");
    assert_eq!(
        verify_checksum(b"hard", &stored).expect("its own key"),
        b"vote"
    );
    assert!(verify_checksum(b"snapshot", &stored).is_err());
    for index in 0..stored.len() {
        let mut flipped = stored.clone();
        flipped[index] ^= 1;
        assert!(
            verify_checksum(b"hard", &flipped).is_err(),
            "flipped byte {index}"
        );
    }
    assert!(verify_checksum(b"hard", &stored[..3]).is_err());
}
