//! The string vectors that the library returns: attribute names, attribute values and job ids.

use super::memory::{copy_whole_text, handle_reference, report_result, write_output};
use crate::errno::Errno;
use std::ffi::{c_char, c_int, CString};
use std::sync::atomic::{AtomicUsize, Ordering};

/// A string vector with a cursor: `drmaa_attr_names_t`, `drmaa_attr_values_t` or `drmaa_job_ids_t`.
pub struct StringVector {
    items: Vec<CString>,
    next: AtomicUsize,
}

impl StringVector {
    /// Allocates a string vector, which the caller of the library must release.
    pub(super) fn into_handle(items: impl IntoIterator<Item = String>) -> *mut StringVector {
        // Texts from the node may contain a zero byte, which a C string cannot; they are truncated there.
        let text = |item: String| {
            let item = item.split('\0').next().unwrap_or_default().to_owned();
            CString::new(item).unwrap_or_default()
        };
        Box::into_raw(Box::new(StringVector {
            items: items.into_iter().map(text).collect(),
            next: AtomicUsize::new(0),
        }))
    }
}

/// Returns the next string and advances the cursor.
///
/// # Safety
/// `values` is null or a handle; `value` is null or writable for `len` bytes.
unsafe fn next_string(values: *mut StringVector, value: *mut c_char, len: usize) -> c_int {
    let body = || {
        // SAFETY: guaranteed by the caller.
        let strings = unsafe { handle_reference(values, "values") }?;
        let index = strings.next.fetch_add(1, Ordering::Relaxed);
        let Some(item) = strings.items.get(index) else {
            // Reset the cursor to the end, so that it cannot overflow in repeated calls.
            strings.next.store(strings.items.len(), Ordering::Relaxed);
            return Err(Errno::NoMoreElements.into());
        };
        // SAFETY: guaranteed by the caller.
        unsafe { copy_whole_text(&item.to_string_lossy(), value, len) }
    };
    // SAFETY: the diagnosis buffer is null.
    unsafe { report_result(std::ptr::null_mut(), 0, body) }
}

/// Returns the number of strings.
///
/// # Safety
/// `values` is null or a handle; `size` is null or writable.
unsafe fn count_strings(values: *mut StringVector, size: *mut usize) -> c_int {
    // SAFETY: guaranteed by the caller.
    let body = || unsafe {
        write_output(
            size,
            handle_reference(values, "values")?.items.len(),
            "size",
        )
    };
    // SAFETY: the diagnosis buffer is null.
    unsafe { report_result(std::ptr::null_mut(), 0, body) }
}

/// Releases a string vector.
///
/// # Safety
/// `values` is null, or a handle that is not used any more.
unsafe fn release_strings(values: *mut StringVector) {
    if !values.is_null() {
        // SAFETY: allocated by `Box`; the caller guarantees that it is not used any more.
        drop(unsafe { Box::from_raw(values) });
    }
}

macro_rules! string_vector_functions {
    ($($next:ident, $count:ident, $release:ident;)*) => {$(
        /// Returns the next string, or `DRMAA_ERRNO_NO_MORE_ELEMENTS` (GFD.133).
        ///
        /// # Safety
        /// `values` is a handle; `value` is null or writable for `len` bytes.
        #[no_mangle]
        pub unsafe extern "C" fn $next(values: *mut StringVector, value: *mut c_char, len: usize) -> c_int {
            // SAFETY: guaranteed by the caller.
            unsafe { next_string(values, value, len) }
        }

        /// Returns the number of strings (GFD.133).
        ///
        /// # Safety
        /// `values` is a handle; `size` is null or writable.
        #[no_mangle]
        pub unsafe extern "C" fn $count(values: *mut StringVector, size: *mut usize) -> c_int {
            // SAFETY: guaranteed by the caller.
            unsafe { count_strings(values, size) }
        }

        /// Releases a string vector (GFD.133).
        ///
        /// # Safety
        /// `values` is null, or a handle that is not used any more.
        #[no_mangle]
        pub unsafe extern "C" fn $release(values: *mut StringVector) {
            // SAFETY: guaranteed by the caller.
            unsafe { release_strings(values) }
        }
    )*};
}

string_vector_functions! {
    drmaa_get_next_attr_name, drmaa_get_num_attr_names, drmaa_release_attr_names;
    drmaa_get_next_attr_value, drmaa_get_num_attr_values, drmaa_release_attr_values;
    drmaa_get_next_job_id, drmaa_get_num_job_ids, drmaa_release_job_ids;
}
