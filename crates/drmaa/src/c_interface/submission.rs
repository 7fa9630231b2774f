//! Functions that submit jobs.

use super::memory::{copy_whole_text, handle_reference, report_result, write_output};
use super::session::active_session;
use super::string_vectors::StringVector;
use super::templates::JobTemplate;
use crate::errno::{Errno, Failure};
use marbledeck_submission_client::IndexRange;
use std::ffi::{c_char, c_int};
use std::sync::PoisonError;

/// Submits a job (GFD.133, `drmaa_run_job`).
///
/// # Safety
/// `template` is a handle; each buffer is null or writable for its length.
#[no_mangle]
pub unsafe extern "C" fn drmaa_run_job(
    job_id: *mut c_char,
    job_id_len: usize,
    template: *const JobTemplate,
    diagnosis: *mut c_char,
    diagnosis_len: usize,
) -> c_int {
    let body = || {
        let session = active_session()?;
        // SAFETY: guaranteed by the caller.
        let template = unsafe { handle_reference(template, "jt") }?;
        if job_id.is_null() {
            return Err(Failure::new(Errno::InvalidArgument, "job_id is null"));
        }
        let template = template
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let id = session.run_job(&template)?;
        // SAFETY: guaranteed by the caller.
        unsafe { copy_whole_text(&id, job_id, job_id_len) }
    };
    // SAFETY: guaranteed by the caller.
    unsafe { report_result(diagnosis, diagnosis_len, body) }
}

/// Submits a bulk job, one job for each index (GFD.133, `drmaa_run_bulk_jobs`).
///
/// # Safety
/// `template` is a handle; `job_ids` is null or writable; `diagnosis` is null or writable for `diagnosis_len` bytes.
#[no_mangle]
pub unsafe extern "C" fn drmaa_run_bulk_jobs(
    job_ids: *mut *mut StringVector,
    template: *const JobTemplate,
    start: c_int,
    end: c_int,
    step: c_int,
    diagnosis: *mut c_char,
    diagnosis_len: usize,
) -> c_int {
    let body = || {
        let session = active_session()?;
        // SAFETY: guaranteed by the caller.
        let template = unsafe { handle_reference(template, "jt") }?;
        if job_ids.is_null() {
            return Err(Failure::new(Errno::InvalidArgument, "jobids is null"));
        }
        let template = template
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let indices = IndexRange::new(start.into(), end.into(), step.into());
        let ids = session.run_bulk_jobs(&template, indices)?;
        // SAFETY: guaranteed by the caller.
        unsafe { write_output(job_ids, StringVector::into_handle(ids), "jobids") }
    };
    // SAFETY: guaranteed by the caller.
    unsafe { report_result(diagnosis, diagnosis_len, body) }
}
