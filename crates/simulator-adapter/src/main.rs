//! Adapter that runs the dispatcher in the simulator: reads one batch of events per line from standard input and writes
//! one line with the resulting actions to standard output.

mod error;
mod host;
mod instance;
mod message;
mod parse;
mod requests;

use error::AdapterError;
use host::Host;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("marbledeck-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers each line of the input until its end.
fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut line = String::new();
    let mut reply = Vec::new();
    for number in 1u64.. {
        line.clear();
        let length = input.read_line(&mut line);
        let length = length.map_err(|source| AdapterError::Input { number, source })?;
        if length == 0 {
            break;
        }
        reply.clear();
        let answered = host.answer(line.trim_end(), &mut reply);
        answered.map_err(|source| AdapterError::Batch { number, source })?;
        reply.push(b'\n');
        let written = output.write_all(&reply).and_then(|()| output.flush());
        written.map_err(AdapterError::Output)?;
    }
    Ok(())
}
