//! A cable between two processes: bytes pass, pass late, or are lost without a word, each way by itself, as long as the
//! test says so.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// What becomes of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// They pass.
    Open,
    /// They wait, without a word, until the way is open again.
    Held,
    /// They pass so much later.
    Late(Duration),
}

struct State {
    to: Option<SocketAddr>,
    there: Way,
    back: Way,
    /// Counts the cuts: connections of before one are closed.
    cuts: usize,
}

/// The cable; it carries until the program ends.
#[derive(Clone)]
pub struct Cable {
    /// Where to connect.
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Cable {
    /// Listens on a free port; leads nowhere yet.
    ///
    /// # Panics
    /// No port is free.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = State {
            to: None,
            there: Way::Open,
            back: Way::Open,
            cuts: 0,
        };
        let cable = Cable {
            addr: listener.local_addr().expect("bound"),
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let own = cable.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                std::thread::spawn(move || own.carry(stream));
            }
        });
        cable
    }

    fn with<T>(&self, what: impl FnOnce(&mut State) -> T) -> T {
        let done = what(&mut self.state.0.lock().expect("no panic holds it"));
        self.state.1.notify_all();
        done
    }

    /// Leads there from now on.
    pub fn lead(&self, to: Option<SocketAddr>) {
        self.with(|state| state.to = to);
    }

    /// What becomes of bytes, those towards the far end and those that come back.
    pub fn set(&self, there: Way, back: Way) {
        self.with(|state| (state.there, state.back) = (there, back));
    }

    /// Closes all connections that there are.
    pub fn cut(&self) {
        self.with(|state| state.cuts += 1);
    }

    fn carry(&self, near: TcpStream) {
        let (to, cuts) = self.with(|state| (state.to, state.cuts));
        let Some(far) = to.and_then(|to| TcpStream::connect(to).ok()) else {
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        let own = self.clone();
        std::thread::spawn(move || own.pass(near2, far2, cuts, |state| state.there));
        self.pass(far, near, cuts, |state| state.back);
    }

    fn pass(
        &self,
        mut from: TcpStream,
        mut to: TcpStream,
        cuts: usize,
        way: impl Fn(&State) -> Way,
    ) {
        let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
        let mut bytes = [0; 16 * 1024];
        loop {
            let read = from.read(&mut bytes);
            let mut state = self.state.0.lock().expect("no panic holds it");
            while state.cuts == cuts && way(&state) == Way::Held {
                state = self.state.1.wait(state).expect("no panic holds it");
            }
            let (cut, late) = (state.cuts != cuts, way(&state));
            drop(state);
            let more = match read {
                _ if cut => false,
                Ok(0) => false,
                Ok(n) => {
                    if let Way::Late(span) = late {
                        std::thread::sleep(span);
                    }
                    to.write_all(&bytes[..n]).is_ok()
                }
                Err(e) => matches!(
                    e.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ),
            };
            if !more {
                let _ = from.shutdown(Shutdown::Both);
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}
