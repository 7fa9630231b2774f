//! The accept loop that all stand-ins share.

use std::net::{SocketAddr, TcpListener, TcpStream};

/// Listens on a free port of loopback.
///
/// # Panics
/// No port is free.
pub(crate) fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

/// Serves each connection on a thread of its own, until the program ends.
pub(crate) fn serve_connections<S>(listener: TcpListener, server: S, serve: fn(&S, TcpStream))
where
    S: Clone + Send + 'static,
{
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let server = server.clone();
            std::thread::spawn(move || serve(&server, stream));
        }
    });
}
