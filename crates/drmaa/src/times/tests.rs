//! Unit tests of partial timestamps.

use super::*;

fn resolve(text: &str) -> Option<String> {
    let now = DateTime::parse_from_rfc3339("2026-12-01T14:00:00+00:00").unwrap();
    let timestamp_ms = parse(&format!("{text} +00:00"), now.with_timezone(&Local)).ok()?;
    let time = DateTime::from_timestamp_millis(timestamp_ms as i64)?;
    Some(time.format("%Y-%m-%d %H:%M:%S").to_string())
}

#[test]
fn partial_timestamps_resolve_to_the_next_occurrence() {
    let resolved = |text| resolve(text).unwrap_or_default();
    assert_eq!(resolved("15:30"), "2026-12-01 15:30:00");
    assert_eq!(resolved("13:30:09"), "2026-12-02 13:30:09");
    assert_eq!(resolved("03 10:00"), "2026-12-03 10:00:00");
    assert_eq!(resolved("01 10:00"), "2027-01-01 10:00:00");
    assert_eq!(resolved("31 10:00"), "2026-12-31 10:00:00");
    assert_eq!(resolved("11/30 10:00"), "2027-11-30 10:00:00");
    assert_eq!(resolved("02/29 10:00"), "2028-02-29 10:00:00");
    assert_eq!(resolved("27/01/05 10:00"), "2027-01-05 10:00:00");
    assert_eq!(resolved("2031/01/05 10:00:59"), "2031-01-05 10:00:59");
    for invalid in [
        "",
        "15",
        "25:00",
        "15:60",
        "1:30",
        "2027/13/01 10:00",
        "é/01 10:00",
        // Four bytes, and a character across the middle of them.
        "1é2/01/05 10:00",
        "x y z 10:00",
    ] {
        assert_eq!(resolve(invalid), None, "{invalid}");
    }
    let now = Local::now();
    assert!(parse("10:00 +01:00", now).is_ok());
    assert!(parse("10:00 +1:00", now).is_err());
    assert!(parse("10:00 +", now).is_err());
}
