//! The report of a run as Markdown tables.

use crate::{ClauseResult, Verdict};
use std::fmt::Write;

/// Introduction of the report, which is stored as `docs/conformance.md`.
const INTRODUCTION: &str = "# Conformance of the submission front\n\n\
    Written by `make conformance`, which runs each clause against a node between stand-ins. GFD.231 is DRMAA v2,\n\
    tested over the wire; GFD.133 is DRMAA 1.0, tested through `libdrmaa.so`. What is not applicable is optional in\n\
    the specification, and the node's capabilities declare it absent. The words are this project's own; the\n\
    sections are the specifications'.\n\n";

/// Number of clauses by verdict.
#[derive(Clone, Copy, Default)]
struct VerdictCounts {
    passed: usize,
    failed: usize,
    not_applicable: usize,
}

impl VerdictCounts {
    /// Counts a verdict.
    fn add(&mut self, verdict: &Verdict) {
        match verdict {
            Verdict::Passed => self.passed += 1,
            Verdict::Failed(_) => self.failed += 1,
            Verdict::NotApplicable => self.not_applicable += 1,
        }
    }

    /// Formats the counts as a table row.
    fn row(&self, section: &str) -> String {
        let Self {
            passed,
            failed,
            not_applicable,
        } = self;
        format!("| {section} | {passed} | {failed} | {not_applicable} |\n")
    }
}

/// Formats the report: a table with the counts of each section, then a table of all clauses.
#[must_use]
pub fn report(results: &[ClauseResult]) -> String {
    let mut text = INTRODUCTION.to_owned();
    write_counts(&mut text, results);
    write_clauses(&mut text, results);
    text
}

/// Writes the table of counts: a row for each section, in the order of first appearance, and a row with the totals.
fn write_counts(text: &mut String, results: &[ClauseResult]) {
    let mut sections: Vec<(&str, VerdictCounts)> = Vec::new();
    let mut totals = VerdictCounts::default();
    for ClauseResult { clause, verdict } in results {
        totals.add(verdict);
        let existing = sections
            .iter_mut()
            .find(|(section, _)| *section == clause.section);
        if let Some((_, counts)) = existing {
            counts.add(verdict);
        } else {
            let mut counts = VerdictCounts::default();
            counts.add(verdict);
            sections.push((clause.section, counts));
        }
    }
    text.push_str("| section | passed | failed | not applicable |\n| --- | --- | --- | --- |\n");
    for (section, counts) in &sections {
        text.push_str(&counts.row(section));
    }
    text.push_str(&totals.row("all"));
    text.push('\n');
}

/// Writes the table of clauses.
fn write_clauses(text: &mut String, results: &[ClauseResult]) {
    text.push_str("| section | expected | |\n| --- | --- | --- |\n");
    for ClauseResult { clause, verdict } in results {
        let verdict = match verdict {
            Verdict::Passed => "passed".to_owned(),
            Verdict::Failed(reason) => format!("**failed**: {}", reason.replace('\n', " ")),
            Verdict::NotApplicable => "not applicable".to_owned(),
        };
        let (section, expected) = (clause.section, clause.expected);
        writeln!(text, "| {section} | {expected} | {verdict} |")
            .expect("writing to a string cannot fail");
    }
}
