//! The loop's sockets, without a node.

use marbledeck_dispatcher::Micros;
use marbledeck_node::net::{Net, Peer};
use std::io::Write;
use std::os::unix::net::UnixStream;

/// A peer's last words count though it has gone by the time at which something is written to it, and however much
/// they are. Guards against losing what the other process of the node had told just before its end.
#[test]
fn last_words() {
    let (ours, mut theirs) = UnixStream::pair().unwrap();
    ours.set_nonblocking(true).unwrap();
    let mut net = Net::new().unwrap();
    let token = net.add_connection(ours.into(), Peer::Partner).unwrap();
    let words = vec![b'w'; 150_000];
    theirs.set_nonblocking(true).unwrap();
    let said = theirs.write(&words).unwrap();
    assert!(
        said > TURN_AND_MORE,
        "the socket holds more than a turn reads"
    );
    drop(theirs);
    assert!(net.write(token, b"too late"));
    net.flush(Micros(1));
    let mut happened = Vec::new();
    for _ in 0..8 {
        net.wait(Micros(1), Some(Micros(1)), &mut happened);
        for event in happened.drain(..) {
            net.process_event(event);
        }
        net.flush(Micros(1));
    }
    let conn = net.get(token).unwrap();
    assert!(conn.broken || conn.eof);
    assert_eq!(conn.input.len(), said);
}

const TURN_AND_MORE: usize = 64 * 1024 + 1;
