//! Measures a node with a Eureka registry: the time from a status change in the registry to the last job that is sent
//! to the worker, and how long the node's event loop is blocked while it processes full lists and deltas of many
//! instances. Prints Markdown.

use hdrhistogram::Histogram;
use marbledeck_test_support::{EnvironmentOptions, EurekaStub, JobBehaviour, TestEnvironment};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Starts a node that gets its workers from the registry; discovery lists none.
fn start_environment(registry: &EurekaStub, poll_s: usize) -> TestEnvironment {
    let operator_keys = format!(
        "[eureka]\nurls = [\"{}\"]\npoll_s = {poll_s}\ntimeout_s = 20\nfull_s = 1\nid_key = \"worker\"\n",
        registry.url()
    );
    TestEnvironment::start(EnvironmentOptions {
        listed_workers: Some(0),
        memory_mb: 512,
        operator_keys,
        ..EnvironmentOptions::default()
    })
}

/// Starts a thread that sends a small request every 200 µs until `stop` is set, and returns the response times in
/// microseconds. A blocked event loop shows up as a long response time.
fn sample_latency(
    address: String,
    stop: Arc<AtomicBool>,
) -> std::thread::JoinHandle<Histogram<u64>> {
    std::thread::spawn(move || {
        let mut stream = TcpStream::connect(address).expect("the node listens");
        stream.set_nodelay(true).expect("set TCP_NODELAY");
        let mut reader = BufReader::new(stream.try_clone().expect("clone the socket"));
        let (mut times, mut line) = (
            Histogram::new(3).expect("3 significant digits are valid"),
            String::new(),
        );
        while !stop.load(Ordering::SeqCst) {
            let sent_at = Instant::now();
            stream
                .write_all(b"{\"op\":\"listSessions\"}\n")
                .expect("the node reads");
            line.clear();
            reader.read_line(&mut line).expect("the node answers");
            times
                .record(sent_at.elapsed().as_micros() as u64)
                .expect("the histogram resizes itself");
            std::thread::sleep(Duration::from_micros(200));
        }
        times
    })
}

/// Measures how long the event loop is blocked while it processes a full list, and then deltas, of `count` instances.
fn measure_blocking(count: usize) {
    let registry = EurekaStub::start();
    let unused_address: SocketAddr = "127.0.0.1:9".parse().expect("a valid address");
    for n in 0..count {
        // The status STARTING makes the instance a member that gets no jobs.
        let id = format!("i{n:05}");
        registry.register(
            "RENDER",
            &id,
            SocketAddr::new(unused_address.ip(), 10_000 + n as u16),
        );
        registry.override_status("RENDER", &id, "STARTING");
    }
    let environment = start_environment(&registry, 1);
    let measure = |what: &str, wait: &dyn Fn()| {
        let stop = Arc::new(AtomicBool::new(false));
        let sampler = sample_latency(environment.submission_address.clone(), stop.clone());
        let started_at = Instant::now();
        wait();
        let took = started_at.elapsed();
        stop.store(true, Ordering::SeqCst);
        let times = sampler.join().expect("the thread did not panic");
        println!(
            "| {count} | {what} | {:.2} | {:.2} | {:.1} | {} | {} |",
            times.value_at_quantile(0.5) as f64 / 1e3,
            times.value_at_quantile(0.99) as f64 / 1e3,
            times.max() as f64 / 1e3,
            took.as_millis(),
            environment.resident_kib().unwrap_or_default() / 1024,
        );
    };
    let last_id = format!("i{:05}", count - 1);
    // The node reads the full list before it polls for the first delta.
    measure("whole list", &|| {
        wait_for_requests(&registry, "/eureka/apps/delta", 1);
    });
    registry.override_status("RENDER", &last_id, "DOWN");
    measure("deltas", &|| {
        wait_for_requests(&registry, "/eureka/apps/delta", 6);
    });
}

/// Waits until the registry has received `count` requests of a path.
fn wait_for_requests(registry: &EurekaStub, path: &str, count: usize) {
    let deadline = Instant::now() + Duration::from_secs(60);
    while registry.request_count(path) < count {
        assert!(
            Instant::now() < deadline,
            "the registry did not receive {count} requests of {path} in 60 s"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Number of threads that submit jobs while statuses change.
const LOAD_THREADS: usize = 4;
/// The line that submits a job.
const SUBMISSION: &[u8] = b"{\"op\":\"runJob\",\"template\":{\"remoteCommand\":\"/x\",\"jobCategory\":\"preview\",\"accountingId\":\"au\"}}\n";

/// Starts a thread that submits a job every 2 ms until `stop` is set, and returns the number of jobs.
fn submit_until_stopped(address: String, stop: Arc<AtomicBool>) -> std::thread::JoinHandle<u64> {
    std::thread::spawn(move || {
        let mut stream = TcpStream::connect(address).expect("the node listens");
        let mut reader = BufReader::new(stream.try_clone().expect("clone the socket"));
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

/// Measures the time from a status change in the registry to the last job that is sent to the worker, under load.
fn measure_status_changes(count: usize) {
    let registry = EurekaStub::start();
    let environment = start_environment(&registry, 1);
    for worker in &environment.workers {
        worker.set_behaviour(|_| JobBehaviour::Serve(Duration::ZERO, "made".to_owned()));
        registry.register("RENDER", &worker.id, worker.address);
    }
    environment.wait_for_member("w3", |line| line.is_some_and(|line| line.contains(" in ")));
    let stop = Arc::new(AtomicBool::new(false));
    let load_threads: Vec<_> = (0..LOAD_THREADS)
        .map(|_| submit_until_stopped(environment.submission_address.clone(), stop.clone()))
        .collect();
    let mut times = Histogram::<u64>::new(3).expect("3 significant digits are valid");
    let (mut late_jobs, worker) = (0, &environment.workers[2]);
    for _ in 0..count {
        let changed_at = Instant::now();
        registry.override_status("RENDER", "w3", "OUT_OF_SERVICE");
        environment.wait_for_member("w3", |line| line.is_some_and(|line| line.contains(" out ")));
        let known_at = Instant::now();
        // Wait long enough to see a job that is sent too late.
        std::thread::sleep(Duration::from_millis(600));
        let last_job_at = worker
            .started_jobs()
            .iter()
            .map(|job| job.received_at)
            .filter(|at| *at > changed_at)
            .max();
        if let Some(last_job_at) = last_job_at {
            times
                .record(last_job_at.duration_since(changed_at).as_millis() as u64)
                .expect("the histogram resizes itself");
            // Jobs that were in flight when the node learned of the change may still arrive.
            late_jobs += u64::from(last_job_at > known_at + Duration::from_millis(400));
        }
        registry.override_status("RENDER", "w3", "UP");
        environment.wait_for_member("w3", |line| line.is_some_and(|line| line.contains(" in ")));
    }
    stop.store(true, Ordering::SeqCst);
    let sent: u64 = load_threads
        .into_iter()
        .map(|thread| thread.join().expect("the thread did not panic"))
        .sum();
    println!(
        "\n{count} flips to `OUT_OF_SERVICE` and back, polled every 0.5 to 1 s, {sent} jobs meanwhile: from the registry's change \
         to the last job sent p50 {} ms, p99 {} ms, max {} ms; jobs sent later than 400 ms after the node knew: {late_jobs}.",
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.max()
    );
}

fn main() {
    let change_count = std::env::args()
        .nth(1)
        .and_then(|arg| arg.parse().ok())
        .unwrap_or(1000);
    println!("| instances | taken | answer p50 ms | p99 ms | max ms | took ms | memory MiB |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for count in [100, 1000, 10_000] {
        measure_blocking(count);
    }
    measure_status_changes(change_count);
}
