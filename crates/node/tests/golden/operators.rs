//! The operators' calls and their answers.

use crate::assert_golden;
use crate::support::{bind_listener, list_entry, node_file, Connection, Node};
use crate::text::{self, section, without_numbers_after, without_numbers_before};
use marbledeck_test_support::{Cluster, ClusterOptions};
use std::net::Shutdown;

/// Sends these bytes, shuts the connection down for writing, and returns the whole answer.
fn call(node: &Node, bytes: &[u8]) -> String {
    let mut connection = Connection::connect(&node.admin_address);
    connection.send(bytes);
    let _ = connection.0.shutdown(Shutdown::Write);
    let answer = text::escape_bytes(&connection.read_to_end());
    let answer = without_numbers_before(&answer, " s\\n", "<age>");
    without_numbers_before(&answer, " s;", "<age>")
}

fn title(bytes: &[u8]) -> String {
    match bytes.len() {
        0..=100 => text::escape_bytes(bytes).replace('\n', ""),
        length => format!("{}... ({length} bytes)", text::escape_bytes(&bytes[..20])),
    }
}

/// A node without consensus answers all calls, and refuses unknown ones.
#[test]
fn each_call_has_its_answer() {
    let (_discovery, discovery) = bind_listener();
    let (_one, one) = bind_listener();
    let (_two, two) = bind_listener();
    let file = node_file(discovery, &[list_entry("w1", one), list_entry("w2", two)]);
    let node = Node::start(&file, "");
    let longest = [b"set-down ".to_vec(), vec![b'w'; 503], b"\n".to_vec()].concat();
    let too_long = [b"set-down ".to_vec(), vec![b'w'; 504], b"\n".to_vec()].concat();
    let change_too_long = [b"change ".to_vec(), vec![b' '; 128 * 1024], b"\n".to_vec()].concat();
    let calls: [&[u8]; 32] = [
        b"check\n",
        b"vars\n",
        b"members\n",
        b"records\n",
        b"change {}\n",
        b"set-down w1\n",
        b"set-down w1\n",
        b"vars\n",
        b"members\n",
        b"set-up w1\n",
        b"set-up w1\n",
        b"members\n",
        b"  check  \n",
        b"check\r\n",
        b"check\nvars\n",
        b"set-down w9\n",
        b"set-up w9\n",
        b"set-down\n",
        b"set-up\n",
        b"set-down w1 w2\n",
        b"set-up w1 w2\n",
        b"change\n",
        b"check now\n",
        b"CHECK\n",
        b"help\n",
        b"\n",
        b"\xff\xfe\n",
        b"set-down w1",
        b"",
        &longest,
        &too_long,
        &change_too_long,
    ];
    let mut golden = String::new();
    for bytes in calls {
        golden += &section(&title(bytes), &call(&node, bytes));
    }
    golden = golden
        .replace(&one.to_string(), "<w1>")
        .replace(&two.to_string(), "<w2>");
    assert_golden("operators_calls", &golden);
}

/// The calls of a node without workers, and of one in shutdown.
#[test]
fn a_node_without_workers_or_in_shutdown_says_so() {
    let (_discovery, discovery) = bind_listener();
    let (_one, one) = bind_listener();
    let node = Node::start(&node_file(discovery, &[]), "");
    let mut golden = String::new();
    for bytes in [&b"check\n"[..], b"vars\n", b"members\n"] {
        golden += &section(&format!("no worker: {}", title(bytes)), &call(&node, bytes));
    }
    let mut node = Node::start(&node_file(discovery, &[list_entry("w1", one)]), "");
    node.terminate();
    node.wait_for_log("ending");
    golden += &section("ending: check", &call(&node, b"check\n"));
    assert_golden("operators_cannot_serve", &golden);
}

/// The answer of `members` names the source of static workers.
#[test]
fn static_workers_are_shown_with_their_source() {
    let (_discovery, discovery) = bind_listener();
    let (_one, one) = bind_listener();
    let (_two, two) = bind_listener();
    let operator_file = format!(
        "[[static]]\nid = \"w1\"\naddress = \"{one}\"\nzone = \"east\"\nkind = \"std\"\n\
         [[static]]\nid = \"s1\"\naddress = \"{two}\"\nzone = \"nowhere\"\nkind = \"none\"\n"
    );
    let node = Node::start(
        &node_file(discovery, &[list_entry("w1", one)]),
        &operator_file,
    );
    let golden = call(&node, b"members\n");
    let golden = golden
        .replace(&one.to_string(), "<w1>")
        .replace(&two.to_string(), "<s1>");
    assert_golden("operators_members_static", &golden);
}

/// Replaces the numbers of the consensus and times.
fn hide_progress(text: &str) -> String {
    let markers = [
        "revision ",
        "reading for ",
        "voter ",
        "follows ",
        "term ",
        "log at ",
    ];
    let text = markers.into_iter().fold(text.to_owned(), |text, marker| {
        without_numbers_after(&text, marker, "<n>")
    });
    without_numbers_before(&text, " entries", "<n>")
}

/// Valid changes of records are applied, and invalid ones are refused.
#[test]
#[expect(clippy::too_many_lines, reason = "a table of changes")]
fn changes_of_records_are_accepted_or_refused() {
    let fleet = Cluster::start(ClusterOptions {
        nodes: 4,
        workers: 1,
        operator_keys: "[seats]\nlicences = [\"av1\"]\nclasses = { sheet-publish = [\"av1\"] }\n"
            .to_owned(),
        ..ClusterOptions::default()
    });
    let operate = |call: &str| fleet.call_admin(4, call).expect("an answer");
    let mut golden = section("records", &operate("records"));
    let accepted = [
        r#"{"expect":{"settings/rates":0},"put":{"settings/rates":{"rates":{"per_s":{"au":20.0}}}}}"#,
        r#"{"expect":{"workers/out":0},"put":{"workers/out":{"out":["w9"]}}}"#,
        r#"{"expect":{"seats/av1":0},"put":{"seats/av1":{"pool":{"seats":40,"guaranteed":{"au":10},"longest_run_ms":60000}}},"exclusive":["seats/av1"]}"#,
        r#"{"expect":{"sites/north":0},"put":{"sites/north":{"site":{"address":"127.0.0.1:1","catalog":{"version":3,"classes":["preview"],"kinds":["r5"],"slots":4.0}}}}}"#,
        r#"{"expect":{"sites/south":0},"put":{"sites/south":{"site":{"address":"127.0.0.1:1","catalog":{"version":1,"classes":["preview"],"kinds":["r5"],"slots":4.0}}}}}"#,
        r#"{"expect":{"sites/south":1},"put":{"sites/south":null}}"#,
        r#"{"expect":{"workers/out":1},"put":{"workers/out":{"out":["w8","w9"]}}}"#,
    ];
    for change in accepted {
        golden += &section(
            &format!("change {change}"),
            &operate(&format!("change {change}")),
        );
    }
    fleet.wait_for_records(4, "the last change", |text| {
        text.contains("workers/out 2 in force") && text.contains("seats/av1 1 in force")
    });
    golden += &section("records", &operate("records"));
    let refused = [
        r#"{"expect":{"workers/out":1},"put":{"workers/out":{"out":[]}}}"#,
        r#"{"expect":{"workers/out":0},"put":{"workers/out":null}}"#,
        r#"{"expect":{},"put":{"workers/out":{"out":[]}}}"#,
        r#"{"expect":{"workers/out":2},"put":{}}"#,
        r#"{"expect":{"workers/out":2},"put":{"workers/out":{"rates":{"per_s":{}}}}}"#,
        r#"{"expect":{"workers/out":2},"put":{"workers/out":{"out":[7]}}}"#,
        r#"{"expect":{"workers/out":2},"put":{"workers/out":{"none":[]}}}"#,
        r#"{"expect":{"workers/out":2},"put":{"workers/out":{"out":[]}},"exclusive":["settings/rates"]}"#,
        r#"{"expect":{"workers/out":2},"put":{"workers/out":{"out":[]}},"more":1}"#,
        r#"{"expect":{"settings/rates":1},"put":{"settings/rates":{"rates":{"per_s":{"au":-1.0}}}}}"#,
        r#"{"expect":{"settings/rates":1},"put":{"settings/rates":{"rates":{"per_s":{"au":"many"}}}}}"#,
        r#"{"expect":{"settings/rates":1},"put":{"settings/rates":{"rates":{"per_s":{},"more":1}}}}"#,
        r#"{"expect":{"settings/none":0},"put":{"settings/none":{"out":[]}}}"#,
        r#"{"expect":{"none":0},"put":{"none":{"out":[]}}}"#,
        r#"{"expect":{"none/x":0},"put":{"none/x":{"out":[]}}}"#,
        r#"{"expect":{"seats/av1":1},"put":{"seats/av1":{"pool":{"seats":1,"guaranteed":{"au":10},"longest_run_ms":60000}}}}"#,
        r#"{"expect":{"seats/av1":1},"put":{"seats/av1":{"pool":{"seats":1,"guaranteed":{},"longest_run_ms":0}}}}"#,
        r#"{"expect":{"seats/av1":1},"put":{"seats/av1":{"pool":{"guaranteed":{}}}}}"#,
        r#"{"expect":{"sites/north":1},"put":{"sites/north":{"site":{"address":"north"}}}}"#,
        r#"{"expect":{"workers/out":2}}"#,
        r#"{}"#,
        r#"{"#,
        r#"[]"#,
    ];
    for change in refused {
        golden += &section(
            &format!("change {change}"),
            &operate(&format!("change {change}")),
        );
    }
    golden += &section("change", &operate("change "));
    let leader = fleet.leader();
    golden += &section(
        "last line of a voter that leads",
        last_line(&fleet.records(leader)),
    );
    let other = (1..=3)
        .find(|voter| *voter != leader)
        .expect("three voters");
    fleet.wait_for_records(other, "a leader", |text| text.contains("follows"));
    golden += &section(
        "last line of another voter",
        last_line(&fleet.records(other)),
    );
    let golden = text::without_type_names(&hide_progress(&golden));
    assert_golden("operators_records", &golden);
}

fn last_line(text: &str) -> &str {
    text.lines().last().unwrap_or_default()
}
