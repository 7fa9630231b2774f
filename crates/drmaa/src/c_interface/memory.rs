//! The memory of the caller: reading C strings and handles, writing results and error messages.

use crate::errno::{Errno, Failure, Result};
use std::ffi::{c_char, c_int, CStr};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Runs the body of an exported function and returns its error code. The message of a failure is written to the
/// caller's buffer; a panic becomes an internal error.
///
/// # Safety
/// `diagnosis` is null, or `diagnosis_len` bytes may be written there.
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
    // SAFETY: as the caller promises.
    unsafe { copy_text(&failure.message, diagnosis, diagnosis_len) };
    failure.errno as c_int
}

/// Writes as much of a text as the buffer holds, and a terminating zero byte. Returns whether the whole text fitted.
///
/// # Safety
/// `to` is null, or `len` bytes may be written there.
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

/// Writes a text that is of no use when truncated.
///
/// # Errors
/// `InvalidArgument` where the buffer is too small.
///
/// # Safety
/// As for [`copy_text`].
pub(super) unsafe fn copy_whole_text(text: &str, to: *mut c_char, len: usize) -> Result<()> {
    // SAFETY: as the caller promises.
    if unsafe { copy_text(text, to, len) } {
        Ok(())
    } else {
        Err(Failure::new(
            Errno::InvalidArgument,
            "the buffer is too small",
        ))
    }
}

/// Reads a C string of the caller.
///
/// # Errors
/// `InvalidArgument` for a null pointer, or text that is not UTF-8.
///
/// # Safety
/// `text` is null, or a C string that stays as it is during the call.
pub(super) unsafe fn read_text<'a>(text: *const c_char, what: &str) -> Result<&'a str> {
    if text.is_null() {
        return Err(Failure::new(
            Errno::InvalidArgument,
            format!("{what} is null"),
        ));
    }
    // SAFETY: not null, and as the caller promises.
    let read = unsafe { CStr::from_ptr(text) }.to_str();
    read.map_err(|_| Failure::new(Errno::InvalidArgument, format!("{what} is no UTF-8")))
}

/// Reads a list of C strings that a null pointer ends.
///
/// # Errors
/// `InvalidArgument` for a null pointer, or text that is not UTF-8.
///
/// # Safety
/// `list` is null, or points to C strings and a null pointer after them.
pub(super) unsafe fn read_texts(list: *const *const c_char, what: &str) -> Result<Vec<String>> {
    let mut read = Vec::new();
    if list.is_null() {
        return Err(Failure::new(
            Errno::InvalidArgument,
            format!("{what} is null"),
        ));
    }
    loop {
        // SAFETY: no element after the null pointer is looked at.
        let item = unsafe { *list.add(read.len()) };
        if item.is_null() {
            return Ok(read);
        }
        // SAFETY: an element of the list, which the caller promises to be a C string.
        read.push(unsafe { read_text(item, what) }?.to_owned());
    }
}

/// Writes a value to an output parameter.
///
/// # Errors
/// `InvalidArgument` for a null pointer.
///
/// # Safety
/// `to` is null, or may be written to.
pub(super) unsafe fn write_output<T>(to: *mut T, value: T, what: &str) -> Result<()> {
    if to.is_null() {
        return Err(Failure::new(
            Errno::InvalidArgument,
            format!("{what} is null"),
        ));
    }
    // SAFETY: not null, and as the caller promises.
    unsafe { to.write(value) };
    Ok(())
}

/// Dereferences a handle that this library returned.
///
/// # Errors
/// `InvalidArgument` for a null pointer.
///
/// # Safety
/// `handle` is null, or was returned as this type and not released.
pub(super) unsafe fn handle_reference<'a, T>(handle: *const T, what: &str) -> Result<&'a T> {
    // SAFETY: as the caller promises; handles are only ever shared, what changes in them is behind locks.
    let found = unsafe { handle.as_ref() };
    found.ok_or_else(|| Failure::new(Errno::InvalidArgument, format!("{what} is null")))
}
