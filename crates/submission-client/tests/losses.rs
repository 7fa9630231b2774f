//! The client against a node between stand-ins, while answers are lost, nodes die and others take over.

use marbledeck_submission_client::{
    Client, ErrorId, Event, Filter, JobState, Operation, Settings, Targets, Template,
};
use marbledeck_test_support::{Act, Lab, Options, Proxy};
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

/// How often each target was begun, by all workers together.
fn runs(lab: &Lab) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    for job in lab.workers.iter().flat_map(|worker| worker.begun()) {
        *runs.entry(job.target).or_default() += 1;
    }
    runs
}

/// The answer to any message of a job's life is lost: the client comes back, and the job has run once.
#[test]
fn each_answer_is_lost_once() {
    let lab = Lab::start(Options::default());
    let proxy = Proxy::start(&lab.submitters);
    let mut lost = 0;
    for lines in 0..8 {
        let client = Client::new(Settings::at(proxy.addr.to_string()));
        let name = format!("s{lines}");
        proxy.lose_after(lines);
        client.open_session(&name, true, None).unwrap();
        let target = format!("/job/{lines}");
        let job = client.run(sheet(&target), Some(&name)).unwrap();
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
        lost += usize::from(proxy.broken() > lost);
    }
    assert!(lost >= 5, "{lost} answers were lost");
}

/// The answer to a bulk is lost: each index runs once, and each is known.
#[test]
fn a_bulk_is_lost() {
    let lab = Lab::start(Options {
        front: "max_jobs = 4096".to_owned(),
        ..Options::default()
    });
    let proxy = Proxy::start(&lab.submitters);
    for lines in 0..3 {
        let client = Client::new(Settings::at(proxy.addr.to_string()));
        proxy.lose_after(lines);
        let template = sheet(&format!("/bulk/{lines}/${{PARAMETRIC_INDEX}}"));
        let bulk = client
            .run_bulk(template, (1, 600, 1), Some(16), None)
            .unwrap();
        let jobs: HashSet<String> = bulk
            .jobs
            .iter()
            .map(|(_, job)| job.as_ref().unwrap().job_id.clone())
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
    assert_eq!(proxy.broken(), 3);
}

/// Events come without a gap and once, however often the connection is lost.
#[test]
fn events_over_lost_connections() {
    let lab = Lab::start(Options::default());
    let proxy = Proxy::start(&lab.submitters);
    let (sender, events) = channel();
    let tell = move |event: Event| drop(sender.send(event));
    let watcher = Client::with_events(Settings::at(proxy.addr.to_string()), Box::new(tell));
    watcher.open_session("s", true, None).unwrap();
    let client = Client::new(Settings::at(lab.submitters.clone()));
    for n in 0..20 {
        if n % 4 == 0 {
            proxy.lose_after(2);
        }
        let job = client.run(sheet(&format!("/{n}")), Some("s")).unwrap();
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
    assert!(proxy.broken() >= 3);
}

/// Two upgrades in the middle of a bulk: each job ends once, none runs twice, and nobody notices more than a new
/// connection.
#[test]
fn upgrades_in_the_middle_of_a_bulk() {
    let mut lab = Lab::start(Options {
        front: "max_jobs = 4096".to_owned(),
        ..Options::default()
    });
    for worker in &lab.workers {
        worker.behave(|job| Act::Serve(Duration::from_millis(15), format!("made {}", job.target)));
    }
    let client = Arc::new(Client::new(Settings::at(lab.submitters.clone())));
    client.open_session("s", true, None).unwrap();
    let done = Arc::new(AtomicUsize::new(0));
    let (own, count) = (client.clone(), done.clone());
    let submitter = std::thread::spawn(move || {
        let template = sheet("/film/${PARAMETRIC_INDEX}");
        let bulk = own
            .run_bulk(template, (1, 400, 1), Some(12), Some("s"))
            .unwrap();
        for (index, job) in bulk.jobs {
            let info = own.wait_terminated(&job.unwrap().job_id, PATIENCE).unwrap();
            assert_eq!(info.job_state, JobState::Done, "{index}: {info:?}");
            count.fetch_add(1, Ordering::SeqCst);
        }
    });
    for upgrade in 0..2 {
        while done.load(Ordering::SeqCst) < 60 + 120 * upgrade && !submitter.is_finished() {
            std::thread::sleep(Duration::from_millis(2));
        }
        lab.succeed();
        lab.signal(upgrade, "-TERM");
        assert!(lab.ends(upgrade), "the old process ends by itself");
    }
    submitter.join().unwrap();
    let runs = runs(&lab);
    assert_eq!(runs.len(), 400);
    assert!(runs.values().all(|runs| *runs == 1), "{runs:?}");
    let most: usize = lab
        .workers
        .iter()
        .map(|worker| worker.most())
        .max()
        .unwrap();
    assert!(most <= 12);
    let mut listed = 0;
    client
        .list(Some("s"), &Filter::default(), |_| listed += 1)
        .unwrap();
    assert_eq!(listed, 400);
}

/// A node that dies without a word: what it knew is lost, the client finds its session anew, and workers drop the
/// repeat of a key.
#[test]
fn a_node_dies() {
    let mut lab = Lab::start(Options::default());
    let client = Client::new(Settings::at(lab.submitters.clone()));
    client.open_session("s", true, None).unwrap();
    let job = client.run(sheet("/x"), Some("s")).unwrap();
    client.wait_terminated(&job.job_id, PATIENCE).unwrap();
    lab.crash();
    let unknown = client.info(&job.job_id).unwrap_err();
    assert!(unknown.is(ErrorId::InvalidArgument), "{unknown}");
    assert_eq!(client.sessions().unwrap(), ["s"]);
    let job = client.run(sheet("/y"), Some("s")).unwrap();
    assert_eq!(
        client
            .wait_terminated(&job.job_id, PATIENCE)
            .unwrap()
            .job_state,
        JobState::Done
    );
}

/// Drained workers with jobs held behind them: released, the jobs run elsewhere.
#[test]
fn held_jobs_behind_a_drained_worker() {
    let lab = Lab::start(Options {
        workers: 2,
        ..Options::default()
    });
    let client = Client::new(Settings::at(lab.submitters.clone()));
    let mut held = sheet("/held/${PARAMETRIC_INDEX}");
    held.submit_as_hold = true;
    let bulk = client.run_bulk(held, (1, 30, 1), None, None).unwrap();
    let first = &lab.workers[0];
    lab.directory.set(&first.id, first.addr, "draining");
    let until = std::time::Instant::now() + Duration::from_secs(20);
    while client
        .machines()
        .unwrap()
        .iter()
        .any(|m| m.name == first.id && m.available)
    {
        assert!(
            std::time::Instant::now() < until,
            "the drain is not heard of"
        );
        std::thread::sleep(Duration::from_millis(2));
    }
    let targets = Targets::array(bulk.arrays[0].clone());
    assert_eq!(
        client.control(Operation::Release { targets }).unwrap(),
        (30, 0)
    );
    for (_, job) in &bulk.jobs {
        let info = client
            .wait_terminated(&job.as_ref().unwrap().job_id, PATIENCE)
            .unwrap();
        assert!(info.job_state.is_final());
        assert_ne!(info.machine.as_deref(), Some(first.id.as_str()));
    }
    assert!(first.begun().is_empty());
}
