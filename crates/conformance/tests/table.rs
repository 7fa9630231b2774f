//! No clause fails, and the table in `docs/` is what the run prints.

use marbledeck_conformance::{report, run, Verdict};

#[test]
fn all_clauses() {
    let table = run();
    let failed = table
        .iter()
        .filter(|(_, verdict)| matches!(verdict, Verdict::Failed(_)));
    let failed: Vec<String> = failed
        .map(|(c, v)| format!("{}: {}: {v:?}", c.section, c.expected))
        .collect();
    assert!(failed.is_empty(), "{}", failed.join("\n"));
    assert_eq!(
        report(&table),
        include_str!("../../../docs/conformance.md"),
        "make conformance"
    );
}

/// A clause without a test is a failed one.
#[test]
fn none_is_without_a_test() {
    assert!(marbledeck_conformance::clauses()
        .iter()
        .all(|clause| clause.test.is_some()));
}
