//! Tests how the core reserves licence seats for attempts, without any socket.

use marbledeck_dispatcher::{Micros, Outcome, WorkerEntry, WorkerId, WorkerListKind};
use marbledeck_licensing::{ConfirmedSeats, SeatAllocation};
use marbledeck_node::config::LicensingConfig;
use marbledeck_node::core::licensing::Licensing;
use marbledeck_node::core::{
    AttemptCommand, AttemptEnd, Command, Core, FinalAnswer, NameRegistry, NewRequest, Payload,
    RequestError,
};
use marbledeck_platform_settings::PlatformSettings;
use rstest::rstest;

/// The longest run of an attempt, after which a seat of an attempt with an unknown end is free again.
const LONGEST_RUN: Micros = Micros(2_000_000);

/// A core with three workers that holds one seat of av1 and two of aac until its lease ends after ten seconds.
fn core() -> Core {
    let platform: PlatformSettings = serde_json::from_str(
        r#"{"balancers":1,"self-index":0,"zone":0,"localities":["east"],"kinds":["std"],"registry-mode":"automatic",
        "stats":{"how":"piggyback"},"bounds":{"may-cancel":true,"try-limit":3},
        "family-info":{"report-x0":"free slots","tells-start":true},"rules":{},
        "profiles":[{"name":"preview","effect":"safe","promise-us":250000,"deadline-us":7500000},
        {"name":"encode","effect":"safe","promise-us":250000,"deadline-us":7500000}]}"#,
    )
    .expect("settings");
    let settings = platform.dispatcher_settings().expect("settings that fit");
    let names = NameRegistry::new(&platform, &settings);
    let mut core = Core::new(settings, names, 7, Micros(0)).expect("a core");
    let entry = |id| WorkerEntry {
        worker: WorkerId(id),
        ..WorkerEntry::default()
    };
    core.apply_worker_list(Micros(0), WorkerListKind::Full, (0..3).map(entry).collect());
    let config = LicensingConfig {
        licences: vec!["av1".into(), "aac".into()],
        classes: [("encode".to_owned(), vec!["av1".to_owned()])].into(),
        idle: Micros(60_000_000),
    };
    let mut licensing = Licensing::new(config, core.names()).expect("the classes are known");
    let allocation = |pool: &str, seats| SeatAllocation {
        pool: pool.into(),
        tenant: String::new(),
        seats,
        recalled: 0,
    };
    licensing.allocator.apply_confirmed(&ConfirmedSeats {
        free_seats: Vec::new(),
        lease_expiry: Micros(10_000_000),
        last_applied_command: 0,
        allocations: vec![allocation("av1", 1), allocation("aac", 2)],
        pools: vec![("av1".into(), LONGEST_RUN), ("aac".into(), LONGEST_RUN)],
    });
    core.licensing = Some(licensing);
    core
}

fn submit(
    core: &mut Core,
    now: u64,
    transaction_id: &str,
    class: &str,
    licences: Vec<&str>,
) -> Result<(), RequestError> {
    let request = NewRequest {
        class,
        time_left: Micros(1_000_000),
        licences,
        payload: Payload {
            transaction_id: transaction_id.into(),
            ..Payload::default()
        },
        ..NewRequest::default()
    };
    core.accept_request(Micros(now), request).map(drop)
}

/// Drains the core's commands. Returns the last started attempt and the last answer among them.
fn drain_commands(core: &mut Core) -> (Option<AttemptCommand>, Option<FinalAnswer>) {
    let (mut attempt, mut last_answer) = (None, None);
    while let Some(command) = core.next_command() {
        match command {
            Command::StartAttempt(command) => attempt = Some(command),
            Command::Answer { answer, .. } => last_answer = Some(answer),
            _ => {}
        }
    }
    (attempt, last_answer)
}

/// An attempt's end frees its seat only if the worker is known to have ended the attempt.
#[rstest]
#[case(Outcome::Served, true)]
#[case(Outcome::Failed, true)]
#[case(Outcome::Rejected, true)]
#[case(Outcome::ConnectFailed, true)]
#[case(Outcome::Reset, false)]
fn an_attempt_frees_its_seat_when_its_worker_has_ended_it(
    #[case] outcome: Outcome,
    #[case] ended_at_worker: bool,
) {
    let mut core = core();
    submit(&mut core, 0, "a", "encode", vec![]).expect("a seat is free");
    let (attempt, _) = drain_commands(&mut core);
    let attempt = attempt.expect("an attempt is started");
    assert!(matches!(
        submit(&mut core, 1, "b", "encode", vec![]),
        Err(RequestError::NoSeat(_))
    ));
    let result = (outcome == Outcome::Served).then(|| b"done".to_vec());
    core.handle_attempt_ended(
        Micros(100_000),
        attempt.request,
        attempt.attempt,
        AttemptEnd {
            result,
            ..AttemptEnd::new(outcome)
        },
    );
    let (retry, answer) = drain_commands(&mut core);
    // A retry needs a seat of its own, and none is free while the first attempt may still run.
    assert_eq!(
        retry.is_some(),
        ended_at_worker && outcome != Outcome::Served,
        "{outcome:?} {answer:?}"
    );
    if !ended_at_worker {
        assert!(
            matches!(answer, Some(FinalAnswer::Rejected(_))),
            "{answer:?}"
        );
        assert!(submit(&mut core, LONGEST_RUN.0 - 1, "c", "encode", vec![]).is_err());
        assert!(submit(&mut core, LONGEST_RUN.0, "d", "encode", vec![]).is_ok());
    }
}

/// An attempt that has timed out, or whose client has left, keeps its seat, since a cancel does not stop the work.
#[rstest]
#[case(true)]
#[case(false)]
fn an_abandoned_attempt_holds_its_seat(#[case] timed_out: bool) {
    let mut core = core();
    submit(&mut core, 0, "a", "encode", vec![]).expect("a seat is free");
    let attempt = drain_commands(&mut core).0.expect("an attempt is started");
    if timed_out {
        core.wake(Micros(1_000_000));
    } else {
        core.handle_client_left(Micros(1_000_000), attempt.request);
    }
    assert!(submit(&mut core, 1_500_000, "b", "encode", vec![]).is_err());
    // An attempt whose end is still to be reported keeps its seat until then.
    let free = submit(&mut core, LONGEST_RUN.0, "c", "encode", vec![]).is_ok();
    assert_eq!(free, timed_out);
}

#[test]
fn a_job_gets_all_of_its_licences_or_none() {
    let mut core = core();
    assert_eq!(
        submit(&mut core, 0, "x", "preview", vec!["prores"]),
        Err(RequestError::UnknownLicence("prores".into()))
    );
    submit(&mut core, 0, "a", "preview", vec!["aac", "av1"]).expect("both seats are free");
    assert!(drain_commands(&mut core).0.is_some());
    assert!(matches!(
        submit(&mut core, 0, "b", "preview", vec!["av1"]),
        Err(RequestError::NoSeat(_))
    ));
    submit(&mut core, 0, "c", "preview", vec!["aac"]).expect("the second seat is free");
    assert!(drain_commands(&mut core).0.is_some());
    // Jobs that need no seat are accepted also after the lease has expired.
    submit(&mut core, 0, "d", "preview", vec![]).expect("it needs no seat");
    assert!(submit(&mut core, 10_000_000, "e", "preview", vec!["aac"]).is_err());
    submit(&mut core, 10_000_000, "f", "preview", vec![]).expect("it needs no seat");
}
