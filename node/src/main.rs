//! Reads the configuration, starts the node and serves until SIGTERM.
#![forbid(unsafe_code)]

use marbledeck_node::config::{Arguments, Config, SubmissionConfig};
use marbledeck_node::logger;
use marbledeck_node::node::Node;
use std::error::Error;
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
    let config = Config::read(|name| std::env::var(name).ok())?;
    logger::start(config.log);
    let (signals, at_signal) = UnixStream::pair()?;
    signal_hook::low_level::pipe::register(signal_hook::consts::SIGTERM, at_signal)?;
    Node::new(config, submission, signals)?.run();
    Ok(())
}
