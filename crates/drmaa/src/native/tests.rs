//! Tests of the module `native`.

use super::*;

#[test]
fn native_specifications_and_contacts_are_read() {
    let native = Native::read("class=preview  deadline=1500ms slots=2").unwrap();
    assert_eq!(native.class.as_deref(), Some("preview"));
    assert_eq!(native.deadline, Some(Duration::from_millis(1500)));
    for wrong in [
        "preview",
        "class=",
        "colour=red",
        "deadline=0s",
        "slots=-1",
        "max-parallel=0",
    ] {
        let failure = Native::read(wrong).unwrap_err();
        assert_eq!(failure.errno, Errno::InvalidAttributeFormat);
        assert!(failure.message.contains(wrong), "{}", failure.message);
    }
    let ContactString { address, defaults } =
        ContactString::parse(" 127.0.0.1:7100 tenant=au class=preview").unwrap();
    assert_eq!(
        (address.as_str(), defaults.tenant.as_deref()),
        ("127.0.0.1:7100", Some("au"))
    );
    for wrong in ["", "here", ":7100", "a:b", "127.0.0.1:7100 nonsense"] {
        assert_eq!(
            ContactString::parse(wrong).unwrap_err().errno,
            Errno::InvalidContactString
        );
    }
}
