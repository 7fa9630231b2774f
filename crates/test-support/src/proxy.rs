//! A proxy that loses answers: it carries lines between a submitter and a node, and breaks a connection just before a
//! line that the test names.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicI64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// The proxy; it carries until the program ends.
#[derive(Clone)]
pub struct Proxy {
    pub addr: SocketAddr,
    to: Arc<Mutex<String>>,
    /// Lines of the node that still pass before a connection breaks; negative for no end.
    left: Arc<AtomicI64>,
    broken: Arc<AtomicUsize>,
}

impl Proxy {
    /// Listens on a free port, and carries to this address.
    pub fn start(to: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let proxy = Proxy {
            addr: listener.local_addr().expect("bound"),
            to: Arc::new(Mutex::new(to.to_owned())),
            left: Arc::new(AtomicI64::new(-1)),
            broken: Arc::default(),
        };
        let own = proxy.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                std::thread::spawn(move || own.carry(stream));
            }
        });
        proxy
    }

    /// After so many more lines of the node, the next one is lost with its connection; then all pass again.
    pub fn lose_after(&self, lines: usize) {
        self.left.store(lines as i64, Ordering::SeqCst);
    }

    /// How many connections it has broken.
    pub fn broken(&self) -> usize {
        self.broken.load(Ordering::SeqCst)
    }

    fn carry(&self, client: TcpStream) {
        let to = self.to.lock().expect("no panic holds it").clone();
        let Ok(node) = TcpStream::connect(to) else {
            return;
        };
        let _ = (client.set_nodelay(true), node.set_nodelay(true));
        let (Ok(mut there), Ok(mut back), Ok(from)) =
            (node.try_clone(), client.try_clone(), client.try_clone())
        else {
            return;
        };
        std::thread::spawn(move || {
            let mut from = from;
            let _ = std::io::copy(&mut from, &mut there);
            let _ = there.shutdown(Shutdown::Write);
        });
        let (mut lines, mut line) = (BufReader::new(&node), Vec::new());
        loop {
            line.clear();
            match lines.read_until(b'\n', &mut line) {
                Ok(n) if n > 0 => {}
                _ => break,
            }
            let left = self.left.load(Ordering::SeqCst);
            if left >= 0 {
                self.left.store(left - 1, Ordering::SeqCst);
            }
            if left == 0 {
                self.broken.fetch_add(1, Ordering::SeqCst);
                break;
            }
            if back.write_all(&line).is_err() {
                break;
            }
        }
        let _ = client.shutdown(Shutdown::Both);
        let _ = node.shutdown(Shutdown::Both);
    }
}
