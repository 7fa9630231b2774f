//! Functions that return information about the library: error texts, contact string, version and names.

use super::memory::{copy_whole_text, report_result, write_output};
use super::session::{active_session, default_contact};
use crate::errno::Errno;
use std::ffi::{c_char, c_int, c_uint};

/// Result of `drmaa_get_DRMAA_implementation`.
const IMPLEMENTATION: &str = concat!("marbledeck libdrmaa ", env!("CARGO_PKG_VERSION"));

/// Returns the text of an error code (GFD.133, `drmaa_strerror`). The text is static.
#[no_mangle]
pub extern "C" fn drmaa_strerror(code: c_int) -> *const c_char {
    let message = Errno::from_code(code).map_or(c"There is no such error code.", Errno::message);
    message.as_ptr()
}

/// Writes an information text to the caller's buffer.
///
/// # Safety
/// Each buffer is null or writable for its length.
unsafe fn write_information(
    value: impl FnOnce() -> String,
    to: *mut c_char,
    to_len: usize,
    diagnosis: *mut c_char,
    diagnosis_len: usize,
) -> c_int {
    // SAFETY: guaranteed by the caller.
    let body = || unsafe { copy_whole_text(&value(), to, to_len) };
    // SAFETY: guaranteed by the caller.
    unsafe { report_result(diagnosis, diagnosis_len, body) }
}

/// Returns the contact string of the session, or the default one without a session (GFD.133, `drmaa_get_contact`).
///
/// # Safety
/// As for [`write_information`].
#[no_mangle]
pub unsafe extern "C" fn drmaa_get_contact(
    contact: *mut c_char,
    contact_len: usize,
    diagnosis: *mut c_char,
    diagnosis_len: usize,
) -> c_int {
    let value = || match active_session() {
        Ok(session) => session.contact().to_owned(),
        Err(_) => default_contact().unwrap_or_default(),
    };
    // SAFETY: guaranteed by the caller.
    unsafe { write_information(value, contact, contact_len, diagnosis, diagnosis_len) }
}

/// Returns the version of the DRMAA specification (GFD.133, `drmaa_version`).
///
/// # Safety
/// `major` and `minor` are null or writable; `diagnosis` is null or writable for `diagnosis_len` bytes.
#[no_mangle]
pub unsafe extern "C" fn drmaa_version(
    major: *mut c_uint,
    minor: *mut c_uint,
    diagnosis: *mut c_char,
    diagnosis_len: usize,
) -> c_int {
    // SAFETY: guaranteed by the caller.
    let body = || unsafe {
        write_output(major, 1, "major").and_then(|()| write_output(minor, 0, "minor"))
    };
    // SAFETY: guaranteed by the caller.
    unsafe { report_result(diagnosis, diagnosis_len, body) }
}

/// Returns the name of the DRM system (GFD.133, `drmaa_get_DRM_system`).
///
/// # Safety
/// As for [`write_information`].
#[no_mangle]
pub unsafe extern "C" fn drmaa_get_DRM_system(
    system: *mut c_char,
    system_len: usize,
    diagnosis: *mut c_char,
    diagnosis_len: usize,
) -> c_int {
    // SAFETY: guaranteed by the caller.
    unsafe {
        write_information(
            || "marbledeck".to_owned(),
            system,
            system_len,
            diagnosis,
            diagnosis_len,
        )
    }
}

/// Returns the name and version of this library (GFD.133, `drmaa_get_DRMAA_implementation`).
///
/// # Safety
/// As for [`write_information`].
#[no_mangle]
pub unsafe extern "C" fn drmaa_get_DRMAA_implementation(
    name: *mut c_char,
    name_len: usize,
    diagnosis: *mut c_char,
    diagnosis_len: usize,
) -> c_int {
    // SAFETY: guaranteed by the caller.
    unsafe {
        write_information(
            || IMPLEMENTATION.to_owned(),
            name,
            name_len,
            diagnosis,
            diagnosis_len,
        )
    }
}
