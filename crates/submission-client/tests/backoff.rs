//! Bounds of the pauses before retries.

use marbledeck_submission_client::Backoff;
use std::time::Duration;

#[test]
fn pauses_respect_the_doubling_bound_and_the_delay_asked_for_by_the_node() {
    let ms = Duration::from_millis;
    let mut backoff = Backoff::new(ms(10), ms(65));
    let bounds: Vec<Duration> = (0..5)
        .map(|_| {
            let bound = backoff.bound();
            assert!(backoff.next_pause(None) <= bound);
            bound
        })
        .collect();
    assert_eq!(bounds, [10, 20, 40, 65, 65].map(ms));
    for _ in 0..100 {
        let pause = backoff.next_pause(Some(ms(100)));
        assert!((ms(100)..=ms(150)).contains(&pause));
    }
    backoff.reset();
    assert_eq!(backoff.bound(), ms(10));
}
