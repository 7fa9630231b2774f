//! The error for a faulty configuration names the faulty key.

use marbledeck_node::config::{NodeConfig, OperatorConfig, SubmissionConfig};
use rstest::rstest;
use std::fs;
use std::path::{Path, PathBuf};

/// Writes a temporary file with this text. `name` makes its name unique among the tests.
fn write_temporary_file(name: &str, text: &str) -> PathBuf {
    let name = name.replace(|c: char| !c.is_alphanumeric(), "-");
    let path = std::env::temp_dir().join(format!("marbledeck-{}-{name}", std::process::id()));
    fs::write(&path, text).unwrap();
    path
}

#[rstest]
#[case(
    r#""seed":"7""#,
    r#""seed":"xyz""#,
    "LB_CONFIG: seed: must be a number"
)]
#[case(
    r#""sockets":1024"#,
    r#""sockets":"many""#,
    "LB_CONFIG: limits.sockets: invalid type"
)]
#[case(
    r#""sockets":1024"#,
    r#""sockets":20"#,
    "LB_CONFIG: limits.sockets: must be at least 96"
)]
#[case(
    r#""memory_mb":192"#,
    r#""memory_mb":16"#,
    "LB_CONFIG: limits.memory_mb: must be at least 32"
)]
#[case(
    r#""balancers":1,"#,
    "",
    "LB_CONFIG: settings: missing field `balancers`"
)]
#[case(
    r#""balancers":1,"#,
    r#""balancers":0,"#,
    "LB_CONFIG: settings: there must be at least one"
)]
#[case(
    r#""name":"preview","#,
    "",
    "LB_CONFIG: settings.profiles[0].name: missing"
)]
#[case(
    r#""try-limit":3"#,
    r#""try-limit":-3"#,
    "LB_CONFIG: settings.bounds.try-limit: invalid"
)]
#[case(
    r#""127.0.0.1:1""#,
    r#""here""#,
    "LB_CONFIG: discovery: 'here' is not an IP address"
)]
#[case(r#""discovery":"127.0.0.1:1","#, "", "LB_DISCOVERY: not set")]
#[case("{", "", "LB_CONFIG: ")]
fn faulty_node_file_names_the_key(
    #[case] valid: &str,
    #[case] faulty: &str,
    #[case] message: &str,
) {
    let tests = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/exchanges");
    let text = fs::read_to_string(tests.join("config.json")).unwrap();
    let text = text.replace("\"MEMBERS\"", "").replacen(valid, faulty, 1);
    let path = write_temporary_file(message, &text);
    let var = |name: &str| match name {
        "LB_CONFIG" => Some(path.display().to_string()),
        "LB_LISTEN" => Some("127.0.0.1:0".to_owned()),
        _ => None,
    };
    let error = NodeConfig::read(var).err().expect("faulty").to_string();
    fs::remove_file(&path).unwrap();
    assert!(error.starts_with(message), "{error}");
}

#[rstest]
#[case("workers = []", "missing field `listen`")]
#[case("listen = \"here\"", "listen: invalid socket address")]
#[case(
    "listen = \"127.0.0.1:0\"\nmax_bulk = 0",
    "max_bulk: must be between 1 and 65536"
)]
#[case("listen = \"127.0.0.1:0\"\nmax_bluk = 9", "unknown field `max_bluk`")]
#[case("listen = ", "invalid")]
fn faulty_submission_file_names_the_key(#[case] text: &str, #[case] message: &str) {
    let path = write_temporary_file(message, text);
    let error = SubmissionConfig::read(&path).unwrap_err().to_string();
    fs::remove_file(&path).unwrap();
    let path_text = path.display().to_string();
    assert!(
        error.starts_with(&path_text) && error.contains(message),
        "{error}"
    );
}

/// `deploy/submission.toml` holds the defaults, as its comments say.
#[test]
fn shipped_submission_file_has_the_defaults() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/submission.toml");
    let short = write_temporary_file("short", "listen = \"127.0.0.1:7100\"");
    let defaults = SubmissionConfig::read(&short).unwrap();
    fs::remove_file(&short).unwrap();
    assert_eq!(SubmissionConfig::read(&path).unwrap(), defaults);
}

#[rstest]
#[case("[submision]", "unknown field `submision`")]
#[case(
    "[submission]\nlisten = \"127.0.0.1:0\"\nhistory = 1",
    "submission: history: must be between 16 and 65536"
)]
#[case(
    "[membership]\nkeep_s = 0",
    "membership: keep_s: must be between 1 and 86400"
)]
#[case("[membership]\nkeep = 5", "membership.keep: unknown field `keep`")]
#[case("[eureka]\nurls = []", "eureka: urls: must have at least one entry")]
#[case("[eureka]\napps = []", "eureka: missing field `urls`")]
#[case(
    "[eureka]\nurls = [\"https://127.0.0.1:1\"]",
    "eureka: urls[0]: 'https://127.0.0.1:1': must have the form http://"
)]
#[case(
    "[eureka]\nurls = [\"http://registry:8761\"]",
    "must have an IP address with a port; host names are not resolved"
)]
#[case(
    "[eureka]\nurls = [\"http://127.0.0.1:1/a\", \"http://127.0.0.1:2/b\"]",
    "the same path"
)]
#[case(
    "[eureka]\nurls = [\"http://127.0.0.1:1\"]\nform = \"yaml\"",
    "eureka: form: must be json or xml"
)]
#[case(
    "[eureka]\nurls = [\"http://127.0.0.1:1\"]\nvip = \"a b\"",
    "eureka: vip: must be one or more printable ASCII characters without spaces"
)]
#[case(
    "[[static]]\nid = \"w\"\naddress = \"here\"",
    "static[0].address: 'here' is not an IP address"
)]
#[case(
    "[[static]]\nid = \"\"\naddress = \"127.0.0.1:1\"",
    "static[0].id: must be an id"
)]
fn faulty_operator_file_names_the_key(#[case] text: &str, #[case] message: &str) {
    let path = write_temporary_file(&format!("site-{message}"), text);
    let error = OperatorConfig::read(&path)
        .err()
        .expect("faulty")
        .to_string();
    fs::remove_file(&path).unwrap();
    let path_text = path.display().to_string();
    assert!(
        error.starts_with(&path_text) && error.contains(message),
        "{error}"
    );
}

/// The error for a fault in the consensus part names the faulty key.
#[rstest]
#[case("node = 4", "agreement: node: must be between 1 and 3")]
#[case("lease_ms = 100", "agreement: lease_ms: must be between 300 and 60000")]
#[case(
    "lease_ms = 1000",
    "agreement: lease_ms: must be at least 30 times tick_ms"
)]
#[case(
    r#"from = ["here"]"#,
    "agreement: from[0]: must be an IP address without a port"
)]
#[case(r#"fleet = """#, "agreement: fleet: must be a name of 1 to 128 bytes")]
#[case("colour = 1", "agreement.colour: unknown field")]
#[case("", "agreement: store: missing: this node votes")]
fn faulty_consensus_part_names_the_key(#[case] line: &str, #[case] message: &str) {
    let mut keys = vec![
        "fleet = \"f\"",
        "node = 1",
        "nodes = 3",
        "from = [\"127.0.0.1\"]",
    ];
    let name = line.split(' ').next().unwrap_or_default();
    keys.retain(|key| !key.starts_with(&format!("{name} ")) || name.is_empty());
    let voter =
        |n: u32| format!("[[agreement.voters]]\nnumber = {n}\naddress = \"127.0.0.1:730{n}\"\n");
    let voters: String = (1..=3).map(voter).collect();
    let text = format!("[agreement]\n{}\n{line}\n{voters}", keys.join("\n"));
    let path = write_temporary_file(message, &text);
    let error = OperatorConfig::read(&path)
        .err()
        .expect("a fault")
        .to_string();
    fs::remove_file(&path).unwrap();
    assert!(error.contains(message), "{error}");
}

#[rstest]
#[case(
    "[seats]\nlicences = [\"a\"]",
    "seats: requires the section [agreement]"
)]
#[case(
    "[seats]\nlicences = [\"a\", \"a\"]",
    "seats: licences[1]: must be printable ASCII characters without spaces and commas, listed once"
)]
#[case(
    "[seats]\nlicences = [\"a\"]\nclasses = { p = [\"b\"] }",
    "seats: classes.p: 'b' is not in the list of licences"
)]
#[case(
    "[sites]\nname = \"a\"",
    "sites: requires the sections [agreement] and [submission]"
)]
fn faulty_licensing_and_federation_parts_name_the_key(#[case] text: &str, #[case] message: &str) {
    let path = write_temporary_file(message, text);
    let error = OperatorConfig::read(&path)
        .err()
        .expect("a fault")
        .to_string();
    fs::remove_file(&path).unwrap();
    assert!(error.contains(message), "{error}");
}

/// `deploy/site.toml` enables no part. With all its keys uncommented it is valid, and the values that it shows are the
/// defaults.
#[test]
fn shipped_operator_file_is_off_and_uncommented_has_the_defaults() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/site.toml");
    let shipped = OperatorConfig::read(&path).unwrap();
    assert!(
        shipped.submission.is_none()
            && shipped.eureka.is_none()
            && shipped.static_workers.is_empty()
    );
    assert!(shipped.consensus.is_none() && shipped.licensing.is_none() && shipped.site.is_none());
    let text = fs::read_to_string(&path).unwrap();
    let uncomment = |line: &str| match line.strip_prefix('#') {
        Some(rest) if rest.starts_with('[') || rest.contains(" = ") => rest.to_owned(),
        _ => line.to_owned(),
    };
    let lines: Vec<String> = text.lines().map(uncomment).collect();
    let path = write_temporary_file("whole site", &lines.join("\n"));
    let uncommented = OperatorConfig::read(&path).unwrap();
    fs::remove_file(&path).unwrap();
    assert_eq!(uncommented.self_preservation, shipped.self_preservation);
    let submission = write_temporary_file("front", "listen = \"127.0.0.1:7100\"");
    let defaults = SubmissionConfig::read(&submission).unwrap();
    fs::remove_file(&submission).unwrap();
    assert_eq!(uncommented.submission, Some(defaults));
    assert!(uncommented.eureka.is_some() && uncommented.static_workers.len() == 1);
    assert!(
        uncommented.consensus.is_some()
            && uncommented.licensing.is_some()
            && uncommented.site.is_some()
    );
}
