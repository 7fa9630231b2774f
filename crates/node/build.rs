//! The tests are made of the files there: a new file is a new test.

fn main() {
    println!("cargo::rerun-if-changed=tests/exchanges");
    println!("cargo::rerun-if-changed=tests/core");
}
