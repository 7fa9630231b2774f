//! Runs the conformance suite, prints the report, and exits with status 1 if a clause has failed. The report is also
//! written to the file that the optional argument names.

use marbledeck_conformance::{report, run, Verdict};
use std::process::ExitCode;

fn main() -> ExitCode {
    let results = run();
    let text = report(&results);
    print!("{text}");
    if let Some(file) = std::env::args().nth(1) {
        if let Err(error) = std::fs::write(&file, &text) {
            eprintln!("cannot write the conformance report to {file}: {error}");
            return ExitCode::FAILURE;
        }
    }
    let failed = results
        .iter()
        .any(|result| matches!(result.verdict, Verdict::Failed(_)));
    ExitCode::from(u8::from(failed))
}
