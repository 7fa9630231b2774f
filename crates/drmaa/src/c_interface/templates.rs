//! Functions for job templates and their attributes.

use super::memory::{
    copy_whole_text, handle_reference, read_text, read_texts, report_result, write_output,
};
use super::session::active_session;
use super::string_vectors::StringVector;
use crate::errno::{Errno, Failure};
use crate::template::{Template, SCALAR_ATTRIBUTES, VECTOR_ATTRIBUTES};
use std::ffi::{c_char, c_int};
use std::sync::{Mutex, PoisonError};

/// The type behind `drmaa_job_template_t`.
pub struct JobTemplate(pub(super) Mutex<Template>);

/// Allocates a job template (GFD.133, `drmaa_allocate_job_template`).
///
/// # Safety
/// `template` is null or writable; `diagnosis` is null or writable for `diagnosis_len` bytes.
#[no_mangle]
pub unsafe extern "C" fn drmaa_allocate_job_template(
    template: *mut *mut JobTemplate,
    diagnosis: *mut c_char,
    diagnosis_len: usize,
) -> c_int {
    let body = || {
        active_session()?;
        if template.is_null() {
            return Err(Failure::new(Errno::InvalidArgument, "jt is null"));
        }
        let handle = Box::into_raw(Box::new(JobTemplate(Mutex::default())));
        // SAFETY: guaranteed by the caller.
        unsafe { write_output(template, handle, "jt") }
    };
    // SAFETY: guaranteed by the caller.
    unsafe { report_result(diagnosis, diagnosis_len, body) }
}

/// Releases a job template (GFD.133, `drmaa_delete_job_template`).
///
/// # Safety
/// `template` was returned by [`drmaa_allocate_job_template`] and is not used any more; `diagnosis` is null or writable
/// for `diagnosis_len` bytes.
#[no_mangle]
pub unsafe extern "C" fn drmaa_delete_job_template(
    template: *mut JobTemplate,
    diagnosis: *mut c_char,
    diagnosis_len: usize,
) -> c_int {
    let body = || {
        if template.is_null() {
            return Err(Failure::new(Errno::InvalidArgument, "jt is null"));
        }
        // SAFETY: allocated by `Box`; the caller guarantees that it is not used any more.
        drop(unsafe { Box::from_raw(template) });
        Ok(())
    };
    // SAFETY: guaranteed by the caller.
    unsafe { report_result(diagnosis, diagnosis_len, body) }
}

/// Sets a scalar attribute (GFD.133, `drmaa_set_attribute`).
///
/// # Safety
/// `template` is a handle; `name` and `value` are null or C strings; `diagnosis` is null, or `diagnosis_len` bytes may
/// be written there.
#[no_mangle]
pub unsafe extern "C" fn drmaa_set_attribute(
    template: *mut JobTemplate,
    name: *const c_char,
    value: *const c_char,
    diagnosis: *mut c_char,
    diagnosis_len: usize,
) -> c_int {
    let body = || {
        // SAFETY: guaranteed by the caller.
        let (template, name, value) = unsafe {
            (
                handle_reference(template, "jt")?,
                read_text(name, "name")?,
                read_text(value, "value")?,
            )
        };
        template
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .set(name, value)
    };
    // SAFETY: guaranteed by the caller.
    unsafe { report_result(diagnosis, diagnosis_len, body) }
}

/// Returns a scalar attribute (GFD.133, `drmaa_get_attribute`).
///
/// # Safety
/// `template` is a handle; `name` is null or a C string; each buffer is null or writable for its length.
#[no_mangle]
pub unsafe extern "C" fn drmaa_get_attribute(
    template: *mut JobTemplate,
    name: *const c_char,
    value: *mut c_char,
    value_len: usize,
    diagnosis: *mut c_char,
    diagnosis_len: usize,
) -> c_int {
    let body = || {
        // SAFETY: guaranteed by the caller.
        let (template, name) =
            unsafe { (handle_reference(template, "jt")?, read_text(name, "name")?) };
        let template = template.0.lock().unwrap_or_else(PoisonError::into_inner);
        // SAFETY: guaranteed by the caller.
        unsafe { copy_whole_text(template.get(name)?, value, value_len) }
    };
    // SAFETY: guaranteed by the caller.
    unsafe { report_result(diagnosis, diagnosis_len, body) }
}

/// Sets a vector attribute (GFD.133, `drmaa_set_vector_attribute`).
///
/// # Safety
/// `template` is a handle; `name` is null or a C string; `values` is null or a null-terminated array of
/// C strings; `diagnosis` is null or writable for `diagnosis_len` bytes.
#[no_mangle]
pub unsafe extern "C" fn drmaa_set_vector_attribute(
    template: *mut JobTemplate,
    name: *const c_char,
    values: *const *const c_char,
    diagnosis: *mut c_char,
    diagnosis_len: usize,
) -> c_int {
    let body = || {
        // SAFETY: guaranteed by the caller.
        let (template, name, values) = unsafe {
            (
                handle_reference(template, "jt")?,
                read_text(name, "name")?,
                read_texts(values, "value")?,
            )
        };
        let mut template = template.0.lock().unwrap_or_else(PoisonError::into_inner);
        template.set_vector(name, values)
    };
    // SAFETY: guaranteed by the caller.
    unsafe { report_result(diagnosis, diagnosis_len, body) }
}

/// Returns a vector attribute (GFD.133, `drmaa_get_vector_attribute`).
///
/// # Safety
/// `template` is a handle; `name` is null or a C string; `values` is null or writable; `diagnosis` is null or writable
/// for `diagnosis_len` bytes.
#[no_mangle]
pub unsafe extern "C" fn drmaa_get_vector_attribute(
    template: *mut JobTemplate,
    name: *const c_char,
    values: *mut *mut StringVector,
    diagnosis: *mut c_char,
    diagnosis_len: usize,
) -> c_int {
    let body = || {
        // SAFETY: guaranteed by the caller.
        let (template, name) =
            unsafe { (handle_reference(template, "jt")?, read_text(name, "name")?) };
        let template = template.0.lock().unwrap_or_else(PoisonError::into_inner);
        let items = template.get_vector(name)?.to_vec();
        // SAFETY: guaranteed by the caller.
        unsafe { write_output(values, StringVector::into_handle(items), "values") }
    };
    // SAFETY: guaranteed by the caller.
    unsafe { report_result(diagnosis, diagnosis_len, body) }
}

/// Returns attribute names as a string vector.
///
/// # Safety
/// `values` is null or writable; `diagnosis` is null or writable for `diagnosis_len` bytes.
unsafe fn write_attribute_names(
    names: &[&str],
    values: *mut *mut StringVector,
    diagnosis: *mut c_char,
    diagnosis_len: usize,
) -> c_int {
    let body = || {
        let items = names.iter().map(|name| (*name).to_owned());
        // SAFETY: guaranteed by the caller.
        unsafe { write_output(values, StringVector::into_handle(items), "values") }
    };
    // SAFETY: guaranteed by the caller.
    unsafe { report_result(diagnosis, diagnosis_len, body) }
}

/// Returns the names of the scalar attributes (GFD.133, `drmaa_get_attribute_names`).
///
/// # Safety
/// As for [`write_attribute_names`].
#[no_mangle]
pub unsafe extern "C" fn drmaa_get_attribute_names(
    values: *mut *mut StringVector,
    diagnosis: *mut c_char,
    diagnosis_len: usize,
) -> c_int {
    // SAFETY: guaranteed by the caller.
    unsafe { write_attribute_names(&SCALAR_ATTRIBUTES, values, diagnosis, diagnosis_len) }
}

/// Returns the names of the vector attributes (GFD.133, `drmaa_get_vector_attribute_names`).
///
/// # Safety
/// As for [`write_attribute_names`].
#[no_mangle]
pub unsafe extern "C" fn drmaa_get_vector_attribute_names(
    values: *mut *mut StringVector,
    diagnosis: *mut c_char,
    diagnosis_len: usize,
) -> c_int {
    // SAFETY: guaranteed by the caller.
    unsafe { write_attribute_names(&VECTOR_ATTRIBUTES, values, diagnosis, diagnosis_len) }
}
