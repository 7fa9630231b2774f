//! The signals that the event loop handles.

use crate::net::{Net, Peer};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;

/// The non-blocking read ends of the pipes that receive a byte at each signal.
pub struct Signals {
    /// SIGTERM.
    pub terminate: UnixStream,
    /// SIGHUP.
    pub reload: UnixStream,
}

impl Signals {
    /// Registers both pipes with the event loop.
    ///
    /// # Errors
    /// No file descriptor is free.
    pub(super) fn register(&self, net: &mut Net) -> io::Result<()> {
        net.add_signal_pipe(self.terminate.try_clone()?.into(), Peer::TerminateSignal)?;
        net.add_signal_pipe(self.reload.try_clone()?.into(), Peer::ReloadSignal)?;
        Ok(())
    }
}

/// Empties a signal's pipe, so that several pending signals are handled as one.
pub(super) fn drain(pipe: &mut UnixStream) {
    let mut bytes = [0; 16];
    while matches!(pipe.read(&mut bytes), Ok(length) if length > 0) {}
}
