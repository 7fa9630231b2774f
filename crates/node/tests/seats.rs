//! Seats as the core takes them for calls, without any socket.

use marbledeck_dispatcher::{Micros, Outcome, WorkerEntry, WorkerId, WorkerListKind};
use marbledeck_licensing::{ConfirmedSeats, SeatAllocation};
use marbledeck_node::config::SeatsConfig;
use marbledeck_node::core::licensing::Licensing;
use marbledeck_node::core::{
    Catalogue, Command, Core, InvokerCall, Malformed, Order, Verdict, Work,
};
use marbledeck_platform_settings::PlatformSettings;
use rstest::rstest;

const RUN: Micros = Micros(2_000_000);

/// A core before three workers, whose fleet has given it one seat of av1 and two of aac until ten seconds.
fn core() -> Core {
    let facts: PlatformSettings = serde_json::from_str(
        r#"{"balancers":1,"self-index":0,"zone":0,"localities":["east"],"kinds":["std"],"registry-mode":"automatic",
        "stats":{"how":"piggyback"},"bounds":{"may-cancel":true,"try-limit":3},
        "family-info":{"report-x0":"free slots","tells-start":true},"rules":{},
        "profiles":[{"name":"preview","effect":"safe","promise-us":250000,"deadline-us":7500000},
        {"name":"encode","effect":"safe","promise-us":250000,"deadline-us":7500000}]}"#,
    )
    .expect("settings");
    let settings = facts.dispatcher_settings().expect("settings that fit");
    let catalogue = Catalogue::new(&facts, &settings);
    let mut core = Core::new(settings, catalogue, 7, Micros(0)).expect("a core");
    let entry = |id| WorkerEntry {
        worker: WorkerId(id),
        ..WorkerEntry::default()
    };
    core.listed(Micros(0), WorkerListKind::Full, (0..3).map(entry).collect());
    let config = SeatsConfig {
        licences: vec!["av1".into(), "aac".into()],
        classes: [("encode".to_owned(), vec!["av1".to_owned()])].into(),
        idle: Micros(60_000_000),
    };
    let mut licensing = Licensing::new(config, core.catalogue()).expect("classes that there are");
    let part = |pool: &str, seats| SeatAllocation {
        pool: pool.into(),
        tenant: String::new(),
        seats,
        recalled: 0,
    };
    licensing.desk.apply_confirmed(&ConfirmedSeats {
        free_seats: Vec::new(),
        lease_expiry: Micros(10_000_000),
        last_applied_command: 0,
        allocations: vec![part("av1", 1), part("aac", 2)],
        pools: vec![("av1".into(), RUN), ("aac".into(), RUN)],
    });
    core.licensing = Some(licensing);
    core
}

fn hand(
    core: &mut Core,
    now: u64,
    txn: &str,
    class: &str,
    licences: Vec<&str>,
) -> Result<(), Malformed> {
    let order = Order {
        class,
        time_left: Micros(1_000_000),
        licences,
        work: Work {
            txn: txn.into(),
            ..Work::default()
        },
        ..Order::default()
    };
    core.take_in(Micros(now), order).map(drop)
}

fn commands(core: &mut Core) -> (Option<InvokerCall>, Option<Verdict>) {
    let (mut call, mut verdict) = (None, None);
    while let Some(command) = core.command() {
        match command {
            Command::Call(made) => call = Some(made),
            Command::Answer { verdict: said, .. } => verdict = Some(said),
            _ => {}
        }
    }
    (call, verdict)
}

/// Each end of a call, and whether its worker is known to have ended it.
#[rstest]
#[case(Outcome::Served, true)]
#[case(Outcome::Failed, true)]
#[case(Outcome::Rejected, true)]
#[case(Outcome::ConnectFailed, true)]
#[case(Outcome::Reset, false)]
fn an_end_frees_its_seat_where_the_worker_has_ended_it(
    #[case] outcome: Outcome,
    #[case] known: bool,
) {
    let mut core = core();
    hand(&mut core, 0, "a", "encode", vec![]).expect("one is free");
    let (call, _) = commands(&mut core);
    let call = call.expect("it goes out");
    assert!(matches!(
        hand(&mut core, 1, "b", "encode", vec![]),
        Err(Malformed::NoSeat(_))
    ));
    let result = (outcome == Outcome::Served).then(|| b"done".to_vec());
    core.call_ended(
        Micros(100_000),
        call.id,
        call.attempt,
        outcome,
        result,
        None,
    );
    let (again, verdict) = commands(&mut core);
    // A further attempt takes a seat of its own: there is none while the first may still run.
    assert_eq!(
        again.is_some(),
        known && outcome != Outcome::Served,
        "{outcome:?} {verdict:?}"
    );
    if !known {
        assert!(matches!(verdict, Some(Verdict::Rejected(_))), "{verdict:?}");
        assert!(hand(&mut core, RUN.0 - 1, "c", "encode", vec![]).is_err());
        assert!(hand(&mut core, RUN.0, "d", "encode", vec![]).is_ok());
    }
}

/// A call that ran out of time, or was given up by its consumer, holds its seat: a cancel does not stop work.
#[rstest]
#[case(true)]
#[case(false)]
fn a_call_that_was_given_up_holds_its_seat(#[case] timed_out: bool) {
    let mut core = core();
    hand(&mut core, 0, "a", "encode", vec![]).expect("one is free");
    let call = commands(&mut core).0.expect("it goes out");
    match timed_out {
        true => core.wake(Micros(1_000_000)),
        false => drop(core.gone(Micros(1_000_000), call.id)),
    }
    assert!(hand(&mut core, 1_500_000, "b", "encode", vec![]).is_err());
    // One whose end is still to come is out until it has come.
    let free = hand(&mut core, RUN.0, "c", "encode", vec![]).is_ok();
    assert_eq!(free, timed_out);
}

#[test]
fn a_job_names_its_licences_and_gets_all_or_none() {
    let mut core = core();
    assert_eq!(
        hand(&mut core, 0, "x", "preview", vec!["prores"]),
        Err(Malformed::UnknownLicence("prores".into()))
    );
    hand(&mut core, 0, "a", "preview", vec!["aac", "av1"]).expect("both are free");
    assert!(commands(&mut core).0.is_some());
    assert!(matches!(
        hand(&mut core, 0, "b", "preview", vec!["av1"]),
        Err(Malformed::NoSeat(_))
    ));
    hand(&mut core, 0, "c", "preview", vec!["aac"]).expect("the second of two");
    assert!(commands(&mut core).0.is_some());
    // What needs none goes on as ever, also when the reading is over.
    hand(&mut core, 0, "d", "preview", vec![]).expect("no seat");
    assert!(hand(&mut core, 10_000_000, "e", "preview", vec!["aac"]).is_err());
    hand(&mut core, 10_000_000, "f", "preview", vec![]).expect("no seat");
}
