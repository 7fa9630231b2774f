//! The state machine of the node's own lease: it registers the node, renews the lease, registers again if the registry
//! no longer knows the instance, and cancels the lease at shutdown.

use marbledeck_dispatcher::Micros;
use serde_json::json;
use std::net::SocketAddr;

/// The settings of a lease.
#[derive(Clone, Debug)]
pub struct LeaseSettings {
    /// The number of registries. The first one is used until it fails.
    pub registries: usize,
    /// The base path of the registry's service, such as `/eureka`.
    pub path: String,
    /// The name of the application.
    pub app: String,
    /// The instance's id.
    pub id: String,
    /// The address at which the node accepts requests.
    pub address: SocketAddr,
    /// The interval between renewals. The registry may evict the instance after three times this interval.
    pub renewal_interval: Micros,
    /// The time limit of a request.
    pub timeout: Micros,
}

/// A request to a registry. The caller reports its result by [`Lease::handle_response`] or [`Lease::handle_failure`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRequest {
    /// The number of the request. Responses to earlier requests are ignored.
    pub number: u64,
    /// The index of the registry.
    pub registry: usize,
    /// The HTTP method.
    pub method: &'static str,
    /// The absolute path.
    pub path: String,
    /// The JSON body; empty if there is none.
    pub body: String,
    /// The time at which the request is abandoned.
    pub deadline: Micros,
}

/// The state of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The node is to be registered.
    Unregistered,
    /// The node is registered, and the lease is renewed.
    Registered,
    /// The node shuts down: the status is to be set to `DOWN` before the lease is cancelled.
    Leaving,
    /// The lease is to be cancelled.
    Cancelling,
    /// No more requests are sent: the lease was cancelled, or another process renews it.
    Ended,
}

/// The lease of the node's own instance in a registry.
pub struct Lease {
    settings: LeaseSettings,
    state: State,
    /// The request that was not answered yet.
    open: Option<LeaseRequest>,
    /// The time of the next request.
    next_at: Micros,
    /// The number of the last request.
    number: u64,
    /// The index of the registry that is used.
    registry: usize,
}

/// The delay after a failed request.
const RETRY_DELAY: Micros = Micros(1_000_000);

impl Lease {
    /// Creates a lease whose first request is the registration.
    pub fn new(settings: LeaseSettings, now: Micros) -> Self {
        Lease {
            settings,
            state: State::Unregistered,
            open: None,
            next_at: now,
            number: 0,
            registry: 0,
        }
    }

    /// The time at which to call [`Lease::next_request`] next; none if no more requests are sent.
    pub fn next_wake(&self) -> Option<Micros> {
        let open = self.open.as_ref().map(|open| open.deadline);
        open.or((self.state != State::Ended).then_some(self.next_at))
    }

    /// Returns the request to send now, if there is one. Abandons the open request if its deadline has passed.
    pub fn next_request(&mut self, now: Micros) -> Option<LeaseRequest> {
        if let Some(open) = &self.open {
            if now < open.deadline {
                return None;
            }
            let number = open.number;
            self.handle_failure(now, number);
        }
        if self.state == State::Ended || now < self.next_at {
            return None;
        }
        let settings = &self.settings;
        let app = format!("{}/apps/{}", settings.path, settings.app);
        let instance = format!("{app}/{}", settings.id);
        let (method, path, body) = match self.state {
            State::Unregistered => ("POST", app, self.registration()),
            State::Registered => ("PUT", instance, String::new()),
            State::Leaving => (
                "PUT",
                format!("{instance}/status?value=DOWN"),
                String::new(),
            ),
            State::Cancelling | State::Ended => ("DELETE", instance, String::new()),
        };
        self.number += 1;
        let request = LeaseRequest {
            number: self.number,
            registry: self.registry,
            method,
            path,
            body,
            deadline: now + settings.timeout,
        };
        self.open = Some(request.clone());
        Some(request)
    }

    /// The body of the registration.
    fn registration(&self) -> String {
        let settings = &self.settings;
        let ip = settings.address.ip().to_string();
        let renewal_secs = (settings.renewal_interval.0 / 1_000_000).max(1);
        json!({"instance": {
            "instanceId": settings.id,
            "hostName": ip,
            "app": settings.app.to_uppercase(),
            "ipAddr": ip,
            "vipAddress": settings.app,
            "status": "UP",
            "port": {"$": settings.address.port(), "@enabled": "true"},
            "securePort": {"$": 443, "@enabled": "false"},
            "countryId": 1,
            "dataCenterInfo": {
                "@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo",
                "name": "MyOwn",
            },
            "leaseInfo": {"renewalIntervalInSecs": renewal_secs, "durationInSecs": 3 * renewal_secs},
            "metadata": {},
        }})
        .to_string()
    }

    /// Whether this is the open request, which is then closed.
    fn take_open(&mut self, number: u64) -> bool {
        self.open.take_if(|open| open.number == number).is_some()
    }

    /// Handles the status of the response to a request.
    pub fn handle_response(&mut self, now: Micros, number: u64, status: u16) {
        if !self.take_open(number) {
            return;
        }
        let is_success = (200..300).contains(&status);
        (self.state, self.next_at) = match (self.state, status) {
            (State::Unregistered, _) if is_success => {
                (State::Registered, now + self.settings.renewal_interval)
            }
            (State::Registered, _) if is_success => {
                (State::Registered, now + self.settings.renewal_interval)
            }
            // The registry no longer knows the instance: register again without a delay.
            (State::Registered, 404) => (State::Unregistered, now),
            (State::Leaving, _) if is_success || status == 404 => (State::Cancelling, now),
            (State::Cancelling, _) if is_success || status == 404 => (State::Ended, now),
            (state, _) => {
                self.registry = (self.registry + 1) % self.settings.registries.max(1);
                (state, now + RETRY_DELAY)
            }
        };
    }

    /// Handles a request without a response: the next one goes to the next registry.
    pub fn handle_failure(&mut self, now: Micros, number: u64) {
        if self.take_open(number) {
            self.registry = (self.registry + 1) % self.settings.registries.max(1);
            self.next_at = now + RETRY_DELAY;
        }
    }

    /// Begins to set the status to `DOWN` and to cancel the lease, because the node shuts down. The response to an open
    /// request is ignored.
    pub fn deregister(&mut self, now: Micros) {
        if matches!(self.state, State::Unregistered | State::Registered) {
            // This includes an unregistered node: a registration without a response may have succeeded.
            self.state = State::Leaving;
            self.open = None;
            self.next_at = now;
        }
    }

    /// Stops all requests because another process of this node renews the lease, or registers again because that
    /// process was lost.
    pub fn set_handed_over(&mut self, now: Micros, handed_over: bool) {
        match (handed_over, self.state) {
            (true, State::Unregistered | State::Registered) => {
                self.state = State::Ended;
                self.open = None;
            }
            (false, State::Ended) => {
                self.state = State::Unregistered;
                self.next_at = now;
            }
            _ => {}
        }
    }

    /// Whether no more requests are to be sent.
    pub fn is_ended(&self) -> bool {
        self.state == State::Ended
    }
}
