//! The start of a process that may replace another: it connects to the socket where that one would listen, and takes
//! over its listeners and its state.

use super::{HEAD_LENGTH, MAX_STATE_LENGTH};
use crate::net::MAX_PASSED_LISTENERS;
use rustix::fd::OwnedFd;
use rustix::net::{RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags};
use serde::de::DeserializeOwned;
use std::io::{self, IoSliceMut, Read};
use std::mem::MaybeUninit;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::{Duration, Instant};

/// How long the running process may take to answer: one that hangs must not keep the new one from serving.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// A read timeout of zero would stand for none.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(1);

/// What the running process has passed on.
pub struct PredecessorLink<T> {
    /// The connection, over which messages follow.
    pub stream: UnixStream,
    /// Its listening sockets.
    pub listeners: Vec<OwnedFd>,
    /// Its state.
    pub state: T,
}

/// Connects to the running process of this node, if there is one.
pub fn connect<T: DeserializeOwned>(path: &Path) -> Option<PredecessorLink<T>> {
    match try_connect(path) {
        Ok(link) => Some(link),
        Err(e) if e.kind() == io::ErrorKind::NotFound => None,
        Err(e) => {
            log::warn!("{}: {e}; starting without it", path.display());
            None
        }
    }
}

fn try_connect<T: DeserializeOwned>(path: &Path) -> io::Result<PredecessorLink<T>> {
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    let stream = UnixStream::connect(path)?;
    // No byte more than the state: what follows are messages for the event loop.
    let mut head = [0; HEAD_LENGTH];
    set_read_deadline(&stream, deadline)?;
    let listeners = receive_head(&stream, &mut head)?;
    let length = parse_length(&head).ok_or(io::ErrorKind::InvalidData)?;
    let body = read_body(&stream, length, deadline)?;
    let state = serde_json::from_slice(&body)?;
    stream.set_nonblocking(true)?;
    Ok(PredecessorLink {
        stream,
        listeners,
        state,
    })
}

fn parse_length(head: &[u8; HEAD_LENGTH]) -> Option<usize> {
    let text = std::str::from_utf8(head).ok()?;
    let length = usize::from_str_radix(text.trim_end(), 16).ok()?;
    (length <= MAX_STATE_LENGTH).then_some(length)
}

fn read_body(mut stream: &UnixStream, length: usize, deadline: Instant) -> io::Result<Vec<u8>> {
    let mut body = vec![0; length];
    let mut read = 0;
    while read < body.len() {
        set_read_deadline(stream, deadline)?;
        read += match stream.read(&mut body[read..])? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            length => length,
        };
    }
    Ok(body)
}

/// Has the next read wait no longer than to the deadline.
fn set_read_deadline(stream: &UnixStream, deadline: Instant) -> io::Result<()> {
    let left = deadline.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(MIN_READ_TIMEOUT)))
}

/// Reads the head, and takes the descriptors that come with it.
fn receive_head(stream: &UnixStream, head: &mut [u8; HEAD_LENGTH]) -> io::Result<Vec<OwnedFd>> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_PASSED_LISTENERS))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut parts = [IoSliceMut::new(head)];
    let flags = RecvFlags::CMSG_CLOEXEC | RecvFlags::WAITALL;
    let received = rustix::net::recvmsg(stream, &mut parts, &mut control, flags)?;
    let mut listeners = Vec::new();
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(passed) = message {
            listeners.extend(passed);
        }
    }
    match received.bytes {
        HEAD_LENGTH => Ok(listeners),
        _ => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}
