//! Access to the caller's memory: reads C strings and handles, writes results and error messages.

use crate::errno::{Errno, Failure, Result};
use std::ffi::{c_char, c_int, CStr};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Runs the body of an exported function and returns its error code. The message of a failure is written to the
/// caller's diagnosis buffer; a panic is reported as an internal error.
///
/// # Safety
/// `diagnosis` is null or writable for `diagnosis_len` bytes.
pub(super) unsafe fn report_result(
    diagnosis: *mut c_char,
    diagnosis_len: usize,
    body: impl FnOnce() -> Result<()>,
) -> c_int {
    let result = catch_unwind(AssertUnwindSafe(body));
    let failure = match result {
        Ok(Ok(())) => return Errno::Success as c_int,
        Ok(Err(failure)) => failure,
        Err(_) => Errno::Internal.into(),
    };
    // SAFETY: guaranteed by the caller.
    unsafe { copy_text(&failure.message, diagnosis, diagnosis_len) };
    failure.errno as c_int
}

/// Copies a text and a terminating zero byte to a buffer, truncating the text if necessary. Returns whether the whole
/// text was copied.
///
/// # Safety
/// `to` is null or writable for `len` bytes.
pub(super) unsafe fn copy_text(text: &str, to: *mut c_char, len: usize) -> bool {
    if to.is_null() || len == 0 {
        return false;
    }
    let mut copied_len = text.len().min(len - 1);
    while !text.is_char_boundary(copied_len) {
        copied_len -= 1;
    }
    // SAFETY: `copied_len + 1` is no more than `len`, and a Rust string does not overlap the caller's buffer.
    unsafe {
        std::ptr::copy_nonoverlapping(text.as_ptr().cast(), to, copied_len);
        *to.add(copied_len) = 0;
    }
    copied_len == text.len()
}

/// Copies a text that must not be truncated.
///
/// # Errors
/// `InvalidArgument` if the buffer is null or too small.
///
/// # Safety
/// As for [`copy_text`].
pub(super) unsafe fn copy_whole_text(text: &str, to: *mut c_char, len: usize) -> Result<()> {
    // SAFETY: guaranteed by the caller.
    if unsafe { copy_text(text, to, len) } {
        Ok(())
    } else {
        Err(Failure::new(
            Errno::InvalidArgument,
            "the output buffer is null or too small",
        ))
    }
}

/// Reads a C string of the caller.
///
/// # Errors
/// `InvalidArgument` if the pointer is null or the string is not valid UTF-8.
///
/// # Safety
/// `text` is null or a C string that does not change during the call.
pub(super) unsafe fn read_text<'a>(text: *const c_char, parameter: &str) -> Result<&'a str> {
    if text.is_null() {
        return Err(Failure::new(
            Errno::InvalidArgument,
            format!("{parameter} is null"),
        ));
    }
    // SAFETY: not null, and guaranteed by the caller.
    let text = unsafe { CStr::from_ptr(text) }.to_str();
    text.map_err(|_| {
        Failure::new(
            Errno::InvalidArgument,
            format!("{parameter} is not valid UTF-8"),
        )
    })
}

/// Reads a null-terminated array of C strings.
///
/// # Errors
/// `InvalidArgument` if the pointer is null or a string is not valid UTF-8.
///
/// # Safety
/// `list` is null or a null-terminated array of C strings.
pub(super) unsafe fn read_texts(
    list: *const *const c_char,
    parameter: &str,
) -> Result<Vec<String>> {
    let mut texts = Vec::new();
    if list.is_null() {
        return Err(Failure::new(
            Errno::InvalidArgument,
            format!("{parameter} is null"),
        ));
    }
    loop {
        // SAFETY: within the array, since the loop ends at the terminating null pointer.
        let item = unsafe { *list.add(texts.len()) };
        if item.is_null() {
            return Ok(texts);
        }
        // SAFETY: an element of the array, which the caller guarantees to be a C string.
        texts.push(unsafe { read_text(item, parameter) }?.to_owned());
    }
}

/// Writes a value to an output parameter.
///
/// # Errors
/// `InvalidArgument` if the pointer is null.
///
/// # Safety
/// `to` is null or writable.
pub(super) unsafe fn write_output<T>(to: *mut T, value: T, parameter: &str) -> Result<()> {
    if to.is_null() {
        return Err(Failure::new(
            Errno::InvalidArgument,
            format!("{parameter} is null"),
        ));
    }
    // SAFETY: not null, and guaranteed by the caller.
    unsafe { to.write(value) };
    Ok(())
}

/// Dereferences a handle that this library returned.
///
/// # Errors
/// `InvalidArgument` if the pointer is null.
///
/// # Safety
/// `handle` is null, or was returned as this type and has not been released.
pub(super) unsafe fn handle_reference<'a, T>(handle: *const T, parameter: &str) -> Result<&'a T> {
    // SAFETY: guaranteed by the caller. Only shared references are created; mutable state in handles is synchronized.
    let reference = unsafe { handle.as_ref() };
    reference.ok_or_else(|| Failure::new(Errno::InvalidArgument, format!("{parameter} is null")))
}
