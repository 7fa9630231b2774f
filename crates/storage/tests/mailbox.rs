//! All interleavings of the mailbox between the loop and the disk thread: `RUSTFLAGS="--cfg loom" cargo test -p
//! marbledeck-storage --test mailbox --release`.
#![cfg(loom)]

use marbledeck_storage::{mailbox, Closed};

/// Nothing that was taken is lost, and the receiver ends when the sender does: a lost wake-up would be a deadlock, which
/// the model finds.
#[test]
fn all_that_is_sent_is_received_in_order() {
    loom::model(|| {
        let (sender, receiver) = mailbox(4);
        let thread = loom::thread::spawn(move || {
            let mut got = Vec::new();
            while let Ok(some) = receiver.wait() {
                got.extend(some);
            }
            got
        });
        for n in 0..3 {
            sender.send(n).expect("there is room");
        }
        drop(sender);
        assert_eq!(thread.join().expect("it ends"), [0, 1, 2]);
    });
}

/// A full mailbox refuses, and what was refused never arrives.
#[test]
fn a_full_mailbox_refuses() {
    loom::model(|| {
        let (sender, receiver) = mailbox(1);
        let thread = loom::thread::spawn(move || {
            let mut got = Vec::new();
            while let Ok(some) = receiver.wait() {
                got.extend(some);
            }
            got
        });
        let taken: Vec<i32> = (0..2).filter(|n| sender.send(*n) != Err(Closed)).collect();
        drop(sender);
        assert_eq!(thread.join().expect("it ends"), taken);
    });
}
