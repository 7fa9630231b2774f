//! Reads batches of events line by line and answers each with one line of actions.
#![forbid(unsafe_code)]

mod host;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("marbledeck-adapter: {what}");
            ExitCode::FAILURE
        }
    }
}

fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let (mut host, mut line, mut reply) = (host::Host::default(), String::new(), Vec::new());
    for number in 1u64.. {
        line.clear();
        match input.read_line(&mut line) {
            Ok(0) => break,
            Ok(_) => {}
            Err(e) => return Err(format!("line {number}: {e}")),
        }
        reply.clear();
        host.answer(line.trim_end(), &mut reply)
            .map_err(|e| format!("line {number}: {e}"))?;
        reply.push(b'\n');
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|e| format!("standard output: {e}"))?;
    }
    Ok(())
}
