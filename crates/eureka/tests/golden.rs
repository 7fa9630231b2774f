//! Snapshot tests of the requests to a Eureka registry and of the results of its responses. Requests are recorded as
//! they are sent; instances, changes and errors are recorded in a textual form that this file defines.

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

/// Records the next request of a lease, and answers it with this status; none leaves it without a response.
fn step_lease(lease: &mut Lease, status: Option<u16>, text: &mut String) {
    let Some(due) = lease.next_wake() else {
        let _ = writeln!(text, "no more requests");
        return;
    };
    let Some(request) = lease.next_request(due) else {
        let _ = writeln!(text, "at {}: request abandoned", due.0);
        return;
    };
    let (registry, method, path, body) = (
        request.registry,
        request.method,
        &request.path,
        &request.body,
    );
    let _ = writeln!(
        text,
        "at {} until {}, registry {registry}: {method} {path}",
        due.0, request.deadline.0
    );
    if !body.is_empty() {
        let _ = writeln!(text, "{body}");
    }
    if let Some(status) = status {
        let _ = writeln!(text, "  answered with {status}");
        lease.handle_response(due, request.number, status);
    }
}

/// Registration, renewal, registration again after a 404, failures, and cancellation.
#[test]
fn lease_requests() {
    let mut text = String::new();
    let mut lease = Lease::new(lease_settings(), Micros(0));
    for status in [Some(204), Some(200), Some(404), Some(204), Some(503)] {
        step_lease(&mut lease, status, &mut text);
    }
    // A request without a response is abandoned, and the next registry is used.
    for status in [None, None, Some(200)] {
        step_lease(&mut lease, status, &mut text);
    }
    text += "the node shuts down\n";
    lease.deregister(Micros(100_000_000));
    for status in [Some(200), Some(500), Some(200), None] {
        step_lease(&mut lease, status, &mut text);
    }
    let ipv6_settings = LeaseSettings {
        address: "[::1]:8001".parse().expect("an address"),
        renewal_interval: Micros(500_000),
        path: String::new(),
        ..lease_settings()
    };
    text += "a node with an IPv6 address, a short renewal interval and an empty base path\n";
    step_lease(
        &mut Lease::new(ipv6_settings, Micros(5)),
        Some(204),
        &mut text,
    );
    text += "handed over to another process and back\n";
    let mut lease = Lease::new(lease_settings(), Micros(0));
    step_lease(&mut lease, Some(204), &mut text);
    lease.set_handed_over(Micros(5), true);
    step_lease(&mut lease, None, &mut text);
    lease.set_handed_over(Micros(7), false);
    step_lease(&mut lease, Some(204), &mut text);
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

fn describe_report(report: &SourceReport) -> String {
    let addr = report.address.map_or("none".to_owned(), |a| a.to_string());
    let cell = report.cell.map_or("none".to_owned(), |c| c.0.to_string());
    let started = report
        .started_at
        .map_or("none".to_owned(), |s| s.0.to_string());
    let status = match report.status {
        Status::Up => "up",
        Status::Draining => "draining",
        Status::OutOfService => "out of service",
        Status::Starting => "starting",
        Status::Down => "down",
        Status::Unknown => "unknown",
    };
    format!(
        "worker {}, address {addr}, status {status}, zone '{}', kind '{}', rack {cell}, started {started}, dirty {}",
        report.id, report.zone, report.kind, report.version
    )
}

fn describe_instance(instance: &Instance) -> String {
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
        describe_report(&instance.source_report(&keys()))
    );
    let _ = writeln!(
        text,
        "  secure:    {}",
        describe_report(&instance.source_report(&secure))
    );
    text
}

/// Reads a response and describes its items, or the error.
fn describe_response(format: ResponseFormat, bytes: &[u8]) -> String {
    let mut reader = ResponseReader::new(format, Encoding::Plain);
    let read = reader.push(bytes).and_then(|mut items| {
        items.extend(reader.finish()?);
        Ok(items)
    });
    let items = match read {
        Ok(items) => items,
        Err(error) => return format!("error: {error}\n"),
    };
    items
        .iter()
        .map(|item| match item {
            ResponseItem::Hash(hash) => format!("hash code {hash}\n"),
            ResponseItem::Instance(instance) => describe_instance(instance),
        })
        .collect()
}

#[test]
fn a_response_in_json() {
    let text = describe_response(ResponseFormat::Json, FULL_JSON.as_bytes());
    assert_snapshot!("a_response_in_json", text);
}

#[test]
fn a_response_in_xml() {
    let text = describe_response(ResponseFormat::Xml, FULL_XML.as_bytes());
    assert_snapshot!("a_response_in_xml", text);
}

/// The texts of all errors, which operators read in the log.
#[test]
fn rejected_responses() {
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
        ("empty", ""),
        ("truncated", "{"),
        ("not JSON", "?"),
        ("two values", "{}{}"),
        ("no id", r#"{"instance":{"instanceId":""}}"#),
        ("an invalid number", r#"{"instance":{"a":1e}}"#),
        ("an id that is a list", r#"{"instance":{"instanceId":[]}}"#),
        ("too deep", &deep),
        ("too long", &long),
        ("too many", &many),
    ];
    let deep = "<a>".repeat(65);
    let xml = [
        ("empty", ""),
        ("truncated", "<a>"),
        ("not XML", "text"),
        ("two documents", "<a></a><b></b>"),
        (
            "tags that do not match",
            "<a><instance><b></instance></a></a>",
        ),
        ("a tag inside a tag", "<a <b>"),
        ("an empty tag", "<>"),
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
    for (name, body) in json {
        let _ = write!(
            text,
            "JSON, {name}: {}",
            describe_response(ResponseFormat::Json, body.as_bytes())
        );
    }
    for (name, body) in xml {
        let _ = write!(
            text,
            "XML, {name}: {}",
            describe_response(ResponseFormat::Xml, body.as_bytes())
        );
    }
    assert_snapshot!("rejected_responses", text);
}

/// A poll whose requests, responses and changes are recorded as text.
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

    /// Advances the time to the next request and records it.
    fn next_request(&mut self) -> PollRequest {
        for _ in 0..100 {
            self.now = self.now.max(self.poll.next_wake());
            if let Some(request) = self.poll.next_request(self.now) {
                let kind = match request.kind {
                    FetchKind::Full => "full",
                    FetchKind::Delta => "delta",
                };
                let _ = writeln!(
                    self.text,
                    "at {} until {}, registry {}: GET {} ({kind})",
                    self.now.0, request.deadline.0, request.registry, request.path
                );
                return request;
            }
        }
        panic!("no request is due");
    }

    fn answer(&mut self, request: &PollRequest, status: u16, format: ResponseFormat, body: &str) {
        let _ = writeln!(self.text, "  answered with {status}");
        let (now, number) = (self.now, request.number);
        self.poll
            .handle_head(now, number, status, format, Encoding::Plain);
        self.poll.handle_bytes(now, number, body.as_bytes());
        self.poll.handle_end(now, number);
        // Each call applies some entries of a delta.
        while self.poll.next_wake() == Micros(0) && now > Micros(0) {
            assert!(self.poll.next_request(now).is_none());
        }
        for change in self.poll.take_changes() {
            let description = match change {
                Change::ListBegin => "list begins".to_owned(),
                Change::ListPart(reports) => reports
                    .iter()
                    .map(describe_report)
                    .collect::<Vec<_>>()
                    .join("\n  "),
                Change::ListEnd => "list ends".to_owned(),
                Change::Reported(report) => format!("reported: {}", describe_report(&report)),
                Change::Removed { id, explicit } => format!("removed: {id}, explicit {explicit}"),
                Change::Renamed { id } => format!("renamed: {id}"),
            };
            let _ = writeln!(self.text, "  {description}");
        }
        if let Some(failure) = &self.poll.last_failure {
            let _ = writeln!(self.text, "  failure: {failure}");
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
    let mut transcript = Transcript::new(PollSettings {
        keys: keys(),
        ..settings()
    });
    let request = transcript.next_request();
    transcript.answer(&request, 200, ResponseFormat::Json, FULL_JSON);
    let request = transcript.next_request();
    let changes = [
        ("c", "UP", "ADDED"),
        ("c", "DOWN", "MODIFIED"),
        ("h9", "UP", "DELETED"),
    ];
    transcript.answer(
        &request,
        200,
        ResponseFormat::Json,
        &delta("none", &changes),
    );
    let request = transcript.next_request();
    transcript.answer(&request, 200, ResponseFormat::Xml, FULL_XML);
    let request = transcript.next_request();
    let gone = [("h1:render:8000", "UP", "DELETED")];
    transcript.answer(&request, 200, ResponseFormat::Json, &delta("UP_1_", &gone));
    for (status, body) in [
        (404, ""),
        (503, ""),
        (200, "{"),
        (200, &*delta("UP_1_", &[])),
    ] {
        let request = transcript.next_request();
        transcript.answer(&request, status, ResponseFormat::Json, body);
    }
    let request = transcript.next_request();
    transcript.now = request.deadline;
    let request = transcript.next_request();
    transcript.answer(&request, 200, ResponseFormat::Json, &delta("", &[]));
    assert_snapshot!("a_poll", transcript.text);
}

/// Polls without deltas, of a virtual address, and of several registries.
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
        let mut transcript = Transcript::new(settings);
        let request = transcript.next_request();
        transcript.answer(&request, 200, ResponseFormat::Json, FULL_JSON);
        let request = transcript.next_request();
        transcript.answer(&request, 500, ResponseFormat::Json, "");
        let request = transcript.next_request();
        transcript.answer(&request, 200, ResponseFormat::Json, FULL_JSON);
        let _ = writeln!(text, "{}", transcript.text);
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
