//! The check of a manifest against a catalog.

use marbledeck_federation::{check, Catalog, Manifest, MatchResult, Mismatch, MAX_ENTRIES};
use proptest::prelude::*;
use std::collections::BTreeSet;

fn names(of: &[&str]) -> BTreeSet<String> {
    of.iter().map(|name| (*name).to_owned()).collect()
}

fn site() -> Catalog {
    Catalog {
        version: 1,
        classes: names(&["preview"]),
        kinds: names(&["r4", "r5"]),
        slots: 2.0,
        memory: 4.0,
        licences: names(&["av1"]),
        codecs: names(&["av1", "h264"]),
        formats: names(&["png"]),
        regions: names(&["by"]),
        key_window_ms: Some(5000),
        longest_run_ms: 60_000,
    }
}

#[test]
fn a_manifest_with_an_unknown_key_is_rejected() {
    let read = serde_json::from_str::<Manifest>(r#"{"class":"preview","gpu":true}"#);
    let why = read.expect_err("no such need").to_string();
    assert!(why.contains("gpu"), "{why}");
    assert!(serde_json::from_str::<Catalog>(r#"{"classes":[],"gpus":3}"#).is_err());
}

#[test]
fn every_reason_is_named_and_each_says_what_to_do() {
    let manifest = Manifest {
        class: "sheet".into(),
        kinds: names(&["r9"]),
        slots: Some(f64::NAN),
        memory: Some(5.0),
        licences: names(&["prores"]),
        codecs: names(&["av1", "vvc"]),
        formats: names(&["tiff"]),
        regions: names(&["at"]),
        key_window_ms: Some(5001),
        run_ms: Some(60_001),
    };
    let MatchResult::Mismatches(why) = check(&manifest, Some(&site())) else {
        panic!("it fits nowhere");
    };
    assert_eq!(why.len(), 10, "{why:?}");
    let none = Catalog {
        regions: BTreeSet::new(),
        ..site()
    };
    let MatchResult::Mismatches(more) = check(&manifest, Some(&none)) else {
        panic!("it fits nowhere");
    };
    assert!(more.contains(&Mismatch::NoRegion));
    for reason in why.iter().chain(&more) {
        assert!(reason.advice().contains(' ') && !reason.to_string().is_empty());
    }
    assert_eq!(check(&manifest, None), MatchResult::Unknown);
}

#[test]
fn values_over_the_bounds_are_named() {
    let many = (0..=MAX_ENTRIES).map(|n| n.to_string()).collect();
    let wrong = Catalog {
        codecs: many,
        ..site()
    }
    .validate();
    assert_eq!(wrong.expect_err("too many").key, "codecs");
    assert_eq!(
        Catalog {
            slots: -1.0,
            ..site()
        }
        .validate()
        .expect_err("none")
        .key,
        "slots"
    );
    assert_eq!(
        Manifest::default().validate().expect_err("none").key,
        "class"
    );
}

fn some() -> impl Strategy<Value = BTreeSet<String>> {
    proptest::collection::btree_set("[a-e]", 0..4)
}

proptest! {
    /// A site fits if and only if it offers each single need; and taking any need away never makes it unfit.
    #[test]
    fn the_check_names_every_reason(
        licences in some(), codecs in some(), formats in some(), there in some(), slots in 0.0..4.0f64,
    ) {
        let catalog = Catalog { licences: there.clone(), codecs: there.clone(), formats: there.clone(), ..site() };
        let manifest = Manifest { class: "preview".into(), licences, codecs, formats, slots: Some(slots), ..Manifest::default() };
        let wanted = [&manifest.licences, &manifest.codecs, &manifest.formats];
        let missing: usize = wanted.iter().map(|set| set.difference(&there).count()).sum();
        let reasons = missing + usize::from(slots > 2.0);
        match check(&manifest, Some(&catalog)) {
            MatchResult::Matches => prop_assert_eq!(reasons, 0),
            MatchResult::Mismatches(why) => prop_assert_eq!(why.len(), reasons),
            MatchResult::Unknown => prop_assert!(false, "the catalog is there"),
        }
        let less = Manifest { licences: BTreeSet::new(), ..manifest.clone() };
        if check(&manifest, Some(&catalog)) == MatchResult::Matches {
            prop_assert_eq!(check(&less, Some(&catalog)), MatchResult::Matches);
        }
    }
}
