//! The reader of endpoint lists yields the same entries however the input is split, and rejects invalid input.

use marbledeck_node::discovery::{ListError, ListHeader, ListReader};

const ENTRY: &str = r#"{"id":"a","host_port":"127.0.0.1:9","phase":"up"}"#;

/// Reads a list in pieces of this length. Returns the entries and the header.
fn read(text: &str, piece_length: usize) -> Result<(Vec<String>, ListHeader), ListError> {
    let mut reader = ListReader::default();
    let mut entries = Vec::new();
    for bytes in text.as_bytes().chunks(piece_length) {
        reader.push(bytes, &mut |entry| {
            entries.push(String::from_utf8_lossy(entry).into_owned());
            Ok(())
        })?;
    }
    Ok((entries, reader.finish()?))
}

#[test]
fn the_keys_of_a_list_come_in_any_order() {
    let lists = [
        format!(r#"{{"revision":41,"complete":true,"members":[{ENTRY},{ENTRY}]}}"#),
        format!(r#"{{"members":[{ENTRY},{ENTRY}],"complete":true,"revision":41}}"#),
        format!("{{\n \"members\" : [ {ENTRY} ,\n {ENTRY} ],\r\n\t\"more\": {{\"revision\": 2}}, \"complete\" : true , \"revision\" : 41 }}\n"),
    ];
    let header = ListHeader {
        revision: 41,
        is_complete: true,
        entries: 2,
    };
    for list in &lists {
        for piece_length in 1..list.len() {
            let (entries, found) = read(list, piece_length).expect("a list");
            assert_eq!(entries, [ENTRY, ENTRY], "{list}");
            assert_eq!(found, header, "{list}");
        }
    }
}

#[test]
fn a_list_without_the_complete_flag_is_not_complete() {
    let (entries, header) = read(r#"{"revision":7}"#, 3).expect("a list");
    assert!(entries.is_empty() && !header.is_complete);
}

#[test]
fn invalid_lists_are_rejected() {
    let long = format!(
        r#"{{"revision":1,"members":[{{"id":"{}"}}]}}"#,
        "x".repeat(5000)
    );
    let cases = [
        (r#"{"complete":true,"members":[]}"#, "no revision"),
        (r#"{"revision":"x","members":[]}"#, "no revision"),
        (r#"{"revision":-1,"members":[]}"#, "no revision"),
        (r#"{"revision":1,"complete":1}"#, "neither true nor false"),
        (r#"{"revision":1,"members":null}"#, "no array of objects"),
        (r#"{"revision":1,"members":["a"]}"#, "no array of objects"),
        (r#"{"revision":1,"members":[{}"#, "cut short"),
        ("", "cut short"),
        (r#"{"revision":1,"members":[}"#, "brackets do not match"),
        ("<html>", "no JSON"),
        (long.as_str(), "an element is too long"),
    ];
    for (text, expected) in cases {
        for piece_length in [1, 7, 10_000] {
            let error = read(text, piece_length).expect_err(text).to_string();
            assert!(error.contains(expected), "{text}: {error}");
        }
    }
}
