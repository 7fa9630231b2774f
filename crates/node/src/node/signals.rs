//! The signals that the event loop handles.

use crate::net::{Net, Peer};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;

/// The reading ends of the pipes that become readable at a signal; they do not block.
pub struct Signals {
    /// SIGTERM.
    pub end: UnixStream,
    /// SIGHUP.
    pub reload: UnixStream,
}

impl Signals {
    /// Has the event loop wait for them.
    ///
    /// # Errors
    /// There is no descriptor left.
    pub(super) fn register(&self, net: &mut Net) -> io::Result<()> {
        net.add_signal_pipe(self.end.try_clone()?.into(), Peer::TerminateSignal)?;
        net.add_signal_pipe(self.reload.try_clone()?.into(), Peer::ReloadSignal)?;
        Ok(())
    }
}

/// Takes all that a signal's pipe holds: several signals that have come by now are one.
pub(super) fn drain(pipe: &mut UnixStream) {
    let mut bytes = [0; 16];
    while matches!(pipe.read(&mut bytes), Ok(length) if length > 0) {}
}
