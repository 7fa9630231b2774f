//! Two sites of several nodes each, and jobs that only the other one can run: whatever becomes of the link between them
//! and of the catalogs, one manifest is one accepted job and has one final state.

use marbledeck_test_support::{Cluster, ClusterOptions, JobBehaviour, LinkState, NetworkLink};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// A submitter's connection.
struct Submitter {
    lines: BufReader<TcpStream>,
}

impl Submitter {
    fn new(addr: &str) -> Self {
        let stream = TcpStream::connect(addr).expect("the front listens");
        stream
            .set_read_timeout(Some(Duration::from_secs(60)))
            .expect("set");
        Submitter {
            lines: BufReader::new(stream),
        }
    }

    fn ask(&mut self, request: Value) -> Value {
        let stream = self.lines.get_mut();
        stream
            .write_all(format!("{request}\n").as_bytes())
            .expect("written");
        let mut line = String::new();
        self.lines.read_line(&mut line).expect("an answer");
        serde_json::from_str(&line).expect("JSON")
    }

    fn run(&mut self, name: &str, manifest: Value) -> Value {
        let template = json!({"remoteCommand": format!("/{name}"), "jobCategory": manifest["class"], "accountingId": "au",
            "deadlineMs": 60_000, "manifest": manifest});
        self.ask(json!({"op": "runJob", "seq": 1, "template": template}))
    }

    /// How a job ends.
    fn wait(&mut self, job: &Value) -> Value {
        self.ask(json!({"op": "waitTerminated", "seq": 2, "jobId": job["jobId"]}))["jobInfo"].take()
    }
}

fn fleet(name: &str) -> Cluster {
    let site = format!("[sites]\nname = \"{name}\"\n");
    let options = ClusterOptions {
        operator_keys: site,
        nodes: 4,
        submission: true,
        workers: 1,
        ..ClusterOptions::default()
    };
    Cluster::start(options)
}

fn site(address: &str, version: u64, codecs: &[&str]) -> Value {
    let catalog = json!({"version": version, "classes": ["preview"], "slots": 4.0, "codecs": codecs, "longest_run_ms": 60_000});
    json!({"site": {"address": address, "catalog": catalog}})
}

/// Sets a record at a fleet, and waits until this node acts on it.
fn set(fleet: &Cluster, number: usize, record: &str, version: u64, body: &Value) {
    let line = format!(
        "change {}",
        json!({"expect": {record: version}, "put": {record: body}})
    );
    for _ in 0..200 {
        let answer = fleet.call_admin(number, &line).unwrap_or_default();
        if answer.starts_with("ACK") || answer.contains(&format!("has version {}", version + 1)) {
            let seen = format!("{record} {} in force", version + 1);
            return fleet.wait_for_records(number, record, |text| text.contains(&seen));
        }
        assert!(!answer.contains("want"), "{answer}");
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("{record} was never set");
}

fn started_jobs(fleet: &Cluster) -> BTreeMap<String, usize> {
    let mut started = BTreeMap::new();
    for job in fleet.workers[0].started_jobs() {
        *started.entry(job.target).or_default() += 1;
    }
    started
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one run: each step builds on the records and jobs of those before"
)]
fn a_job_runs_once_at_one_site_whatever_the_link_loses_and_the_catalogs_say() {
    let (a, b) = (fleet("a"), fleet("b"));
    // Two ways to the second site, by two of its nodes: to a they are two sites, of which one may be asked at a time.
    let links = [NetworkLink::start(), NetworkLink::start()];
    for (link, node) in links.iter().zip(&b.nodes[2..]) {
        link.set_target(Some(node.submission_address.parse().expect("an address")));
    }
    let [to_b, to_c] = [links[0].address.to_string(), links[1].address.to_string()];
    set(
        &a,
        4,
        "sites/a",
        0,
        &site(&a.nodes[3].submission_address, 1, &["h264"]),
    );
    set(&a, 4, "sites/b", 0, &site(&to_b, 1, &["av1"]));
    for number in 3..=4 {
        let body = site(&b.nodes[2].submission_address, 1, &["av1"]);
        set(&b, number, "sites/b", 0, &body);
    }
    let mut submitter = Submitter::new(&a.nodes[3].submission_address);

    // What fits here runs here, what fits there runs there, and what fits nowhere is refused with every reason.
    let here = submitter.run("here", json!({"class": "preview", "codecs": ["h264"]}));
    assert_eq!(submitter.wait(&here)["jobState"], "DONE", "{here}");
    let there = submitter.run("there", json!({"class": "preview", "codecs": ["av1"]}));
    let ended = submitter.wait(&there);
    assert_eq!(
        (&ended["jobState"], &ended["result"]),
        (&json!("DONE"), &json!("made /there")),
        "{there} {ended}"
    );
    assert_eq!((started_jobs(&a).len(), started_jobs(&b).len()), (1, 1));
    let nowhere = submitter.run(
        "nowhere",
        json!({"class": "preview", "codecs": ["vvc"], "slots": 9.0}),
    );
    let why = nowhere["message"].as_str().unwrap_or_default().to_owned();
    assert_eq!(nowhere["error"], "DENIED_BY_DRMS");
    for word in [
        "a: codecs: 'vvc'",
        "b: codecs: 'vvc'",
        "slots: 9 wanted, at most 4 a job",
    ] {
        assert!(why.contains(word), "{why}");
    }
    let unknown = submitter.run("unknown", json!({"class": "preview", "gpu": true}));
    assert_eq!(unknown["error"], "INVALID_ARGUMENT", "{unknown}");

    // The answer is lost: what is said to the site arrives, what it says does not. A second site that would fit is not
    // asked; the first is, again, and has the job.
    set(&a, 4, "sites/c", 0, &site(&to_c, 1, &["av1"]));
    let served = Arc::new(AtomicUsize::new(0));
    b.workers[0].set_behaviour({
        let served = served.clone();
        move |job| {
            served.fetch_add(1, Ordering::SeqCst);
            JobBehaviour::Serve(Duration::from_millis(20), format!("made {}", job.target))
        }
    });
    links[0].set_state(LinkState::Open, LinkState::Stalled);
    let lost = submitter.run("lost", json!({"class": "preview", "codecs": ["av1"]}));
    assert!(lost["jobId"].is_string(), "{lost}");
    while served.load(Ordering::SeqCst) == 0 {
        std::thread::sleep(Duration::from_millis(5));
    }
    a.wait_for_log_line(
        4,
        "a site has not answered in time; closing its connection and asking again",
    );
    links[0].reset_connections();
    links[0].set_state(LinkState::Open, LinkState::Open);
    assert_eq!(submitter.wait(&lost)["jobState"], "DONE");
    assert_eq!(started_jobs(&b).get("/lost"), Some(&1));

    // The other site's catalog has shrunk while a knows the old one: it refuses with the version that it has, before
    // the job is accepted, and the next is tried. Both are of one site here, so that nobody takes it.
    for number in 3..=4 {
        set(
            &b,
            number,
            "sites/b",
            1,
            &site(&b.nodes[2].submission_address, 2, &["h265"]),
        );
    }
    let shrunk = submitter.run("shrunk", json!({"class": "preview", "codecs": ["av1"]}));
    let ended = submitter.wait(&shrunk);
    assert!(
        shrunk["error"] == "TRY_LATER" || ended["jobState"] == "FAILED",
        "{shrunk} {ended}"
    );
    assert_eq!(started_jobs(&b).get("/shrunk"), None);
    // Once a knows the new catalog, it says so at once.
    set(&a, 4, "sites/b", 1, &site(&to_b, 2, &["h265"]));
    set(&a, 4, "sites/c", 1, &Value::Null);
    let refused = submitter.run("refused", json!({"class": "preview", "codecs": ["av1"]}));
    assert_eq!(refused["error"], "DENIED_BY_DRMS", "{refused}");
    // A catalog that has moved on is not the one that the job was checked against, though the job still fits.
    for number in 3..=4 {
        set(
            &b,
            number,
            "sites/b",
            2,
            &site(&b.nodes[2].submission_address, 3, &["h265"]),
        );
    }
    let moved = submitter.run("moved", json!({"class": "preview", "codecs": ["h265"]}));
    let ended = submitter.wait(&moved);
    assert!(
        moved["error"] == "TRY_LATER" || ended["error"] == "TRY_LATER",
        "{moved} {ended}"
    );
    assert_eq!(started_jobs(&b).get("/moved"), None);
    set(&a, 4, "sites/b", 2, &site(&to_b, 3, &["h265"]));
    let fits = submitter.run("fits", json!({"class": "preview", "codecs": ["h265"]}));
    assert_eq!(submitter.wait(&fits)["jobState"], "DONE");

    // Nothing ran twice, and nothing at both.
    let (at_a, at_b) = (started_jobs(&a), started_jobs(&b));
    assert!(
        at_a.values().chain(at_b.values()).all(|n| *n == 1),
        "{at_a:?} {at_b:?}"
    );
    assert!(at_a.keys().all(|job| !at_b.contains_key(job)));
}

/// Two sites that each take the other for the one that fits: a job goes one way, and is not sent back.
#[test]
fn a_forwarded_job_is_not_sent_back() {
    let (a, b) = (fleet("a"), fleet("b"));
    let front = |fleet: &Cluster| fleet.nodes[3].submission_address.clone();
    // Each believes that the other has av1.
    set(&a, 4, "sites/a", 0, &site(&front(&a), 1, &[]));
    set(&a, 4, "sites/b", 0, &site(&front(&b), 1, &["av1"]));
    set(&b, 4, "sites/b", 0, &site(&front(&b), 1, &[]));
    set(&b, 4, "sites/a", 0, &site(&front(&a), 1, &["av1"]));
    let mut submitter = Submitter::new(&front(&a));
    let job = submitter.run("cycle", json!({"class": "preview", "codecs": ["av1"]}));
    let ended = submitter.wait(&job);
    // Nobody took it: had the other site, it could have run.
    assert!(
        job["error"] == "TRY_LATER" || ended["error"] == "TRY_LATER",
        "{job} {ended}"
    );
    assert!(started_jobs(&a).is_empty() && started_jobs(&b).is_empty());
}
