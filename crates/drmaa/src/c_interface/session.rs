//! Functions that begin and end the session of the process (GFD.133, `drmaa_init` and `drmaa_exit`).

use super::memory::{read_text, report_result};
use crate::errno::{Errno, Result};
use crate::session::Session;
use std::ffi::{c_char, c_int};
use std::sync::{Arc, PoisonError, RwLock};

/// The active session of this process, if there is one.
static SESSION: RwLock<Option<Arc<Session>>> = RwLock::new(None);

/// Environment variable with the default contact string.
const CONTACT_VARIABLE: &str = "DRMAA_CONTACT";

/// Returns the active session.
///
/// # Errors
/// `NoActiveSession` before `drmaa_init` and after `drmaa_exit`.
pub(super) fn active_session() -> Result<Arc<Session>> {
    let session = SESSION.read().unwrap_or_else(PoisonError::into_inner);
    session.clone().ok_or_else(|| Errno::NoActiveSession.into())
}

/// Begins the session of this process (GFD.133, `drmaa_init`). If `contact` is null, the contact string is read from
/// the environment variable `DRMAA_CONTACT`.
///
/// # Safety
/// `contact` is null or a C string; `diagnosis` is null or writable for `diagnosis_len` bytes.
#[no_mangle]
pub unsafe extern "C" fn drmaa_init(
    contact: *const c_char,
    diagnosis: *mut c_char,
    diagnosis_len: usize,
) -> c_int {
    let body = || {
        let contact = if contact.is_null() {
            default_contact().ok_or(Errno::NoDefaultContactStringSelected)?
        } else {
            // SAFETY: guaranteed by the caller.
            unsafe { read_text(contact, "contact") }?.to_owned()
        };
        let mut session = SESSION.write().unwrap_or_else(PoisonError::into_inner);
        if session.is_some() {
            return Err(Errno::AlreadyActiveSession.into());
        }
        *session = Some(Arc::new(Session::begin(&contact)?));
        Ok(())
    };
    // SAFETY: guaranteed by the caller.
    unsafe { report_result(diagnosis, diagnosis_len, body) }
}

/// Returns the default contact string; `None` if the environment variable is unset or empty.
pub(super) fn default_contact() -> Option<String> {
    std::env::var(CONTACT_VARIABLE)
        .ok()
        .filter(|contact| !contact.is_empty())
}

/// Ends the session (GFD.133, `drmaa_exit`). Its jobs continue.
///
/// # Safety
/// `diagnosis` is null or writable for `diagnosis_len` bytes.
#[no_mangle]
pub unsafe extern "C" fn drmaa_exit(diagnosis: *mut c_char, diagnosis_len: usize) -> c_int {
    let body = || {
        let session = SESSION
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        session.ok_or(Errno::NoActiveSession)?.end();
        Ok(())
    };
    // SAFETY: guaranteed by the caller.
    unsafe { report_result(diagnosis, diagnosis_len, body) }
}
