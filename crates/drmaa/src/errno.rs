//! The error codes of the C binding (GFD.133) and their `drmaa_strerror` texts.

use marbledeck_submission_client::{Error, ErrorId};
use std::ffi::CStr;

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $code:literal, $text:literal;)*) => {
        /// The error code returned by a function of the C binding (`DRMAA_ERRNO_*`).
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        #[repr(i32)]
        pub enum Errno { $($(#[$doc])* $name = $code),* }

        impl Errno {
            /// All error codes, in ascending order.
            pub const ALL: &'static [Errno] = &[$(Errno::$name),*];

            /// The text of the error code (`drmaa_strerror`).
            pub fn message(self) -> &'static CStr {
                match self { $(Errno::$name => $text),* }
            }
        }
    };
}

codes! {
    Success = 0, c"Success.";
    Internal = 1, c"An unexpected or internal error, such as a failed system call.";
    DrmCommunication = 2, c"The node could not be reached.";
    AuthFailure = 3, c"The caller is not allowed to do this.";
    InvalidArgument = 4, c"An argument makes no sense.";
    NoActiveSession = 5, c"There is no active session.";
    NoMemory = 6, c"Not enough memory.";
    InvalidContactString = 7, c"The contact string makes no sense.";
    DefaultContactString = 8, c"The default contact string could not be used.";
    NoDefaultContactStringSelected = 9, c"No contact string was given, and DRMAA_CONTACT names none.";
    DrmsInitFailed = 10, c"The session could not be begun.";
    AlreadyActiveSession = 11, c"A session is active already.";
    DrmsExit = 12, c"The session could not be ended.";
    InvalidAttributeFormat = 13, c"The format of an attribute's value is not valid.";
    InvalidAttributeValue = 14, c"The value of an attribute is not valid.";
    ConflictingAttributeValues = 15, c"The values of some attributes exclude each other.";
    TryLater = 16, c"Refused for now: try again later.";
    DeniedByDrm = 17, c"The node rejects the job: it will never be taken as it is.";
    InvalidJob = 18, c"There is no such job, or it was reaped.";
    ResumeInconsistentState = 19, c"The job's state does not allow to resume it.";
    SuspendInconsistentState = 20, c"The job's state does not allow to suspend it.";
    HoldInconsistentState = 21, c"The job's state does not allow to hold it.";
    ReleaseInconsistentState = 22, c"The job's state does not allow to release it.";
    ExitTimeout = 23, c"The time of a wait was over.";
    NoRusage = 24, c"Nothing is known of the resources that the job used.";
    NoMoreElements = 25, c"There are no more elements.";
}

impl Errno {
    /// Looks up an error code by its number.
    pub fn from_code(code: i32) -> Option<Errno> {
        Errno::ALL
            .iter()
            .copied()
            .find(|errno| *errno as i32 == code)
    }
}

/// An error: its code and its diagnosis message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The error code.
    pub errno: Errno,
    /// The message for the diagnosis buffer.
    pub message: String,
}

impl Failure {
    /// Creates a failure with a specific message instead of the text of its error code.
    pub fn new(errno: Errno, message: impl Into<String>) -> Self {
        Failure {
            errno,
            message: message.into(),
        }
    }
}

impl From<Errno> for Failure {
    fn from(errno: Errno) -> Self {
        Failure::new(errno, errno.message().to_string_lossy())
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        let message = error.to_string();
        let errno = match error.problem().map(|problem| problem.error) {
            None => Errno::DrmCommunication,
            Some(ErrorId::TryLater) => Errno::TryLater,
            Some(ErrorId::DeniedByDrms) => Errno::DeniedByDrm,
            Some(ErrorId::InvalidArgument) => Errno::DeniedByDrm,
            Some(ErrorId::UnsupportedAttribute) => Errno::InvalidAttributeValue,
            Some(ErrorId::Timeout) => Errno::ExitTimeout,
            Some(ErrorId::DrmCommunication) => Errno::DrmCommunication,
            Some(_) => Errno::Internal,
        };
        Failure { errno, message }
    }
}

/// The result of a function of this library.
pub type Result<T> = std::result::Result<T, Failure>;
