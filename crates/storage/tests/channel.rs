//! Model checking of the channel between the event loop and the writer thread, over all interleavings:
//! `RUSTFLAGS="--cfg loom" cargo test -p marbledeck-storage --test channel --release`.
#![cfg(loom)]

use marbledeck_storage::{bounded_channel, ChannelFull};

/// No accepted value is lost, and the receiver ends after the sender is dropped. `loom` reports a lost wake-up as a
/// deadlock.
#[test]
fn all_sent_values_are_received_in_order() {
    loom::model(|| {
        let (sender, receiver) = bounded_channel(4);
        let thread = loom::thread::spawn(move || {
            let mut received = Vec::new();
            while let Ok(values) = receiver.receive_all() {
                received.extend(values);
            }
            received
        });
        for n in 0..3 {
            sender.send(n).expect("there is room");
        }
        drop(sender);
        assert_eq!(thread.join().expect("it ends"), [0, 1, 2]);
    });
}

/// A value that a full channel rejects is never received.
#[test]
fn a_full_channel_rejects_a_value() {
    loom::model(|| {
        let (sender, receiver) = bounded_channel(1);
        let thread = loom::thread::spawn(move || {
            let mut received = Vec::new();
            while let Ok(values) = receiver.receive_all() {
                received.extend(values);
            }
            received
        });
        let accepted: Vec<i32> = (0..2)
            .filter(|n| sender.send(*n) != Err(ChannelFull))
            .collect();
        drop(sender);
        assert_eq!(thread.join().expect("it ends"), accepted);
    });
}
