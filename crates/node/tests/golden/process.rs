//! The log of a process from its start to its end, and the messages of one that cannot start.

use crate::assert_golden;
use crate::support::{bind_listener, list_entry, node_file, program, Folder, Node};
use crate::text::{self, section};
use serde_json::Value;

/// The log of a node from its start to its end.
#[test]
fn the_log_of_a_life_cycle_keeps_its_lines() {
    let (_discovery, discovery) = bind_listener();
    let (_worker, worker) = bind_listener();
    let file = node_file(discovery, &[list_entry("w1", worker)]);
    let mut node = Node::start(&file, "[submission]\nlisten = \"127.0.0.1:0\"\n");
    node.terminate();
    let status = node.wait_for_exit();
    let normalize =
        |line: &String| text::normalize_log_line(line).expect("a line of the log") + "\n";
    let lines: String = node.log_lines.iter().map(normalize).collect();
    let (_, rest) = lines.split_once("takes submissions at ").expect("logged");
    let submitters = rest.lines().next().expect("an address");
    let lines = lines
        .replace(&node.client_address, "<consumers>")
        .replace(&node.admin_address, "<operators>")
        .replace(submitters, "<submitters>");
    assert_golden("process_log", &format!("{lines}status: {status}\n"));
}

/// Runs the program with this file, these variables and arguments until it exits. Returns its output.
fn start(
    folder: &Folder,
    file: Option<&Value>,
    variables: &[(&str, &str)],
    arguments: &[&str],
) -> String {
    let mut command = program();
    if let Some(file) = file {
        command.env(
            "LB_CONFIG",
            folder.write_file("config.json", &file.to_string()),
        );
    }
    command.envs(variables.iter().copied()).args(arguments);
    let output = text::describe_output(&command.output().expect("it runs"));
    let lines = output
        .lines()
        .map(|line| text::normalize_log_line(line).unwrap_or(line.to_owned()) + "\n");
    let output = folder.hide_path(&text::without_type_names(&lines.collect::<String>()));
    text::without_numbers_after(&output, "column ", "<n>")
}

/// A node with a faulty configuration does not start. Checks its message and exit status.
#[test]
#[expect(clippy::too_many_lines, reason = "a table of configurations")]
fn a_faulty_configuration_is_named_and_ends_the_start() {
    let folder = Folder::new();
    let (_discovery, discovery) = bind_listener();
    let (_taken, taken) = bind_listener();
    let taken = taken.to_string();
    let valid = node_file(discovery, &[]);
    let changed = |pointer: &str, value: Value| {
        let mut file = valid.clone();
        *file.pointer_mut(pointer).expect("a key") = value;
        file
    };
    let without = |key: &str| {
        let mut file = valid.clone();
        file.as_object_mut().expect("an object").remove(key);
        file
    };
    let mut golden = String::new();
    let mut add =
        |title: &str, file: Option<&Value>, variables: &[(&str, &str)], arguments: &[&str]| {
            golden += &section(title, &start(&folder, file, variables, arguments));
        };
    add("no LB_CONFIG", None, &[], &[]);
    add("no LB_CONFIG: serve", None, &[], &["serve"]);
    let missing = folder.path().join("none.json");
    let missing = missing.to_str().expect("text");
    add("LB_CONFIG is no file", None, &[("LB_CONFIG", missing)], &[]);
    let text = folder.write_file("text.json", "no JSON");
    let text = text.to_str().expect("text");
    add("LB_CONFIG is no JSON", None, &[("LB_CONFIG", text)], &[]);
    add("LB_CONFIG is no object", Some(&Value::from(7)), &[], &[]);
    for key in ["name", "listen", "discovery", "settings"] {
        add(&format!("no {key}"), Some(&without(key)), &[], &[]);
    }
    for name in ["LB_LISTEN", "LB_DISCOVERY", "LB_OPS"] {
        add(
            &format!("{name} is no address"),
            Some(&valid),
            &[(name, "here")],
            &[],
        );
    }
    add(
        "MARBLEDECK_LOG is no level",
        Some(&valid),
        &[("MARBLEDECK_LOG", "loud")],
        &[],
    );
    let wrong = changed("/limits/sockets", 20.into());
    add("limits.sockets is too small", Some(&wrong), &[], &[]);
    let wrong = changed("/settings/balancers", 0.into());
    add("settings.balancers is 0", Some(&wrong), &[], &[]);
    let wrong = changed("/settings/bounds/try-limit", 0.into());
    add("settings.bounds.try-limit is 0", Some(&wrong), &[], &[]);
    add(
        "listen is taken",
        Some(&changed("/listen", taken.clone().into())),
        &[],
        &[],
    );
    add(
        "ops is taken",
        Some(&changed("/ops", taken.clone().into())),
        &[],
        &[],
    );
    add("--site is no file", Some(&valid), &[], &["--site", missing]);
    add(
        "--submission is no file",
        Some(&valid),
        &[],
        &["--submission", missing],
    );
    let operator_file = folder.write_file("site.toml", "[membership]\nkeep_s = 0\n");
    let operator_file = operator_file.to_str().expect("text");
    add(
        "--site with a fault",
        Some(&valid),
        &[],
        &["--site", operator_file],
    );
    add(
        "serve --site with a fault",
        Some(&valid),
        &[],
        &["serve", "--site", operator_file],
    );
    let submission = folder.write_file("front.toml", "listen = \"127.0.0.1:0\"\nmax_jobs = 0\n");
    let submission = submission.to_str().expect("text");
    add(
        "--submission with a fault",
        Some(&valid),
        &[],
        &["--submission", submission],
    );
    let submission = folder.write_file("taken.toml", &format!("listen = \"{taken}\"\n"));
    let submission = submission.to_str().expect("text");
    add(
        "listen of --submission is taken",
        Some(&valid),
        &[],
        &["--submission", submission],
    );
    let seats = folder.write_file(
        "seats.toml",
        "[agreement]\nfleet = \"f\"\nnode = 4\nnodes = 4\nfrom = []\nvoters = [\
         { number = 1, address = \"127.0.0.1:1\" }, { number = 2, address = \"127.0.0.1:1\" }, \
         { number = 3, address = \"127.0.0.1:1\" }]\n[seats]\nlicences = [\"av1\"]\nclasses = { none = [\"av1\"] }\n",
    );
    let seats = seats.to_str().expect("text");
    add(
        "seats of a class that there is not",
        Some(&valid),
        &[],
        &["--site", seats],
    );
    let (before, rest) = golden
        .split_once("answers operators at 127.0.0.1:")
        .expect("logged");
    let rest = rest.trim_start_matches(|character: char| character.is_ascii_digit());
    let golden = format!("{before}answers operators at <operators>{rest}");
    assert_golden("process_cannot_start", &golden);
}
