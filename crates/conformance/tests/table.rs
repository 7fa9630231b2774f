//! Runs the conformance suite: no clause fails, and `docs/conformance.md` is the current report.

use marbledeck_conformance::{report, run, ClauseResult, Verdict};

#[test]
fn no_clause_fails_and_the_report_is_current() {
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
        "docs/conformance.md is out of date: run make conformance"
    );
}

/// The suite reports a clause without a test as failed; this test finds it without a node.
#[test]
fn every_clause_has_a_test() {
    assert!(marbledeck_conformance::clauses()
        .iter()
        .all(|clause| clause.test.is_some()));
}
