//! Lists of strings that the library returns: attribute names, attribute values and job ids.

use super::memory::{copy_whole_text, handle_reference, report_result, write_output};
use crate::errno::Errno;
use std::ffi::{c_char, c_int, CString};
use std::sync::atomic::{AtomicUsize, Ordering};

/// `drmaa_attr_names_t`, `drmaa_attr_values_t` and `drmaa_job_ids_t`: a list with a cursor.
pub struct StringVector {
    items: Vec<CString>,
    next: AtomicUsize,
}

impl StringVector {
    /// Allocates a list; the caller of the library releases it.
    pub(super) fn into_handle(items: impl IntoIterator<Item = String>) -> *mut StringVector {
        // What came in as a C string has no zero byte; of anything else, the part before it counts.
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

/// The next element of a list.
///
/// # Safety
/// `values` is null or a handle; `value` is null, or `len` bytes may be written there.
unsafe fn next_string(values: *mut StringVector, value: *mut c_char, len: usize) -> c_int {
    let body = || {
        // SAFETY: as the caller promises.
        let strings = unsafe { handle_reference(values, "values") }?;
        let index = strings.next.fetch_add(1, Ordering::Relaxed);
        let Some(item) = strings.items.get(index) else {
            // The cursor stays at the end, however many more calls there are.
            strings.next.store(strings.items.len(), Ordering::Relaxed);
            return Err(Errno::NoMoreElements.into());
        };
        // SAFETY: as the caller promises.
        unsafe { copy_whole_text(&item.to_string_lossy(), value, len) }
    };
    // SAFETY: there is no buffer.
    unsafe { report_result(std::ptr::null_mut(), 0, body) }
}

/// How many elements a list has.
///
/// # Safety
/// `values` is null or a handle; `size` is null, or may be written to.
unsafe fn count_strings(values: *mut StringVector, size: *mut usize) -> c_int {
    // SAFETY: as the caller promises.
    let body = || unsafe {
        write_output(
            size,
            handle_reference(values, "values")?.items.len(),
            "size",
        )
    };
    // SAFETY: there is no buffer.
    unsafe { report_result(std::ptr::null_mut(), 0, body) }
}

/// Releases a list.
///
/// # Safety
/// `values` is null, or a handle that is not used any more.
unsafe fn release_strings(values: *mut StringVector) {
    if !values.is_null() {
        // SAFETY: made by a box, and as the caller promises not used any more.
        drop(unsafe { Box::from_raw(values) });
    }
}

macro_rules! lists {
    ($($next:ident, $count:ident, $release:ident;)*) => {$(
        /// The next element of a list, or `DRMAA_ERRNO_NO_MORE_ELEMENTS` (GFD.133).
        ///
        /// # Safety
        /// `values` is a handle; `value` is null, or `len` bytes may be written there.
        #[no_mangle]
        pub unsafe extern "C" fn $next(values: *mut StringVector, value: *mut c_char, len: usize) -> c_int {
            // SAFETY: as the caller promises.
            unsafe { next_string(values, value, len) }
        }

        /// How many elements a list has (GFD.133).
        ///
        /// # Safety
        /// `values` is a handle; `size` may be written to.
        #[no_mangle]
        pub unsafe extern "C" fn $count(values: *mut StringVector, size: *mut usize) -> c_int {
            // SAFETY: as the caller promises.
            unsafe { count_strings(values, size) }
        }

        /// Releases a list (GFD.133).
        ///
        /// # Safety
        /// `values` is null, or a handle that is not used any more.
        #[no_mangle]
        pub unsafe extern "C" fn $release(values: *mut StringVector) {
            // SAFETY: as the caller promises.
            unsafe { release_strings(values) }
        }
    )*};
}

lists! {
    drmaa_get_next_attr_name, drmaa_get_num_attr_names, drmaa_release_attr_names;
    drmaa_get_next_attr_value, drmaa_get_num_attr_values, drmaa_release_attr_values;
    drmaa_get_next_job_id, drmaa_get_num_job_ids, drmaa_release_job_ids;
}
