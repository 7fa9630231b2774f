//! The list of tests that fail for a known fault, `KNOWN-RED.txt`: one entry a line, in the form
//! ``test, `command with its seed`, what was seen, issue N``. CI leaves out exactly these tests and prints them.

use std::fmt;

/// Name of the file in the root of the repository.
pub const FILE: &str = "KNOWN-RED.txt";

/// A test that fails for a known fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownRed {
    /// The full name of the test with its module path, as `cargo test -- --list` prints it.
    pub test: String,
    /// The shell command that shows the fault, with its seed.
    pub command: String,
    /// What was seen.
    pub seen: String,
    /// The number of the issue for the fault.
    pub issue: u32,
}

/// Which part of an entry is missing or malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    /// It does not begin with the name of a test.
    #[error("it must begin with the full name of a test and a comma")]
    Test,
    /// No command follows.
    #[error("the second part must be the command with its seed, between backquotes, and a comma")]
    Command,
    /// Nothing is said of what was seen.
    #[error("the third part must say what was seen")]
    Seen,
    /// It does not end with an issue.
    #[error("it must end with `, issue N`")]
    Issue,
}

/// Why the list cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// A line is not an entry.
    #[error("{FILE}:{line}: {error}")]
    Entry {
        /// The number of the line, from 1.
        line: usize,
        /// What is wrong with it.
        error: EntryError,
    },
    /// Two entries name the same test.
    #[error("{FILE}: `{0}` is listed twice")]
    Repeated(String),
    /// The name of an entry is not that of exactly one test.
    #[error("{FILE}: `{test}` is the name of {count} tests, but must be that of exactly one")]
    NotOneTest {
        /// The name.
        test: String,
        /// The number of tests with this name.
        count: usize,
    },
}

impl KnownRed {
    /// Parses a line.
    fn parse(line: &str) -> Result<Self, EntryError> {
        let (test, rest) = line.split_once(", ").ok_or(EntryError::Test)?;
        let is_name_character = |c: char| c.is_ascii_alphanumeric() || "_:".contains(c);
        if test.is_empty() || !test.chars().all(is_name_character) {
            return Err(EntryError::Test);
        }
        let rest = rest.strip_prefix('`').ok_or(EntryError::Command)?;
        let (command, rest) = rest.split_once("`, ").ok_or(EntryError::Command)?;
        if command.trim().is_empty() {
            return Err(EntryError::Command);
        }
        let (seen, issue) = rest.rsplit_once("issue ").ok_or(EntryError::Issue)?;
        let issue = issue.trim_end().parse().map_err(|_| EntryError::Issue)?;
        let seen = seen.strip_suffix(", ").unwrap_or_default().trim();
        if seen.is_empty() {
            return Err(EntryError::Seen);
        }
        Ok(KnownRed {
            test: test.to_owned(),
            command: command.to_owned(),
            seen: seen.to_owned(),
            issue,
        })
    }
}

impl fmt::Display for KnownRed {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let KnownRed {
            test,
            command,
            seen,
            issue,
        } = self;
        write!(f, "{test}, `{command}`, {seen}, issue {issue}")
    }
}

/// Parses the text of the list. Empty lines are skipped.
///
/// # Errors
/// A line is not an entry, or a test is listed twice.
pub fn parse_list(text: &str) -> Result<Vec<KnownRed>, ListError> {
    let mut entries: Vec<KnownRed> = Vec::new();
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        let line_number = index + 1;
        let entry = KnownRed::parse(line).map_err(|error| ListError::Entry {
            line: line_number,
            error,
        })?;
        if entries.iter().any(|other| other.test == entry.test) {
            return Err(ListError::Repeated(entry.test));
        }
        entries.push(entry);
    }
    Ok(entries)
}

/// Checks that each entry is the name of exactly one test. `listed_tests` is the output of
/// `cargo test -- --list --format terse`, one line `name: test` each.
///
/// # Errors
/// A name is that of no test or of several ones, in different test programs.
pub fn check_names(entries: &[KnownRed], listed_tests: &str) -> Result<(), ListError> {
    for entry in entries {
        let names = listed_tests
            .lines()
            .filter_map(|line| line.strip_suffix(": test"));
        let count = names.filter(|name| *name == entry.test).count();
        if count != 1 {
            let test = entry.test.clone();
            return Err(ListError::NotOneTest { test, count });
        }
    }
    Ok(())
}

/// Returns the arguments with which a test program leaves out exactly these tests.
pub fn skip_arguments(entries: &[KnownRed]) -> Vec<&str> {
    // Without `--exact` a name skips every test whose name contains it.
    let skips = entries.iter().flat_map(|entry| ["--skip", &entry.test]);
    std::iter::once("--exact").chain(skips).collect()
}
