//! Measures when the machine that runs a test stalled.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A thread that oversleeps by more than this shows that the machine stalled.
const STALL: Duration = Duration::from_millis(20);
/// How long the measuring thread sleeps at a time.
const SLEEP: Duration = Duration::from_millis(2);

/// Records when and for how long this machine stalled. A delay during such a stall, which stops the workers' clocks,
/// too, is not the node's fault.
#[derive(Clone, Default)]
pub struct StallMeter(Arc<Mutex<Vec<(Instant, Duration)>>>);

impl StallMeter {
    /// Starts a thread that measures until `stop` is set.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn start(stop: Arc<AtomicBool>) -> Self {
        let meter = StallMeter::default();
        let found = meter.clone();
        std::thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let before = Instant::now();
                sleep(SLEEP);
                let stall = before.elapsed();
                if stall > STALL {
                    let mut stalls = found.0.lock().expect("the lock is not poisoned");
                    stalls.push((before, stall));
                }
            }
        });
        meter
    }

    /// Returns the total duration of the stalls that began between two moments.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn between(&self, from: Instant, to: Instant) -> Duration {
        let found = self.0.lock().expect("the lock is not poisoned");
        let within = found.iter().filter(|(at, _)| *at >= from && *at <= to);
        within.map(|(_, stall)| *stall).sum()
    }
}
