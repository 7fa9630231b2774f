//! Which site is asked for a job, and what follows from its answers.

use marbledeck_federation::{Errand, Fit, Heard, Known, Misfit, Step};
use proptest::prelude::*;

fn known(name: &str, version: u64, fit: Fit) -> Known {
    Known {
        name: name.into(),
        version,
        fit,
    }
}

fn ask(site: &str, version: u64) -> Step {
    Step::Ask {
        site: site.into(),
        version,
    }
}

#[test]
fn a_lost_answer_never_leads_to_a_second_site() {
    let sites = [known("b", 3, Fit::Fits), known("c", 1, Fit::Fits)];
    let mut errand = Errand::default();
    assert_eq!(errand.next(&sites), ask("b", 3));
    for _ in 0..5 {
        errand.heard(Heard::Lost);
        // Not even when it is gone from the records: the same question, to the letter.
        assert_eq!(errand.next(&sites[1..]), ask("b", 3));
        assert!(errand.may_be_taken());
    }
    errand.heard(Heard::Denied("no".into()));
    assert_eq!(errand.next(&sites), ask("c", 1));
    errand.heard(Heard::Accepted);
    assert_eq!(
        (errand.next(&sites), errand.taken_by()),
        (Step::Wait, Some("c"))
    );
    // A late word of the first changes nothing.
    errand.heard(Heard::Denied("late".into()));
    assert_eq!(errand.taken_by(), Some("c"));
}

#[test]
fn a_site_that_is_outdated_is_asked_again_once_its_catalog_is_known() {
    let mut errand = Errand::default();
    assert_eq!(errand.next(&[known("b", 1, Fit::Fits)]), ask("b", 1));
    errand.heard(Heard::Outdated(4));
    assert!(
        matches!(errand.next(&[known("b", 1, Fit::Fits)]), Step::Refused(why) if why.contains("version 4"))
    );
    assert_eq!(errand.next(&[known("b", 4, Fit::Fits)]), ask("b", 4));
}

#[test]
fn what_cannot_be_known_is_waited_for_and_what_does_not_fit_is_not() {
    let mut errand = Errand::default();
    assert_eq!(errand.next(&[known("b", 1, Fit::Unknown)]), Step::Wait);
    let misfit = Fit::Misfits(vec![Misfit::NoKind]);
    assert!(
        matches!(errand.next(&[known("b", 1, misfit)]), Step::Refused(why) if why.starts_with("b: kinds"))
    );
    assert!(matches!(errand.next(&[]), Step::Refused(_)));
    // All have put it off: another round, after a pause.
    let one = [known("b", 1, Fit::Fits)];
    assert_eq!(errand.next(&one), ask("b", 1));
    errand.heard(Heard::Later);
    assert_eq!(
        (errand.next(&one), errand.next(&one)),
        (Step::Wait, ask("b", 1))
    );
}

proptest! {
    /// Whatever the sites say, and whatever is known of them meanwhile: another site is asked only after the one before
    /// has said that it does not have the job.
    #[test]
    fn one_site_at_a_time(answers in proptest::collection::vec((0..5u8, 0..8u8), 0..40)) {
        let mut errand = Errand::default();
        let mut may_have: Option<String> = None;
        for (answer, fits) in answers {
            let fit = |bit: u8| if fits & bit > 0 { Fit::Fits } else { Fit::Unknown };
            let sites = [known("a", 1, fit(1)), known("b", 2, fit(2)), known("c", 3, fit(4))];
            let step = errand.next(&sites);
            if let Step::Ask { site, .. } = &step {
                prop_assert!(may_have.is_none() || may_have.as_deref() == Some(site), "{may_have:?} {step:?}");
                may_have = Some(site.clone());
                let heard = match answer {
                    0 => Heard::Accepted,
                    1 => Heard::Outdated(9),
                    2 => Heard::Denied("no".into()),
                    3 => Heard::Later,
                    _ => Heard::Lost,
                };
                if matches!(heard, Heard::Outdated(_) | Heard::Denied(_) | Heard::Later) {
                    may_have = None;
                }
                errand.heard(heard);
            }
            prop_assert_eq!(errand.may_be_taken(), may_have.is_some());
        }
    }
}
