//! The node's own entry in a registry: registered, renewed, registered anew where the registry has forgotten it, and taken
//! out when the node ends.

use marbledeck_dispatcher::Micros;
use serde_json::json;
use std::net::SocketAddr;

/// What is registered.
#[derive(Clone, Debug)]
pub struct LeaseSettings {
    pub registries: usize,
    /// The service path under which a registry answers, as `/eureka`.
    pub path: String,
    pub app: String,
    pub id: String,
    /// Where the node serves.
    pub addr: SocketAddr,
    /// How often it is renewed; the registry may drop it after three times as long.
    pub renew: Micros,
    /// How long an answer may take.
    pub timeout: Micros,
}

/// A question, to be answered by [`Lease::answered`] or [`Lease::failed`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseAsk {
    pub number: u64,
    pub registry: usize,
    pub method: &'static str,
    pub path: String,
    pub body: String,
    pub until: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// To be registered.
    New,
    Held,
    /// The node ends: to be told `DOWN`, then cancelled.
    Leaving,
    Cancelling,
    /// Nothing more is said: cancelled, or another process renews it.
    Over,
}

/// The lease.
pub struct Lease {
    settings: LeaseSettings,
    state: State,
    open: Option<LeaseAsk>,
    next: Micros,
    number: u64,
    registry: usize,
}

/// The pause after a failure.
const PAUSE: Micros = Micros(1_000_000);

impl Lease {
    /// Registers as soon as it is asked.
    pub fn new(settings: LeaseSettings, now: Micros) -> Self {
        Lease {
            settings,
            state: State::New,
            open: None,
            next: now,
            number: 0,
            registry: 0,
        }
    }

    /// When [`Lease::ask`] is next wanted; none where nothing more is said.
    pub fn next_wake(&self) -> Option<Micros> {
        let open = self.open.as_ref().map(|open| open.until);
        open.or((self.state != State::Over).then_some(self.next))
    }

    /// The question to ask now, if there is one. One that took too long is given up.
    pub fn ask(&mut self, now: Micros) -> Option<LeaseAsk> {
        if let Some(open) = &self.open {
            if now < open.until {
                return None;
            }
            let number = open.number;
            self.failed(now, number);
        }
        if self.state == State::Over || now < self.next {
            return None;
        }
        let settings = &self.settings;
        let app = format!("{}/apps/{}", settings.path, settings.app);
        let own = format!("{app}/{}", settings.id);
        let (method, path, body) = match self.state {
            State::New => ("POST", app, self.instance()),
            State::Held => ("PUT", own, String::new()),
            State::Leaving => ("PUT", format!("{own}/status?value=DOWN"), String::new()),
            State::Cancelling | State::Over => ("DELETE", own, String::new()),
        };
        self.number += 1;
        let ask = LeaseAsk {
            number: self.number,
            registry: self.registry,
            method,
            path,
            body,
            until: now + settings.timeout,
        };
        self.open = Some(ask.clone());
        Some(ask)
    }

    fn instance(&self) -> String {
        let settings = &self.settings;
        let ip = settings.addr.ip().to_string();
        let renew = (settings.renew.0 / 1_000_000).max(1);
        json!({"instance": {
            "instanceId": settings.id,
            "hostName": ip,
            "app": settings.app.to_uppercase(),
            "ipAddr": ip,
            "vipAddress": settings.app,
            "status": "UP",
            "port": {"$": settings.addr.port(), "@enabled": "true"},
            "securePort": {"$": 443, "@enabled": "false"},
            "countryId": 1,
            "dataCenterInfo": {
                "@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo",
                "name": "MyOwn",
            },
            "leaseInfo": {"renewalIntervalInSecs": renew, "durationInSecs": 3 * renew},
            "metadata": {},
        }})
        .to_string()
    }

    fn is_open(&mut self, number: u64) -> bool {
        self.open.take_if(|open| open.number == number).is_some()
    }

    /// A question was answered with this status.
    pub fn answered(&mut self, now: Micros, number: u64, status: u16) {
        if !self.is_open(number) {
            return;
        }
        let well = (200..300).contains(&status);
        (self.state, self.next) = match (self.state, status) {
            (State::New, _) if well => (State::Held, now + self.settings.renew),
            (State::Held, _) if well => (State::Held, now + self.settings.renew),
            // It has forgotten this node: at once.
            (State::Held, 404) => (State::New, now),
            (State::Leaving, _) if well || status == 404 => (State::Cancelling, now),
            (State::Cancelling, _) if well || status == 404 => (State::Over, now),
            (state, _) => {
                self.registry = (self.registry + 1) % self.settings.registries.max(1);
                (state, now + PAUSE)
            }
        };
    }

    /// A question got no answer: the next registry is asked.
    pub fn failed(&mut self, now: Micros, number: u64) {
        if self.is_open(number) {
            self.registry = (self.registry + 1) % self.settings.registries.max(1);
            self.next = now + PAUSE;
        }
    }

    /// The node ends: it is taken out. What is being asked is no longer waited for.
    pub fn leave(&mut self, now: Micros) {
        if matches!(self.state, State::New | State::Held) {
            // One that was never registered, as far as is known, may have been.
            (self.state, self.open, self.next) = (State::Leaving, None, now);
        }
    }

    /// Another process of this node renews it from now on, or no longer does.
    pub fn set_handed_on(&mut self, now: Micros, handed_on: bool) {
        match (handed_on, self.state) {
            (true, State::New | State::Held) => (self.state, self.open) = (State::Over, None),
            (false, State::Over) => (self.state, self.next) = (State::New, now),
            _ => {}
        }
    }

    /// Whether nothing more is to be said.
    pub fn is_over(&self) -> bool {
        self.state == State::Over
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn lease(registries: usize) -> Lease {
        let settings = LeaseSettings {
            registries,
            path: "/eureka".to_owned(),
            app: "marbledeck".to_owned(),
            id: "n0".to_owned(),
            addr: "127.0.0.1:8000".parse().expect("an address"),
            renew: Micros(30_000_000),
            timeout: Micros(1_000_000),
        };
        Lease::new(settings, Micros(0))
    }

    fn step(lease: &mut Lease, status: u16) -> (Micros, String) {
        let now = lease.next_wake().expect("it goes on");
        let ask = lease.ask(now).expect("it is due");
        lease.answered(now, ask.number, status);
        (now, format!("{} {}", ask.method, ask.path))
    }

    /// Registered, renewed, forgotten and registered anew, then told down and cancelled.
    #[test]
    fn a_life() {
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
        lease.leave(Micros(61_000_000));
        assert_eq!(
            step(&mut lease, 200).1,
            "PUT /eureka/apps/marbledeck/n0/status?value=DOWN"
        );
        assert_eq!(step(&mut lease, 200).1, "DELETE /eureka/apps/marbledeck/n0");
        assert!(lease.is_over() && lease.next_wake().is_none());
    }

    /// A registry that fails or says nothing: the next one is asked, and nothing is lost.
    #[test]
    fn failures() {
        let mut lease = lease(2);
        let ask = lease.ask(Micros(0)).expect("due");
        assert!(lease.ask(ask.until).is_none(), "given up, and a pause");
        let next = lease.ask(ask.until + PAUSE).expect("due");
        assert_eq!((ask.registry, next.registry), (0, 1));
        lease.answered(Micros(1), ask.number, 204);
        assert_eq!(lease.state, State::New, "an answer to an earlier question");
        lease.answered(next.until, next.number, 503);
        assert_eq!(
            lease.ask(next.until + PAUSE).map(|ask| ask.registry),
            Some(0)
        );
    }

    /// Over an upgrade the old process says nothing more; where the new one is lost, it registers again.
    #[test]
    fn an_upgrade() {
        let mut lease = lease(1);
        step(&mut lease, 204);
        lease.set_handed_on(Micros(5), true);
        lease.leave(Micros(6));
        assert!(lease.is_over());
        lease.set_handed_on(Micros(7), false);
        assert_eq!(
            step(&mut lease, 204),
            (Micros(7), "POST /eureka/apps/marbledeck".to_owned())
        );
    }
}
