//! Unit tests of native specifications and contact strings.

use super::*;

#[test]
fn native_specifications_and_contact_strings_are_parsed() {
    let native = NativeSpecification::parse("class=preview  deadline=1500ms slots=2").unwrap();
    assert_eq!(native.class.as_deref(), Some("preview"));
    assert_eq!(native.deadline, Some(Duration::from_millis(1500)));
    for invalid in [
        "preview",
        "class=",
        "colour=red",
        "deadline=0s",
        "slots=-1",
        "max-parallel=0",
    ] {
        let failure = NativeSpecification::parse(invalid).unwrap_err();
        assert_eq!(failure.errno, Errno::InvalidAttributeFormat);
        assert!(failure.message.contains(invalid), "{}", failure.message);
    }
    let ContactString { address, defaults } =
        ContactString::parse(" 127.0.0.1:7100 tenant=au class=preview").unwrap();
    assert_eq!(
        (address.as_str(), defaults.tenant.as_deref()),
        ("127.0.0.1:7100", Some("au"))
    );
    for invalid in ["", "here", ":7100", "a:b", "127.0.0.1:7100 nonsense"] {
        assert_eq!(
            ContactString::parse(invalid).unwrap_err().errno,
            Errno::InvalidContactString
        );
    }
}
