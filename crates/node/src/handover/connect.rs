//! The handover as seen by a starting process: it connects to the Unix socket of the process that it replaces, and
//! receives its listening sockets and its state.

use super::{HEAD_LENGTH, MAX_STATE_LENGTH};
use crate::net::MAX_PASSED_LISTENERS;
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use rustix::net::{RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags};
use serde::de::DeserializeOwned;
use std::io::{self, IoSliceMut, Read};
use std::mem::MaybeUninit;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::{Duration, Instant};

/// The time limit for receiving the state. A running process that hangs must not keep the new one from serving.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(1);
/// The shortest read timeout. The operating system takes zero as no timeout at all.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(1);

/// The link to the running process, and what it has passed on.
pub struct PredecessorLink<T> {
    /// The connection, over which messages are exchanged from now on.
    pub stream: UnixStream,
    /// The listening sockets of the running process.
    pub listeners: Vec<OwnedFd>,
    /// The state of the running process.
    pub state: T,
}

/// Connects to the running process of this node, if there is one. After an error this process starts on its own.
pub fn connect<T: DeserializeOwned>(path: &Path) -> Option<PredecessorLink<T>> {
    match try_connect(path) {
        Ok(link) => Some(link),
        Err(e) if e.kind() == io::ErrorKind::NotFound => None,
        Err(e) => {
            log::warn!(
                "cannot take over from the running process at {}: {e}; starting without its sockets and state",
                path.display()
            );
            None
        }
    }
}

fn try_connect<T: DeserializeOwned>(path: &Path) -> io::Result<PredecessorLink<T>> {
    let deadline = Instant::now() + RECEIVE_TIMEOUT;
    let stream = UnixStream::connect(path)?;
    // Reads exactly the head and the state. The bytes after them are messages for the event loop.
    let mut head = [0; HEAD_LENGTH];
    set_read_deadline(&stream, deadline)?;
    let listeners = receive_head(&stream, &mut head, deadline)?;
    let length = parse_length(&head).ok_or(io::ErrorKind::InvalidData)?;
    let body = read_exactly(&stream, length, deadline)?;
    let state = serde_json::from_slice(&body)?;
    stream.set_nonblocking(true)?;
    Ok(PredecessorLink {
        stream,
        listeners,
        state,
    })
}

/// The length of the state; none if the head is malformed or the state too long.
fn parse_length(head: &[u8; HEAD_LENGTH]) -> Option<usize> {
    let text = std::str::from_utf8(head).ok()?;
    let length = usize::from_str_radix(text.trim_end(), 16).ok()?;
    (length <= MAX_STATE_LENGTH).then_some(length)
}

fn read_exactly(mut stream: &UnixStream, length: usize, deadline: Instant) -> io::Result<Vec<u8>> {
    let mut body = vec![0; length];
    let mut read = 0;
    while read < body.len() {
        set_read_deadline(stream, deadline)?;
        match stream.read(&mut body[read..]) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(length) => read += length,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(body)
}

/// Sets the read timeout to the time left until the deadline.
fn set_read_deadline(stream: &UnixStream, deadline: Instant) -> io::Result<()> {
    let left = deadline.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(MIN_READ_TIMEOUT)))
}

/// Reads the head and the file descriptors that are sent with it.
fn receive_head(
    stream: &UnixStream,
    head: &mut [u8; HEAD_LENGTH],
    deadline: Instant,
) -> io::Result<Vec<OwnedFd>> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_PASSED_LISTENERS))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let flags = RecvFlags::CMSG_CLOEXEC | RecvFlags::WAITALL;
    // A receive with a timeout is not restarted after a signal.
    let received = loop {
        let mut parts = [IoSliceMut::new(head)];
        match rustix::net::recvmsg(stream, &mut parts, &mut control, flags) {
            Err(Errno::INTR) => {}
            received => break received?,
        }
    };
    let mut listeners = Vec::new();
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(passed) = message {
            listeners.extend(passed);
        }
    }
    if received.bytes == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    // A signal may also end the receive after a part of the head.
    let rest = read_exactly(stream, HEAD_LENGTH - received.bytes, deadline)?;
    head[received.bytes..].copy_from_slice(&rest);
    Ok(listeners)
}
