//! Answers of a registry, as its public client would get them, whole, in pieces, cut and mutated.

use flate2::{write::GzEncoder, Compression};
use marbledeck_dispatcher::{CellId, Micros};
use marbledeck_eureka::*;
use marbledeck_membership::Status;
use proptest::prelude::*;
use std::io::Write;

const JSON: &str = r#"{"applications":{"versions__delta":"1","apps__hashcode":"UP_2_OUT_OF_SERVICE_1_","application":[
{"name":"RENDER","instance":[
 {"instanceId":"h1:render:8000","hostName":"h1","app":"RENDER","ipAddr":"127.0.0.1","status":"UP",
  "overriddenstatus":"UNKNOWN","port":{"$":8000,"@enabled":"true"},"securePort":{"$":443,"@enabled":"false"},
  "countryId":1,"dataCenterInfo":{"@class":"com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo","name":"MyOwn"},
  "leaseInfo":{"renewalIntervalInSecs":30,"serviceUpTimestamp":1416441443000},
  "metadata":{"@class":"java.util.Collections$EmptyMap","zone":"keller-ost","worker":"w1","rack":"7","odd":"}]\"{\\"},
  "vipAddress":"render","lastDirtyTimestamp":"1416441443001","actionType":"ADDED"},
 {"instanceId":"h2:render:8000","app":"RENDER","ipAddr":"127.0.0.2","status":"UP","overriddenStatus":"OUT_OF_SERVICE",
  "port":{"$":"8001","@enabled":true},"metadata":{},"lastDirtyTimestamp":7}]},
{"name":"OTHER","instance":{"hostName":"h3","app":"OTHER","ipAddr":"no address","status":"SLEEPING","port":0}}]}}"#;

const XML: &str = r#"<?xml version="1.0"?><!-- <instance> --><applications>
<versions__delta>1</versions__delta><apps__hashcode>UP_2_OUT_OF_SERVICE_1_</apps__hashcode>
<application><name>RENDER</name>
<instance><instanceId>h1:render:8000</instanceId><hostName>h1</hostName><app>RENDER</app><ipAddr>127.0.0.1</ipAddr>
<status>UP</status><overriddenstatus>UNKNOWN</overriddenstatus><port enabled="true">8000</port>
<securePort enabled="false">443</securePort><countryId>1</countryId>
<dataCenterInfo class="com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo"><name>MyOwn</name></dataCenterInfo>
<leaseInfo><renewalIntervalInSecs>30</renewalIntervalInSecs><serviceUpTimestamp>1416441443000</serviceUpTimestamp></leaseInfo>
<metadata><zone>keller-ost</zone><worker>w1</worker><rack>7</rack><odd><![CDATA[</instance>]]></odd></metadata>
<vipAddress>render</vipAddress><lastDirtyTimestamp>1416441443001</lastDirtyTimestamp><actionType>ADDED</actionType></instance>
<instance><instanceId>h2:render:8000</instanceId><app>RENDER</app><ipAddr>127.0.0.2</ipAddr><status>UP</status>
<overriddenstatus>OUT_OF_SERVICE</overriddenstatus><port enabled="true">8001</port><metadata/>
<lastDirtyTimestamp>7</lastDirtyTimestamp></instance></application>
<application><name>OTHER</name><instance><hostName>h3</hostName><app>OTHER</app><ipAddr>no address</ipAddr>
<status>SLEEPING</status></instance></application></applications>"#;

fn read(
    form: ResponseFormat,
    encoding: Encoding,
    bytes: &[u8],
    piece: usize,
) -> Result<Vec<ResponseItem>, ResponseError> {
    let mut reader = ResponseReader::new(form, encoding);
    let mut items = Vec::new();
    for part in bytes.chunks(piece.max(1)) {
        items.extend(reader.push(part)?);
    }
    items.extend(reader.finish()?);
    Ok(items)
}

fn zipped(text: &str) -> Vec<u8> {
    let mut gzip = GzEncoder::new(Vec::new(), Compression::fast());
    gzip.write_all(text.as_bytes()).unwrap();
    gzip.finish().unwrap()
}

fn keys() -> MetadataKeys {
    MetadataKeys {
        id: Some("worker".to_owned()),
        zone: Some("zone".to_owned()),
        rack: Some("rack".to_owned()),
        ..MetadataKeys::default()
    }
}

/// Both forms come to the same, in whatever pieces they come.
#[test]
fn json_and_xml_give_the_same_instances() {
    for (form, text) in [(ResponseFormat::Json, JSON), (ResponseFormat::Xml, XML)] {
        let whole = read(form, Encoding::Plain, text.as_bytes(), usize::MAX).unwrap();
        assert_eq!(whole.len(), 4, "{form:?}");
        assert_eq!(
            whole[0],
            ResponseItem::Hash("UP_2_OUT_OF_SERVICE_1_".to_owned())
        );
        let instances: Vec<&Instance> = whole
            .iter()
            .filter_map(|item| match item {
                ResponseItem::Instance(instance) => Some(&**instance),
                ResponseItem::Hash(_) => None,
            })
            .collect();
        let word = instances[0].source_report(&keys());
        assert_eq!(
            (word.id.as_str(), word.status, word.zone.as_str()),
            ("w1", Status::Up, "keller-ost")
        );
        assert_eq!(word.address, Some("127.0.0.1:8000".parse().unwrap()));
        assert_eq!(
            (word.cell, word.version),
            (Some(CellId(7)), 1_416_441_443_001)
        );
        assert_eq!(word.started_at, Some(Micros(1_416_441_443_000_000)));
        assert_eq!(instances[0].secure_port, None);
        let word = instances[1].source_report(&keys());
        assert_eq!(
            (word.id.as_str(), word.status),
            ("h2:render:8000", Status::OutOfService)
        );
        let word = instances[2].source_report(&keys());
        assert_eq!(
            (word.id.as_str(), word.status, word.address),
            ("h3", Status::Unknown, None)
        );
        for piece in 1..80 {
            assert_eq!(
                read(form, Encoding::Plain, text.as_bytes(), piece).as_ref(),
                Ok(&whole)
            );
        }
        for piece in [1, 7, 4096] {
            assert_eq!(
                read(form, Encoding::Gzip, &zipped(text), piece).as_ref(),
                Ok(&whole)
            );
        }
    }
}

/// Cut anywhere, an answer is a failed read and nothing worse.
#[test]
fn answers_truncated_at_every_byte() {
    for (form, text) in [(ResponseFormat::Json, JSON), (ResponseFormat::Xml, XML)] {
        for cut in 0..text.len() {
            assert!(
                read(form, Encoding::Plain, &text.as_bytes()[..cut], 64).is_err(),
                "{form:?} {cut}"
            );
        }
        let zipped = zipped(text);
        for cut in 0..zipped.len() {
            assert!(
                read(form, Encoding::Gzip, &zipped[..cut], 64).is_err(),
                "{form:?} {cut}"
            );
        }
    }
}

/// Depth, length, bombs: each breaks a bound and ends the read.
#[test]
fn hostile_answers_are_rejected() {
    let json = |text: &str| {
        read(ResponseFormat::Json, Encoding::Plain, text.as_bytes(), 4096).unwrap_err()
    };
    let xml =
        |text: &str| read(ResponseFormat::Xml, Encoding::Plain, text.as_bytes(), 4096).unwrap_err();
    assert_eq!(json(&"[".repeat(100_000)), ResponseError::TooDeep);
    assert_eq!(xml(&"<a>".repeat(100_000)), ResponseError::TooDeep);
    let long = "x".repeat(70_000);
    assert_eq!(
        json(&format!(r#"{{"instance":{{"instanceId":"{long}"}}}}"#)),
        ResponseError::TooLong
    );
    assert_eq!(
        xml(&format!(
            "<a><instance><instanceId>{long}</instanceId></instance></a>"
        )),
        ResponseError::TooLong
    );
    let bomb = r#"<!DOCTYPE a [<!ENTITY x "xxxxxxxx">]><a><instance><instanceId>&x;</instanceId></instance></a>"#;
    assert!(matches!(xml(bomb), ResponseError::Malformed(_)));
    assert!(matches!(
        xml("<a><instance><instanceId>&lol;</instanceId></instance></a>"),
        ResponseError::Malformed(_)
    ));
    for wrong in [
        "",
        "{",
        "nonsense",
        "{}{}",
        "[}",
        r#"{"instance":{"instanceId":""}}"#,
        r#"{"instance":{"a":1e}}"#,
    ] {
        assert!(
            read(ResponseFormat::Json, Encoding::Plain, wrong.as_bytes(), 9).is_err(),
            "{wrong}"
        );
    }
    let many = format!(
        "[{}]",
        vec![r#"{"instance":{"instanceId":"i","port":99999999999999999999}}"#; 70_000].join(",")
    );
    assert_eq!(json(&many), ResponseError::TooMany);
    // 60 MB and more in a few kilobytes.
    let blank = zipped(&format!("[{}]", " ".repeat(70 << 20)));
    assert!(blank.len() < 1 << 20);
    assert_eq!(
        read(ResponseFormat::Json, Encoding::Gzip, &blank, 1 << 16),
        Err(ResponseError::TooLong)
    );
    assert!(read(ResponseFormat::Json, Encoding::Gzip, b"not gzip at all", 4).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Mutated in any way, an answer panics nowhere.
    #[test]
    fn mutated_answers_do_not_panic(xml in any::<bool>(), piece in 1..500usize, cuts in proptest::collection::vec((0..4000usize, any::<u8>()), 0..8)) {
        let (form, text) = if xml { (ResponseFormat::Xml, XML) } else { (ResponseFormat::Json, JSON) };
        let mut bytes = text.as_bytes().to_vec();
        for (at, byte) in cuts {
            let at = at % bytes.len();
            match byte % 3 {
                0 => drop(bytes.remove(at)),
                1 => bytes.insert(at, byte),
                _ => bytes[at] = byte,
            }
        }
        let _ = read(form, Encoding::Plain, &bytes, piece);
    }
}
