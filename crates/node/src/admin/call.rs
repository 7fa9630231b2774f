//! What operators call for, and how a line is read.

/// A call of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process can serve.
    Check,
    /// The node's counters and gauges.
    Vars,
    /// Each worker, and which source reports what of it: from the first one on, or from the one after this id.
    Members(Option<String>),
    /// Take the worker of this id out of service.
    SetDown(String),
    /// The worker of this id may serve again.
    SetUp(String),
    /// The records that the fleet has agreed on.
    Records,
    /// Change some of them: what is to be changed, as JSON.
    Change(String),
}

/// Why a line is no call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// It is not UTF-8.
    #[error("not text")]
    NotText,
    /// A call about a worker has not exactly one id.
    #[error("want the id of one render worker")]
    NoWorkerId,
    /// There is no such call.
    #[error(
        "unknown call; known: check, vars, members, set-down ID, set-up ID, records, change JSON"
    )]
    Unknown,
    /// The connection ended before the line did: half of `set-down w12` names another worker.
    #[error("half a call")]
    CutOff,
    /// The line is longer than a call may be.
    #[error("the call is too long")]
    TooLong,
}

/// What the line of a change begins with.
pub(super) const CHANGE_PREFIX: &str = "change ";

impl Call {
    /// Reads a line without its end.
    ///
    /// # Errors
    /// The line is no call.
    pub(super) fn parse(line: &[u8]) -> Result<Self, CallError> {
        let line = std::str::from_utf8(line).map_err(|_| CallError::NotText)?;
        if let Some(change) = line.strip_prefix(CHANGE_PREFIX) {
            return Ok(Call::Change(change.trim().to_owned()));
        }
        let words: Vec<&str> = line.split_ascii_whitespace().collect();
        match words[..] {
            ["check"] => Ok(Call::Check),
            ["vars"] => Ok(Call::Vars),
            ["members"] => Ok(Call::Members(None)),
            ["members", "after", id] => Ok(Call::Members(Some(id.to_owned()))),
            ["records"] => Ok(Call::Records),
            ["set-down", id] => Ok(Call::SetDown(id.to_owned())),
            ["set-up", id] => Ok(Call::SetUp(id.to_owned())),
            ["set-down" | "set-up", ..] => Err(CallError::NoWorkerId),
            _ => Err(CallError::Unknown),
        }
    }
}
