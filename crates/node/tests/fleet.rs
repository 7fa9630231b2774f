//! Several processes of the program that agree on records and share licence seats, while processes die or stand still,
//! links break and disks fill up. No result depends on how fast the machine is.

use marbledeck_test_support::{Cluster, ClusterOptions, JobBehaviour, LinkState};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A job at a node's client address; the status of the answer, none where the node was lost.
fn job(address: &str, txn: &str, labels: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_secs(30)))
        .ok()?;
    let request = format!(
        "POST /{txn} HTTP/1.1\r\nHost: n\r\nX-Txn: {txn}\r\nX-Lane: preview\r\nX-Org: au\r\nX-Remaining-Ms: 7000\r\n\
         X-Labels: {labels}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    answer.split(' ').nth(1)?.parse().ok()
}

fn change(record: &str, version: u64, body: &str) -> String {
    format!(r#"change {{"expect":{{"{record}":{version}}},"put":{{"{record}":{body}}}}}"#)
}

/// Has a change made, through any node that can: one that was lost on the way is asked for again, and its version tells
/// whether it holds already.
fn agree(fleet: &Cluster, at: &[usize], record: &str, version: u64, body: &str) {
    for turn in 0..200 {
        let number = at[turn % at.len()];
        let answer = fleet
            .call_admin(number, &change(record, version, body))
            .unwrap_or_default();
        if answer.starts_with("ACK") || answer.contains(&format!("has version {}", version + 1)) {
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("{record} was never changed");
}

fn sees(record: &str, version: u64) -> impl Fn(&str) -> bool {
    let line = format!("{record} {version} in force");
    move |text: &str| text.lines().any(|l| l.starts_with(&line))
}

const POOL: &str = r#"{"pool":{"seats":4,"longest_run_ms":400}}"#;

/// Changes the rates through this node, one version after the other. Returns how many changes hold.
fn spawn_changer(operators: String, stop: Arc<AtomicBool>) -> JoinHandle<u64> {
    std::thread::spawn(move || {
        let mut done = 0;
        while !stop.load(Ordering::SeqCst) {
            let body = format!(r#"{{"rates":{{"per_s":{{"au":{}}}}}}}"#, 1000 + done);
            let line = change("settings/rates", done, &body) + "\n";
            let mut answer = String::new();
            if let Ok(mut stream) = TcpStream::connect(&operators) {
                let written = stream.write_all(line.as_bytes());
                let _ = written.and_then(|()| stream.read_to_string(&mut answer));
            }
            if answer.starts_with("ACK") || answer.contains(&format!("has version {}", done + 1)) {
                done += 1;
            }
        }
        done
    })
}

/// The leader is killed while changes are under way: each holds whole at all nodes that live, and at the killed one once it
/// is back. What was agreed is acted on: a worker out of service gets nothing more.
#[test]
fn changes_hold_when_the_leader_is_killed_amid_them() {
    let mut fleet = Cluster::start(ClusterOptions::default());
    agree(&fleet, &[4], "workers/out", 0, r#"{"out":["w1"]}"#);
    for number in 1..=5 {
        fleet.wait_for_records(number, "the list", sees("workers/out", 1));
    }
    let before = fleet.workers[0].started_jobs().len();
    for n in 0..10 {
        assert_eq!(
            job(&fleet.nodes[4].client_address, &format!("a{n}"), ""),
            Some(200)
        );
    }
    assert_eq!(
        (
            fleet.workers[0].started_jobs().len(),
            fleet.workers[1].started_jobs().len()
        ),
        (before, 10)
    );

    let leader = fleet.leader();
    let others: Vec<usize> = (1..=5).filter(|n| *n != leader).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let operators = fleet.nodes[4].admin_address.clone();
    let changer = spawn_changer(operators, stop.clone());
    fleet.wait_for_records(5, "the first changes", |text| {
        text.contains("settings/rates ")
    });
    fleet.kill(leader);
    agree(&fleet, &others, "seats/codec", 0, POOL);
    stop.store(true, Ordering::SeqCst);
    let done = changer.join().expect("it ends");
    assert!(done > 0);
    for number in &others {
        fleet.wait_for_records(*number, "the rates", sees("settings/rates", done));
        fleet.wait_for_records(*number, "the pool", sees("seats/codec", 1));
    }
    fleet.spawn(leader);
    fleet.wait_for_records(leader, "the rates", sees("settings/rates", done));
    fleet.wait_for_records(leader, "the list", sees("workers/out", 1));
    // A version that has passed is refused, with what there is.
    let refused = fleet
        .call_admin(5, &change("workers/out", 0, "null"))
        .unwrap_or_default();
    assert!(
        refused.starts_with("NAK workers/out: it has version 1, the change expects 0"),
        "{refused}"
    );
}

/// Sends jobs that need a seat, one after the other, and counts those that are served.
fn spawn_client(
    address: String,
    name: String,
    stop: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let mut number = 0;
        while !stop.load(Ordering::SeqCst) {
            number += 1;
            if job(&address, &format!("{name}-{number}"), "licence=codec") == Some(200) {
                served.fetch_add(1, Ordering::SeqCst);
            }
            std::thread::sleep(Duration::from_millis(3));
        }
    })
}

/// Waits until these nodes together have served so many jobs more.
fn wait_until_served(served: &[Arc<AtomicUsize>], nodes: &[usize], more: usize) {
    let counts = || nodes.iter().map(|n| served[*n].load(Ordering::SeqCst));
    let before: usize = counts().sum();
    let deadline = Instant::now() + Duration::from_secs(60);
    while counts().sum::<usize>() < before + more {
        assert!(Instant::now() < deadline, "nodes {nodes:?} serve nothing");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Jobs of a licence at five nodes, of which one is killed and one stands still for longer than its lease: there are
/// never more of its calls at the workers than there are seats, counted at the workers themselves.
#[test]
fn seats_hold_over_all_nodes_while_some_die() {
    let site = "[seats]\nlicences = [\"codec\"]\nidle_ms = 300\n".to_owned();
    let mut fleet = Cluster::start(ClusterOptions {
        operator_keys: site,
        lease_ms: 900,
        workers: 1,
        ..ClusterOptions::default()
    });
    // It counts a call as over before it says so, and goes on with those of a node that has died.
    fleet.workers[0]
        .set_behaviour(|_| JobBehaviour::Serve(Duration::from_millis(80), "done".to_owned()));
    // Nobody has agreed on seats: jobs that need one are refused at once, others go on.
    assert_eq!(
        job(&fleet.nodes[0].client_address, "x1", "licence=codec"),
        Some(503)
    );
    assert_eq!(
        job(&fleet.nodes[0].client_address, "x2", "licence=other"),
        Some(400)
    );
    agree(&fleet, &[2], "seats/codec", 0, POOL);

    let stop = Arc::new(AtomicBool::new(false));
    let served: Vec<Arc<AtomicUsize>> = (0..5).map(|_| Arc::default()).collect();
    let mut clients = Vec::new();
    for (n, node) in fleet.nodes.iter().enumerate() {
        for c in 0..3 {
            let (stop, served) = (stop.clone(), served[n].clone());
            let name = format!("s{n}-{c}");
            clients.push(spawn_client(
                node.client_address.clone(),
                name,
                stop,
                served,
            ));
        }
    }
    wait_until_served(&served, &[0, 1, 2, 3, 4], 30);
    // An observer dies with its seats, and another one stands still for longer than its lease.
    fleet.kill(5);
    fleet.signal(4, "-STOP");
    wait_until_served(&served, &[0, 1, 2], 40);
    std::thread::sleep(Duration::from_millis(1500));
    fleet.signal(4, "-CONT");
    wait_until_served(&served, &[0, 1, 2, 3], 20);
    // The leader dies: what the others hold they go on with, and a new one sees to the seats of the dead.
    let leader = fleet.leader();
    fleet.kill(leader);
    let live: Vec<usize> = (0..4).filter(|n| n + 1 != leader).collect();
    wait_until_served(&served, &live, 60);
    // The dead nodes' seats are back: those that live can have all four.
    stop.store(true, Ordering::SeqCst);
    clients
        .into_iter()
        .for_each(|client| client.join().expect("it ends"));
    let most = fleet.workers[0].max_running();
    assert!(
        (2..=4).contains(&most),
        "{most} calls at a time of four seats"
    );
}

/// A voter receives from the others and reaches none, then the other way round; then it is delayed. Changes go on, and it comes
/// back to what was agreed.
#[test]
fn a_voter_behind_cut_links_catches_up() {
    let fleet = Cluster::start(ClusterOptions::default());
    let leader = fleet.leader();
    let others: Vec<usize> = (1..=5).filter(|n| *n != leader).collect();
    // What the leader says is lost; what is said to it arrives. It must not go on as if it led.
    for voter in (1..=3).filter(|v| *v != leader) {
        fleet.nodes[leader - 1].voter_links[voter - 1]
            .set_state(LinkState::Stalled, LinkState::Open);
    }
    for node in fleet.nodes.iter().filter(|node| node.number > 3) {
        node.voter_links[leader - 1].set_state(LinkState::Stalled, LinkState::Stalled);
    }
    agree(
        &fleet,
        &others[2..],
        "settings/rates",
        0,
        r#"{"rates":{"per_s":{"au":50.0}}}"#,
    );
    fleet.wait_for_records(leader, "the end of its reading", |text| {
        text.contains("reading for 0 ms")
    });
    for number in &others {
        fleet.wait_for_records(*number, "the rates", sees("settings/rates", 1));
    }
    for links in fleet.nodes.iter().map(|node| &node.voter_links) {
        for link in links {
            link.set_state(
                LinkState::Delayed(Duration::from_millis(10)),
                LinkState::Delayed(Duration::from_millis(10)),
            );
            link.reset_connections();
        }
    }
    fleet.wait_for_records(leader, "the rates", sees("settings/rates", 1));
}

/// All voters are killed, and started again: what was agreed is there. One of them has lost its store, and does not vote
/// under its old number.
#[test]
fn a_voter_that_lost_its_store_does_not_vote() {
    let mut fleet = Cluster::start(ClusterOptions::default());
    agree(&fleet, &[4], "seats/codec", 0, POOL);
    fleet.wait_for_records(5, "the pool", sees("seats/codec", 1));
    for number in 1..=3 {
        fleet.kill(number);
    }
    fleet.wait_for_records(5, "the fallback", |text| {
        text.contains("seats/codec 1 as last known")
    });
    // Without a majority the fleet still serves what needs no seat.
    assert_eq!(job(&fleet.nodes[4].client_address, "b1", ""), Some(200));
    std::fs::remove_dir_all(fleet.store(2)).expect("it was there");
    for number in 1..=3 {
        fleet.spawn(number);
    }
    fleet.wait_for_log_line(2, "with another store");
    fleet.wait_for_records(2, "that it does not vote", |text| {
        text.contains("does not vote: the others know this number")
    });
    fleet.wait_for_records(5, "the pool", sees("seats/codec", 1));
    agree(&fleet, &[5], "seats/codec", 1, POOL);
    // It reads as any other node does.
    fleet.wait_for_records(2, "the pool", sees("seats/codec", 2));
}

/// Another process of a voter is started while the first still has the store: it waits, and votes once the first is gone.
#[test]
fn a_voter_that_is_replaced_goes_on_with_its_store() {
    let mut fleet = Cluster::start(ClusterOptions::default());
    agree(&fleet, &[4], "seats/codec", 0, POOL);
    let old = fleet.pid(2).expect("it runs");
    let ender = fleet.kill_once_logged(2, "tried again until it can be had", old);
    // Comes back once the second takes connections as a voter.
    fleet.spawn(2);
    assert!(ender.join().expect("it ends"), "the first was not ended");
    fleet.wait_for_records(2, "its vote", |text| {
        text.contains(" follows ") || text.contains(" leads")
    });
    // With one of the others gone, its vote is needed, by the one that it had asked for readings before it could vote.
    fleet.kill(1);
    agree(&fleet, &[4, 5], "seats/codec", 1, POOL);
    fleet.wait_for_records(2, "the pool", sees("seats/codec", 2));
}

/// A torn file: the voter stays out and says what to do, the node serves, and the others go on.
#[test]
fn a_voter_with_a_torn_file_stays_out() {
    let mut fleet = Cluster::start(ClusterOptions::default());
    agree(&fleet, &[4], "seats/codec", 0, POOL);
    fleet.kill(3);
    let file = fleet.store(3).join("agreement.redb");
    let bytes = std::fs::read(&file).expect("it was there");
    std::fs::write(&file, &bytes[..bytes.len() / 2]).expect("written");
    fleet.spawn(3);
    fleet.wait_for_log_line(3, "this node does not vote: set the folder aside");
    assert_eq!(job(&fleet.nodes[2].client_address, "c1", ""), Some(200));
    fleet.wait_for_records(3, "the pool", sees("seats/codec", 1));
    agree(&fleet, &[3], "seats/codec", 1, POOL);
}

/// The disks of the leader and then of a follower are full: nothing is promised there, the others go on, and there is room
/// again without an operator's call.
#[test]
fn a_full_disk_takes_a_voter_out_until_there_is_room() {
    let fleet = Cluster::start(ClusterOptions::default());
    agree(
        &fleet,
        &[4],
        "settings/rates",
        0,
        r#"{"rates":{"per_s":{"au":50.0}}}"#,
    );
    // The file's own size is its limit.
    let leader = fleet.leader();
    fleet.limit_files(leader, Some(1024));
    let mut version = 1;
    let body = |n: u64| format!(r#"{{"rates":{{"per_s":{{"au":{}.5}}}}}}"#, n % 50);
    let others: Vec<usize> = (4..=5).collect();
    let deadline = Instant::now() + Duration::from_secs(60);
    while !fleet.logged(leader, "nothing is promised until it can be written") {
        agree(&fleet, &others, "settings/rates", version, &body(version));
        version += 1;
        assert!(Instant::now() < deadline, "its disk never filled");
    }
    for _ in 0..3 {
        agree(&fleet, &others, "settings/rates", version, &body(version));
        version += 1;
    }
    assert_ne!(fleet.leader(), leader);
    // It serves all the same.
    assert_eq!(
        job(&fleet.nodes[leader - 1].client_address, "d1", ""),
        Some(200)
    );
    fleet.limit_files(leader, None);
    fleet.wait_for_log_line(leader, "the disk takes writes again");
    fleet.wait_for_records(leader, "the rates", sees("settings/rates", version));
}
