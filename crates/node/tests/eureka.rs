//! A node that learns of its workers from a Eureka registry, for which a stub stands in, while the registry misbehaves.

use marbledeck_test_support::{EnvironmentOptions, EurekaBehaviour, EurekaStub, TestEnvironment};
use std::process::Command;
use std::time::{Duration, Instant};

const APP: &str = "RENDER";

fn operator_keys(registries: &[&EurekaStub], more: &str) -> String {
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

fn start_environment(registries: &[&EurekaStub], more: &str) -> TestEnvironment {
    let environment = TestEnvironment::start(EnvironmentOptions {
        listed_workers: Some(0),
        operator_keys: operator_keys(registries, more),
        ..EnvironmentOptions::default()
    });
    for registry in registries {
        for worker in &environment.workers {
            registry.register(APP, &worker.id, worker.address);
        }
    }
    for worker in &environment.workers {
        environment.wait_for_member(&worker.id, is_in);
    }
    environment
}

fn is_in(line: Option<&str>) -> bool {
    line.is_some_and(|line| line.contains(" in "))
}

fn is_out(line: Option<&str>) -> bool {
    line.is_some_and(|line| line.contains(" out "))
}

fn is_retained(line: Option<&str>) -> bool {
    line.is_some_and(|line| line.contains(" in ") && line.contains("kept while it answers"))
}

fn says_removed(line: Option<&str>) -> bool {
    line.is_some_and(|line| line.contains("directory says removed"))
}

fn run_job(environment: &TestEnvironment, target: &str) -> bool {
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
        &environment.submission_address,
    ]);
    command.output().unwrap().status.success()
}

/// Workers register, go out of service and back, and leave, with JSON and with XML answers.
#[test]
fn the_node_follows_registrations_and_status_changes() {
    for more in ["", "form = \"xml\""] {
        let registry = EurekaStub::start();
        let environment = start_environment(&[&registry], more);
        assert!(run_job(&environment, "/x"));
        registry.override_status(APP, "w1", "OUT_OF_SERVICE");
        environment.wait_for_member("w1", is_out);
        registry.override_status(APP, "w1", "UP");
        environment.wait_for_member("w1", is_in);
        registry.remove(APP, "w2", true);
        environment.wait_for_member("w2", |line| line.is_none());
        assert!(registry.request_count("/eureka/apps/delta") > 0);
        assert!(run_job(&environment, "/y"));
    }
}

/// A registry that restarts empty or expires instances does not remove workers that still answer probes. A worker that
/// does not answer is removed.
#[test]
fn workers_that_the_registry_lost_are_kept_while_they_answer() {
    let registry = EurekaStub::start();
    let environment = start_environment(&[&registry], "");
    registry.restart();
    environment.wait_for_member("w3", is_retained);
    assert!(run_job(&environment, "/x"));
    assert_eq!(
        environment
            .members()
            .iter()
            .filter(|line| line.contains(" in "))
            .count(),
        3
    );
    for worker in environment.workers.iter().rev() {
        registry.register(APP, &worker.id, worker.address);
    }
    environment.wait_for_member("w3", |line| is_in(line) && !is_retained(line));
    registry.remove(APP, "w1", false);
    environment.wait_for_member("w1", is_retained);
    // A worker that the registry no longer names and that fails its probes is removed.
    let unused_address = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    registry.register(APP, "dead", unused_address);
    environment.wait_for_member("dead", is_in);
    registry.remove(APP, "dead", false);
    environment.wait_for_member("dead", |line| line.is_none());
    environment.wait_for_member("w1", is_retained);
    assert!(run_job(&environment, "/y"));
}

/// After wrong hash codes, lost deltas, errors, and truncated or late answers, the node has the registry's state.
#[test]
fn the_node_recovers_from_faulty_answers() {
    let registry = EurekaStub::start();
    let environment = start_environment(&[&registry], "");
    let behaviours = [
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
    for (n, behaviour) in behaviours.into_iter().enumerate() {
        registry.set_behaviour(behaviour.clone());
        let id = format!("x{n}");
        registry.register(APP, &id, environment.workers[0].address);
        registry.override_status(APP, "w2", "OUT_OF_SERVICE");
        std::thread::sleep(Duration::from_millis(300));
        registry.set_behaviour(EurekaBehaviour::default());
        environment.wait_for_member(&id, |line| line.is_some());
        environment.wait_for_member("w2", is_out);
        registry.override_status(APP, "w2", "UP");
        environment.wait_for_member("w2", is_in);
        assert!(
            environment
                .members()
                .iter()
                .filter(|line| line.contains(" in "))
                .count()
                >= 3,
            "{behaviour:?}"
        );
    }
}

/// The first registry falls silent. The node polls the second one, and follows a drain that it reports.
#[test]
fn a_drain_is_followed_after_a_failover() {
    let (first, second) = (EurekaStub::start(), EurekaStub::start());
    let environment = start_environment(&[&first, &second], "");
    second.override_status(APP, "w1", "OUT_OF_SERVICE");
    first.set_behaviour(EurekaBehaviour {
        silent: true,
        ..EurekaBehaviour::default()
    });
    environment.wait_for_member("w1", is_out);
    let before = environment.workers[0].started_jobs().len();
    for n in 0..20 {
        assert!(run_job(&environment, &format!("/{n}")));
    }
    assert_eq!(environment.workers[0].started_jobs().len(), before);
}

/// A worker that discovery, the registry and an operator name is out as soon as one of them takes it out. Static
/// workers are members, too.
#[test]
fn one_source_is_enough_to_take_a_worker_out() {
    let registry = EurekaStub::start();
    let spare = marbledeck_test_support::WorkerStub::start("spare", 4);
    let statics = format!(
        "[[static]]\nid = \"spare\"\naddress = \"{}\"\n",
        spare.address
    );
    let environment = start_environment(&[&registry], &statics);
    environment.wait_for_member("spare", is_in);
    let w1 = &environment.workers[0];
    environment.discovery.set_worker("w1", w1.address, "up");
    environment.wait_for_member("w1", |line| {
        line.is_some_and(|line| line.contains("directory: up") && line.contains("eureka: up"))
    });
    environment
        .discovery
        .set_worker("w1", w1.address, "draining");
    environment.wait_for_member("w1", |line| {
        line.is_some_and(|line| line.contains("directory says draining"))
    });
    environment.discovery.set_worker("w1", w1.address, "up");
    environment.wait_for_member("w1", is_in);
    assert_eq!(
        environment.call_admin("set-down w1").as_deref(),
        Some("ACK w1 out")
    );
    environment.wait_for_member("w1", |line| {
        line.is_some_and(|line| line.contains("out by hand"))
    });
    environment
        .discovery
        .set_worker("w1", w1.address, "removed");
    registry.override_status(APP, "w1", "DOWN");
    environment.wait_for_member("w1", is_out);
}

/// Guards against jobs for a worker that discovery has told to be gone while the registry's lease of it runs on: in the
/// process that was told, and in its successor.
#[test]
fn a_worker_that_discovery_removes_gets_no_job_while_the_registry_names_it() {
    let registry = EurekaStub::start();
    let mut environment = start_environment(&[&registry], "");
    let address = environment.workers[1].address;
    let discovery = environment.discovery.clone();
    discovery.set_worker("w2", address, "up");
    environment.wait_for_member("w2", |line| {
        line.is_some_and(|line| line.contains("directory: up") && line.contains("eureka: up"))
    });
    discovery.set_worker("w2", address, "draining");
    environment.wait_for_member("w2", is_out);
    discovery.set_worker("w2", address, "removed");
    environment.wait_for_member("w2", says_removed);
    environment.start_successor();
    environment.signal(0, "-TERM");
    assert!(environment.exits_cleanly(0));
    environment.wait_for_member("w2", says_removed);
    for n in 0..20 {
        assert!(run_job(&environment, &format!("/{n}")));
    }
    assert!(environment.workers[1].started_jobs().is_empty());
    discovery.set_worker("w2", address, "up");
    environment.wait_for_member("w2", is_in);
}

/// During an upgrade while the registry is silent, the new process takes over the workers of the old one and their
/// `set-down` state.
#[test]
fn an_upgrade_with_a_silent_registry_keeps_the_workers() {
    let registry = EurekaStub::start();
    let mut environment = start_environment(&[&registry], "");
    environment.call_admin("set-down w2");
    registry.set_behaviour(EurekaBehaviour {
        silent: true,
        ..EurekaBehaviour::default()
    });
    environment.start_successor();
    environment.signal(0, "-TERM");
    assert!(environment.exits_cleanly(0));
    environment.wait_for_member("w1", is_in);
    environment.wait_for_member("w2", is_out);
    assert!(run_job(&environment, "/x"));
}

/// A worker that the registry puts out of service gets no job once the node has polled.
#[test]
fn a_worker_out_of_service_gets_no_job_after_the_next_poll() {
    let registry = EurekaStub::start();
    let environment = start_environment(&[&registry], "");
    for _ in 0..3 {
        let notified_at = Instant::now();
        registry.override_status(APP, "w3", "OUT_OF_SERVICE");
        environment.wait_for_member("w3", is_out);
        assert!(notified_at.elapsed() < Duration::from_secs(20));
        let started = environment.workers[2].started_jobs().len();
        (0..5).for_each(|n| assert!(run_job(&environment, &format!("/{n}"))));
        assert_eq!(environment.workers[2].started_jobs().len(), started);
        registry.override_status(APP, "w3", "UP");
        environment.wait_for_member("w3", is_in);
    }
}

/// The node registers its own instance and registers it again if the registry lost it. An upgrade keeps the instance
/// without a cancel, and the last process removes it at its end.
#[test]
fn the_node_keeps_its_own_instance_registered() {
    let registry = EurekaStub::start();
    let own =
        "[eureka.register]\napp = \"deck\"\nid = \"n0\"\naddress = \"127.0.0.1:9\"\nrenew_s = 1\n";
    let mut environment = start_environment(&[&registry], own);
    let path = "/eureka/apps/deck";
    let wait_until = |failure: &str, is_reached: &dyn Fn() -> bool| {
        let deadline = Instant::now() + Duration::from_secs(30);
        while !is_reached() {
            assert!(Instant::now() < deadline, "{failure}");
            std::thread::sleep(Duration::from_millis(5));
        }
    };
    wait_until("the instance is not registered", &|| {
        registry.status("DECK", "n0").as_deref() == Some("UP")
    });
    registry.remove("DECK", "n0", false);
    wait_until("the lost instance is not registered again", &|| {
        registry.request_count(path) >= 2
    });
    environment.start_successor();
    environment.signal(0, "-TERM");
    assert!(environment.exits_cleanly(0));
    assert_eq!(
        registry.status("DECK", "n0").as_deref(),
        Some("UP"),
        "the old process cancelled the instance"
    );
    assert_eq!(
        registry.cancels("DECK", "n0"),
        1,
        "only this test has cancelled the instance"
    );
    environment.signal(1, "-TERM");
    assert!(environment.exits_cleanly(1));
    wait_until("the instance is not removed", &|| {
        registry.status("DECK", "n0").is_none()
    });
}

/// A worker that an unmodified Python Eureka client registers and renews becomes a member and gets work. `make binding`
/// installs the client in the folder that MARBLEDECK_BINDING names.
#[test]
fn a_worker_of_an_unmodified_python_client_gets_work() {
    let Some(binding) = std::env::var_os("MARBLEDECK_BINDING").map(std::path::PathBuf::from) else {
        return eprintln!(
            "not run: MARBLEDECK_BINDING is not set; `make test` installs the client"
        );
    };
    let registry = EurekaStub::start();
    let environment = TestEnvironment::start(EnvironmentOptions {
        listed_workers: Some(0),
        workers: 1,
        operator_keys: operator_keys(&[&registry], ""),
        ..EnvironmentOptions::default()
    });
    let worker = &environment.workers[0];
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
    environment.wait_for_member("w1", is_in);
    // Longer than the lease, so the client must have renewed it.
    std::thread::sleep(Duration::from_secs(5));
    environment.wait_for_member("w1", |line| is_in(line) && !is_retained(line));
    assert!(run_job(&environment, "/x"));
    assert_eq!(worker.started_jobs().len(), 1);
    drop(child.stdin.take());
    environment.wait_for_member("w1", |line| !is_in(line) || is_retained(line));
    let _ = child.kill();
    let _ = child.wait();
}
