//! The calls of operators, and their parsing.

/// A call of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Ask whether this process can serve.
    Check,
    /// List the node's counters and gauges.
    Vars,
    /// List the workers with the reports of each source, from the first worker or from the one after this id.
    Members(Option<String>),
    /// Take the worker of this id out of service.
    SetDown(String),
    /// Put the worker of this id back into service.
    SetUp(String),
    /// List the agreed records.
    Records,
    /// Change agreed records; contains the changes as JSON.
    Change(String),
}

/// Why a line is not a valid call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The line is not UTF-8.
    #[error("the call is not UTF-8 text")]
    NotText,
    /// A call about a worker does not have exactly one id.
    #[error("the call requires the id of exactly one render worker")]
    NoWorkerId,
    /// The call is not known.
    #[error(
        "unknown call; known: check, vars, members, set-down ID, set-up ID, records, change JSON"
    )]
    Unknown,
    /// The connection was closed before the end of the line. The call is not executed, since a part of `set-down w12`
    /// may name another worker.
    #[error("incomplete call: the line has no end")]
    Incomplete,
    /// The line is longer than the limit for its call.
    #[error("the call is too long")]
    TooLong,
}

/// Start of the line of a [`Call::Change`].
pub(super) const CHANGE_PREFIX: &str = "change ";

impl Call {
    /// Parses a line without its line end.
    ///
    /// # Errors
    /// If the line is not a valid call.
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
