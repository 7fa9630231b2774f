//! Clauses of GFD.231 (DRMAA v2), over the wire.

use crate::{Clause, Test, World, PATIENCE};
use marbledeck_submission_client::{
    Client, ControlSummary, Error, ErrorId, Event, Filter, IndexRange, JobInfo, JobState,
    Operation, Settings, Targets, Template, WaitGoal,
};
use serde_json::Value;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// The error of what ought to fail.
fn error<T>(told: Result<T, Error>) -> ErrorId {
    match told {
        Ok(_) => panic!("it was not refused"),
        Err(error) => error
            .problem()
            .map(|p| p.error)
            .unwrap_or_else(|| panic!("{error}")),
    }
}

fn state(world: &World, job: &str) -> JobState {
    world.client.job_info(job).expect("known").job_state
}

fn done(world: &World, job: &str) -> JobInfo {
    world
        .client
        .wait_terminated(job, PATIENCE)
        .expect("it ends")
}

/// Whether the node declares this capability.
fn has(world: &World, capability: &str) -> bool {
    let told = world
        .client
        .request(Operation::GetCapabilities)
        .expect("told");
    told["capabilities"][capability]
        .as_bool()
        .expect("declared")
}

/// Not applicable where the capability is declared absent and the attribute is refused by name.
fn refused_by_name(world: &World, capability: Option<&str>, name: &str, value: Value) -> bool {
    if let Some(capability) = capability {
        assert!(!has(world, capability), "{capability} is declared");
    }
    let mut template = world.preview("/x");
    template.others.insert(name.to_owned(), value);
    let told = world.client.run_job(template, None);
    let words = told
        .as_ref()
        .err()
        .map(ToString::to_string)
        .unwrap_or_default();
    assert_eq!(error(told), ErrorId::UnsupportedAttribute);
    assert!(words.contains(name), "{words}");
    false
}

fn control(
    world: &World,
    op: fn(Targets) -> Operation,
    job: &str,
) -> Result<ControlSummary, Error> {
    world.client.control(op(Targets::job(job)))
}

fn hold(targets: Targets) -> Operation {
    Operation::Hold { targets }
}
fn release(targets: Targets) -> Operation {
    Operation::Release { targets }
}
fn terminate(targets: Targets) -> Operation {
    Operation::Terminate { targets }
}
fn suspend(targets: Targets) -> Operation {
    Operation::Suspend { targets }
}
fn resume(targets: Targets) -> Operation {
    Operation::Resume { targets }
}
fn reap(targets: Targets) -> Operation {
    Operation::Reap { targets }
}

fn session(world: &World, name: &str) {
    let name = name.to_owned();
    world
        .client
        .request(Operation::CreateSession { name })
        .expect("created");
}

fn bulk(
    world: &World,
    command: &str,
    count: i64,
    most: Option<u32>,
    session: Option<&str>,
) -> (String, Vec<String>) {
    let bulk = world.client.run_bulk(
        world.preview(command),
        IndexRange::new(1, count, 1),
        most,
        session,
    );
    let bulk = bulk.expect("taken");
    let ids = bulk
        .jobs
        .iter()
        .map(|job| job.result.as_ref().expect("accepted").job_id.clone());
    (bulk.arrays[0].clone(), ids.collect())
}

fn millis_from_now(ms: u64) -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.expect("after 1970").as_millis() as u64 + ms
}

/// Waits until it is so.
fn until(what: &str, is: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(30);
    while !is() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

fn clause(section: &'static str, expected: &'static str, test: Test) -> Clause {
    Clause {
        section,
        expected,
        test: Some(test),
    }
}

pub fn clauses() -> Vec<Clause> {
    vec![
        clause(
            "GFD.231, 4.4",
            "The parametric index is filled in for each job of a bulk",
            |w| {
                let (_, ids) = bulk(w, "/index/${PARAMETRIC_INDEX}", 3, None, None);
                let results: Vec<_> = ids.iter().map(|id| done(w, id).result.unwrap()).collect();
                assert_eq!(results, ["made /index/1", "made /index/2", "made /index/3"]);
                true
            },
        ),
        clause(
            "GFD.231, 4.5",
            "Every optional feature is declared present or absent",
            |w| {
                let optional = [
                    "ADVANCE_RESERVATION",
                    "RESERVE_SLOTS",
                    "CALLBACK",
                    "BULK_JOBS_MAXPARALLEL",
                    "JT_EMAIL",
                    "JT_STAGING",
                    "JT_DEADLINE",
                    "JT_MAXSLOTS",
                    "JT_ACCOUNTINGID",
                    "RT_STARTNOW",
                    "RT_DURATION",
                    "RT_MACHINEOS",
                    "RT_MACHINEARCH",
                ];
                // Each is told as one or the other, or this panics.
                let there = optional.iter().filter(|name| has(w, name)).count();
                assert_eq!(there, 4);
                true
            },
        ),
        clause("GFD.231, 5.1", "A queue has a name", |w| {
            let names: Vec<String> = w
                .client
                .queues()
                .unwrap()
                .into_iter()
                .map(|q| q.name)
                .collect();
            assert_eq!(names, ["preview", "sheet-publish"]);
            true
        }),
        clause(
            "GFD.231, 5.3",
            "A machine has a name, whether it is available, and its load as far as it is known",
            |w| {
                w.ended("/x");
                let machines = w.client.machines().unwrap();
                assert_eq!(machines.len(), 3);
                assert!(machines.iter().all(|m| m.available && !m.name.is_empty()));
                assert!(machines.iter().any(|m| m.free_slots.is_some()));
                true
            },
        ),
        clause(
            "GFD.231, 5.5",
            "The information of a job names its id, state, queue, owner's account and times",
            |w| {
                let info = w.client.job_info(&w.ended("/x")).unwrap();
                assert_eq!(
                    (info.queue_name.as_str(), info.accounting_id.as_deref()),
                    ("preview", Some("au"))
                );
                let (from, to) = (info.dispatch_time_ms.unwrap(), info.finish_time_ms.unwrap());
                assert!(info.submission_time_ms <= from && from <= to);
                assert!(info.machine.is_some());
                true
            },
        ),
        clause(
            "GFD.231, 5.5",
            "What is not known of a job is not told",
            |w| {
                let info = w.client.job_info(&w.held("/x", None)).unwrap();
                assert!(
                    info.dispatch_time_ms.is_none()
                        && info.finish_time_ms.is_none()
                        && info.machine.is_none()
                );
                true
            },
        ),
        clause(
            "GFD.231, 5.5",
            "Information of a job can be a filter; what is unset matches all",
            |w| {
                let template = Template {
                    job_name: Some("filtered".to_owned()),
                    ..w.preview("/x")
                };
                let job = w.client.run_job(template, None).unwrap().job_id;
                let mut found = Vec::new();
                let filter = Filter {
                    job_name: Some("filtered".to_owned()),
                    ..Filter::default()
                };
                w.client
                    .list_jobs(None, &filter, |info| found.push(info.job_id))
                    .unwrap();
                assert_eq!(found, [job]);
                true
            },
        ),
        clause(
            "GFD.231, 5.7",
            "A template without a command is refused",
            |w| {
                assert_eq!(
                    error(w.client.run_job(w.preview(""), None)),
                    ErrorId::InvalidArgument
                );
                true
            },
        ),
        clause("GFD.231, 5.7", "Arguments reach the job", |w| {
            let args = Some(vec!["42".to_owned(), "Simon says:".to_owned()]);
            let job = w
                .client
                .run_job(
                    Template {
                        args,
                        ..w.preview("/with-args")
                    },
                    None,
                )
                .unwrap();
            done(w, &job.job_id);
            let begun = w
                .lab
                .workers
                .iter()
                .flat_map(|worker| worker.started_jobs());
            let body = begun
                .into_iter()
                .find(|job| job.target == "/with-args")
                .unwrap()
                .body;
            assert_eq!(body, b"42\nSimon says:\n");
            true
        }),
        clause(
            "GFD.231, 5.7",
            "A job submitted as held does not run before it is released",
            |w| {
                let job = w.held("/held-one", None);
                assert_eq!(state(w, &job), JobState::QueuedHeld);
                control(w, release, &job).unwrap();
                assert_eq!(done(w, &job).job_state, JobState::Done);
                true
            },
        ),
        clause(
            "GFD.231, 5.7",
            "Whether a job may be rerun is honoured or refused by name",
            |w| {
                let no = Template {
                    rerunnable: Some(false),
                    ..w.preview("/x")
                };
                assert_eq!(
                    error(w.client.run_job(no, None)),
                    ErrorId::UnsupportedAttribute
                );
                let yes = Template {
                    rerunnable: Some(true),
                    ..w.preview("/x")
                };
                assert!(w.client.run_job(yes, None).is_ok());
                true
            },
        ),
        clause("GFD.231, 5.7", "An environment for the job", |w| {
            refused_by_name(w, None, "jobEnvironment", serde_json::json!({"A": "b"}))
        }),
        clause("GFD.231, 5.7", "A working directory for the job", |w| {
            refused_by_name(w, None, "workingDirectory", "/tmp".into())
        }),
        clause(
            "GFD.231, 5.7",
            "The job category names a configured class; another is refused",
            |w| {
                let wrong = Template {
                    job_category: "nonsense".to_owned(),
                    ..w.preview("/x")
                };
                assert_eq!(
                    error(w.client.run_job(wrong, None)),
                    ErrorId::InvalidArgument
                );
                true
            },
        ),
        clause(
            "GFD.231, 5.7",
            "E-mail addresses, and mails at the start and the end",
            |w| {
                refused_by_name(w, Some("JT_EMAIL"), "emailOnStarted", true.into());
                refused_by_name(w, Some("JT_EMAIL"), "email", serde_json::json!(["a@b"]))
            },
        ),
        clause("GFD.231, 5.7", "A job name is shown with the job", |w| {
            let template = Template {
                job_name: Some("reel 12".to_owned()),
                ..w.preview("/x")
            };
            let job = w.client.run_job(template, None).unwrap();
            assert_eq!(
                w.client.job_info(&job.job_id).unwrap().job_name.as_deref(),
                Some("reel 12")
            );
            true
        }),
        clause(
            "GFD.231, 5.7",
            "Paths for standard input, output and error",
            |w| refused_by_name(w, None, "outputPath", "/tmp/x".into()),
        ),
        clause("GFD.231, 5.7", "Output and error may be joined", |w| {
            refused_by_name(w, None, "joinFiles", true.into())
        }),
        clause(
            "GFD.231, 5.7",
            "A job may run in an advance reservation",
            |w| refused_by_name(w, Some("ADVANCE_RESERVATION"), "reservationId", "r".into()),
        ),
        clause("GFD.231, 5.7", "The queue can be asked for by name", |w| {
            let template = Template {
                job_category: String::new(),
                queue_name: Some("preview".to_owned()),
                ..w.preview("/x")
            };
            let job = w.client.run_job(template, None).unwrap();
            assert_eq!(done(w, &job.job_id).queue_name, "preview");
            true
        }),
        clause(
            "GFD.231, 5.7",
            "The least number of slots can be asked for; no number is refused",
            |w| {
                let two = Template {
                    min_slots: Some(2.0),
                    ..w.preview("/x")
                };
                assert!(w.client.run_job(two, None).is_ok());
                let wrong = Template {
                    min_slots: Some(-1.0),
                    ..w.preview("/x")
                };
                assert_eq!(
                    error(w.client.run_job(wrong, None)),
                    ErrorId::InvalidArgument
                );
                true
            },
        ),
        clause(
            "GFD.231, 5.7",
            "The greatest number of slots can be asked for",
            |w| refused_by_name(w, Some("JT_MAXSLOTS"), "maxSlots", 4.into()),
        ),
        clause("GFD.231, 5.7", "A priority can be asked for", |w| {
            refused_by_name(w, None, "priority", 1.into())
        }),
        clause(
            "GFD.231, 5.7",
            "Candidate machines, operating system, architecture and memory",
            |w| {
                refused_by_name(w, None, "candidateMachines", serde_json::json!(["w1"]));
                refused_by_name(w, None, "minPhysMemory", 1024.into());
                refused_by_name(w, None, "machineOS", "LINUX".into());
                refused_by_name(w, None, "machineArch", "X64".into())
            },
        ),
        clause(
            "GFD.231, 5.7",
            "A job with a start time does not run before it",
            |w| {
                let at = millis_from_now(400);
                let template = Template {
                    start_time: Some(at),
                    ..w.preview("/x")
                };
                let job = w.client.run_job(template, None).unwrap();
                assert_eq!(job.job_state, JobState::QueuedHeld);
                assert!(done(w, &job.job_id).dispatch_time_ms.unwrap() >= at);
                true
            },
        ),
        clause(
            "GFD.231, 5.7",
            "A job that has not ended by its deadline is ended",
            |w| {
                assert!(has(w, "JT_DEADLINE"));
                let template = Template {
                    deadline_time: Some(millis_from_now(300)),
                    ..w.preview("/slow-deadline")
                };
                let job = w.client.run_job(template, None).unwrap();
                let info = done(w, &job.job_id);
                assert_eq!(info.job_state, JobState::Failed);
                let over = Template {
                    deadline_time: Some(1),
                    ..w.preview("/x")
                };
                assert_eq!(
                    error(w.client.run_job(over, None)),
                    ErrorId::InvalidArgument
                );
                true
            },
        ),
        clause("GFD.231, 5.7", "Files are staged in and out", |w| {
            refused_by_name(
                w,
                Some("JT_STAGING"),
                "stageInFiles",
                serde_json::json!({"a": "b"}),
            )
        }),
        clause("GFD.231, 5.7", "Limits of resources", |w| {
            refused_by_name(
                w,
                None,
                "resourceLimits",
                serde_json::json!({"CPU_TIME": "1"}),
            )
        }),
        clause(
            "GFD.231, 5.7",
            "An account that the job is booked to; one that is not known is refused",
            |w| {
                assert!(has(w, "JT_ACCOUNTINGID"));
                let wrong = Template {
                    accounting_id: Some("nobody".to_owned()),
                    ..w.preview("/x")
                };
                assert_eq!(
                    error(w.client.run_job(wrong, None)),
                    ErrorId::InvalidArgument
                );
                true
            },
        ),
        clause(
            "GFD.231, 5.9",
            "The attributes that are supported, and those that are not, can be asked for",
            |w| {
                let told = w.client.request(Operation::GetCapabilities).unwrap();
                let list = |name: &str| told[name].as_array().unwrap().clone();
                assert!(list("jobTemplateAttributes").contains(&"remoteCommand".into()));
                assert!(list("unsupportedAttributes").contains(&"email".into()));
                assert!(list("jobInfoAttributes").contains(&"jobId".into()));
                true
            },
        ),
        clause(
            "GFD.231, 6",
            "An argument that makes no sense is INVALID_ARGUMENT and names it",
            |w| {
                let mut template = w.preview("/x");
                template.others.insert("colour".to_owned(), "red".into());
                let told = w.client.run_job(template, None);
                assert!(told.as_ref().unwrap_err().to_string().contains("colour"));
                assert_eq!(error(told), ErrorId::InvalidArgument);
                true
            },
        ),
        clause("GFD.231, 6", "What cannot be done now is TRY_LATER", |w| {
            // As many sessions as one submitter may have open, and one more.
            let create = |n: usize| {
                w.client.request(Operation::CreateSession {
                    name: format!("many-{n}"),
                })
            };
            let refused = (0..100)
                .map(|n| (n, create(n)))
                .find(|(_, told)| told.is_err());
            let (made, told) = refused.expect("sessions are bounded");
            let again = told
                .as_ref()
                .unwrap_err()
                .problem()
                .and_then(|p| p.retry_after_ms);
            (0..made).for_each(|n| w.client.destroy_session(&format!("many-{n}")).unwrap());
            assert_eq!(error(told), ErrorId::TryLater);
            assert!(made > 0 && again.is_some_and(|ms| ms > 0));
            true
        }),
        clause(
            "GFD.231, 6",
            "A bulk beyond what is taken at once is INVALID_ARGUMENT and names the bound",
            |w| {
                let much = w.client.run_bulk(
                    w.preview("/x"),
                    IndexRange::new(1, 1_000_000, 1),
                    None,
                    None,
                );
                assert!(much.as_ref().unwrap_err().to_string().contains("at most"));
                assert_eq!(error(much), ErrorId::InvalidArgument);
                true
            },
        ),
        clause(
            "GFD.231, 7.1",
            "A session is created by name; the same name again is INVALID_ARGUMENT",
            |w| {
                session(w, "c1");
                let again = w.client.request(Operation::CreateSession {
                    name: "c1".to_owned(),
                });
                assert_eq!(error(again), ErrorId::InvalidArgument);
                true
            },
        ),
        clause(
            "GFD.231, 7.1",
            "A session can be opened again, also after the connection that made it has ended",
            |w| {
                let first = Client::new(Settings::new(w.lab.submission_address.clone()));
                first
                    .request(Operation::CreateSession {
                        name: "c2".to_owned(),
                    })
                    .unwrap();
                first.close();
                w.client
                    .request(Operation::OpenSession {
                        name: "c2".to_owned(),
                        since: None,
                    })
                    .unwrap();
                true
            },
        ),
        clause(
            "GFD.231, 7.1",
            "A session that does not exist cannot be opened",
            |w| {
                let told = w.client.request(Operation::OpenSession {
                    name: "none".to_owned(),
                    since: None,
                });
                assert_eq!(error(told), ErrorId::InvalidSession);
                true
            },
        ),
        clause(
            "GFD.231, 7.1",
            "A closed session can be opened again; closing one that is not open is INVALID_SESSION",
            |w| {
                session(w, "c3");
                let name = || "c3".to_owned();
                w.client
                    .request(Operation::CloseSession { name: name() })
                    .unwrap();
                assert_eq!(
                    error(w.client.request(Operation::CloseSession { name: name() })),
                    ErrorId::InvalidSession
                );
                w.client
                    .request(Operation::OpenSession {
                        name: name(),
                        since: None,
                    })
                    .unwrap();
                true
            },
        ),
        clause(
            "GFD.231, 7.1",
            "A destroyed session is gone; its jobs go on",
            |w| {
                session(w, "c4");
                let job = w.held("/x", Some("c4"));
                w.client.destroy_session("c4").unwrap();
                assert_eq!(
                    error(w.client.destroy_session("c4")),
                    ErrorId::InvalidSession
                );
                control(w, release, &job).unwrap();
                assert_eq!(done(w, &job).job_state, JobState::Done);
                true
            },
        ),
        clause(
            "GFD.231, 7.1",
            "The names of the sessions can be listed",
            |w| {
                session(w, "c5");
                assert!(w.client.sessions().unwrap().contains(&"c5".to_owned()));
                true
            },
        ),
        clause(
            "GFD.231, 7.1",
            "The system tells its name and version",
            |w| {
                let info = w.client.request(Operation::GetDrmsInfo).unwrap();
                assert_eq!(info["drmsName"], "marbledeck");
                assert!(info["drmsVersion"].is_string());
                true
            },
        ),
        clause("GFD.231, 7.1", "Sessions for reservations", |w| {
            assert!(!has(w, "ADVANCE_RESERVATION"));
            assert_eq!(
                error(w.client.request(Operation::GetAllReservations)),
                ErrorId::UnsupportedOperation
            );
            false
        }),
        clause(
            "GFD.231, 8.1",
            "QUEUED_HELD, QUEUED, RUNNING and DONE follow each other",
            |w| {
                session(w, "c6");
                let job = w.held("/x", Some("c6"));
                control(w, release, &job).unwrap();
                done(w, &job);
                assert_eq!(
                    history(w, "c6", 4),
                    [
                        JobState::QueuedHeld,
                        JobState::Queued,
                        JobState::Running,
                        JobState::Done
                    ]
                );
                true
            },
        ),
        clause(
            "GFD.231, 8.1",
            "A job that comes back from its machine is REQUEUED, and runs again",
            |w| {
                session(w, "c7");
                let first = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true));
                for worker in &w.lab.workers {
                    let first = first.clone();
                    worker.set_behaviour(move |job| {
                        let ms = Duration::from_millis;
                        let again = job.target == "/returned"
                            && first.swap(false, std::sync::atomic::Ordering::SeqCst);
                        match job.target.as_str() {
                            _ if again => marbledeck_test_support::JobBehaviour::HandBack(ms(5)),
                            t if t.starts_with("/slow") => {
                                marbledeck_test_support::JobBehaviour::Serve(
                                    ms(4000),
                                    "late".to_owned(),
                                )
                            }
                            t if t.starts_with("/fail") => {
                                marbledeck_test_support::JobBehaviour::Fail(ms(5))
                            }
                            t => marbledeck_test_support::JobBehaviour::Serve(
                                ms(5),
                                format!("made {t}"),
                            ),
                        }
                    });
                }
                let job = w
                    .client
                    .run_job(w.preview("/returned"), Some("c7"))
                    .unwrap();
                assert_eq!(done(w, &job.job_id).job_state, JobState::Done);
                use JobState::{Done, Queued, Requeued, Running};
                assert_eq!(
                    history(w, "c7", 5),
                    [Queued, Running, Requeued, Running, Done]
                );
                true
            },
        ),
        clause(
            "GFD.231, 8.1",
            "A job that cannot be finished is FAILED, with the reason in its sub-state",
            |w| {
                let template = Template {
                    job_category: "sheet-publish".to_owned(),
                    ..w.preview("/fail")
                };
                let job = w.client.run_job(template, None).unwrap();
                let info = done(w, &job.job_id);
                assert_eq!(
                    (info.job_state, info.job_sub_state.as_deref()),
                    (JobState::Failed, Some("failed"))
                );
                true
            },
        ),
        clause("GFD.231, 8.1", "A final state is never left", |w| {
            let job = w.ended("/x");
            for op in [hold, release, terminate, suspend, resume] {
                assert_eq!(error(control(w, op, &job)), ErrorId::InvalidState);
            }
            assert_eq!(state(w, &job), JobState::Done);
            true
        }),
        clause(
            "GFD.231, 8.2",
            "A session tells of its jobs, and only of those",
            |w| {
                session(w, "c8");
                let own = w.held("/x", Some("c8"));
                w.held("/x", None);
                let mut found = Vec::new();
                w.client
                    .list_jobs(Some("c8"), &Filter::default(), |info| {
                        found.push(info.job_id)
                    })
                    .unwrap();
                assert_eq!(found, [own]);
                true
            },
        ),
        clause(
            "GFD.231, 8.2",
            "A job array is found by its id; one that is not known is INVALID_ARGUMENT",
            |w| {
                let (array, _) = bulk(w, "/x", 3, None, None);
                assert_eq!(w.client.job_array(&array).unwrap().jobs, 3);
                assert_eq!(error(w.client.job_array("none")), ErrorId::InvalidArgument);
                true
            },
        ),
        clause(
            "GFD.231, 8.2",
            "A job that was run is known by its id until it is reaped",
            |w| {
                let job = w.ended("/x");
                assert!(w.client.job_info(&job).is_ok());
                control(w, reap, &job).unwrap();
                assert_eq!(error(w.client.job_info(&job)), ErrorId::InvalidArgument);
                true
            },
        ),
        clause(
            "GFD.231, 8.2",
            "A bulk is an array of jobs, one for each index from the first to the last",
            |w| {
                let told = w
                    .client
                    .run_bulk(w.preview("/x"), IndexRange::new(10, 4, -3), None, None)
                    .unwrap();
                let indices: Vec<i64> = told.jobs.iter().map(|job| job.index).collect();
                assert_eq!(indices, [10, 7, 4]);
                true
            },
        ),
        clause(
            "GFD.231, 8.2",
            "Indices that name no job are INVALID_ARGUMENT",
            |w| {
                for (begin, end, step) in [(3, 1, 1), (1, 3, 0), (1, 3, -1)] {
                    let indices = IndexRange::new(begin, end, step);
                    let told = w.client.run_bulk(w.preview("/x"), indices, None, None);
                    assert_eq!(error(told), ErrorId::InvalidArgument);
                }
                true
            },
        ),
        clause(
            "GFD.231, 8.2",
            "No more members of a bulk run at a time than it says",
            |w| {
                assert!(has(w, "BULK_JOBS_MAXPARALLEL"));
                let (array, ids) = bulk(w, "/bound", 30, Some(2), None);
                let mut most = 0;
                until("all ended", || {
                    let info = w.client.job_array(&array).unwrap();
                    assert!(info.active <= 2, "{} active", info.active);
                    info.ended == ids.len()
                });
                for worker in &w.lab.workers {
                    most = most.max(
                        worker
                            .started_jobs()
                            .iter()
                            .filter(|job| job.target == "/bound")
                            .count(),
                    );
                }
                assert!(most > 0);
                true
            },
        ),
        clause(
            "GFD.231, 8.2",
            "waitAnyStarted gives a job of the list that runs or has ended",
            |w| {
                let held = w.held("/x", None);
                let running = w.running();
                let targets = Targets {
                    job_ids: Some(vec![held, running.clone()]),
                    ..Targets::default()
                };
                assert_eq!(
                    w.client
                        .wait_any(&targets, WaitGoal::Started, PATIENCE)
                        .unwrap()
                        .job_id,
                    running
                );
                true
            },
        ),
        clause(
            "GFD.231, 8.2",
            "waitAnyTerminated gives a job of the list that has ended",
            |w| {
                let (held, ended) = (w.held("/x", None), w.ended("/x"));
                let targets = Targets {
                    job_ids: Some(vec![held, ended.clone()]),
                    ..Targets::default()
                };
                assert_eq!(
                    w.client
                        .wait_any(&targets, WaitGoal::Terminated, PATIENCE)
                        .unwrap()
                        .job_id,
                    ended
                );
                true
            },
        ),
        clause(
            "GFD.231, 8.2",
            "A wait for any of a list with an unknown job, or none, is INVALID_ARGUMENT",
            |w| {
                for ids in [vec!["none".to_owned()], vec![]] {
                    let targets = Targets {
                        job_ids: Some(ids),
                        ..Targets::default()
                    };
                    assert_eq!(
                        error(w.client.wait_any(&targets, WaitGoal::Terminated, PATIENCE)),
                        ErrorId::InvalidArgument
                    );
                }
                true
            },
        ),
        clause(
            "GFD.231, 8.3",
            "Every new state is told to who has the session open",
            |w| {
                assert!(has(w, "CALLBACK"));
                let (sender, events) = channel();
                let tell = move |event: Event| drop(sender.send(event));
                let reader = Client::with_events(
                    Settings::new(w.lab.submission_address.clone()),
                    Box::new(tell),
                );
                reader.create_or_open_session("c9", None).unwrap();
                let job = w.client.run_job(w.preview("/x"), Some("c9")).unwrap();
                let mut states = Vec::new();
                while states.last() != Some(&JobState::Done) {
                    match events.recv_timeout(Duration::from_secs(30)).unwrap() {
                        Event::NewState {
                            job_id, job_state, ..
                        } => {
                            assert_eq!(job_id, job.job_id);
                            states.push(job_state);
                        }
                        gap => panic!("{gap:?}"),
                    }
                }
                assert_eq!(
                    states,
                    [JobState::Queued, JobState::Running, JobState::Done]
                );
                true
            },
        ),
        clause(
            "GFD.231, 8.3",
            "States that were missed are told later, or named as missed",
            |w| {
                session(w, "c10");
                let (_, ids) = bulk(w, "/x", 40, Some(4), Some("c10"));
                ids.iter().for_each(|id| drop(done(w, id)));
                let (sender, events) = channel();
                let tell = move |event: Event| drop(sender.send(event));
                let reader = Client::with_events(
                    Settings::new(w.lab.submission_address.clone()),
                    Box::new(tell),
                );
                let last = reader.open_session("c10", Some(0)).unwrap();
                let Event::Gap { from, to, .. } =
                    events.recv_timeout(Duration::from_secs(30)).unwrap()
                else {
                    panic!("the history is shorter than what has happened");
                };
                assert_eq!((from, to), (1, last - 64));
                for number in to + 1..=last {
                    let event = events.recv_timeout(Duration::from_secs(30)).unwrap();
                    let Event::NewState { number: told, .. } = event else {
                        panic!("{event:?}");
                    };
                    assert_eq!(told, Some(number));
                }
                true
            },
        ),
        clause(
            "GFD.231, 8.4",
            "suspend brings a running job to a halt",
            |w| {
                assert!(!has(w, "SUSPEND"));
                assert_eq!(
                    error(control(w, suspend, &w.running())),
                    ErrorId::UnsupportedOperation
                );
                false
            },
        ),
        clause(
            "GFD.231, 8.4",
            "suspend of a job that does not run is INVALID_STATE",
            |w| {
                assert_eq!(
                    error(control(w, suspend, &w.held("/x", None))),
                    ErrorId::InvalidState
                );
                true
            },
        ),
        clause(
            "GFD.231, 8.4",
            "resume of a job that is not suspended is INVALID_STATE",
            |w| {
                assert_eq!(
                    error(control(w, resume, &w.running())),
                    ErrorId::InvalidState
                );
                true
            },
        ),
        clause(
            "GFD.231, 8.4",
            "hold keeps a queued job from running",
            |w| {
                assert!(has(w, "HOLD_QUEUED"));
                let (_, ids) = bulk(w, "/slow", 2, Some(1), None);
                w.client.wait_started(&ids[0], PATIENCE).unwrap();
                control(w, hold, &ids[1]).unwrap();
                control(w, terminate, &ids[0]).unwrap();
                assert_eq!(state(w, &ids[1]), JobState::QueuedHeld);
                true
            },
        ),
        clause(
            "GFD.231, 8.4",
            "hold of a job that a machine has, or that is held, is INVALID_STATE",
            |w| {
                assert!(!has(w, "HOLD_SENT"));
                assert_eq!(error(control(w, hold, &w.running())), ErrorId::InvalidState);
                assert_eq!(
                    error(control(w, hold, &w.held("/x", None))),
                    ErrorId::InvalidState
                );
                true
            },
        ),
        clause(
            "GFD.231, 8.4",
            "release of a job that is not held is INVALID_STATE",
            |w| {
                assert_eq!(
                    error(control(w, release, &w.running())),
                    ErrorId::InvalidState
                );
                true
            },
        ),
        clause(
            "GFD.231, 8.4",
            "terminate ends a job in every state that is not final",
            |w| {
                for job in [w.held("/x", None), w.running()] {
                    control(w, terminate, &job).unwrap();
                    let info = w.client.job_info(&job).unwrap();
                    assert_eq!(
                        (info.job_state, info.job_sub_state.as_deref()),
                        (JobState::Failed, Some("terminated"))
                    );
                }
                true
            },
        ),
        clause(
            "GFD.231, 8.4",
            "reap of a job that has not ended is INVALID_STATE",
            |w| {
                assert_eq!(
                    error(control(w, reap, &w.held("/x", None))),
                    ErrorId::InvalidState
                );
                true
            },
        ),
        clause(
            "GFD.231, 8.4",
            "The state can be asked for at any time",
            |w| {
                assert_eq!(state(w, &w.running()), JobState::Running);
                true
            },
        ),
        clause(
            "GFD.231, 8.4",
            "waitStarted returns once the job runs, and at once for one that has ended",
            |w| {
                let job = w.ended("/x");
                assert_eq!(
                    w.client.wait_started(&job, PATIENCE).unwrap().job_state,
                    JobState::Done
                );
                assert_eq!(state(w, &w.running()), JobState::Running);
                true
            },
        ),
        clause(
            "GFD.231, 8.4",
            "A wait that takes too long is TIMEOUT, and the job goes on",
            |w| {
                let job = w.held("/x", None);
                for timeout in [0, 20] {
                    let told = w
                        .client
                        .wait_terminated(&job, Some(Duration::from_millis(timeout)));
                    assert_eq!(error(told), ErrorId::Timeout);
                }
                assert_eq!(state(w, &job), JobState::QueuedHeld);
                true
            },
        ),
        clause(
            "GFD.231, 8.4",
            "waitTerminated of many waiters on one job ends for each of them",
            |w| {
                let job = w.held("/x", None);
                let wait = || {
                    let (at, id) = (w.lab.submission_address.clone(), job.clone());
                    std::thread::spawn(move || {
                        let client = Client::new(Settings::new(at));
                        client
                            .wait_terminated(&id, PATIENCE)
                            .map(|info| info.job_state)
                    })
                };
                let waits: Vec<_> = (0..8).map(|_| wait()).collect();
                control(w, release, &job).unwrap();
                for wait in waits {
                    assert_eq!(wait.join().unwrap().unwrap(), JobState::Done);
                }
                true
            },
        ),
        clause(
            "GFD.231, 8.5",
            "An array tells its jobs, its session and its bound",
            |w| {
                session(w, "c11");
                let (array, _) = bulk(w, "/x", 5, Some(3), Some("c11"));
                let info = w.client.job_array(&array).unwrap();
                assert_eq!(
                    (info.jobs, info.max_parallel, info.session.as_deref()),
                    (5, Some(3), Some("c11"))
                );
                true
            },
        ),
        clause(
            "GFD.231, 8.5",
            "hold and release act on all members that they can act on",
            |w| {
                let template = Template {
                    submit_as_hold: true,
                    ..w.preview("/x")
                };
                let told = w
                    .client
                    .run_bulk(template, IndexRange::new(1, 5, 1), None, None)
                    .unwrap();
                let targets = || Targets::array(told.arrays[0].clone());
                assert_eq!(
                    error(w.client.control(hold(targets()))),
                    ErrorId::InvalidState
                );
                assert_eq!(
                    w.client.control(release(targets())).unwrap(),
                    ControlSummary {
                        changed: 5,
                        rejected: 0
                    }
                );
                true
            },
        ),
        clause(
            "GFD.231, 8.5",
            "terminate ends all members, and none is started by it",
            |w| {
                let (array, ids) = bulk(w, "/slow-array", 20, Some(2), None);
                w.client
                    .wait_any(&Targets::array(array.clone()), WaitGoal::Started, PATIENCE)
                    .unwrap();
                w.client
                    .control(terminate(Targets::array(array.clone())))
                    .unwrap();
                assert!(ids.iter().all(|id| state(w, id) == JobState::Failed));
                let begun = w
                    .lab
                    .workers
                    .iter()
                    .flat_map(|worker| worker.started_jobs());
                assert!(begun.filter(|job| job.target == "/slow-array").count() <= 2);
                true
            },
        ),
        clause(
            "GFD.231, 8.5",
            "reap forgets all members, and the array with them",
            |w| {
                let (array, ids) = bulk(w, "/x", 4, None, None);
                ids.iter().for_each(|id| drop(done(w, id)));
                assert_eq!(
                    w.client
                        .control(reap(Targets::array(array.clone())))
                        .unwrap(),
                    ControlSummary {
                        changed: 4,
                        rejected: 0
                    }
                );
                assert_eq!(error(w.client.job_array(&array)), ErrorId::InvalidArgument);
                true
            },
        ),
        clause("GFD.231, 9.1", "Reservations can be made and ended", |w| {
            assert!(!has(w, "ADVANCE_RESERVATION") && !has(w, "RESERVE_SLOTS"));
            false
        }),
        clause(
            "GFD.231, 10.1",
            "Monitoring shows the jobs of all sessions",
            |w| {
                session(w, "c12");
                let (own, other) = (w.held("/x", Some("c12")), w.held("/x", None));
                let mut found = Vec::new();
                let states = Some(vec![JobState::QueuedHeld]);
                let filter = Filter {
                    job_states: states,
                    ..Filter::default()
                };
                w.client
                    .list_jobs(None, &filter, |info| found.push(info.job_id))
                    .unwrap();
                assert!(found.contains(&own) && found.contains(&other));
                true
            },
        ),
        clause(
            "GFD.231, 10.1",
            "Monitoring shows all queues, or those that are named",
            |w| {
                let names = Some(vec!["preview".to_owned(), "none".to_owned()]);
                let told = w.client.request(Operation::GetAllQueues { names }).unwrap();
                assert_eq!(told["queues"].as_array().unwrap().len(), 1);
                true
            },
        ),
        clause(
            "GFD.231, 10.1",
            "Monitoring shows all machines, or those that are named, and which take no jobs",
            |w| {
                let names = Some(vec!["w2".to_owned()]);
                let told = w
                    .client
                    .request(Operation::GetAllMachines { names })
                    .unwrap();
                assert_eq!(told["machines"].as_array().unwrap().len(), 1);
                assert_eq!(
                    w.lab.call_admin("set-down w3").as_deref(),
                    Some("ACK w3 out")
                );
                let out = w
                    .client
                    .machines()
                    .unwrap()
                    .into_iter()
                    .find(|m| m.name == "w3")
                    .unwrap();
                w.lab.call_admin("set-up w3");
                assert!(!out.available && out.state == "out");
                true
            },
        ),
        clause("GFD.231, 10.1", "Monitoring shows reservations", |w| {
            assert!(!has(w, "ADVANCE_RESERVATION"));
            assert_eq!(
                error(w.client.request(Operation::GetAllReservations)),
                ErrorId::UnsupportedOperation
            );
            false
        }),
    ]
}

/// The first states that a session's events tell.
fn history(world: &World, name: &str, count: usize) -> Vec<JobState> {
    let (sender, events) = channel();
    let tell = move |event: Event| drop(sender.send(event));
    let reader = Client::with_events(
        Settings::new(world.lab.submission_address.clone()),
        Box::new(tell),
    );
    reader.open_session(name, Some(0)).unwrap();
    let next = || match events.recv_timeout(Duration::from_secs(30)).unwrap() {
        Event::NewState { job_state, .. } => job_state,
        gap => panic!("{gap:?}"),
    };
    (0..count).map(|_| next()).collect()
}
