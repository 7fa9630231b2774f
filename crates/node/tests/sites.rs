//! Two sites of several nodes each, and jobs that only the other site can run. Whatever happens to the link between the
//! sites and to their catalogs, each manifest becomes one accepted job with one final state.

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
        let stream = TcpStream::connect(addr).expect("the node listens for submitters");
        stream
            .set_read_timeout(Some(Duration::from_secs(60)))
            .expect("the timeout is set");
        Submitter {
            lines: BufReader::new(stream),
        }
    }

    fn ask(&mut self, request: Value) -> Value {
        let stream = self.lines.get_mut();
        stream
            .write_all(format!("{request}\n").as_bytes())
            .expect("the request is sent");
        let mut line = String::new();
        self.lines.read_line(&mut line).expect("an answer");
        serde_json::from_str(&line).expect("JSON")
    }

    fn run(&mut self, name: &str, manifest: Value) -> Value {
        let template = json!({"remoteCommand": format!("/{name}"), "jobCategory": manifest["class"], "accountingId": "au",
            "deadlineMs": 60_000, "manifest": manifest});
        self.ask(json!({"op": "runJob", "seq": 1, "template": template}))
    }

    /// Waits for a job and returns its final information.
    fn wait(&mut self, job: &Value) -> Value {
        self.ask(json!({"op": "waitTerminated", "seq": 2, "jobId": job["jobId"]}))["jobInfo"].take()
    }
}

fn start_site(name: &str) -> Cluster {
    let operator_keys = format!("[sites]\nname = \"{name}\"\n");
    let options = ClusterOptions {
        operator_keys,
        nodes: 4,
        submission: true,
        workers: 1,
        ..ClusterOptions::default()
    };
    Cluster::start(options)
}

/// The record of a site with this address and catalog.
fn site_record(address: &str, version: u64, codecs: &[&str]) -> Value {
    let catalog = json!({"version": version, "classes": ["preview"], "slots": 4.0, "codecs": codecs, "longest_run_ms": 60_000});
    json!({"site": {"address": address, "catalog": catalog}})
}

/// Changes a record of a site, and waits until this node has it in force.
fn set_record(fleet: &Cluster, number: usize, record: &str, version: u64, body: &Value) {
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
    panic!("the change of {record} at version {version} was not applied");
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
    let (a, b) = (start_site("a"), start_site("b"));
    // Two links to site b, through two of its nodes. Site a knows them as two sites, of which it may ask one at a time.
    let links = [NetworkLink::start(), NetworkLink::start()];
    for (link, node) in links.iter().zip(&b.nodes[2..]) {
        link.set_target(Some(node.submission_address.parse().expect("an address")));
    }
    let [to_b, to_c] = [links[0].address.to_string(), links[1].address.to_string()];
    set_record(
        &a,
        4,
        "sites/a",
        0,
        &site_record(&a.nodes[3].submission_address, 1, &["h264"]),
    );
    set_record(&a, 4, "sites/b", 0, &site_record(&to_b, 1, &["av1"]));
    for number in 3..=4 {
        let body = site_record(&b.nodes[2].submission_address, 1, &["av1"]);
        set_record(&b, number, "sites/b", 0, &body);
    }
    let mut submitter = Submitter::new(&a.nodes[3].submission_address);

    // A job runs at the site that fits; one that fits at neither is refused with all reasons.
    let local = submitter.run("here", json!({"class": "preview", "codecs": ["h264"]}));
    assert_eq!(submitter.wait(&local)["jobState"], "DONE", "{local}");
    let remote = submitter.run("there", json!({"class": "preview", "codecs": ["av1"]}));
    let ended = submitter.wait(&remote);
    assert_eq!(
        (&ended["jobState"], &ended["result"]),
        (&json!("DONE"), &json!("made /there")),
        "{remote} {ended}"
    );
    assert_eq!((started_jobs(&a).len(), started_jobs(&b).len()), (1, 1));
    let unplaceable = submitter.run(
        "nowhere",
        json!({"class": "preview", "codecs": ["vvc"], "slots": 9.0}),
    );
    let reasons = unplaceable["message"]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    assert_eq!(unplaceable["error"], "DENIED_BY_DRMS");
    for reason in [
        "a: codecs: 'vvc'",
        "b: codecs: 'vvc'",
        "slots: 9 wanted, at most 4 a job",
    ] {
        assert!(reasons.contains(reason), "{reasons}");
    }
    let unknown = submitter.run("unknown", json!({"class": "preview", "gpu": true}));
    assert_eq!(unknown["error"], "INVALID_ARGUMENT", "{unknown}");

    // The link loses the site's answers but not the requests to it. Site a asks the same site again, which has the job,
    // and not a second one that would fit.
    set_record(&a, 4, "sites/c", 0, &site_record(&to_c, 1, &["av1"]));
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

    // Site b has a smaller catalog than the one that a knows. It refuses the job with its own catalog version before it
    // accepts it, and a tries the next site. Both links lead to b, so neither accepts the job.
    for number in 3..=4 {
        set_record(
            &b,
            number,
            "sites/b",
            1,
            &site_record(&b.nodes[2].submission_address, 2, &["h265"]),
        );
    }
    let shrunk = submitter.run("shrunk", json!({"class": "preview", "codecs": ["av1"]}));
    let ended = submitter.wait(&shrunk);
    assert!(
        shrunk["error"] == "TRY_LATER" || ended["jobState"] == "FAILED",
        "{shrunk} {ended}"
    );
    assert_eq!(started_jobs(&b).get("/shrunk"), None);
    // Once a knows the new catalog, it refuses the job itself.
    set_record(&a, 4, "sites/b", 1, &site_record(&to_b, 2, &["h265"]));
    set_record(&a, 4, "sites/c", 1, &Value::Null);
    let refused = submitter.run("refused", json!({"class": "preview", "codecs": ["av1"]}));
    assert_eq!(refused["error"], "DENIED_BY_DRMS", "{refused}");
    // The job was checked against an older catalog version, so b refuses it although it would still fit.
    for number in 3..=4 {
        set_record(
            &b,
            number,
            "sites/b",
            2,
            &site_record(&b.nodes[2].submission_address, 3, &["h265"]),
        );
    }
    let moved = submitter.run("moved", json!({"class": "preview", "codecs": ["h265"]}));
    let ended = submitter.wait(&moved);
    assert!(
        moved["error"] == "TRY_LATER" || ended["error"] == "TRY_LATER",
        "{moved} {ended}"
    );
    assert_eq!(started_jobs(&b).get("/moved"), None);
    set_record(&a, 4, "sites/b", 2, &site_record(&to_b, 3, &["h265"]));
    let fits = submitter.run("fits", json!({"class": "preview", "codecs": ["h265"]}));
    assert_eq!(submitter.wait(&fits)["jobState"], "DONE");

    // No job ran twice, and none ran at both sites.
    let (at_a, at_b) = (started_jobs(&a), started_jobs(&b));
    assert!(
        at_a.values().chain(at_b.values()).all(|n| *n == 1),
        "{at_a:?} {at_b:?}"
    );
    assert!(at_a.keys().all(|job| !at_b.contains_key(job)));
}

/// Each of two sites believes that the other one fits: the job is forwarded once and not sent back.
#[test]
fn a_forwarded_job_is_not_sent_back() {
    let (a, b) = (start_site("a"), start_site("b"));
    let submission_address = |fleet: &Cluster| fleet.nodes[3].submission_address.clone();
    // By the records of each site, the other one supports av1.
    set_record(
        &a,
        4,
        "sites/a",
        0,
        &site_record(&submission_address(&a), 1, &[]),
    );
    set_record(
        &a,
        4,
        "sites/b",
        0,
        &site_record(&submission_address(&b), 1, &["av1"]),
    );
    set_record(
        &b,
        4,
        "sites/b",
        0,
        &site_record(&submission_address(&b), 1, &[]),
    );
    set_record(
        &b,
        4,
        "sites/a",
        0,
        &site_record(&submission_address(&a), 1, &["av1"]),
    );
    let mut submitter = Submitter::new(&submission_address(&a));
    let job = submitter.run("cycle", json!({"class": "preview", "codecs": ["av1"]}));
    let ended = submitter.wait(&job);
    // No site accepted the job, although the other one could have run it by these records.
    assert!(
        job["error"] == "TRY_LATER" || ended["error"] == "TRY_LATER",
        "{job} {ended}"
    );
    assert!(started_jobs(&a).is_empty() && started_jobs(&b).is_empty());
}
