//! The node's own entry in a registry, in virtual time.

use marbledeck_dispatcher::Micros;
use marbledeck_eureka::{Lease, LeaseSettings};

/// The pause after a failure.
const RETRY_PAUSE: Micros = Micros(1_000_000);

fn lease(registries: usize) -> Lease {
    let settings = LeaseSettings {
        registries,
        path: "/eureka".to_owned(),
        app: "marbledeck".to_owned(),
        id: "n0".to_owned(),
        address: "127.0.0.1:8000".parse().expect("an address"),
        renewal_interval: Micros(30_000_000),
        timeout: Micros(1_000_000),
    };
    Lease::new(settings, Micros(0))
}

fn step(lease: &mut Lease, status: u16) -> (Micros, String) {
    let now = lease.next_wake().expect("it goes on");
    let request = lease.next_request(now).expect("it is due");
    lease.handle_response(now, request.number, status);
    (now, format!("{} {}", request.method, request.path))
}

/// Registered, renewed, forgotten and registered anew, then told down and cancelled.
#[test]
fn an_entry_is_registered_renewed_and_cancelled() {
    let mut lease = lease(1);
    assert_eq!(step(&mut lease, 204).1, "POST /eureka/apps/marbledeck");
    let (at, renewal) = step(&mut lease, 200);
    assert_eq!(
        (at, renewal.as_str()),
        (Micros(30_000_000), "PUT /eureka/apps/marbledeck/n0")
    );
    assert_eq!(step(&mut lease, 404).0, Micros(60_000_000));
    assert_eq!(
        step(&mut lease, 204),
        (
            Micros(60_000_000),
            "POST /eureka/apps/marbledeck".to_owned()
        )
    );
    lease.deregister(Micros(61_000_000));
    assert_eq!(
        step(&mut lease, 200).1,
        "PUT /eureka/apps/marbledeck/n0/status?value=DOWN"
    );
    assert_eq!(step(&mut lease, 200).1, "DELETE /eureka/apps/marbledeck/n0");
    assert!(lease.is_ended() && lease.next_wake().is_none());
}

/// A registry that fails or says nothing: the next one is asked, and nothing is lost.
#[test]
fn a_failure_is_retried_at_the_next_registry() {
    let mut lease = lease(2);
    let request = lease.next_request(Micros(0)).expect("due");
    assert!(
        lease.next_request(request.deadline).is_none(),
        "given up, and a pause"
    );
    let next = lease
        .next_request(request.deadline + RETRY_PAUSE)
        .expect("due");
    assert_eq!((request.registry, next.registry), (0, 1));
    lease.handle_response(Micros(1), request.number, 204);
    let still_open = lease.next_wake() == Some(next.deadline);
    assert!(still_open, "an answer to an earlier request");
    lease.handle_response(next.deadline, next.number, 503);
    let retry = lease.next_request(next.deadline + RETRY_PAUSE);
    let retry = retry.expect("due");
    assert_eq!(
        (retry.registry, retry.method),
        (0, "POST"),
        "not registered"
    );
}

/// Over an upgrade the old process says nothing more; where the new one is lost, it registers again.
#[test]
fn after_a_handover_the_successor_renews() {
    let mut lease = lease(1);
    step(&mut lease, 204);
    lease.set_handed_over(Micros(5), true);
    lease.deregister(Micros(6));
    assert!(lease.is_ended());
    lease.set_handed_over(Micros(7), false);
    assert_eq!(
        step(&mut lease, 204),
        (Micros(7), "POST /eureka/apps/marbledeck".to_owned())
    );
}
