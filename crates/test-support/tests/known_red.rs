//! The list of known failures: what an entry is, and that exactly the listed tests are left out.

use marbledeck_test_support::known_red::{
    check_names, parse_list, skip_arguments, EntryError, KnownRed, ListError,
};
use std::process::Command;

const ENTRY: &str =
    "planted::fails, `SEED=3 cargo test fails`, 5 of 36 runs, at 1.2 s, beside load, issue 41";

/// A pair of tests, one of which has the name of the other one in its own.
mod planted {
    #[test]
    fn fails() {}

    #[test]
    fn fails_no_more() {}
}

/// The names of the tests in this program that run with these arguments.
fn tests_left(arguments: &[&str]) -> Vec<String> {
    let program = std::env::current_exe().expect("the path of this program");
    let mut command = Command::new(program);
    command
        .args(arguments)
        .args(["--list", "--format", "terse"]);
    let output = command.output().expect("a list of tests");
    let text = String::from_utf8(output.stdout).expect("UTF-8");
    let names = text.lines().filter_map(|line| line.strip_suffix(": test"));
    names.map(str::to_owned).collect()
}

#[test]
fn an_entry_has_a_test_a_command_what_was_seen_and_an_issue() {
    let entries = parse_list(&format!("{ENTRY}\n\n")).expect("a list");
    let entry = KnownRed {
        test: "planted::fails".to_owned(),
        command: "SEED=3 cargo test fails".to_owned(),
        seen: "5 of 36 runs, at 1.2 s, beside load".to_owned(),
        issue: 41,
    };
    assert_eq!(entries, [entry]);
    assert_eq!(entries[0].to_string(), ENTRY);
}

/// Guards against a line that is no entry, and is passed over without leaving out its test or telling why.
#[test]
fn a_line_that_is_no_entry_is_an_error() {
    let cases = [
        ("fails", EntryError::Test),
        ("Two words, `x`, seen, issue 1", EntryError::Test),
        ("# a comment, `x`, seen, issue 1", EntryError::Test),
        ("fails, seed 3 (`x`), seen, issue 1", EntryError::Command),
        ("fails, ` `, seen, issue 1", EntryError::Command),
        ("fails, `x`, issue 1", EntryError::Seen),
        ("fails, `x`, seen", EntryError::Issue),
        ("fails, `x`, seen, issue 1 until then", EntryError::Issue),
    ];
    for (line, error) in cases {
        let text = format!("{ENTRY}\n{line}\n");
        let expected = ListError::Entry { line: 2, error };
        assert_eq!(parse_list(&text), Err(expected), "{line}");
    }
    let repeated = ListError::Repeated("planted::fails".to_owned());
    assert_eq!(parse_list(&format!("{ENTRY}\n{ENTRY}")), Err(repeated));
}

#[test]
fn an_entry_must_name_exactly_one_test() {
    let entries = parse_list(ENTRY).expect("a list");
    let not_one = |count| {
        let test = "planted::fails".to_owned();
        Err(ListError::NotOneTest { test, count })
    };
    let one = "planted::fails: test\nplanted::fails_no_more: test\n";
    assert_eq!(check_names(&entries, one), Ok(()));
    assert_eq!(
        check_names(&entries, "planted::fails_no_more: test\n"),
        not_one(0)
    );
    assert_eq!(check_names(&entries, &format!("{one}{one}")), not_one(2));
}

/// Guards against an entry that leaves out every test whose name contains its own.
#[test]
fn exactly_the_listed_tests_are_left_out() {
    let all = tests_left(&[]);
    let entries = parse_list(ENTRY).expect("a list");
    let left = tests_left(&skip_arguments(&entries));
    let left_out: Vec<&String> = all.iter().filter(|name| !left.contains(name)).collect();
    assert_eq!(left_out, ["planted::fails"]);
    assert_eq!(tests_left(&skip_arguments(&[])), all);
}
