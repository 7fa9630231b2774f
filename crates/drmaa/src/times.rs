//! Partial timestamps (GFD.133, `drmaa_start_time`): `[[[[CC]YY/]MM/]DD] hh:mm[:ss] [{-|+}UU:uu]`. Omitted parts are
//! taken from the current time, an omitted UTC offset is the local one. If that time has passed, the next occurrence
//! that matches the given parts is used; a date with a year is used even if it has passed.

use crate::errno::{Errno, Failure, Result};
use chrono::{DateTime, Datelike, Days, FixedOffset, Local, Months, NaiveDate, TimeZone};

/// Parses a partial timestamp and returns the time relative to `now`, in milliseconds since the Unix epoch.
///
/// # Errors
/// `InvalidAttributeFormat` if the text has another format or there is no such time.
pub fn parse(text: &str, now: DateTime<Local>) -> Result<u64> {
    let format_error = || {
        let message =
            format!("invalid time '{text}': expected [[[[CC]YY/]MM/]DD] hh:mm[:ss] [{{-|+}}UU:uu]");
        Failure::new(Errno::InvalidAttributeFormat, message)
    };
    let time = resolve_partial(text, now).ok_or_else(format_error)?;
    u64::try_from(time.timestamp_millis()).map_err(|_| format_error())
}

/// Parses a number of exactly two digits.
fn parse_two_digits(text: &str) -> Option<u32> {
    let is_two_digits = text.len() == 2 && text.bytes().all(|b| b.is_ascii_digit());
    text.parse().ok().filter(|_| is_two_digits)
}

/// A time of day with its UTC offset.
struct ClockTime {
    hour: u32,
    minute: u32,
    second: u32,
    offset: FixedOffset,
}

impl ClockTime {
    /// Parses `hh:mm[:ss]`.
    fn parse(text: &str, offset: FixedOffset) -> Option<Self> {
        let parts: Vec<u32> = text
            .split(':')
            .map(parse_two_digits)
            .collect::<Option<_>>()?;
        let (hour, minute, second) = match parts[..] {
            [hour, minute] => (hour, minute, 0),
            [hour, minute, second] => (hour, minute, second),
            _ => return None,
        };
        Some(ClockTime {
            hour,
            minute,
            second,
            offset,
        })
    }

    /// This time on the given day; `None` if it does not exist.
    fn on(&self, day: NaiveDate) -> Option<DateTime<FixedOffset>> {
        let time = day.and_hms_opt(self.hour, self.minute, self.second)?;
        self.offset.from_local_datetime(&time).single()
    }
}

/// Resolves a partial timestamp; `None` if the text has another format or there is no such time.
fn resolve_partial(text: &str, now: DateTime<Local>) -> Option<DateTime<FixedOffset>> {
    let mut parts: Vec<&str> = text.split_ascii_whitespace().collect();
    let mut offset = *now.offset();
    if let Some(zone) = parts.last().filter(|part| part.starts_with(['+', '-'])) {
        offset = parse_offset(zone)?;
        parts.pop();
    }
    let now = now.with_timezone(&offset);
    match parts[..] {
        [time] => {
            let time = ClockTime::parse(time, offset)?;
            let today = now.date_naive();
            time.on(today)
                .filter(|candidate| *candidate >= now)
                .or_else(|| time.on(today + Days::new(1)))
        }
        [date, time] => resolve_date(date, &ClockTime::parse(time, offset)?, now),
        _ => None,
    }
}

/// Parses a UTC offset, `{-|+}UU:uu`.
fn parse_offset(zone: &str) -> Option<FixedOffset> {
    let (hours, minutes) = zone[1..].split_once(':')?;
    let hours = parse_two_digits(hours)? as i32;
    let minutes = parse_two_digits(minutes).filter(|minutes| *minutes < 60)? as i32;
    let seconds = hours * 3600 + minutes * 60;
    if zone.starts_with('-') {
        FixedOffset::west_opt(seconds)
    } else {
        FixedOffset::east_opt(seconds)
    }
}

/// Resolves a partial date, `[[[CC]YY/]MM/]DD`, at this time of day: the next occurrence if the month or the year is
/// omitted.
fn resolve_date(
    date: &str,
    time: &ClockTime,
    now: DateTime<FixedOffset>,
) -> Option<DateTime<FixedOffset>> {
    let today = now.date_naive();
    let is_not_past = |candidate: &DateTime<FixedOffset>| *candidate >= now;
    let parts: Vec<&str> = date.split('/').collect();
    match parts[..] {
        [day] => {
            let day = parse_two_digits(day)?;
            let first_of_month = today.with_day(1)?;
            let mut candidates = (0..12)
                .filter_map(|months| first_of_month.checked_add_months(Months::new(months)))
                .filter_map(|month| time.on(month.with_day(day)?));
            candidates.find(is_not_past)
        }
        [month, day] => {
            let month = parse_two_digits(month)?;
            let day = parse_two_digits(day)?;
            // Nine consecutive years contain a leap day even around a century year that is not a leap year.
            let mut candidates = (today.year()..today.year() + 9)
                .filter_map(|year| time.on(NaiveDate::from_ymd_opt(year, month, day)?));
            candidates.find(is_not_past)
        }
        [year, month, day] => {
            let year = resolve_year(year, today.year())?;
            let date =
                NaiveDate::from_ymd_opt(year, parse_two_digits(month)?, parse_two_digits(day)?)?;
            time.on(date)
        }
        _ => None,
    }
}

/// Parses a year of four digits, or of two digits in the current century.
fn resolve_year(text: &str, this_year: i32) -> Option<i32> {
    match text.len() {
        2 => Some(this_year / 100 * 100 + parse_two_digits(text)? as i32),
        4 => {
            let (century, year) = text.split_at_checked(2)?;
            Some(parse_two_digits(century)? as i32 * 100 + parse_two_digits(year)? as i32)
        }
        _ => None,
    }
}

#[cfg(test)]
mod tests;
