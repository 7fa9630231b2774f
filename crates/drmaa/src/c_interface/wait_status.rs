//! The `stat` value and the resource usage of an ended job, and the functions that interpret `stat`.

use super::memory::{copy_whole_text, report_result, write_output};
use marbledeck_submission_client::{ErrorId, JobInfo, JobState};
use std::ffi::{c_char, c_int};

/// Flag of `stat`, which is opaque to the caller: the job ended by itself, successfully or not.
const EXITED: c_int = 1;
/// Flag of `stat`: the job was terminated after it was started.
const SIGNALED: c_int = 2;
/// Flag of `stat`: the job ended before it was started.
const ABORTED: c_int = 4;
/// Bit position of the exit status in `stat`.
const STATUS_SHIFT: u32 = 8;

/// Computes the `stat` value that `drmaa_wait` returns for an ended job.
pub(super) fn wait_status(info: &JobInfo) -> c_int {
    let sub_state = info.job_sub_state.as_deref().unwrap_or_default();
    match info.job_state {
        JobState::Done => EXITED,
        // The job never ran: it was rejected, expired while held, or was terminated or overdue before its start.
        _ if matches!(sub_state, "refused" | "expired") => ABORTED,
        _ if info.dispatch_time_ms.is_none() && matches!(sub_state, "terminated" | "overdue") => {
            ABORTED
        }
        _ if sub_state == "terminated" => SIGNALED,
        _ => EXITED | 1 << STATUS_SHIFT,
    }
}

/// Returns the resource usage of a job as `name=value` strings; unknown values are omitted.
pub(super) fn resource_usage(info: &JobInfo) -> Vec<String> {
    let seconds = |ms: u64| format!("{}.{:03}", ms / 1000, ms % 1000);
    let mut usage = vec![format!(
        "submission_time={}",
        seconds(info.submission_time_ms)
    )];
    let times = [
        ("start_time", info.dispatch_time_ms),
        ("end_time", info.finish_time_ms),
    ];
    for (name, time_ms) in times {
        usage.extend(time_ms.map(|ms| format!("{name}={}", seconds(ms))));
    }
    if let (Some(start_ms), Some(end_ms)) = (info.dispatch_time_ms, info.finish_time_ms) {
        usage.push(format!(
            "wallclock={}",
            seconds(end_ms.saturating_sub(start_ms))
        ));
    }
    usage.extend(info.machine.as_ref().map(|name| format!("machine={name}")));
    usage.push(format!("queue={}", info.queue_name));
    usage.extend(
        info.job_sub_state
            .as_ref()
            .map(|sub_state| format!("sub_state={sub_state}")),
    );
    if let Some(problem) = &info.problem {
        usage.push(format!("error={}", problem.message));
        if let (ErrorId::TryLater, Some(ms)) = (problem.error, problem.retry_after_ms) {
            usage.push(format!("retry_after={}", seconds(ms)));
        }
    }
    usage
}

macro_rules! status_functions {
    ($($(#[$doc:meta])* $name:ident = |$stat:ident| $value:expr;)*) => {$(
        $(#[$doc])*
        ///
        /// # Safety
        /// `to` is null or writable; `diagnosis` is null or writable for `diagnosis_len` bytes.
        #[no_mangle]
        pub unsafe extern "C" fn $name(
            to: *mut c_int,
            $stat: c_int,
            diagnosis: *mut c_char,
            diagnosis_len: usize,
        ) -> c_int {
            // SAFETY: guaranteed by the caller.
            let body = || unsafe { write_output(to, $value, "the output parameter") };
            // SAFETY: guaranteed by the caller.
            unsafe { report_result(diagnosis, diagnosis_len, body) }
        }
    )*};
}

status_functions! {
    /// Whether the job ended by itself (GFD.133, `drmaa_wifexited`).
    drmaa_wifexited = |stat| c_int::from(stat & EXITED != 0);
    /// The exit status: 0 for a job that is done, 1 for one that has failed (GFD.133, `drmaa_wexitstatus`).
    drmaa_wexitstatus = |stat| (stat >> STATUS_SHIFT) & 0xff;
    /// Whether the job was terminated after it was started (GFD.133, `drmaa_wifsignaled`).
    drmaa_wifsignaled = |stat| c_int::from(stat & SIGNALED != 0);
    /// Always 0, since jobs have no core images (GFD.133, `drmaa_wcoredump`).
    drmaa_wcoredump = |_stat| 0;
    /// Whether the job ended before it was started (GFD.133, `drmaa_wifaborted`).
    drmaa_wifaborted = |stat| c_int::from(stat & ABORTED != 0);
}

/// Returns the name of the signal that terminated the job: `SIGTERM`, or an empty string if it was not terminated
/// (GFD.133, `drmaa_wtermsig`).
///
/// # Safety
/// Each buffer is null or writable for its length.
#[no_mangle]
pub unsafe extern "C" fn drmaa_wtermsig(
    signal: *mut c_char,
    signal_len: usize,
    stat: c_int,
    diagnosis: *mut c_char,
    diagnosis_len: usize,
) -> c_int {
    let name = if stat & SIGNALED != 0 { "SIGTERM" } else { "" };
    // SAFETY: guaranteed by the caller.
    let body = || unsafe { copy_whole_text(name, signal, signal_len) };
    // SAFETY: guaranteed by the caller.
    unsafe { report_result(diagnosis, diagnosis_len, body) }
}
