//! The keys of the file at `LB_CONFIG` and the variables, and the errors for invalid values.

use crate::assert_golden;
use crate::support::Folder;
use crate::text::{without_numbers_after, without_type_names};
use marbledeck_dispatcher::Settings;
use marbledeck_node::config::NodeConfig;
use serde_json::{json, Value};
use std::fmt::Write as _;

/// A file with every key, each with a value that is not its default.
fn full_file() -> Value {
    json!({
        "name": "n-0", "listen": "127.0.0.1:8001", "discovery": "127.0.0.1:8002", "ops": "127.0.0.1:8003", "seed": "1f",
        "limits": {"sockets": 500, "memory_mb": 100},
        "known": {"revision": 3, "complete": true, "members": [
            {"id": "w1", "host_port": "127.0.0.1:8004", "locality": "east", "flavor": "std", "cell": 2, "phase": "up",
                "up_since_ms": 5}]},
        "peer_listen": "127.0.0.1:8005", "peers": ["127.0.0.1:8006", "127.0.0.1:8007"],
        "peers_all": ["127.0.0.1:8006", "127.0.0.1:8007"],
        "settings": {
            "balancers": 2, "self-index": 1, "zone": 1, "localities": ["west", "east"], "kinds": ["std", "big"],
            "registry-mode": "automatic", "stats": {"fields": ["x0"], "how": "piggyback"},
            "family-info": {"class-kind": [-1, 1], "class-stretch": [2.0, 2.5], "report-x0": "free slots",
                "report-x1": "free memory", "tells-start": true, "progress-us": 1_000_001},
            "bounds": {"conn-idle-us": 5_000_001, "connect-timeout-us": 250_001, "max-open": 20_001,
                "max-retry-after-us": 2_000_001, "may-cancel": true, "may-tell": true, "probes": true,
                "retry-after": true, "second-copies": true, "try-limit": 4},
            "profiles": [
                {"name": "preview", "effect": "safe", "promise-us": 5_000_001, "deadline-us": 7_500_001,
                    "aim-stretch": 3.5},
                {"name": "sheet-publish", "effect": "keyed", "dedup-scope": "cell", "dedup-window-us": 40_000_001,
                    "promise-us": 20_000_001, "deadline-us": 25_000_001}],
            "rules": {"cold-from": 0.38, "overload-factor": 4.5, "tip-after-us": 1_500_001,
                "warm-up-us": 8_400_001, "must-ask-in-us": 10_000_001, "drain-grace-us": 400_001},
            "tenants": [{"name": "au", "quota-per-s": 20.5, "share": 0.25}]}})
}

/// The smallest file from which a node can start.
fn minimal_file() -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "0",
        "settings": {"balancers": 1, "profiles": [{"name": "preview", "effect": "safe"}]}})
}

/// Reads a file with these variables. Returns the configuration or the text of the error.
fn read(folder: &Folder, file: &Value, variables: &[(&str, &str)]) -> Result<NodeConfig, String> {
    let path = folder.write_file("config.json", &file.to_string());
    let variable = |name: &str| match name {
        "LB_CONFIG" => Some(path.display().to_string()),
        _ => {
            let found = variables.iter().find(|(known, _)| *known == name);
            found.map(|(_, value)| (*value).to_owned())
        }
    };
    NodeConfig::read(variable).map_err(|error| {
        let error = folder.hide_path(&error.to_string());
        without_type_names(&without_numbers_after(&error, "column ", "<n>"))
    })
}

/// The result of reading a file, as one line.
fn describe_result(folder: &Folder, file: &Value) -> String {
    match read(folder, file, &[]) {
        Ok(_) => "taken".to_owned(),
        Err(error) => error,
    }
}

/// Collects the JSON pointers of all values; of a list, only those of its first element.
fn collect_pointers(value: &Value, pointer: &str, found: &mut Vec<String>) {
    if !pointer.is_empty() {
        found.push(pointer.to_owned());
    }
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                collect_pointers(value, &format!("{pointer}/{key}"), found);
            }
        }
        Value::Array(elements) => {
            if let Some(value) = elements.first() {
                collect_pointers(value, &format!("{pointer}/0"), found);
            }
        }
        _ => {}
    }
}

fn remove(file: &mut Value, pointer: &str) {
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    match file.pointer_mut(parent).expect("a value") {
        Value::Object(fields) => drop(fields.remove(key)),
        Value::Array(elements) => drop(elements.remove(0)),
        _ => unreachable!("only objects and arrays contain values"),
    }
}

/// Checks each key with values of other types, and missing.
#[test]
fn each_missing_or_mistyped_key_is_named() {
    let folder = Folder::new();
    let full = full_file();
    let mut all = Vec::new();
    collect_pointers(&full, "", &mut all);
    all.sort();
    let mut golden = format!("whole file -> {}\n", describe_result(&folder, &full));
    for pointer in all {
        for wrong in [
            json!("word"),
            json!(-5),
            json!(1.5),
            json!(true),
            json!({}),
            json!(null),
        ] {
            let mut file = full.clone();
            *file.pointer_mut(&pointer).expect("a value") = wrong.clone();
            let _ = writeln!(
                golden,
                "{pointer} = {wrong} -> {}",
                describe_result(&folder, &file)
            );
        }
        let mut file = full.clone();
        remove(&mut file, &pointer);
        let _ = writeln!(
            golden,
            "without {pointer} -> {}",
            describe_result(&folder, &file)
        );
    }
    assert_golden("node_file_keys", &golden);
}

/// Checks values at and beyond their bounds, and unknown keys.
#[test]
fn values_out_of_bounds_are_refused() {
    let folder = Folder::new();
    let values = [
        ("/limits/sockets", json!(95)),
        ("/limits/sockets", json!(96)),
        ("/limits/sockets", json!(100_000)),
        ("/limits/memory_mb", json!(31)),
        ("/limits/memory_mb", json!(32)),
        ("/seed", json!("xyz")),
        ("/seed", json!("")),
        ("/listen", json!("localhost:80")),
        ("/ops", json!("127.0.0.1")),
        ("/peers/0", json!("here")),
        ("/peers", json!(["127.0.0.1:8006"])),
        ("/peer_listen", json!("here")),
        ("/known/members/0/host_port", json!("here")),
        ("/settings/balancers", json!(0)),
        ("/settings/self-index", json!(2)),
        ("/settings/profiles", json!([])),
        ("/settings/profiles/0/name", json!("")),
        ("/settings/profiles/0/effect", json!("none")),
        ("/settings/profiles/1/dedup-scope", json!("rack")),
        ("/settings/profiles/1/dedup-scope", json!("all")),
        ("/settings/profiles/1/dedup-scope", json!("zone")),
        ("/settings/family-info/class-stretch", json!([-1.0, 2.0])),
        ("/settings/rules/cold-from", json!(1.5)),
        ("/settings/rules/overload-factor", json!(-1.0)),
        ("/settings/bounds/try-limit", json!(0)),
        ("/settings/tenants/0/share", json!(-0.5)),
        ("/settings/tenants/0/quota-per-s", json!(-0.5)),
        ("/settings/stats/how", json!("none")),
        ("/settings/registry-mode", json!("none")),
    ];
    let mut golden = String::new();
    for (pointer, value) in values {
        let mut file = full_file();
        *file.pointer_mut(pointer).expect("a value") = value.clone();
        let _ = writeln!(
            golden,
            "{pointer} = {value} -> {}",
            describe_result(&folder, &file)
        );
    }
    for parent in [
        "",
        "/limits",
        "/known",
        "/known/members/0",
        "/settings",
        "/settings/bounds",
    ] {
        let mut file = full_file();
        file.pointer_mut(parent).expect("a value")["unknown"] = 1.into();
        let _ = writeln!(
            golden,
            "{parent}/unknown = 1 -> {}",
            describe_result(&folder, &file)
        );
    }
    assert_golden("node_file_bounds", &golden);
}

/// Checks the values read from files, with and without variables.
#[test]
fn values_are_read_with_their_defaults() {
    let folder = Folder::new();
    let variables = [
        ("LB_NAME", "other"),
        ("LB_LISTEN", "127.0.0.1:11"),
        ("LB_DISCOVERY", "127.0.0.1:12"),
        ("LB_OPS", "127.0.0.1:13"),
        ("TMPDIR", "/tmp/folder"),
        ("MARBLEDECK_LOG", "debug"),
    ];
    let mut golden = String::new();
    let mut add = |title: &str, file: &Value, variables: &[(&str, &str)]| {
        let config = read(&folder, file, variables).expect("it is right");
        let _ = writeln!(golden, "=== {title}\n{}", describe(&config));
    };
    add("whole file", &full_file(), &[]);
    add("whole file, all variables", &full_file(), &variables);
    add("defaults", &minimal_file(), &[]);
    assert_golden("node_file_values", &golden);
}

/// Describes a configuration, one key in each line; times are in microseconds.
fn describe(config: &NodeConfig) -> String {
    let mut text = String::new();
    let _ = writeln!(text, "name: {}", config.name);
    let _ = writeln!(text, "listen: {}", config.listen);
    let _ = writeln!(text, "discovery: {}", config.discovery);
    let in_file = config.discovery_in_file.map(|address| address.to_string());
    let _ = writeln!(
        text,
        "discovery in the file: {}",
        in_file.unwrap_or("none".to_owned())
    );
    let ops = config.operators.map(|address| address.to_string());
    let _ = writeln!(text, "ops: {}", ops.unwrap_or("none".to_owned()));
    let handover = config
        .handover_socket
        .as_ref()
        .map(|path| path.display().to_string());
    let _ = writeln!(
        text,
        "handover socket: {}",
        handover.unwrap_or("none".to_owned())
    );
    let _ = writeln!(text, "seed: {:x}", config.seed);
    let _ = writeln!(text, "consumers: {}", config.limits.client_connections);
    let _ = writeln!(
        text,
        "connections to workers: {}",
        config.limits.worker_connections
    );
    let _ = writeln!(text, "bytes of bodies: {}", config.limits.body_bytes);
    let _ = writeln!(text, "log level: {}", config.log_level);
    if let Some(known) = &config.cached_list {
        let _ = writeln!(
            text,
            "known: {}",
            serde_json::to_string(known).expect("a list")
        );
    }
    if let Some(peers) = &config.peers {
        let nodes: Vec<String> = peers.nodes.iter().map(ToString::to_string).collect();
        let _ = writeln!(text, "peer_listen: {}", peers.listen);
        let _ = writeln!(
            text,
            "peers: {}, of which this is {}",
            nodes.join(", "),
            peers.index
        );
    }
    describe_settings(config, &mut text);
    text
}

fn describe_settings(config: &NodeConfig, text: &mut String) {
    let _ = writeln!(text, "localities: {}", config.zones.join(", "));
    let _ = writeln!(text, "kinds: {}", config.kinds.join(", "));
    let _ = writeln!(text, "workers send reports: {}", config.workers_report_load);
    let _ = writeln!(
        text,
        "report-x0 is free slots: {}",
        config.report_fields.free_slots
    );
    let _ = writeln!(
        text,
        "report-x1 is free memory: {}",
        config.report_fields.free_memory
    );
    let _ = writeln!(text, "lists are pushed: {}", config.lists_are_pushed);
    let _ = writeln!(text, "conn-idle-us: {}", config.worker_idle_timeout.0);
    let _ = writeln!(text, "connect-timeout-us: {}", config.connect_timeout.0);
    let _ = writeln!(text, "drain-grace-us: {}", config.drain_grace.0);
    let progress = config.progress_interval.map(|span| span.0.to_string());
    let _ = writeln!(
        text,
        "progress-us: {}",
        progress.unwrap_or("none".to_owned())
    );
    let settings = &config.settings;
    let _ = writeln!(text, "balancers: {}", settings.dispatchers);
    let _ = writeln!(text, "self-index: {}", settings.index);
    let _ = writeln!(text, "zone: {}", settings.zone.0);
    let _ = writeln!(text, "tells-start: {}", settings.reports_starts);
    let _ = writeln!(
        text,
        "the list is asked for: {}",
        settings.polls_worker_list
    );
    describe_limits_and_rules(settings, text);
    describe_names(config, text);
}

fn describe_limits_and_rules(settings: &Settings, text: &mut String) {
    let (limits, rules) = (&settings.limits, &settings.rules);
    let _ = writeln!(text, "try-limit: {}", limits.max_attempts);
    let _ = writeln!(text, "second-copies: {}", limits.hedging);
    let _ = writeln!(text, "probes: {}", limits.probes);
    let _ = writeln!(text, "may-cancel: {}", limits.cancellation);
    let wait = limits.max_retry_after.map(|span| span.0.to_string());
    let _ = writeln!(
        text,
        "max-retry-after-us: {}",
        wait.unwrap_or("none".to_owned())
    );
    let _ = writeln!(text, "cold-from: {}", rules.initial_capacity);
    let _ = writeln!(text, "warm-up-us: {}", rules.warm_up.0);
    let _ = writeln!(text, "overload-factor: {}", rules.overload_factor);
    let _ = writeln!(text, "tip-after-us: {}", rules.overload_window.0);
    let _ = writeln!(text, "must-ask-in-us: {}", rules.poll_interval.0);
}

fn describe_names(config: &NodeConfig, text: &mut String) {
    let settings = &config.settings;
    for (name, class) in config.names.class_names().zip(&settings.classes) {
        let kind = class
            .kind
            .map_or("any".to_owned(), |kind| kind.0.to_string());
        let (promise, stretch, deadline) = (
            class.latency_objective.0,
            class.objective_stretch,
            class.deadline.0,
        );
        let _ = writeln!(
            text,
            "profile {name}: kind {kind}, promise-us {promise}, stretch {stretch}, deadline-us {deadline}"
        );
    }
    for (name, tenant) in config.names.tenants().iter().zip(&settings.tenants) {
        let quota = tenant
            .quota
            .map_or("none".to_owned(), |quota| quota.to_string());
        let _ = writeln!(
            text,
            "tenant {name}: quota-per-s {quota}, share {}",
            tenant.share
        );
    }
}
