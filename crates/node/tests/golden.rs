//! Golden files under `snapshots/` of everything that the program `marbledeck` writes or reads.
//!
//! Values that differ from run to run (times, addresses, folders) are replaced by names in angle brackets; all else is
//! compared byte by byte. Users depend on these formats, so a snapshot changes only together with its format.

#[path = "golden/clients.rs"]
mod clients;
#[path = "golden/command_line.rs"]
mod command_line;
#[path = "golden/node_file.rs"]
mod node_file;
#[path = "golden/operator_file.rs"]
mod operator_file;
#[path = "golden/operators.rs"]
mod operators;
#[path = "golden/outgoing.rs"]
mod outgoing;
#[path = "golden/process.rs"]
mod process;
#[path = "golden/support.rs"]
mod support;
#[path = "golden/text.rs"]
mod text;

/// Compares a text with the golden file of this name.
#[track_caller]
fn assert_golden(name: &str, text: &str) {
    let mut settings = insta::Settings::clone_current();
    settings.set_omit_expression(true);
    settings.set_prepend_module_to_snapshot(false);
    settings.bind(|| insta::assert_snapshot!(format!("golden__{name}"), text));
}
