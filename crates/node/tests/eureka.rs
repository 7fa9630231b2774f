//! A node that learns of its workers from a Eureka registry, a stand-in of our own, while that has its bad days.

use marbledeck_test_support::{Lab, Mood, Options, Registry};
use std::process::Command;
use std::time::{Duration, Instant};

const APP: &str = "RENDER";

fn site(registries: &[&Registry], more: &str) -> String {
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

fn lab(registries: &[&Registry], more: &str) -> Lab {
    let lab = Lab::start(Options {
        listed: Some(0),
        site: site(registries, more),
        ..Options::default()
    });
    for registry in registries {
        for worker in &lab.workers {
            registry.register(APP, &worker.id, worker.addr);
        }
    }
    for worker in &lab.workers {
        lab.until_member(&worker.id, is_in);
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

fn run(lab: &Lab, target: &str) -> bool {
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
        &lab.submitters,
    ]);
    command.output().unwrap().status.success()
}

/// Workers come, go out of service and back, and leave, in both forms.
#[test]
fn workers_come_and_go() {
    for more in ["", "form = \"xml\""] {
        let registry = Registry::start();
        let lab = lab(&[&registry], more);
        assert!(run(&lab, "/x"));
        registry.override_status(APP, "w1", "OUT_OF_SERVICE");
        lab.until_member("w1", is_out);
        registry.override_status(APP, "w1", "UP");
        lab.until_member("w1", is_in);
        registry.remove(APP, "w2", true);
        lab.until_member("w2", |line| line.is_none());
        assert!(registry.asked("/eureka/apps/delta") > 0);
        assert!(run(&lab, "/y"));
    }
}

/// A registry that restarts empty, one that expires half of the fleet, and one that says nothing: who serves stays, who
/// is dead goes.
#[test]
fn bad_days_of_a_registry() {
    let registry = Registry::start();
    let lab = lab(&[&registry], "");
    registry.restart();
    lab.until_member("w3", is_doubtful);
    assert!(run(&lab, "/x"));
    assert_eq!(
        lab.members()
            .iter()
            .filter(|line| line.contains(" in "))
            .count(),
        3
    );
    for worker in lab.workers.iter().rev() {
        registry.register(APP, &worker.id, worker.addr);
    }
    lab.until_member("w3", |line| is_in(line) && !is_doubtful(line));
    registry.remove(APP, "w1", false);
    lab.until_member("w1", is_doubtful);
    // A dead one that is no longer named goes by its own signs.
    let nobody = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    registry.register(APP, "dead", nobody);
    lab.until_member("dead", is_in);
    registry.remove(APP, "dead", false);
    lab.until_member("dead", |line| line.is_none());
    lab.until_member("w1", is_doubtful);
    assert!(run(&lab, "/y"));
}

/// Wrong hash codes, lost deltas, errors, cut and late answers: what the registry holds is known in the end.
#[test]
fn odd_answers() {
    let registry = Registry::start();
    let lab = lab(&[&registry], "");
    let moods = [
        Mood {
            wrong_hash: true,
            ..Mood::default()
        },
        Mood {
            loses_deltas: true,
            ..Mood::default()
        },
        Mood {
            status: Some(503),
            ..Mood::default()
        },
        Mood {
            status: Some(429),
            ..Mood::default()
        },
        Mood {
            cut: Some(150),
            ..Mood::default()
        },
        Mood {
            late: Duration::from_millis(1500),
            ..Mood::default()
        },
        Mood {
            empty: true,
            ..Mood::default()
        },
    ];
    for (n, mood) in moods.into_iter().enumerate() {
        registry.set_mood(mood.clone());
        let id = format!("x{n}");
        registry.register(APP, &id, lab.workers[0].addr);
        registry.override_status(APP, "w2", "OUT_OF_SERVICE");
        std::thread::sleep(Duration::from_millis(300));
        registry.set_mood(Mood::default());
        lab.until_member(&id, |line| line.is_some());
        lab.until_member("w2", is_out);
        registry.override_status(APP, "w2", "UP");
        lab.until_member("w2", is_in);
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

/// The first registry falls silent: the second is asked, and a drain that it tells is kept.
#[test]
fn a_failover_with_a_drain() {
    let (first, second) = (Registry::start(), Registry::start());
    let lab = lab(&[&first, &second], "");
    second.override_status(APP, "w1", "OUT_OF_SERVICE");
    first.set_mood(Mood {
        silent: true,
        ..Mood::default()
    });
    lab.until_member("w1", is_out);
    let before = lab.workers[0].begun().len();
    for n in 0..20 {
        assert!(run(&lab, &format!("/{n}")));
    }
    assert_eq!(lab.workers[0].begun().len(), before);
}

/// The same worker in the directory, the registry and by hand: each word against it counts. Static workers are there.
#[test]
fn several_sources() {
    let registry = Registry::start();
    let spare = marbledeck_test_support::Worker::start("spare", 4);
    let statics = format!("[[static]]\nid = \"spare\"\naddress = \"{}\"\n", spare.addr);
    let lab = lab(&[&registry], &statics);
    lab.until_member("spare", is_in);
    let w1 = &lab.workers[0];
    lab.directory.set("w1", w1.addr, "up");
    lab.until_member("w1", |line| {
        line.is_some_and(|line| line.contains("directory: up") && line.contains("eureka: up"))
    });
    lab.directory.set("w1", w1.addr, "draining");
    lab.until_member("w1", |line| {
        line.is_some_and(|line| line.contains("directory says draining"))
    });
    lab.directory.set("w1", w1.addr, "up");
    lab.until_member("w1", is_in);
    assert_eq!(lab.operate("set-down w1").as_deref(), Some("ACK w1 out"));
    lab.until_member("w1", |line| {
        line.is_some_and(|line| line.contains("out by hand"))
    });
    lab.directory.set("w1", w1.addr, "removed");
    registry.override_status(APP, "w1", "DOWN");
    lab.until_member("w1", is_out);
}

/// An upgrade while the registry is silent: the new process has the fleet of the old one, and who is out by hand.
#[test]
fn an_upgrade_with_a_silent_registry() {
    let registry = Registry::start();
    let mut lab = lab(&[&registry], "");
    lab.operate("set-down w2");
    registry.set_mood(Mood {
        silent: true,
        ..Mood::default()
    });
    lab.succeed();
    lab.signal(0, "-TERM");
    assert!(lab.ends(0));
    lab.until_member("w1", is_in);
    lab.until_member("w2", is_out);
    assert!(run(&lab, "/x"));
}

/// From the registry's word to the node's: no job is sent to a worker longer than a poll after it is out of service.
#[test]
fn out_of_service_within_a_poll() {
    let registry = Registry::start();
    let lab = lab(&[&registry], "");
    for _ in 0..3 {
        let told = Instant::now();
        registry.override_status(APP, "w3", "OUT_OF_SERVICE");
        lab.until_member("w3", is_out);
        assert!(told.elapsed() < Duration::from_secs(20));
        let begun = lab.workers[2].begun().len();
        (0..5).for_each(|n| assert!(run(&lab, &format!("/{n}"))));
        assert_eq!(lab.workers[2].begun().len(), begun);
        registry.override_status(APP, "w3", "UP");
        lab.until_member("w3", is_in);
    }
}

/// The node's own entry: registered, registered anew where it was forgotten, kept over an upgrade without a cancel, and
/// taken out at the end.
#[test]
fn the_node_in_the_registry() {
    let registry = Registry::start();
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
    until("registered anew", &|| registry.asked(path) >= 2);
    lab.succeed();
    lab.signal(0, "-TERM");
    assert!(lab.ends(0));
    assert_eq!(
        registry.status("DECK", "n0").as_deref(),
        Some("UP"),
        "no cancel by the old one"
    );
    assert_eq!(registry.cancels("DECK", "n0"), 1, "that of this test");
    lab.signal(1, "-TERM");
    assert!(lab.ends(1));
    until("taken out", &|| registry.status("DECK", "n0").is_none());
}

/// A worker behind an unchanged client of another language: it registers, renews, is seen by the node and gets work.
/// `make binding` fetches the client; MARBLEDECK_BINDING is where to.
#[test]
fn a_stock_client() {
    let Some(binding) = std::env::var_os("MARBLEDECK_BINDING").map(std::path::PathBuf::from) else {
        return eprintln!("not run: `make test` fetches the client");
    };
    let registry = Registry::start();
    let lab = Lab::start(Options {
        listed: Some(0),
        workers: 1,
        site: site(&[&registry], ""),
        ..Options::default()
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
        .arg(worker.addr.port().to_string());
    python.stdin(std::process::Stdio::piped());
    let mut child = python.spawn().unwrap();
    registry.expire();
    lab.until_member("w1", is_in);
    // Longer than its lease: it renews.
    std::thread::sleep(Duration::from_secs(5));
    lab.until_member("w1", |line| is_in(line) && !is_doubtful(line));
    assert!(run(&lab, "/x"));
    assert_eq!(worker.begun().len(), 1);
    drop(child.stdin.take());
    lab.until_member("w1", |line| !is_in(line) || is_doubtful(line));
    let _ = child.kill();
    let _ = child.wait();
}
