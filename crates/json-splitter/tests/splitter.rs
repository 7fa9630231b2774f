//! Tests that a value is split into the same parts however its bytes are cut into pieces, and that invalid JSON is
//! rejected.

use marbledeck_json_splitter::{Part, SplitError, Splitter, MAX_DEPTH};

const MAX_ELEMENT: usize = 128;

/// Splits these pieces. Returns the parts, and whether the value is complete.
fn split<'a>(
    pieces: impl IntoIterator<Item = &'a [u8]>,
) -> Result<(Vec<String>, bool), SplitError> {
    let mut splitter = Splitter::new("members", &["revision", "complete"], MAX_ELEMENT);
    let mut parts = Vec::new();
    for piece in pieces {
        splitter.push(piece, &mut |part: Part| -> Result<(), SplitError> {
            parts.push(part.to_string());
            Ok(())
        })?;
    }
    Ok((parts, splitter.is_complete()))
}

#[test]
fn the_parts_do_not_depend_on_how_the_bytes_are_cut() {
    let texts = [
        r#"{"revision":41,"complete":true,"members":[{"id":"a"},{"id":"b","n":[1,{"x":"}"}]}]}"#,
        r#"{"members":[{"id":"a\"}\\"}],"complete" : false , "revision" : 7 }"#,
        "{\n  \"members\": [\n    {\n      \"id\": \"a\"\n    }\n  ],\n  \"revision\": 41\n}\n",
        r#"{"other":{"members":1,"revision":[2]},"revision":"x","members":[]}"#,
        r#"{"members":{"id":"one"}}"#,
        r#"{"members":[1,"a",null,{"id":"a"}]}"#,
        r#"{"members":[{'a':1},{nonsense}]}"#,
    ];
    let parts: Vec<String> = texts
        .iter()
        .map(|text| {
            let whole = split([text.as_bytes()]).expect("valid JSON");
            for size in 1..text.len() {
                let pieces = text.as_bytes().chunks(size);
                assert_eq!(split(pieces), Ok(whole.clone()), "pieces of {size}: {text}");
            }
            assert!(whole.1, "not complete: {text}");
            whole.0.join(" | ")
        })
        .collect();
    let expected = [
        r#"revision = 41 | complete = true | {"id":"a"} | {"id":"b","n":[1,{"x":"}"}]}"#,
        r#"{"id":"a\"}\\"} | complete = false | revision = 7"#,
        "{\n      \"id\": \"a\"\n    } | revision = 41",
        "unexpected scalar | revision = x",
        r#"{"id":"one"}"#,
        r#"unexpected scalar | unexpected scalar | unexpected scalar | {"id":"a"}"#,
        // The content of an element is checked by its parser.
        "{'a':1} | {nonsense}",
    ];
    assert_eq!(parts, expected);
}

#[test]
fn a_truncated_value_is_not_complete() {
    let text = br#"{"revision":41,"members":[{"id":"a"},{"id":"b"}]}"#;
    for length in 0..text.len() {
        let (_, is_complete) = split([&text[..length]]).expect("the beginning of valid JSON");
        assert!(!is_complete, "{length} bytes");
    }
}

#[test]
fn invalid_json_around_the_elements_is_rejected() {
    let deep = "[".repeat(MAX_DEPTH + 1);
    let deep_element = format!(r#"{{"members":[{{"a":{deep}"#);
    let long = format!(r#"{{"members":[{{"id":"{}"}}]}}"#, "x".repeat(MAX_ELEMENT));
    let cases = [
        ("{]", SplitError::UnmatchedBrackets),
        (r#"{"members":[{"a":[}]}"#, SplitError::UnmatchedBrackets),
        ("{} {}", SplitError::SeveralValues),
        ("7", SplitError::NotJson),
        ("{'a':1}", SplitError::NotJson),
        (deep.as_str(), SplitError::TooDeep),
        (deep_element.as_str(), SplitError::TooDeep),
        (long.as_str(), SplitError::ElementTooLong),
    ];
    for (text, error) in cases {
        assert_eq!(split([text.as_bytes()]), Err(error), "{text}");
        assert_eq!(split(text.as_bytes().chunks(1)), Err(error), "{text}");
    }
}
