//! Compatibility tests of everything that voters and nodes send each other or store: frames, log entries, snapshots of the
//! state and the stored file.
//!
//! A snapshot under `tests/snapshots` that changes in more than a label or an error text is a change of the protocol or of
//! the stored file, and breaks compatibility with earlier versions.

mod frames;
mod records;
mod samples;
mod state;
mod stored_file;
mod texts;
mod voters;

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Write as _;

fn assert_golden(name: &str, text: &str) {
    insta::with_settings!(
        {
            snapshot_path => "../snapshots",
            prepend_module_to_snapshot => false,
            omit_expression => true,
        },
        { insta::assert_snapshot!(name, text) }
    );
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("formatting into a string succeeds");
        text
    })
}

fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("an encodable value")
}

/// One line of a snapshot: the label and the JSON, which must decode to an equal value.
fn json_line<T: Serialize + DeserializeOwned + PartialEq>(label: &str, value: &T) -> String {
    let encoded = json(value);
    let decoded: T = serde_json::from_str(&encoded).expect("a decodable value");
    assert!(decoded == *value, "{label}: decoded to another value");
    format!("{label}: {encoded}\n")
}

/// One line of a snapshot: a text, and the value decoded from it, encoded again, or the error.
fn decoded_line<T: Serialize + DeserializeOwned>(label: &str, text: &str) -> String {
    let outcome = match serde_json::from_str::<T>(text) {
        Ok(value) => json(&value),
        Err(error) => format!("error: {error}"),
    };
    format!("{label}: {text}\n  => {outcome}\n")
}
