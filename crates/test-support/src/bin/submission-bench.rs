//! Measures a node's submission front on loopback: submissions per second and their response times, the memory that
//! held jobs use, how request times depend on the number of held jobs, and how long many simultaneous reconnects take.
//! Prints Markdown; `docs/benchmarks.md` shows an output and names the machine.

use hdrhistogram::Histogram;
use marbledeck_test_support::{EnvironmentOptions, JobBehaviour, TestEnvironment};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

/// Duration of a measurement of submissions.
const SPAN: Duration = Duration::from_secs(4);

/// A submitter with one connection, which reads and writes lines of the submission protocol.
struct Submitter {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
    /// The line that was read last.
    line: String,
}

impl Submitter {
    fn connect(address: &str) -> Self {
        let stream = TcpStream::connect(address).expect("the node listens");
        stream.set_nodelay(true).expect("set TCP_NODELAY");
        Submitter {
            reader: BufReader::new(stream.try_clone().expect("clone the socket")),
            stream,
            line: String::new(),
        }
    }

    /// Sends one or more lines.
    fn send(&mut self, line: &str) {
        self.stream
            .write_all(line.as_bytes())
            .expect("the node reads");
    }

    /// Reads the next line that is not an event.
    fn receive(&mut self) -> &str {
        loop {
            self.line.clear();
            let read = self
                .reader
                .read_line(&mut self.line)
                .expect("the node answers");
            assert!(read > 0, "the node closed the connection");
            if !self.line.starts_with("{\"event\"") {
                return &self.line;
            }
        }
    }

    /// Sends a request line and reads the answer.
    fn request(&mut self, line: &str) -> &str {
        self.send(line);
        self.receive()
    }
}

/// A `runJob` request line with an input of `input_bytes` bytes.
fn run_job_line(held: bool, input_bytes: usize) -> String {
    let input = "x".repeat(input_bytes);
    format!(
        "{{\"op\":\"runJob\",\"seq\":1,\"template\":{{\"remoteCommand\":\"/frame?n=1\",\"jobCategory\":\"preview\",\
         \"accountingId\":\"au\",\"submitAsHold\":{held},\"input\":\"{input}\"}}}}\n"
    )
}

/// Starts a node with limits high enough for the measurements and with workers that complete jobs at once.
fn start_environment() -> TestEnvironment {
    let environment = TestEnvironment::start(EnvironmentOptions {
        workers: 4,
        slots: 4096,
        memory_mb: 2048,
        submission_keys: "max_jobs = 262144\nmax_bytes = 268435456\nmax_bulk = 65536\nmax_submitters = 128\nretain_s = 1".to_owned(),
        ..EnvironmentOptions::default()
    });
    for worker in &environment.workers {
        worker.set_behaviour(|_| JobBehaviour::Serve(Duration::ZERO, "made".to_owned()));
    }
    environment
}

/// Adds up histograms.
fn merge(parts: Vec<Histogram<u64>>) -> Histogram<u64> {
    let mut all = Histogram::new(3).expect("3 significant digits are valid");
    parts
        .iter()
        .for_each(|part| all.add(part).expect("equal precision"));
    all
}

/// A quantile of times in microseconds, in milliseconds.
fn quantile_ms(times: &Histogram<u64>, quantile: f64) -> f64 {
    times.value_at_quantile(quantile) as f64 / 1000.0
}

/// Measures submissions per second and their response times. Each submitter sends its next job after the answer to the
/// previous one.
fn measure_submissions(environment: &TestEnvironment, submitters: usize, held: bool) {
    let start = Arc::new(Barrier::new(submitters));
    let threads: Vec<_> = (0..submitters)
        .map(|_| {
            let (start, address) = (start.clone(), environment.submission_address.clone());
            std::thread::spawn(move || {
                let (mut submitter, line) = (Submitter::connect(&address), run_job_line(held, 64));
                let (mut times, mut refused) = (
                    Histogram::<u64>::new(3).expect("3 significant digits are valid"),
                    0u64,
                );
                start.wait();
                let started_at = Instant::now();
                let end = started_at + SPAN;
                // Held jobs accumulate: with them the measurement ends when the node is full and refuses one.
                while Instant::now() < end && (refused == 0 || !held) {
                    let sent_at = Instant::now();
                    let accepted = submitter.request(&line).contains("jobId");
                    times
                        .record(sent_at.elapsed().as_micros() as u64)
                        .expect("the histogram resizes itself");
                    refused += u64::from(!accepted);
                }
                (times, refused, started_at.elapsed())
            })
        })
        .collect();
    let (mut parts, mut refused, mut longest) = (Vec::new(), 0, Duration::ZERO);
    for (times, thread_refused, elapsed) in threads
        .into_iter()
        .map(|t| t.join().expect("the thread did not panic"))
    {
        parts.push(times);
        refused += thread_refused;
        longest = longest.max(elapsed);
    }
    let all = merge(parts);
    let rate = (all.len() - refused) as f64 / longest.as_secs_f64();
    let kind = if held { "held" } else { "run" };
    println!(
        "| {submitters} | {kind} | {rate:.0} | {refused} | {:.2} | {:.2} | {:.2} |",
        quantile_ms(&all, 0.5),
        quantile_ms(&all, 0.99),
        quantile_ms(&all, 0.999)
    );
}

/// Returns the median response time of a request in microseconds, over 2,000 requests.
fn median_request_us(submitter: &mut Submitter, line: &str) -> f64 {
    let mut times = Histogram::<u64>::new(3).expect("3 significant digits are valid");
    for _ in 0..2000 {
        let sent_at = Instant::now();
        submitter.request(line);
        times
            .record(sent_at.elapsed().as_nanos() as u64)
            .expect("the histogram resizes itself");
    }
    times.value_at_quantile(0.5) as f64 / 1000.0
}

/// Measures the memory that held jobs use, submitted one by one and as job arrays, and how long requests take with
/// them.
fn measure_held_jobs() {
    println!("\n| held jobs | bytes each, alone | bytes each, in an array | getJobInfo µs | runJob, hold µs | listJobs (10) µs |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for count in [100, 10_000, 100_000] {
        let environment = start_environment();
        let mut submitter = Submitter::connect(&environment.submission_address);
        let before = environment.resident_kib().expect("the node runs");
        let (line, mut first_id) = (run_job_line(true, 64), String::new());
        // Jobs are submitted in batches of 100 lines, and the answers are read after each batch.
        for batch in 0..count / 100 {
            submitter.send(&line.repeat(100));
            for n in 0..100 {
                let answer = submitter.receive();
                assert!(answer.contains("jobId"), "{answer}");
                if batch == 0 && n == 0 {
                    let id = answer.split('"').nth(5).expect("the answer has a job id");
                    first_id = id.to_owned();
                }
            }
        }
        let single_kib = environment.resident_kib().expect("the node runs") - before;
        let info_us = median_request_us(
            &mut submitter,
            &format!("{{\"op\":\"getJobInfo\",\"seq\":1,\"jobId\":\"{first_id}\"}}\n"),
        );
        let list_us = median_request_us(
            &mut submitter,
            "{\"op\":\"listJobs\",\"seq\":1,\"limit\":10}\n",
        );
        let hold_us = {
            let started_at = Instant::now();
            for _ in 0..1000 {
                // Each round submits another held job, then sends a hold of a job that does not exist.
                submitter.request(&line);
                submitter.request("{\"op\":\"hold\",\"seq\":1,\"jobId\":\"none-0\"}\n");
            }
            started_at.elapsed().as_secs_f64() * 1e6 / 2000.0
        };
        drop(environment);
        let environment = start_environment();
        let mut submitter = Submitter::connect(&environment.submission_address);
        let before = environment.resident_kib().expect("the node runs");
        let mut left = count;
        while left > 0 {
            let array_size = left.min(50_000);
            left -= array_size;
            submitter.send(&format!(
                "{{\"op\":\"runBulkJobs\",\"seq\":1,\"beginIndex\":1,\"endIndex\":{array_size},\"step\":1,\"template\":\
                 {{\"remoteCommand\":\"/frame?n=${{PARAMETRIC_INDEX}}\",\"jobCategory\":\"preview\",\"accountingId\":\"au\",\
                 \"submitAsHold\":true}}}}\n"
            ));
            while submitter.receive().contains("\"more\":true") {}
        }
        let array_kib = environment.resident_kib().expect("the node runs") - before;
        println!(
            "| {count} | {} | {} | {info_us:.1} | {hold_us:.1} | {list_us:.1} |",
            single_kib * 1024 / count,
            array_kib * 1024 / count
        );
    }
}

/// Measures 64 submitters that reconnect at the same time, each with 1,024 waits for jobs that have not ended.
#[expect(
    clippy::too_many_lines,
    reason = "one measurement that starts 64 threads and evaluates them"
)]
fn measure_reconnects() {
    let environment = start_environment();
    let mut first = Submitter::connect(&environment.submission_address);
    first.request("{\"op\":\"createSession\",\"seq\":1,\"name\":\"s\"}\n");
    let held_job = run_job_line(true, 0).replace("\"seq\":1", "\"seq\":1,\"session\":\"s\"");
    let ids: Vec<String> = (0..1024)
        .map(|_| {
            first
                .request(&held_job)
                .split('"')
                .nth(5)
                .expect("the answer has a job id")
                .to_owned()
        })
        .collect();
    let waits: String = ids
        .iter()
        .map(|id| format!("{{\"op\":\"waitTerminated\",\"seq\":2,\"jobId\":\"{id}\"}}\n"))
        .collect();
    let start = Arc::new(Barrier::new(65));
    let threads: Vec<_> = (0..64)
        .map(|_| {
            let (start, address, waits) = (
                start.clone(),
                environment.submission_address.clone(),
                waits.clone(),
            );
            std::thread::spawn(move || {
                start.wait();
                let started_at = Instant::now();
                let mut submitter = Submitter::connect(&address);
                submitter
                    .request("{\"op\":\"openSession\",\"seq\":1,\"name\":\"s\",\"since\":0}\n");
                submitter.send(&waits);
                // The node answers requests in order, so that this answer shows that it has accepted all waits.
                submitter.request("{\"op\":\"listSessions\",\"seq\":3}\n");
                let caught_up = started_at.elapsed();
                start.wait();
                for _ in 0..1024 {
                    submitter.receive();
                }
                (caught_up, Instant::now())
            })
        })
        .collect();
    start.wait();
    start.wait();
    let terminated_at = Instant::now();
    first.request("{\"op\":\"terminate\",\"seq\":4,\"session\":\"s\"}\n");
    let answers: Vec<(Duration, Instant)> = threads
        .into_iter()
        .map(|t| t.join().expect("the thread did not panic"))
        .collect();
    let caught_up = answers
        .iter()
        .map(|(elapsed, _)| *elapsed)
        .max()
        .unwrap_or_default();
    let answered = answers
        .iter()
        .map(|(_, at)| at.duration_since(terminated_at))
        .max()
        .unwrap_or_default();
    println!(
        "\n64 submitters with 1,024 waits each, all connecting at once: all caught up after {:.0} ms; the ends of the 1,024 \
         jobs reported to all of them (65,536 answers) {:.0} ms after they were requested; most memory {} MiB.",
        caught_up.as_secs_f64() * 1e3,
        answered.as_secs_f64() * 1e3,
        environment.peak_kib().unwrap_or_default() / 1024
    );
}

fn main() {
    println!(
        "| submitters | jobs | accepted a second | refused | reply p50 ms | p99 ms | p99.9 ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for held in [true, false] {
        for submitters in [1, 16, 64] {
            let environment = start_environment();
            measure_submissions(&environment, submitters, held);
        }
    }
    measure_held_jobs();
    measure_reconnects();
}
