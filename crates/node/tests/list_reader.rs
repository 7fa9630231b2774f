//! An endpoint list is read the same however its bytes are cut, and what is no list is refused.

use marbledeck_node::discovery::{ListError, ListHeader, ListReader};

const ENTRY: &str = r#"{"id":"a","host_port":"127.0.0.1:9","phase":"up"}"#;

/// The texts of the entries, and what the list says of itself.
fn read(text: &str, piece: usize) -> Result<(Vec<String>, ListHeader), ListError> {
    let mut reader = ListReader::default();
    let mut entries = Vec::new();
    for bytes in text.as_bytes().chunks(piece) {
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
        for piece in 1..list.len() {
            let (entries, found) = read(list, piece).expect("a list");
            assert_eq!(entries, [ENTRY, ENTRY], "{list}");
            assert_eq!(found, header, "{list}");
        }
    }
}

#[test]
fn a_list_without_entries_is_no_whole_list_unless_it_says_so() {
    let (entries, header) = read(r#"{"revision":7}"#, 3).expect("a list");
    assert!(entries.is_empty() && !header.is_complete);
}

#[test]
fn what_is_no_list_is_refused() {
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
    for (text, wanted) in cases {
        for piece in [1, 7, 10_000] {
            let error = read(text, piece).expect_err(text).to_string();
            assert!(error.contains(wanted), "{text}: {error}");
        }
    }
}
