//! How the process starts and ends: its log, and what it says where it cannot start.

use crate::assert_golden;
use crate::support::{listener, member, node_file, program, Folder, Node};
use crate::text::{self, chapter};
use serde_json::Value;

/// The log of a node from its start to its end.
#[test]
fn the_log_of_a_life_cycle_keeps_its_lines() {
    let (_discovery, discovery) = listener();
    let (_worker, worker) = listener();
    let file = node_file(discovery, &[member("w1", worker)]);
    let mut node = Node::start(&file, "[submission]\nlisten = \"127.0.0.1:0\"\n");
    node.terminate();
    let status = node.ended();
    let line = |line: &String| text::log_line(line).expect("a line of the log") + "\n";
    let lines: String = node.logged.iter().map(line).collect();
    let (_, rest) = lines.split_once("takes submissions at ").expect("logged");
    let submitters = rest.lines().next().expect("an address");
    let lines = lines
        .replace(&node.client_address, "<consumers>")
        .replace(&node.operators, "<operators>")
        .replace(submitters, "<submitters>");
    assert_golden("process_log", &format!("{lines}status: {status}\n"));
}

/// Runs the program with this file and these variables; it must end by itself.
fn start(
    folder: &Folder,
    file: Option<&Value>,
    variables: &[(&str, &str)],
    words: &[&str],
) -> String {
    let mut command = program();
    if let Some(file) = file {
        command.env("LB_CONFIG", folder.file("config.json", &file.to_string()));
    }
    command.envs(variables.iter().copied()).args(words);
    let output = text::output(&command.output().expect("it runs"));
    let lines = output
        .lines()
        .map(|line| text::log_line(line).unwrap_or(line.to_owned()) + "\n");
    let output = folder.hide(&text::without_type_names(&lines.collect::<String>()));
    text::without_numbers_after(&output, "column ", "<n>")
}

/// Nodes that do not start: the message and the exit status.
#[test]
#[expect(clippy::too_many_lines, reason = "a table of configurations")]
fn a_faulty_configuration_is_named_and_ends_the_start() {
    let folder = Folder::new();
    let (_discovery, discovery) = listener();
    let (_taken, taken) = listener();
    let taken = taken.to_string();
    let right = node_file(discovery, &[]);
    let changed = |pointer: &str, value: Value| {
        let mut file = right.clone();
        *file.pointer_mut(pointer).expect("a key") = value;
        file
    };
    let without = |key: &str| {
        let mut file = right.clone();
        file.as_object_mut().expect("an object").remove(key);
        file
    };
    let mut golden = String::new();
    let mut add =
        |title: &str, file: Option<&Value>, variables: &[(&str, &str)], words: &[&str]| {
            golden += &chapter(title, &start(&folder, file, variables, words));
        };
    add("no LB_CONFIG", None, &[], &[]);
    add("no LB_CONFIG: serve", None, &[], &["serve"]);
    let missing = folder.path().join("none.json");
    let missing = missing.to_str().expect("text");
    add("LB_CONFIG is no file", None, &[("LB_CONFIG", missing)], &[]);
    let text = folder.file("text.json", "no JSON");
    let text = text.to_str().expect("text");
    add("LB_CONFIG is no JSON", None, &[("LB_CONFIG", text)], &[]);
    add("LB_CONFIG is no object", Some(&Value::from(7)), &[], &[]);
    for key in ["name", "listen", "discovery", "settings"] {
        add(&format!("no {key}"), Some(&without(key)), &[], &[]);
    }
    for name in ["LB_LISTEN", "LB_DISCOVERY", "LB_OPS"] {
        add(
            &format!("{name} is no address"),
            Some(&right),
            &[(name, "here")],
            &[],
        );
    }
    add(
        "MARBLEDECK_LOG is no level",
        Some(&right),
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
    add("--site is no file", Some(&right), &[], &["--site", missing]);
    add(
        "--submission is no file",
        Some(&right),
        &[],
        &["--submission", missing],
    );
    let site = folder.file("site.toml", "[membership]\nkeep_s = 0\n");
    let site = site.to_str().expect("text");
    add("--site with a fault", Some(&right), &[], &["--site", site]);
    add(
        "serve --site with a fault",
        Some(&right),
        &[],
        &["serve", "--site", site],
    );
    let front = folder.file("front.toml", "listen = \"127.0.0.1:0\"\nmax_jobs = 0\n");
    let front = front.to_str().expect("text");
    add(
        "--submission with a fault",
        Some(&right),
        &[],
        &["--submission", front],
    );
    let front = folder.file("taken.toml", &format!("listen = \"{taken}\"\n"));
    let front = front.to_str().expect("text");
    add(
        "listen of --submission is taken",
        Some(&right),
        &[],
        &["--submission", front],
    );
    let seats = folder.file(
        "seats.toml",
        "[agreement]\nfleet = \"f\"\nnode = 4\nnodes = 4\nfrom = []\nvoters = [\
         { number = 1, address = \"127.0.0.1:1\" }, { number = 2, address = \"127.0.0.1:1\" }, \
         { number = 3, address = \"127.0.0.1:1\" }]\n[seats]\nlicences = [\"av1\"]\nclasses = { none = [\"av1\"] }\n",
    );
    let seats = seats.to_str().expect("text");
    add(
        "seats of a class that there is not",
        Some(&right),
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
