//! The core and the workers as the submission server sees them.

use crate::core::{Malformed, Order as CoreOrder, Work};
use crate::federation::Where;
use crate::service::Context;
use marbledeck_dispatcher::{Idempotency, Micros, RequestId, WorkerState};
use marbledeck_platform_settings::worker_id;
use marbledeck_submission::message::{ErrorId, Machine, Problem, Queue};
use marbledeck_submission::{ClassProperties, JobRequest, Placement, Scheduler, Template};

/// Lends the node's parts to the server for one step.
pub struct NodeScheduler<'a>(pub &'a mut Context);

fn refused(why: Malformed) -> Problem {
    match why {
        Malformed::TooMany | Malformed::NoSeat(_) => Problem::later(why.to_string(), 1000),
        _ => Problem::invalid(why.to_string()),
    }
}

impl Scheduler for NodeScheduler<'_> {
    fn class_properties(&self, name: &str) -> Option<ClassProperties> {
        let (_, class) = self.0.core.catalogue().class(name)?;
        let window = match class.idempotency {
            Idempotency::Keyed { window, .. } => window,
            _ => Micros(0),
        };
        Some(ClassProperties {
            deadline: class.deadline,
            dedup_window: window,
            allows_retries: class.idempotency != Idempotency::NotIdempotent,
        })
    }

    fn check(&self, class: &str, tenant: Option<&str>, keyed: bool) -> Result<(), Problem> {
        let checked = self.0.core.catalogue().check(class, tenant, keyed);
        checked.map(drop).map_err(refused)
    }

    fn place(&self, template: &Template) -> Result<Placement, Problem> {
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
            None => Ok(Placement::Local),
            Some(outbox) => match outbox.place(*now, template, agreed)? {
                Where::Here => Ok(Placement::Local),
                Where::Elsewhere => Ok(Placement::Remote),
            },
        }
    }

    fn submit(&mut self, now: Micros, order: JobRequest) -> Result<RequestId, Problem> {
        if let (Placement::Remote, Some(outbox)) = (order.placement, &mut self.0.outbox) {
            return Ok(outbox.take_in(now, &order));
        }
        let manifest = order.template.manifest.as_ref();
        let needs = manifest.into_iter().flat_map(|manifest| &manifest.licences);
        let licences = needs.map(String::as_str).collect();
        let work = Work {
            txn: order.job_id,
            key: order.key,
            method: "POST".to_owned(),
            target: order.target,
            body: order.body,
        };
        let order = CoreOrder {
            class: order.class,
            tenant: order.tenant,
            time_left: order.time_left,
            cost_hint: None,
            slots: order.slots,
            memory: 0.0,
            licences,
            work,
        };
        self.0.core.take_in(now, order).map_err(refused)
    }

    fn recall(&mut self, now: Micros, id: RequestId) -> bool {
        if let Some(outbox) = self.0.outbox.as_mut().filter(|outbox| outbox.has(id)) {
            return outbox.recall(id);
        }
        self.0.core.recall(now, id)
    }

    fn abandon(&mut self, now: Micros, id: RequestId) -> Option<Micros> {
        if let Some(outbox) = self.0.outbox.as_mut().filter(|outbox| outbox.has(id)) {
            outbox.gone(id);
            return Some(now);
        }
        self.0.core.gone(now, id)
    }

    fn count_duplicate(&mut self) {
        self.0.core.count_duplicate();
    }

    fn queues(&self) -> Vec<Queue> {
        let catalogue = self.0.core.catalogue();
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
        catalogue.names().filter_map(queue).collect()
    }

    fn machines(&self, now: Micros) -> Vec<Machine> {
        let Context {
            core,
            workers,
            fleet,
            ..
        } = &*self.0;
        let out = workers.out();
        let views = fleet.members.views(now).into_iter();
        let machine = |view: marbledeck_membership::WorkerView| {
            let worker = worker_id(&view.id);
            let told = workers.told(worker);
            let by_hand = fleet.members.out_of_service().contains(&view.id);
            let word = fleet.members.report(&view.id);
            let state = match (by_hand, view.state, core.rests(now, worker)) {
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
