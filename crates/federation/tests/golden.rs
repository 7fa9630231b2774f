//! Golden tests of the JSON of catalogs and manifests, which sites exchange, and of the texts that operators and clients
//! read.
//!
//! A rename in the code must not change a snapshot: a change to the JSON in one is a change of the protocol.

use marbledeck_federation::{
    check, BoundsError, CandidateSite, Catalog, Manifest, MatchResult, Mismatch, Placement,
    PlacementStep, SiteResponse, MAX_ENTRIES, MAX_NAME_LENGTH,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeSet;
use std::fmt::Write as _;

fn assert_golden(name: &str, text: &str) {
    insta::with_settings!(
        { prepend_module_to_snapshot => false, omit_expression => true },
        { insta::assert_snapshot!(name, text) }
    );
}

/// One line of a snapshot: the label and the JSON, which must decode to an equal value.
fn json_line<T: Serialize + DeserializeOwned + PartialEq>(label: &str, value: &T) -> String {
    let json = serde_json::to_string(value).expect("a value that can be encoded");
    let decoded: T = serde_json::from_str(&json).expect("a value that can be decoded");
    assert!(decoded == *value, "{label}: decoded to another value");
    format!("{label}: {json}\n")
}

/// Two lines of a snapshot: the label and a JSON text, then its decoded value encoded again, or the error that a peer gets.
fn decoded_line<T: Serialize + DeserializeOwned>(label: &str, json: &str) -> String {
    let outcome = match serde_json::from_str::<T>(json) {
        Ok(value) => serde_json::to_string(&value).expect("a value that can be encoded"),
        Err(error) => format!("error: {error}"),
    };
    format!("{label}: {json}\n  => {outcome}\n")
}

fn names(list: &[&str]) -> BTreeSet<String> {
    list.iter().map(|name| (*name).to_owned()).collect()
}

fn full_catalog() -> Catalog {
    Catalog {
        version: 7,
        classes: names(&["preview", "master"]),
        kinds: names(&["gpu-large", "cpu"]),
        slots: 2.5,
        memory: 4096.0,
        licences: names(&["av1", "prores"]),
        codecs: names(&["h264", "av1"]),
        formats: names(&["tiff", "png"]),
        regions: names(&["eu-west", "eu-north"]),
        key_window_ms: Some(5000),
        longest_run_ms: 60_000,
    }
}

fn full_manifest() -> Manifest {
    Manifest {
        class: "preview".into(),
        kinds: names(&["gpu-large", "cpu"]),
        slots: Some(1.5),
        memory: Some(512.0),
        licences: names(&["av1"]),
        codecs: names(&["h264", "av1"]),
        formats: names(&["png"]),
        regions: names(&["eu-west", "eu-north", "us-east"]),
        key_window_ms: Some(1000),
        run_ms: Some(30_000),
    }
}

/// A manifest of which every key is a mismatch with the full catalog.
fn mismatching_manifest() -> Manifest {
    Manifest {
        class: "sheet".into(),
        kinds: names(&["tape"]),
        slots: Some(3.0),
        memory: Some(8192.5),
        licences: names(&["hevc"]),
        codecs: names(&["vvc"]),
        formats: names(&["exr"]),
        regions: names(&["eu-west"]),
        key_window_ms: Some(5001),
        run_ms: Some(60_001),
    }
}

#[test]
fn catalogs_encode_and_decode() {
    let without_key_window = Catalog {
        key_window_ms: None,
        ..full_catalog()
    };
    let largest_numbers = Catalog {
        version: u64::MAX,
        slots: 1e300,
        memory: 0.1,
        key_window_ms: Some(u64::MAX),
        longest_run_ms: u64::MAX,
        ..Catalog::default()
    };
    let escaped = Catalog {
        classes: names(&["quote\"d", "ünïcode", "tab\t"]),
        ..Catalog::default()
    };
    let lines = [
        json_line("default", &Catalog::default()),
        json_line("full", &full_catalog()),
        json_line("without a key window", &without_key_window),
        json_line("largest numbers", &largest_numbers),
        json_line("escaped names", &escaped),
        decoded_line::<Catalog>("empty object", "{}"),
        decoded_line::<Catalog>("some keys", r#"{"version":3,"classes":["b","a","a"]}"#),
        decoded_line::<Catalog>("whole number for slots", r#"{"slots":2}"#),
        decoded_line::<Catalog>("null key window", r#"{"key_window_ms":null}"#),
        decoded_line::<Catalog>("unknown key", r#"{"gpus":3}"#),
        decoded_line::<Catalog>("key twice", r#"{"version":1,"version":2}"#),
        decoded_line::<Catalog>("negative version", r#"{"version":-1}"#),
    ];
    assert_golden("catalogs", &lines.concat());
}

#[test]
fn manifests_encode_and_decode() {
    let only_class = Manifest {
        class: "preview".into(),
        ..Manifest::default()
    };
    let zeroes = Manifest {
        slots: Some(0.0),
        memory: Some(0.0),
        key_window_ms: Some(0),
        run_ms: Some(0),
        ..only_class.clone()
    };
    let lines = [
        json_line("default", &Manifest::default()),
        json_line("only a class", &only_class),
        json_line("zeroes", &zeroes),
        json_line("full", &full_manifest()),
        json_line("unfit", &mismatching_manifest()),
        decoded_line::<Manifest>("empty object", "{}"),
        decoded_line::<Manifest>(
            "empty sets and nulls",
            r#"{"class":"preview","kinds":[],"slots":null,"run_ms":null}"#,
        ),
        decoded_line::<Manifest>("unknown key", r#"{"class":"preview","gpu":true}"#),
        decoded_line::<Manifest>("key twice", r#"{"class":"a","class":"b"}"#),
        decoded_line::<Manifest>("text for slots", r#"{"class":"a","slots":"2"}"#),
    ];
    assert_golden("manifests", &lines.concat());
}

#[test]
fn match_results_have_their_golden_texts() {
    let catalog = full_catalog();
    let without_regions = Catalog {
        regions: BTreeSet::new(),
        ..full_catalog()
    };
    let without_key_window = Catalog {
        key_window_ms: None,
        ..full_catalog()
    };
    let invalid_numbers = Manifest {
        slots: Some(f64::NAN),
        memory: Some(-1.0),
        ..full_manifest()
    };
    let lines = [
        format!("full: {}\n", check(&full_manifest(), Some(&catalog))),
        format!(
            "unfit: {}\n",
            check(&mismatching_manifest(), Some(&catalog))
        ),
        format!(
            "no regions: {}\n",
            check(&full_manifest(), Some(&without_regions))
        ),
        format!(
            "no key window: {}\n",
            check(&full_manifest(), Some(&without_key_window))
        ),
        format!("no number: {}\n", check(&invalid_numbers, Some(&catalog))),
        format!("no catalog: {}\n", check(&full_manifest(), None)),
    ];
    assert_golden("match_results", &lines.concat());
}

#[test]
fn mismatches_and_their_advice_have_their_golden_texts() {
    let mismatches = [
        Mismatch::Missing {
            need: "codecs",
            name: "vvc".into(),
        },
        Mismatch::NoKind,
        Mismatch::ExceedsLimit {
            need: "slots",
            wanted: 4.0,
            limit: 1.0,
        },
        Mismatch::Region("us-east".into()),
        Mismatch::NoRegion,
    ];
    let mut text = String::new();
    for mismatch in mismatches {
        writeln!(text, "{mismatch}\n  advice: {}", mismatch.advice()).expect("a string takes it");
    }
    assert_golden("mismatch_texts", &text);
}

#[test]
fn bounds_errors_have_their_golden_texts() {
    let too_many: BTreeSet<String> = (0..=MAX_ENTRIES).map(|n| n.to_string()).collect();
    let too_long = names(&["x".repeat(MAX_NAME_LENGTH + 1).as_str()]);
    let mut text = format!("entries at most: {MAX_ENTRIES}\nlongest name: {MAX_NAME_LENGTH}\n");
    let mut record = |label: &str, outcome: Result<(), BoundsError>| {
        let description = outcome.map_or_else(|error| error.to_string(), |()| "valid".to_owned());
        writeln!(text, "{label}: {description}").expect("a string takes it");
    };
    record("full catalog", full_catalog().validate());
    record("full manifest", full_manifest().validate());
    record("default manifest", Manifest::default().validate());
    let long_class = "x".repeat(MAX_NAME_LENGTH + 1);
    let manifest = Manifest {
        class: long_class,
        ..full_manifest()
    };
    record("manifest, long class", manifest.validate());
    for set in [too_many, too_long, names(&[""])] {
        let catalogs: [fn(&mut Catalog) -> &mut BTreeSet<String>; 6] = [
            |catalog| &mut catalog.classes,
            |catalog| &mut catalog.kinds,
            |catalog| &mut catalog.licences,
            |catalog| &mut catalog.codecs,
            |catalog| &mut catalog.formats,
            |catalog| &mut catalog.regions,
        ];
        for field in catalogs {
            let mut catalog = full_catalog();
            *field(&mut catalog) = set.clone();
            record("catalog", catalog.validate());
        }
        let manifests: [fn(&mut Manifest) -> &mut BTreeSet<String>; 5] = [
            |manifest| &mut manifest.kinds,
            |manifest| &mut manifest.licences,
            |manifest| &mut manifest.codecs,
            |manifest| &mut manifest.formats,
            |manifest| &mut manifest.regions,
        ];
        for field in manifests {
            let mut manifest = full_manifest();
            *field(&mut manifest) = set.clone();
            record("manifest", manifest.validate());
        }
    }
    for figure in [-1.0, f64::NAN, f64::INFINITY] {
        let slots = Catalog {
            slots: figure,
            ..full_catalog()
        };
        record("catalog, slots", slots.validate());
        let memory = Catalog {
            memory: figure,
            ..full_catalog()
        };
        record("catalog, memory", memory.validate());
    }
    assert_golden("bounds", &text);
}

/// The steps of a placement after each kind of response, and the text of the rejection.
#[test]
fn placement_steps_after_each_response() {
    fn describe(step: PlacementStep) -> String {
        match step {
            PlacementStep::Forward {
                site,
                catalog_version,
            } => format!("ask {site} with catalog version {catalog_version}"),
            PlacementStep::Wait => "wait".to_owned(),
            PlacementStep::Rejected(reason) => format!("refused: {reason}"),
        }
    }
    let candidate = |name: &str, version: u64, result: MatchResult| CandidateSite {
        name: name.into(),
        catalog_version: version,
        result,
    };
    let sites = [
        candidate("east", 3, MatchResult::Matches),
        candidate("north", 5, MatchResult::Matches),
        candidate("south", 1, MatchResult::Mismatches(vec![Mismatch::NoKind])),
        candidate("west", 2, MatchResult::Matches),
    ];
    let mut text = String::new();
    let mut placement = Placement::default();
    let responses = [
        ("lost", SiteResponse::NoAnswer),
        ("later", SiteResponse::RetryLater),
        ("outdated 9", SiteResponse::Outdated(9)),
        ("denied", SiteResponse::Rejected("no room".into())),
        ("none", SiteResponse::NoAnswer),
        ("denied", SiteResponse::Rejected("closed".into())),
    ];
    for (label, response) in responses {
        let step = describe(placement.next_step(&sites));
        writeln!(text, "{step}\n  answer: {label}").expect("a string takes it");
        placement.handle_response(response);
    }
    writeln!(text, "{}", describe(placement.next_step(&sites))).expect("a string takes it");
    let mut accepted = Placement::default();
    writeln!(
        text,
        "another job: {}",
        describe(accepted.next_step(&sites))
    )
    .expect("a string takes it");
    accepted.handle_response(SiteResponse::Accepted);
    let taken_by = accepted.accepted_by().unwrap_or("nobody").to_owned();
    let step = describe(accepted.next_step(&sites));
    writeln!(text, "  answer: accepted by {taken_by}\n{step}").expect("a string takes it");
    let mut alone = Placement::default();
    writeln!(text, "no sites: {}", describe(alone.next_step(&[]))).expect("a string takes it");
    let unknown = [candidate("east", u64::MAX, MatchResult::Unknown)];
    writeln!(
        text,
        "unknown site: {}",
        describe(alone.next_step(&unknown))
    )
    .expect("a string takes it");
    assert_golden("placement_steps", &text);
}
