//! Tests of the placement of a forwarded job: which site is asked, and what follows from its response.

use marbledeck_federation::{
    CandidateSite, MatchResult, Mismatch, Placement, PlacementStep, SiteResponse,
};
use proptest::prelude::*;

fn candidate(name: &str, version: u64, result: MatchResult) -> CandidateSite {
    CandidateSite {
        name: name.into(),
        catalog_version: version,
        result,
    }
}

fn forward(site: &str, version: u64) -> PlacementStep {
    PlacementStep::Forward {
        site: site.into(),
        catalog_version: version,
    }
}

#[test]
fn a_lost_response_never_leads_to_a_second_site() {
    let sites = [
        candidate("b", 3, MatchResult::Matches),
        candidate("c", 1, MatchResult::Matches),
    ];
    let mut placement = Placement::default();
    assert_eq!(placement.next_step(&sites), forward("b", 3));
    for _ in 0..5 {
        placement.handle_response(SiteResponse::NoAnswer);
        // The same request is repeated, even when the site is no longer in the records.
        assert_eq!(placement.next_step(&sites[1..]), forward("b", 3));
        assert!(placement.may_be_placed());
    }
    placement.handle_response(SiteResponse::Rejected("no".into()));
    assert_eq!(placement.next_step(&sites), forward("c", 1));
    placement.handle_response(SiteResponse::Accepted);
    assert_eq!(
        (placement.next_step(&sites), placement.accepted_by()),
        (PlacementStep::Wait, Some("c"))
    );
    // A late response of the first site changes nothing.
    placement.handle_response(SiteResponse::Rejected("late".into()));
    assert_eq!(placement.accepted_by(), Some("c"));
}

#[test]
fn an_outdated_site_is_asked_again_once_its_newer_catalog_is_known() {
    let mut placement = Placement::default();
    assert_eq!(
        placement.next_step(&[candidate("b", 1, MatchResult::Matches)]),
        forward("b", 1)
    );
    placement.handle_response(SiteResponse::Outdated(4));
    assert!(
        matches!(placement.next_step(&[candidate("b", 1, MatchResult::Matches)]), PlacementStep::Rejected(why) if why.contains("version 4"))
    );
    assert_eq!(
        placement.next_step(&[candidate("b", 4, MatchResult::Matches)]),
        forward("b", 4)
    );
}

#[test]
fn a_placement_waits_for_unknown_catalogs_but_not_for_mismatches() {
    let mut placement = Placement::default();
    assert_eq!(
        placement.next_step(&[candidate("b", 1, MatchResult::Unknown)]),
        PlacementStep::Wait
    );
    let mismatch = MatchResult::Mismatches(vec![Mismatch::NoKind]);
    assert!(
        matches!(placement.next_step(&[candidate("b", 1, mismatch)]), PlacementStep::Rejected(why) if why.starts_with("b: kinds"))
    );
    assert!(matches!(
        placement.next_step(&[]),
        PlacementStep::Rejected(_)
    ));
    // All sites asked for a later retry: the next round begins after a pause.
    let one = [candidate("b", 1, MatchResult::Matches)];
    assert_eq!(placement.next_step(&one), forward("b", 1));
    placement.handle_response(SiteResponse::RetryLater);
    assert_eq!(
        (placement.next_step(&one), placement.next_step(&one)),
        (PlacementStep::Wait, forward("b", 1))
    );
}

proptest! {
    /// For any responses and any knowledge of the sites, another site is asked only after the previous one has responded
    /// that it does not have the job.
    #[test]
    fn one_site_is_asked_at_a_time(responses in proptest::collection::vec((0..5u8, 0..8u8), 0..40)) {
        let mut placement = Placement::default();
        let mut may_have: Option<String> = None;
        for (response_kind, matching_sites) in responses {
            let result = |bit: u8| if matching_sites & bit > 0 { MatchResult::Matches } else { MatchResult::Unknown };
            let sites = [candidate("a", 1, result(1)), candidate("b", 2, result(2)), candidate("c", 3, result(4))];
            let step = placement.next_step(&sites);
            if let PlacementStep::Forward { site, .. } = &step {
                prop_assert!(may_have.is_none() || may_have.as_deref() == Some(site), "{may_have:?} {step:?}");
                may_have = Some(site.clone());
                let response = match response_kind {
                    0 => SiteResponse::Accepted,
                    1 => SiteResponse::Outdated(9),
                    2 => SiteResponse::Rejected("no".into()),
                    3 => SiteResponse::RetryLater,
                    _ => SiteResponse::NoAnswer,
                };
                if matches!(response, SiteResponse::Outdated(_) | SiteResponse::Rejected(_) | SiteResponse::RetryLater) {
                    may_have = None;
                }
                placement.handle_response(response);
            }
            prop_assert_eq!(placement.may_be_placed(), may_have.is_some());
        }
    }
}
