//! A stand-in for a Eureka registry, on the public wire of its REST operations: register, renew, cancel, status
//! overrides, whole lists and deltas, JSON and XML. A test tells it to have a bad day.

use crate::http::{self, Request};
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What a registry does besides answering as it should.
#[derive(Clone, Debug, Default)]
pub struct Mood {
    /// Answers come so late.
    pub late: Duration,
    /// Questions are read and never answered.
    pub silent: bool,
    /// Every question gets this status.
    pub status: Option<u16>,
    /// Answers break off after so many bytes.
    pub cut: Option<usize>,
    /// The hash code is never right.
    pub wrong_hash: bool,
    /// Changes do not show up in deltas.
    pub loses_deltas: bool,
    /// Lists and deltas are told as if there were nobody.
    pub empty: bool,
}

#[derive(Clone)]
struct Held {
    instance: Map<String, Value>,
    overridden: Option<String>,
    renewed: Instant,
    lease: Duration,
}

#[derive(Default)]
struct State {
    /// By application and id.
    held: BTreeMap<(String, String), Held>,
    /// What has changed, and when.
    recent: Vec<(Instant, String, Value)>,
    mood: Mood,
    /// How often each path was asked for.
    asked: BTreeMap<String, usize>,
    cancelled: BTreeMap<(String, String), usize>,
    /// Leases that run out are removed.
    expires: bool,
}

/// The stand-in; it serves until the program ends.
#[derive(Clone)]
pub struct Registry {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

/// For how long a change is told in deltas.
const RECENT: Duration = Duration::from_secs(180);

impl Registry {
    /// Listens on a free port.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let registry = Registry {
            addr: listener.local_addr().expect("bound"),
            state: Arc::default(),
        };
        let own = registry.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                std::thread::spawn(move || own.serve(stream));
            }
        });
        registry
    }

    /// Where clients find it.
    pub fn url(&self) -> String {
        format!("http://{}/eureka", self.addr)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// From now on it behaves like this.
    pub fn set_mood(&self, mood: Mood) {
        self.state().mood = mood;
    }

    /// From now on leases run out.
    pub fn expire(&self) {
        self.state().expires = true;
    }

    /// Forgets everything, as at a restart.
    pub fn restart(&self) {
        let mut state = self.state();
        state.held.clear();
        state.recent.clear();
    }

    /// An instance's status as it is shown; none where it is not held.
    pub fn status(&self, app: &str, id: &str) -> Option<String> {
        let state = self.state();
        let held = state.held.get(&(app.to_uppercase(), id.to_owned()))?;
        let shown = State::shown(held, "ADDED");
        shown["status"].as_str().map(str::to_owned)
    }

    /// How often an instance was cancelled, or has expired.
    pub fn cancels(&self, app: &str, id: &str) -> usize {
        let key = (app.to_uppercase(), id.to_owned());
        self.state().cancelled.get(&key).copied().unwrap_or(0)
    }

    /// How often a path was asked for.
    pub fn asked(&self, path: &str) -> usize {
        self.state().asked.get(path).copied().unwrap_or(0)
    }

    /// Registers a worker as its own client would.
    pub fn register(&self, app: &str, id: &str, addr: SocketAddr) {
        let instance = json!({"instanceId": id, "hostName": id, "app": app, "ipAddr": addr.ip().to_string(),
            "status": "UP", "port": {"$": addr.port(), "@enabled": "true"}, "vipAddress": "render",
            "metadata": {"worker": id, "zone": "east", "kind": "std"}});
        self.state().register(app, id, instance);
    }

    /// Sets a status from outside; `UP` takes it back.
    pub fn override_status(&self, app: &str, id: &str, status: &str) {
        self.state().set_status(app, id, status);
    }

    /// Removes an instance, as by its own cancel after it has said DOWN, or else as an expired lease.
    pub fn remove(&self, app: &str, id: &str, on_purpose: bool) {
        let mut state = self.state();
        let key = (app.to_uppercase(), id.to_owned());
        if let Some(held) = state.held.get_mut(&key).filter(|_| on_purpose) {
            held.instance.insert("status".to_owned(), "DOWN".into());
        }
        state.cancel(&key);
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reading = BufReader::new(reading);
        while let Ok(Some(request)) = http::read(&mut reading) {
            let mood = self.state().mood.clone();
            if mood.silent {
                std::thread::sleep(Duration::from_secs(3600));
                return;
            }
            std::thread::sleep(mood.late);
            let (status, kind, body) = match mood.status {
                Some(status) => (status, "text/plain", String::new()),
                None => self.answer(&request),
            };
            let head = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let whole = head + &body;
            let sent = &whole.as_bytes()[..mood.cut.unwrap_or(whole.len()).min(whole.len())];
            if stream.write_all(sent).is_err() || sent.len() < whole.len() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, &'static str, String) {
        let mut state = self.state();
        state.sweep();
        let path = request.target.split('?').next().unwrap_or_default();
        let path = path.trim_end_matches('/').to_owned();
        *state.asked.entry(path.clone()).or_default() += 1;
        let parts: Vec<&str> = path.split('/').skip(2).collect();
        let xml = request
            .field("Accept")
            .is_some_and(|accept| accept.contains("xml"));
        let told = |value: Value| match xml {
            true => (200, "application/xml", to_xml(&value)),
            false => (200, "application/json", value.to_string()),
        };
        let nothing = |status| (status, "text/plain", String::new());
        match (request.method.as_str(), parts.as_slice()) {
            ("GET", ["apps"]) => told(state.list(|_| true)),
            ("GET", ["apps", "delta"]) => told(state.delta()),
            ("GET", ["vips", vip]) => {
                told(state.list(|held| held.instance.get("vipAddress") == Some(&json!(vip))))
            }
            ("GET", ["apps", app]) => {
                let app = app.to_uppercase();
                told(state.list(|held| held.instance.get("app") == Some(&json!(app))))
            }
            ("POST", ["apps", app]) => match serde_json::from_slice::<Value>(&request.body) {
                Ok(value) => {
                    let instance = value["instance"].clone();
                    let id = instance["instanceId"]
                        .as_str()
                        .or(instance["hostName"].as_str());
                    match id.map(str::to_owned) {
                        Some(id) => {
                            state.register(app, &id, instance);
                            nothing(204)
                        }
                        None => nothing(400),
                    }
                }
                Err(_) => nothing(400),
            },
            (method, ["apps", app, id, rest @ ..]) => {
                let key = (app.to_uppercase(), (*id).to_owned());
                if !state.held.contains_key(&key) {
                    return nothing(404);
                }
                match (method, rest) {
                    ("GET", []) => told(json!({"instance": state.held[&key].instance})),
                    ("PUT", []) => {
                        if let Some(held) = state.held.get_mut(&key) {
                            held.renewed = Instant::now();
                        }
                        nothing(200)
                    }
                    ("DELETE", []) => {
                        state.cancel(&key);
                        nothing(200)
                    }
                    ("PUT", ["status"]) => {
                        let status = request.query("value").unwrap_or("UNKNOWN").to_owned();
                        state.set_status(app, id, &status);
                        nothing(200)
                    }
                    ("DELETE", ["status"]) => {
                        state.set_status(app, id, "UP");
                        nothing(200)
                    }
                    _ => nothing(405),
                }
            }
            _ => nothing(404),
        }
    }
}

impl State {
    fn stamp() -> String {
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
        instance.insert("lastDirtyTimestamp".to_owned(), Self::stamp().into());
        let lease = &instance
            .get("leaseInfo")
            .map(|lease| lease["durationInSecs"].clone());
        let lease = lease.as_ref().and_then(|l| l.as_u64()).unwrap_or(90);
        let held = Held {
            instance,
            overridden: None,
            renewed: Instant::now(),
            lease: Duration::from_secs(lease),
        };
        let key = (app, id.to_owned());
        self.held.insert(key.clone(), held);
        self.changed(&key, "ADDED");
    }

    fn shown(held: &Held, action: &str) -> Value {
        let mut instance = held.instance.clone();
        let overridden = held
            .overridden
            .clone()
            .unwrap_or_else(|| "UNKNOWN".to_owned());
        if overridden != "UNKNOWN" {
            instance.insert("status".to_owned(), overridden.clone().into());
        }
        instance.insert("overriddenstatus".to_owned(), overridden.into());
        instance.insert("actionType".to_owned(), action.into());
        Value::Object(instance)
    }

    fn changed(&mut self, key: &(String, String), action: &str) {
        if let Some(held) = self.held.get(key).filter(|_| !self.mood.loses_deltas) {
            let shown = Self::shown(held, action);
            self.recent.push((Instant::now(), key.0.clone(), shown));
        }
    }

    fn set_status(&mut self, app: &str, id: &str, status: &str) {
        let key = (app.to_uppercase(), id.to_owned());
        if let Some(held) = self.held.get_mut(&key) {
            held.overridden = (status != "UP").then(|| status.to_owned());
            held.instance
                .insert("lastDirtyTimestamp".to_owned(), Self::stamp().into());
        }
        self.changed(&key, "MODIFIED");
    }

    fn cancel(&mut self, key: &(String, String)) {
        self.changed(key, "DELETED");
        *self.cancelled.entry(key.clone()).or_default() += 1;
        self.held.remove(key);
    }

    fn sweep(&mut self) {
        self.recent.retain(|(at, ..)| at.elapsed() < RECENT);
        if self.expires {
            let over = |held: &Held| held.renewed.elapsed() > held.lease;
            let old: Vec<_> = self
                .held
                .iter()
                .filter(|(_, held)| over(held))
                .map(|(k, _)| k.clone())
                .collect();
            old.iter().for_each(|key| self.cancel(key));
        }
    }

    fn hash(&self) -> String {
        if self.mood.wrong_hash {
            return "UP_99999_".to_owned();
        }
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for held in self.held.values() {
            let shown = Self::shown(held, "ADDED");
            *counts
                .entry(shown["status"].as_str().unwrap_or("UNKNOWN").to_owned())
                .or_default() += 1;
        }
        counts
            .into_iter()
            .map(|(status, count)| format!("{status}_{count}_"))
            .collect()
    }

    fn told(&self, instances: Vec<(String, Value)>) -> Value {
        let mut apps: BTreeMap<String, Vec<Value>> = BTreeMap::new();
        for (app, instance) in instances {
            apps.entry(app).or_default().push(instance);
        }
        let apps: Vec<Value> = apps
            .into_iter()
            .map(|(name, i)| json!({"name": name, "instance": i}))
            .collect();
        let hash = if self.mood.empty {
            String::new()
        } else {
            self.hash()
        };
        json!({"applications": {"versions__delta": "1", "apps__hashcode": hash, "application": apps}})
    }

    fn list(&self, wanted: impl Fn(&Held) -> bool) -> Value {
        let held = self
            .held
            .iter()
            .filter(|(_, held)| !self.mood.empty && wanted(held));
        self.told(
            held.map(|((app, _), held)| (app.clone(), Self::shown(held, "ADDED")))
                .collect(),
        )
    }

    fn delta(&self) -> Value {
        let recent = self.recent.iter().filter(|_| !self.mood.empty);
        self.told(
            recent
                .map(|(_, app, instance)| (app.clone(), instance.clone()))
                .collect(),
        )
    }
}

/// The registry's XML of its JSON.
fn to_xml(value: &Value) -> String {
    fn escaped(text: &str) -> String {
        text.replace('&', "&amp;")
            .replace('<', "&lt;")
            .replace('>', "&gt;")
    }
    fn element(name: &str, value: &Value, out: &mut String) {
        match value {
            Value::Array(items) => items.iter().for_each(|item| element(name, item, out)),
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
                    .for_each(|(key, v)| element(key, v, out));
                *out += &format!("</{name}>");
            }
            Value::String(text) => *out += &format!("<{name}>{}</{name}>", escaped(text)),
            other => *out += &format!("<{name}>{other}</{name}>"),
        }
    }
    let mut out = String::new();
    if let Value::Object(map) = value {
        map.iter()
            .for_each(|(key, value)| element(key, value, &mut out));
    }
    out
}
