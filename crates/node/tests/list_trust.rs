//! The time for which a list may be used once discovery has begun to say something newer.

use marbledeck_dispatcher::Micros;
use marbledeck_node::discovery::ListTrust;

const GRACE: Micros = Micros(400_000);
/// A process may be held up for so long after its last look at the clock.
const HOLD_UP: Micros = Micros(150_000);

fn ms(ms: u64) -> Micros {
    Micros(ms * 1000)
}

#[test]
fn a_list_is_given_up_early_enough_for_a_process_that_is_held_up() {
    let mut trust = ListTrust::new(GRACE);
    trust.begin_answer(7, ms(1000));
    let expiry = trust.next_expiry().expect("an unread answer");
    assert!(expiry + HOLD_UP < ms(1000) + GRACE);
    assert_eq!(trust.expire(expiry - Micros(1)), None);
    assert_eq!(trust.trusted_from(), 0);
    assert_eq!(trust.expire(expiry), Some(expiry - ms(1000)));
    assert_eq!((trust.trusted_from(), trust.next_expiry()), (7, None));
    assert!(trust.complete_answer());
    assert_eq!(trust.trusted_from(), 0);
}

/// What a broken answer has named stays in use until the one after it has been unread for as long.
#[test]
fn each_unread_answer_has_its_own_time() {
    let mut trust = ListTrust::new(GRACE);
    trust.begin_answer(7, ms(1000));
    trust.begin_answer(8, ms(1100));
    let first = trust.next_expiry().expect("an unread answer");
    trust.expire(first);
    assert_eq!(trust.trusted_from(), 7);
    trust.expire(first + ms(100));
    assert_eq!(trust.trusted_from(), 8);
}

#[test]
fn an_answer_that_is_read_in_time_and_one_that_is_no_list_change_nothing() {
    let mut trust = ListTrust::new(GRACE);
    trust.begin_answer(7, ms(1000));
    assert!(trust.is_behind());
    assert!(!trust.complete_answer());
    trust.begin_answer(8, ms(2000));
    trust.cancel_answer(8);
    assert!(!trust.is_behind());
    assert_eq!(trust.expire(ms(9000)), None);
}

/// A site that grants no grace, or less than a process may be held up, trusts no list before an answer that has begun.
#[test]
fn without_a_grace_a_list_is_given_up_with_the_first_byte_of_the_next() {
    let mut trust = ListTrust::new(Micros(0));
    trust.begin_answer(7, ms(1000));
    trust.expire(ms(1000));
    assert_eq!(trust.trusted_from(), 7);
}
