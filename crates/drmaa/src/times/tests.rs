//! Tests of the module `times`.

use super::*;

fn resolve(text: &str) -> Option<String> {
    let now = DateTime::parse_from_rfc3339("2026-12-01T14:00:00+00:00").unwrap();
    let timestamp_ms = read(&format!("{text} +00:00"), now.with_timezone(&Local)).ok()?;
    let time = DateTime::from_timestamp_millis(timestamp_ms as i64)?;
    Some(time.format("%Y-%m-%d %H:%M:%S").to_string())
}

#[test]
fn partial_timestamps_mean_their_next_occurrence() {
    let of = |text| resolve(text).unwrap_or_default();
    assert_eq!(of("15:30"), "2026-12-01 15:30:00");
    assert_eq!(of("13:30:09"), "2026-12-02 13:30:09");
    assert_eq!(of("03 10:00"), "2026-12-03 10:00:00");
    assert_eq!(of("01 10:00"), "2027-01-01 10:00:00");
    assert_eq!(of("31 10:00"), "2026-12-31 10:00:00");
    assert_eq!(of("11/30 10:00"), "2027-11-30 10:00:00");
    assert_eq!(of("02/29 10:00"), "2028-02-29 10:00:00");
    assert_eq!(of("27/01/05 10:00"), "2027-01-05 10:00:00");
    assert_eq!(of("2031/01/05 10:00:59"), "2031-01-05 10:00:59");
    for wrong in [
        "",
        "15",
        "25:00",
        "15:60",
        "1:30",
        "2027/13/01 10:00",
        "é/01 10:00",
        "x y z 10:00",
    ] {
        assert_eq!(resolve(wrong), None, "{wrong}");
    }
    let now = Local::now();
    assert!(read("10:00 +01:00", now).is_ok());
    assert!(read("10:00 +1:00", now).is_err());
    assert!(read("10:00 +", now).is_err());
}
