//! The client against a node between stand-ins, while answers are lost, nodes die and others take over.

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

const PATIENCE: Option<Duration> = Some(Duration::from_secs(30));

fn sheet(target: &str) -> Template {
    Template {
        remote_command: target.to_owned(),
        job_category: "sheet-publish".to_owned(),
        accounting_id: Some("au".to_owned()),
        ..Template::default()
    }
}

/// How often each target was run, by all workers together.
fn runs(lab: &TestEnvironment) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    for job in lab.workers.iter().flat_map(WorkerStub::started_jobs) {
        *runs.entry(job.target).or_default() += 1;
    }
    runs
}

/// Any one answer in the life of a job is lost: the client reconnects, and the job has run once.
#[test]
fn a_job_runs_once_although_any_answer_is_lost() {
    let lab = TestEnvironment::start(EnvironmentOptions::default());
    let proxy = LossyProxy::start(&lab.submission_address);
    let mut lost = 0;
    for lines in 0..8 {
        let client = Client::new(Settings::new(proxy.address.to_string()));
        let name = format!("s{lines}");
        proxy.lose_after(lines);
        client.create_or_open_session(&name, None).unwrap();
        let target = format!("/job/{lines}");
        let job = client.run_job(sheet(&target), Some(&name)).unwrap();
        let info = client.wait_terminated(&job.job_id, PATIENCE).unwrap();
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
        assert_eq!(runs(&lab).get(&target), Some(&1), "line {lines}");
        lost += usize::from(proxy.broken_connections() > lost);
    }
    assert!(lost >= 5, "{lost} answers were lost");
}

/// Each index runs once, and each job is known to the client.
#[test]
fn a_bulk_runs_each_index_once_although_its_answer_is_lost() {
    let lab = TestEnvironment::start(EnvironmentOptions {
        submission_keys: "max_jobs = 4096".to_owned(),
        ..EnvironmentOptions::default()
    });
    let proxy = LossyProxy::start(&lab.submission_address);
    for lines in 0..3 {
        let client = Client::new(Settings::new(proxy.address.to_string()));
        proxy.lose_after(lines);
        let template = sheet(&format!("/bulk/{lines}/${{PARAMETRIC_INDEX}}"));
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
            let info = client.wait_terminated(job, PATIENCE).unwrap();
            assert_eq!(info.job_state, JobState::Done, "{info:?}");
        }
        let runs = runs(&lab);
        for index in 1..=600 {
            assert_eq!(
                runs.get(&format!("/bulk/{lines}/{index}")),
                Some(&1),
                "index {index}"
            );
        }
    }
    assert_eq!(proxy.broken_connections(), 3);
}

/// Whenever the connection is lost.
#[test]
fn events_arrive_once_and_complete_over_lost_connections() {
    let lab = TestEnvironment::start(EnvironmentOptions::default());
    let proxy = LossyProxy::start(&lab.submission_address);
    let (sender, events) = channel();
    let tell = move |event: Event| drop(sender.send(event));
    let watcher = Client::with_events(Settings::new(proxy.address.to_string()), Box::new(tell));
    watcher.create_or_open_session("s", None).unwrap();
    let client = Client::new(Settings::new(lab.submission_address.clone()));
    for n in 0..20 {
        if n % 4 == 0 {
            proxy.lose_after(2);
        }
        let job = client.run_job(sheet(&format!("/{n}")), Some("s")).unwrap();
        client.wait_terminated(&job.job_id, PATIENCE).unwrap();
        // Whoever watches notices a lost connection when it next asks.
        watcher.sessions().unwrap();
    }
    let (mut ended, mut last) = (0, 0);
    while ended < 20 {
        let event = events
            .recv_timeout(Duration::from_secs(20))
            .expect("20 ends");
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

/// Each job ends once, none runs twice, and clients notice no more than a new connection.
#[test]
fn a_bulk_survives_two_upgrades_without_repeats() {
    let mut lab = TestEnvironment::start(EnvironmentOptions {
        submission_keys: "max_jobs = 4096".to_owned(),
        ..EnvironmentOptions::default()
    });
    for worker in &lab.workers {
        worker.set_behaviour(|job| {
            JobBehaviour::Serve(Duration::from_millis(15), format!("made {}", job.target))
        });
    }
    let client = Arc::new(Client::new(Settings::new(lab.submission_address.clone())));
    client.create_or_open_session("s", None).unwrap();
    let done = Arc::new(AtomicUsize::new(0));
    let (own, count) = (client.clone(), done.clone());
    let submitter = std::thread::spawn(move || {
        let template = sheet("/film/${PARAMETRIC_INDEX}");
        let bulk = own
            .run_bulk(template, IndexRange::new(1, 400, 1), Some(12), Some("s"))
            .unwrap();
        for job in bulk.jobs {
            let index = job.index;
            let info = own
                .wait_terminated(&job.result.unwrap().job_id, PATIENCE)
                .unwrap();
            assert_eq!(info.job_state, JobState::Done, "{index}: {info:?}");
            count.fetch_add(1, Ordering::SeqCst);
        }
    });
    for upgrade in 0..2 {
        while done.load(Ordering::SeqCst) < 60 + 120 * upgrade && !submitter.is_finished() {
            std::thread::sleep(Duration::from_millis(2));
        }
        lab.start_successor();
        lab.signal(upgrade, "-TERM");
        assert!(lab.exits_cleanly(upgrade), "the old process ends by itself");
    }
    submitter.join().unwrap();
    let runs = runs(&lab);
    assert_eq!(runs.len(), 400);
    assert!(runs.values().all(|runs| *runs == 1), "{runs:?}");
    let most: usize = lab
        .workers
        .iter()
        .map(WorkerStub::max_running)
        .max()
        .unwrap();
    assert!(most <= 12);
    let mut listed = 0;
    client
        .list_jobs(Some("s"), &Filter::default(), |_| listed += 1)
        .unwrap();
    assert_eq!(listed, 400);
}

/// The state of the node is lost; workers drop the repeat of a key.
#[test]
fn a_client_recreates_its_session_after_a_node_crash() {
    let mut lab = TestEnvironment::start(EnvironmentOptions::default());
    let client = Client::new(Settings::new(lab.submission_address.clone()));
    client.create_or_open_session("s", None).unwrap();
    let job = client.run_job(sheet("/x"), Some("s")).unwrap();
    client.wait_terminated(&job.job_id, PATIENCE).unwrap();
    lab.crash_and_restart();
    let unknown = client.job_info(&job.job_id).unwrap_err();
    assert!(unknown.is(ErrorId::InvalidArgument), "{unknown}");
    assert_eq!(client.sessions().unwrap(), ["s"]);
    let job = client.run_job(sheet("/y"), Some("s")).unwrap();
    assert_eq!(
        client
            .wait_terminated(&job.job_id, PATIENCE)
            .unwrap()
            .job_state,
        JobState::Done
    );
}

/// Jobs were held while a worker was drained.
#[test]
fn released_jobs_avoid_a_drained_worker() {
    let lab = TestEnvironment::start(EnvironmentOptions {
        workers: 2,
        ..EnvironmentOptions::default()
    });
    let client = Client::new(Settings::new(lab.submission_address.clone()));
    let mut held = sheet("/held/${PARAMETRIC_INDEX}");
    held.submit_as_hold = true;
    let bulk = client
        .run_bulk(held, IndexRange::new(1, 30, 1), None, None)
        .unwrap();
    let first = &lab.workers[0];
    lab.discovery
        .set_worker(&first.id, first.address, "draining");
    let until = std::time::Instant::now() + Duration::from_secs(20);
    while client
        .machines()
        .unwrap()
        .iter()
        .any(|m| m.name == first.id && m.available)
    {
        assert!(
            std::time::Instant::now() < until,
            "the node does not learn of the drain"
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
            .wait_terminated(&job.result.as_ref().unwrap().job_id, PATIENCE)
            .unwrap();
        assert!(info.job_state.is_final());
        assert_ne!(info.machine.as_deref(), Some(first.id.as_str()));
    }
    assert!(first.started_jobs().is_empty());
}
