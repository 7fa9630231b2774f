//! Measures a cluster of seven nodes on loopback: how fast a changed record reaches all nodes, the response times of
//! jobs with and without a licence, and how soon the seat of a dead node is free again. `docs/benchmarks.md` shows
//! results.

use hdrhistogram::Histogram;
use marbledeck_test_support::{Cluster, ClusterOptions, JobBehaviour};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Duration of a lease.
const LEASE_MS: u64 = 1500;
/// The longest run time of a job with a licence (`longest_run_ms`).
const LONGEST_RUN_MS: u64 = 1000;

/// Options of a cluster with seven nodes, five of which vote.
fn cluster_options(has_seats: bool) -> ClusterOptions {
    let operator_keys = if has_seats {
        "[seats]\nlicences = [\"codec\"]\nidle_ms = 600000\n"
    } else {
        ""
    };
    ClusterOptions {
        nodes: 7,
        voters: 5,
        workers: 1,
        lease_ms: LEASE_MS,
        operator_keys: operator_keys.to_owned(),
        ..ClusterOptions::default()
    }
}

/// Sends a job, waits for its answer and returns whether it was served.
fn run_job(stream: &mut TcpStream, txn: &str, labels: &str) -> std::io::Result<bool> {
    let request = format!(
        "POST /{txn} HTTP/1.1\r\nHost: n\r\nX-Txn: {txn}\r\nX-Lane: preview\r\nX-Org: au\r\nX-Remaining-Ms: 7000\r\n\
         X-Labels: {labels}\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes())?;
    let (mut answer, mut bytes) = (Vec::new(), [0; 1024]);
    loop {
        let read = stream.read(&mut bytes)?;
        answer.extend_from_slice(&bytes[..read]);
        let text = String::from_utf8_lossy(&answer);
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("Content-Length: "));
            if read == 0
                || length
                    .and_then(|l| l.trim().parse().ok())
                    .is_none_or(|l: usize| body.len() >= l)
            {
                return Ok(head.contains(" 200 "));
            }
        } else if read == 0 {
            return Ok(false);
        }
    }
}

/// Runs 4,000 jobs one after the other on one connection. Returns their response times in microseconds, without the
/// first 500 jobs, which warm up the node.
fn measure_jobs(
    cluster: &Cluster,
    number: usize,
    labels: &str,
    txn_prefix: &str,
) -> std::io::Result<Histogram<u64>> {
    let mut times = Histogram::new(3).expect("3 significant digits are valid");
    let mut stream = TcpStream::connect(&cluster.nodes[number - 1].client_address)?;
    stream.set_nodelay(true)?;
    for n in 0..4000 {
        let sent_at = Instant::now();
        let is_served = run_job(&mut stream, &format!("{txn_prefix}-{n}"), labels)?;
        if n >= 500 && is_served {
            times.saturating_record(sent_at.elapsed().as_micros() as u64);
        }
    }
    Ok(times)
}

/// Prints the response times of jobs.
fn print_times(what: &str, times: &Histogram<u64>) {
    let (p50, p99, max) = (
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.max(),
    );
    println!(
        "{what}: {} jobs, p50 {p50} us, p99 {p99} us, most {max} us",
        times.len()
    );
}

/// Changes a record through a node, with retries until the change is accepted. `version` is the record's version before
/// the change.
fn change_record(cluster: &Cluster, number: usize, record: &str, version: u64, body: &str) {
    for _ in 0..200 {
        let line =
            format!(r#"change {{"expect":{{"{record}":{version}}},"put":{{"{record}":{body}}}}}"#);
        let answer = cluster.call_admin(number, &line).unwrap_or_default();
        if answer.starts_with("ACK") || answer.contains(&format!("has version {}", version + 1)) {
            return;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("the change of record {record} at version {version} was not accepted in 200 attempts");
}

#[expect(
    clippy::too_many_lines,
    reason = "a sequence of measurements, each printed when it ends"
)]
fn main() -> std::io::Result<()> {
    let complete_at_once = |_: &marbledeck_test_support::ReceivedJob| {
        JobBehaviour::Serve(Duration::ZERO, "done".to_owned())
    };

    // Time from a change of a record until it is in force on all seven nodes.
    let cluster = Cluster::start(cluster_options(true));
    cluster.workers[0].set_behaviour(complete_at_once);
    let mut change_times = Histogram::<u64>::new(3).expect("3 significant digits are valid");
    for version in 0..40 {
        let body = format!(r#"{{"rates":{{"per_s":{{"au":{}}}}}}}"#, 10_000 + version);
        let changed_at = Instant::now();
        change_record(&cluster, 7, "settings/rates", version, &body);
        for number in 1..=7 {
            let line = format!("settings/rates {} in force", version + 1);
            cluster.wait_for_records(number, "the changed rates", |text| text.contains(&line));
        }
        change_times.saturating_record(changed_at.elapsed().as_millis() as u64);
    }
    println!(
        "from a change to the last of seven processes: median {} ms, most {} ms of 40 (asked every {} ms, lease {LEASE_MS} ms)",
        change_times.value_at_quantile(0.5),
        change_times.max(),
        LEASE_MS / 6
    );

    // Response times of jobs without a licence, with a licence, and on a voter with a full disk.
    change_record(
        &cluster,
        7,
        "seats/codec",
        0,
        &format!(r#"{{"pool":{{"seats":8,"longest_run_ms":{LONGEST_RUN_MS}}}}}"#),
    );
    cluster.wait_for_records(1, "the pool of codec licences", |text| {
        text.contains("seats/codec 1 in force")
    });
    print_times(
        "a voter, jobs without a licence",
        &measure_jobs(&cluster, 1, "", "plain")?,
    );
    // The node gets its share of the pool after a few jobs have asked for a licence.
    let deadline = Instant::now() + Duration::from_secs(10);
    let is_served = |n: usize| {
        let stream = TcpStream::connect(&cluster.nodes[0].client_address);
        let served =
            stream.and_then(|mut s| run_job(&mut s, &format!("first-{n}"), "licence=codec"));
        served.unwrap_or(false)
    };
    for n in 0.. {
        if is_served(n) || Instant::now() > deadline {
            break;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    print_times(
        "a voter, jobs with a licence",
        &measure_jobs(&cluster, 1, "licence=codec", "seat")?,
    );
    cluster.limit_files(1, Some(1024));
    let deadline = Instant::now() + Duration::from_secs(20);
    for version in 40.. {
        change_record(
            &cluster,
            7,
            "settings/rates",
            version,
            r#"{"rates":{"per_s":{"au":9999.0}}}"#,
        );
        if cluster.logged(1, "nothing is promised until it can be written")
            || Instant::now() > deadline
        {
            break;
        }
    }
    print_times(
        "the same voter, its disk full, without a licence",
        &measure_jobs(&cluster, 1, "", "full")?,
    );
    drop(cluster);

    // Time from the end of a node that holds a seat until another node has used the seat.
    for _ in 0..3 {
        let mut cluster = Cluster::start(cluster_options(true));
        cluster.workers[0].set_behaviour(|_| {
            JobBehaviour::Serve(
                Duration::from_millis(LONGEST_RUN_MS - 100),
                "done".to_owned(),
            )
        });
        change_record(
            &cluster,
            7,
            "seats/codec",
            0,
            &format!(r#"{{"pool":{{"seats":1,"longest_run_ms":{LONGEST_RUN_MS}}}}}"#),
        );
        let wait_until_served = |cluster: &Cluster, number: usize, txn_prefix: &str| {
            for n in 0.. {
                let stream = TcpStream::connect(&cluster.nodes[number - 1].client_address);
                if stream
                    .and_then(|mut s| {
                        run_job(&mut s, &format!("{txn_prefix}-{n}"), "licence=codec")
                    })
                    .unwrap_or(false)
                {
                    return;
                }
                std::thread::sleep(Duration::from_millis(10));
            }
        };
        wait_until_served(&cluster, 6, "a");
        cluster.kill(6);
        let killed_at = Instant::now();
        wait_until_served(&cluster, 7, "b");
        let took = killed_at.elapsed().as_millis() as u64;
        println!("a dead node's seat: used by another, its run included, after {took} ms (run {LONGEST_RUN_MS} ms, lease {LEASE_MS} ms)");
    }

    // Response times of a node without agreement and seats.
    let environment = marbledeck_test_support::TestEnvironment::start(
        marbledeck_test_support::EnvironmentOptions {
            workers: 1,
            ..Default::default()
        },
    );
    environment.workers[0].set_behaviour(complete_at_once);
    let mut stream = TcpStream::connect(&environment.client_address)?;
    stream.set_nodelay(true)?;
    let mut times = Histogram::<u64>::new(3).expect("3 significant digits are valid");
    for n in 0..4000 {
        let sent_at = Instant::now();
        if run_job(&mut stream, &format!("off-{n}"), "")? && n >= 500 {
            times.saturating_record(sent_at.elapsed().as_micros() as u64);
        }
    }
    print_times("a node with the parts off", &times);
    Ok(())
}
