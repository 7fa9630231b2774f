//! Partial timestamps (GFD.133, `drmaa_start_time`): `[[[[CC]YY/]MM/]DD] hh:mm[:ss] [{-|+}UU:uu]`. What is left out is
//! taken from now; without an offset the local one counts; a time that is over means its next occurrence, as far as
//! what was left out allows one.

use crate::errno::{Errno, Failure, Result};
use chrono::{DateTime, Datelike, Days, FixedOffset, Local, Months, NaiveDate, TimeZone};

/// Reads a timestamp; tells Unix milliseconds.
pub fn read(text: &str, now: DateTime<Local>) -> Result<u64> {
    let wrong = || {
        let words = format!("'{text}': want [[[[CC]YY/]MM/]DD] hh:mm[:ss] [{{-|+}}UU:uu]");
        Failure::new(Errno::InvalidAttributeFormat, words)
    };
    let at = parse(text, now).ok_or_else(wrong)?;
    u64::try_from(at.timestamp_millis()).map_err(|_| wrong())
}

/// A number of exactly two digits.
fn two(text: &str) -> Option<u32> {
    let plain = text.len() == 2 && text.bytes().all(|b| b.is_ascii_digit());
    text.parse().ok().filter(|_| plain)
}

fn parse(text: &str, now: DateTime<Local>) -> Option<DateTime<FixedOffset>> {
    let mut words: Vec<&str> = text.split_ascii_whitespace().collect();
    let mut offset = *now.offset();
    if let Some(zone) = words.last().filter(|word| word.starts_with(['+', '-'])) {
        let (hours, minutes) = zone[1..].split_once(':')?;
        let seconds = two(hours)? as i32 * 3600 + two(minutes).filter(|m| *m < 60)? as i32 * 60;
        offset = if zone.starts_with('-') {
            FixedOffset::west_opt(seconds)?
        } else {
            FixedOffset::east_opt(seconds)?
        };
        words.pop();
    }
    let now = now.with_timezone(&offset);
    let (date, time) = match words[..] {
        [time] => (None, time),
        [date, time] => (Some(date), time),
        _ => return None,
    };
    let parts: Vec<u32> = time.split(':').map(two).collect::<Option<_>>()?;
    let (hour, minute, second) = match parts[..] {
        [hour, minute] => (hour, minute, 0),
        [hour, minute, second] => (hour, minute, second),
        _ => return None,
    };
    let at = |day: NaiveDate| {
        let time = day.and_hms_opt(hour, minute, second)?;
        offset.from_local_datetime(&time).single()
    };
    let today = now.date_naive();
    let later = |at: &DateTime<FixedOffset>| *at >= now;
    let Some(date) = date else {
        return at(today).filter(later).or_else(|| at(today + Days::new(1)));
    };
    let parts: Vec<&str> = date.split('/').collect();
    match parts[..] {
        [day] => {
            let day = two(day)?;
            // The next month that has such a day.
            let months =
                (0..12).filter_map(|n| today.with_day(1)?.checked_add_months(Months::new(n)));
            let mut found = months.filter_map(|month| at(month.with_day(day)?));
            found.find(later)
        }
        [month, day] => {
            let (month, day) = (two(month)?, two(day)?);
            let years = today.year()..today.year() + 9;
            let mut found = years.filter_map(|year| at(NaiveDate::from_ymd_opt(year, month, day)?));
            found.find(later)
        }
        [year, month, day] => {
            let century = today.year() / 100 * 100;
            let year = match year.len() {
                2 => century + two(year)? as i32,
                4 => two(&year[..2])? as i32 * 100 + two(&year[2..])? as i32,
                _ => return None,
            };
            at(NaiveDate::from_ymd_opt(year, two(month)?, two(day)?)?)
        }
        _ => None,
    }
}

#[cfg(test)]
mod tests;
