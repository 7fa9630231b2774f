//! Gossip between nodes: the messages that a node sends to its peers, and how it uses those that it receives.

use marbledeck_dispatcher::{LoadReport, Micros, Outcome, WorkerEntry, WorkerId, WorkerListKind};
use marbledeck_gossip::message::Message;
use marbledeck_gossip::{owner_of, short_id};
use marbledeck_node::core::{Command, Core, NameRegistry, NewRequest, Payload};
use marbledeck_platform_settings::{worker_id, PlatformSettings};
use marbledeck_test_support::{EnvironmentOptions, TestEnvironment};
use std::io::{Read, Write};
use std::net::{TcpStream, UdpSocket};
use std::time::Duration;

/// Much longer than any step takes, so only a failure reaches it.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// The core of one of 300 nodes with this many workers. It probes four of them before it starts an attempt.
fn core(workers: u64) -> Core {
    let platform: PlatformSettings = serde_json::from_str(
        r#"{"balancers":300,"self-index":0,"zone":0,"localities":["east"],"kinds":["std"],"registry-mode":"automatic",
        "stats":{"how":"piggyback"},"bounds":{"probes":true,"may-cancel":true,"try-limit":3},
        "family-info":{"report-x0":"free slots","tells-start":true},"rules":{},
        "profiles":[{"name":"preview","effect":"safe","promise-us":250000,"deadline-us":7500000}],
        "tenants":[{"name":"au","share":1.0}]}"#,
    )
    .expect("settings");
    let settings = platform.dispatcher_settings().expect("settings that fit");
    let names = NameRegistry::new(&platform, &settings);
    let mut core = Core::new(settings, names, 7, Micros(0)).expect("a core");
    let entry = |id| WorkerEntry {
        worker: WorkerId(id),
        ..WorkerEntry::default()
    };
    core.apply_worker_list(
        Micros(0),
        WorkerListKind::Full,
        (0..workers).map(entry).collect(),
    );
    core
}

fn submit(core: &mut Core, now: Micros) {
    let request = NewRequest {
        class: "preview",
        tenant: Some("au"),
        time_left: Micros(7_500_000),
        payload: Payload::default(),
        ..NewRequest::default()
    };
    core.accept_request(now, request).expect("accepted");
}

/// Drains the core's commands. Returns the workers that they probe.
fn probed_workers(core: &mut Core) -> Vec<WorkerId> {
    let commands = std::iter::from_fn(|| core.next_command());
    commands
        .filter_map(|command| match command {
            Command::ProbeWorker(worker) => Some(worker),
            _ => None,
        })
        .collect()
}

/// The worker of the first attempt among the core's commands.
fn attempted_worker(core: &mut Core) -> Option<WorkerId> {
    let mut commands = std::iter::from_fn(|| core.next_command());
    commands.find_map(|command| match command {
        Command::StartAttempt(attempt) => Some(attempt.worker),
        _ => None,
    })
}

fn load_report(free_slots: f64) -> Option<LoadReport> {
    Some(LoadReport {
        free_slots: Some(free_slots),
        ..LoadReport::default()
    })
}

/// All four probed workers report five free slots, but by the peers five attempts are in flight at three of them. The
/// job goes to the fourth worker, whether the probe or the peer answers first.
#[test]
fn a_job_avoids_workers_that_other_nodes_have_just_filled() {
    for peer_answers_last in [false, true] {
        let mut core = core(40);
        let now = Micros(5_000_000);
        submit(&mut core, now);
        let workers = probed_workers(&mut core);
        assert_eq!(workers.len(), 4);
        workers
            .iter()
            .for_each(|worker| core.await_fleet_in_flight(*worker));
        for (n, worker) in workers.iter().enumerate() {
            assert_eq!(
                attempted_worker(&mut core),
                None,
                "an attempt started before all answers had arrived"
            );
            let in_flight = if n == 2 { 0 } else { 5 };
            if peer_answers_last {
                core.handle_probe_result(now, *worker, Outcome::Served, load_report(5.0));
                assert_eq!(
                    attempted_worker(&mut core),
                    None,
                    "an attempt started before the peer had answered"
                );
                core.set_fleet_in_flight(now, *worker, Some(in_flight));
            } else {
                core.set_fleet_in_flight(now, *worker, Some(in_flight));
                core.handle_probe_result(now, *worker, Outcome::Served, load_report(5.0));
            }
        }
        assert_eq!(attempted_worker(&mut core), Some(workers[2]));
    }
}

/// If no peer knows a worker's attempts in flight, the worker's own report decides.
#[test]
fn without_an_answer_of_peers_the_load_report_decides() {
    let mut core = core(40);
    let now = Micros(5_000_000);
    submit(&mut core, now);
    let workers = probed_workers(&mut core);
    for (n, worker) in workers.iter().enumerate() {
        core.await_fleet_in_flight(*worker);
        core.handle_probe_result(
            now,
            *worker,
            Outcome::Served,
            load_report(if n == 1 { 5.0 } else { 0.0 }),
        );
        core.set_fleet_in_flight(now, *worker, None);
    }
    assert_eq!(attempted_worker(&mut core), Some(workers[1]));
}

/// The number of other nodes. One socket stands for all of them, so that one of them owns the only worker.
const PEERS: usize = 40;

fn run_a_job(environment: &TestEnvironment) {
    let mut client =
        TcpStream::connect(&environment.client_address).expect("the node takes clients");
    client.set_read_timeout(Some(READ_TIMEOUT)).expect("set");
    let job = "POST /api HTTP/1.1\r\nHost: n\r\nX-Txn: 00000000000000a1\r\nX-Lane: preview\r\nX-Org: au\r\n\
               X-Remaining-Ms: 7000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    client.write_all(job.as_bytes()).expect("written");
    let mut answer = String::new();
    client.read_to_string(&mut answer).expect("answered");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

fn start_environment(operator_keys: &str, peer: &UdpSocket) -> TestEnvironment {
    TestEnvironment::start(EnvironmentOptions {
        workers: 1,
        operator_keys: operator_keys.to_owned(),
        peers: vec![peer.local_addr().expect("bound"); PEERS],
        ..EnvironmentOptions::default()
    })
}

/// The owner of a worker is notified of the start and end of an attempt. Invalid datagrams of a peer or of an unknown
/// sender do no harm.
#[test]
fn the_owner_is_notified_of_attempts_and_of_their_end() {
    let peer = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    peer.set_read_timeout(Some(READ_TIMEOUT)).expect("set");
    let environment = start_environment("[peers]\nshare = true", &peer);
    let short = short_id(worker_id(&environment.workers[0].id));
    assert_ne!(
        owner_of(short, PEERS + 1),
        0,
        "the node itself owns the worker"
    );
    run_a_job(&environment);
    let mut counts = Vec::new();
    let mut bytes = [0; 300];
    while counts.last() != Some(&0) {
        let (len, node) = peer.recv_from(&mut bytes).expect("notified");
        match Message::decode(&bytes[..len]) {
            Some(Message::Count {
                worker, in_flight, ..
            }) if worker == short => counts.push(in_flight),
            other => panic!("{other:?}"),
        }
        let unknown_sender = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        for junk in [&[][..], &[0x11], &[0xff; 300], &[0x13, 0, 0, 0, 0, 0]] {
            unknown_sender.send_to(junk, node).expect("sent");
            peer.send_to(junk, node).expect("sent");
        }
    }
    assert_eq!(counts.first(), Some(&1), "{counts:?}");
    run_a_job(&environment);
}

/// A node sends nothing to other nodes unless the operator file enables it.
#[test]
fn without_gossip_enabled_nothing_is_sent_to_other_nodes() {
    let peer = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    peer.set_nonblocking(true).expect("set");
    let mut environment = start_environment("", &peer);
    for _ in 0..12 {
        run_a_job(&environment);
    }
    environment.signal(0, "-TERM");
    assert!(environment.exits_cleanly(0));
    assert!(
        peer.recv_from(&mut [0; 300]).is_err(),
        "the node sent a datagram"
    );
}
