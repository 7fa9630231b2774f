use super::*;

#[test]
fn ids_convert_to_keys_and_back() {
    let mut ids = IdRegistry::new("n0-7".to_owned());
    let key = ids.allocate();
    assert_eq!(ids.id(key).to_string(), "n0-7-0");
    assert_eq!(ids.parse("n0-7-0"), Some(key));
    let other = ids.parse_or_register("n0-6-3").unwrap();
    assert_eq!(ids.id(other).to_string(), "n0-6-3");
    assert_eq!(
        ids.parse_or_register("n0-7-5").map(|_| ids.allocate()),
        ids.parse("n0-7-6")
    );
    for invalid in [
        "",
        "-",
        "n0-7-",
        "n0-7-00",
        "n0-7-+0",
        "n0-8-0",
        "n0-7-1099511627776",
    ] {
        assert_eq!(ids.parse(invalid), None, "{invalid}");
    }
}
