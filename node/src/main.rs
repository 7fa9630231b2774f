//! Reads the configuration, starts the node and serves until SIGTERM. SIGHUP reads it anew.
#![forbid(unsafe_code)]

use marbledeck_node::config::{Arguments, Config, SubmissionConfig};
use marbledeck_node::logger;
use marbledeck_node::node::{Node, Signals};
use std::error::Error;
use std::io;
use std::os::unix::net::UnixStream;
use std::process::ExitCode;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("marbledeck: {what}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::read(std::env::args().skip(1))?;
    let submission = arguments.submission.as_deref().map(SubmissionConfig::read);
    let submission = submission.transpose()?;
    // Before all else: a signal that comes while the node starts is neither lost nor its end.
    let signals = Signals {
        end: pipe(signal_hook::consts::SIGTERM)?,
        reload: pipe(signal_hook::consts::SIGHUP)?,
    };
    let read = || Config::read(|name| std::env::var(name).ok());
    let config = read()?;
    logger::start(config.log);
    Node::new(config, submission, signals, Box::new(read))?.run();
    Ok(())
}

/// The reading end of a pipe that gets a byte at each such signal.
fn pipe(signal: i32) -> io::Result<UnixStream> {
    let (reader, writer) = UnixStream::pair()?;
    signal_hook::low_level::pipe::register(signal, writer)?;
    reader.set_nonblocking(true)?;
    Ok(reader)
}
