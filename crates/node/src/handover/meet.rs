//! The start of a process that may replace another: it asks at the path where that one would listen.

use super::HEAD;
use crate::net::PASSED;
use rustix::fd::OwnedFd;
use rustix::net::{RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags};
use serde::de::DeserializeOwned;
use std::io::{self, IoSliceMut, Read};
use std::mem::MaybeUninit;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::{Duration, Instant};

/// How long the running process may take to answer: one that hangs must not keep the new one from serving.
const PATIENCE: Duration = Duration::from_secs(1);
/// The longest bequest, in bytes.
const LONGEST: usize = 1 << 20;

/// What the running process has handed on.
pub struct Met<T> {
    pub link: UnixStream,
    pub listeners: Vec<OwnedFd>,
    pub bequest: T,
}

/// Asks the running process, if there is one.
pub fn meet<T: DeserializeOwned>(path: &Path) -> Option<Met<T>> {
    match ask(path) {
        Ok(met) => Some(met),
        Err(e) if e.kind() == io::ErrorKind::NotFound => None,
        Err(e) => {
            log::warn!("{}: {e}; starting without it", path.display());
            None
        }
    }
}

fn ask<T: DeserializeOwned>(path: &Path) -> io::Result<Met<T>> {
    let until = Instant::now() + PATIENCE;
    let link = UnixStream::connect(path)?;
    // No byte more than the bequest: what follows are words for the loop.
    let mut head = [0; HEAD];
    let listeners = patient(&link, until, |link| receive(link, &mut head))?;
    let length = std::str::from_utf8(&head).ok();
    let length = length.and_then(|text| usize::from_str_radix(text.trim_end(), 16).ok());
    let length = length.filter(|length| *length <= LONGEST);
    let mut body = vec![0; length.ok_or(io::ErrorKind::InvalidData)?];
    let mut read = 0;
    while read < body.len() {
        read += match patient(&link, until, |mut link| link.read(&mut body[read..]))? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            n => n,
        };
    }
    let bequest = serde_json::from_slice(&body)?;
    link.set_nonblocking(true)?;
    Ok(Met {
        link,
        listeners,
        bequest,
    })
}

/// Reads, and waits no longer than until then.
fn patient<T>(
    link: &UnixStream,
    until: Instant,
    read: impl FnOnce(&UnixStream) -> io::Result<T>,
) -> io::Result<T> {
    let left = until.saturating_duration_since(Instant::now());
    // A span of zero would stand for any time.
    link.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    read(link)
}

/// Reads the head, and takes the descriptors that come with it.
fn receive(link: &UnixStream, head: &mut [u8; HEAD]) -> io::Result<Vec<OwnedFd>> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(PASSED))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut parts = [IoSliceMut::new(head)];
    let flags = RecvFlags::CMSG_CLOEXEC | RecvFlags::WAITALL;
    let got = rustix::net::recvmsg(link, &mut parts, &mut control, flags)?;
    let mut listeners = Vec::new();
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(passed) = message {
            listeners.extend(passed);
        }
    }
    match got.bytes {
        HEAD => Ok(listeners),
        _ => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}
