//! Measures a node with a Eureka registry: from a status that changes there to the last job that is sent to its worker,
//! and how long the node's loop stands still while it takes whole lists and deltas of many instances. Prints Markdown.

use hdrhistogram::Histogram;
use marbledeck_test_support::{EnvironmentOptions, EurekaStub, JobBehaviour, TestEnvironment};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn lab(registry: &EurekaStub, poll_s: usize) -> TestEnvironment {
    let site = format!(
        "[eureka]\nurls = [\"{}\"]\npoll_s = {poll_s}\ntimeout_s = 20\nfull_s = 1\nid_key = \"worker\"\n",
        registry.url()
    );
    TestEnvironment::start(EnvironmentOptions {
        listed_workers: Some(0),
        memory_mb: 512,
        operator_keys: site,
        ..EnvironmentOptions::default()
    })
}

/// Sends a node a small request, over and over, until it is stopped; gives how long the answers took.
fn pulse(at: String, stop: Arc<AtomicBool>) -> std::thread::JoinHandle<Histogram<u64>> {
    std::thread::spawn(move || {
        let mut stream = TcpStream::connect(at).expect("the node listens");
        stream.set_nodelay(true).expect("a socket");
        let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
        let (mut times, mut line) = (Histogram::new(3).expect("three digits"), String::new());
        while !stop.load(Ordering::SeqCst) {
            let from = Instant::now();
            stream
                .write_all(b"{\"op\":\"listSessions\"}\n")
                .expect("the node reads");
            line.clear();
            reader.read_line(&mut line).expect("the node answers");
            times
                .record(from.elapsed().as_micros() as u64)
                .expect("in range");
            std::thread::sleep(Duration::from_micros(200));
        }
        times
    })
}

/// So many instances: how long the loop stands still while a list and then deltas of them are taken.
fn stalls(count: usize) {
    let registry = EurekaStub::start();
    let nowhere: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    for n in 0..count {
        // Starting: known, and not sent to.
        let id = format!("i{n:05}");
        registry.register(
            "RENDER",
            &id,
            SocketAddr::new(nowhere.ip(), 10_000 + n as u16),
        );
        registry.override_status("RENDER", &id, "STARTING");
    }
    let lab = lab(&registry, 1);
    let measure = |what: &str, until: &dyn Fn()| {
        let stop = Arc::new(AtomicBool::new(false));
        let pulse = pulse(lab.submission_address.clone(), stop.clone());
        let from = Instant::now();
        until();
        let took = from.elapsed();
        stop.store(true, Ordering::SeqCst);
        let times = pulse.join().expect("no panic");
        println!(
            "| {count} | {what} | {:.2} | {:.2} | {:.1} | {} | {} |",
            times.value_at_quantile(0.5) as f64 / 1e3,
            times.value_at_quantile(0.99) as f64 / 1e3,
            times.max() as f64 / 1e3,
            took.as_millis(),
            lab.resident_kib().unwrap_or_default() / 1024,
        );
    };
    let last = format!("i{:05}", count - 1);
    // The list is being read already.
    measure("whole list", &|| {
        wait_for_requests(&registry, "/eureka/apps/delta", 1);
    });
    registry.override_status("RENDER", &last, "DOWN");
    measure("deltas", &|| {
        wait_for_requests(&registry, "/eureka/apps/delta", 6);
    });
}

fn wait_for_requests(registry: &EurekaStub, path: &str, times: usize) {
    let end = Instant::now() + Duration::from_secs(60);
    while registry.request_count(path) < times {
        assert!(Instant::now() < end, "the registry is not polled");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Threads that submit jobs while statuses change.
const LOAD_THREADS: usize = 4;
const SUBMISSION: &[u8] = b"{\"op\":\"runJob\",\"template\":{\"remoteCommand\":\"/x\",\"jobCategory\":\"preview\",\"accountingId\":\"au\"}}\n";

/// Submits a job every two milliseconds until it is stopped; the thread gives their number.
fn submit_steadily(address: String, stop: Arc<AtomicBool>) -> std::thread::JoinHandle<u64> {
    std::thread::spawn(move || {
        let mut stream = TcpStream::connect(address).expect("the node listens");
        let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
        let mut line = String::new();
        let mut sent = 0;
        while !stop.load(Ordering::SeqCst) {
            stream.write_all(SUBMISSION).expect("the node reads");
            line.clear();
            reader.read_line(&mut line).expect("the node answers");
            sent += 1;
            std::thread::sleep(Duration::from_millis(2));
        }
        sent
    })
}

/// From a status that changes in the registry to the last job that its worker is sent, under load.
fn flips(count: usize) {
    let registry = EurekaStub::start();
    let lab = lab(&registry, 1);
    for worker in &lab.workers {
        worker.set_behaviour(|_| JobBehaviour::Serve(Duration::ZERO, "made".to_owned()));
        registry.register("RENDER", &worker.id, worker.address);
    }
    lab.wait_for_member("w3", |line| line.is_some_and(|line| line.contains(" in ")));
    let stop = Arc::new(AtomicBool::new(false));
    let load: Vec<_> = (0..LOAD_THREADS)
        .map(|_| submit_steadily(lab.submission_address.clone(), stop.clone()))
        .collect();
    let mut times = Histogram::<u64>::new(3).expect("three digits");
    let (mut late, worker) = (0, &lab.workers[2]);
    for _ in 0..count {
        let changed_at = Instant::now();
        registry.override_status("RENDER", "w3", "OUT_OF_SERVICE");
        lab.wait_for_member("w3", |line| line.is_some_and(|line| line.contains(" out ")));
        let known = Instant::now();
        // Long enough that a job sent too late would be seen.
        std::thread::sleep(Duration::from_millis(600));
        let last = worker
            .started_jobs()
            .iter()
            .map(|job| job.received_at)
            .filter(|at| *at > changed_at)
            .max();
        if let Some(last) = last {
            times
                .record(last.duration_since(changed_at).as_millis() as u64)
                .expect("in range");
            // What was on its way when the node came to know may still arrive.
            late += u64::from(last > known + Duration::from_millis(400));
        }
        registry.override_status("RENDER", "w3", "UP");
        lab.wait_for_member("w3", |line| line.is_some_and(|line| line.contains(" in ")));
    }
    stop.store(true, Ordering::SeqCst);
    let sent: u64 = load
        .into_iter()
        .map(|thread| thread.join().expect("no panic"))
        .sum();
    println!(
        "\n{count} flips to `OUT_OF_SERVICE` and back, polled every 0.5 to 1 s, {sent} jobs meanwhile: from the registry's change \
         to the last job sent p50 {} ms, p99 {} ms, max {} ms; jobs sent later than 400 ms after the node knew: {late}.",
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.max()
    );
}

fn main() {
    let flip_count = std::env::args()
        .nth(1)
        .and_then(|word| word.parse().ok())
        .unwrap_or(1000);
    println!("| instances | taken | answer p50 ms | p99 ms | max ms | took ms | memory MiB |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for count in [100, 1000, 10_000] {
        stalls(count);
    }
    flips(flip_count);
}
