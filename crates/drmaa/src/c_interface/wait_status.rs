//! The `stat` value and the resource usage of an ended job, and the routines that read `stat`.

use super::memory::{copy_whole_text, report_result, write_output};
use marbledeck_submission_client::{ErrorId, JobInfo, JobState};
use std::ffi::{c_char, c_int};

/// Flag of `stat`, which is opaque to the caller: the job has ended by itself.
const EXITED: c_int = 1;
/// Flag of `stat`: the job was terminated after its start.
const SIGNALED: c_int = 2;
/// Flag of `stat`: the job ended before its start.
const ABORTED: c_int = 4;
/// The position of the exit status in `stat`.
const STATUS_SHIFT: u32 = 8;

/// The `stat` value that `drmaa_wait` returns for an ended job.
pub(super) fn wait_status(info: &JobInfo) -> c_int {
    let sub_state = info.job_sub_state.as_deref().unwrap_or_default();
    match info.job_state {
        JobState::Done => EXITED,
        // It never ran: refused, held for too long, or given up before.
        _ if matches!(sub_state, "refused" | "expired") => ABORTED,
        _ if info.dispatch_time_ms.is_none() && matches!(sub_state, "terminated" | "overdue") => {
            ABORTED
        }
        _ if sub_state == "terminated" => SIGNALED,
        _ => EXITED | 1 << STATUS_SHIFT,
    }
}

/// The known resource usage of a job, as `name=value`.
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
            .map(|sub| format!("sub_state={sub}")),
    );
    if let Some(problem) = &info.problem {
        usage.push(format!("error={}", problem.message));
        if let (ErrorId::TryLater, Some(ms)) = (problem.error, problem.retry_after_ms) {
            usage.push(format!("retry_after={}", seconds(ms)));
        }
    }
    usage
}

macro_rules! statuses {
    ($($(#[$doc:meta])* $name:ident = |$stat:ident| $of:expr;)*) => {$(
        $(#[$doc])*
        ///
        /// # Safety
        /// `to` may be written to; `diagnosis` is null, or `diagnosis_len` bytes may be written there.
        #[no_mangle]
        pub unsafe extern "C" fn $name(
            to: *mut c_int,
            $stat: c_int,
            diagnosis: *mut c_char,
            diagnosis_len: usize,
        ) -> c_int {
            // SAFETY: as the caller promises.
            let body = || unsafe { write_output(to, $of, "the result") };
            // SAFETY: as the caller promises.
            unsafe { report_result(diagnosis, diagnosis_len, body) }
        }
    )*};
}

statuses! {
    /// Whether a job has come to an end by itself (GFD.133, `drmaa_wifexited`).
    drmaa_wifexited = |stat| c_int::from(stat & EXITED != 0);
    /// 0 for a job that was done, 1 for one that has failed (GFD.133, `drmaa_wexitstatus`).
    drmaa_wexitstatus = |stat| (stat >> STATUS_SHIFT) & 0xff;
    /// Whether a job was terminated after it had started (GFD.133, `drmaa_wifsignaled`).
    drmaa_wifsignaled = |stat| c_int::from(stat & SIGNALED != 0);
    /// There are no core images (GFD.133, `drmaa_wcoredump`).
    drmaa_wcoredump = |_stat| 0;
    /// Whether a job has ended before it had started (GFD.133, `drmaa_wifaborted`).
    drmaa_wifaborted = |stat| c_int::from(stat & ABORTED != 0);
}

/// The name of the signal that a job was terminated by (GFD.133, `drmaa_wtermsig`).
///
/// # Safety
/// The buffers are null, or may be written to as far as their lengths say.
#[no_mangle]
pub unsafe extern "C" fn drmaa_wtermsig(
    signal: *mut c_char,
    signal_len: usize,
    stat: c_int,
    diagnosis: *mut c_char,
    diagnosis_len: usize,
) -> c_int {
    let name = if stat & SIGNALED != 0 { "SIGTERM" } else { "" };
    // SAFETY: as the caller promises.
    let body = || unsafe { copy_whole_text(name, signal, signal_len) };
    // SAFETY: as the caller promises.
    unsafe { report_result(diagnosis, diagnosis_len, body) }
}
