//! Partial timestamps (GFD.133, `drmaa_start_time`): `[[[[CC]YY/]MM/]DD] hh:mm[:ss] [{-|+}UU:uu]`. What is left out is
//! taken from now; without an offset the local one counts; a time that is over means its next occurrence, as far as
//! what was left out allows one.

use crate::errno::{Errno, Failure, Result};
use chrono::{DateTime, Datelike, Days, FixedOffset, Local, Months, NaiveDate, TimeZone};

/// Resolves a partial timestamp against the present time; returns milliseconds since 1970.
///
/// # Errors
/// `InvalidAttributeFormat` for text of another format.
pub fn read(text: &str, now: DateTime<Local>) -> Result<u64> {
    let format_error = || {
        let message = format!("'{text}': want [[[[CC]YY/]MM/]DD] hh:mm[:ss] [{{-|+}}UU:uu]");
        Failure::new(Errno::InvalidAttributeFormat, message)
    };
    let time = parse(text, now).ok_or_else(format_error)?;
    u64::try_from(time.timestamp_millis()).map_err(|_| format_error())
}

/// A number of exactly two digits.
fn two_digits(text: &str) -> Option<u32> {
    let plain = text.len() == 2 && text.bytes().all(|b| b.is_ascii_digit());
    text.parse().ok().filter(|_| plain)
}

/// The clock time of a timestamp, and its offset.
struct ClockTime {
    hour: u32,
    minute: u32,
    second: u32,
    offset: FixedOffset,
}

impl ClockTime {
    /// Reads `hh:mm[:ss]`.
    fn parse(text: &str, offset: FixedOffset) -> Option<Self> {
        let parts: Vec<u32> = text.split(':').map(two_digits).collect::<Option<_>>()?;
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

    /// This time on a day; none if there is no such time.
    fn on(&self, day: NaiveDate) -> Option<DateTime<FixedOffset>> {
        let time = day.and_hms_opt(self.hour, self.minute, self.second)?;
        self.offset.from_local_datetime(&time).single()
    }
}

/// Resolves a partial timestamp; none for text of another format, or a time that does not exist.
fn parse(text: &str, now: DateTime<Local>) -> Option<DateTime<FixedOffset>> {
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

/// Reads an offset, `{-|+}UU:uu`.
fn parse_offset(zone: &str) -> Option<FixedOffset> {
    let (hours, minutes) = zone[1..].split_once(':')?;
    let hours = two_digits(hours)? as i32;
    let minutes = two_digits(minutes).filter(|minutes| *minutes < 60)? as i32;
    let seconds = hours * 3600 + minutes * 60;
    if zone.starts_with('-') {
        FixedOffset::west_opt(seconds)
    } else {
        FixedOffset::east_opt(seconds)
    }
}

/// The next occurrence of a partial date, `[[[CC]YY/]MM/]DD`, at this time of the day.
fn resolve_date(
    date: &str,
    time: &ClockTime,
    now: DateTime<FixedOffset>,
) -> Option<DateTime<FixedOffset>> {
    let today = now.date_naive();
    let is_ahead = |candidate: &DateTime<FixedOffset>| *candidate >= now;
    let parts: Vec<&str> = date.split('/').collect();
    match parts[..] {
        [day] => {
            let day = two_digits(day)?;
            let first_of_month = today.with_day(1)?;
            let mut candidates = (0..12)
                .filter_map(|months| first_of_month.checked_add_months(Months::new(months)))
                .filter_map(|month| time.on(month.with_day(day)?));
            candidates.find(is_ahead)
        }
        [month, day] => {
            let month = two_digits(month)?;
            let day = two_digits(day)?;
            // Nine years hold a leap day, also around a century without one.
            let mut candidates = (today.year()..today.year() + 9)
                .filter_map(|year| time.on(NaiveDate::from_ymd_opt(year, month, day)?));
            candidates.find(is_ahead)
        }
        [year, month, day] => {
            let year = resolve_year(year, today.year())?;
            let date = NaiveDate::from_ymd_opt(year, two_digits(month)?, two_digits(day)?)?;
            time.on(date)
        }
        _ => None,
    }
}

/// Reads a year of two digits, in the present century, or of four.
fn resolve_year(text: &str, this_year: i32) -> Option<i32> {
    match text.len() {
        2 => Some(this_year / 100 * 100 + two_digits(text)? as i32),
        4 => Some(two_digits(&text[..2])? as i32 * 100 + two_digits(&text[2..])? as i32),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
