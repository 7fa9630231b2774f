//! Functions that wait for the end of jobs.

use super::memory::{copy_text, read_text, read_texts, report_result};
use super::session::active_session;
use super::string_vectors::StringVector;
use super::wait_status::{resource_usage, wait_status};
use crate::errno::{Errno, Failure, Result};
use crate::session::Timeout;
use std::ffi::{c_char, c_int, c_long};
use std::time::Duration;

/// `DRMAA_TIMEOUT_WAIT_FOREVER`.
const TIMEOUT_WAIT_FOREVER: c_long = -1;

/// Maximum finite timeout in seconds, to which longer ones are reduced so that the deadline cannot overflow.
const MAX_TIMEOUT_SECONDS: u64 = 1 << 31;

/// Converts a timeout of the C binding.
///
/// # Errors
/// `InvalidArgument` for a negative number other than `DRMAA_TIMEOUT_WAIT_FOREVER`.
fn parse_timeout(seconds: c_long) -> Result<Timeout> {
    if seconds == TIMEOUT_WAIT_FOREVER {
        return Ok(None);
    }
    let seconds = u64::try_from(seconds).map_err(|_| {
        Failure::new(
            Errno::InvalidArgument,
            "timeout is negative and not DRMAA_TIMEOUT_WAIT_FOREVER",
        )
    })?;
    Ok(Some(Duration::from_secs(seconds.min(MAX_TIMEOUT_SECONDS))))
}

/// Waits until all of these jobs have ended, and reaps them if `dispose` is not 0 (GFD.133, `drmaa_synchronize`).
///
/// # Safety
/// `job_ids` is null or a null-terminated array of C strings; `diagnosis` is null or writable for `diagnosis_len`
/// bytes.
#[no_mangle]
pub unsafe extern "C" fn drmaa_synchronize(
    job_ids: *const *const c_char,
    seconds: c_long,
    dispose: c_int,
    diagnosis: *mut c_char,
    diagnosis_len: usize,
) -> c_int {
    let body = || {
        let session = active_session()?;
        // SAFETY: guaranteed by the caller.
        let ids = unsafe { read_texts(job_ids, "job_ids") }?;
        session.synchronize(&ids, parse_timeout(seconds)?, dispose != 0)
    };
    // SAFETY: guaranteed by the caller.
    unsafe { report_result(diagnosis, diagnosis_len, body) }
}

/// Waits for the end of a job, or of any job of the session, and reaps it (GFD.133, `drmaa_wait`).
///
/// # Safety
/// `job_id` is null or a C string; each output parameter is null or writable for its length.
#[no_mangle]
pub unsafe extern "C" fn drmaa_wait(
    job_id: *const c_char,
    job_id_out: *mut c_char,
    job_id_out_len: usize,
    stat: *mut c_int,
    seconds: c_long,
    rusage: *mut *mut StringVector,
    diagnosis: *mut c_char,
    diagnosis_len: usize,
) -> c_int {
    let body = || {
        let session = active_session()?;
        // SAFETY: guaranteed by the caller.
        let id = unsafe { read_text(job_id, "job_id") }?;
        let info = session.wait(id, parse_timeout(seconds)?)?;
        // Output parameters that are null are skipped; the job is reaped nevertheless.
        // SAFETY: guaranteed by the caller; null pointers are not written to.
        unsafe {
            if !job_id_out.is_null() {
                copy_text(&info.job_id, job_id_out, job_id_out_len);
            }
            if !stat.is_null() {
                stat.write(wait_status(&info));
            }
            if !rusage.is_null() {
                rusage.write(StringVector::into_handle(resource_usage(&info)));
            }
        }
        Ok(())
    };
    // SAFETY: guaranteed by the caller.
    unsafe { report_result(diagnosis, diagnosis_len, body) }
}
