//! Checksums of stored values. A checksum covers the value's key, too: a value under another key is detected.

use crate::error::StoreError;

#[cfg(test)]
mod tests;

fn checksum(key: &[u8], value: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(key);
    hasher.update(value);
    hasher.finalize()
}

/// Returns the value followed by its checksum, as it is stored.
pub(crate) fn append_checksum(key: &[u8], value: &[u8]) -> Vec<u8> {
    let mut stored = value.to_vec();
    stored.extend(checksum(key, value).to_be_bytes());
    stored
}

/// Returns a stored value without its checksum.
///
/// # Errors
/// The checksum does not match.
pub(crate) fn verify_checksum(key: &[u8], stored: &[u8]) -> Result<Vec<u8>, StoreError> {
    match stored.split_last_chunk::<4>() {
        Some((value, expected)) if checksum(key, value) == u32::from_be_bytes(*expected) => {
            Ok(value.to_vec())
        }
        _ => {
            let message = format!("the checksum of '{}' does not match", key.escape_ascii());
            Err(StoreError::Damaged(message))
        }
    }
}
