//! The C interface of DRMAA 1.0 (GFD.133, C binding) to marbledeck's batch submission, as `libdrmaa.so`.
//! `drmaa/include/drmaa.h` declares it, `docs/drmaa.md` is its page.
//!
//! Everything but the functions of this file is safe Rust. Here pointers of the caller are read and written, as the C
//! binding says, and handles are made of boxes; no panic leaves a function.
#![deny(unsafe_op_in_unsafe_fn)]

mod errno;
mod native;
mod session;
mod template;
mod times;

use errno::{Errno, Failure, Result};
use marbledeck_submission_client::{ErrorId, JobInfo, JobState};
use session::{Action, Session, Timeout};
use std::ffi::{c_char, c_int, c_long, c_uint, CStr, CString};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;
use template::Template;

/// The session of this process.
static SESSION: RwLock<Option<Arc<Session>>> = RwLock::new(None);

/// What a call of this library names itself.
const IMPLEMENTATION: &str = concat!("marbledeck libdrmaa ", env!("CARGO_PKG_VERSION"));

/// Parts of `stat` (GFD.133, `drmaa_wait`): opaque to the caller.
const EXITED: c_int = 1;
const SIGNALED: c_int = 2;
const ABORTED: c_int = 4;
const STATUS_SHIFT: u32 = 8;

/// `drmaa_job_template_t`.
pub struct JobTemplate(Mutex<Template>);

/// `drmaa_attr_names_t`, `drmaa_attr_values_t` and `drmaa_job_ids_t`: a list that is gone through once.
pub struct Strings {
    items: Vec<CString>,
    next: AtomicUsize,
}

impl Strings {
    fn boxed(items: impl IntoIterator<Item = String>) -> *mut Strings {
        // What came in as a C string has no zero byte; of anything else, the part before it counts.
        let text = |item: String| {
            let item = item.split('\0').next().unwrap_or_default().to_owned();
            CString::new(item).unwrap_or_default()
        };
        Box::into_raw(Box::new(Strings {
            items: items.into_iter().map(text).collect(),
            next: AtomicUsize::new(0),
        }))
    }
}

/// Runs a function's body: its failure is told in the caller's buffer, and a panic is an internal error.
///
/// # Safety
/// `diagnosis` is null, or `len` bytes may be written there.
unsafe fn told(diagnosis: *mut c_char, len: usize, body: impl FnOnce() -> Result<()>) -> c_int {
    let result = catch_unwind(AssertUnwindSafe(body));
    let failure = match result {
        Ok(Ok(())) => return Errno::Success as c_int,
        Ok(Err(failure)) => failure,
        Err(_) => Errno::Internal.into(),
    };
    // SAFETY: as the caller promises.
    unsafe { copy(&failure.words, diagnosis, len) };
    failure.errno as c_int
}

/// Writes as much of a text as there is room for, and its end. Tells whether that was all.
///
/// # Safety
/// `to` is null, or `len` bytes may be written there.
unsafe fn copy(text: &str, to: *mut c_char, len: usize) -> bool {
    if to.is_null() || len == 0 {
        return false;
    }
    let mut fits = text.len().min(len - 1);
    while !text.is_char_boundary(fits) {
        fits -= 1;
    }
    // SAFETY: `fits + 1` is no more than `len`, and a Rust string does not overlap the caller's buffer.
    unsafe {
        std::ptr::copy_nonoverlapping(text.as_ptr().cast(), to, fits);
        *to.add(fits) = 0;
    }
    fits == text.len()
}

/// Writes a text that the caller needs whole.
///
/// # Safety
/// As for [`copy`].
unsafe fn whole(text: &str, to: *mut c_char, len: usize) -> Result<()> {
    // SAFETY: as the caller promises.
    match unsafe { copy(text, to, len) } {
        true => Ok(()),
        false => Err(Failure::new(
            Errno::InvalidArgument,
            "the buffer is too small",
        )),
    }
}

/// A text of the caller's.
///
/// # Safety
/// `text` is null, or a C string that stays as it is during the call.
unsafe fn text<'a>(text: *const c_char, what: &str) -> Result<&'a str> {
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

/// A list of texts that a null pointer ends.
///
/// # Safety
/// `list` is null, or points to C strings and a null pointer after them.
unsafe fn texts(list: *const *const c_char, what: &str) -> Result<Vec<String>> {
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
        read.push(unsafe { text(item, what) }?.to_owned());
    }
}

/// Writes to where the caller wants it.
///
/// # Safety
/// `to` is null, or may be written to.
unsafe fn put<T>(to: *mut T, value: T, what: &str) -> Result<()> {
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

/// A handle that this library gave out.
///
/// # Safety
/// `handle` is null, or was given out as this kind and not released.
unsafe fn handle<'a, T>(handle: *const T, what: &str) -> Result<&'a T> {
    // SAFETY: as the caller promises; handles are only ever shared, what changes in them is behind locks.
    let found = unsafe { handle.as_ref() };
    found.ok_or_else(|| Failure::new(Errno::InvalidArgument, format!("{what} is null")))
}

fn session() -> Result<Arc<Session>> {
    let session = SESSION.read().unwrap_or_else(PoisonError::into_inner);
    session.clone().ok_or_else(|| Errno::NoActiveSession.into())
}

fn timeout(seconds: c_long) -> Result<Timeout> {
    match seconds {
        // DRMAA_TIMEOUT_WAIT_FOREVER
        -1 => Ok(None),
        seconds => match u64::try_from(seconds) {
            Ok(seconds) => Ok(Some(Duration::from_secs(seconds.min(1 << 31)))),
            Err(_) => Err(Failure::new(Errno::InvalidArgument, "timeout is negative")),
        },
    }
}

/// Begins the session of this process (GFD.133, `drmaa_init`). Where `contact` is null, `DRMAA_CONTACT` counts.
///
/// # Safety
/// `contact` is null or a C string; `diagnosis` is null, or `len` bytes may be written there.
#[no_mangle]
pub unsafe extern "C" fn drmaa_init(
    contact: *const c_char,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    let body = || {
        let contact = match contact.is_null() {
            true => default_contact().ok_or(Errno::NoDefaultContactStringSelected)?,
            // SAFETY: as the caller promises.
            false => unsafe { text(contact, "contact") }?.to_owned(),
        };
        let mut session = SESSION.write().unwrap_or_else(PoisonError::into_inner);
        if session.is_some() {
            return Err(Errno::AlreadyActiveSession.into());
        }
        *session = Some(Arc::new(Session::begin(&contact)?));
        Ok(())
    };
    // SAFETY: as the caller promises.
    unsafe { told(diagnosis, len, body) }
}

fn default_contact() -> Option<String> {
    std::env::var("DRMAA_CONTACT")
        .ok()
        .filter(|contact| !contact.is_empty())
}

/// Ends the session (GFD.133, `drmaa_exit`). Its jobs go on.
///
/// # Safety
/// `diagnosis` is null, or `len` bytes may be written there.
#[no_mangle]
pub unsafe extern "C" fn drmaa_exit(diagnosis: *mut c_char, len: usize) -> c_int {
    let body = || {
        let session = SESSION
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        session.ok_or(Errno::NoActiveSession)?.end();
        Ok(())
    };
    // SAFETY: as the caller promises.
    unsafe { told(diagnosis, len, body) }
}

/// Makes a job template (GFD.133, `drmaa_allocate_job_template`).
///
/// # Safety
/// `template` may be written to; `diagnosis` is null, or `len` bytes may be written there.
#[no_mangle]
pub unsafe extern "C" fn drmaa_allocate_job_template(
    template: *mut *mut JobTemplate,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    let body = || {
        session()?;
        if template.is_null() {
            return Err(Failure::new(Errno::InvalidArgument, "jt is null"));
        }
        let new = Box::into_raw(Box::new(JobTemplate(Mutex::default())));
        // SAFETY: as the caller promises.
        unsafe { put(template, new, "jt") }
    };
    // SAFETY: as the caller promises.
    unsafe { told(diagnosis, len, body) }
}

/// Ends a job template (GFD.133, `drmaa_delete_job_template`).
///
/// # Safety
/// `template` was given out by [`drmaa_allocate_job_template`] and is not used any more; `diagnosis` is null, or `len`
/// bytes may be written there.
#[no_mangle]
pub unsafe extern "C" fn drmaa_delete_job_template(
    template: *mut JobTemplate,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    let body = || {
        if template.is_null() {
            return Err(Failure::new(Errno::InvalidArgument, "jt is null"));
        }
        // SAFETY: made by a box, and as the caller promises not used any more.
        drop(unsafe { Box::from_raw(template) });
        Ok(())
    };
    // SAFETY: as the caller promises.
    unsafe { told(diagnosis, len, body) }
}

/// Sets an attribute (GFD.133, `drmaa_set_attribute`).
///
/// # Safety
/// `template` is a handle; `name` and `value` are null or C strings; `diagnosis` is null, or `len` bytes may be written
/// there.
#[no_mangle]
pub unsafe extern "C" fn drmaa_set_attribute(
    template: *mut JobTemplate,
    name: *const c_char,
    value: *const c_char,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    let body = || {
        // SAFETY: as the caller promises.
        let (template, name, value) = unsafe {
            (
                handle(template, "jt")?,
                text(name, "name")?,
                text(value, "value")?,
            )
        };
        template
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .set(name, value)
    };
    // SAFETY: as the caller promises.
    unsafe { told(diagnosis, len, body) }
}

/// Tells an attribute (GFD.133, `drmaa_get_attribute`).
///
/// # Safety
/// `template` is a handle; `name` is null or a C string; the buffers are null, or may be written to as far as their
/// lengths say.
#[no_mangle]
pub unsafe extern "C" fn drmaa_get_attribute(
    template: *mut JobTemplate,
    name: *const c_char,
    value: *mut c_char,
    value_len: usize,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    let body = || {
        // SAFETY: as the caller promises.
        let (template, name) = unsafe { (handle(template, "jt")?, text(name, "name")?) };
        let template = template.0.lock().unwrap_or_else(PoisonError::into_inner);
        // SAFETY: as the caller promises.
        unsafe { whole(template.get(name)?, value, value_len) }
    };
    // SAFETY: as the caller promises.
    unsafe { told(diagnosis, len, body) }
}

/// Sets an attribute that holds a list (GFD.133, `drmaa_set_vector_attribute`).
///
/// # Safety
/// `template` is a handle; `name` is null or a C string; `values` is null, or points to C strings and a null pointer
/// after them; `diagnosis` is null, or `len` bytes may be written there.
#[no_mangle]
pub unsafe extern "C" fn drmaa_set_vector_attribute(
    template: *mut JobTemplate,
    name: *const c_char,
    values: *const *const c_char,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    let body = || {
        // SAFETY: as the caller promises.
        let (template, name, values) = unsafe {
            (
                handle(template, "jt")?,
                text(name, "name")?,
                texts(values, "value")?,
            )
        };
        let mut template = template.0.lock().unwrap_or_else(PoisonError::into_inner);
        template.set_vector(name, values)
    };
    // SAFETY: as the caller promises.
    unsafe { told(diagnosis, len, body) }
}

/// Tells an attribute that holds a list (GFD.133, `drmaa_get_vector_attribute`).
///
/// # Safety
/// `template` is a handle; `name` is null or a C string; `values` may be written to; `diagnosis` is null, or `len` bytes
/// may be written there.
#[no_mangle]
pub unsafe extern "C" fn drmaa_get_vector_attribute(
    template: *mut JobTemplate,
    name: *const c_char,
    values: *mut *mut Strings,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    let body = || {
        // SAFETY: as the caller promises.
        let (template, name) = unsafe { (handle(template, "jt")?, text(name, "name")?) };
        let template = template.0.lock().unwrap_or_else(PoisonError::into_inner);
        let items = template.get_vector(name)?.to_vec();
        // SAFETY: as the caller promises.
        unsafe { put(values, Strings::boxed(items), "values") }
    };
    // SAFETY: as the caller promises.
    unsafe { told(diagnosis, len, body) }
}

/// Gives out the names of attributes.
///
/// # Safety
/// `values` may be written to; `diagnosis` is null, or `len` bytes may be written there.
unsafe fn names(
    names: &[&str],
    values: *mut *mut Strings,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    let body = || {
        let items = names.iter().map(|name| (*name).to_owned());
        // SAFETY: as the caller promises.
        unsafe { put(values, Strings::boxed(items), "values") }
    };
    // SAFETY: as the caller promises.
    unsafe { told(diagnosis, len, body) }
}

/// The names of the attributes that hold one value (GFD.133, `drmaa_get_attribute_names`).
///
/// # Safety
/// As for [`names`].
#[no_mangle]
pub unsafe extern "C" fn drmaa_get_attribute_names(
    values: *mut *mut Strings,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    // SAFETY: as the caller promises.
    unsafe { names(&template::SCALARS, values, diagnosis, len) }
}

/// The names of the attributes that hold a list (GFD.133, `drmaa_get_vector_attribute_names`).
///
/// # Safety
/// As for [`names`].
#[no_mangle]
pub unsafe extern "C" fn drmaa_get_vector_attribute_names(
    values: *mut *mut Strings,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    // SAFETY: as the caller promises.
    unsafe { names(&template::VECTORS, values, diagnosis, len) }
}

/// The next element of a list.
///
/// # Safety
/// `values` is null or a handle; `value` is null, or `len` bytes may be written there.
unsafe fn next(values: *mut Strings, value: *mut c_char, len: usize) -> c_int {
    let body = || {
        // SAFETY: as the caller promises.
        let strings = unsafe { handle(values, "values") }?;
        let at = strings.next.fetch_add(1, Ordering::Relaxed);
        let Some(item) = strings.items.get(at) else {
            // It stays at the end, however often it is asked.
            strings.next.store(strings.items.len(), Ordering::Relaxed);
            return Err(Errno::NoMoreElements.into());
        };
        // SAFETY: as the caller promises.
        unsafe { whole(&item.to_string_lossy(), value, len) }
    };
    // SAFETY: there is no buffer.
    unsafe { told(std::ptr::null_mut(), 0, body) }
}

/// How many elements a list has.
///
/// # Safety
/// `values` is null or a handle; `size` is null, or may be written to.
unsafe fn count(values: *mut Strings, size: *mut usize) -> c_int {
    // SAFETY: as the caller promises.
    let body = || unsafe { put(size, handle(values, "values")?.items.len(), "size") };
    // SAFETY: there is no buffer.
    unsafe { told(std::ptr::null_mut(), 0, body) }
}

/// Ends a list.
///
/// # Safety
/// `values` is null, or a handle that is not used any more.
unsafe fn release(values: *mut Strings) {
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
        pub unsafe extern "C" fn $next(values: *mut Strings, value: *mut c_char, len: usize) -> c_int {
            // SAFETY: as the caller promises.
            unsafe { next(values, value, len) }
        }

        /// How many elements a list has (GFD.133).
        ///
        /// # Safety
        /// `values` is a handle; `size` may be written to.
        #[no_mangle]
        pub unsafe extern "C" fn $count(values: *mut Strings, size: *mut usize) -> c_int {
            // SAFETY: as the caller promises.
            unsafe { count(values, size) }
        }

        /// Ends a list (GFD.133).
        ///
        /// # Safety
        /// `values` is null, or a handle that is not used any more.
        #[no_mangle]
        pub unsafe extern "C" fn $release(values: *mut Strings) {
            // SAFETY: as the caller promises.
            unsafe { release(values) }
        }
    )*};
}

lists! {
    drmaa_get_next_attr_name, drmaa_get_num_attr_names, drmaa_release_attr_names;
    drmaa_get_next_attr_value, drmaa_get_num_attr_values, drmaa_release_attr_values;
    drmaa_get_next_job_id, drmaa_get_num_job_ids, drmaa_release_job_ids;
}

/// Hands in a job (GFD.133, `drmaa_run_job`).
///
/// # Safety
/// `template` is a handle; the buffers are null, or may be written to as far as their lengths say.
#[no_mangle]
pub unsafe extern "C" fn drmaa_run_job(
    job_id: *mut c_char,
    job_id_len: usize,
    template: *const JobTemplate,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    let body = || {
        let session = session()?;
        // SAFETY: as the caller promises.
        let template = unsafe { handle(template, "jt") }?;
        if job_id.is_null() {
            return Err(Failure::new(Errno::InvalidArgument, "job_id is null"));
        }
        let template = template
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let id = session.run(&template)?;
        // SAFETY: as the caller promises.
        unsafe { whole(&id, job_id, job_id_len) }
    };
    // SAFETY: as the caller promises.
    unsafe { told(diagnosis, len, body) }
}

/// Hands in a job for each index (GFD.133, `drmaa_run_bulk_jobs`).
///
/// # Safety
/// `template` is a handle; `job_ids` may be written to; `diagnosis` is null, or `len` bytes may be written there.
#[no_mangle]
pub unsafe extern "C" fn drmaa_run_bulk_jobs(
    job_ids: *mut *mut Strings,
    template: *const JobTemplate,
    start: c_int,
    end: c_int,
    incr: c_int,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    let body = || {
        let session = session()?;
        // SAFETY: as the caller promises.
        let template = unsafe { handle(template, "jt") }?;
        if job_ids.is_null() {
            return Err(Failure::new(Errno::InvalidArgument, "jobids is null"));
        }
        let template = template
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let indices = (start.into(), end.into(), incr.into());
        let ids = session.run_bulk(&template, indices)?;
        // SAFETY: as the caller promises.
        unsafe { put(job_ids, Strings::boxed(ids), "jobids") }
    };
    // SAFETY: as the caller promises.
    unsafe { told(diagnosis, len, body) }
}

/// Suspends (0), resumes (1), holds (2), releases (3) or terminates (4) a job (GFD.133, `drmaa_control`).
///
/// # Safety
/// `job_id` is null or a C string; `diagnosis` is null, or `len` bytes may be written there.
#[no_mangle]
pub unsafe extern "C" fn drmaa_control(
    job_id: *const c_char,
    action: c_int,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    let body = || {
        let session = session()?;
        // SAFETY: as the caller promises.
        let id = unsafe { text(job_id, "jobid") }?;
        let action = match action {
            0 => Action::Suspend,
            1 => Action::Resume,
            2 => Action::Hold,
            3 => Action::Release,
            4 => Action::Terminate,
            _ => return Err(Failure::new(Errno::InvalidArgument, "no such action")),
        };
        session.control(id, action)
    };
    // SAFETY: as the caller promises.
    unsafe { told(diagnosis, len, body) }
}

/// Waits until all of these jobs have ended (GFD.133, `drmaa_synchronize`).
///
/// # Safety
/// `job_ids` is null, or points to C strings and a null pointer after them; `diagnosis` is null, or `len` bytes may be
/// written there.
#[no_mangle]
pub unsafe extern "C" fn drmaa_synchronize(
    job_ids: *const *const c_char,
    seconds: c_long,
    dispose: c_int,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    let body = || {
        let session = session()?;
        // SAFETY: as the caller promises.
        let ids = unsafe { texts(job_ids, "job_ids") }?;
        session.synchronize(&ids, timeout(seconds)?, dispose != 0)
    };
    // SAFETY: as the caller promises.
    unsafe { told(diagnosis, len, body) }
}

/// What [`drmaa_wait`] tells of a job's end.
fn status(info: &JobInfo) -> c_int {
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

/// What is known of a job's use of resources, as `name=value`.
fn usage(info: &JobInfo) -> Vec<String> {
    let seconds = |ms: u64| format!("{}.{:03}", ms / 1000, ms % 1000);
    let mut usage = vec![format!(
        "submission_time={}",
        seconds(info.submission_time_ms)
    )];
    let times = [
        ("start_time", info.dispatch_time_ms),
        ("end_time", info.finish_time_ms),
    ];
    for (name, at) in times {
        usage.extend(at.map(|ms| format!("{name}={}", seconds(ms))));
    }
    if let (Some(from), Some(to)) = (info.dispatch_time_ms, info.finish_time_ms) {
        usage.push(format!("wallclock={}", seconds(to.saturating_sub(from))));
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

/// Waits for the end of a job and reaps it (GFD.133, `drmaa_wait`).
///
/// # Safety
/// `job_id` is null or a C string; all others are null, or may be written to as far as their lengths say.
#[no_mangle]
pub unsafe extern "C" fn drmaa_wait(
    job_id: *const c_char,
    job_id_out: *mut c_char,
    job_id_out_len: usize,
    stat: *mut c_int,
    seconds: c_long,
    rusage: *mut *mut Strings,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    let body = || {
        let session = session()?;
        // SAFETY: as the caller promises.
        let id = unsafe { text(job_id, "job_id") }?;
        let info = session.wait(id, timeout(seconds)?)?;
        // What the caller does not ask for is left out; the job is reaped all the same.
        // SAFETY: as the caller promises; what is null is not written to.
        unsafe {
            if !job_id_out.is_null() {
                copy(&info.job_id, job_id_out, job_id_out_len);
            }
            if !stat.is_null() {
                stat.write(status(&info));
            }
            if !rusage.is_null() {
                rusage.write(Strings::boxed(usage(&info)));
            }
        }
        Ok(())
    };
    // SAFETY: as the caller promises.
    unsafe { told(diagnosis, len, body) }
}

macro_rules! statuses {
    ($($(#[$doc:meta])* $name:ident = |$stat:ident| $of:expr;)*) => {$(
        $(#[$doc])*
        ///
        /// # Safety
        /// `to` may be written to; `diagnosis` is null, or `len` bytes may be written there.
        #[no_mangle]
        pub unsafe extern "C" fn $name(
            to: *mut c_int,
            $stat: c_int,
            diagnosis: *mut c_char,
            len: usize,
        ) -> c_int {
            // SAFETY: as the caller promises.
            let body = || unsafe { put(to, $of, "the result") };
            // SAFETY: as the caller promises.
            unsafe { told(diagnosis, len, body) }
        }
    )*};
}

statuses! {
    /// Whether a job has come to an end of its own (GFD.133, `drmaa_wifexited`).
    drmaa_wifexited = |stat| c_int::from(stat & EXITED != 0);
    /// 0 for a job that was done, 1 for one that has failed (GFD.133, `drmaa_wexitstatus`).
    drmaa_wexitstatus = |stat| (stat >> STATUS_SHIFT) & 0xff;
    /// Whether a job was terminated after it had begun (GFD.133, `drmaa_wifsignaled`).
    drmaa_wifsignaled = |stat| c_int::from(stat & SIGNALED != 0);
    /// There are no core images (GFD.133, `drmaa_wcoredump`).
    drmaa_wcoredump = |_stat| 0;
    /// Whether a job has ended before it had begun (GFD.133, `drmaa_wifaborted`).
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
    len: usize,
) -> c_int {
    let name = if stat & SIGNALED != 0 { "SIGTERM" } else { "" };
    // SAFETY: as the caller promises.
    let body = || unsafe { whole(name, signal, signal_len) };
    // SAFETY: as the caller promises.
    unsafe { told(diagnosis, len, body) }
}

/// Tells a job's state (GFD.133, `drmaa_job_ps`).
///
/// # Safety
/// `job_id` is null or a C string; `state` may be written to; `diagnosis` is null, or `len` bytes may be written there.
#[no_mangle]
pub unsafe extern "C" fn drmaa_job_ps(
    job_id: *const c_char,
    state: *mut c_int,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    let body = || {
        let session = session()?;
        // SAFETY: as the caller promises.
        let id = unsafe { text(job_id, "job_id") }?;
        let code = match session.state(id)? {
            JobState::Undetermined => 0x00,
            JobState::Queued | JobState::Requeued => 0x10,
            JobState::QueuedHeld | JobState::RequeuedHeld => 0x12,
            JobState::Running => 0x20,
            JobState::Suspended => 0x22,
            JobState::Done => 0x30,
            JobState::Failed => 0x40,
        };
        // SAFETY: as the caller promises.
        unsafe { put(state, code, "remote_ps") }
    };
    // SAFETY: as the caller promises.
    unsafe { told(diagnosis, len, body) }
}

/// What an error code means (GFD.133, `drmaa_strerror`). The text is never freed.
#[no_mangle]
pub extern "C" fn drmaa_strerror(code: c_int) -> *const c_char {
    let words = Errno::of(code).map_or(c"There is no such error code.", Errno::words);
    words.as_ptr()
}

/// Tells a text of this library.
///
/// # Safety
/// The buffers are null, or may be written to as far as their lengths say.
unsafe fn tell(
    value: impl FnOnce() -> String,
    to: *mut c_char,
    to_len: usize,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    // SAFETY: as the caller promises.
    let body = || unsafe { whole(&value(), to, to_len) };
    // SAFETY: as the caller promises.
    unsafe { told(diagnosis, len, body) }
}

/// The contact of the session, or the default one (GFD.133, `drmaa_get_contact`).
///
/// # Safety
/// As for [`tell`].
#[no_mangle]
pub unsafe extern "C" fn drmaa_get_contact(
    contact: *mut c_char,
    contact_len: usize,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    let value = || match session() {
        Ok(session) => session.contact().to_owned(),
        Err(_) => default_contact().unwrap_or_default(),
    };
    // SAFETY: as the caller promises.
    unsafe { tell(value, contact, contact_len, diagnosis, len) }
}

/// The version of DRMAA (GFD.133, `drmaa_version`).
///
/// # Safety
/// `major` and `minor` may be written to; `diagnosis` is null, or `len` bytes may be written there.
#[no_mangle]
pub unsafe extern "C" fn drmaa_version(
    major: *mut c_uint,
    minor: *mut c_uint,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    // SAFETY: as the caller promises.
    let body = || unsafe { put(major, 1, "major").and_then(|()| put(minor, 0, "minor")) };
    // SAFETY: as the caller promises.
    unsafe { told(diagnosis, len, body) }
}

/// What jobs are handed to (GFD.133, `drmaa_get_DRM_system`).
///
/// # Safety
/// As for [`tell`].
#[no_mangle]
#[allow(non_snake_case)]
pub unsafe extern "C" fn drmaa_get_DRM_system(
    system: *mut c_char,
    system_len: usize,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    // SAFETY: as the caller promises.
    unsafe {
        tell(
            || "marbledeck".to_owned(),
            system,
            system_len,
            diagnosis,
            len,
        )
    }
}

/// The name of this library (GFD.133, `drmaa_get_DRMAA_implementation`).
///
/// # Safety
/// As for [`tell`].
#[no_mangle]
#[allow(non_snake_case)]
pub unsafe extern "C" fn drmaa_get_DRMAA_implementation(
    name: *mut c_char,
    name_len: usize,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    // SAFETY: as the caller promises.
    unsafe { tell(|| IMPLEMENTATION.to_owned(), name, name_len, diagnosis, len) }
}
