//! A network link between two processes: bytes pass, pass late or stall, each direction by itself, as long as the test
//! says so.

use crate::accept::{listen, serve_connections};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// How often a direction without bytes looks whether its connection was reset.
const READ_TIMEOUT: Duration = Duration::from_millis(20);

/// What becomes of the bytes of one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// They pass.
    Open,
    /// They wait until the direction is open again.
    Stalled,
    /// They pass so much later.
    Delayed(Duration),
}

struct State {
    target: Option<SocketAddr>,
    forward: LinkState,
    backward: LinkState,
    /// Counts the resets: connections from before one are closed.
    resets: usize,
}

/// The link; it works until the program ends.
#[derive(Clone)]
pub struct NetworkLink {
    /// Where to connect.
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl NetworkLink {
    /// Listens on a free port; connects nowhere yet.
    ///
    /// # Panics
    /// No port is free.
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

    fn with_state<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let result = change(&mut self.state.0.lock().expect("no panic holds it"));
        self.state.1.notify_all();
        result
    }

    /// New connections go there from now on; nowhere where there is none.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        self.with_state(|state| state.target = target);
    }

    /// What becomes of bytes, those towards the target and those that come back.
    pub fn set_state(&self, forward: LinkState, backward: LinkState) {
        self.with_state(|state| {
            state.forward = forward;
            state.backward = backward;
        });
    }

    /// Closes all connections that there are.
    pub fn reset_connections(&self) {
        self.with_state(|state| state.resets += 1);
    }

    fn serve(&self, near: TcpStream) {
        let (target, resets) = self.with_state(|state| (state.target, state.resets));
        let Some(far) = target.and_then(|target| TcpStream::connect(target).ok()) else {
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (Ok(from_near), Ok(to_far)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        let own = self.clone();
        std::thread::spawn(move || own.copy(from_near, to_far, resets, |state| state.forward));
        self.copy(far, near, resets, |state| state.backward);
    }

    /// Copies one direction until either end closes or the link is reset.
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
            let mut state = self.state.0.lock().expect("no panic holds it");
            while state.resets == resets && direction(&state) == LinkState::Stalled {
                state = self.state.1.wait(state).expect("no panic holds it");
            }
            let (is_reset, link_state) = (state.resets != resets, direction(&state));
            drop(state);
            let goes_on = match read {
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
            if !goes_on {
                let _ = from.shutdown(Shutdown::Both);
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}
