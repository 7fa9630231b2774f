//! Runs `marbledeck config check` on each key of each section of the operator file.

use crate::assert_golden;
use crate::support::{program, Folder};
use crate::text;
use marbledeck_node::config::{OperatorConfig, SubmissionConfig};
use std::fmt::Write as _;
use std::fs;
use std::path::Path;

/// A file with every key, each with a value that is not its default.
const FULL_FILE: &str = r#"[submission]
listen = "127.0.0.1:7100"
workers = ["w1"]
max_line = 131073
max_jobs = 16385
max_bytes = 50331649
max_bulk = 10001
max_sessions = 257
history = 4097
max_submitters = 65
retain_s = 121
hold_s = 86401
session_s = 86402
[membership]
keep_s = 301
stale_s = 91
probe_s = 3
fails = 4
budget = 51
probes = false
[peers]
share = true
[eureka]
urls = ["http://127.0.0.1:8761/eureka", "http://127.0.0.1:8762/eureka/"]
apps = ["RENDER"]
vip = "render"
poll_s = 11
timeout_s = 6
full_s = 61
deltas = false
form = "xml"
secure = true
id_key = "worker"
zone_key = "zone"
kind_key = "kind"
rack_key = "rack"
[eureka.register]
app = "MARBLEDECK"
id = "n0"
address = "127.0.0.1:8000"
renew_s = 31
[[static]]
id = "w1"
address = "127.0.0.1:8001"
zone = "keller-ost"
kind = "r5-std"
cell = 1
[agreement]
fleet = "regensburg"
node = 1
nodes = 299
from = ["127.0.0.1"]
store = "/var/lib/marbledeck/agreement"
lease_ms = 3300
tick_ms = 110
[[agreement.voters]]
number = 1
address = "127.0.0.1:7301"
[[agreement.voters]]
number = 2
address = "127.0.0.1:7302"
[[agreement.voters]]
number = 3
address = "127.0.0.1:7303"
[seats]
licences = ["av1", "prores"]
classes = { sheet-publish = ["av1"] }
idle_ms = 10001
[sites]
name = "regensburg"
"#;

/// The bounds of each number: section, key, smallest and largest value.
const BOUNDS: [(&str, &str, u64, u64); 26] = [
    ("[submission]", "max_line", 1024, 163_840),
    ("[submission]", "max_jobs", 1, 262_144),
    ("[submission]", "max_bytes", 1024, 268_435_456),
    ("[submission]", "max_bulk", 1, 65_536),
    ("[submission]", "max_sessions", 1, 4096),
    ("[submission]", "history", 16, 65_536),
    ("[submission]", "max_submitters", 1, 256),
    ("[submission]", "retain_s", 1, 86_400),
    ("[submission]", "hold_s", 1, 604_800),
    ("[submission]", "session_s", 1, 604_800),
    ("[membership]", "keep_s", 1, 86_400),
    ("[membership]", "stale_s", 1, 86_400),
    ("[membership]", "probe_s", 1, 3600),
    ("[membership]", "fails", 1, 100),
    ("[membership]", "budget", 1, 10_000),
    ("[eureka]", "poll_s", 1, 3600),
    ("[eureka]", "timeout_s", 1, 600),
    ("[eureka]", "full_s", 1, 86_400),
    ("[eureka.register]", "renew_s", 1, 3600),
    ("[[static]]", "cell", 0, 4_294_967_295),
    ("[agreement]", "node", 1, 299),
    ("[agreement]", "nodes", 3, 900),
    ("[agreement]", "lease_ms", 3300, 60_000),
    ("[agreement]", "tick_ms", 10, 110),
    ("[[agreement.voters]]", "number", 1, 299),
    ("[seats]", "idle_ms", 100, 3_600_000),
];

/// Values of the right type that are invalid, or valid but unusual.
const VALUES: [(&str, &str, &str); 44] = [
    ("[submission]", "listen", r#""here""#),
    ("[submission]", "listen", r#""localhost:7100""#),
    ("[submission]", "listen", r#""[::1]:7100""#),
    ("[submission]", "workers", "[7]"),
    ("[submission]", "workers", "[]"),
    ("[eureka]", "urls", "[]"),
    ("[eureka]", "urls", r#"["https://127.0.0.1:8761/eureka"]"#),
    ("[eureka]", "urls", r#"["http://registry:8761/eureka"]"#),
    ("[eureka]", "urls", r#"["http://127.0.0.1/eureka"]"#),
    ("[eureka]", "urls", r#"["http://127.0.0.1:8761/eu reka"]"#),
    ("[eureka]", "urls", r#"["http://127.0.0.1:8761"]"#),
    (
        "[eureka]",
        "urls",
        r#"["http://127.0.0.1:8761/a", "http://127.0.0.1:8762/b"]"#,
    ),
    ("[eureka]", "urls", r#"["http://127.0.0.1:8761/a", "none"]"#),
    ("[eureka]", "vip", r#""""#),
    ("[eureka]", "vip", r#""two words""#),
    ("[eureka]", "form", r#""json""#),
    ("[eureka]", "form", r#""yaml""#),
    ("[eureka.register]", "app", r#""a/b""#),
    ("[eureka.register]", "app", r#""""#),
    ("[eureka.register]", "id", r#""a?b""#),
    ("[eureka.register]", "address", r#""here""#),
    ("[[static]]", "id", r#""""#),
    ("[[static]]", "address", r#""here""#),
    ("[agreement]", "fleet", r#""""#),
    ("[agreement]", "from", r#"["127.0.0.1:80"]"#),
    ("[agreement]", "from", "[]"),
    ("[agreement]", "node", "4"),
    ("[agreement]", "lease_ms", "3299"),
    ("[agreement]", "lease_ms", "299"),
    ("[agreement]", "lease_ms", "60001"),
    ("[agreement]", "tick_ms", "9"),
    ("[agreement]", "tick_ms", "1000"),
    ("[agreement]", "tick_ms", "1001"),
    ("[agreement]", "nodes", "0"),
    ("[[agreement.voters]]", "number", "2"),
    ("[[agreement.voters]]", "number", "0"),
    ("[[agreement.voters]]", "address", r#""here""#),
    ("[seats]", "licences", "[]"),
    ("[seats]", "licences", r#"["av1", "av1"]"#),
    ("[seats]", "licences", r#"["av1", "a,b"]"#),
    ("[seats]", "classes", r#"{ preview = ["none"] }"#),
    ("[seats]", "classes", r#"{ preview = "av1" }"#),
    ("[sites]", "name", r#""a/b""#),
    ("[sites]", "name", r#""""#),
];

/// Applies `change` to each line of the first section with this name in the full file; none removes a line.
fn change_section(section: &str, change: impl Fn(&str) -> Option<String>) -> String {
    let (before, rest) = FULL_FILE
        .split_once(&format!("{section}\n"))
        .expect("a section");
    let end = rest.find("\n[").map_or(rest.len(), |end| end + 1);
    let lines: String = rest[..end]
        .lines()
        .filter_map(change)
        .map(|line| line + "\n")
        .collect();
    format!("{before}{section}\n{lines}{}", &rest[end..])
}

fn is_key(line: &str, key: &str) -> bool {
    line.split_once(" = ")
        .is_some_and(|(found, _)| found == key)
}

/// The full file with another value of a key.
fn with_value(section: &str, key: &str, value: &str) -> String {
    change_section(section, |line| {
        if is_key(line, key) {
            Some(format!("{key} = {value}"))
        } else {
            Some(line.to_owned())
        }
    })
}

/// The full file without a key.
fn without_key(section: &str, key: &str) -> String {
    change_section(section, |line| {
        (!is_key(line, key)).then(|| line.to_owned())
    })
}

/// A value of another type.
fn of_another_type(value: &str) -> &'static str {
    if value.starts_with(|c: char| c.is_ascii_digit()) {
        "\"word\""
    } else {
        "5"
    }
}

/// The section, name and value of each key in the full file, each once.
fn keys() -> Vec<(&'static str, &'static str, &'static str)> {
    let (mut keys, mut section) = (Vec::new(), "");
    for line in FULL_FILE.lines() {
        match line.split_once(" = ") {
            Some((key, value)) => keys.push((section, key, value)),
            None => section = line,
        }
    }
    keys.dedup_by(|later, earlier| later.0 == earlier.0 && later.1 == earlier.1);
    let voters = keys
        .iter()
        .position(|(section, ..)| *section == "[[agreement.voters]]");
    let voters = voters.expect("a section") + 2;
    keys.drain(voters..voters + 4);
    keys
}

/// Runs `config check` on a text. Returns the exit status and the output as one line.
fn check(folder: &Folder, text: &str) -> String {
    let file = folder.write_file("site.toml", text);
    let mut command = program();
    let output = command
        .args(["config", "check"])
        .arg(&file)
        .output()
        .expect("it runs");
    let status = output.status.code().expect("ended by itself");
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8(text).expect("text");
    let text = text.replace(&file.display().to_string(), "<FILE>");
    let text = text::without_type_names(&text);
    format!(
        "{status} {}",
        text::escape_bytes(text.as_bytes()).replace("\\n\n", "\\n")
    )
}

/// Checks each key with a value of another type and missing, unknown keys, numbers at and beyond their bounds, and the
/// further values.
#[test]
fn each_missing_or_mistyped_key_is_named() {
    let folder = Folder::new();
    let mut golden = format!("whole file -> {}\n", check(&folder, FULL_FILE));
    let mut add = |title: &str, text: &str| {
        let _ = writeln!(golden, "{title} -> {}", check(&folder, text));
    };
    add("empty file", "");
    let mut last = "";
    for (section, key, value) in keys() {
        if std::mem::replace(&mut last, section) != section {
            let text = FULL_FILE.replacen(section, &format!("{section}\nunknown = 1"), 1);
            add(&format!("{section} unknown = 1"), &text);
        }
        let wrong = of_another_type(value);
        add(
            &format!("{section} {key} = {wrong}"),
            &with_value(section, key, wrong),
        );
        add(
            &format!("{section} without {key}"),
            &without_key(section, key),
        );
    }
    for (section, key, least, most) in BOUNDS {
        let values = [
            least.checked_sub(1),
            Some(least),
            Some(most),
            Some(most + 1),
        ];
        for value in values.into_iter().flatten() {
            let text = with_value(section, key, &value.to_string());
            add(&format!("{section} {key} = {value}"), &text);
        }
        add(
            &format!("{section} {key} = -1"),
            &with_value(section, key, "-1"),
        );
    }
    for (section, key, value) in VALUES {
        add(
            &format!("{section} {key} = {value}"),
            &with_value(section, key, value),
        );
    }
    assert_golden("operator_file_keys", &golden);
}

/// Checks sections that require others, invalid files, and the files that the project ships.
#[test]
fn faults_across_sections_are_named() {
    let folder = Folder::new();
    let mut golden = String::new();
    let mut add = |title: &str, text: &str| {
        let _ = writeln!(golden, "{title} -> {}", check(&folder, text));
    };
    add("unknown section", "[none]\n");
    add("unknown key", "none = 1\n");
    add("no TOML", "no TOML");
    add("a key twice", "[peers]\nshare = true\nshare = true\n");
    add("not closed", "[peers\n");
    add("[seats] alone", "[seats]\nlicences = [\"av1\"]\n");
    add("[sites] alone", "[sites]\nname = \"a\"\n");
    add("[eureka] alone", "[eureka]\n");
    add(
        "[eureka.register] alone",
        "[eureka.register]\napp = \"A\"\nid = \"a\"\naddress = \"127.0.0.1:1\"\n",
    );
    add("[submission] alone", "[submission]\n");
    add("[agreement] alone", "[agreement]\n");
    add(
        "static as a table",
        "[static]\nid = \"w1\"\naddress = \"127.0.0.1:1\"\n",
    );
    let worker = "[[static]]\nid = \"w1\"\naddress = \"127.0.0.1:1\"\n";
    add("static with an id twice", &format!("{worker}{worker}"));
    let voter = "[[agreement.voters]]\nnumber = 3\naddress = \"127.0.0.1:7303\"\n";
    add("two voters", &FULL_FILE.replace(voter, ""));
    let fourth = voter.replace('3', "4");
    add(
        "four voters",
        &FULL_FILE.replace(voter, &format!("{voter}{fourth}")),
    );
    let repository = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let shipped = fs::read_to_string(repository.join("deploy/site.toml")).expect("a file");
    add("deploy/site.toml", &shipped);
    let missing = folder.path().join("none.toml");
    let mut command = program();
    let output = command
        .args(["config", "check"])
        .arg(&missing)
        .output()
        .expect("it runs");
    golden += &folder.hide_path(&text::describe_output(&output));
    assert_golden("operator_file_whole", &golden);
}

/// Checks the values read from the full file, from a minimal one and from an empty one.
#[test]
fn values_are_read_with_their_defaults() {
    let folder = Folder::new();
    let read = |text: &str| {
        OperatorConfig::read(&folder.write_file("site.toml", text)).expect("it is right")
    };
    let voters = "[[agreement.voters]]\nnumber = 1\naddress = \"127.0.0.1:1\"\n[[agreement.voters]]\nnumber = 2\n\
                  address = \"127.0.0.1:1\"\n[[agreement.voters]]\nnumber = 3\naddress = \"127.0.0.1:1\"\n";
    let least = format!(
        "[submission]\nlisten = \"127.0.0.1:1\"\n[eureka]\nurls = [\"http://127.0.0.1:1\"]\n[eureka.register]\n\
         app = \"A\"\nid = \"a\"\naddress = \"127.0.0.1:1\"\n[[static]]\nid = \"w\"\naddress = \"127.0.0.1:1\"\n\
         [agreement]\nfleet = \"f\"\nnode = 4\nnodes = 4\nfrom = []\n{voters}[seats]\nlicences = [\"a\"]\n"
    );
    let repository = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let submission = SubmissionConfig::read(&repository.join("deploy/submission.toml"));
    let mut shipped = String::new();
    describe_submission(&submission.expect("it is right"), &mut shipped);
    let golden = format!(
        "=== whole file\n{}\n=== defaults\n{}\n=== empty file\n{}\n=== deploy/submission.toml\n{shipped}",
        describe(&read(FULL_FILE)),
        describe(&read(&least)),
        describe(&read(""))
    );
    assert_golden("operator_file_values", &golden);
}

/// Describes a configuration, one key in each line; times are in microseconds.
fn describe(config: &OperatorConfig) -> String {
    let mut text = String::new();
    if let Some(submission) = &config.submission {
        describe_submission(submission, &mut text);
    }
    let preservation = &config.self_preservation;
    let _ = writeln!(text, "membership.keep_s: {} us", preservation.retention.0);
    let _ = writeln!(
        text,
        "membership.stale_s: {} us",
        preservation.silence_timeout.0
    );
    let _ = writeln!(
        text,
        "membership.probe_s: {} us",
        preservation.probe_interval.0
    );
    let _ = writeln!(text, "membership.fails: {}", preservation.max_failures);
    let _ = writeln!(text, "membership.budget: {}", preservation.probe_budget);
    let _ = writeln!(text, "membership.probes: {}", preservation.probes);
    let _ = writeln!(text, "peers.share: {}", config.gossip);
    describe_eureka(config, &mut text);
    for worker in &config.static_workers {
        let cell = worker
            .cell
            .map_or("none".to_owned(), |cell| cell.0.to_string());
        let address = worker
            .address
            .map_or("none".to_owned(), |address| address.to_string());
        let (id, zone, kind) = (&worker.id, &worker.zone, &worker.kind);
        let _ = writeln!(
            text,
            "static: id {id}, address {address}, zone {zone}, kind {kind}, cell {cell}"
        );
    }
    describe_consensus(config, &mut text);
    if let Some(seats) = &config.licensing {
        let _ = writeln!(text, "seats.licences: {}", seats.licences.join(", "));
        for (class, licences) in &seats.classes {
            let _ = writeln!(text, "seats.classes.{class}: {}", licences.join(", "));
        }
        let _ = writeln!(text, "seats.idle_ms: {} us", seats.idle.0);
    }
    let _ = writeln!(text, "sites.name: {}", or_none(&config.site));
    text
}

fn or_none(value: &Option<String>) -> &str {
    value.as_deref().unwrap_or("none")
}

fn describe_submission(submission: &SubmissionConfig, text: &mut String) {
    let _ = writeln!(text, "submission.listen: {}", submission.listen);
    let _ = writeln!(
        text,
        "submission.workers: {}",
        submission.workers.join(", ")
    );
    let numbers = [
        ("max_line", submission.max_line),
        ("max_jobs", submission.max_jobs),
        ("max_bytes", submission.max_bytes),
        ("max_bulk", submission.max_bulk),
        ("max_sessions", submission.max_sessions),
        ("history", submission.history),
        ("max_submitters", submission.max_submitters),
    ];
    for (key, number) in numbers {
        let _ = writeln!(text, "submission.{key}: {number}");
    }
    let _ = writeln!(text, "submission.retain_s: {}", submission.retain_s);
    let _ = writeln!(text, "submission.hold_s: {}", submission.hold_s);
    let _ = writeln!(text, "submission.session_s: {}", submission.session_s);
}

fn describe_eureka(config: &OperatorConfig, text: &mut String) {
    let Some(eureka) = &config.eureka else {
        return;
    };
    for url in &eureka.urls {
        let _ = writeln!(
            text,
            "eureka.urls: address {}, path '{}'",
            url.addr, url.path
        );
    }
    let _ = writeln!(text, "eureka.apps: {}", eureka.apps.join(", "));
    let _ = writeln!(text, "eureka.vip: {}", or_none(&eureka.vip));
    let _ = writeln!(text, "eureka.poll_s: {} us", eureka.poll_interval.0);
    let _ = writeln!(text, "eureka.timeout_s: {} us", eureka.timeout.0);
    let _ = writeln!(
        text,
        "eureka.full_s: {} us",
        eureka.min_full_fetch_interval.0
    );
    let _ = writeln!(text, "eureka.deltas: {}", eureka.deltas);
    let _ = writeln!(text, "eureka.secure: {}", eureka.keys.secure);
    let _ = writeln!(text, "eureka.id_key: {}", or_none(&eureka.keys.id));
    let _ = writeln!(text, "eureka.zone_key: {}", or_none(&eureka.keys.zone));
    let _ = writeln!(text, "eureka.kind_key: {}", or_none(&eureka.keys.kind));
    let _ = writeln!(text, "eureka.rack_key: {}", or_none(&eureka.keys.rack));
    if let Some(entry) = &eureka.registration {
        let _ = writeln!(text, "eureka.register.app: {}", entry.app);
        let _ = writeln!(text, "eureka.register.id: {}", entry.id);
        let _ = writeln!(text, "eureka.register.address: {}", entry.addr);
        let _ = writeln!(
            text,
            "eureka.register.renew_s: {} us",
            entry.renewal_interval.0
        );
    }
}

fn describe_consensus(config: &OperatorConfig, text: &mut String) {
    let Some(consensus) = &config.consensus else {
        return;
    };
    let _ = writeln!(text, "agreement.fleet: {}", consensus.fleet);
    let _ = writeln!(text, "agreement.node: {}", consensus.node);
    let _ = writeln!(text, "agreement.nodes: {}", consensus.nodes);
    for address in &consensus.from {
        let _ = writeln!(text, "agreement.from: {address}");
    }
    let _ = writeln!(text, "agreement.store: '{}'", consensus.store.display());
    let _ = writeln!(
        text,
        "agreement.lease_ms: {} us",
        consensus.terms.duration.0
    );
    let _ = writeln!(text, "agreement.tick_ms: {} us", consensus.tick.0);
    for voter in &consensus.voters {
        let _ = writeln!(
            text,
            "agreement.voters: {} at {}",
            voter.number, voter.address
        );
    }
}
