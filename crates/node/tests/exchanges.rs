//! Replays recorded exchanges against the program.

mod common;

use rstest::rstest;
use std::path::PathBuf;

#[rstest]
fn exchange(#[files("tests/exchanges/*.txt")] file: PathBuf) {
    common::play(&file);
}
