//! The player's sockets, which stand for clients, workers and discovery.

use super::script::match_start;
use super::{Player, STEP_TIMEOUT};
use rustix::net::{self, AddressFamily, SocketFlags, SocketType};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A connection that the player has opened or accepted.
pub struct Connection {
    pub stream: TcpStream,
    /// Received bytes that no step has expected yet.
    pub received: Vec<u8>,
}

impl Connection {
    /// Reads once, for at most this long. Returns whether the peer has closed the connection.
    pub fn read(&mut self, timeout: Duration) -> bool {
        self.stream.set_read_timeout(Some(timeout)).unwrap();
        let mut bytes = [0; 4096];
        match self.stream.read(&mut bytes) {
            Ok(0) => true,
            Ok(n) => {
                self.received.extend_from_slice(&bytes[..n]);
                false
            }
            // A read with a timeout is not restarted after a signal, which says nothing about the peer.
            Err(e) => !matches!(
                e.kind(),
                ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
            ),
        }
    }
}

impl Player {
    /// Plays a step that opens connections. Returns whether it is one.
    pub fn play_connect_step(&mut self, words: &[&str]) -> bool {
        match words {
            ["consumer", name] => self.connect(name, "consumers"),
            ["slow", "consumer", name] => self.connect_slow_client(name),
            ["elder", name] => self.connect(name, "elders"),
            ["operator", name] => self.connect(name, "operators"),
            ["submitter", name] => self.connect(name, "submitters"),
            ["crowd", count] => {
                for n in 0..count.parse().unwrap() {
                    self.connect(&format!("crowd {n}"), "consumers");
                }
            }
            _ => return false,
        }
        true
    }

    /// Plays a step at a listener. Returns whether it is one.
    pub fn play_listener_step(&mut self, words: &[&str]) -> bool {
        match words {
            ["accept", name, "at", listener] => self.accept(name, listener),
            ["listen", name] => self.listen(name),
            ["quiet", listener] => {
                if self.listeners[*listener].accept().is_ok() {
                    self.fail("unexpected connection");
                }
            }
            ["fill", listener] => {
                net::listen(&self.listeners[*listener], 0).unwrap();
                self.connect("filler", listener);
            }
            ["refuse", listener] => {
                let listener = self.listeners.remove(*listener).expect("listens");
                net::shutdown(&listener, net::Shutdown::Both).unwrap();
            }
            _ => return false,
        }
        true
    }

    /// Plays a step on an open connection. Returns whether it is one.
    pub fn play_connection_step(&mut self, words: &[&str], payload: &[u8]) -> bool {
        match words {
            [name, ">"] => {
                let connection = self.connections.get_mut(*name).expect("connected");
                connection.stream.write_all(payload).unwrap();
            }
            [name, "<"] => self.expect(name, payload),
            [name, "<", "nothing"] => {
                let connection = self.connections.get_mut(*name).unwrap();
                connection.read(Duration::from_millis(20));
                if !connection.received.is_empty() {
                    self.fail("unexpected bytes");
                }
            }
            [name, "closes"] => {
                // The peer may have closed before.
                let connection = self.connections.remove(*name).expect("connected");
                let _ = connection.stream.shutdown(Shutdown::Both);
            }
            [name, "half-closes"] => {
                let stream = &self.connections[*name].stream;
                stream.shutdown(Shutdown::Write).unwrap();
            }
            [name, "closed"] => self.expect_closed(name),
            _ => return false,
        }
        true
    }

    fn connect_slow_client(&mut self, name: &str) {
        // Set before the connect, so that the node can send only little that is not read.
        let (family, kind) = (AddressFamily::INET, SocketType::STREAM);
        let socket = net::socket_with(family, kind, SocketFlags::CLOEXEC, None).unwrap();
        net::sockopt::set_socket_recv_buffer_size(&socket, 4096).unwrap();
        let addr: SocketAddr = self.values["consumers"].parse().unwrap();
        net::connect(&socket, &addr).unwrap();
        self.add_connection(name, TcpStream::from(socket));
    }

    /// Reserves a free address for this test.
    pub fn reserve_address(&mut self) -> String {
        use net::sockopt;
        let (family, flags) = (AddressFamily::INET, SocketFlags::CLOEXEC);
        let socket = net::socket_with(family, SocketType::STREAM, flags, None).unwrap();
        // A listener that sets this, too, may bind the same address.
        sockopt::set_socket_reuseaddr(&socket, true).unwrap();
        net::bind(&socket, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let addr = SocketAddr::try_from(net::getsockname(&socket).unwrap()).unwrap();
        self.reserved.push(socket);
        addr.to_string()
    }

    /// Opens a listener with this name.
    pub fn listen(&mut self, name: &str) {
        let listener = TcpListener::bind(self.reserve_address()).unwrap();
        listener.set_nonblocking(true).unwrap();
        let addr = listener.local_addr().unwrap().to_string();
        self.values.insert(name.to_owned(), addr);
        self.listeners.insert(name.to_owned(), listener);
    }

    pub fn connect(&mut self, name: &str, to: &str) {
        let stream = TcpStream::connect(&self.values[to]).unwrap();
        self.add_connection(name, stream);
    }

    pub fn accept(&mut self, name: &str, listener: &str) {
        let deadline = Instant::now() + STEP_TIMEOUT;
        let stream = loop {
            match self.listeners[listener].accept() {
                Ok((stream, _)) => break stream,
                Err(_) if Instant::now() < deadline => std::thread::sleep(Duration::from_millis(2)),
                Err(e) => self.fail(&e.to_string()),
            }
        };
        stream.set_nonblocking(false).unwrap();
        self.add_connection(name, stream);
    }

    /// Stores a connection under this name.
    pub fn add_connection(&mut self, name: &str, stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        let received = Vec::new();
        self.connections
            .insert(name.to_owned(), Connection { stream, received });
    }

    /// Waits until the bytes received on a connection start with this pattern.
    pub fn expect(&mut self, name: &str, pattern: &[u8]) {
        let pattern = String::from_utf8_lossy(pattern).into_owned();
        let deadline = Instant::now() + STEP_TIMEOUT;
        loop {
            let connection = self.connections.get_mut(name).expect("connected");
            let received = String::from_utf8_lossy(&connection.received).into_owned();
            if let Some((used, values)) = match_start(&pattern, &received) {
                connection.received.drain(..used);
                return self.values.extend(values);
            }
            if connection.read(Duration::from_millis(50)) || Instant::now() > deadline {
                self.fail(&format!("expected\n{pattern}\nreceived\n{received}"));
            }
        }
    }

    /// Waits until the node has closed a connection, on which nothing unexpected may be left.
    pub fn expect_closed(&mut self, name: &str) {
        let deadline = Instant::now() + STEP_TIMEOUT;
        let connection = self.connections.get_mut(name).expect("connected");
        while !connection.read(Duration::from_millis(50)) && Instant::now() < deadline {}
        let rest = String::from_utf8_lossy(&connection.received).into_owned();
        if Instant::now() > deadline || !rest.is_empty() {
            self.fail(&format!(
                "connection still open, or unexpected bytes: {rest}"
            ));
        }
        // Closes the connection as a client does that reads its end.
        let _ = self.connections[name].stream.shutdown(Shutdown::Both);
    }
}
