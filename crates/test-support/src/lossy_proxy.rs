//! A proxy between a submitter and a node that loses an answer: instead of forwarding a line of the node that the test
//! chooses, it closes the connection.

use crate::accept::{listen, serve_connections};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicI64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// Value of `lines_left` with which no line is lost.
const UNLIMITED: i64 = -1;

/// A proxy that loses answers. It forwards until the program exits.
#[derive(Clone)]
pub struct LossyProxy {
    /// The address at which it listens.
    pub address: SocketAddr,
    target: Arc<Mutex<String>>,
    /// Number of lines of the node that are forwarded before one is lost; negative if none is to be lost.
    lines_left: Arc<AtomicI64>,
    broken_connections: Arc<AtomicUsize>,
}

impl LossyProxy {
    /// Starts a proxy on a free port. `target` is the address of the node's submission front.
    ///
    /// # Panics
    /// The listener cannot be bound.
    pub fn start(target: &str) -> Self {
        let (listener, address) = listen();
        let proxy = LossyProxy {
            address,
            target: Arc::new(Mutex::new(target.to_owned())),
            lines_left: Arc::new(AtomicI64::new(UNLIMITED)),
            broken_connections: Arc::default(),
        };
        serve_connections(listener, proxy.clone(), LossyProxy::serve);
        proxy
    }

    /// Forwards this number of lines of the node, then closes the connection in place of the next line. After that all
    /// lines are forwarded again.
    pub fn lose_after(&self, lines: usize) {
        self.lines_left.store(lines as i64, Ordering::SeqCst);
    }

    /// Returns the number of connections that were closed in place of a line.
    pub fn broken_connections(&self) -> usize {
        self.broken_connections.load(Ordering::SeqCst)
    }

    fn serve(&self, client: TcpStream) {
        let target = self
            .target
            .lock()
            .expect("the lock is not poisoned")
            .clone();
        let Ok(node) = TcpStream::connect(target) else {
            return;
        };
        let _ = (client.set_nodelay(true), node.set_nodelay(true));
        let (Ok(mut to_node), Ok(to_client), Ok(mut from_client)) =
            (node.try_clone(), client.try_clone(), client.try_clone())
        else {
            return;
        };
        std::thread::spawn(move || {
            let _ = std::io::copy(&mut from_client, &mut to_node);
            let _ = to_node.shutdown(Shutdown::Write);
        });
        self.copy_answers(&node, to_client);
        let _ = client.shutdown(Shutdown::Both);
        let _ = node.shutdown(Shutdown::Both);
    }

    /// Copies lines from the node until either side closes its connection or a line is to be lost.
    fn copy_answers(&self, node: &TcpStream, mut to_client: TcpStream) {
        let mut lines = BufReader::new(node);
        let mut line = Vec::new();
        loop {
            line.clear();
            match lines.read_until(b'\n', &mut line) {
                Ok(length) if length > 0 => {}
                _ => return,
            }
            let left = self.lines_left.load(Ordering::SeqCst);
            if left >= 0 {
                self.lines_left.store(left - 1, Ordering::SeqCst);
            }
            if left == 0 {
                self.broken_connections.fetch_add(1, Ordering::SeqCst);
                return;
            }
            if to_client.write_all(&line).is_err() {
                return;
            }
        }
    }
}
