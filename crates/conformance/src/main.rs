//! Runs the conformance suite, prints its table, and exits with a failure where a clause fails. The optional argument
//! names a file that the table is also written to.

use marbledeck_conformance::{report, run, Verdict};
use std::process::ExitCode;

fn main() -> ExitCode {
    let results = run();
    let text = report(&results);
    print!("{text}");
    if let Some(file) = std::env::args().nth(1) {
        if let Err(error) = std::fs::write(&file, &text) {
            eprintln!("{file}: {error}");
            return ExitCode::FAILURE;
        }
    }
    let failed = results
        .iter()
        .any(|result| matches!(result.verdict, Verdict::Failed(_)));
    ExitCode::from(u8::from(failed))
}
