//! The bytes that the node writes to render workers, to discovery and to a Eureka registry.

use crate::assert_golden;
use crate::support::{bind_listener, list_entry, node_file, Connection, Node};
use crate::text::{self, section, without_numbers_after};
use marbledeck_test_support::{EurekaBehaviour, EurekaStub};
use std::net::TcpListener;

/// Requests to a worker carry every field that is passed on, and a body with its length in whatever encoding it came.
#[test]
fn attempts_are_written_to_a_worker_as_http() {
    let (_discovery, discovery) = bind_listener();
    let (worker_listener, worker_address) = bind_listener();
    let file = node_file(discovery, &[list_entry("w1", worker_address)]);
    let node = Node::start(&file, "");
    let common = "X-Lane: preview\r\nX-Org: au\r\nX-Remaining-Ms: 7000\r\n";
    let requests = [
        format!("POST /plain HTTP/1.1\r\nX-Txn: t-1\r\n{common}\r\n"),
        format!(
            "POST /query?n=7&m=%20 HTTP/1.1\r\nX-Txn: t-2\r\n{common}Content-Length: 4\r\n\r\nbody"
        ),
        format!(
            "POST /chunked HTTP/1.1\r\nX-Txn: t-3\r\n{common}Transfer-Encoding: chunked\r\n\r\n\
             2\r\nch\r\n3\r\nunk\r\n0\r\n\r\n"
        ),
        format!(
            "POST /keyed HTTP/1.1\r\nX-Txn: t-4\r\n{}Idempotency-Key: k-4\r\n\r\n",
            common.replace("preview", "sheet-publish")
        ),
        format!(
            "POST /fields HTTP/1.1\r\nHost: dropped\r\nX-Txn: t-5\r\n{common}X-Estimate: 40\r\n\
             X-Labels: slots=2,memory=1\r\nX-Other: dropped\r\nIdempotency-Key: k-5\r\n\r\n"
        ),
    ];
    let mut client = Connection::connect(&node.client_address);
    let mut worker = None;
    let mut golden = String::new();
    for (at, request) in requests.iter().enumerate() {
        client.send(request);
        let worker = worker.get_or_insert_with(|| Connection::accept(&worker_listener));
        let call = text::escape_bytes(&worker.read_message());
        let call = without_numbers_after(&call, "X-Remaining-Ms: ", "<milliseconds>");
        let call = call.replace(&worker_address.to_string(), "<w1>");
        golden += &section(&format!("call {}", at + 1), &call);
        let line = format!(
            "{{\"id\":\"t-{}\",\"state\":\"done\",\"result\":\"x\"}}\n",
            at + 1
        );
        worker.send(format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n0\r\n\r\n",
            line.len()
        ));
        client.read_message();
    }
    assert_golden("outgoing_calls", &golden);
}

/// If workers report their load only to probes, a job makes the node probe the next worker.
#[test]
fn a_load_probe_is_written_to_the_next_worker() {
    let mut golden = String::new();
    for how in ["pull", ""] {
        let (_discovery, discovery) = bind_listener();
        let (worker_listener, worker_address) = bind_listener();
        let mut file = node_file(discovery, &[list_entry("w1", worker_address)]);
        file["settings"]["stats"]["how"] = how.into();
        file["settings"]["bounds"]["probes"] = true.into();
        let node = Node::start(&file, "");
        let mut client = Connection::connect(&node.client_address);
        client.send("POST /x HTTP/1.1\r\nX-Txn: t-1\r\nX-Lane: preview\r\nX-Org: au\r\nX-Remaining-Ms: 7000\r\n\r\n");
        let probe = text::escape_bytes(&Connection::accept(&worker_listener).read_message());
        let probe = probe.replace(&worker_address.to_string(), "<w1>");
        golden += &section(&format!("stats.how = \"{how}\""), &probe);
    }
    assert_golden("outgoing_load_probe", &golden);
}

/// The health check of a worker that a registry no longer names.
#[test]
fn a_health_check_is_written_to_a_worker() {
    let mut golden = String::new();
    for how in ["pull", ""] {
        let (_discovery, discovery) = bind_listener();
        let (worker_listener, worker_address) = bind_listener();
        let registry = EurekaStub::start();
        registry.register("RENDER", "w1", worker_address);
        let mut file = node_file(discovery, &[]);
        file["settings"]["stats"]["how"] = how.into();
        let url = registry.url();
        let operator_file = format!(
            "[membership]\nprobe_s = 1\n[eureka]\nurls = [\"{url}\"]\npoll_s = 1\nfull_s = 1\n"
        );
        let node = Node::start(&file, &operator_file);
        node.wait_for_members("w1 in ");
        registry.set_behaviour(EurekaBehaviour {
            empty: true,
            ..EurekaBehaviour::default()
        });
        let probe = text::escape_bytes(&Connection::accept(&worker_listener).read_message());
        let probe = probe.replace(&worker_address.to_string(), "<w1>");
        golden += &section(&format!("stats.how = \"{how}\""), &probe);
    }
    assert_golden("outgoing_health_probe", &golden);
}

/// Polls of discovery without a list, and watches from a known revision.
#[test]
fn discovery_is_polled_for_the_list_and_then_for_changes() {
    let (discovery_listener, discovery) = bind_listener();
    let mut golden = String::new();
    let mut file = node_file(discovery, &[]);
    file.as_object_mut().expect("an object").remove("known");
    let mut record_poll = |connection: &mut Connection, title: &str| {
        let request = text::escape_bytes(&connection.read_message());
        let request = without_numbers_after(&request, "wait_ms=", "<milliseconds>");
        let request = request.replace(&discovery.to_string(), "<directory>");
        golden += &section(title, &request);
    };
    let node = Node::start(&file, "");
    let mut connection = Connection::accept(&discovery_listener);
    record_poll(&mut connection, "nothing is known");
    let list = r#"{"revision":4,"complete":true,"members":[]}"#;
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
        list.len()
    );
    connection.send(&answer);
    record_poll(&mut connection, "revision 4 is known");
    let list = r#"{"revision":5,"complete":false,"members":[]}"#;
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
        list.len()
    );
    connection.send(&answer);
    record_poll(&mut connection, "revision 5 is known");
    drop(node);
    file["known"] = serde_json::json!({"revision": 1, "complete": true, "members": []});
    let _node = Node::start(&file, "");
    let mut connection = Connection::accept(&discovery_listener);
    record_poll(&mut connection, "revision 1 is in the file");
    assert_golden("outgoing_directory", &golden);
}

/// Accepts a request to a registry and answers it. Returns the request.
fn answer_registry_request(registry: &TcpListener, answer: &str) -> String {
    let mut connection = Connection::accept(registry);
    let request = text::escape_bytes(&connection.read_message());
    connection.send(answer);
    request
}

/// The requests to a Eureka registry, those for the node's own instance among them.
#[test]
fn a_registry_is_polled_and_sent_the_nodes_own_entry() {
    let mut golden = String::new();
    for form in ["json", "xml"] {
        let (_discovery, discovery) = bind_listener();
        let (registry, registry_address) = bind_listener();
        let url = format!("http://{registry_address}/eureka");
        let eureka_section =
            format!("[eureka]\nurls = [\"{url}\"]\npoll_s = 1\nform = \"{form}\"\n");
        let entry = "[eureka.register]\napp = \"MARBLEDECK\"\nid = \"n0\"\naddress = \"127.0.0.1:8000\"\nrenew_s = 1\n";
        let node = Node::start(
            &node_file(discovery, &[]),
            &format!("{eureka_section}{entry}"),
        );
        // The poll and the registration come concurrently, in any order.
        let empty = "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n";
        let mut requests = Vec::new();
        while requests.len() < 3 {
            let request = answer_registry_request(&registry, empty);
            if !requests.contains(&request) {
                requests.push(request);
            }
        }
        node.terminate();
        while !requests.iter().any(|request| request.starts_with("DELETE")) {
            let request = answer_registry_request(&registry, empty);
            if !requests.contains(&request) {
                requests.push(request);
            }
        }
        requests.sort();
        for request in requests {
            let request = request.replace(&registry_address.to_string(), "<registry>");
            golden += &section(form, &request);
        }
    }
    assert_golden("outgoing_eureka", &golden);
}
