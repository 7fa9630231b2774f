//! Functions that control jobs and return their state.

use super::memory::{read_text, report_result, write_output};
use super::session::active_session;
use crate::errno::{Errno, Failure};
use crate::session::Action;
use marbledeck_submission_client::JobState;
use std::ffi::{c_char, c_int};

/// Suspends (0), resumes (1), holds (2), releases (3) or terminates (4) a job, or all jobs of the session (GFD.133,
/// `drmaa_control`).
///
/// # Safety
/// `job_id` is null or a C string; `diagnosis` is null or writable for `diagnosis_len` bytes.
#[no_mangle]
pub unsafe extern "C" fn drmaa_control(
    job_id: *const c_char,
    action: c_int,
    diagnosis: *mut c_char,
    diagnosis_len: usize,
) -> c_int {
    let body = || {
        let session = active_session()?;
        // SAFETY: guaranteed by the caller.
        let id = unsafe { read_text(job_id, "jobid") }?;
        let action = match action {
            0 => Action::Suspend,
            1 => Action::Resume,
            2 => Action::Hold,
            3 => Action::Release,
            4 => Action::Terminate,
            _ => {
                return Err(Failure::new(
                    Errno::InvalidArgument,
                    "unknown action: expected a DRMAA_CONTROL_* constant, 0 to 4",
                ))
            }
        };
        session.control(id, action)
    };
    // SAFETY: guaranteed by the caller.
    unsafe { report_result(diagnosis, diagnosis_len, body) }
}

/// Returns the state of a job (GFD.133, `drmaa_job_ps`).
///
/// # Safety
/// `job_id` is null or a C string; `state` is null or writable; `diagnosis` is null or writable for `diagnosis_len`
/// bytes.
#[no_mangle]
pub unsafe extern "C" fn drmaa_job_ps(
    job_id: *const c_char,
    state: *mut c_int,
    diagnosis: *mut c_char,
    diagnosis_len: usize,
) -> c_int {
    let body = || {
        let session = active_session()?;
        // SAFETY: guaranteed by the caller.
        let id = unsafe { read_text(job_id, "job_id") }?;
        let code = match session.state(id)? {
            JobState::Undetermined => 0x00,
            JobState::Queued | JobState::Requeued => 0x10,
            JobState::QueuedHeld | JobState::RequeuedHeld => 0x12,
            JobState::Running => 0x20,
            JobState::Suspended => 0x22,
            JobState::Done => 0x30,
            JobState::Failed => 0x40,
        };
        // SAFETY: guaranteed by the caller.
        unsafe { write_output(state, code, "remote_ps") }
    };
    // SAFETY: guaranteed by the caller.
    unsafe { report_result(diagnosis, diagnosis_len, body) }
}
