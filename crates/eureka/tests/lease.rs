//! Tests of the lease state machine in virtual time.

use marbledeck_dispatcher::Micros;
use marbledeck_eureka::{Lease, LeaseSettings};

/// The delay after a failed request.
const RETRY_DELAY: Micros = Micros(1_000_000);

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

/// Answers the next request with this status; returns its time, method and path.
fn step(lease: &mut Lease, status: u16) -> (Micros, String) {
    let now = lease.next_wake().expect("the lease has not ended");
    let request = lease.next_request(now).expect("a request is due");
    lease.handle_response(now, request.number, status);
    (now, format!("{} {}", request.method, request.path))
}

/// The lease registers again after a 404, and sets the status to `DOWN` before it cancels.
#[test]
fn a_lease_is_registered_renewed_and_cancelled() {
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

/// A request that fails or has no response is repeated at the next registry, and a late response is ignored.
#[test]
fn a_failure_is_retried_at_the_next_registry() {
    let mut lease = lease(2);
    let request = lease.next_request(Micros(0)).expect("due");
    assert!(
        lease.next_request(request.deadline).is_none(),
        "abandoned, and retried after a delay"
    );
    let next = lease
        .next_request(request.deadline + RETRY_DELAY)
        .expect("due");
    assert_eq!((request.registry, next.registry), (0, 1));
    lease.handle_response(Micros(1), request.number, 204);
    let is_open = lease.next_wake() == Some(next.deadline);
    assert!(is_open, "a response to an earlier request is ignored");
    lease.handle_response(next.deadline, next.number, 503);
    let retry = lease.next_request(next.deadline + RETRY_DELAY);
    let retry = retry.expect("due");
    assert_eq!(
        (retry.registry, retry.method),
        (0, "POST"),
        "the registration is repeated"
    );
}

/// During an upgrade the old process sends no requests and does not cancel. It registers again if the new one is lost.
#[test]
fn a_handed_over_lease_is_not_renewed_or_cancelled() {
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
