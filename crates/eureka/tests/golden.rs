//! What is said to a Eureka registry and what its answers come to, as golden files: the requests as they are written,
//! and each part of an answer in words of this file's own.

use insta::assert_snapshot;
use marbledeck_dispatcher::Micros;
use marbledeck_eureka::{
    Change, DeltaAction, Encoding, FetchKind, Instance, InstanceStatus, Lease, LeaseSettings,
    MetadataKeys, Poll, PollRequest, PollSettings, ResponseFormat, ResponseItem, ResponseReader,
};
use marbledeck_membership::{SourceReport, Status};
use std::fmt::Write;

const FULL_JSON: &str = r#"{"applications":{"versions__delta":"1","apps__hashcode":"STARTING_1_UNKNOWN_1_UP_2_","application":[
{"name":"RENDER","instance":[
 {"instanceId":"h1:render:8000","hostName":"h1","app":"RENDER","ipAddr":"127.0.0.1","status":"UP",
  "overriddenstatus":"UNKNOWN","port":{"$":8000,"@enabled":"true"},"securePort":{"$":8443,"@enabled":"true"},
  "countryId":1,"dataCenterInfo":{"@class":"com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo","name":"MyOwn"},
  "leaseInfo":{"renewalIntervalInSecs":30,"serviceUpTimestamp":1416441443000},
  "metadata":{"@class":"java.util.Collections$EmptyMap","zone":"east","worker":"w1","rack":"7","odd":"}]\"{\\","n":3,"b":true},
  "vipAddress":"render,other","lastDirtyTimestamp":"1416441443001","actionType":"ADDED"},
 {"instanceId":"h2:render:8000","app":"RENDER","ipAddr":"127.0.0.2","status":"UP","overriddenStatus":"OUT_OF_SERVICE",
  "port":{"$":"8001","@enabled":true},"securePort":{"$":443,"@enabled":"false"},"metadata":{"kind":"std"},
  "lastDirtyTimestamp":7,"actionType":"MODIFIED"},
 {"hostName":"h4","app":"RENDER","ipAddr":"::1","status":"starting","port":8002,"actionType":"DELETED"}]},
{"name":"OTHER","instance":{"hostName":"h3","app":"OTHER","ipAddr":"no address","status":"SLEEPING","port":0}}]}}"#;

const FULL_XML: &str = r#"<?xml version="1.0"?><!-- <instance> --><applications>
<versions__delta>1</versions__delta><apps__hashcode>OUT_OF_SERVICE_1_UP_2_</apps__hashcode>
<application><name>RENDER</name>
<instance><instanceId>h1:render:8000</instanceId><hostName>h1</hostName><app>RENDER</app><ipAddr>127.0.0.1</ipAddr>
<status>UP</status><overriddenstatus>UNKNOWN</overriddenstatus><port enabled="true">8000</port>
<securePort enabled="true">8443</securePort><countryId>1</countryId>
<dataCenterInfo class="com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo"><name>MyOwn</name></dataCenterInfo>
<leaseInfo><renewalIntervalInSecs>30</renewalIntervalInSecs><serviceUpTimestamp>1416441443000</serviceUpTimestamp></leaseInfo>
<metadata><zone>east</zone><worker>w1</worker><rack>7</rack><odd><![CDATA[</instance>]]></odd></metadata>
<vipAddress>render,other</vipAddress><lastDirtyTimestamp>1416441443001</lastDirtyTimestamp><actionType>ADDED</actionType></instance>
<instance><instanceId>h2:render:8000</instanceId><app>RENDER</app><ipAddr>127.0.0.2</ipAddr><status>UP</status>
<overriddenStatus>OUT_OF_SERVICE</overriddenStatus><port enabled="true">8001</port>
<securePort enabled="false">443</securePort><metadata><kind>std</kind></metadata>
<lastDirtyTimestamp>7</lastDirtyTimestamp><actionType>MODIFIED</actionType></instance>
<instance><hostName>h4</hostName><app>RENDER</app><ipAddr>::1</ipAddr><status>starting</status><port>8002</port>
<actionType>DELETED</actionType></instance></application>
<application><name>OTHER</name><instance><hostName>h3</hostName><app>OTHER</app><ipAddr>no address</ipAddr>
<status>SLEEPING</status><port>0</port></instance></application></applications>"#;

fn lease_settings() -> LeaseSettings {
    LeaseSettings {
        registries: 2,
        path: "/eureka".to_owned(),
        app: "marbledeck".to_owned(),
        id: "n0".to_owned(),
        address: "127.0.0.1:8000".parse().expect("an address"),
        renewal_interval: Micros(30_000_000),
        timeout: Micros(1_000_000),
    }
}

/// The next request of a lease, answered with this status; none where it gets no answer.
fn lease_step(lease: &mut Lease, status: Option<u16>, text: &mut String) {
    let Some(due) = lease.next_wake() else {
        let _ = writeln!(text, "nothing more is said");
        return;
    };
    let Some(ask) = lease.next_request(due) else {
        let _ = writeln!(text, "at {}: given up", due.0);
        return;
    };
    let (registry, method, path, body) = (ask.registry, ask.method, &ask.path, &ask.body);
    let _ = writeln!(
        text,
        "at {} until {}, registry {registry}: {method} {path}",
        due.0, ask.deadline.0
    );
    if !body.is_empty() {
        let _ = writeln!(text, "{body}");
    }
    if let Some(status) = status {
        let _ = writeln!(text, "  answered with {status}");
        lease.handle_response(due, ask.number, status);
    }
}

/// The node's own entry: registered, renewed, forgotten, lost, and taken out.
#[test]
fn lease_requests() {
    let mut text = String::new();
    let mut lease = Lease::new(lease_settings(), Micros(0));
    for status in [Some(204), Some(200), Some(404), Some(204), Some(503)] {
        lease_step(&mut lease, status, &mut text);
    }
    // Unanswered, given up, and asked of the next registry.
    for status in [None, None, Some(200)] {
        lease_step(&mut lease, status, &mut text);
    }
    text += "the node ends\n";
    lease.deregister(Micros(100_000_000));
    for status in [Some(200), Some(500), Some(200), None] {
        lease_step(&mut lease, status, &mut text);
    }
    let six = LeaseSettings {
        address: "[::1]:8001".parse().expect("an address"),
        renewal_interval: Micros(500_000),
        path: String::new(),
        ..lease_settings()
    };
    text += "a node with another address, renewed more often, under no path\n";
    lease_step(&mut Lease::new(six, Micros(5)), Some(204), &mut text);
    text += "handed to another process and back\n";
    let mut lease = Lease::new(lease_settings(), Micros(0));
    lease_step(&mut lease, Some(204), &mut text);
    lease.set_handed_over(Micros(5), true);
    lease_step(&mut lease, None, &mut text);
    lease.set_handed_over(Micros(7), false);
    lease_step(&mut lease, Some(204), &mut text);
    assert_snapshot!("lease_requests", text);
}

fn settings() -> PollSettings {
    PollSettings {
        registries: 1,
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

fn keys() -> MetadataKeys {
    MetadataKeys {
        id: Some("worker".to_owned()),
        zone: Some("zone".to_owned()),
        kind: Some("kind".to_owned()),
        rack: Some("rack".to_owned()),
        secure: false,
    }
}

fn shown_word(word: &SourceReport) -> String {
    let addr = word.address.map_or("none".to_owned(), |a| a.to_string());
    let cell = word.cell.map_or("none".to_owned(), |c| c.0.to_string());
    let started = word
        .started_at
        .map_or("none".to_owned(), |s| s.0.to_string());
    let status = match word.status {
        Status::Up => "up",
        Status::Draining => "draining",
        Status::OutOfService => "out of service",
        Status::Starting => "starting",
        Status::Down => "down",
        Status::Unknown => "unknown",
    };
    format!(
        "worker {}, address {addr}, status {status}, zone '{}', kind '{}', rack {cell}, started {started}, dirty {}",
        word.id, word.zone, word.kind, word.version
    )
}

fn shown_instance(instance: &Instance) -> String {
    let action = match instance.action {
        DeltaAction::Added => "added",
        DeltaAction::Modified => "modified",
        DeltaAction::Deleted => "deleted",
    };
    let port = |port: Option<u16>| port.map_or("none".to_owned(), |p| p.to_string());
    let mut text = format!(
        "instance {}\n  app {}, status {}, overridden {}, effective {}, action {action}\n  ip {}, port {}, secure port {}, vip '{}'\n  dirty {}, up since {}\n",
        instance.id,
        instance.app,
        instance.status.wire_name(),
        instance.overridden_status.wire_name(),
        instance.effective().wire_name(),
        instance.ip,
        port(instance.port),
        port(instance.secure_port),
        instance.vip,
        instance.last_dirty_ms,
        instance.up_since_ms,
    );
    for (name, value) in &instance.metadata {
        let _ = writeln!(text, "  {name} = {value}");
    }
    let secure = MetadataKeys {
        secure: true,
        ..MetadataKeys::default()
    };
    let _ = writeln!(
        text,
        "  with keys: {}",
        shown_word(&instance.source_report(&keys()))
    );
    let _ = writeln!(
        text,
        "  secure:    {}",
        shown_word(&instance.source_report(&secure))
    );
    text
}

fn shown_answer(form: ResponseFormat, bytes: &[u8]) -> String {
    let mut reader = ResponseReader::new(form, Encoding::Plain);
    let read = reader.push(bytes).and_then(|mut items| {
        items.extend(reader.finish()?);
        Ok(items)
    });
    let items = match read {
        Ok(items) => items,
        Err(fault) => return format!("fault: {fault}\n"),
    };
    items
        .iter()
        .map(|item| match item {
            ResponseItem::Hash(hash) => format!("hash code {hash}\n"),
            ResponseItem::Instance(instance) => shown_instance(instance),
        })
        .collect()
}

#[test]
fn an_answer_in_json() {
    let text = shown_answer(ResponseFormat::Json, FULL_JSON.as_bytes());
    assert_snapshot!("an_answer_in_json", text);
}

#[test]
fn an_answer_in_xml() {
    let text = shown_answer(ResponseFormat::Xml, FULL_XML.as_bytes());
    assert_snapshot!("an_answer_in_xml", text);
}

/// What is wrong with an answer is told to operators.
#[test]
fn answers_that_are_refused() {
    let deep = "[".repeat(65);
    let long = format!(
        r#"{{"instance":{{"instanceId":"{}"}}}}"#,
        "x".repeat(70_000)
    );
    let many = format!(
        "[{}]",
        vec![r#"{"instance":{"instanceId":"i"}}"#; 65_537].join(",")
    );
    let json = [
        ("nothing", ""),
        ("cut", "{"),
        ("no JSON", "?"),
        ("two values", "{}{}"),
        ("no id", r#"{"instance":{"instanceId":""}}"#),
        ("no number", r#"{"instance":{"a":1e}}"#),
        ("an id that is a list", r#"{"instance":{"instanceId":[]}}"#),
        ("too deep", &deep),
        ("too long", &long),
        ("too many", &many),
    ];
    let deep = "<a>".repeat(65);
    let xml = [
        ("nothing", ""),
        ("cut", "<a>"),
        ("no XML", "text"),
        ("two documents", "<a></a><b></b>"),
        (
            "tags that do not match",
            "<a><instance><b></instance></a></a>",
        ),
        ("a tag in a tag", "<a <b>"),
        ("an odd tag", "<>"),
        ("a document type", "<!DOCTYPE a []><a></a>"),
        (
            "an entity",
            "<a><instance><instanceId>&lol;</instanceId></instance></a>",
        ),
        (
            "no id",
            "<a><instance><instanceId></instanceId></instance></a>",
        ),
        ("too deep", &deep),
    ];
    let mut text = String::new();
    for (name, answer) in json {
        let _ = write!(
            text,
            "JSON, {name}: {}",
            shown_answer(ResponseFormat::Json, answer.as_bytes())
        );
    }
    for (name, answer) in xml {
        let _ = write!(
            text,
            "XML, {name}: {}",
            shown_answer(ResponseFormat::Xml, answer.as_bytes())
        );
    }
    assert_snapshot!("answers_that_are_refused", text);
}

/// A poll whose questions, answers and changes are written down.
struct Transcript {
    poll: Poll,
    now: Micros,
    text: String,
}

impl Transcript {
    fn new(settings: PollSettings) -> Self {
        Transcript {
            poll: Poll::new(settings, Micros(0), 7),
            now: Micros(0),
            text: String::new(),
        }
    }

    /// Waits for the next question.
    fn ask(&mut self) -> PollRequest {
        for _ in 0..100 {
            self.now = self.now.max(self.poll.next_wake());
            if let Some(ask) = self.poll.next_request(self.now) {
                let what = match ask.kind {
                    FetchKind::Full => "full",
                    FetchKind::Delta => "delta",
                };
                let _ = writeln!(
                    self.text,
                    "at {} until {}, registry {}: GET {} ({what})",
                    self.now.0, ask.deadline.0, ask.registry, ask.path
                );
                return ask;
            }
        }
        panic!("nothing is asked");
    }

    fn answer(&mut self, ask: &PollRequest, status: u16, form: ResponseFormat, body: &str) {
        let _ = writeln!(self.text, "  answered with {status}");
        let (now, number) = (self.now, ask.number);
        self.poll
            .handle_head(now, number, status, form, Encoding::Plain);
        self.poll.handle_bytes(now, number, body.as_bytes());
        self.poll.handle_end(now, number);
        // A delta is taken a bit at a time.
        while self.poll.next_wake() == Micros(0) && now > Micros(0) {
            assert!(self.poll.next_request(now).is_none());
        }
        for change in self.poll.take_changes() {
            let shown = match change {
                Change::ListBegin => "list begins".to_owned(),
                Change::ListPart(words) => words
                    .iter()
                    .map(shown_word)
                    .collect::<Vec<_>>()
                    .join("\n  "),
                Change::ListEnd => "list ends".to_owned(),
                Change::Reported(word) => format!("named: {}", shown_word(&word)),
                Change::Removed { id, explicit } => format!("removed: {id}, explicit {explicit}"),
            };
            let _ = writeln!(self.text, "  {shown}");
        }
        if let Some(trouble) = &self.poll.last_failure {
            let _ = writeln!(self.text, "  trouble: {trouble}");
        }
    }
}

fn delta(hash: &str, instances: &[(&str, &str, &str)]) -> String {
    let instance = |(id, status, action): &(&str, &str, &str)| {
        format!(
            r#"{{"instanceId":"{id}","app":"render","ipAddr":"127.0.0.1","status":"{status}","port":{{"$":8000}},"actionType":"{action}"}}"#
        )
    };
    let instances: Vec<String> = instances.iter().map(instance).collect();
    format!(
        r#"{{"applications":{{"apps__hashcode":"{hash}","application":{{"name":"RENDER","instance":[{}]}}}}}}"#,
        instances.join(",")
    )
}

#[test]
fn a_poll() {
    let mut t = Transcript::new(PollSettings {
        keys: keys(),
        ..settings()
    });
    let ask = t.ask();
    t.answer(&ask, 200, ResponseFormat::Json, FULL_JSON);
    let ask = t.ask();
    let changes = [
        ("c", "UP", "ADDED"),
        ("c", "DOWN", "MODIFIED"),
        ("h9", "UP", "DELETED"),
    ];
    t.answer(&ask, 200, ResponseFormat::Json, &delta("none", &changes));
    let ask = t.ask();
    t.answer(&ask, 200, ResponseFormat::Xml, FULL_XML);
    let ask = t.ask();
    let gone = [("h1:render:8000", "UP", "DELETED")];
    t.answer(&ask, 200, ResponseFormat::Json, &delta("UP_1_", &gone));
    for (status, body) in [
        (404, ""),
        (503, ""),
        (200, "{"),
        (200, &*delta("UP_1_", &[])),
    ] {
        let ask = t.ask();
        t.answer(&ask, status, ResponseFormat::Json, body);
    }
    let ask = t.ask();
    t.now = ask.deadline;
    let ask = t.ask();
    t.answer(&ask, 200, ResponseFormat::Json, &delta("", &[]));
    assert_snapshot!("a_poll", t.text);
}

/// Whole reads only, those of a virtual address, and several registries.
#[test]
fn other_polls() {
    let mut text = String::new();
    for settings in [
        PollSettings {
            deltas: false,
            ..settings()
        },
        PollSettings {
            vip: Some("render".to_owned()),
            path: "/eureka/v2".to_owned(),
            ..settings()
        },
        PollSettings {
            registries: 2,
            path: String::new(),
            ..settings()
        },
    ] {
        let mut t = Transcript::new(settings);
        let ask = t.ask();
        t.answer(&ask, 200, ResponseFormat::Json, FULL_JSON);
        let ask = t.ask();
        t.answer(&ask, 500, ResponseFormat::Json, "");
        let ask = t.ask();
        t.answer(&ask, 200, ResponseFormat::Json, FULL_JSON);
        let _ = writeln!(text, "{}", t.text);
    }
    assert_snapshot!("other_polls", text);
}

#[test]
fn hash_codes() {
    use InstanceStatus::{Down, OutOfService, Starting, Unknown, Up};
    let all = [Up, Down, Up, OutOfService, Starting, Unknown];
    let mut text = String::new();
    for statuses in [&all[..], &all[..1], &[]] {
        let code = marbledeck_eureka::hash_code(statuses.iter().copied());
        let _ = writeln!(text, "'{code}'");
    }
    assert_snapshot!("hash_codes", text);
}
