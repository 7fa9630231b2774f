//! No clause fails, and the table in `docs/` is what the run prints.

use marbledeck_conformance::{report, run, ClauseResult, Verdict};

#[test]
fn all_clauses() {
    let results = run();
    let failed = results
        .iter()
        .filter(|result| matches!(result.verdict, Verdict::Failed(_)));
    let failed: Vec<String> = failed
        .map(|ClauseResult { clause, verdict }| {
            format!("{}: {}: {verdict:?}", clause.section, clause.expected)
        })
        .collect();
    assert!(failed.is_empty(), "{}", failed.join("\n"));
    assert_eq!(
        report(&results),
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
