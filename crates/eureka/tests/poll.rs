//! Tests of the polling state machine with scripted responses in virtual time.

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

/// A poll and its virtual time.
struct Harness {
    poll: Poll,
    now: Micros,
}

impl Harness {
    fn new(registries: usize) -> Self {
        Harness {
            poll: Poll::new(settings(registries), Micros(0), 7),
            now: Micros(0),
        }
    }

    /// Advances the time to the next request.
    fn next_request(&mut self) -> PollRequest {
        for _ in 0..100 {
            self.now = self.now.max(self.poll.next_wake());
            if let Some(request) = self.poll.next_request(self.now) {
                return request;
            }
        }
        panic!("no request is due");
    }

    /// Answers a request successfully with this body, and returns the changes.
    fn answer(&mut self, request: &PollRequest, text: &str) -> Vec<Change> {
        self.poll.handle_head(
            self.now,
            request.number,
            200,
            ResponseFormat::Json,
            Encoding::Plain,
        );
        for chunk in text.as_bytes().chunks(50) {
            self.poll.handle_bytes(self.now, request.number, chunk);
        }
        self.poll.handle_end(self.now, request.number);
        // Each call applies some entries of a delta.
        while self.poll.next_wake() == Micros(0) && self.now > Micros(0) {
            assert!(self.poll.next_request(self.now).is_none());
        }
        self.poll.take_changes()
    }
}

/// The worker ids of changes; a removal is written as `-ID EXPLICIT`.
fn ids(changes: &[Change]) -> Vec<String> {
    let id = |change: &Change| match change {
        Change::ListPart(reports) => reports.iter().map(|report| report.id.clone()).collect(),
        Change::Reported(report) => vec![report.id.clone()],
        Change::Removed { id, explicit } => vec![format!("-{id} {explicit}")],
        _ => vec![],
    };
    changes.iter().flat_map(id).collect()
}

/// The first fetch is full, later ones are deltas. A cancelled instance is distinguished from an expired lease by its
/// status.
#[test]
fn a_full_list_is_followed_by_deltas() {
    let mut harness = Harness::new(1);
    let request = harness.next_request();
    assert_eq!(
        (request.path.as_str(), request.kind),
        ("/eureka/apps", FetchKind::Full)
    );
    let changes = harness.answer(
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
    let request = harness.next_request();
    assert_eq!(
        (request.path.as_str(), request.kind),
        ("/eureka/apps/delta", FetchKind::Delta)
    );
    assert!((5_000_000..=10_000_000).contains(&harness.now.0));
    let delta = [
        instance("c", "UP", "ADDED"),
        instance("a", "UP", "DELETED"),
        instance("b", "DOWN", "DELETED"),
    ];
    assert_eq!(
        ids(&harness.answer(&request, &body("UP_1_", &delta))),
        ["c", "-a false", "-b true"]
    );
    assert_eq!((harness.poll.mismatches, harness.poll.instances()), (0, 1));
}

/// A hash code mismatch, as after a lost delta, causes a full fetch. Their rate is limited if it never matches.
#[test]
fn a_hash_mismatch_requests_a_full_list() {
    let mut harness = Harness::new(1);
    let request = harness.next_request();
    harness.answer(&request, &body("UP_1_", &[instance("a", "UP", "ADDED")]));
    let mut full_fetches = Vec::new();
    for _ in 0..40 {
        let request = harness.next_request();
        if request.kind == FetchKind::Full {
            full_fetches.push(harness.now);
        }
        harness.answer(&request, &body("UP_9_", &[instance("a", "UP", "MODIFIED")]));
    }
    assert!(full_fetches.len() >= 8);
    assert!(
        full_fetches
            .windows(2)
            .all(|pair| pair[1] - pair[0] >= Micros(30_000_000)),
        "{full_fetches:?}"
    );
    assert!(harness.poll.mismatches > 1 && harness.poll.last_failure.is_some());
}

/// Registries are tried in turn without a delay. After each round of failures the delay grows, up to a maximum.
#[test]
fn failover_and_backoff() {
    let mut harness = Harness::new(3);
    let mut rounds = Vec::new();
    for _ in 0..12 {
        let round: Vec<PollRequest> = (0..3)
            .map(|_| {
                let request = harness.next_request();
                harness
                    .poll
                    .handle_failure(harness.now, request.number, "refused");
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
        rounds.push(harness.now);
    }
    let waits: Vec<u64> = rounds
        .windows(2)
        .map(|pair| (pair[1] - pair[0]).0)
        .collect();
    assert!(
        waits[0] <= 500_000 && waits[10] >= 15_000_000 && waits[10] <= 30_000_000,
        "{waits:?}"
    );
    // The first success ends the backoff. After a failover the next fetch is full.
    let request = harness.next_request();
    harness.answer(&request, &body("UP_1_", &[instance("a", "UP", "ADDED")]));
    assert_eq!(harness.poll.failures(), 0);
    let request = harness.next_request();
    harness.poll.handle_head(
        harness.now,
        request.number,
        503,
        ResponseFormat::Json,
        Encoding::Plain,
    );
    let request = harness.next_request();
    assert_eq!((request.registry, request.kind), (1, FetchKind::Full));
}

/// A response after its deadline or to an earlier request is ignored, and a truncated delta is not applied.
#[test]
fn late_and_truncated_responses() {
    let mut harness = Harness::new(1);
    let first = harness.next_request();
    harness.now = first.deadline;
    assert!(
        harness.poll.next_request(harness.now).is_none(),
        "abandoned, and retried after a delay"
    );
    assert!(harness
        .answer(&first, &body("UP_1_", &[instance("old", "UP", "ADDED")]))
        .is_empty());
    let request = harness.next_request();
    assert_eq!(
        ids(&harness.answer(&request, &body("UP_1_", &[instance("a", "UP", "ADDED")]))),
        ["a"]
    );
    let request = harness.next_request();
    let delta = body("UP_2_", &[instance("b", "UP", "ADDED")]);
    assert!(harness
        .answer(&request, &delta[..delta.len() - 3])
        .is_empty());
    assert_eq!(
        harness.poll.last_failure.as_deref(),
        Some("the response is truncated")
    );
    assert_eq!(harness.poll.instances(), 1);
}

/// A truncated full list reports no worker as missing. If the registry does not serve deltas, the full list is fetched.
#[test]
fn truncated_lists_and_disabled_deltas() {
    let mut harness = Harness::new(1);
    let request = harness.next_request();
    let text = body("UP_1_", &[instance("a", "UP", "ADDED")]);
    let changes = harness.answer(&request, &text[..text.len() - 2]);
    assert!(!changes.contains(&Change::ListEnd));
    let request = harness.next_request();
    harness.answer(&request, &text);
    let request = harness.next_request();
    harness.poll.handle_head(
        harness.now,
        request.number,
        404,
        ResponseFormat::Json,
        Encoding::Plain,
    );
    assert_eq!(harness.next_request().kind, FetchKind::Full);
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
