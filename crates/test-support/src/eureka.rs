//! A stub of a Eureka registry. It implements Eureka's REST operations register, renew, cancel, status override, full
//! list and delta, in JSON and XML. A test can inject faults with [`EurekaBehaviour`].

use crate::accept::{listen, serve_connections};
use crate::http::{self, Request};
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Faults of the registry; the default has none.
#[derive(Clone, Debug, Default)]
pub struct EurekaBehaviour {
    /// Delay before each answer.
    pub delay: Duration,
    /// Requests are read but never answered.
    pub silent: bool,
    /// Every request is answered with this HTTP status and an empty body.
    pub status: Option<u16>,
    /// The connection is closed after this number of bytes of an answer.
    pub truncate_after: Option<usize>,
    /// `apps__hashcode` does not match the registered instances.
    pub wrong_hash: bool,
    /// Changes are left out of deltas.
    pub omits_deltas: bool,
    /// Lists and deltas contain no instances.
    pub empty: bool,
}

/// A registered instance with its lease.
#[derive(Clone)]
struct Registration {
    instance: Map<String, Value>,
    overridden_status: Option<String>,
    renewed: Instant,
    lease: Duration,
}

#[derive(Default)]
struct State {
    /// Registered instances, by application and instance id.
    registrations: BTreeMap<(String, String), Registration>,
    /// Changes that deltas report: the time, the application and the instance.
    recent_changes: Vec<(Instant, String, Value)>,
    behaviour: EurekaBehaviour,
    /// Number of requests of each path.
    requests: BTreeMap<String, usize>,
    /// Number of cancels and expiries of each instance.
    cancelled: BTreeMap<(String, String), usize>,
    /// Whether instances are removed when their lease expires.
    expires: bool,
}

/// A stub of a Eureka registry, which serves until the program exits.
#[derive(Clone)]
pub struct EurekaStub {
    /// The address at which it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

/// Time for which a change is reported in deltas, as in Eureka's default configuration.
const DELTA_RETENTION: Duration = Duration::from_secs(180);

impl EurekaStub {
    /// Starts an empty registry on a free port.
    pub fn start() -> Self {
        let (listener, address) = listen();
        let registry = EurekaStub {
            address,
            state: Arc::default(),
        };
        serve_connections(listener, registry.clone(), EurekaStub::serve);
        registry
    }

    /// Returns the base URL for clients.
    pub fn url(&self) -> String {
        format!("http://{}/eureka", self.address)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the faults of later answers.
    pub fn set_behaviour(&self, behaviour: EurekaBehaviour) {
        self.state().behaviour = behaviour;
    }

    /// Removes instances from now on when their lease expires.
    pub fn enable_expiry(&self) {
        self.state().expires = true;
    }

    /// Removes all registrations and changes, as a restart of the registry does.
    pub fn restart(&self) {
        let mut state = self.state();
        state.registrations.clear();
        state.recent_changes.clear();
    }

    /// Returns the status of an instance as clients see it, with its override applied; `None` if it is not registered.
    pub fn status(&self, app: &str, id: &str) -> Option<String> {
        let state = self.state();
        let registration = state
            .registrations
            .get(&(app.to_uppercase(), id.to_owned()))?;
        let shown = State::shown_instance(registration, "ADDED");
        shown["status"].as_str().map(str::to_owned)
    }

    /// Returns how often an instance was cancelled or has expired.
    pub fn cancels(&self, app: &str, id: &str) -> usize {
        let key = (app.to_uppercase(), id.to_owned());
        self.state().cancelled.get(&key).copied().unwrap_or(0)
    }

    /// Returns how often a path was requested.
    pub fn request_count(&self, path: &str) -> usize {
        self.state().requests.get(path).copied().unwrap_or(0)
    }

    /// Registers a worker as its own Eureka client would.
    pub fn register(&self, app: &str, id: &str, addr: SocketAddr) {
        let instance = json!({"instanceId": id, "hostName": id, "app": app, "ipAddr": addr.ip().to_string(),
            "status": "UP", "port": {"$": addr.port(), "@enabled": "true"}, "vipAddress": "render",
            "metadata": {"worker": id, "zone": "east", "kind": "std"}});
        self.state().register(app, id, instance);
    }

    /// Overrides the status of an instance; `UP` removes the override.
    pub fn override_status(&self, app: &str, id: &str, status: &str) {
        self.state().set_status(app, id, status);
    }

    /// Removes an instance. With `on_purpose` it sets its status to DOWN and cancels itself; otherwise its lease
    /// expires.
    pub fn remove(&self, app: &str, id: &str, on_purpose: bool) {
        let mut state = self.state();
        let key = (app.to_uppercase(), id.to_owned());
        if let Some(registration) = state.registrations.get_mut(&key).filter(|_| on_purpose) {
            registration
                .instance
                .insert("status".to_owned(), "DOWN".into());
        }
        state.cancel(&key);
    }

    /// Answers the requests of a connection, with the faults that are set.
    fn serve(&self, mut stream: TcpStream) {
        let Ok(reader) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reader);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let behaviour = self.state().behaviour.clone();
            if behaviour.silent {
                std::thread::sleep(Duration::from_secs(3600));
                return;
            }
            std::thread::sleep(behaviour.delay);
            let answer = match behaviour.status {
                Some(status) => Answer::empty(status),
                None => self.answer(&request),
            };
            let head = format!(
                "HTTP/1.1 {} -\r\nContent-Type: {}\r\nContent-Length: {}\r\n\r\n",
                answer.status,
                answer.content_type,
                answer.body.len()
            );
            let whole = head + &answer.body;
            let sent = &whole.as_bytes()[..behaviour
                .truncate_after
                .unwrap_or(whole.len())
                .min(whole.len())];
            if stream.write_all(sent).is_err() || sent.len() < whole.len() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> Answer {
        let mut state = self.state();
        state.remove_expired();
        let path = request.target.split('?').next().unwrap_or_default();
        let path = path.trim_end_matches('/').to_owned();
        *state.requests.entry(path.clone()).or_default() += 1;
        let parts: Vec<&str> = path.split('/').skip(2).collect();
        let accept = request.field("Accept");
        let wants_xml = accept.is_some_and(|accept| accept.contains("xml"));
        let has = |name: &'static str, value: Value| {
            move |entry: &Registration| entry.instance.get(name) == Some(&value)
        };
        let value = match (request.method.as_str(), parts.as_slice()) {
            ("GET", ["apps"]) => state.list(|_| true),
            ("GET", ["apps", "delta"]) => state.delta(),
            ("GET", ["vips", vip]) => state.list(has("vipAddress", json!(vip))),
            ("GET", ["apps", app]) => state.list(has("app", json!(app.to_uppercase()))),
            ("GET", ["apps", app, id]) => match state.registrations.get(&key(app, id)) {
                Some(entry) => json!({"instance": entry.instance}),
                None => return Answer::empty(404),
            },
            ("POST", ["apps", app]) => return Answer::empty(state.handle_register(app, request)),
            (_, ["apps", app, id, rest @ ..]) => {
                return Answer::empty(state.handle_instance(app, id, rest, request))
            }
            _ => return Answer::empty(404),
        };
        Answer::list(&value, wants_xml)
    }
}

/// The key of an instance; Eureka writes application names in upper case.
fn key(app: &str, id: &str) -> (String, String) {
    (app.to_uppercase(), id.to_owned())
}

/// An HTTP response before the head is written.
struct Answer {
    status: u16,
    content_type: &'static str,
    body: String,
}

impl Answer {
    fn empty(status: u16) -> Self {
        Answer {
            status,
            content_type: "text/plain",
            body: String::new(),
        }
    }

    fn list(value: &Value, wants_xml: bool) -> Self {
        let (content_type, body) = if wants_xml {
            ("application/xml", to_xml(value))
        } else {
            ("application/json", value.to_string())
        };
        Answer {
            status: 200,
            content_type,
            body,
        }
    }
}

impl State {
    /// Handles a registration and returns the HTTP status of the answer.
    fn handle_register(&mut self, app: &str, request: &Request) -> u16 {
        let Ok(value) = serde_json::from_slice::<Value>(&request.body) else {
            return 400;
        };
        let instance = value["instance"].clone();
        let id = instance["instanceId"].as_str();
        let id = id.or(instance["hostName"].as_str()).map(str::to_owned);
        let Some(id) = id else {
            return 400;
        };
        self.register(app, &id, instance);
        204
    }

    /// Handles a renewal, a cancel or a status override, and returns the HTTP status of the answer.
    fn handle_instance(&mut self, app: &str, id: &str, rest: &[&str], request: &Request) -> u16 {
        let key = key(app, id);
        if !self.registrations.contains_key(&key) {
            return 404;
        }
        match (request.method.as_str(), rest) {
            ("PUT", []) => {
                if let Some(entry) = self.registrations.get_mut(&key) {
                    entry.renewed = Instant::now();
                }
            }
            ("DELETE", []) => self.cancel(&key),
            ("PUT", ["status"]) => {
                let status = request.query("value").unwrap_or("UNKNOWN").to_owned();
                self.set_status(app, id, &status);
            }
            ("DELETE", ["status"]) => self.set_status(app, id, "UP"),
            _ => return 405,
        }
        200
    }

    /// The current time in milliseconds since the epoch, as Eureka writes timestamps.
    fn timestamp() -> String {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        now.unwrap_or_default().as_millis().to_string()
    }

    fn register(&mut self, app: &str, id: &str, instance: Value) {
        let Value::Object(mut instance) = instance else {
            return;
        };
        let app = app.to_uppercase();
        instance.insert("instanceId".to_owned(), id.into());
        instance.insert("app".to_owned(), app.clone().into());
        instance.insert("lastDirtyTimestamp".to_owned(), Self::timestamp().into());
        let lease_secs = &instance
            .get("leaseInfo")
            .map(|lease| lease["durationInSecs"].clone());
        let lease_secs = lease_secs.as_ref().and_then(Value::as_u64).unwrap_or(90);
        let registration = Registration {
            instance,
            overridden_status: None,
            renewed: Instant::now(),
            lease: Duration::from_secs(lease_secs),
        };
        let key = (app, id.to_owned());
        self.registrations.insert(key.clone(), registration);
        self.record_change(&key, "ADDED");
    }

    /// The instance as lists and deltas show it, with its override and the action type.
    fn shown_instance(registration: &Registration, action: &str) -> Value {
        let mut instance = registration.instance.clone();
        let overridden_status = registration
            .overridden_status
            .clone()
            .unwrap_or_else(|| "UNKNOWN".to_owned());
        if overridden_status != "UNKNOWN" {
            instance.insert("status".to_owned(), overridden_status.clone().into());
        }
        instance.insert("overriddenstatus".to_owned(), overridden_status.into());
        instance.insert("actionType".to_owned(), action.into());
        Value::Object(instance)
    }

    /// Records a change of a registered instance for deltas.
    fn record_change(&mut self, key: &(String, String), action: &str) {
        if let Some(registration) = self
            .registrations
            .get(key)
            .filter(|_| !self.behaviour.omits_deltas)
        {
            let shown = Self::shown_instance(registration, action);
            self.recent_changes
                .push((Instant::now(), key.0.clone(), shown));
        }
    }

    /// Sets the overridden status of an instance; `UP` removes the override.
    fn set_status(&mut self, app: &str, id: &str, status: &str) {
        let key = (app.to_uppercase(), id.to_owned());
        if let Some(registration) = self.registrations.get_mut(&key) {
            registration.overridden_status = (status != "UP").then(|| status.to_owned());
            registration
                .instance
                .insert("lastDirtyTimestamp".to_owned(), Self::timestamp().into());
        }
        self.record_change(&key, "MODIFIED");
    }

    /// Removes an instance and counts the cancel.
    fn cancel(&mut self, key: &(String, String)) {
        self.record_change(key, "DELETED");
        *self.cancelled.entry(key.clone()).or_default() += 1;
        self.registrations.remove(key);
    }

    /// Drops changes that are too old for deltas and, if enabled, instances whose lease has expired.
    fn remove_expired(&mut self) {
        self.recent_changes
            .retain(|(at, ..)| at.elapsed() < DELTA_RETENTION);
        if self.expires {
            let is_expired =
                |registration: &Registration| registration.renewed.elapsed() > registration.lease;
            let expired: Vec<_> = self
                .registrations
                .iter()
                .filter(|(_, registration)| is_expired(registration))
                .map(|(k, _)| k.clone())
                .collect();
            expired.iter().for_each(|key| self.cancel(key));
        }
    }

    /// The hash code `apps__hashcode`: the number of instances of each status.
    fn hash(&self) -> String {
        if self.behaviour.wrong_hash {
            return "UP_99999_".to_owned();
        }
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for registration in self.registrations.values() {
            let shown = Self::shown_instance(registration, "ADDED");
            *counts
                .entry(shown["status"].as_str().unwrap_or("UNKNOWN").to_owned())
                .or_default() += 1;
        }
        counts
            .into_iter()
            .map(|(status, count)| format!("{status}_{count}_"))
            .collect()
    }

    /// The JSON form of a list of instances, grouped by application.
    fn applications(&self, instances: Vec<(String, Value)>) -> Value {
        let mut apps: BTreeMap<String, Vec<Value>> = BTreeMap::new();
        for (app, instance) in instances {
            apps.entry(app).or_default().push(instance);
        }
        let apps: Vec<Value> = apps
            .into_iter()
            .map(|(name, instances)| json!({"name": name, "instance": instances}))
            .collect();
        let hash = if self.behaviour.empty {
            String::new()
        } else {
            self.hash()
        };
        json!({"applications": {"versions__delta": "1", "apps__hashcode": hash, "application": apps}})
    }

    /// The full list of the instances for which `wanted` holds.
    fn list(&self, wanted: impl Fn(&Registration) -> bool) -> Value {
        let listed = self
            .registrations
            .iter()
            .filter(|(_, registration)| !self.behaviour.empty && wanted(registration));
        self.applications(
            listed
                .map(|((app, _), registration)| {
                    (app.clone(), Self::shown_instance(registration, "ADDED"))
                })
                .collect(),
        )
    }

    /// The changes of the retention time.
    fn delta(&self) -> Value {
        let changes = self.recent_changes.iter().filter(|_| !self.behaviour.empty);
        self.applications(
            changes
                .map(|(_, app, instance)| (app.clone(), instance.clone()))
                .collect(),
        )
    }
}

/// Converts an answer from Eureka's JSON form to its XML form.
fn to_xml(value: &Value) -> String {
    fn escape(text: &str) -> String {
        text.replace('&', "&amp;")
            .replace('<', "&lt;")
            .replace('>', "&gt;")
    }
    fn write_element(name: &str, value: &Value, out: &mut String) {
        match value {
            Value::Array(items) => items.iter().for_each(|item| write_element(name, item, out)),
            Value::Object(map) if map.contains_key("$") => {
                let enabled = map
                    .get("@enabled")
                    .and_then(Value::as_str)
                    .unwrap_or("true");
                let number = map["$"].to_string();
                *out += &format!("<{name} enabled=\"{enabled}\">{number}</{name}>");
            }
            Value::Object(map) => {
                *out += &format!("<{name}>");
                map.iter()
                    .filter(|(key, _)| !key.starts_with('@'))
                    .for_each(|(key, v)| write_element(key, v, out));
                *out += &format!("</{name}>");
            }
            Value::String(text) => *out += &format!("<{name}>{}</{name}>", escape(text)),
            other => *out += &format!("<{name}>{other}</{name}>"),
        }
    }
    let mut out = String::new();
    if let Value::Object(map) = value {
        map.iter()
            .for_each(|(key, value)| write_element(key, value, &mut out));
    }
    out
}
