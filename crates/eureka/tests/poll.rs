//! The poll against scripted answers, in virtual time.

use marbledeck_dispatcher::Micros;
use marbledeck_eureka::*;

fn settings(registries: usize) -> PollSettings {
    PollSettings {
        registries,
        path: "/eureka".to_owned(),
        apps: vec!["RENDER".to_owned()],
        vip: None,
        keys: MetadataKeys::default(),
        interval: Micros(10_000_000),
        timeout: Micros(2_000_000),
        min_full_fetch_interval: Micros(30_000_000),
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

    /// Waits for the next request.
    fn next_request(&mut self) -> PollRequest {
        for _ in 0..100 {
            self.now = self.now.max(self.poll.next_wake());
            if let Some(request) = self.poll.next_request(self.now) {
                return request;
            }
        }
        panic!("nothing is requested");
    }

    fn answer(&mut self, request: &PollRequest, text: &str) -> Vec<Change> {
        self.poll.handle_head(
            self.now,
            request.number,
            200,
            ResponseFormat::Json,
            Encoding::Plain,
        );
        for part in text.as_bytes().chunks(50) {
            self.poll.handle_bytes(self.now, request.number, part);
        }
        self.poll.handle_end(self.now, request.number);
        // A delta is taken a bit at a time.
        while self.poll.next_wake() == Micros(0) && self.now > Micros(0) {
            assert!(self.poll.next_request(self.now).is_none());
        }
        self.poll.take_changes()
    }
}

fn ids(changes: &[Change]) -> Vec<String> {
    let id = |change: &Change| match change {
        Change::ListPart(words) => words.iter().map(|word| word.id.clone()).collect(),
        Change::Reported(word) => vec![word.id.clone()],
        Change::Removed { id, explicit } => vec![format!("-{id} {explicit}")],
        _ => vec![],
    };
    changes.iter().flat_map(id).collect()
}

/// A whole read first, then deltas; a cancel is reported from a lease that ran out.
#[test]
fn a_whole_list_is_followed_by_deltas() {
    let mut w = World::new(1);
    let request = w.next_request();
    assert_eq!(
        (request.path.as_str(), request.kind),
        ("/eureka/apps", FetchKind::Full)
    );
    let changes = w.answer(
        &request,
        &body(
            "UP_2_",
            &[instance("a", "UP", "ADDED"), instance("b", "UP", "ADDED")],
        ),
    );
    assert_eq!(
        (changes.first(), changes.last()),
        (Some(&Change::ListBegin), Some(&Change::ListEnd))
    );
    assert_eq!(ids(&changes), ["a", "b"]);
    let request = w.next_request();
    assert_eq!(
        (request.path.as_str(), request.kind),
        ("/eureka/apps/delta", FetchKind::Delta)
    );
    assert!((5_000_000..=10_000_000).contains(&w.now.0));
    let delta = [
        instance("c", "UP", "ADDED"),
        instance("a", "UP", "DELETED"),
        instance("b", "DOWN", "DELETED"),
    ];
    assert_eq!(
        ids(&w.answer(&request, &body("UP_1_", &delta))),
        ["c", "-a false", "-b true"]
    );
    assert_eq!((w.poll.mismatches, w.poll.instances()), (0, 1));
}

/// A lost delta shows in the hash code: a whole read, and at most one in a while where it never matches.
#[test]
fn a_hash_mismatch_requests_a_whole_list() {
    let mut w = World::new(1);
    let request = w.next_request();
    w.answer(&request, &body("UP_1_", &[instance("a", "UP", "ADDED")]));
    let mut fulls = Vec::new();
    for _ in 0..40 {
        let request = w.next_request();
        if request.kind == FetchKind::Full {
            fulls.push(w.now);
        }
        w.answer(&request, &body("UP_9_", &[instance("a", "UP", "MODIFIED")]));
    }
    assert!(fulls.len() >= 8);
    assert!(
        fulls
            .windows(2)
            .all(|pair| pair[1] - pair[0] >= Micros(30_000_000)),
        "{fulls:?}"
    );
    assert!(w.poll.mismatches > 1 && w.poll.last_failure.is_some());
}

/// Registries are tried in turn, at once; after a round of failures it waits, longer each time, up to a bound.
#[test]
fn failover_and_backoff() {
    let mut w = World::new(3);
    let mut rounds = Vec::new();
    for _ in 0..12 {
        let round: Vec<PollRequest> = (0..3)
            .map(|_| {
                let request = w.next_request();
                w.poll.handle_failure(w.now, request.number, "refused");
                request
            })
            .collect();
        assert_eq!(
            round
                .iter()
                .map(|request| request.registry)
                .collect::<Vec<_>>(),
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
    let request = w.next_request();
    w.answer(&request, &body("UP_1_", &[instance("a", "UP", "ADDED")]));
    assert_eq!(w.poll.failures(), 0);
    let request = w.next_request();
    w.poll.handle_head(
        w.now,
        request.number,
        503,
        ResponseFormat::Json,
        Encoding::Plain,
    );
    let request = w.next_request();
    assert_eq!((request.registry, request.kind), (1, FetchKind::Full));
}

/// An answer that comes after its time, and an old list after a newer request, count for nothing; nor does a delta that
/// is cut.
#[test]
fn late_and_truncated_answers() {
    let mut w = World::new(1);
    let first = w.next_request();
    w.now = first.deadline;
    assert!(w.poll.next_request(w.now).is_none(), "given up: it waits");
    assert!(w
        .answer(&first, &body("UP_1_", &[instance("old", "UP", "ADDED")]))
        .is_empty());
    let request = w.next_request();
    assert_eq!(
        ids(&w.answer(&request, &body("UP_1_", &[instance("a", "UP", "ADDED")]))),
        ["a"]
    );
    let request = w.next_request();
    let delta = body("UP_2_", &[instance("b", "UP", "ADDED")]);
    assert!(w.answer(&request, &delta[..delta.len() - 3]).is_empty());
    assert_eq!(w.poll.last_failure.as_deref(), Some("cut short"));
    assert_eq!(w.poll.instances(), 1);
}

/// A whole read that breaks off names nobody as missing; where deltas are switched off, whole reads are made.
#[test]
fn broken_lists_and_no_deltas() {
    let mut w = World::new(1);
    let request = w.next_request();
    let text = body("UP_1_", &[instance("a", "UP", "ADDED")]);
    let changes = w.answer(&request, &text[..text.len() - 2]);
    assert!(!changes.contains(&Change::ListEnd));
    let request = w.next_request();
    w.answer(&request, &text);
    let request = w.next_request();
    w.poll.handle_head(
        w.now,
        request.number,
        404,
        ResponseFormat::Json,
        Encoding::Plain,
    );
    assert_eq!(w.next_request().kind, FetchKind::Full);
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
