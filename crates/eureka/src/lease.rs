//! The node's own entry in a registry: registered, renewed, registered anew where the registry has forgotten it, and taken
//! out when the node ends.

use marbledeck_dispatcher::Micros;
use serde_json::json;
use std::net::SocketAddr;

/// What is registered, and where.
#[derive(Clone, Debug)]
pub struct LeaseSettings {
    /// How many registries there are; the first is called first.
    pub registries: usize,
    /// The service path under which a registry answers, as `/eureka`.
    pub path: String,
    /// The application that the node is an instance of.
    pub app: String,
    /// The instance's id.
    pub id: String,
    /// Where the node serves.
    pub address: SocketAddr,
    /// How often it is renewed; the registry may drop it after three times as long.
    pub renewal_interval: Micros,
    /// How long an answer may take.
    pub timeout: Micros,
}

/// A request, to be answered by [`Lease::handle_response`] or [`Lease::handle_failure`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRequest {
    /// Answers to an earlier request are dropped by this.
    pub number: u64,
    /// Which registry.
    pub registry: usize,
    /// The HTTP method.
    pub method: &'static str,
    /// The path, from the root.
    pub path: String,
    /// The body, as JSON; empty where there is none.
    pub body: String,
    /// When it is to be given up.
    pub deadline: Micros,
}

/// Where the entry stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// To be registered.
    Unregistered,
    /// It is there, and renewed.
    Registered,
    /// The node ends: to be set to `DOWN`, then cancelled.
    Leaving,
    /// To be cancelled.
    Cancelling,
    /// Nothing more is sent: cancelled, or another process renews it.
    Ended,
}

/// The node's lease on its entry.
pub struct Lease {
    settings: LeaseSettings,
    state: State,
    open: Option<LeaseRequest>,
    next_at: Micros,
    number: u64,
    registry: usize,
}

/// The pause after a failure.
const RETRY_PAUSE: Micros = Micros(1_000_000);

impl Lease {
    /// A lease that registers at its first request.
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

    /// When [`Lease::next_request`] is next wanted; none where nothing more is sent.
    pub fn next_wake(&self) -> Option<Micros> {
        let open = self.open.as_ref().map(|open| open.deadline);
        open.or((self.state != State::Ended).then_some(self.next_at))
    }

    /// The request to send now, if there is one. One that took too long is given up.
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
        let own = format!("{app}/{}", settings.id);
        let (method, path, body) = match self.state {
            State::Unregistered => ("POST", app, self.registration()),
            State::Registered => ("PUT", own, String::new()),
            State::Leaving => ("PUT", format!("{own}/status?value=DOWN"), String::new()),
            State::Cancelling | State::Ended => ("DELETE", own, String::new()),
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

    fn is_open(&mut self, number: u64) -> bool {
        self.open.take_if(|open| open.number == number).is_some()
    }

    /// A request was answered with this status.
    pub fn handle_response(&mut self, now: Micros, number: u64, status: u16) {
        if !self.is_open(number) {
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
            // It has forgotten this node: at once.
            (State::Registered, 404) => (State::Unregistered, now),
            (State::Leaving, _) if is_success || status == 404 => (State::Cancelling, now),
            (State::Cancelling, _) if is_success || status == 404 => (State::Ended, now),
            (state, _) => {
                self.registry = (self.registry + 1) % self.settings.registries.max(1);
                (state, now + RETRY_PAUSE)
            }
        };
    }

    /// A request got no answer: the next registry is called.
    pub fn handle_failure(&mut self, now: Micros, number: u64) {
        if self.is_open(number) {
            self.registry = (self.registry + 1) % self.settings.registries.max(1);
            self.next_at = now + RETRY_PAUSE;
        }
    }

    /// The node ends: its entry is taken out. An open request is no longer waited for.
    pub fn deregister(&mut self, now: Micros) {
        if matches!(self.state, State::Unregistered | State::Registered) {
            // One that was never registered, as far as is known, may have been.
            self.state = State::Leaving;
            self.open = None;
            self.next_at = now;
        }
    }

    /// Another process of this node renews it from now on, or no longer does.
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

    /// Whether nothing more is to be sent.
    pub fn is_ended(&self) -> bool {
        self.state == State::Ended
    }
}
