//! The event loop's sockets, without a node.

use marbledeck_dispatcher::Micros;
use marbledeck_node::net::{Net, Peer};
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;

/// More bytes than the loop reads from a connection in one turn.
const MORE_THAN_ONE_READ: usize = 64 * 1024 + 1;

/// All input that a peer sent before it left is read, although a later write to it fails. Guards against losing what
/// the other process of a node sent just before its exit.
#[test]
fn input_sent_before_the_peer_left_is_read_though_a_write_fails() {
    let (ours, mut theirs) = UnixStream::pair().unwrap();
    ours.set_nonblocking(true).unwrap();
    let mut net = Net::new().unwrap();
    let token = net.add_connection(ours.into(), Peer::Partner).unwrap();
    let bytes = vec![b'w'; 150_000];
    theirs.set_nonblocking(true).unwrap();
    let sent = theirs.write(&bytes).unwrap();
    assert!(
        sent > MORE_THAN_ONE_READ,
        "the socket must hold more than one turn reads"
    );
    drop(theirs);
    assert!(net.write(token, b"too late"));
    net.flush(Micros(1));
    let mut events = Vec::new();
    for _ in 0..8 {
        net.wait(Micros(1), Some(Micros(1)), &mut events);
        for event in events.drain(..) {
            net.process_event(event);
        }
        net.flush(Micros(1));
    }
    let conn = net.get(token).unwrap();
    assert!(conn.broken || conn.eof);
    assert_eq!(conn.input.len(), sent);
}

/// Guards against room that is made by closing a connection whose output is not written yet: its peer would lose the
/// end of the output.
#[test]
fn a_closing_connection_gives_up_its_descriptor_only_after_its_output() {
    let (ours, mut theirs) = UnixStream::pair().unwrap();
    ours.set_nonblocking(true).unwrap();
    let mut net = Net::new().unwrap();
    let token = net.add_connection(ours.into(), Peer::Client).unwrap();
    assert!(net.write(token, b"the answer"));
    net.close_after_flush(token);
    assert!(net.close_oldest_lingering(Peer::Client));
    let mut received = String::new();
    theirs.read_to_string(&mut received).unwrap();
    assert_eq!(received, "the answer");
}

/// As above, with a peer that reads too slowly for its output to be written at once.
#[test]
fn a_closing_connection_with_unwritten_output_stays() {
    let (ours, mut theirs) = UnixStream::pair().unwrap();
    ours.set_nonblocking(true).unwrap();
    let mut net = Net::new().unwrap();
    let token = net.add_connection(ours.into(), Peer::Client).unwrap();
    let answer = vec![b'a'; MORE_THAN_ONE_READ];
    let mut written = 0;
    // Fills the socket's buffer, so that the last answer cannot be written.
    while net.has_room(token, 0) {
        assert!(net.write(token, &answer));
        written += answer.len();
    }
    net.close_after_flush(token);
    assert!(!net.close_oldest_lingering(Peer::Client));
    let mut received = vec![0; written];
    theirs.set_nonblocking(true).unwrap();
    let mut length = 0;
    while length < written {
        length += theirs.read(&mut received[length..]).unwrap_or(0);
        net.touch(token);
        net.flush(Micros(1));
    }
    assert!(net.close_oldest_lingering(Peer::Client));
}
