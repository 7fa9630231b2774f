//! Runs the conformance suite, prints its table, and fails where a clause does. With a file, writes the table there.

use marbledeck_conformance::{report, run, Verdict};
use std::process::ExitCode;

fn main() -> ExitCode {
    let table = run();
    let text = report(&table);
    print!("{text}");
    if let Some(file) = std::env::args().nth(1) {
        if let Err(e) = std::fs::write(&file, &text) {
            eprintln!("{file}: {e}");
            return ExitCode::FAILURE;
        }
    }
    let failed = table
        .iter()
        .any(|(_, verdict)| matches!(verdict, Verdict::Failed(_)));
    ExitCode::from(u8::from(failed))
}
