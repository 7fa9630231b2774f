//! Tests how long a list may be used after discovery has begun to send a newer one.

use marbledeck_dispatcher::Micros;
use marbledeck_node::discovery::ListTrust;

const GRACE: Micros = Micros(400_000);
/// The longest pause of a process after its last reading of the clock.
const LONGEST_PAUSE: Micros = Micros(150_000);

fn ms(ms: u64) -> Micros {
    Micros(ms * 1000)
}

#[test]
fn trust_in_a_list_ends_early_enough_for_a_paused_process() {
    let mut trust = ListTrust::new(GRACE);
    trust.begin_answer(7, ms(1000));
    let expiry = trust.next_expiry().expect("an incomplete answer");
    assert!(expiry + LONGEST_PAUSE < ms(1000) + GRACE);
    assert_eq!(trust.expire(expiry - Micros(1)), None);
    assert_eq!(trust.trusted_from(), 0);
    assert_eq!(trust.expire(expiry), Some(expiry - ms(1000)));
    assert_eq!((trust.trusted_from(), trust.next_expiry()), (7, None));
    assert!(trust.complete_answer());
    assert_eq!(trust.trusted_from(), 0);
}

/// Workers that an incomplete answer has listed stay in use until the next answer has been incomplete for as long.
#[test]
fn each_incomplete_answer_has_its_own_expiry() {
    let mut trust = ListTrust::new(GRACE);
    trust.begin_answer(7, ms(1000));
    trust.begin_answer(8, ms(1100));
    let first = trust.next_expiry().expect("an incomplete answer");
    trust.expire(first);
    assert_eq!(trust.trusted_from(), 7);
    trust.expire(first + ms(100));
    assert_eq!(trust.trusted_from(), 8);
}

#[test]
fn an_answer_that_is_read_in_time_or_cancelled_ends_no_trust() {
    let mut trust = ListTrust::new(GRACE);
    trust.begin_answer(7, ms(1000));
    assert!(trust.is_behind());
    assert!(!trust.complete_answer());
    trust.begin_answer(8, ms(2000));
    trust.cancel_answer(8);
    assert!(!trust.is_behind());
    assert_eq!(trust.expire(ms(9000)), None);
}

/// Without a grace period, or with one shorter than the longest pause, trust in a list ends when the next answer
/// begins.
#[test]
fn without_a_grace_trust_ends_with_the_first_byte_of_the_next_list() {
    let mut trust = ListTrust::new(Micros(0));
    trust.begin_answer(7, ms(1000));
    trust.expire(ms(1000));
    assert_eq!(trust.trusted_from(), 7);
}
