//! The client against a node with a stub registry and stub workers, while answers are lost, the node crashes or is
//! replaced, and workers are drained.

use marbledeck_submission_client::{
    Client, ControlSummary, ErrorId, Event, Filter, IndexRange, JobState, Operation, Settings,
    Targets, Template,
};
use marbledeck_test_support::{
    EnvironmentOptions, JobBehaviour, LossyProxy, TestEnvironment, WorkerStub,
};
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of each wait, far longer than any job takes.
const WAIT_TIMEOUT: Option<Duration> = Some(Duration::from_secs(30));

fn sheet_template(target: &str) -> Template {
    Template {
        remote_command: target.to_owned(),
        job_category: "sheet-publish".to_owned(),
        accounting_id: Some("au".to_owned()),
        ..Template::default()
    }
}

/// How often each target was started, over all workers.
fn run_counts(environment: &TestEnvironment) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    for job in environment
        .workers
        .iter()
        .flat_map(WorkerStub::started_jobs)
    {
        *runs.entry(job.target).or_default() += 1;
    }
    runs
}

/// Answers are lost at each step of a job in turn: the client reconnects and the job runs once.
#[test]
fn a_job_runs_once_although_any_answer_is_lost() {
    let environment = TestEnvironment::start(EnvironmentOptions::default());
    let proxy = LossyProxy::start(&environment.submission_address);
    let mut broken_count = 0;
    for lines in 0..8 {
        let client = Client::new(Settings::new(proxy.address.to_string()));
        let name = format!("s{lines}");
        proxy.lose_after(lines);
        client.create_or_open_session(&name, None).unwrap();
        let target = format!("/job/{lines}");
        let job = client
            .run_job(sheet_template(&target), Some(&name))
            .unwrap();
        let info = client.wait_terminated(&job.job_id, WAIT_TIMEOUT).unwrap();
        assert_eq!(info.job_state, JobState::Done, "line {lines}: {info:?}");
        assert_eq!(
            info.result.as_deref(),
            Some(format!("made {target}").as_str())
        );
        client
            .control(Operation::Reap {
                targets: Targets::job(&job.job_id),
            })
            .ok();
        assert_eq!(
            run_counts(&environment).get(&target),
            Some(&1),
            "line {lines}"
        );
        broken_count += usize::from(proxy.broken_connections() > broken_count);
    }
    assert!(
        broken_count >= 5,
        "only {broken_count} connections were broken"
    );
}

/// The resubmission of a bulk after a lost answer returns the jobs of the first submission: each index runs once.
#[test]
fn a_bulk_runs_each_index_once_although_its_answer_is_lost() {
    let environment = TestEnvironment::start(EnvironmentOptions {
        submission_keys: "max_jobs = 4096".to_owned(),
        ..EnvironmentOptions::default()
    });
    let proxy = LossyProxy::start(&environment.submission_address);
    for lines in 0..3 {
        let client = Client::new(Settings::new(proxy.address.to_string()));
        proxy.lose_after(lines);
        let template = sheet_template(&format!("/bulk/{lines}/${{PARAMETRIC_INDEX}}"));
        let bulk = client
            .run_bulk(template, IndexRange::new(1, 600, 1), Some(16), None)
            .unwrap();
        let jobs: HashSet<String> = bulk
            .jobs
            .iter()
            .map(|job| job.result.as_ref().unwrap().job_id.clone())
            .collect();
        assert_eq!(jobs.len(), 600);
        for job in &jobs {
            let info = client.wait_terminated(job, WAIT_TIMEOUT).unwrap();
            assert_eq!(info.job_state, JobState::Done, "{info:?}");
        }
        let run_counts = run_counts(&environment);
        for index in 1..=600 {
            assert_eq!(
                run_counts.get(&format!("/bulk/{lines}/{index}")),
                Some(&1),
                "index {index}"
            );
        }
    }
    assert_eq!(proxy.broken_connections(), 3);
}

/// The connection is lost every few jobs; the reopened session must neither repeat nor skip an event.
#[test]
fn events_arrive_once_and_complete_over_lost_connections() {
    let environment = TestEnvironment::start(EnvironmentOptions::default());
    let proxy = LossyProxy::start(&environment.submission_address);
    let (sender, events) = channel();
    let forward_event = move |event: Event| drop(sender.send(event));
    let watcher = Client::with_events(
        Settings::new(proxy.address.to_string()),
        Box::new(forward_event),
    );
    watcher.create_or_open_session("s", None).unwrap();
    let client = Client::new(Settings::new(environment.submission_address.clone()));
    for n in 0..20 {
        if n % 4 == 0 {
            proxy.lose_after(2);
        }
        let job = client
            .run_job(sheet_template(&format!("/{n}")), Some("s"))
            .unwrap();
        client.wait_terminated(&job.job_id, WAIT_TIMEOUT).unwrap();
        // The watcher detects a lost connection only with its next request.
        watcher.sessions().unwrap();
    }
    let (mut ended, mut last) = (0, 0);
    while ended < 20 {
        let event = events
            .recv_timeout(Duration::from_secs(20))
            .expect("the events of 20 jobs");
        let Event::NewState {
            number, job_state, ..
        } = event
        else {
            panic!("{event:?}");
        };
        assert_eq!(number, Some(last + 1));
        last += 1;
        ended += usize::from(job_state == JobState::Done);
    }
    assert!(proxy.broken_connections() >= 3);
}

/// The node is replaced twice while a bulk runs: each job ends once, none runs twice, and the client only reconnects.
#[test]
fn a_bulk_survives_two_upgrades_without_repeats() {
    let mut environment = TestEnvironment::start(EnvironmentOptions {
        submission_keys: "max_jobs = 4096".to_owned(),
        ..EnvironmentOptions::default()
    });
    for worker in &environment.workers {
        worker.set_behaviour(|job| {
            JobBehaviour::Serve(Duration::from_millis(15), format!("made {}", job.target))
        });
    }
    let client = Arc::new(Client::new(Settings::new(
        environment.submission_address.clone(),
    )));
    client.create_or_open_session("s", None).unwrap();
    let done = Arc::new(AtomicUsize::new(0));
    let (submitting_client, done_count) = (client.clone(), done.clone());
    let submitter = std::thread::spawn(move || {
        let template = sheet_template("/film/${PARAMETRIC_INDEX}");
        let bulk = submitting_client
            .run_bulk(template, IndexRange::new(1, 400, 1), Some(12), Some("s"))
            .unwrap();
        for job in bulk.jobs {
            let index = job.index;
            let info = submitting_client
                .wait_terminated(&job.result.unwrap().job_id, WAIT_TIMEOUT)
                .unwrap();
            assert_eq!(info.job_state, JobState::Done, "{index}: {info:?}");
            done_count.fetch_add(1, Ordering::SeqCst);
        }
    });
    for upgrade in 0..2 {
        while done.load(Ordering::SeqCst) < 60 + 120 * upgrade && !submitter.is_finished() {
            std::thread::sleep(Duration::from_millis(2));
        }
        environment.start_successor();
        environment.signal(upgrade, "-TERM");
        assert!(
            environment.exits_cleanly(upgrade),
            "the old process exits cleanly after its successor has taken over"
        );
    }
    submitter.join().unwrap();
    let run_counts = run_counts(&environment);
    assert_eq!(run_counts.len(), 400);
    assert!(
        run_counts.values().all(|count| *count == 1),
        "{run_counts:?}"
    );
    let max_running: usize = environment
        .workers
        .iter()
        .map(WorkerStub::max_running)
        .max()
        .unwrap();
    assert!(max_running <= 12);
    let mut listed = 0;
    client
        .list_jobs(Some("s"), &Filter::default(), |_| listed += 1)
        .unwrap();
    assert_eq!(listed, 400);
}

/// A crashed node restarts without its jobs and sessions. The client creates its session again and can submit jobs.
#[test]
fn a_client_recreates_its_session_after_a_node_crash() {
    let mut environment = TestEnvironment::start(EnvironmentOptions::default());
    let client = Client::new(Settings::new(environment.submission_address.clone()));
    client.create_or_open_session("s", None).unwrap();
    let job = client.run_job(sheet_template("/x"), Some("s")).unwrap();
    client.wait_terminated(&job.job_id, WAIT_TIMEOUT).unwrap();
    environment.crash_and_restart();
    let unknown = client.job_info(&job.job_id).unwrap_err();
    assert!(unknown.is(ErrorId::InvalidArgument), "{unknown}");
    assert_eq!(client.sessions().unwrap(), ["s"]);
    let job = client.run_job(sheet_template("/y"), Some("s")).unwrap();
    assert_eq!(
        client
            .wait_terminated(&job.job_id, WAIT_TIMEOUT)
            .unwrap()
            .job_state,
        JobState::Done
    );
}

/// Held jobs are not assigned to a worker that was drained before their release.
#[test]
fn released_jobs_avoid_a_drained_worker() {
    let environment = TestEnvironment::start(EnvironmentOptions {
        workers: 2,
        ..EnvironmentOptions::default()
    });
    let client = Client::new(Settings::new(environment.submission_address.clone()));
    let mut held = sheet_template("/held/${PARAMETRIC_INDEX}");
    held.submit_as_hold = true;
    let bulk = client
        .run_bulk(held, IndexRange::new(1, 30, 1), None, None)
        .unwrap();
    let drained = &environment.workers[0];
    environment
        .discovery
        .set_worker(&drained.id, drained.address, "draining");
    let deadline = std::time::Instant::now() + Duration::from_secs(20);
    while client
        .machines()
        .unwrap()
        .iter()
        .any(|m| m.name == drained.id && m.available)
    {
        assert!(
            std::time::Instant::now() < deadline,
            "the node did not learn in time that the worker is draining"
        );
        std::thread::sleep(Duration::from_millis(2));
    }
    let targets = Targets::array(bulk.arrays[0].clone());
    assert_eq!(
        client.control(Operation::Release { targets }).unwrap(),
        ControlSummary {
            changed: 30,
            rejected: 0
        }
    );
    for job in &bulk.jobs {
        let info = client
            .wait_terminated(&job.result.as_ref().unwrap().job_id, WAIT_TIMEOUT)
            .unwrap();
        assert!(info.job_state.is_final());
        assert_ne!(info.machine.as_deref(), Some(drained.id.as_str()));
    }
    assert!(drained.started_jobs().is_empty());
}
