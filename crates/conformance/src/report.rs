//! The table of a run, as Markdown.

use crate::{ClauseResult, Verdict};
use std::fmt::Write;

/// The text above the tables of `docs/conformance.md`.
const INTRODUCTION: &str = "# Conformance of the submission front\n\n\
    Written by `make conformance`, which runs each clause against a node between stand-ins. GFD.231 is DRMAA v2,\n\
    tested over the wire; GFD.133 is DRMAA 1.0, tested through `libdrmaa.so`. What is not applicable is optional in\n\
    the specification, and the node's capabilities declare it absent. The words are this project's own; the\n\
    sections are the specifications'.\n\n";

/// How many clauses have each verdict.
#[derive(Clone, Copy, Default)]
struct VerdictCounts {
    passed: usize,
    failed: usize,
    not_applicable: usize,
}

impl VerdictCounts {
    /// Counts one more verdict.
    fn add(&mut self, verdict: &Verdict) {
        match verdict {
            Verdict::Passed => self.passed += 1,
            Verdict::Failed(_) => self.failed += 1,
            Verdict::NotApplicable => self.not_applicable += 1,
        }
    }

    /// The row of the table of counts.
    fn row(&self, section: &str) -> String {
        let Self {
            passed,
            failed,
            not_applicable,
        } = self;
        format!("| {section} | {passed} | {failed} | {not_applicable} |\n")
    }
}

/// The table as Markdown, with the counts of each section above the clauses.
#[must_use]
pub fn report(results: &[ClauseResult]) -> String {
    let mut text = INTRODUCTION.to_owned();
    write_counts(&mut text, results);
    write_clauses(&mut text, results);
    text
}

/// Writes one row for each section, in the order of first appearance, and one for all.
fn write_counts(text: &mut String, results: &[ClauseResult]) {
    let mut sections: Vec<(&str, VerdictCounts)> = Vec::new();
    let mut all = VerdictCounts::default();
    for ClauseResult { clause, verdict } in results {
        all.add(verdict);
        let known = sections
            .iter_mut()
            .find(|(section, _)| *section == clause.section);
        if let Some((_, counts)) = known {
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
    text.push_str(&all.row("all"));
    text.push('\n');
}

/// Writes one row for each clause.
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
            .expect("a string accepts all text");
    }
}
