//! What clients get: `/ready`, results, and every answer of the node's own, as bytes.

use crate::assert_golden;
use crate::support::{listener, member, node_file, Connection, Node};
use crate::text::{self, chapter, without_numbers_after};
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener};

/// A job of the class `preview`, with these lines in the place of some of its own.
fn job(target: &str, id: &str, more: &str) -> String {
    format!(
        "POST {target} HTTP/1.1\r\nX-Txn: {id}\r\nX-Lane: preview\r\nX-Org: au\r\nX-Remaining-Ms: 7000\r\n{more}\r\n"
    )
}

/// A keyed job: one that a single worker is not asked for twice.
fn keyed_job(target: &str, id: &str) -> String {
    format!(
        "POST {target} HTTP/1.1\r\nX-Txn: {id}\r\nX-Lane: sheet-publish\r\nX-Org: au\r\nX-Remaining-Ms: 20000\r\n\
         Idempotency-Key: {id}\r\n\r\n"
    )
}

fn head(lines: &[&str]) -> String {
    lines
        .iter()
        .map(|line| format!("{line}\r\n"))
        .collect::<String>()
        + "\r\n"
}

/// An answer; the time after which a refused job may come back depends on the load.
fn answer(bytes: &[u8]) -> String {
    let text = text::bytes(bytes);
    if text.starts_with("HTTP/1.1 429 ") {
        without_numbers_after(&text, "Retry-After: ", "<seconds>")
    } else {
        text
    }
}

struct Scene {
    node: Node,
    worker: TcpListener,
    _discovery: TcpListener,
}

impl Scene {
    /// A node with one worker, which the test plays.
    fn start(change: impl FnOnce(&mut serde_json::Value)) -> Self {
        let (discovery, discovery_address) = listener();
        let (worker, worker_address): (_, SocketAddr) = listener();
        let mut file = node_file(discovery_address, &[member("w1", worker_address)]);
        change(&mut file);
        Scene {
            node: Node::start(&file, ""),
            worker,
            _discovery: discovery,
        }
    }

    fn client(&self) -> Connection {
        Connection::to(&self.node.client_address)
    }

    /// Asks on a connection of its own.
    fn ask(&self, request: impl AsRef<[u8]>) -> String {
        answer(&self.client().ask(request))
    }
}

/// An answer of a worker in one chunk.
fn worker_says(lines: &str) -> String {
    let length = lines.len();
    format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{lines}\r\n0\r\n\r\n"
    )
}

#[test]
fn requests_that_need_no_worker_are_answered_by_the_node() {
    let scene = Scene::start(|_| ());
    let mut golden = String::new();
    let ready = [
        ("GET /ready", "GET /ready HTTP/1.1\r\n\r\n"),
        ("GET /ready of HTTP/1.0", "GET /ready HTTP/1.0\r\n\r\n"),
        ("GET /ready with a query", "GET /ready?x=1 HTTP/1.1\r\n\r\n"),
        (
            "GET /ready and close",
            "GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n",
        ),
        ("HEAD /ready", "HEAD /ready HTTP/1.1\r\n\r\n"),
        ("POST /ready", "POST /ready HTTP/1.1\r\n\r\n"),
        ("GET /other", "GET /other HTTP/1.1\r\n\r\n"),
        ("PUT /other", "PUT /other HTTP/1.1\r\n\r\n"),
        ("HEAD /other", "HEAD /other HTTP/1.1\r\n\r\n"),
    ];
    for (title, request) in ready {
        golden += &chapter(title, &scene.ask(request));
    }
    for (title, request) in refused_requests() {
        golden += &chapter(title, &scene.ask(request));
    }
    assert_golden("consumers_answers", &golden);
}

/// Requests that are answered without a worker.
#[expect(clippy::too_many_lines, reason = "a table of requests")]
fn refused_requests() -> Vec<(&'static str, String)> {
    let start = "POST /x HTTP/1.1";
    let (id, class, tenant) = ("X-Txn: t-1", "X-Lane: preview", "X-Org: au");
    let time = "X-Remaining-Ms: 7000";
    let long_word = format!("X-Txn: {}", "x".repeat(2049));
    let long_field = format!("X-Long: {}", "x".repeat(17 * 1024));
    let mut many_fields = vec![start];
    many_fields.extend(["X-Many: 1"; 101]);
    vec![
        ("no X-Txn", head(&[start, class, tenant, time])),
        ("X-Txn twice", head(&[start, id, id, class, tenant, time])),
        ("X-Txn empty", head(&[start, "X-Txn:", class, tenant, time])),
        (
            "X-Txn of two words",
            head(&[start, "X-Txn: a b", class, tenant, time]),
        ),
        (
            "X-Txn too long",
            head(&[start, &long_word, class, tenant, time]),
        ),
        ("no X-Lane", head(&[start, id, tenant, time])),
        (
            "X-Lane unknown",
            head(&[start, id, "X-Lane: none", tenant, time]),
        ),
        ("no X-Org", head(&[start, id, class, time])),
        (
            "X-Org unknown",
            head(&[start, id, class, "X-Org: none", time]),
        ),
        ("no X-Remaining-Ms", head(&[start, id, class, tenant])),
        (
            "X-Remaining-Ms 0",
            head(&[start, id, class, tenant, "X-Remaining-Ms: 0"]),
        ),
        (
            "X-Remaining-Ms -5",
            head(&[start, id, class, tenant, "X-Remaining-Ms: -5"]),
        ),
        (
            "X-Remaining-Ms 1.5",
            head(&[start, id, class, tenant, "X-Remaining-Ms: 1.5"]),
        ),
        (
            "keyed without a key",
            head(&[start, id, "X-Lane: sheet-publish", tenant, time]),
        ),
        (
            "Idempotency-Key of two words",
            head(&[start, id, class, tenant, time, "Idempotency-Key: a b"]),
        ),
        (
            "unknown licence",
            head(&[start, id, class, tenant, time, "X-Labels: licence=av1"]),
        ),
        (
            "target no path",
            head(&["POST x HTTP/1.1", id, class, tenant, time]),
        ),
        ("no request", head(&["no request at all"])),
        ("request line of one word", head(&["POST"])),
        ("HTTP/2.0", head(&["POST /x HTTP/2.0", id])),
        ("malformed field", head(&[start, "no colon"])),
        ("space before the colon", head(&[start, "X-Txn : a"])),
        ("control character", head(&[start, "X-Txn: a\u{1}b"])),
        (
            "length and chunks",
            head(&[start, "Content-Length: 5", "Transfer-Encoding: chunked"]),
        ),
        (
            "two lengths",
            head(&[start, "Content-Length: 5", "Content-Length: 5"]),
        ),
        ("malformed length", head(&[start, "Content-Length: +5"])),
        (
            "unknown transfer coding",
            head(&[start, "Transfer-Encoding: gzip"]),
        ),
        (
            "malformed chunk size",
            head(&[start, "Transfer-Encoding: chunked"]) + "x\r\n",
        ),
        (
            "chunk longer than its size",
            head(&[start, "Transfer-Encoding: chunked"]) + "1\r\nab\r\n",
        ),
        (
            "chunk line without its end",
            head(&[start, "Transfer-Encoding: chunked"]) + "1\n",
        ),
        ("body too long", head(&[start, "Content-Length: 65537"])),
        (
            "chunk too long",
            head(&[start, "Transfer-Encoding: chunked"]) + "fffffffffffffffffff\r\n",
        ),
        ("head too long", head(&[start, &long_field])),
        ("too many fields", head(&many_fields)),
    ]
}

/// Jobs that a worker is asked for, and how each comes back.
#[test]
fn jobs_come_back_with_the_answers_of_their_workers() {
    let scene = Scene::start(|_| ());
    let mut client = scene.client();
    let mut golden = String::new();
    client.send(job("/served", "t-1", ""));
    let mut worker = Connection::accepted(&scene.worker);
    worker.message();
    // The first is open: its id is taken.
    golden += &chapter("id is open", &scene.ask(job("/again", "t-1", "")));
    worker.send(worker_says(
        "{\"id\":\"t-1\",\"state\":\"done\",\"result\":\"made\"}\n",
    ));
    golden += &chapter("served", &answer(&client.message()));
    client.send(job("/empty", "t-2", "Connection: close\r\n"));
    worker.message();
    worker.send(worker_says(
        "{\"id\":\"t-2\",\"state\":\"done\",\"result\":\"\"}\n",
    ));
    golden += &chapter("served, empty, and close", &answer(&client.rest()));
    let mut client = scene.client();
    client.send(keyed_job("/away", "t-3"));
    worker.message();
    worker.send("HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nX-Pressure: {\"x0\":2}\r\nContent-Length: 0\r\n\r\n");
    golden += &chapter("turned away", &answer(&client.message()));
    client.send(keyed_job("/failed", "t-4"));
    worker.message();
    worker.send(worker_says("{\"id\":\"t-4\",\"state\":\"failed\"}\n"));
    golden += &chapter("failed", &answer(&client.message()));
    assert_golden("consumers_jobs", &golden);
}

/// The node invites the body of a request that waits for it.
#[test]
fn a_client_that_waits_is_invited_to_send_its_body() {
    let scene = Scene::start(|_| ());
    let mut client = scene.client();
    client.send("PUT /x HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
    let mut golden = chapter("interim", &answer(&client.message()));
    golden += &chapter("final", &answer(&client.ask("ab")));
    assert_golden("consumers_continue", &golden);
}

/// A request that does not come to its end.
#[test]
fn a_request_that_does_not_end_is_answered_after_a_timeout() {
    let scene = Scene::start(|_| ());
    let mut half_head = scene.client();
    half_head.send("POST /x HTTP/1.1\r\nX-Txn: t");
    let mut half_body = scene.client();
    half_body.send(job("/x", "t-1", "Content-Length: 9\r\n") + "x");
    let mut golden = chapter("half a head", &answer(&half_head.rest()));
    golden += &chapter("half a body", &answer(&half_body.rest()));
    golden += &chapter("nothing", &answer(&scene.client().rest()));
    assert_golden("consumers_too_slow", &golden);
}

/// More jobs than may be open, and more bodies than there is memory for.
#[test]
fn jobs_and_bodies_beyond_the_limits_are_rejected() {
    let scene = Scene::start(|file| file["settings"]["bounds"]["max-open"] = 1.into());
    let mut first = scene.client();
    first.send(job("/first", "t-1", ""));
    let mut worker = Connection::accepted(&scene.worker);
    worker.message();
    let mut golden = chapter("too many jobs", &scene.ask(job("/second", "t-2", "")));
    let scene = Scene::start(|file| file["limits"]["memory_mb"] = 32.into());
    let large = "POST /x HTTP/1.1\r\nContent-Length: 65536\r\nExpect: 100-continue\r\n\r\n";
    let mut held = Vec::new();
    for _ in 0..64 {
        let mut client = scene.client();
        client.send(large);
        client.message();
        held.push(client);
    }
    let mut last = scene.client();
    last.send(large);
    golden += &chapter("too many bodies", &answer(&last.rest()));
    assert_golden("consumers_no_room", &golden);
}

/// Before a worker is known, and after SIGTERM.
#[test]
fn a_node_without_workers_or_in_shutdown_is_not_ready() {
    let (_discovery, discovery) = listener();
    let node = Node::start(&node_file(discovery, &[]), "");
    let ready = "GET /ready HTTP/1.1\r\n\r\n";
    let mut client = Connection::to(&node.client_address);
    let mut golden = chapter("no worker: GET /ready", &answer(&client.ask(ready)));
    let mut scene = Scene::start(|_| ());
    let mut open = scene.client();
    open.ask(ready);
    scene.node.terminate();
    scene.node.until_logged("ending");
    golden += &chapter("ending: GET /ready", &answer(&open.ask(ready)));
    assert_golden("consumers_not_ready", &golden);
}

/// Requests that come in one go are answered in their order.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let scene = Scene::start(|_| ());
    let mut client = scene.client();
    let first = "GET /ready HTTP/1.1\r\n\r\n";
    let last = "GET /none HTTP/1.1\r\nConnection: close\r\n\r\n";
    client
        .0
        .write_all(format!("{first}{first}{last}").as_bytes())
        .expect("sent");
    assert_golden("consumers_pipelined", &answer(&client.rest()));
}
