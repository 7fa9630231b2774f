//! The core and the workers as the submission server sees them.

use crate::core::{NewRequest, Payload, RequestError};
use crate::federation::Where;
use crate::service::Context;
use marbledeck_dispatcher::{Idempotency, Micros, RequestId, WorkerState};
use marbledeck_platform_settings::worker_id;
use marbledeck_submission::message::{ErrorId, Machine, Problem, Queue};
use marbledeck_submission::{ClassFacts, Desk, Order, Template, Whereabouts};

/// Lends the node's parts to the server for one step.
pub struct NodeDesk<'a>(pub &'a mut Context);

fn refused(why: RequestError) -> Problem {
    match why {
        RequestError::TooMany | RequestError::NoSeat(_) => Problem::later(why.to_string(), 1000),
        _ => Problem::invalid(why.to_string()),
    }
}

impl Desk for NodeDesk<'_> {
    fn class(&self, name: &str) -> Option<ClassFacts> {
        let (_, class) = self.0.core.names().class(name)?;
        let window = match class.idempotency {
            Idempotency::Keyed { window, .. } => window,
            _ => Micros(0),
        };
        Some(ClassFacts {
            deadline: class.deadline,
            window,
            reruns: class.idempotency != Idempotency::NotIdempotent,
        })
    }

    fn check(&self, class: &str, tenant: Option<&str>, keyed: bool) -> Result<(), Problem> {
        let checked = self.0.core.names().check(class, tenant, keyed);
        checked.map(drop).map_err(refused)
    }

    fn place(&self, template: &Template) -> Result<Whereabouts, Problem> {
        let Context {
            outbox,
            agreed,
            now,
            ..
        } = &*self.0;
        match outbox {
            None if template.manifest.is_some() || template.forwarded.is_some() => {
                let words = "`manifest` is not supported: this node has no part [sites]";
                Err(Problem::new(ErrorId::UnsupportedAttribute, words))
            }
            None => Ok(Whereabouts::Here),
            Some(outbox) => match outbox.place(*now, template, agreed)? {
                Where::Here => Ok(Whereabouts::Here),
                Where::Elsewhere => Ok(Whereabouts::Elsewhere),
            },
        }
    }

    fn take_in(&mut self, now: Micros, order: Order) -> Result<RequestId, Problem> {
        if let (Whereabouts::Elsewhere, Some(outbox)) = (order.place, &mut self.0.outbox) {
            return Ok(outbox.take_in(now, &order));
        }
        let manifest = order.template.manifest.as_ref();
        let needs = manifest.into_iter().flat_map(|manifest| &manifest.licences);
        let licences = needs.map(String::as_str).collect();
        let payload = Payload {
            transaction_id: order.txn,
            key: order.key,
            method: "POST".to_owned(),
            target: order.target,
            body: order.body,
        };
        let order = NewRequest {
            class: order.class,
            tenant: order.tenant,
            time_left: order.time_left,
            cost_hint: None,
            slots: order.slots,
            memory: 0.0,
            licences,
            payload,
        };
        self.0.core.accept_request(now, order).map_err(refused)
    }

    fn recall(&mut self, now: Micros, id: RequestId) -> bool {
        if let Some(outbox) = self.0.outbox.as_mut().filter(|outbox| outbox.has(id)) {
            return outbox.recall(id);
        }
        self.0.core.cancel_if_unsent(now, id)
    }

    fn gone(&mut self, now: Micros, id: RequestId) -> Option<Micros> {
        if let Some(outbox) = self.0.outbox.as_mut().filter(|outbox| outbox.has(id)) {
            outbox.gone(id);
            return Some(now);
        }
        self.0.core.handle_client_left(now, id)
    }

    fn count_duplicate(&mut self) {
        self.0.core.count_duplicate();
    }

    fn queues(&self) -> Vec<Queue> {
        let catalogue = self.0.core.names();
        let queue = |name: &str| {
            let (_, class) = catalogue.class(name)?;
            let window = match class.idempotency {
                Idempotency::Keyed { window, .. } => Some(window),
                _ => None,
            };
            Some(Queue {
                name: name.to_owned(),
                deadline_ms: class.deadline.0 / 1000,
                dedup_window_ms: window.map_or(0, |window| window.0 / 1000),
                keyed: window.is_some(),
            })
        };
        catalogue.class_names().filter_map(queue).collect()
    }

    fn machines(&self, now: Micros) -> Vec<Machine> {
        let Context {
            core,
            workers,
            fleet,
            ..
        } = &*self.0;
        let out = workers.attempts_in_flight();
        let views = fleet.members.views(now).into_iter();
        let machine = |view: marbledeck_membership::WorkerView| {
            let worker = worker_id(&view.id);
            let told = workers.load_report(worker);
            let by_hand = fleet.members.out_of_service().contains(&view.id);
            let word = fleet.members.report(&view.id);
            let state = match (by_hand, view.state, core.is_ejected(now, worker)) {
                (true, ..) => "out".to_owned(),
                (_, WorkerState::Ready, true) => "resting".to_owned(),
                (_, WorkerState::Ready, false) => "up".to_owned(),
                _ => word.map_or("gone".to_owned(), |word| word.status.to_string()),
            };
            Machine {
                available: state == "up",
                state,
                zone: word.map_or(String::new(), |word| word.zone.clone()),
                kind: word.map_or(String::new(), |word| word.kind.clone()),
                address: view.address.map_or(String::new(), |addr| addr.to_string()),
                calls: out.get(&worker).copied().unwrap_or_default(),
                free_slots: told.and_then(|(_, report)| report.free_slots),
                report_age_ms: told.map(|(at, _)| (now - at).0 / 1000),
                name: view.id,
            }
        };
        views
            .filter(|view| view.state != WorkerState::Removed)
            .map(machine)
            .collect()
    }
}
