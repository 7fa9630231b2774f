//! Measures the agreement and the seats over seven processes on loopback; `docs/benchmarks.md` has the figures.

use hdrhistogram::Histogram;
use marbledeck_test_support::{Cluster, ClusterOptions, JobBehaviour};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

const LEASE_MS: u64 = 1500;
const RUN_MS: u64 = 1000;

fn options(seats: bool) -> ClusterOptions {
    let site = if seats {
        "[seats]\nlicences = [\"codec\"]\nidle_ms = 600000\n"
    } else {
        ""
    };
    ClusterOptions {
        nodes: 7,
        voters: 5,
        workers: 1,
        lease_ms: LEASE_MS,
        operator_keys: site.to_owned(),
        ..ClusterOptions::default()
    }
}

/// A job; whether it was served.
fn job(stream: &mut TcpStream, txn: &str, labels: &str) -> std::io::Result<bool> {
    let request = format!(
        "POST /{txn} HTTP/1.1\r\nHost: n\r\nX-Txn: {txn}\r\nX-Lane: preview\r\nX-Org: au\r\nX-Remaining-Ms: 7000\r\n\
         X-Labels: {labels}\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes())?;
    let (mut got, mut bytes) = (Vec::new(), [0; 1024]);
    loop {
        let n = stream.read(&mut bytes)?;
        got.extend_from_slice(&bytes[..n]);
        let text = String::from_utf8_lossy(&got);
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("Content-Length: "));
            if n == 0
                || length
                    .and_then(|l| l.trim().parse().ok())
                    .is_none_or(|l: usize| body.len() >= l)
            {
                return Ok(head.contains(" 200 "));
            }
        } else if n == 0 {
            return Ok(false);
        }
    }
}

/// Jobs one after the other on one connection; how long each took, in microseconds.
fn path(
    fleet: &Cluster,
    number: usize,
    labels: &str,
    tag: &str,
) -> std::io::Result<Histogram<u64>> {
    let mut times = Histogram::new(3).expect("three figures");
    let mut stream = TcpStream::connect(&fleet.nodes[number - 1].client_address)?;
    stream.set_nodelay(true)?;
    for n in 0..4000 {
        let at = Instant::now();
        let served = job(&mut stream, &format!("{tag}-{n}"), labels)?;
        if n >= 500 && served {
            times.saturating_record(at.elapsed().as_micros() as u64);
        }
    }
    Ok(times)
}

fn show(what: &str, times: &Histogram<u64>) {
    let (p50, p99, most) = (
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.max(),
    );
    println!(
        "{what}: {} jobs, p50 {p50} us, p99 {p99} us, most {most} us",
        times.len()
    );
}

fn change(fleet: &Cluster, number: usize, record: &str, version: u64, body: &str) {
    for _ in 0..200 {
        let line =
            format!(r#"change {{"expect":{{"{record}":{version}}},"put":{{"{record}":{body}}}}}"#);
        let answer = fleet.call_admin(number, &line).unwrap_or_default();
        if answer.starts_with("ACK") || answer.contains(&format!("has version {}", version + 1)) {
            return;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("{record} was never changed");
}

#[expect(
    clippy::too_many_lines,
    reason = "a sequence of measurements, each printed as it is taken"
)]
fn main() -> std::io::Result<()> {
    let instant = |_: &marbledeck_test_support::ReceivedJob| {
        JobBehaviour::Serve(Duration::ZERO, "done".to_owned())
    };

    // From a change to the last of seven processes.
    let fleet = Cluster::start(options(true));
    fleet.workers[0].set_behaviour(instant);
    let mut spread = Histogram::<u64>::new(3).expect("three figures");
    for version in 0..40 {
        let body = format!(r#"{{"rates":{{"per_s":{{"au":{}}}}}}}"#, 10_000 + version);
        let at = Instant::now();
        change(&fleet, 7, "settings/rates", version, &body);
        for number in 1..=7 {
            let line = format!("settings/rates {} in force", version + 1);
            fleet.wait_for_records(number, "the rates", |text| text.contains(&line));
        }
        spread.saturating_record(at.elapsed().as_millis() as u64);
    }
    println!(
        "from a change to the last of seven processes: median {} ms, most {} ms of 40 (asked every {} ms, lease {LEASE_MS} ms)",
        spread.value_at_quantile(0.5),
        spread.max(),
        LEASE_MS / 6
    );

    // The data path: without a licence, with one, and with a voter's disk full.
    change(
        &fleet,
        7,
        "seats/codec",
        0,
        &format!(r#"{{"pool":{{"seats":8,"longest_run_ms":{RUN_MS}}}}}"#),
    );
    fleet.wait_for_records(1, "the pool", |text| {
        text.contains("seats/codec 1 in force")
    });
    show(
        "a voter, jobs without a licence",
        &path(&fleet, 1, "", "plain")?,
    );
    // Its part is there once a few jobs have asked for it.
    let until = Instant::now() + Duration::from_secs(10);
    let served = |n: usize| {
        let stream = TcpStream::connect(&fleet.nodes[0].client_address);
        let job = stream.and_then(|mut s| job(&mut s, &format!("first-{n}"), "licence=codec"));
        job.unwrap_or(false)
    };
    for n in 0.. {
        if served(n) || Instant::now() > until {
            break;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    show(
        "a voter, jobs with a licence",
        &path(&fleet, 1, "licence=codec", "seat")?,
    );
    fleet.limit_files(1, Some(1024));
    let until = Instant::now() + Duration::from_secs(20);
    for version in 40.. {
        change(
            &fleet,
            7,
            "settings/rates",
            version,
            r#"{"rates":{"per_s":{"au":9999.0}}}"#,
        );
        if fleet.logged(1, "nothing is promised until it can be written") || Instant::now() > until
        {
            break;
        }
    }
    show(
        "the same voter, its disk full, without a licence",
        &path(&fleet, 1, "", "full")?,
    );
    drop(fleet);

    // How soon a dead node's seats are back.
    for _ in 0..3 {
        let mut fleet = Cluster::start(options(true));
        fleet.workers[0].set_behaviour(|_| {
            JobBehaviour::Serve(Duration::from_millis(RUN_MS - 100), "done".to_owned())
        });
        change(
            &fleet,
            7,
            "seats/codec",
            0,
            &format!(r#"{{"pool":{{"seats":1,"longest_run_ms":{RUN_MS}}}}}"#),
        );
        let takes = |fleet: &Cluster, number: usize, tag: &str| {
            for n in 0.. {
                let stream = TcpStream::connect(&fleet.nodes[number - 1].client_address);
                if stream
                    .and_then(|mut s| job(&mut s, &format!("{tag}-{n}"), "licence=codec"))
                    .unwrap_or(false)
                {
                    return;
                }
                std::thread::sleep(Duration::from_millis(10));
            }
        };
        takes(&fleet, 6, "a");
        fleet.kill(6);
        let at = Instant::now();
        takes(&fleet, 7, "b");
        let took = at.elapsed().as_millis() as u64;
        println!("a dead node's seat: used by another, its run included, after {took} ms (run {RUN_MS} ms, lease {LEASE_MS} ms)");
    }

    // The same path with all of it off.
    let lab = marbledeck_test_support::TestEnvironment::start(
        marbledeck_test_support::EnvironmentOptions {
            workers: 1,
            ..Default::default()
        },
    );
    lab.workers[0].set_behaviour(instant);
    let mut stream = TcpStream::connect(&lab.client_address)?;
    stream.set_nodelay(true)?;
    let mut times = Histogram::<u64>::new(3).expect("three figures");
    for n in 0..4000 {
        let at = Instant::now();
        if job(&mut stream, &format!("off-{n}"), "")? && n >= 500 {
            times.saturating_record(at.elapsed().as_micros() as u64);
        }
    }
    show("a node with the parts off", &times);
    Ok(())
}
