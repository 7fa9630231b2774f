//! The listener and the accept loop that the stubs share.

use std::net::{SocketAddr, TcpListener, TcpStream};

/// Binds a listener to a free port on 127.0.0.1 and returns it with its address.
///
/// # Panics
/// The listener cannot be bound.
pub(crate) fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener on loopback");
    let address = listener
        .local_addr()
        .expect("the address of a bound listener");
    (listener, address)
}

/// Starts a thread that accepts connections until the program exits, and serves each connection on its own thread.
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
