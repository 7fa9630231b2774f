//! Tests of matching a manifest against a catalog.

use marbledeck_federation::{check, Catalog, Manifest, MatchResult, Mismatch, MAX_ENTRIES};
use proptest::prelude::*;
use std::collections::BTreeSet;

fn names(list: &[&str]) -> BTreeSet<String> {
    list.iter().map(|name| (*name).to_owned()).collect()
}

fn site_catalog() -> Catalog {
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
    let error = read.expect_err("no such need").to_string();
    assert!(error.contains("gpu"), "{error}");
    assert!(serde_json::from_str::<Catalog>(r#"{"classes":[],"gpus":3}"#).is_err());
}

#[test]
fn every_mismatch_is_reported_with_advice() {
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
    let MatchResult::Mismatches(mismatches) = check(&manifest, Some(&site_catalog())) else {
        panic!("every key of the manifest is a mismatch");
    };
    assert_eq!(mismatches.len(), 10, "{mismatches:?}");
    let without_regions = Catalog {
        regions: BTreeSet::new(),
        ..site_catalog()
    };
    let MatchResult::Mismatches(more_mismatches) = check(&manifest, Some(&without_regions)) else {
        panic!("every key of the manifest is a mismatch");
    };
    assert!(more_mismatches.contains(&Mismatch::NoRegion));
    for reason in mismatches.iter().chain(&more_mismatches) {
        assert!(reason.advice().contains(' ') && !reason.to_string().is_empty());
    }
    assert_eq!(check(&manifest, None), MatchResult::Unknown);
}

#[test]
fn bounds_errors_name_the_key() {
    let too_many = (0..=MAX_ENTRIES).map(|n| n.to_string()).collect();
    let result = Catalog {
        codecs: too_many,
        ..site_catalog()
    }
    .validate();
    assert_eq!(result.expect_err("too many").key, "codecs");
    assert_eq!(
        Catalog {
            slots: -1.0,
            ..site_catalog()
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

fn name_set() -> impl Strategy<Value = BTreeSet<String>> {
    proptest::collection::btree_set("[a-e]", 0..4)
}

proptest! {
    /// The check reports one mismatch for each need that the site lacks, and no others. Dropping the licences from a
    /// manifest that matches never makes it a mismatch.
    #[test]
    fn the_check_reports_each_unmet_need(
        licences in name_set(), codecs in name_set(), formats in name_set(), offered in name_set(), slots in 0.0..4.0f64,
    ) {
        let catalog = Catalog { licences: offered.clone(), codecs: offered.clone(), formats: offered.clone(), ..site_catalog() };
        let manifest = Manifest { class: "preview".into(), licences, codecs, formats, slots: Some(slots), ..Manifest::default() };
        let wanted = [&manifest.licences, &manifest.codecs, &manifest.formats];
        let missing: usize = wanted.iter().map(|set| set.difference(&offered).count()).sum();
        let reasons = missing + usize::from(slots > 2.0);
        match check(&manifest, Some(&catalog)) {
            MatchResult::Matches => prop_assert_eq!(reasons, 0),
            MatchResult::Mismatches(mismatches) => prop_assert_eq!(mismatches.len(), reasons),
            MatchResult::Unknown => prop_assert!(false, "the catalog is there"),
        }
        let without_licences = Manifest { licences: BTreeSet::new(), ..manifest.clone() };
        if check(&manifest, Some(&catalog)) == MatchResult::Matches {
            prop_assert_eq!(check(&without_licences, Some(&catalog)), MatchResult::Matches);
        }
    }
}
