//! A TCP proxy that simulates a network link between two processes. A test can delay or stall each direction
//! independently.

use crate::accept::{listen, serve_connections};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// Read timeout, after which an idle direction checks whether its connection was reset.
const READ_TIMEOUT: Duration = Duration::from_millis(20);

/// How the link forwards the bytes of one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Bytes are forwarded at once.
    Open,
    /// Bytes are held back until the direction has another state.
    Stalled,
    /// Bytes are forwarded after this delay.
    Delayed(Duration),
}

struct State {
    target: Option<SocketAddr>,
    forward: LinkState,
    backward: LinkState,
    /// Number of resets. A connection is closed when this differs from its value at the start of the connection.
    resets: usize,
}

/// A network link, which forwards until the program exits.
#[derive(Clone)]
pub struct NetworkLink {
    /// The address at which it listens.
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl NetworkLink {
    /// Starts a link without a target on a free port.
    ///
    /// # Panics
    /// The listener cannot be bound.
    pub fn start() -> Self {
        let (listener, address) = listen();
        let state = State {
            target: None,
            forward: LinkState::Open,
            backward: LinkState::Open,
            resets: 0,
        };
        let link = NetworkLink {
            address,
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        serve_connections(listener, link.clone(), NetworkLink::serve);
        link
    }

    /// Reads or changes the state, and wakes the directions that wait for a change.
    fn with_state<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let result = change(&mut self.state.0.lock().expect("the lock is not poisoned"));
        self.state.1.notify_all();
        result
    }

    /// Sets the target of new connections; with `None` new connections are closed at once.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        self.with_state(|state| state.target = target);
    }

    /// Sets the states of the directions to the target (`forward`) and from it (`backward`).
    pub fn set_state(&self, forward: LinkState, backward: LinkState) {
        self.with_state(|state| {
            state.forward = forward;
            state.backward = backward;
        });
    }

    /// Closes all open connections.
    pub fn reset_connections(&self) {
        self.with_state(|state| state.resets += 1);
    }

    fn serve(&self, client: TcpStream) {
        let (target, resets) = self.with_state(|state| (state.target, state.resets));
        let Some(server) = target.and_then(|target| TcpStream::connect(target).ok()) else {
            return;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (Ok(reader), Ok(writer)) = (client.try_clone(), server.try_clone()) else {
            return;
        };
        let link = self.clone();
        std::thread::spawn(move || link.copy(reader, writer, resets, |state| state.forward));
        self.copy(server, client, resets, |state| state.backward);
    }

    /// Copies one direction until either side closes its connection or the link is reset.
    fn copy(
        &self,
        mut from: TcpStream,
        mut to: TcpStream,
        resets: usize,
        direction: impl Fn(&State) -> LinkState,
    ) {
        let _ = from.set_read_timeout(Some(READ_TIMEOUT));
        let mut bytes = [0; 16 * 1024];
        loop {
            let read = from.read(&mut bytes);
            let mut state = self.state.0.lock().expect("the lock is not poisoned");
            while state.resets == resets && direction(&state) == LinkState::Stalled {
                state = self.state.1.wait(state).expect("the lock is not poisoned");
            }
            let (is_reset, link_state) = (state.resets != resets, direction(&state));
            drop(state);
            let stays_open = match read {
                _ if is_reset => false,
                Ok(0) => false,
                Ok(length) => {
                    if let LinkState::Delayed(delay) = link_state {
                        std::thread::sleep(delay);
                    }
                    to.write_all(&bytes[..length]).is_ok()
                }
                Err(e) => matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
            };
            if !stays_open {
                let _ = from.shutdown(Shutdown::Both);
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}
