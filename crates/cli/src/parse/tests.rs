use super::*;

#[test]
fn durations_and_times_are_parsed_or_named_in_the_error() {
    assert_eq!(parse_duration("1500ms"), Ok(Duration::from_millis(1500)));
    assert_eq!(parse_duration("2m"), Ok(Duration::from_secs(120)));
    assert_eq!(parse_duration("0.5"), Ok(Duration::from_millis(500)));
    for wrong in ["", "s", "-1s", "3d", "1e400s", "1..2s"] {
        let error = parse_duration(wrong).unwrap_err().to_string();
        assert!(error.contains(wrong), "{wrong}");
    }
    assert_eq!(parse_time("1.5"), Ok(1500));
    assert!(parse_time("+1h").unwrap() > 3_600_000);
    assert!(parse_time("soon").is_err());
}
