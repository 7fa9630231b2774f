//! A node that learns of its workers from a Eureka registry, a stand-in of our own, while that has its bad days.

use marbledeck_test_support::{EnvironmentOptions, EurekaBehaviour, EurekaStub, TestEnvironment};
use std::process::Command;
use std::time::{Duration, Instant};

const APP: &str = "RENDER";

fn site(registries: &[&EurekaStub], more: &str) -> String {
    let urls: Vec<String> = registries
        .iter()
        .map(|r| format!("\"{}\"", r.url()))
        .collect();
    format!(
        "[membership]\nprobe_s = 1\n[eureka]\nurls = [{}]\npoll_s = 1\ntimeout_s = 1\nfull_s = 1\nid_key = \"worker\"\n\
         zone_key = \"zone\"\nkind_key = \"kind\"\n{more}\n",
        urls.join(", ")
    )
}

fn lab(registries: &[&EurekaStub], more: &str) -> TestEnvironment {
    let lab = TestEnvironment::start(EnvironmentOptions {
        listed_workers: Some(0),
        operator_keys: site(registries, more),
        ..EnvironmentOptions::default()
    });
    for registry in registries {
        for worker in &lab.workers {
            registry.register(APP, &worker.id, worker.address);
        }
    }
    for worker in &lab.workers {
        lab.wait_for_member(&worker.id, is_in);
    }
    lab
}

fn is_in(line: Option<&str>) -> bool {
    line.is_some_and(|line| line.contains(" in "))
}

fn is_out(line: Option<&str>) -> bool {
    line.is_some_and(|line| line.contains(" out "))
}

fn is_doubtful(line: Option<&str>) -> bool {
    line.is_some_and(|line| line.contains(" in ") && line.contains("kept while it answers"))
}

fn run(lab: &TestEnvironment, target: &str) -> bool {
    let mut command = Command::new(env!("CARGO_BIN_EXE_marbledeck"));
    command.args([
        "job",
        "run",
        target,
        "-c",
        "preview",
        "-t",
        "au",
        "--wait",
        "--quiet",
        "--node",
        &lab.submission_address,
    ]);
    command.output().unwrap().status.success()
}

/// Workers come, go out of service and back, and leave, in both forms.
#[test]
fn workers_come_and_go() {
    for more in ["", "form = \"xml\""] {
        let registry = EurekaStub::start();
        let lab = lab(&[&registry], more);
        assert!(run(&lab, "/x"));
        registry.override_status(APP, "w1", "OUT_OF_SERVICE");
        lab.wait_for_member("w1", is_out);
        registry.override_status(APP, "w1", "UP");
        lab.wait_for_member("w1", is_in);
        registry.remove(APP, "w2", true);
        lab.wait_for_member("w2", |line| line.is_none());
        assert!(registry.request_count("/eureka/apps/delta") > 0);
        assert!(run(&lab, "/y"));
    }
}

/// A registry that restarts empty, one that expires half of the fleet, and one that says nothing: who serves stays, who
/// is dead goes.
#[test]
fn bad_days_of_a_registry() {
    let registry = EurekaStub::start();
    let lab = lab(&[&registry], "");
    registry.restart();
    lab.wait_for_member("w3", is_doubtful);
    assert!(run(&lab, "/x"));
    assert_eq!(
        lab.members()
            .iter()
            .filter(|line| line.contains(" in "))
            .count(),
        3
    );
    for worker in lab.workers.iter().rev() {
        registry.register(APP, &worker.id, worker.address);
    }
    lab.wait_for_member("w3", |line| is_in(line) && !is_doubtful(line));
    registry.remove(APP, "w1", false);
    lab.wait_for_member("w1", is_doubtful);
    // A dead one that is no longer named goes by its own signs.
    let nobody = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    registry.register(APP, "dead", nobody);
    lab.wait_for_member("dead", is_in);
    registry.remove(APP, "dead", false);
    lab.wait_for_member("dead", |line| line.is_none());
    lab.wait_for_member("w1", is_doubtful);
    assert!(run(&lab, "/y"));
}

/// Wrong hash codes, lost deltas, errors, cut and late answers: what the registry holds is known in the end.
#[test]
fn odd_answers() {
    let registry = EurekaStub::start();
    let lab = lab(&[&registry], "");
    let moods = [
        EurekaBehaviour {
            wrong_hash: true,
            ..EurekaBehaviour::default()
        },
        EurekaBehaviour {
            omits_deltas: true,
            ..EurekaBehaviour::default()
        },
        EurekaBehaviour {
            status: Some(503),
            ..EurekaBehaviour::default()
        },
        EurekaBehaviour {
            status: Some(429),
            ..EurekaBehaviour::default()
        },
        EurekaBehaviour {
            truncate_after: Some(150),
            ..EurekaBehaviour::default()
        },
        EurekaBehaviour {
            delay: Duration::from_millis(1500),
            ..EurekaBehaviour::default()
        },
        EurekaBehaviour {
            empty: true,
            ..EurekaBehaviour::default()
        },
    ];
    for (n, mood) in moods.into_iter().enumerate() {
        registry.set_behaviour(mood.clone());
        let id = format!("x{n}");
        registry.register(APP, &id, lab.workers[0].address);
        registry.override_status(APP, "w2", "OUT_OF_SERVICE");
        std::thread::sleep(Duration::from_millis(300));
        registry.set_behaviour(EurekaBehaviour::default());
        lab.wait_for_member(&id, |line| line.is_some());
        lab.wait_for_member("w2", is_out);
        registry.override_status(APP, "w2", "UP");
        lab.wait_for_member("w2", is_in);
        assert!(
            lab.members()
                .iter()
                .filter(|line| line.contains(" in "))
                .count()
                >= 3,
            "{mood:?}"
        );
    }
}

/// The first registry falls silent: the second is polled, and a drain that it reports is kept.
#[test]
fn a_failover_with_a_drain() {
    let (first, second) = (EurekaStub::start(), EurekaStub::start());
    let lab = lab(&[&first, &second], "");
    second.override_status(APP, "w1", "OUT_OF_SERVICE");
    first.set_behaviour(EurekaBehaviour {
        silent: true,
        ..EurekaBehaviour::default()
    });
    lab.wait_for_member("w1", is_out);
    let before = lab.workers[0].started_jobs().len();
    for n in 0..20 {
        assert!(run(&lab, &format!("/{n}")));
    }
    assert_eq!(lab.workers[0].started_jobs().len(), before);
}

/// The same worker in discovery, the registry and by hand: each report against it counts. Static workers are there.
#[test]
fn several_sources() {
    let registry = EurekaStub::start();
    let spare = marbledeck_test_support::WorkerStub::start("spare", 4);
    let statics = format!(
        "[[static]]\nid = \"spare\"\naddress = \"{}\"\n",
        spare.address
    );
    let lab = lab(&[&registry], &statics);
    lab.wait_for_member("spare", is_in);
    let w1 = &lab.workers[0];
    lab.discovery.set_worker("w1", w1.address, "up");
    lab.wait_for_member("w1", |line| {
        line.is_some_and(|line| line.contains("directory: up") && line.contains("eureka: up"))
    });
    lab.discovery.set_worker("w1", w1.address, "draining");
    lab.wait_for_member("w1", |line| {
        line.is_some_and(|line| line.contains("directory says draining"))
    });
    lab.discovery.set_worker("w1", w1.address, "up");
    lab.wait_for_member("w1", is_in);
    assert_eq!(lab.call_admin("set-down w1").as_deref(), Some("ACK w1 out"));
    lab.wait_for_member("w1", |line| {
        line.is_some_and(|line| line.contains("out by hand"))
    });
    lab.discovery.set_worker("w1", w1.address, "removed");
    registry.override_status(APP, "w1", "DOWN");
    lab.wait_for_member("w1", is_out);
}

/// An upgrade while the registry is silent: the new process has the fleet of the old one, and who is out by hand.
#[test]
fn an_upgrade_with_a_silent_registry() {
    let registry = EurekaStub::start();
    let mut lab = lab(&[&registry], "");
    lab.call_admin("set-down w2");
    registry.set_behaviour(EurekaBehaviour {
        silent: true,
        ..EurekaBehaviour::default()
    });
    lab.start_successor();
    lab.signal(0, "-TERM");
    assert!(lab.exits_cleanly(0));
    lab.wait_for_member("w1", is_in);
    lab.wait_for_member("w2", is_out);
    assert!(run(&lab, "/x"));
}

/// From the registry's word to the node's: no job is sent to a worker longer than a poll after it is out of service.
#[test]
fn out_of_service_within_a_poll() {
    let registry = EurekaStub::start();
    let lab = lab(&[&registry], "");
    for _ in 0..3 {
        let notified_at = Instant::now();
        registry.override_status(APP, "w3", "OUT_OF_SERVICE");
        lab.wait_for_member("w3", is_out);
        assert!(notified_at.elapsed() < Duration::from_secs(20));
        let started = lab.workers[2].started_jobs().len();
        (0..5).for_each(|n| assert!(run(&lab, &format!("/{n}"))));
        assert_eq!(lab.workers[2].started_jobs().len(), started);
        registry.override_status(APP, "w3", "UP");
        lab.wait_for_member("w3", is_in);
    }
}

/// The node's own entry: registered, registered anew where it was forgotten, kept over an upgrade without a cancel, and
/// taken out at the end.
#[test]
fn the_node_in_the_registry() {
    let registry = EurekaStub::start();
    let own =
        "[eureka.register]\napp = \"deck\"\nid = \"n0\"\naddress = \"127.0.0.1:9\"\nrenew_s = 1\n";
    let mut lab = lab(&[&registry], own);
    let path = "/eureka/apps/deck";
    let until = |what: &str, is: &dyn Fn() -> bool| {
        let end = Instant::now() + Duration::from_secs(30);
        while !is() {
            assert!(Instant::now() < end, "{what}");
            std::thread::sleep(Duration::from_millis(5));
        }
    };
    until("registered", &|| {
        registry.status("DECK", "n0").as_deref() == Some("UP")
    });
    registry.remove("DECK", "n0", false);
    until("registered anew", &|| registry.request_count(path) >= 2);
    lab.start_successor();
    lab.signal(0, "-TERM");
    assert!(lab.exits_cleanly(0));
    assert_eq!(
        registry.status("DECK", "n0").as_deref(),
        Some("UP"),
        "no cancel by the old one"
    );
    assert_eq!(registry.cancels("DECK", "n0"), 1, "that of this test");
    lab.signal(1, "-TERM");
    assert!(lab.exits_cleanly(1));
    until("taken out", &|| registry.status("DECK", "n0").is_none());
}

/// A worker behind an unchanged client of another language: it registers, renews, is seen by the node and gets work.
/// `make binding` fetches the client; MARBLEDECK_BINDING is where to.
#[test]
fn a_stock_client() {
    let Some(binding) = std::env::var_os("MARBLEDECK_BINDING").map(std::path::PathBuf::from) else {
        return eprintln!("not run: `make test` fetches the client");
    };
    let registry = EurekaStub::start();
    let lab = TestEnvironment::start(EnvironmentOptions {
        listed_workers: Some(0),
        workers: 1,
        operator_keys: site(&[&registry], ""),
        ..EnvironmentOptions::default()
    });
    let worker = &lab.workers[0];
    let script = "import sys, py_eureka_client.eureka_client as e\n\
                  e.init(eureka_server=sys.argv[1], app_name='render', instance_ip='127.0.0.1', instance_host='127.0.0.1', \
                  instance_port=int(sys.argv[2]), renewal_interval_in_secs=1, duration_in_secs=4, \
                  metadata={'worker': 'w1', 'zone': 'east', 'kind': 'std'}, should_discover=False)\n\
                  sys.stdin.read()\ne.stop()\n";
    let mut python = Command::new(binding.join("bin/python"));
    python
        .arg("-c")
        .arg(script)
        .arg(registry.url())
        .arg(worker.address.port().to_string());
    python.stdin(std::process::Stdio::piped());
    let mut child = python.spawn().unwrap();
    registry.enable_expiry();
    lab.wait_for_member("w1", is_in);
    // Longer than its lease: it renews.
    std::thread::sleep(Duration::from_secs(5));
    lab.wait_for_member("w1", |line| is_in(line) && !is_doubtful(line));
    assert!(run(&lab, "/x"));
    assert_eq!(worker.started_jobs().len(), 1);
    drop(child.stdin.take());
    lab.wait_for_member("w1", |line| !is_in(line) || is_doubtful(line));
    let _ = child.kill();
    let _ = child.wait();
}
