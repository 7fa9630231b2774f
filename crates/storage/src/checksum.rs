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

/// A value followed by its checksum, as it is stored.
pub(crate) fn seal(key: &[u8], value: &[u8]) -> Vec<u8> {
    let mut sealed = value.to_vec();
    sealed.extend(checksum(key, value).to_be_bytes());
    sealed
}

/// The value of a sealed one.
///
/// # Errors
/// The checksum does not match.
pub(crate) fn unseal(key: &[u8], sealed: &[u8]) -> Result<Vec<u8>, StoreError> {
    match sealed.split_last_chunk::<4>() {
        Some((value, stored)) if checksum(key, value) == u32::from_be_bytes(*stored) => {
            Ok(value.to_vec())
        }
        _ => {
            let message = format!("the checksum of '{}'", key.escape_ascii());
            Err(StoreError::Damaged(message))
        }
    }
}
