//! Measures a node's submission front on loopback: submissions a second and how long their answers take, the memory
//! that held jobs take, whether the cost of a request grows with them, and how long a mass of submitters takes to come
//! back. Prints Markdown; `docs/benchmarks.md` is such a print with its machine.

use hdrhistogram::Histogram;
use marbledeck_test_support::{EnvironmentOptions, JobBehaviour, TestEnvironment};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

const SPAN: Duration = Duration::from_secs(4);

struct Submitter {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
    line: String,
}

impl Submitter {
    fn connect(at: &str) -> Self {
        let stream = TcpStream::connect(at).expect("the node listens");
        stream.set_nodelay(true).expect("a socket");
        Submitter {
            reader: BufReader::new(stream.try_clone().expect("a socket")),
            stream,
            line: String::new(),
        }
    }

    fn say(&mut self, line: &str) {
        self.stream
            .write_all(line.as_bytes())
            .expect("the node reads");
    }

    /// The next line that is no event.
    fn hear(&mut self) -> &str {
        loop {
            self.line.clear();
            let read = self
                .reader
                .read_line(&mut self.line)
                .expect("the node answers");
            assert!(read > 0, "the node has closed");
            if !self.line.starts_with("{\"event\"") {
                return &self.line;
            }
        }
    }

    fn ask(&mut self, line: &str) -> &str {
        self.say(line);
        self.hear()
    }
}

fn run_job(held: bool, input: usize) -> String {
    let input = "x".repeat(input);
    format!(
        "{{\"op\":\"runJob\",\"seq\":1,\"template\":{{\"remoteCommand\":\"/frame?n=1\",\"jobCategory\":\"preview\",\
         \"accountingId\":\"au\",\"submitAsHold\":{held},\"input\":\"{input}\"}}}}\n"
    )
}

fn lab() -> TestEnvironment {
    let lab = TestEnvironment::start(EnvironmentOptions {
        workers: 4,
        slots: 4096,
        memory_mb: 2048,
        submission_keys: "max_jobs = 262144\nmax_bytes = 268435456\nmax_bulk = 65536\nmax_submitters = 128\nretain_s = 1".to_owned(),
        ..EnvironmentOptions::default()
    });
    for worker in &lab.workers {
        worker.set_behaviour(|_| JobBehaviour::Serve(Duration::ZERO, "made".to_owned()));
    }
    lab
}

fn merged(parts: Vec<Histogram<u64>>) -> Histogram<u64> {
    let mut all = Histogram::new(3).expect("three digits");
    parts.iter().for_each(|part| all.add(part).expect("alike"));
    all
}

fn ms(all: &Histogram<u64>, quantile: f64) -> f64 {
    all.value_at_quantile(quantile) as f64 / 1000.0
}

/// So many submitters hand in jobs, one after the other each, for a while.
fn submissions(lab: &TestEnvironment, submitters: usize, held: bool) {
    let start = Arc::new(Barrier::new(submitters));
    let threads: Vec<_> = (0..submitters)
        .map(|_| {
            let (start, at) = (start.clone(), lab.submission_address.clone());
            std::thread::spawn(move || {
                let (mut submitter, line) = (Submitter::connect(&at), run_job(held, 64));
                let (mut times, mut refused) =
                    (Histogram::<u64>::new(3).expect("three digits"), 0u64);
                start.wait();
                let begun = Instant::now();
                let end = begun + SPAN;
                // Held jobs fill the node: up to then.
                while Instant::now() < end && (refused == 0 || !held) {
                    let from = Instant::now();
                    let accepted = submitter.ask(&line).contains("jobId");
                    times
                        .record(from.elapsed().as_micros() as u64)
                        .expect("in range");
                    refused += u64::from(!accepted);
                }
                (times, refused, begun.elapsed())
            })
        })
        .collect();
    let (mut parts, mut refused, mut longest) = (Vec::new(), 0, Duration::ZERO);
    for (times, turned_away, span) in threads.into_iter().map(|t| t.join().expect("no panic")) {
        parts.push(times);
        refused += turned_away;
        longest = longest.max(span);
    }
    let all = merged(parts);
    let rate = (all.len() - refused) as f64 / longest.as_secs_f64();
    let what = if held { "held" } else { "run" };
    println!(
        "| {submitters} | {what} | {rate:.0} | {refused} | {:.2} | {:.2} | {:.2} |",
        ms(&all, 0.5),
        ms(&all, 0.99),
        ms(&all, 0.999)
    );
}

/// How long a request takes, over many.
fn request(submitter: &mut Submitter, line: &str) -> f64 {
    let mut times = Histogram::<u64>::new(3).expect("three digits");
    for _ in 0..2000 {
        let from = Instant::now();
        submitter.ask(line);
        times
            .record(from.elapsed().as_nanos() as u64)
            .expect("in range");
    }
    times.value_at_quantile(0.5) as f64 / 1000.0
}

fn held_jobs() {
    println!("\n| held jobs | bytes each, alone | bytes each, in an array | getJobInfo µs | runJob, hold µs | listJobs (10) µs |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for count in [100, 10_000, 100_000] {
        let lab = lab();
        let mut submitter = Submitter::connect(&lab.submission_address);
        let before = lab.resident_kib().expect("it runs");
        let (line, mut first) = (run_job(true, 64), String::new());
        // In runs of a hundred lines: the answers are read after each.
        for run in 0..count / 100 {
            submitter.say(&line.repeat(100));
            for n in 0..100 {
                let answer = submitter.hear();
                assert!(answer.contains("jobId"), "{answer}");
                if run == 0 && n == 0 {
                    let id = answer.split('"').nth(5).expect("an id");
                    first = id.to_owned();
                }
            }
        }
        let alone = lab.resident_kib().expect("it runs") - before;
        let info = request(
            &mut submitter,
            &format!("{{\"op\":\"getJobInfo\",\"seq\":1,\"jobId\":\"{first}\"}}\n"),
        );
        let list = request(
            &mut submitter,
            "{\"op\":\"listJobs\",\"seq\":1,\"limit\":10}\n",
        );
        let hold = {
            let start = Instant::now();
            for _ in 0..1000 {
                // The job that is released runs; another is held in its place.
                submitter.ask(&line);
                submitter.ask("{\"op\":\"hold\",\"seq\":1,\"jobId\":\"none-0\"}\n");
            }
            start.elapsed().as_secs_f64() * 1e6 / 2000.0
        };
        drop(lab);
        let lab = self::lab();
        let mut submitter = Submitter::connect(&lab.submission_address);
        let before = lab.resident_kib().expect("it runs");
        let mut left = count;
        while left > 0 {
            let part = left.min(50_000);
            left -= part;
            submitter.say(&format!(
                "{{\"op\":\"runBulkJobs\",\"seq\":1,\"beginIndex\":1,\"endIndex\":{part},\"step\":1,\"template\":\
                 {{\"remoteCommand\":\"/frame?n=${{PARAMETRIC_INDEX}}\",\"jobCategory\":\"preview\",\"accountingId\":\"au\",\
                 \"submitAsHold\":true}}}}\n"
            ));
            while submitter.hear().contains("\"more\":true") {}
        }
        let array = lab.resident_kib().expect("it runs") - before;
        println!(
            "| {count} | {} | {} | {info:.1} | {hold:.1} | {list:.1} |",
            alone * 1024 / count,
            array * 1024 / count
        );
    }
}

/// 64 submitters come back in the same moment, each with 1,024 waits on jobs that have not ended.
#[expect(
    clippy::too_many_lines,
    reason = "one measurement, printed as it is taken"
)]
fn reconnects() {
    let lab = lab();
    let mut first = Submitter::connect(&lab.submission_address);
    first.ask("{\"op\":\"createSession\",\"seq\":1,\"name\":\"s\"}\n");
    let held = run_job(true, 0).replace("\"seq\":1", "\"seq\":1,\"session\":\"s\"");
    let ids: Vec<String> = (0..1024)
        .map(|_| {
            first
                .ask(&held)
                .split('"')
                .nth(5)
                .expect("an id")
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
            let (start, at, waits) = (start.clone(), lab.submission_address.clone(), waits.clone());
            std::thread::spawn(move || {
                start.wait();
                let from = Instant::now();
                let mut submitter = Submitter::connect(&at);
                submitter.ask("{\"op\":\"openSession\",\"seq\":1,\"name\":\"s\",\"since\":0}\n");
                submitter.say(&waits);
                // Its answer comes after all waits were taken up.
                submitter.ask("{\"op\":\"listSessions\",\"seq\":3}\n");
                let caught_up = from.elapsed();
                start.wait();
                for _ in 0..1024 {
                    submitter.hear();
                }
                (caught_up, Instant::now())
            })
        })
        .collect();
    start.wait();
    start.wait();
    let released = Instant::now();
    first.ask("{\"op\":\"terminate\",\"seq\":4,\"session\":\"s\"}\n");
    let answers: Vec<(Duration, Instant)> = threads
        .into_iter()
        .map(|t| t.join().expect("no panic"))
        .collect();
    let caught_up = answers
        .iter()
        .map(|(span, _)| *span)
        .max()
        .unwrap_or_default();
    let answered = answers
        .iter()
        .map(|(_, at)| at.duration_since(released))
        .max()
        .unwrap_or_default();
    println!(
        "\n64 submitters with 1,024 waits each, all connecting at once: all caught up after {:.0} ms; the ends of the 1,024 \
         jobs reported to all of them (65,536 answers) {:.0} ms after they were requested; most memory {} MiB.",
        caught_up.as_secs_f64() * 1e3,
        answered.as_secs_f64() * 1e3,
        lab.peak_kib().unwrap_or_default() / 1024
    );
}

fn main() {
    println!(
        "| submitters | jobs | accepted a second | refused | reply p50 ms | p99 ms | p99.9 ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for held in [true, false] {
        for submitters in [1, 16, 64] {
            let lab = lab();
            submissions(&lab, submitters, held);
        }
    }
    held_jobs();
    reconnects();
}
