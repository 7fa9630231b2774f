//! Parsing of argument values: durations, points in time and job states.

#[cfg(test)]
mod tests;

use marbledeck_submission_client::JobState;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The value of an argument is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ParseError {
    /// Not a duration.
    #[error("'{0}' is not a duration: expected a number and one of ms, s, m, h, such as 20s")]
    Duration(String),
    /// Not a point in time.
    #[error("'{0}' is not a time: expected Unix seconds, or + and a duration, such as +20m")]
    Time(String),
    /// Not a job state.
    #[error("'{0}' is not a job state: expected one of {states}", states = state_names())]
    State(String),
}

/// The names of all job states, separated by commas.
fn state_names() -> String {
    JobState::ALL.map(JobState::as_str).join(", ")
}

/// Parses a duration with its unit, seconds by default.
///
/// # Errors
/// If the text is not a number with a known unit, or the duration is too large.
pub(crate) fn parse_duration(text: &str) -> Result<Duration, ParseError> {
    let invalid = || ParseError::Duration(text.to_owned());
    let number_end = text.find(|c: char| !c.is_ascii_digit() && c != '.');
    let (number, unit) = text.split_at(number_end.unwrap_or(text.len()));
    let number: f64 = number.parse().map_err(|_| invalid())?;
    let seconds = match unit {
        "ms" => number / 1e3,
        "s" | "" => number,
        "m" => number * 60.0,
        "h" => number * 3600.0,
        _ => return Err(invalid()),
    };
    Duration::try_from_secs_f64(seconds).map_err(|_| invalid())
}

/// Parses a point in time, given in Unix seconds or as `+` and a duration from now, into Unix milliseconds.
///
/// # Errors
/// If the text is neither.
pub(crate) fn parse_time(text: &str) -> Result<u64, ParseError> {
    if let Some(duration) = text.strip_prefix('+') {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let time = now.unwrap_or_default() + parse_duration(duration)?;
        return Ok(time.as_millis() as u64);
    }
    let invalid = || ParseError::Time(text.to_owned());
    let seconds: f64 = text.parse().map_err(|_| invalid())?;
    let time = Duration::try_from_secs_f64(seconds).map_err(|_| invalid())?;
    Ok(time.as_millis() as u64)
}

/// Parses the name of a job state, ignoring case.
///
/// # Errors
/// If there is no such state.
pub(crate) fn parse_state(text: &str) -> Result<JobState, ParseError> {
    JobState::ALL
        .into_iter()
        .find(|state| state.as_str().eq_ignore_ascii_case(text))
        .ok_or_else(|| ParseError::State(text.to_owned()))
}
