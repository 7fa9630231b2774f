//! The poll against scripted answers, in virtual time.

use marbledeck_dispatcher::Micros;
use marbledeck_eureka::*;

fn settings(registries: usize) -> Settings {
    Settings {
        registries,
        path: "/eureka".to_owned(),
        apps: vec!["RENDER".to_owned()],
        vip: None,
        keys: Keys::default(),
        every: Micros(10_000_000),
        timeout: Micros(2_000_000),
        full: Micros(30_000_000),
        deltas: true,
    }
}

fn instance(id: &str, status: &str, action: &str) -> String {
    format!(
        r#"{{"instanceId":"{id}","app":"RENDER","ipAddr":"127.0.0.1","status":"{status}","port":{{"$":8000}},"actionType":"{action}"}}"#
    )
}

fn body(hash: &str, instances: &[String]) -> String {
    format!(
        r#"{{"applications":{{"apps__hashcode":"{hash}","application":[{{"name":"RENDER","instance":[{}]}}]}}}}"#,
        instances.join(",")
    )
}

struct World {
    poll: Poll,
    now: Micros,
}

impl World {
    fn new(registries: usize) -> Self {
        World {
            poll: Poll::new(settings(registries), Micros(0), 7),
            now: Micros(0),
        }
    }

    /// Waits for the next question.
    fn ask(&mut self) -> Ask {
        for _ in 0..100 {
            self.now = self.now.max(self.poll.next_wake());
            if let Some(ask) = self.poll.ask(self.now) {
                return ask;
            }
        }
        panic!("nothing is asked");
    }

    fn answer(&mut self, ask: &Ask, text: &str) -> Vec<Change> {
        self.poll
            .head(self.now, ask.number, 200, Form::Json, Encoding::Plain);
        for part in text.as_bytes().chunks(50) {
            self.poll.bytes(self.now, ask.number, part);
        }
        self.poll.end(self.now, ask.number);
        // A delta is taken a bit at a time.
        while self.poll.next_wake() == Micros(0) && self.now > Micros(0) {
            assert!(self.poll.ask(self.now).is_none());
        }
        self.poll.take_changes()
    }
}

fn ids(changes: &[Change]) -> Vec<String> {
    let id = |change: &Change| match change {
        Change::Part(words) => words.iter().map(|word| word.id.clone()).collect(),
        Change::Named(word) => vec![word.id.clone()],
        Change::Removed { id, explicit } => vec![format!("-{id} {explicit}")],
        _ => vec![],
    };
    changes.iter().flat_map(id).collect()
}

/// A whole read first, then deltas; a cancel is told from a lease that ran out.
#[test]
fn whole_then_deltas() {
    let mut w = World::new(1);
    let ask = w.ask();
    assert_eq!((ask.path.as_str(), ask.what), ("/eureka/apps", What::Full));
    let changes = w.answer(
        &ask,
        &body(
            "UP_2_",
            &[instance("a", "UP", "ADDED"), instance("b", "UP", "ADDED")],
        ),
    );
    assert_eq!(
        (changes.first(), changes.last()),
        (Some(&Change::Begin), Some(&Change::End))
    );
    assert_eq!(ids(&changes), ["a", "b"]);
    let ask = w.ask();
    assert_eq!(
        (ask.path.as_str(), ask.what),
        ("/eureka/apps/delta", What::Delta)
    );
    assert!((5_000_000..=10_000_000).contains(&w.now.0));
    let delta = [
        instance("c", "UP", "ADDED"),
        instance("a", "UP", "DELETED"),
        instance("b", "DOWN", "DELETED"),
    ];
    assert_eq!(
        ids(&w.answer(&ask, &body("UP_1_", &delta))),
        ["c", "-a false", "-b true"]
    );
    assert_eq!((w.poll.mismatches, w.poll.instances()), (0, 1));
}

/// A lost delta shows in the hash code: a whole read, and at most one in a while where it never matches.
#[test]
fn a_hash_that_does_not_match() {
    let mut w = World::new(1);
    let ask = w.ask();
    w.answer(&ask, &body("UP_1_", &[instance("a", "UP", "ADDED")]));
    let mut fulls = Vec::new();
    for _ in 0..40 {
        let ask = w.ask();
        if ask.what == What::Full {
            fulls.push(w.now);
        }
        w.answer(&ask, &body("UP_9_", &[instance("a", "UP", "MODIFIED")]));
    }
    assert!(fulls.len() >= 8);
    assert!(
        fulls
            .windows(2)
            .all(|pair| pair[1] - pair[0] >= Micros(30_000_000)),
        "{fulls:?}"
    );
    assert!(w.poll.mismatches > 1 && w.poll.trouble.is_some());
}

/// Registries are tried in turn, at once; after a round of failures it waits, longer each time, up to a bound.
#[test]
fn failover_and_backoff() {
    let mut w = World::new(3);
    let mut rounds = Vec::new();
    for _ in 0..12 {
        let round: Vec<Ask> = (0..3)
            .map(|_| {
                let ask = w.ask();
                w.poll.failed(w.now, ask.number, "refused");
                ask
            })
            .collect();
        assert_eq!(
            round.iter().map(|ask| ask.registry).collect::<Vec<_>>(),
            [0, 1, 2]
        );
        rounds.push(w.now);
    }
    let waits: Vec<u64> = rounds
        .windows(2)
        .map(|pair| (pair[1] - pair[0]).0)
        .collect();
    assert!(
        waits[0] <= 500_000 && waits[10] >= 15_000_000 && waits[10] <= 30_000_000,
        "{waits:?}"
    );
    // The first answer ends it; after a failover all is read anew.
    let ask = w.ask();
    w.answer(&ask, &body("UP_1_", &[instance("a", "UP", "ADDED")]));
    assert_eq!(w.poll.failures(), 0);
    let ask = w.ask();
    w.poll
        .head(w.now, ask.number, 503, Form::Json, Encoding::Plain);
    let ask = w.ask();
    assert_eq!((ask.registry, ask.what), (1, What::Full));
}

/// An answer that comes after its time, and an old list after a newer question, count for nothing; nor does a delta that
/// is cut.
#[test]
fn late_and_cut_answers() {
    let mut w = World::new(1);
    let first = w.ask();
    w.now = first.until;
    assert!(w.poll.ask(w.now).is_none(), "given up: it waits");
    assert!(w
        .answer(&first, &body("UP_1_", &[instance("old", "UP", "ADDED")]))
        .is_empty());
    let ask = w.ask();
    assert_eq!(
        ids(&w.answer(&ask, &body("UP_1_", &[instance("a", "UP", "ADDED")]))),
        ["a"]
    );
    let ask = w.ask();
    let delta = body("UP_2_", &[instance("b", "UP", "ADDED")]);
    assert!(w.answer(&ask, &delta[..delta.len() - 3]).is_empty());
    assert_eq!(w.poll.trouble.as_deref(), Some("cut short"));
    assert_eq!(w.poll.instances(), 1);
}

/// A whole read that breaks off names nobody as missing; where deltas are switched off, whole reads are made.
#[test]
fn broken_lists_and_no_deltas() {
    let mut w = World::new(1);
    let ask = w.ask();
    let text = body("UP_1_", &[instance("a", "UP", "ADDED")]);
    let changes = w.answer(&ask, &text[..text.len() - 2]);
    assert!(!changes.contains(&Change::End));
    let ask = w.ask();
    w.answer(&ask, &text);
    let ask = w.ask();
    w.poll
        .head(w.now, ask.number, 404, Form::Json, Encoding::Plain);
    assert_eq!(w.ask().what, What::Full);
}

#[test]
fn hash_codes() {
    use InstanceStatus::{Down, OutOfService, Up};
    assert_eq!(
        hash_code([Up, Down, Up, OutOfService].into_iter()),
        "DOWN_1_OUT_OF_SERVICE_1_UP_2_"
    );
    assert_eq!(hash_code([].into_iter()), "");
}
