//! Clusters of node processes that agree on records and share licence seats while processes are killed or paused, links
//! break and disks fill up. No result depends on the speed of the machine.

use marbledeck_test_support::{Cluster, ClusterOptions, JobBehaviour, LinkState};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Runs a job at a node's client address. Returns the status of the answer, or none if the connection was lost.
fn run_job(address: &str, txn: &str, labels: &str) -> Option<u16> {
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

fn change_call(record: &str, version: u64, body: &str) -> String {
    format!(r#"change {{"expect":{{"{record}":{version}}},"put":{{"{record}":{body}}}}}"#)
}

/// Applies a change through one of the nodes `via`, and retries a change whose answer was lost. The version in the
/// answer tells whether an earlier try was applied.
fn apply_change(fleet: &Cluster, via: &[usize], record: &str, version: u64, body: &str) {
    for attempt in 0..200 {
        let number = via[attempt % via.len()];
        let answer = fleet
            .call_admin(number, &change_call(record, version, body))
            .unwrap_or_default();
        if answer.starts_with("ACK") || answer.contains(&format!("has version {}", version + 1)) {
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("no node applied the change of {record} at version {version}");
}

/// Whether the answer of `records` shows this version of a record in force.
fn shows_version(record: &str, version: u64) -> impl Fn(&str) -> bool {
    let line = format!("{record} {version} in force");
    move |text: &str| text.lines().any(|l| l.starts_with(&line))
}

const POOL: &str = r#"{"pool":{"seats":4,"longest_run_ms":400}}"#;

/// Changes the rates through this node, one version after another. Returns the number of applied changes.
fn spawn_changer(admin_address: String, stop: Arc<AtomicBool>) -> JoinHandle<u64> {
    std::thread::spawn(move || {
        let mut done = 0;
        while !stop.load(Ordering::SeqCst) {
            let body = format!(r#"{{"rates":{{"per_s":{{"au":{}}}}}}}"#, 1000 + done);
            let line = change_call("settings/rates", done, &body) + "\n";
            let mut answer = String::new();
            if let Ok(mut stream) = TcpStream::connect(&admin_address) {
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

/// The leader is killed during a series of changes. Each change is applied whole at all live nodes, and at the killed
/// one after its restart. Nodes act on the records: a worker that is out of service gets no more jobs.
#[test]
fn committed_changes_survive_the_loss_of_the_leader() {
    let mut fleet = Cluster::start(ClusterOptions::default());
    apply_change(&fleet, &[4], "workers/out", 0, r#"{"out":["w1"]}"#);
    for number in 1..=5 {
        fleet.wait_for_records(number, "the list", shows_version("workers/out", 1));
    }
    let before = fleet.workers[0].started_jobs().len();
    for n in 0..10 {
        assert_eq!(
            run_job(&fleet.nodes[4].client_address, &format!("a{n}"), ""),
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
    let admin_address = fleet.nodes[4].admin_address.clone();
    let changer = spawn_changer(admin_address, stop.clone());
    fleet.wait_for_records(5, "the first changes", |text| {
        text.contains("settings/rates ")
    });
    fleet.kill(leader);
    apply_change(&fleet, &others, "seats/codec", 0, POOL);
    stop.store(true, Ordering::SeqCst);
    let done = changer.join().expect("it ends");
    assert!(done > 0);
    for number in &others {
        fleet.wait_for_records(*number, "the rates", shows_version("settings/rates", done));
        fleet.wait_for_records(*number, "the pool", shows_version("seats/codec", 1));
    }
    fleet.spawn(leader);
    fleet.wait_for_records(leader, "the rates", shows_version("settings/rates", done));
    fleet.wait_for_records(leader, "the list", shows_version("workers/out", 1));
    // A change that expects an older version is refused with the current one.
    let refused = fleet
        .call_admin(5, &change_call("workers/out", 0, "null"))
        .unwrap_or_default();
    assert!(
        refused.starts_with("NAK workers/out: it has version 1, the change expects 0"),
        "{refused}"
    );
}

/// Sends jobs that need a seat one after another, and counts those that are served.
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
            if run_job(&address, &format!("{name}-{number}"), "licence=codec") == Some(200) {
                served.fetch_add(1, Ordering::SeqCst);
            }
            std::thread::sleep(Duration::from_millis(3));
        }
    })
}

/// Waits until these nodes together have served `more` further jobs.
fn wait_until_served(served: &[Arc<AtomicUsize>], nodes: &[usize], more: usize) {
    let counts = || nodes.iter().map(|n| served[*n].load(Ordering::SeqCst));
    let before: usize = counts().sum();
    let deadline = Instant::now() + Duration::from_secs(60);
    while counts().sum::<usize>() < before + more {
        assert!(
            Instant::now() < deadline,
            "nodes {nodes:?} have not served {more} further jobs in 60 s"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Five nodes run jobs of one licence; one node is killed and one is paused for longer than its lease. The worker,
/// which counts its running jobs itself, never runs more of them than there are seats.
#[test]
fn concurrent_attempts_never_exceed_the_seats_when_nodes_are_lost() {
    let operator_keys = "[seats]\nlicences = [\"codec\"]\nidle_ms = 300\n".to_owned();
    let mut fleet = Cluster::start(ClusterOptions {
        operator_keys,
        lease_ms: 900,
        workers: 1,
        ..ClusterOptions::default()
    });
    // The worker counts a job as ended before it answers, and continues the jobs of a killed node.
    fleet.workers[0]
        .set_behaviour(|_| JobBehaviour::Serve(Duration::from_millis(80), "done".to_owned()));
    // No seats are recorded yet, so a job that needs one is refused at once. An unknown licence is an error.
    assert_eq!(
        run_job(&fleet.nodes[0].client_address, "x1", "licence=codec"),
        Some(503)
    );
    assert_eq!(
        run_job(&fleet.nodes[0].client_address, "x2", "licence=other"),
        Some(400)
    );
    apply_change(&fleet, &[2], "seats/codec", 0, POOL);

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
    // One observer is killed while it holds seats, and another one is paused for longer than its lease.
    fleet.kill(5);
    fleet.signal(4, "-STOP");
    wait_until_served(&served, &[0, 1, 2], 40);
    std::thread::sleep(Duration::from_millis(1500));
    fleet.signal(4, "-CONT");
    wait_until_served(&served, &[0, 1, 2, 3], 20);
    // The leader is killed: the other nodes keep using their seats, and a new leader reclaims those of the killed
    // nodes.
    let leader = fleet.leader();
    fleet.kill(leader);
    let live: Vec<usize> = (0..4).filter(|n| n + 1 != leader).collect();
    wait_until_served(&served, &live, 60);
    // The seats of the killed nodes are reclaimed, so the live nodes can use all four.
    stop.store(true, Ordering::SeqCst);
    clients
        .into_iter()
        .for_each(|client| client.join().expect("it ends"));
    let most = fleet.workers[0].max_running();
    assert!(
        (2..=4).contains(&most),
        "{most} concurrent attempts with four seats"
    );
}

/// The leader receives messages from the other voters but its own are lost; later all links are delayed. Changes
/// continue, and the cut-off voter catches up with the committed records.
#[test]
fn a_voter_behind_cut_links_catches_up() {
    let fleet = Cluster::start(ClusterOptions::default());
    let leader = fleet.leader();
    let others: Vec<usize> = (1..=5).filter(|n| *n != leader).collect();
    // Messages from the leader are lost, and those to it arrive. It must not continue to act as the leader.
    for voter in (1..=3).filter(|v| *v != leader) {
        fleet.nodes[leader - 1].voter_links[voter - 1]
            .set_state(LinkState::Stalled, LinkState::Open);
    }
    for node in fleet.nodes.iter().filter(|node| node.number > 3) {
        node.voter_links[leader - 1].set_state(LinkState::Stalled, LinkState::Stalled);
    }
    apply_change(
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
        fleet.wait_for_records(*number, "the rates", shows_version("settings/rates", 1));
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
    fleet.wait_for_records(leader, "the rates", shows_version("settings/rates", 1));
}

/// All voters are killed and restarted, and the committed records are still there. One voter has lost its store, so it
/// does not vote under its old number.
#[test]
fn a_voter_that_lost_its_store_does_not_vote() {
    let mut fleet = Cluster::start(ClusterOptions::default());
    apply_change(&fleet, &[4], "seats/codec", 0, POOL);
    fleet.wait_for_records(5, "the pool", shows_version("seats/codec", 1));
    for number in 1..=3 {
        fleet.kill(number);
    }
    fleet.wait_for_records(5, "the fallback", |text| {
        text.contains("seats/codec 1 as last known")
    });
    // Without a majority the fleet still serves jobs that need no seat.
    assert_eq!(run_job(&fleet.nodes[4].client_address, "b1", ""), Some(200));
    std::fs::remove_dir_all(fleet.store(2)).expect("it was there");
    for number in 1..=3 {
        fleet.spawn(number);
    }
    fleet.wait_for_log_line(2, "with another store");
    fleet.wait_for_records(2, "that it does not vote", |text| {
        text.contains("does not vote: the others know this number")
    });
    fleet.wait_for_records(5, "the pool", shows_version("seats/codec", 1));
    apply_change(&fleet, &[5], "seats/codec", 1, POOL);
    // It still reads records, as any other node does.
    fleet.wait_for_records(2, "the pool", shows_version("seats/codec", 2));
}

/// A second process of a voter starts while the first still has the store open. It waits and votes once the first is
/// gone.
#[test]
fn a_voter_process_that_replaces_another_takes_over_its_store() {
    let mut fleet = Cluster::start(ClusterOptions::default());
    apply_change(&fleet, &[4], "seats/codec", 0, POOL);
    let old = fleet.pid(2).expect("it runs");
    let killer = fleet.kill_once_logged(2, "tried again until it can be had", old);
    // Returns once the second process accepts connections as a voter.
    fleet.spawn(2);
    assert!(
        killer.join().expect("the thread ends"),
        "the first process was not killed"
    );
    fleet.wait_for_records(2, "its vote", |text| {
        text.contains(" follows ") || text.contains(" leads")
    });
    // With another voter killed, its vote is needed, also by the voter to which it had sent reads before it could vote.
    fleet.kill(1);
    apply_change(&fleet, &[4, 5], "seats/codec", 1, POOL);
    fleet.wait_for_records(2, "the pool", shows_version("seats/codec", 2));
}

/// A voter whose store file is truncated does not vote and logs what to do. Its node serves, and the other voters go
/// on.
#[test]
fn a_voter_with_a_truncated_store_does_not_vote() {
    let mut fleet = Cluster::start(ClusterOptions::default());
    apply_change(&fleet, &[4], "seats/codec", 0, POOL);
    fleet.kill(3);
    let file = fleet.store(3).join("agreement.redb");
    let bytes = std::fs::read(&file).expect("it was there");
    std::fs::write(&file, &bytes[..bytes.len() / 2]).expect("written");
    fleet.spawn(3);
    fleet.wait_for_log_line(3, "this node does not vote: set the folder aside");
    assert_eq!(run_job(&fleet.nodes[2].client_address, "c1", ""), Some(200));
    fleet.wait_for_records(3, "the pool", shows_version("seats/codec", 1));
    apply_change(&fleet, &[3], "seats/codec", 1, POOL);
}

/// The leader's disk fills up, so it pauses as a voter and another one leads. It resumes by itself once its disk has
/// room.
#[test]
fn a_voter_pauses_while_its_disk_is_full() {
    let fleet = Cluster::start(ClusterOptions::default());
    apply_change(
        &fleet,
        &[4],
        "settings/rates",
        0,
        r#"{"rates":{"per_s":{"au":50.0}}}"#,
    );
    // The limit is below the size of the store file, so writes to the file fail.
    let leader = fleet.leader();
    fleet.limit_files(leader, Some(1024));
    let mut version = 1;
    let body = |n: u64| format!(r#"{{"rates":{{"per_s":{{"au":{}.5}}}}}}"#, n % 50);
    let others: Vec<usize> = (4..=5).collect();
    let deadline = Instant::now() + Duration::from_secs(60);
    while !fleet.logged(leader, "nothing is promised until it can be written") {
        apply_change(&fleet, &others, "settings/rates", version, &body(version));
        version += 1;
        assert!(
            Instant::now() < deadline,
            "the leader did not report a full disk"
        );
    }
    for _ in 0..3 {
        apply_change(&fleet, &others, "settings/rates", version, &body(version));
        version += 1;
    }
    assert_ne!(fleet.leader(), leader);
    // Its node still serves jobs.
    assert_eq!(
        run_job(&fleet.nodes[leader - 1].client_address, "d1", ""),
        Some(200)
    );
    fleet.limit_files(leader, None);
    fleet.wait_for_log_line(leader, "the disk takes writes again");
    fleet.wait_for_records(
        leader,
        "the rates",
        shows_version("settings/rates", version),
    );
}
